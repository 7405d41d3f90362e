"""A made-up day of a balancer, its recording, and a replay of it: what tests of recordings share."""

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
    """A day of a module's life, made up: lists, arrivals, probes, deaths and drains, as seeded."""

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
        self.names = [f"s{k}" for k in range(servers)]
        self.phases = dict.fromkeys(self.names, EndpointPhase.READY)
        entries = tuple(EndpointEntry(n, zone="a") for n in self.names)
        self.feed(EndpointList(EndpointListKind.FULL, entries))

    def feed(self, event: Any) -> None:
        did = self.balancer.handle(self.now, event)
        self.steps.append(
            ["s", len(self.steps), self.now, records.plain(event), [records.plain(a) for a in did]]
        )
        for a in did:
            match a:
                case Forward():
                    self.pending_attempts[a.request_id] = a.endpoint
                case CheckHealth():
                    self.probes.append(a.endpoint)
                case SetTimer():
                    self.timers.append((self.now + a.delay, a.token))
                case Migrate():
                    if (server := self.established.pop(a.request_id, None)) is not None:
                        result = AttemptResult.CANCELLED
                        self.feed(AttemptEnded(a.request_id, 0, server, result, 1.0, True))

    def run_steps(self, steps: int) -> RandomWorkload:
        for _ in range(steps):
            self.now += self.rng.expovariate(200.0)
            due = [t for t in self.timers if t[0] <= self.now]
            for t in due:
                self.timers.remove(t)
                self.feed(TimerFired(t[1]))
            self.run_step()
        return self

    def run_step(self) -> None:
        what = self.rng.random()
        if what < 0.35:
            self.last_request_id += 1
            team = f"g{self.rng.randrange(20)}" if self.rng.random() < 0.3 else ""
            self.feed(
                RequestArrived(
                    self.last_request_id, "live", self.now + 2.0, "", f"k{self.last_request_id}", team
                )
            )
        elif what < 0.65 and self.pending_attempts:
            ident = self.rng.choice(list(self.pending_attempts))
            server = self.pending_attempts.pop(ident)
            if self.rng.random() < 0.9:
                self.established[ident] = server
                self.feed(ConnectionEstablished(ident, 0, server, 0.01))
            else:
                result = self.rng.choice([AttemptResult.RESET, AttemptResult.FULL, AttemptResult.TIMEOUT])
                self.feed(AttemptEnded(ident, 0, server, result, 0.1, False))
        elif what < 0.85 and self.probes:
            server = self.probes.pop(0)
            load = len([s for s in self.established.values() if s == server]) / 40
            report = {"x0": load + self.rng.random() * 0.1, "inflight": load * 40}
            good = self.rng.random() < 0.9
            self.feed(
                HealthCheckEnded(server, AttemptResult.OK, 0.001, report)
                if good
                else HealthCheckEnded(server, AttemptResult.TIMEOUT, 0.25)
            )
        elif what < 0.97 and self.established:
            ident = self.rng.choice(list(self.established))
            self.feed(AttemptEnded(ident, 0, self.established.pop(ident), AttemptResult.OK, 5.0, True))
        elif what > 0.99:
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


def workload_recording(seed: int, steps: int = 600, parts: int = 4) -> bytes:
    """A capture of a day, with states in between."""
    day = RandomWorkload(seed)
    first = Balancer(day.settings, seed)
    held = frames.pack(FrameKind.STATE, state.dump(first), 0, 0, 0.0, 0.0)
    data, written = day.start_frame() + held, 0
    for _ in range(parts):
        day.run_steps(steps // parts)
        rows = day.steps[written:]
        data += (
            frames.pack(FrameKind.STEPS, rows, len(rows), written, rows[0][2], rows[-1][2])
            + day.state_frame()
        )
        written = len(day.steps)
    return data


def replay_recording(
    data: bytes, module: ModuleType = gradegap.balancing.balancer, since: float = -1e18
) -> replay.Report:
    return replay.replay(recording.read(data), module, since)


class BlockedDisk:
    """Writes of a recorder that wait until the test lets them go."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder, self.write_through = recorder, recorder.writer._write
        self.writes_allowed = threading.Event()
        recorder.writer._write = self.write  # type: ignore[method-assign]

    def write(self, data: bytes) -> None:
        assert self.writes_allowed.wait(60.0), "the test never let the disk go"
        self.write_through(data)

    async def allow_writes(self) -> None:
        self.writes_allowed.set()
        while self.recorder.pending:
            await asyncio.sleep(0.001)


def record_workload(folder: Path, day: RandomWorkload, held: bool = False, **changes: Any) -> Metrics:
    """A day under a recorder; `held`: twice the disk takes nothing until batches were dropped."""
    metrics = Metrics()

    async def main() -> None:
        loop = asyncio.get_running_loop()
        set_up = CaptureSettings(str(folder), state_s=1.0, **changes)
        made = Recorder(set_up, day.balancer, day.settings, day.seed, metrics, loop, lambda: day.now, "n")
        disk = BlockedDisk(made) if held else None
        day.balancer = RecordedBalancer(day.balancer, made)  # type: ignore[assignment]
        made.begin()
        for part in range(60):
            day.run_steps(300)
            await asyncio.sleep(0)
            while disk is None and made.pending > MAX_PENDING_BATCHES // 2:
                await asyncio.sleep(0.001)  # this day is faster than any node's, and a thread is held up
            if disk is not None and part in (29, 59):
                await disk.allow_writes()
                made._tick()
                disk.writes_allowed.clear()
        if disk is not None:
            await disk.allow_writes()
            day.run_steps(300)
        made.close()
        while not made.is_idle:
            await asyncio.sleep(0.01)

    asyncio.run(main())
    return metrics


def run_gradegap(*words: str) -> subprocess.CompletedProcess[str]:
    line = [sys.executable, "-m", "gradegap", *words]
    return subprocess.run(line, capture_output=True, text=True, cwd=ROOT, timeout=60)
