"""Selects the control machine to which a node subscribes, and the wait before each attempt. No I/O."""

from __future__ import annotations

import hashlib
import random as random_module
from collections.abc import Sequence

import msgspec

from gradegap.observer.limits import Limits

NEVER = -1e18  # a time (s) earlier than any reading of the monotonic clock


class MachineAddress(msgspec.Struct, frozen=True):
    """A control machine, as given in a node's configuration."""

    name: str
    address: str
    region: str = ""


def rendezvous_weight(node: str, machine: str) -> int:
    """Returns the rendezvous weight of a machine for a node: a hash of both, equal in all processes."""
    digest = hashlib.blake2b(f"{node}\0{machine}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(node: str, region: str, machines: Sequence[MachineAddress]) -> list[MachineAddress]:
    """Returns the machines in the node's order of preference: the node's region first, then by weight."""
    return sorted(
        machines, key=lambda machine: (machine.region != region, -rendezvous_weight(node, machine.name))
    )


class Selection:
    """Selects the machine to try next: the most preferred one that has not failed recently."""

    def __init__(self, node: str, region: str, machines: Sequence[MachineAddress], limits: Limits) -> None:
        if not machines:
            raise ValueError("[observer] machines must name at least one control machine, got none")
        self.order = rendezvous_order(node, region, machines)
        self.avoidance_s = limits.machine_avoidance_s
        self.failed_at: dict[str, float] = {}

    def pick(self, now: float) -> MachineAddress:
        """Returns the best machine; if all have failed recently, the one with the oldest failure."""
        for machine in self.order:
            if now - self.failed_at.get(machine.name, NEVER) >= self.avoidance_s:
                return machine
        return min(self.order, key=lambda machine: self.failed_at[machine.name])

    def failed(self, now: float, machine: MachineAddress) -> None:
        """Record that this machine could not be reached, was silent or rejected the node."""
        self.failed_at[machine.name] = now

    def succeeded(self, machine: MachineAddress) -> None:
        """Record that this machine serves the node."""
        self.failed_at.pop(machine.name, None)


class Backoff:
    """Exponential backoff with full jitter: the n-th wait is uniform from 0 to base * 2^n, up to a cap."""

    def __init__(self, limits: Limits, random: random_module.Random) -> None:
        self.base_s, self.cap_s, self.random = limits.backoff_base_s, limits.backoff_cap_s, random
        self.attempts = 0

    def wait(self) -> float:
        """Returns the wait (s) before the next attempt."""
        max_wait_s = min(self.cap_s, self.base_s * 2.0 ** min(self.attempts, 32))
        self.attempts += 1
        return self.random.uniform(0.0, max_wait_s)

    def reset(self) -> None:
        """Start again from the base, after a successful attempt."""
        self.attempts = 0
