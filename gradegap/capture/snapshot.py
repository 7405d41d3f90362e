"""Dumps the state of a large balancer in a forked process, so that the event loop is not blocked.

The child has a copy of the balancer as it was between two events. It dumps the state and writes it to a pipe,
which the recorder's thread reads. The only cost to the node is the copy of its page tables. For a small
balancer a dump in the node's process costs less than a fork.
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

MAX_OBJECTS_IN_PLACE = 400  # up to this number of objects, a state is dumped in the node's process
CHILD_TIMEOUT_S = 20.0  # time after which the child is killed if its state is not complete
CHILD_NICENESS = 5  # added to the child's nice value, so that the node has priority
READ_BYTES = 1 << 20  # bytes per read from the pipe


class Child(NamedTuple):
    """A forked process that dumps a balancer's state."""

    pid: int
    pipe: int  # file descriptor of the read end


def size(balancer: Balancer) -> int:
    """Estimates the number of objects in the state as the number of requests and endpoints."""
    return sum(len(BALANCER.get(balancer, name)) for name in ("requests", "endpoints"))


def begin(balancer: Balancer) -> Child:
    """Forks a child that dumps the present state of the balancer.

    Raises `OSError` if no process or file descriptor is available.
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
    except BaseException:  # the child must never return into the code of the node
        status = 1
    finally:
        os._exit(status)


def _write_state(balancer: Balancer, pipe: int) -> None:
    """Runs in the child: dumps the state and writes it to the pipe."""
    gc.disable()  # the child must finalize no object of the node, and should write to few shared pages
    # Closes the inherited descriptors: otherwise connections that the node closes would stay open here.
    os.closerange(0, pipe)
    os.closerange(pipe + 1, os.sysconf("SC_OPEN_MAX"))
    with contextlib.suppress(OSError):
        os.nice(CHILD_NICENESS)
    remaining = memoryview(msgspec.msgpack.encode(state.dump(balancer)))
    while remaining:
        remaining = remaining[os.write(pipe, remaining) :]


def finish(child: Child, timeout: float = CHILD_TIMEOUT_S) -> Any:
    """Returns the state written by the child; blocks until the child ends, or is killed after `timeout` s.

    Raises `OSError` if the child does not write the whole state within the timeout.
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
        raise OSError(f"process that dumps the state ended with wait status {status}")
    return msgspec.msgpack.decode(data)


def _read_all(pipe: int, until: float) -> bytes:
    """Reads a pipe to its end; raises `OSError` if that takes longer than `until` (monotonic clock, s)."""
    chunks: list[bytes] = []
    total = 0
    while True:
        ready, _, _ = select.select([pipe], [], [], max(0.0, until - time.monotonic()))
        if not ready:
            raise OSError("process that dumps the state took too long")
        chunk = os.read(pipe, READ_BYTES)
        if not chunk:
            return b"".join(chunks)
        total += len(chunk)
        if total > frames.MAX_BODY_BYTES:
            raise OSError(f"state has more than {frames.MAX_BODY_BYTES} bytes")
        chunks.append(chunk)
