"""The changes and restarts of a run: a Poisson stream, and bursts."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from bench.scale.sessions import steady
from bench.scale.storeclient import StoreClient, WriteRecord
from gradegap.store.records import KeyUpdate

WRITE_S = 15.0  # within which a change must be acknowledged
MOST_OUT = 20  # servers out by hand at once
PART_OF_SETTINGS = 0.5  # of the changes; the others take a server out, or call it back


class Load:
    """Writes changes, and keeps what became of each."""

    def __init__(self, client: StoreClient, servers: int, rng: random.Random) -> None:
        self.client, self.servers, self.rng = client, servers, rng
        self.writes: list[WriteRecord] = []
        self.out: list[str] = []
        self.serial = 0
        self.under_way: set[asyncio.Task[None]] = set()

    def next_change(self) -> KeyUpdate:
        """A setting, a server taken out by hand, or one called back."""
        self.serial += 1
        if self.rng.random() < PART_OF_SETTINGS:
            return KeyUpdate("config/motd", f"change {self.serial}")
        if self.out and (len(self.out) >= MOST_OUT or self.rng.random() < 0.5):
            return KeyUpdate(self.out.pop(self.rng.randrange(len(self.out))), delete=True)
        key = f"out/s-{self.rng.randrange(self.servers):04}"
        if key not in self.out:
            self.out.append(key)
        return KeyUpdate(key, {"at_ms": round(time.time() * 1000), "by": "scale"})

    async def change(self, op: KeyUpdate) -> None:
        """One change, until its outcome is known."""
        self.writes.append(await self.client.write(op, WRITE_S))

    def begin(self, op: KeyUpdate) -> None:
        """A change that nobody waits for here."""
        task = asyncio.ensure_future(self.change(op))
        self.under_way.add(task)
        task.add_done_callback(self.under_way.discard)

    async def poisson(self, per_s: float) -> None:
        """Changes at Poisson times, until it is cancelled."""
        await at_poisson_times(per_s, self.rng, self._begin_next)

    async def _begin_next(self) -> None:
        self.begin(self.next_change())

    async def burst(self, count: int) -> None:
        """Some changes of keys of their own, all at once."""
        at_ms = round(time.time() * 1000)
        keys = [f"out/s-burst-{number:04}" for number in range(count)]
        await asyncio.gather(*(self.change(KeyUpdate(key, {"at_ms": at_ms, "by": "scale"})) for key in keys))

    async def finished(self) -> None:
        """Once all that was begun has come to something."""
        while self.under_way:
            await asyncio.wait(set(self.under_way))


async def at_poisson_times(per_s: float, rng: random.Random, work: Callable[[], Awaitable[None]]) -> None:
    """Do something at Poisson times, by a schedule that does not drift; never with a rate of 0."""
    at = steady()
    while per_s > 0:
        at += rng.expovariate(per_s)
        await asyncio.sleep(max(0.0, at - steady()))
        await work()
