"""Measures the cost of recording and replaying, relative to the balancer alone in the same run.

    python -m bench.capture

The events of a generated day (arrivals, health checks, failures, drains; seeded) are handled by a balancer
alone, by a balancer with a recorder, and by a replay of the recording, in alternating rounds. The bench then
measures how long a state blocks the event loop for several numbers of connections, and the processor time and
memory of a node that serves the same requests with and without `[capture]`. It does not run in CI.
"""

from __future__ import annotations

import asyncio
import json
import resource
import statistics
import tempfile
import time
from dataclasses import dataclass
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
from tests.support.node_environment import Client, EndpointServer, NodeEnvironment, wait_for
from tests.support.recorded_workload import RandomWorkload

STEPS = 20_000
ROUNDS = 3
REQUESTS = 1500
WARM_UP_REQUESTS = 100
SEED, ENDPOINTS = 1, 40
STATE_SIZES = (100, 1000, 4000, 20_000)  # established connections
STATE_REPEATS = 5
# Steps between checks of the recorder's queue, and the number of batches and states that may wait in it.
YIELD_EVERY, MAX_PENDING = 2000, 8

TimedEvent = tuple[float, Any]  # the balancer's clock, and the event


def generated_events() -> list[TimedEvent]:
    """Returns the events of a generated day with their clocks."""
    day = RandomWorkload(SEED, ENDPOINTS).run_steps(STEPS)
    return [(row[2], records.event(row[3])) for row in day.steps]


def balancer_cpu_s(timed_events: list[TimedEvent]) -> float:
    """Returns the processor time in s of the balancer without a recorder."""
    balancer = Balancer(RandomWorkload(SEED, ENDPOINTS).settings, SEED)
    began = time.process_time()
    for at, event in timed_events:
        balancer.handle(at, event)
    return time.process_time() - began


async def recorded_cpu_s(timed_events: list[TimedEvent], folder: Path) -> float:
    """Returns the processor time in s of the event loop and the recorder's thread together."""
    settings, metrics = RandomWorkload(SEED, ENDPOINTS).settings, Metrics()
    balancer = Balancer(settings, SEED)
    recorder = Recorder(
        CaptureSettings(str(folder), state_s=3600.0),
        balancer,
        settings,
        SEED,
        metrics,
        asyncio.get_running_loop(),
        lambda: timed_events[0][0],
        "bench",
    )
    recorder.begin()
    recorded = RecordedBalancer(balancer, recorder)
    began = time.process_time()
    for number, (at, event) in enumerate(timed_events):
        recorded.handle(at, event)
        if number % YIELD_EVERY == 0:
            while recorder.pending > MAX_PENDING:
                await asyncio.sleep(0.001)
    recorder.close()
    while not recorder.is_idle:
        await asyncio.sleep(0.001)
    elapsed = time.process_time() - began
    assert not metrics.counts["capture_dropped"]
    return elapsed


@dataclass(frozen=True)
class RecordingRound:
    """One round: processor times of the same steps in the three ways, and the size of the recording."""

    balancer_s: float
    recorded_s: float
    replayed_s: float
    steps: int
    size_bytes: int


def recording_round(timed_events: list[TimedEvent]) -> RecordingRound:
    """Handles, records and replays the same events."""
    balancer_s = balancer_cpu_s(timed_events)
    with tempfile.TemporaryDirectory() as name:
        recorded_s = asyncio.run(recorded_cpu_s(timed_events, Path(name)))
        (path,) = Path(name).iterdir()
        data = path.read_bytes()
    items = list(recording.read(data))
    began = time.process_time()
    result = replay.replay(items, gradegap.balancing.balancer)
    replayed_s = time.process_time() - began
    assert result.difference is None and not result.gaps
    return RecordingRound(balancer_s, recorded_s, replayed_s, result.steps, len(data))


