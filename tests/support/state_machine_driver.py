"""Drives a store's state machine with log entries."""

from __future__ import annotations

from typing import Any

from gradegap.store.machine import StateMachine
from gradegap.store.records import Command, Compare, Expire, KeyUpdate, LogRecord, Result, encode


class StateMachineDriver:
    """Applies entries to a state machine and keeps them in order."""

    def __init__(self) -> None:
        self.machine = StateMachine()
        self.entries: list[bytes] = []
        self.client = 0

    def add(self, body: Command | Expire, time_ms: int = 1000) -> Result:
        data = encode(LogRecord(time_ms, 0, body))
        self.entries.append(data)
        return self.machine.apply(len(self.entries), data)

    def write(
        self, *ops: KeyUpdate, compares: tuple[Compare, ...] = (), at: int = 1000, **more: Any
    ) -> Result:
        self.client += 1
        client, seq = more.get("client", f"c{self.client}"), more.get("seq", 1)
        return self.add(Command(client, seq, at + 60_000, "t", compares, ops), at)
