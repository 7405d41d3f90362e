"""The state of a large balancer, taken without holding the node up: by a process that is forked for it.

The child has the balancer as it was between two events, walks it, and writes it to a pipe, which the
recorder's thread reads. The node pays for the copy of its page tables alone. For a small balancer the walk
itself costs less than a fork.
"""

from __future__ import annotations

import contextlib
import gc
import os
import select
import signal
import time
from typing import Any, NamedTuple

import msgspec

from gradegap.balancing.balancer import Balancer
from gradegap.capture import frames, state
from gradegap.capture.schema import BALANCER

MAX_OBJECTS_IN_PLACE = 400  # up to which a state is walked in the node's own process
CHILD_TIMEOUT_S = 20.0
CHILD_NICENESS = 5  # it gives way to the node
READ_BYTES = 1 << 20  # read from the pipe at once


class Child(NamedTuple):
    """A process that walks a balancer."""

    pid: int
    pipe: int  # descriptor of the end that is read


def size(balancer: Balancer) -> int:
    """About how many objects a walk would meet, without one."""
    return sum(len(BALANCER.get(balancer, name)) for name in ("requests", "endpoints"))


def begin(balancer: Balancer) -> Child:
    """Fork a child that walks the balancer as it is now.

    Raises `OSError` where there is no process or descriptor to be had.
    """
    reading, writing = os.pipe()
    try:
        pid = os.fork()
    except OSError:
        os.close(reading)
        os.close(writing)
        raise
    if pid:
        os.close(writing)
        return Child(pid, reading)
    status = 1
    try:
        _write_state(balancer, writing)
        status = 0
    except BaseException:  # whatever it is: this process must never go on as a second node
        status = 1
    finally:
        os._exit(status)


def _write_state(balancer: Balancer, pipe: int) -> None:
    """The child's work."""
    gc.disable()  # nothing of the node's is ended here, and few pages are written
    # Guards the node's connections: held open here as well, none would end for its other side.
    os.closerange(0, pipe)
    os.closerange(pipe + 1, os.sysconf("SC_OPEN_MAX"))
    with contextlib.suppress(OSError):
        os.nice(CHILD_NICENESS)
    left = memoryview(msgspec.msgpack.encode(state.dump(balancer)))
    while left:
        left = left[os.write(pipe, left) :]


def finish(child: Child, timeout: float = CHILD_TIMEOUT_S) -> Any:
    """The state that the child wrote. Blocks until the child has ended, or was killed after `timeout` s.

    Raises `OSError` where the child did not write it whole in time.
    """
    try:
        data = _read_all(child.pipe, time.monotonic() + timeout)
    except OSError:
        with contextlib.suppress(ProcessLookupError):
            os.kill(child.pid, signal.SIGKILL)
        raise
    finally:
        os.close(child.pipe)
        _, status = os.waitpid(child.pid, 0)
    if status:
        raise OSError(f"the process that walks the module's state ended with {status}")
    return msgspec.msgpack.decode(data)


def _read_all(pipe: int, until: float) -> bytes:
    """All that is written to a pipe up to that time on the steady clock."""
    parts: list[bytes] = []
    total = 0
    while True:
        ready, _, _ = select.select([pipe], [], [], max(0.0, until - time.monotonic()))
        if not ready:
            raise OSError("the walk of the module's state took too long")
        part = os.read(pipe, READ_BYTES)
        if not part:
            return b"".join(parts)
        total += len(part)
        if total > frames.MAX_BODY_BYTES:
            raise OSError(f"a state of more than {frames.MAX_BODY_BYTES} bytes")
        parts.append(part)
