"""Simulated processes of the observer model, and the world that they run in: time, randomness and faults."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from gradegap.verification.observer_faults import MAX_CLOCK_DRIFT, TICK_S, Faults
from gradegap.verification.observer_invariants import ObserverInvariants
from gradegap.verification.schedule import Schedule


class World(Schedule, ABC):
    """Virtual time, random source, faults and invariants of one run."""

    def __init__(self, seed: int, faults: Faults) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.faults = faults
        self.invariants = ObserverInvariants()

    def fork_random(self) -> random.Random:
        """Returns a separate random source for a process."""
        return random.Random(self.rng.getrandbits(32))

    @abstractmethod
    def forget_connection(self, number: int) -> None:
        """Remove a connection that ended."""

    @abstractmethod
    def close_connections_of(self, process: Process) -> None:
        """Close all connections of a process."""


class Process(ABC):
    """A process with its own clock that can crash, pause and resume."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        # Clock rates are at the limits of the allowed drift: a fast clock gains the maximum on a slow one.
        self.clock_rate = (
            world.rng.choice([1.0, 1.0 / (1.0 - MAX_CLOCK_DRIFT)]) if world.faults.has_clock_drift else 1.0
        )
        self.clock_offset = world.rng.uniform(0, 1e6)
        self.incarnation = 0
        self.is_running = False
        self.is_paused = False
        self.backlog: deque[tuple[int, Callable[..., None], tuple[object, ...]]] = deque()

    @property
    def now(self) -> float:
        """The time of the process's steady clock, in seconds."""
        return self.clock_offset + self.clock_rate * self.world.now

    def start(self) -> None:
        """Start a new incarnation."""
        self.incarnation += 1
        self.is_running, self.is_paused = True, False
        self.backlog.clear()
        self.world.after(0.0, self._tick, self.incarnation)

    def crash(self) -> None:
        """End the process and its connections immediately."""
        self.is_running = self.is_paused = False
        self.incarnation += 1
        self.world.close_connections_of(self)

    def pause(self) -> None:
        """Stop executing until `resume`. Actions that become due meanwhile are queued."""
        self.is_paused = True

    def resume(self) -> None:
        """Execute the queued actions in order, with probability 0.5 after a step."""
        if not self.is_paused:
            return
        self.is_paused = False
        if self.world.rng.random() < 0.5:
            self.step()
        while self.backlog and not self.is_paused:
            incarnation, action, arguments = self.backlog.popleft()
            self.perform(incarnation, action, *arguments)

    def perform(self, incarnation: int, action: Callable[..., None], *arguments: object) -> None:
        """Execute an action now or after a pause; drop it if the incarnation no longer runs."""
        if incarnation != self.incarnation or not self.is_running:
            return
        if self.is_paused:
            self.backlog.append((incarnation, action, arguments))
            return
        action(*arguments)

    @abstractmethod
    def step(self) -> None:
        """Do the work that is due by the process's clock."""

    def _tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        if not self.is_paused:
            self.step()
        self.world.after(TICK_S * self.world.rng.uniform(0.5, 1.0), self._tick, incarnation)