def recording_cost() -> dict[str, Any]:
    """Returns the costs of recording and replaying, relative to the balancer alone."""
    timed_events = generated_events()
    rounds = [recording_round(timed_events) for _ in range(ROUNDS)]
    steps, size_bytes = rounds[-1].steps, rounds[-1].size_bytes

    def us_per_step(seconds: list[float]) -> float:
        return round(statistics.median(seconds) / steps * 1e6, 2)

    return {
        "steps": steps,
        "module alone, us a step": us_per_step([r.balancer_s for r in rounds]),
        "under a recorder, us a step": us_per_step([r.recorded_s for r in rounds]),
        "replayed and compared, us a step": us_per_step([r.replayed_s for r in rounds]),
        "replay beside the module alone": round(
            statistics.median(r.replayed_s / r.balancer_s for r in rounds), 2
        ),
        "bytes a step": round(size_bytes / steps, 1),
    }


def state_costs() -> dict[str, Any]:
    """Returns the time in ms that a state takes, by number of connections."""
    return {f"{connections} held": state_cost(connections) for connections in STATE_SIZES}


def state_cost(connections: int) -> dict[str, float]:
    """Returns the median times in ms of a dump in place, a fork, and a fork until its result is read."""
    day = RandomWorkload(2, ENDPOINTS)
    for number in range(1, connections + 1):  # inherited connections, as after a hot restart
        request = RequestArrived(number, "live", day.now + 2.0, "", f"k{number}", f"g{number % 500}")
        day.feed(ConnectionInherited(request, f"s{number % ENDPOINTS}"))
    in_place, forks, until_read = [], [], []
    for _ in range(STATE_REPEATS):
        began = time.perf_counter()
        state.dump(day.balancer)
        dumped = time.perf_counter()
        child = snapshot.begin(day.balancer)
        forked = time.perf_counter()
        snapshot.finish(child)
        in_place.append(dumped - began)
        forks.append(forked - dumped)
        until_read.append(time.perf_counter() - dumped)
    times = {"in place": in_place, "fork": forks, "fork, until it is read": until_read}
    return {name: round(statistics.median(seconds) * 1e3, 2) for name, seconds in times.items()}


@dataclass(frozen=True)
class NodeCost:
    """Costs of a node process: processor time in us for each request, and private memory in KiB."""

    request_us: float
    memory_kib: int


def node_cost(with_capture: bool) -> NodeCost:
    """Measures a node that serves requests one after the other."""
    with tempfile.TemporaryDirectory() as name:
        operator_file = f'[capture]\nfolder = "{name}/captures"\n' if with_capture else None
        node = NodeEnvironment(Path(name), [EndpointServer(n) for n in "abc"], operator_file)
        try:
            wait_for(node.is_ready, 15.0)
            for _ in range(WARM_UP_REQUESTS):
                make_request(node.client())
            pid = node.process.pid
            before = cpu_seconds(pid)
            for _ in range(REQUESTS):
                make_request(node.client())
            return NodeCost((cpu_seconds(pid) - before) / REQUESTS * 1e6, private_kib(pid))
        finally:
            node.process.kill()
            node.process.wait()


def make_request(client: Client) -> None:
    """Opens a connection, waits for the answer and disconnects."""
    assert client.open_request()[:2] in ("UP", "BU")
    client.sock.close()


def main() -> None:
    """Runs all measurements and prints the figures as JSON."""
    rounds = [(node_cost(False), node_cost(True)) for _ in range(ROUNDS)]
    figures = {
        "module": recording_cost(),
        "a state, ms": state_costs(),
        "node, CPU us a req": {
            "plain": round(statistics.median(plain.request_us for plain, _ in rounds)),
            "recorded": round(statistics.median(recorded.request_us for _, recorded in rounds)),
            "ratio, each round": [
                round(recorded.request_us / plain.request_us, 3) for plain, recorded in rounds
            ],
        },
        "node, KiB more": [recorded.memory_kib - plain.memory_kib for plain, recorded in rounds],
        "peak of this bench, MiB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
