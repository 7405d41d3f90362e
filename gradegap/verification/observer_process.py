"""Simulated processes of the observer model, and the world that they run in."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from gradegap.verification.observer_faults import MAX_CLOCK_DRIFT, TICK_S, Faults
from gradegap.verification.observer_invariants import ObserverInvariants
from gradegap.verification.schedule import Schedule


class World(Schedule, ABC):
    """Virtual time, the source of all chance, the faults and the invariants of one run."""

    def __init__(self, seed: int, faults: Faults) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.faults = faults
        self.invariants = ObserverInvariants()

    def fork_random(self) -> random.Random:
        """A source of chance of its own for a process."""
        return random.Random(self.rng.getrandbits(32))

    @abstractmethod
    def forget_connection(self, number: int) -> None:
        """A connection has ended."""

    @abstractmethod
    def close_connections_of(self, process: Process) -> None:
        """End all connections that this process is a side of."""


class Process(ABC):
    """Something with a clock of its own, which may crash, pause and resume."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        # Clocks at the edge of the bound: one runs as much faster than another as is allowed.
        self.clock_rate = (
            world.rng.choice([1.0, 1.0 / (1.0 - MAX_CLOCK_DRIFT)]) if world.faults.drift else 1.0
        )
        self.clock_offset = world.rng.uniform(0, 1e6)
        self.incarnation = 0
        self.running = False
        self.paused = False
        self.backlog: deque[tuple[int, Callable[..., None], tuple[object, ...]]] = deque()

    @property
    def now(self) -> float:
        """What its steady clock says."""
        return self.clock_offset + self.clock_rate * self.world.now

    def start(self) -> None:
        """Begin a new incarnation."""
        self.incarnation += 1
        self.running, self.paused = True, False
        self.backlog.clear()
        self.world.after(0.0, self._tick, self.incarnation)

    def crash(self) -> None:
        """End at once; connections end with it."""
        self.running = self.paused = False
        self.incarnation += 1
        self.world.close_connections_of(self)

    def pause(self) -> None:
        """Do nothing until `resume`; nothing that arrives is lost."""
        self.paused = True

    def resume(self) -> None:
        """Do what has gathered, in order or after a look at the clock."""
        if not self.paused:
            return
        self.paused = False
        if self.world.rng.random() < 0.5:
            self.step()
        while self.backlog and not self.paused:
            incarnation, action, arguments = self.backlog.popleft()
            self.perform(incarnation, action, *arguments)

    def perform(self, incarnation: int, action: Callable[..., None], *arguments: object) -> None:
        """Do this now, or when the process resumes; never in another incarnation."""
        if incarnation != self.incarnation or not self.running:
            return
        if self.paused:
            self.backlog.append((incarnation, action, arguments))
            return
        action(*arguments)

    @abstractmethod
    def step(self) -> None:
        """Look at the clock, and do what is due."""

    def _tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        if not self.paused:
            self.step()
        self.world.after(TICK_S * self.world.rng.uniform(0.5, 1.0), self._tick, incarnation)
