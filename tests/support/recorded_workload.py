"""A random workload of a balancer, its recording and a replay of the recording."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import threading
from pathlib import Path
from types import ModuleType
from typing import Any

import gradegap.balancing.balancer
from gradegap.balancing.actions import CheckHealth, Forward, Migrate, SetTimer
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from gradegap.capture import frames, recording, records, replay, state
from gradegap.capture.frames import FrameKind
from gradegap.capture.recorder import MAX_PENDING_BATCHES, Recorder
from gradegap.capture.settings import CaptureSettings
from gradegap.capture.switch import RecordedBalancer
from gradegap.metrics import Metrics
from tests.support.balancer_driver import settings
from tests.support.node_environment import ROOT


class RandomWorkload:
    """A seeded random workload: endpoint lists, requests, health checks, connection ends and drains."""

    def __init__(self, seed: int, servers: int = 8, groups: bool = True) -> None:
        self.rng = random.Random(seed)
        self.settings = settings(connection_groups=groups)
        self.balancer = Balancer(self.settings, seed)
        self.seed, self.now, self.last_request_id = seed, 1000.0, 0
        self.steps: list[Any] = []
        self.pending_attempts: dict[int, str] = {}
        self.established: dict[int, str] = {}
        self.probes: list[str] = []
        self.timers: list[tuple[float, str]] = []
        self.names = [f"s{number}" for number in range(servers)]
        self.phases = dict.fromkeys(self.names, EndpointPhase.READY)
        entries = tuple(EndpointEntry(name, zone="a") for name in self.names)
        self.feed(EndpointList(EndpointListKind.FULL, entries))

    def feed(self, event: Any) -> None:
        actions = self.balancer.handle(self.now, event)
        self.steps.append(
            [
                "s",
                len(self.steps),
                self.now,
                records.plain(event),
                [records.plain(action) for action in actions],
            ]
        )
        for action in actions:
            match action:
                case Forward():
                    self.pending_attempts[action.request_id] = action.endpoint
                case CheckHealth():
                    self.probes.append(action.endpoint)
                case SetTimer():
                    self.timers.append((self.now + action.delay, action.token))
                case Migrate():
                    if (server := self.established.pop(action.request_id, None)) is not None:
                        result = AttemptResult.CANCELLED
                        self.feed(AttemptEnded(action.request_id, 0, server, result, 1.0, True))

    def run_steps(self, steps: int) -> RandomWorkload:
        for _ in range(steps):
            self.now += self.rng.expovariate(200.0)
            due = [timer for timer in self.timers if timer[0] <= self.now]
            for timer in due:
                self.timers.remove(timer)
                self.feed(TimerFired(timer[1]))
            self.run_step()
        return self

    def run_step(self) -> None:
        draw = self.rng.random()
        if draw < 0.35:
            self.last_request_id += 1
            group = f"g{self.rng.randrange(20)}" if self.rng.random() < 0.3 else ""
            self.feed(
                RequestArrived(
                    self.last_request_id, "live", self.now + 2.0, "", f"k{self.last_request_id}", group
                )
            )
        elif draw < 0.65 and self.pending_attempts:
            request_id = self.rng.choice(list(self.pending_attempts))
            server = self.pending_attempts.pop(request_id)
            if self.rng.random() < 0.9:
                self.established[request_id] = server
                self.feed(ConnectionEstablished(request_id, 0, server, 0.01))
            else:
                result = self.rng.choice([AttemptResult.RESET, AttemptResult.FULL, AttemptResult.TIMEOUT])
                self.feed(AttemptEnded(request_id, 0, server, result, 0.1, False))
        elif draw < 0.85 and self.probes:
            server = self.probes.pop(0)
            load = len([endpoint for endpoint in self.established.values() if endpoint == server]) / 40
            report = {"x0": load + self.rng.random() * 0.1, "inflight": load * 40}
            is_healthy = self.rng.random() < 0.9
            self.feed(
                HealthCheckEnded(server, AttemptResult.OK, 0.001, report)
                if is_healthy
                else HealthCheckEnded(server, AttemptResult.TIMEOUT, 0.25)
            )
        elif draw < 0.97 and self.established:
            request_id = self.rng.choice(list(self.established))
            self.feed(
                AttemptEnded(request_id, 0, self.established.pop(request_id), AttemptResult.OK, 5.0, True)
            )
        elif draw > 0.99:
            name = self.rng.choice(self.names)
            ready = self.phases[name] is EndpointPhase.READY
            self.phases[name] = phase = EndpointPhase.DRAINING if ready else EndpointPhase.READY
            entry = EndpointEntry(name, zone="a", phase=phase, started_at=0.0 if ready else self.now)
            self.feed(EndpointList(EndpointListKind.DELTA, (entry,)))

    def start_frame(self) -> bytes:
        about = {"settings": records.plain_settings(self.settings), "seed": self.seed, "node": "n"}
        return frames.MAGIC + frames.pack(FrameKind.START, about, 0, 0, 0.0, 0.0)

    def state_frame(self) -> bytes:
        return frames.pack(FrameKind.STATE, state.dump(self.balancer), 0, len(self.steps), self.now, self.now)


def workload_recording(seed: int, steps: int = 600, part_count: int = 4) -> bytes:
    """Returns a recording of a random workload with a state after each of its parts."""
    workload = RandomWorkload(seed)
    first = Balancer(workload.settings, seed)
    state_frame = frames.pack(FrameKind.STATE, state.dump(first), 0, 0, 0.0, 0.0)
    data, written_count = workload.start_frame() + state_frame, 0
    for _ in range(part_count):
        workload.run_steps(steps // part_count)
        rows = workload.steps[written_count:]
        data += (
            frames.pack(FrameKind.STEPS, rows, len(rows), written_count, rows[0][2], rows[-1][2])
            + workload.state_frame()
        )
        written_count = len(workload.steps)
    return data


def replay_recording(
    data: bytes, module: ModuleType = gradegap.balancing.balancer, since: float = -1e18
) -> replay.Report:
    return replay.replay(recording.read(data), module, since)


class BlockedDisk:
    """Holds back the writes of a recorder until the test allows them."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder, self.write_through = recorder, recorder.writer._write
        self.writes_allowed = threading.Event()
        recorder.writer._write = self.write  # type: ignore[method-assign]

    def write(self, data: bytes) -> None:
        assert self.writes_allowed.wait(60.0), "writes were not allowed within 60 s"
        self.write_through(data)

    async def allow_writes(self) -> None:
        self.writes_allowed.set()
        while self.recorder.pending:
            await asyncio.sleep(0.001)


