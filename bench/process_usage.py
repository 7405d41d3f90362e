"""Processor time and memory of a process, read from /proc."""

from __future__ import annotations

import os
from pathlib import Path


def resident_kib(pid: int) -> int:
    """Returns the resident memory (`VmRSS`) of a process, in KiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


def cpu_seconds(pid: int) -> float:
    """Returns the user and system processor time of a process since its start, in seconds."""
    after_name = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    user_ticks, system_ticks = int(after_name[11]), int(after_name[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")


def private_kib(pid: int) -> int:
    """Returns the memory that a process shares with no other process, in KiB."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return sum(int(line.split()[1]) for line in lines if line.startswith("Private_"))
