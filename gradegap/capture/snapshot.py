"""The state of a large module, taken without holding the node up: by a process that is forked for it.

The fork is the cut: the child has the module as it was between two events, walks it at its leisure, and
writes it to a pipe, which the recorder's thread reads. The node pays for the copy of its page tables alone.
For a small module the walk itself costs less than a fork.
"""

from __future__ import annotations

import contextlib
import gc
import os
import select
import signal
import time
from typing import Any

import msgspec

from gradegap.capture import frames, state
from gradegap.capture.schema import BALANCER

SMALL = 400  # objects that are walked in place
WAIT = 20.0  # s that a child may take
NICE = 5  # it gives way to the node


def size(balancer: Any) -> int:
    """About how many objects a walk would meet, without one."""
    return sum(len(BALANCER.get(balancer, name)) for name in ("requests", "endpoints"))


def begin(balancer: Any) -> tuple[int, int]:
    """A child that walks the module as it is now: its process and the end of a pipe that it writes to.

    `OSError` where there is no process or descriptor to be had.
    """
    reads, writes = os.pipe()
    try:
        child = os.fork()
    except OSError:
        os.close(reads)
        os.close(writes)
        raise
    if child:
        os.close(writes)
        return child, reads
    code = 1
    try:
        gc.disable()  # nothing of the node's is ended here, and few pages are written
        # Guards the node's connections: held open here as well, none would end for its other side.
        os.closerange(0, writes)
        os.closerange(writes + 1, os.sysconf("SC_OPEN_MAX"))
        with contextlib.suppress(OSError):
            os.nice(NICE)
        left = memoryview(msgspec.msgpack.encode(state.dump(balancer)))
        while left:
            left = left[os.write(writes, left) :]
        code = 0
    except BaseException:  # whatever it is: this process must never go on as a second node
        code = 1
    finally:
        os._exit(code)


def finish(child: int, reads: int, wait: float = WAIT) -> Any:
    """What the child wrote, as plain values; `OSError` where it did not write it whole in time. Blocks."""
    parts, held, end = [], 0, time.monotonic() + wait
    try:
        while True:
            ready, _, _ = select.select([reads], [], [], max(0.0, end - time.monotonic()))
            if not ready:
                raise OSError("the walk of the module's state took too long")
            part = os.read(reads, 1 << 20)
            if not part:
                break
            held += len(part)
            if held > frames.MAX_BODY_BYTES:
                raise OSError(f"a state of more than {frames.MAX_BODY_BYTES} bytes")
            parts.append(part)
    except OSError:
        with contextlib.suppress(ProcessLookupError):
            os.kill(child, signal.SIGKILL)
        raise
    finally:
        os.close(reads)
        _, status = os.waitpid(child, 0)
    if status:
        raise OSError(f"the process that walks the module's state ended with {status}")
    return msgspec.msgpack.decode(b"".join(parts))
