"""The load of a run: a Poisson stream of changes and restarts, and bursts of changes."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from bench.scale.sessions import steady
from bench.scale.storeclient import StoreClient, WriteRecord
from gradegap.store.records import KeyUpdate

WRITE_TIMEOUT_S = 15.0  # a change must be acknowledged within this time
MAX_SERVERS_OUT = 20  # number of servers that are taken out of service by hand at the same time
# Ratio of changes that set a setting; the others take a server out of service or put it back.
SETTING_CHANGE_RATIO = 0.5


class Load:
    """Writes changes, and keeps the record of each."""

    def __init__(self, client: StoreClient, servers: int, rng: random.Random) -> None:
        self.client, self.servers, self.rng = client, servers, rng
        self.writes: list[WriteRecord] = []
        self.keys_out: list[str] = []
        self.serial = 0
        self.running_tasks: set[asyncio.Task[None]] = set()

    def next_change(self) -> KeyUpdate:
        """Returns a change of a setting, or one that takes a server out of service or puts it back."""
        self.serial += 1
        if self.rng.random() < SETTING_CHANGE_RATIO:
            return KeyUpdate("config/motd", f"change {self.serial}")
        if self.keys_out and (len(self.keys_out) >= MAX_SERVERS_OUT or self.rng.random() < 0.5):
            return KeyUpdate(self.keys_out.pop(self.rng.randrange(len(self.keys_out))), delete=True)
        key = f"out/s-{self.rng.randrange(self.servers):04}"
        if key not in self.keys_out:
            self.keys_out.append(key)
        return KeyUpdate(key, {"at_ms": round(time.time() * 1000), "by": "scale"})

    async def change(self, update: KeyUpdate) -> None:
        """Writes one change and waits until its outcome is known."""
        self.writes.append(await self.client.write(update, WRITE_TIMEOUT_S))

    def begin(self, update: KeyUpdate) -> None:
        """Starts the write of a change in a task of its own."""
        task = asyncio.ensure_future(self.change(update))
        self.running_tasks.add(task)
        task.add_done_callback(self.running_tasks.discard)

    async def poisson(self, per_s: float) -> None:
        """Writes changes at Poisson times until the task is cancelled."""
        await at_poisson_times(per_s, self.rng, self._begin_next)

    async def _begin_next(self) -> None:
        self.begin(self.next_change())

    async def burst(self, count: int) -> None:
        """Writes `count` changes of separate keys concurrently, and waits for their outcomes."""
        at_ms = round(time.time() * 1000)
        keys = [f"out/s-burst-{number:04}" for number in range(count)]
        await asyncio.gather(*(self.change(KeyUpdate(key, {"at_ms": at_ms, "by": "scale"})) for key in keys))

    async def finished(self) -> None:
        """Waits until the outcomes of all started changes are known."""
        while self.running_tasks:
            await asyncio.wait(set(self.running_tasks))


async def at_poisson_times(per_s: float, rng: random.Random, work: Callable[[], Awaitable[None]]) -> None:
    """Awaits `work` at Poisson times on a schedule without drift; returns at once with a rate of 0."""
    at = steady()
    while per_s > 0:
        at += rng.expovariate(per_s)
        await asyncio.sleep(max(0.0, at - steady()))
        await work()
