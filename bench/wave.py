"""Benchmark of duplicate connection setups in a burst: the balancer's attempt timeouts and an older rule.

    python -m bench.wave [--seeds N]

Ten balancers distribute bursts of 20 to 120 requests within one second over six endpoints, which set up
connections through one shared path of 40 connections per second (the model of `tests/test_wave.py`). The peer
is the same balancer with an earlier rule for attempt timeouts. Each line gives, for one size of burst, the
setups per established connection, the ratio of established requests, and the peer's setups divided by the
balancer's. CI does not run this benchmark.
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
    """A fleet with the earlier rule: an attempt's timeout is half of an even share of the remaining time.

    The timeout is at least the latency objective, and the last attempt gets all of the remaining time. The
    balancer also gives an attempt all of the remaining time when most attempts fail; that state is not
    visible here, so this rule does not model it.
    """

    def __post_init__(self) -> None:
        self.attempts: dict[int, int] = {}
        self.deadlines: dict[int, float] = {}
        super().__post_init__()

    def feed(self, node: Balancer, event: Event) -> None:
        """Records the deadline of each request."""
        if isinstance(event, RequestArrived):
            self.deadlines[event.request_id] = event.deadline_at
        super().feed(node, event)

    def send(self, node: Balancer, forward: Forward) -> None:
        """Limits the attempt's timeout by the earlier rule."""
        attempts = self.attempts[forward.request_id] = self.attempts.get(forward.request_id, 0) + 1
        remaining = self.deadlines[forward.request_id] - self.now
        attempts_left = node.context.settings.max_attempts - attempts + 1
        share = (
            max(INVENTORY.latency_objective, remaining / attempts_left / 2)
            if attempts_left > 1
            else remaining
        )
        limit = min(remaining, share)
        super().send(node, forward._replace(timeout=min(forward.timeout, limit)))


class WaveResult(NamedTuple):
    """Setups per established connection, and the ratio of requests that were established."""

    setups: float
    established: float


def mean_wave(kind: type[Fleet], requests: int, seeds: int) -> WaveResult:
    """Returns the means over the seeds from 0 to `seeds` - 1."""
    results = [play_wave(kind, requests, seed) for seed in range(seeds)]
    setups = statistics.mean(result.setups for result in results)
    return WaveResult(setups, statistics.mean(result.established for result in results))


def play_wave(kind: type[Fleet], requests: int, seed: int) -> WaveResult:
    """Simulates one burst of requests."""
    fleet = kind(seed=seed)
    fleet.run_burst(requests=requests, duration_s=1.0)
    return WaveResult(fleet.setup_count / max(1, fleet.established_count), fleet.established_count / requests)


def main() -> None:
    """Prints one line for each size of burst."""
    seeds = int(sys.argv[sys.argv.index("--seeds") + 1]) if "--seeds" in sys.argv else 10
    print(f"{'wave':>5} {'setups/up':>10} {'up':>6} {'peer setups/up':>15} {'up':>6} {'peer/module':>12}")
    for requests in (20, 40, 60, 80, 120):
        current, peer = mean_wave(Fleet, requests, seeds), mean_wave(OlderTimeouts, requests, seeds)
        print(
            f"{requests:>5} {current.setups:>10.2f} {current.established:>6.2f} {peer.setups:>15.2f} "
            f"{peer.established:>6.2f} {peer.setups / current.setups:>12.2f}"
        )
    print(f"seeds 0 to {seeds - 1}; the shared path sets up 40 connections a second")


if __name__ == "__main__":
    main()
