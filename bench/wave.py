"""Work done twice in a wave: the module's waits beside a peer that gives attempts up as it did before.

    python -m bench.wave [--seeds N]

Ten modules in front of six save servers that set connections up through one shared path of 40 a second (the
model of `tests/test_wave.py`); waves of 20 to 120 requests in one second. The peer is the same module whose
attempts are cut as before the large fleet's first cause was found. For each wave: setups done for each
connection that stood, the share that stood, and the peer's setups over the module's. No part of CI.
"""

from __future__ import annotations

import statistics
import sys

from gradegap.balancing.actions import Forward
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import Event, RequestArrived
from tests.test_wave import INVENTORY, Fleet


class CutAtObjective(Fleet):
    """The rule before: an attempt with tries left waits `max(aim, left / tries_left / 2)`, the last all.

    The module's other reason to give all (most attempts failing) can't be seen from here.
    """

    def __post_init__(self) -> None:
        self.tries: dict[int, int] = {}
        self.deadlines: dict[int, float] = {}
        super().__post_init__()

    def feed(self, node: Balancer, event: Event) -> None:
        """Keep each request's deadline."""
        if isinstance(event, RequestArrived):
            self.deadlines[event.request_id] = event.deadline_at
        super().feed(node, event)

    def send(self, node: Balancer, send: Forward) -> None:
        """Cut the attempt's timeout by the rule before."""
        tries = self.tries[send.request_id] = self.tries.get(send.request_id, 0) + 1
        left = self.deadlines[send.request_id] - self.now
        tries_left = node.context.settings.max_attempts - tries + 1
        wait = left if tries_left <= 1 else min(left, max(INVENTORY.latency_objective, left / tries_left / 2))
        super().send(node, send._replace(timeout=min(send.timeout, wait)))


def play_wave(kind: type[Fleet], requests: int, seed: int) -> tuple[float, float]:
    """Setups for each established connection, and the part that was established."""
    fleet = kind(seed=seed)
    fleet.wave(requests=requests, over=1.0)
    return fleet.setups / max(1, fleet.stood), fleet.stood / requests


def main() -> None:
    """Print a line for each size of a wave."""
    seeds = int(sys.argv[sys.argv.index("--seeds") + 1]) if "--seeds" in sys.argv else 10
    print(f"{'wave':>5} {'setups/up':>10} {'up':>6} {'peer setups/up':>15} {'up':>6} {'peer/module':>12}")
    for requests in (20, 40, 60, 80, 120):
        ours = [play_wave(Fleet, requests, seed) for seed in range(seeds)]
        peer = [play_wave(CutAtObjective, requests, seed) for seed in range(seeds)]
        cost, up = (statistics.mean(x) for x in zip(*ours, strict=True))
        p_cost, p_up = (statistics.mean(x) for x in zip(*peer, strict=True))
        print(f"{requests:>5} {cost:>10.2f} {up:>6.2f} {p_cost:>15.2f} {p_up:>6.2f} {p_cost / cost:>12.2f}")
    print(f"seeds 0 to {seeds - 1}; the shared path sets up 40 connections a second")


if __name__ == "__main__":
    main()
