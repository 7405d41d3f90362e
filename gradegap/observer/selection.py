"""Which control machine a node subscribes at, and how long it waits before it tries. No I/O."""

from __future__ import annotations

import hashlib
import random as random_module
from collections.abc import Sequence

import msgspec

from gradegap.observer.limits import Limits

NEVER = -1e18


class MachineAddress(msgspec.Struct, frozen=True):
    """A control machine as a node's configuration names it."""

    name: str
    address: str
    region: str = ""


def weight(node: str, machine: str) -> int:
    """The rendezvous weight of a machine for a node: independent draws, the same in each process."""
    digest = hashlib.blake2b(f"{node}\0{machine}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(node: str, region: str, machines: Sequence[MachineAddress]) -> list[MachineAddress]:
    """The machines in the order in which the node prefers them: its own region first, then by weight."""
    return sorted(machines, key=lambda machine: (machine.region != region, -weight(node, machine.name)))


class Selection:
    """The machine to try next: the most preferred one that has not failed lately."""

    def __init__(self, node: str, region: str, machines: Sequence[MachineAddress], limits: Limits) -> None:
        if not machines:
            raise ValueError("no control machines: name at least one under [observer] machines")
        self.order = rendezvous_order(node, region, machines)
        self.avoidance_s = limits.machine_avoidance_s
        self.failed_at: dict[str, float] = {}

    def pick(self, now: float) -> MachineAddress:
        """The best machine; where all failed lately, the one whose failure is the longest ago."""
        for machine in self.order:
            if now - self.failed_at.get(machine.name, NEVER) >= self.avoidance_s:
                return machine
        return min(self.order, key=lambda machine: self.failed_at[machine.name])

    def failed(self, now: float, machine: MachineAddress) -> None:
        """This machine could not be reached, fell silent or refused."""
        self.failed_at[machine.name] = now

    def succeeded(self, machine: MachineAddress) -> None:
        """This machine serves the node."""
        self.failed_at.pop(machine.name, None)


class Backoff:
    """Full jitter: the n-th wait is uniform between 0 and base * 2^n, up to a cap."""

    def __init__(self, limits: Limits, random: random_module.Random) -> None:
        self.base, self.cap, self.random = limits.backoff_base_s, limits.backoff_cap_s, random
        self.attempts = 0

    def wait(self) -> float:
        """Seconds to wait before the next attempt."""
        longest = min(self.cap, self.base * 2.0 ** min(self.attempts, 32))
        self.attempts += 1
        return self.random.uniform(0.0, longest)

    def reset(self) -> None:
        """An attempt succeeded."""
        self.attempts = 0
