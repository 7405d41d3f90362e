"""The command line with what a test wants of it: a short log, a small disk, or an end at a fault point.

`STORE_KEEP` entries are kept behind the state; `STORE_MAP` bytes is the folder's room; `STORE_FAULT` is
`point:count`, the place in the disk's work at whose count-th passing the process ends as if killed.
`STORE_WALL` seconds are what the wall clock is wrong by; it jumps back and forth by as much again.
"""

from __future__ import annotations

import itertools
import os
import signal
import time

from gradegap.store import log_writer, storage


def set_up() -> None:
    if keep := os.environ.get("STORE_KEEP"):
        log_writer.RETAINED_ENTRIES, log_writer.COMPACTION_THRESHOLD_ENTRIES = int(keep), 4 * int(keep)
    if room := os.environ.get("STORE_MAP"):
        storage.MemberStorage.__init__.__defaults__ = (int(room),)
    if wrong := os.environ.get("STORE_WALL"):
        plain_ns, jumps = time.time_ns, itertools.cycle([0, int(wrong), -int(wrong)])
        time.time_ns = lambda: plain_ns() + (int(wrong) + next(jumps)) * 1_000_000_000
        time.time = lambda: time.time_ns() / 1e9
    if fault := os.environ.get("STORE_FAULT"):
        where, _, count = fault.partition(":")
        left = [int(count)]
        plain = storage.MemberStorage.__init__

        def reach_fault_point(name: str) -> None:
            if name == where:
                left[0] -= 1
                if not left[0]:
                    os.kill(os.getpid(), signal.SIGKILL)

        def made(self: storage.MemberStorage, *args: object) -> None:
            plain(self, *args)  # type: ignore[arg-type]
            self.reach_fault_point = reach_fault_point

        storage.MemberStorage.__init__ = made  # type: ignore[method-assign,assignment]


if __name__ == "__main__":
    set_up()
    from gradegap.cli import app

    app(prog_name="gradegap")
