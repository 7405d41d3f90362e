"""Runs the program's command line with a short log, a small disk, a crash point or a wrong wall clock.

Environment variables set them:

    STORE_KEEP   number of log entries that are retained behind the stored state
    STORE_MAP    size of the member's database in bytes
    STORE_FAULT  `point:count`: the process kills itself when storage reaches this point for the count-th time
    STORE_WALL   offset of the wall clock in seconds; the clock also jumps back and forth by the same amount
"""

from __future__ import annotations

import itertools
import os
import signal
import time

from gradegap.store import log_writer, storage


def set_up() -> None:
    if retained_entries := os.environ.get("STORE_KEEP"):
        log_writer.RETAINED_ENTRIES, log_writer.COMPACTION_THRESHOLD_ENTRIES = (
            int(retained_entries),
            4 * int(retained_entries),
        )
    if map_bytes := os.environ.get("STORE_MAP"):
        storage.MemberStorage.__init__.__defaults__ = (int(map_bytes),)
    if offset_s := os.environ.get("STORE_WALL"):
        real_time_ns, jumps = time.time_ns, itertools.cycle([0, int(offset_s), -int(offset_s)])
        time.time_ns = lambda: real_time_ns() + (int(offset_s) + next(jumps)) * 1_000_000_000
        time.time = lambda: time.time_ns() / 1e9
    if fault := os.environ.get("STORE_FAULT"):
        crash_point, _, count = fault.partition(":")
        passes_left = [int(count)]
        original_init = storage.MemberStorage.__init__

        def crash_at(name: str) -> None:
            if name == crash_point:
                passes_left[0] -= 1
                if not passes_left[0]:
                    os.kill(os.getpid(), signal.SIGKILL)

        def init_with_crash_point(self: storage.MemberStorage, *args: object) -> None:
            original_init(self, *args)  # type: ignore[arg-type]
            self.reach_fault_point = crash_at

        storage.MemberStorage.__init__ = init_with_crash_point  # type: ignore[method-assign,assignment]


if __name__ == "__main__":
    set_up()
    from gradegap.cli import app

    app(prog_name="gradegap")
