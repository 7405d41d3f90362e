"""Work done twice in a wave: the balancer's timeouts beside an older rule for attempts' timeouts.

    python -m bench.wave [--seeds N]

Ten balancers in front of six endpoints that set connections up through one shared path of 40 a second (the
model of `tests/test_wave.py`); waves of 20 to 120 requests in one second. The peer is the same module with
the timeouts of attempts that it had earlier. For each wave: setups for each established connection, the share
that was established, and the peer's setups over the module's. No part of CI.
"""

from __future__ import annotations

import statistics
import sys
from typing import NamedTuple

from gradegap.balancing.actions import Forward
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import Event, RequestArrived
from tests.test_wave import INVENTORY, Fleet


class OlderTimeouts(Fleet):
    """The rule before: an attempt is given half of an even share of the time that remains.

    It is at least the latency objective, and all that remains for the last attempt. The balancer's other
    reason to give all of it (most attempts failing) can't be seen from here.
    """

    def __post_init__(self) -> None:
        self.attempts: dict[int, int] = {}
        self.deadlines: dict[int, float] = {}
        super().__post_init__()

    def feed(self, node: Balancer, event: Event) -> None:
        """Keep each request's deadline."""
        if isinstance(event, RequestArrived):
            self.deadlines[event.request_id] = event.deadline_at
        super().feed(node, event)

    def send(self, node: Balancer, forward: Forward) -> None:
        """Cut the attempt's timeout by the rule before."""
        attempts = self.attempts[forward.request_id] = self.attempts.get(forward.request_id, 0) + 1
        remaining = self.deadlines[forward.request_id] - self.now
        attempts_left = node.context.settings.max_attempts - attempts + 1
        share = (
            max(INVENTORY.latency_objective, remaining / attempts_left / 2)
            if attempts_left > 1
            else remaining
        )
        cut = min(remaining, share)
        super().send(node, forward._replace(timeout=min(forward.timeout, cut)))


class WaveResult(NamedTuple):
    """Setups for each established connection, and the share of requests that was established."""

    setups: float
    established: float


def mean_wave(kind: type[Fleet], requests: int, seeds: int) -> WaveResult:
    """The means over seeds from 0 on."""
    results = [play_wave(kind, requests, seed) for seed in range(seeds)]
    setups = statistics.mean(result.setups for result in results)
    return WaveResult(setups, statistics.mean(result.established for result in results))


def play_wave(kind: type[Fleet], requests: int, seed: int) -> WaveResult:
    """Play one wave."""
    fleet = kind(seed=seed)
    fleet.wave(requests=requests, over=1.0)
    return WaveResult(fleet.setups / max(1, fleet.stood), fleet.stood / requests)


def main() -> None:
    """Print a line for each size of a wave."""
    seeds = int(sys.argv[sys.argv.index("--seeds") + 1]) if "--seeds" in sys.argv else 10
    print(f"{'wave':>5} {'setups/up':>10} {'up':>6} {'peer setups/up':>15} {'up':>6} {'peer/module':>12}")
    for requests in (20, 40, 60, 80, 120):
        ours, peer = mean_wave(Fleet, requests, seeds), mean_wave(OlderTimeouts, requests, seeds)
        print(
            f"{requests:>5} {ours.setups:>10.2f} {ours.established:>6.2f} {peer.setups:>15.2f} "
            f"{peer.established:>6.2f} {peer.setups / ours.setups:>12.2f}"
        )
    print(f"seeds 0 to {seeds - 1}; the shared path sets up 40 connections a second")


if __name__ == "__main__":
    main()