def record_workload(
    folder: Path, workload: RandomWorkload, disk_blocked: bool = False, **changes: Any
) -> Metrics:
    """Runs a workload under a recorder and returns the metrics.

    With `disk_blocked`, writes are held back twice, until batches have been dropped.
    """
    metrics = Metrics()

    async def main() -> None:
        loop = asyncio.get_running_loop()
        capture_settings = CaptureSettings(str(folder), state_s=1.0, **changes)
        recorder = Recorder(
            capture_settings,
            workload.balancer,
            workload.settings,
            workload.seed,
            metrics,
            loop,
            lambda: workload.now,
            "n",
        )
        disk = BlockedDisk(recorder) if disk_blocked else None
        workload.balancer = RecordedBalancer(workload.balancer, recorder)  # type: ignore[assignment]
        recorder.begin()
        for part in range(60):
            workload.run_steps(300)
            await asyncio.sleep(0)
            while disk is None and recorder.pending > MAX_PENDING_BATCHES // 2:
                # Events arrive faster than on any node, so the writer thread has to catch up.
                await asyncio.sleep(0.001)
            if disk is not None and part in (29, 59):
                await disk.allow_writes()
                recorder._tick()
                disk.writes_allowed.clear()
        if disk is not None:
            await disk.allow_writes()
            workload.run_steps(300)
        recorder.close()
        while not recorder.is_idle:
            await asyncio.sleep(0.01)

    asyncio.run(main())
    return metrics


def run_gradegap(*words: str) -> subprocess.CompletedProcess[str]:
    command_line = [sys.executable, "-m", "gradegap", *words]
    return subprocess.run(command_line, capture_output=True, text=True, cwd=ROOT, timeout=60)
