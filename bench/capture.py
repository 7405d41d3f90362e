"""What recording and replaying cost, beside the module alone in the same run.

    python -m bench.capture

A made-up day of a module (arrivals, probes, deaths, drains; seeded) is decided plainly, under a recorder, and
replayed from its file; rounds in turn. Then the most that a state holds the loop up, by connections held, and
CPU and memory of a node that serves the same reqs with and without `[capture]`. No part of CI.
"""

from __future__ import annotations

import asyncio
import json
import resource
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import gradegap.balancing.balancer
from bench.process_usage import cpu_seconds, private_kib
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import ConnectionInherited, RequestArrived
from gradegap.capture import recording, records, replay, snapshot, state
from gradegap.capture.recorder import Recorder
from gradegap.capture.settings import CaptureSettings
from gradegap.capture.switch import RecordedBalancer
from gradegap.metrics import Metrics
from tests.recorded_day import Day
from tests.world import Client, EndpointServer, World, wait_for

STEPS = 20_000
ROUNDS = 3
REQS = 1500


def events() -> list[tuple[float, Any]]:
    """The events of a made-up day, with their clocks."""
    day = Day(1, 40).live(STEPS)
    return [(row[2], records.event(row[3])) for row in day.steps]


def balancer_cpu_s(told: list[tuple[float, Any]]) -> float:
    """CPU seconds of the balancer without a recorder."""
    balancer = Balancer(Day(1, 40).settings, 1)
    began = time.process_time()
    for at, event in told:
        balancer.handle(at, event)
    return time.process_time() - began


async def under_recorder(told: list[tuple[float, Any]], folder: Path) -> tuple[float, Metrics]:
    """CPU of loop and thread together."""
    settings, metrics = Day(1, 40).settings, Metrics()
    balancer = Balancer(settings, 1)
    loop = asyncio.get_running_loop()
    set_up = CaptureSettings(str(folder), state_s=3600.0)
    made = Recorder(set_up, balancer, settings, 1, metrics, loop, lambda: told[0][0], "bench")
    made.begin()
    tap = RecordedBalancer(balancer, made)
    began = time.process_time()
    for k, (at, event) in enumerate(told):
        tap.handle(at, event)
        if k % 2000 == 0:
            while made.pending > 8:
                await asyncio.sleep(0.001)
    made.close()
    while not made.is_idle:
        await asyncio.sleep(0.001)
    return time.process_time() - began, metrics


def recording_cost() -> dict[str, Any]:
    """What recording and replaying cost beside the balancer alone."""
    told = events()
    plain, taped, again, size, steps = [], [], [], 0, 1
    for _ in range(ROUNDS):
        plain.append(balancer_cpu_s(told))
        with tempfile.TemporaryDirectory() as name:
            spent, metrics = asyncio.run(under_recorder(told, Path(name)))
            assert not metrics.counts["capture_dropped"]
            taped.append(spent)
            (path,) = Path(name).iterdir()
            data = path.read_bytes()
        size = len(data)
        items = list(recording.read(data))
        began = time.process_time()
        found = replay.replay(items, gradegap.balancing.balancer)
        again.append(time.process_time() - began)
        assert found.difference is None and not found.gaps
        steps = found.steps
    return {
        "steps": steps,
        "module alone, us a step": round(statistics.median(plain) / steps * 1e6, 2),
        "under a recorder, us a step": round(statistics.median(taped) / steps * 1e6, 2),
        "replayed and compared, us a step": round(statistics.median(again) / steps * 1e6, 2),
        "replay beside the module alone": round(
            statistics.median(b / a for a, b in zip(plain, again, strict=True)), 2
        ),
        "bytes a step": round(size / steps, 1),
    }


def states() -> dict[str, Any]:
    """ms: a walk in place, beside what a forked one takes of the node and takes in all."""
    found: dict[str, Any] = {}
    for held in (100, 1000, 4000, 20_000):
        day = Day(2, 40)
        for ident in range(1, held + 1):  # each named by its server, as after a hot restart
            request = RequestArrived(ident, "live", day.now + 2.0, "", f"k{ident}", f"g{ident % 500}")
            day.feed(ConnectionInherited(request, f"s{ident % 40}"))
        times: list[tuple[float, float, float]] = []
        for _ in range(5):
            began = time.perf_counter()
            state.dump(day.balancer)
            walked = time.perf_counter()
            child = snapshot.begin(day.balancer)
            forked = time.perf_counter()
            snapshot.finish(child)
            times.append((walked - began, forked - walked, time.perf_counter() - walked))
        names = ("in place", "fork", "fork, until it is read")
        found[f"{held} held"] = {
            n: round(statistics.median(t[k] for t in times) * 1e3, 2) for k, n in enumerate(names)
        }
    return found


def node(on: bool) -> tuple[float, int]:
    """CPU us a req, and KiB, of a node that answers reqs one after the other."""
    with tempfile.TemporaryDirectory() as name:
        operator = f'[capture]\nfolder = "{name}/captures"\n' if on else None
        w = World(Path(name), [EndpointServer(n) for n in "abc"], operator)
        try:
            wait_for(w.ready, 15.0)
            for _ in range(100):
                one(w.client())
            before = cpu_seconds(w.process.pid)
            for _ in range(REQS):
                one(w.client())
            return (cpu_seconds(w.process.pid) - before) / REQS * 1e6, private_kib(w.process.pid)
        finally:
            w.process.kill()
            w.process.wait()


def one(client: Client) -> None:
    """One client that comes, is answered and goes."""
    assert client.ask()[:2] in ("UP", "BU")
    client.sock.close()


def main() -> None:
    """Measure in turn, and print the result as JSON."""
    pairs = [(node(False), node(True)) for _ in range(3)]
    said = {
        "module": recording_cost(),
        "a state, ms": states(),
        "node, CPU us a req": {
            "plain": round(statistics.median(a[0] for a, _ in pairs)),
            "recorded": round(statistics.median(b[0] for _, b in pairs)),
            "ratio, each round": [round(b[0] / a[0], 3) for a, b in pairs],
        },
        "node, KiB more": [b[1] - a[1] for a, b in pairs],
        "peak of this bench, MiB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }
    print(json.dumps(said, indent=2))


if __name__ == "__main__":
    main()
