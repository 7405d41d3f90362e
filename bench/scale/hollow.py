"""Hollow nodes, many per process: each has a real control side over real sockets and no data side.

A hollow node has the core of a node with its decision module, discovery client, dialer, health checks,
dynamic configuration and session with the store. It accepts no clients. The module runs as a child process:

    python -m bench.scale.hollow SPEC.json

It reads commands as JSON lines from standard input and answers each with one line on standard output.
"""

from __future__ import annotations

import asyncio
import gc
import random
import sys
import time
from pathlib import Path
from typing import Any, Literal

import msgspec
import structlog
import uvloop

from bench.scale.measure import CountedDialer, Traffic
from bench.scale.messages import (
    BeginWindow,
    Done,
    EndWindow,
    Finish,
    GetStatus,
    HollowCommand,
    NodeStatus,
    Restart,
    Start,
)
from bench.scale.sessions import (
    MachineSpec,
    MemberSession,
    NodeSpec,
    Session,
    SessionParts,
    steady,
)
from gradegap.balancing import settings_reader as reader
from gradegap.balancing.settings import Settings
from gradegap.discovery.http_discovery import HttpDiscovery
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.store.dynamic_configuration import DynamicConfiguration
from gradegap.transport.descriptors import DescriptorBudget
from gradegap.upstream.tcp_upstream import TcpUpstream
from tests.support.node_environment import SETTINGS

log = structlog.get_logger()

LEASE_SAMPLE_INTERVAL_S = 0.05
DESCRIPTORS = 20_000
CHANGED_KEY = "motd"  # setting written by the changes of a run; it has no effect on nodes


class HollowSpec(msgspec.Struct):
    """The specification file of a process of hollow nodes."""

    mechanism: Literal["members", "observer"]
    nodes: list[NodeSpec]
    total_nodes: int  # nodes of the whole run, which share the servers
    machines: list[MachineSpec]
    discovery: str
    folder: str
    secret_file: str
    seed: int
    probes_per_s: float
    start_spread_s: float
    restart_delay_s: float = 1.0  # mean time between the end of a node and its restart


class Applied(msgspec.Struct, array_like=True):
    """A revision, and the time on the steady clock (s) at which it was in force at a node."""

    revision: int
    at: float


class Span(msgspec.Struct, array_like=True):
    """A period on the steady clock (s); an `end` of 0 means that it has not ended."""

    begin: float
    end: float = 0.0


class ServedBy(msgspec.Struct, array_like=True):
    """The machine that serves a node from `begin` (steady clock, s) on; empty if no machine does."""

    machine: str
    begin: float


class NodeRecord(msgspec.Struct):
    """Measurements of one node over all its runs."""

    name: str
    region: str
    runs: list[Span] = []
    leases: list[Span] = []  # periods in which the node held a lease
    applied: list[Applied] = []
    served_by: list[ServedBy] = []
    sent: dict[str, int] = {}  # bytes in the window by kind of message
    received: dict[str, int] = {}


class ProcessRecord(msgspec.Struct):
    """Measurements of one process of hollow nodes."""

    nodes: list[NodeRecord]
    window_s: float
    processor_s: float  # processor time of the whole process in the window
    resident_empty_bytes: int  # before any node is created
    resident_bytes: int  # at the end of the window
    resident_peak_bytes: int
    counters: dict[str, int]  # sums over all nodes


class HollowNode:
    """The control side of one node during one of its runs."""

    def __init__(self, process: HollowProcess, spec: NodeSpec, record: NodeRecord, traffic: Traffic) -> None:
        self.process, self.spec, self.record, self.traffic = process, spec, record, traffic
        loop, settings = process.loop, process.settings
        self.metrics = process.metrics
        descriptors = DescriptorBudget(DESCRIPTORS, self.metrics)
        self.upstream = TcpUpstream(loop, settings.connect_timeout, descriptors)
        self.upstream.dialer.task.cancel()
        self.upstream.dialer = CountedDialer(loop, descriptors, traffic)
        self.proxy = Proxy(settings, process.rng.getrandbits(32), self.upstream, self.metrics, loop)
        self.discovery = HttpDiscovery(self.proxy, self.upstream.dialer, process.spec.discovery, self.metrics)
        self.configuration = DynamicConfiguration(self.metrics)
        self.configuration.register(CHANGED_KEY, "", lambda value: None)
        self.session: Session = process.session(self)
        self.health_check_timer: asyncio.TimerHandle | None = None
        self.ended = False

    def has_endpoint_list(self) -> bool:
        """Returns whether discovery has delivered an endpoint list."""
        return self.discovery.has_list

    async def start(self) -> None:
        """Starts discovery first and then the store session, in the order of a node's process."""
        self.record.runs.append(Span(steady()))
        self.discovery.start()
        await self.session.start()
        self._schedule_health_check()

    def applied(self, revision: int) -> None:
        """Records that `revision` is in force at this node."""
        if not self.record.applied or revision > self.record.applied[-1].revision:
            self.record.applied.append(Applied(revision, steady()))

    def record_session(self, now: float) -> None:
        """Records a gained or lost lease and a change of the serving machine; `now` is steady time in s."""
        spans, stays = self.record.leases, self.record.served_by
        machine = self.session.machine()
        if machine != (stays[-1].machine if stays else ""):
            stays.append(ServedBy(machine, now))
        had_lease, has_lease = bool(spans) and not spans[-1].end, self.session.holds_lease()
        if has_lease and not had_lease:
            spans.append(Span(now))
        elif had_lease and not has_lease:
            spans[-1].end = now

    def _schedule_health_check(self) -> None:
        rate = self.process.spec.probes_per_s
        if rate > 0 and not self.ended:
            wait = self.process.rng.expovariate(rate)
            self.health_check_timer = self.process.loop.call_later(wait, self._check_health)

    def _check_health(self) -> None:
        """Checks a random endpoint, in place of the occasional health checks of a node with clients."""
        known = [name for name, endpoint in self.proxy.endpoints.items() if endpoint.address]
        if known and not self.ended:
            self.proxy.check_health(self.process.rng.choice(known))
        self._schedule_health_check()

    def stop(self) -> None:
        """Ends the run of the node as a process does that the platform restarts."""
        now = steady()
        self.ended = True
        self.record.runs[-1].end = now
        if self.record.leases and not self.record.leases[-1].end:
            self.record.leases[-1].end = now
        self.session.stop(planned=True)
        if self.health_check_timer is not None:
            self.health_check_timer.cancel()
        self.discovery.stop()
        self.upstream.close_health_checks()
        self.upstream.dialer.task.cancel()
        # The balancer's timers are not stopped: in a real node they end with the process. Here they continue
        # to fire and find no work to do.
        self.proxy.sweep.stop()
        self.proxy.context.feed = lambda event: None  # type: ignore[method-assign]


class HollowProcess:
    """The nodes of one process, and the handlers of commands that the run sends to the process."""

    def __init__(self, spec: HollowSpec, loop: asyncio.AbstractEventLoop) -> None:
        self.spec, self.loop = spec, loop
        self.rng = random.Random(spec.seed)
        self.metrics = Metrics()
        fields = reader.flatten({**SETTINGS, "ReplicasOfMe": spec.total_nodes})
        self.settings = Settings(**reader.read(fields))
        self.records = [NodeRecord(node_spec.name, node_spec.region) for node_spec in spec.nodes]
        self.traffic = [Traffic() for _ in spec.nodes]
        self.nodes: dict[int, HollowNode] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.resident_empty = resident("VmRSS")
        self.window_at = steady()
        self.window_processor = time.process_time()
        self.measured: ProcessRecord | None = None

    def session(self, node: HollowNode) -> Session:
        """Returns a new store session for the node, of the run's mechanism."""
        parts = SessionParts(
            node.proxy,
            node.configuration,
            node.metrics,
            self.loop,
            node.traffic,
            node.has_endpoint_list,
            node.applied,
        )
        spec, machines = node.spec, self.spec.machines
        if self.spec.mechanism == "observer":
            from bench.scale.subscription import ObserverSession

            return ObserverSession(spec, machines, self.spec.secret_file, parts)
        secret = Path(self.spec.secret_file).read_bytes()
        return MemberSession(spec, machines, secret, Path(self.spec.folder) / spec.name, parts)

    async def start_node(self, number: int, after: float = 0.0) -> None:
        """Starts a run of node `number` after `after` seconds, unless the node is running."""
        await asyncio.sleep(after)
        if number not in self.nodes:
            node = HollowNode(self, self.spec.nodes[number], self.records[number], self.traffic[number])
            self.nodes[number] = node
            await node.start()

    def run(self, work: Any) -> None:
        """Runs a coroutine as a task, referenced until it ends; an error in it stops the event loop."""
        task: asyncio.Task[None] = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("hollow node failed", error=repr(error), exc_info=error)
            self.loop.stop()

    # Commands of the run

    def start(self) -> Done:
        """Starts all nodes, at random times within `start_spread_s` of the specification."""
        self.run(self._record_sessions())
        for number in range(len(self.spec.nodes)):
            self.run(self.start_node(number, self.rng.uniform(0.0, self.spec.start_spread_s)))
        return Done()

    def status(self) -> NodeStatus:
        """Returns the number of nodes with a lease and an endpoint list, and the lowest revision in force."""
        living = self.nodes.values()
        ready = [node for node in living if node.session.holds_lease() and node.has_endpoint_list()]
        least = min(
            (node.record.applied[-1].revision if node.record.applied else 0 for node in living), default=0
        )
        return NodeStatus(len(self.spec.nodes), len(ready), least)

    def begin_window(self) -> Done:
        """Starts the measured window."""
        for traffic in self.traffic:
            traffic.clear()
        # Many nodes share this heap. A full collection would pause all of them, for longer than it pauses a
        # process with one node.
        gc.collect()
        gc.freeze()
        self.window_at, self.window_processor = steady(), time.process_time()
        return Done()

    def end_window(self) -> Done:
        """Ends the measured window and takes its measurements."""
        for record, traffic in zip(self.records, self.traffic, strict=True):
            record.sent, record.received = dict(traffic.sent), dict(traffic.received)
        self.measured = ProcessRecord(
            self.records,
            steady() - self.window_at,
            time.process_time() - self.window_processor,
            self.resident_empty,
            resident("VmRSS"),
            resident("VmHWM"),
            {},
        )
        return Done()

    def restart(self, numbers: list[int]) -> Done:
        """Stops nodes at once, by their index in this process, and restarts them after a random delay.

        The delay is between 0.5 and 1.5 times `restart_delay_s`.
        """
        for number in numbers:
            node = self.nodes.pop(number, None)
            if node is not None:
                node.stop()
                self.run(self.start_node(number, self.rng.uniform(0.5, 1.5) * self.spec.restart_delay_s))
        return Done()

    def finish(self, path: Path) -> Done:
        """Writes the measurements to `path`, with the times recorded while the run settles."""
        assert self.measured is not None
        self.measured.counters = dict(self.metrics.counts)
        path.write_bytes(msgspec.json.encode(self.measured))
        return Done()

    async def _record_sessions(self) -> None:
        while True:
            now = steady()
            for node in self.nodes.values():
                node.record_session(now)
            await asyncio.sleep(LEASE_SAMPLE_INTERVAL_S)

    async def serve_commands(self) -> None:
        """Handles commands one after another until standard input ends."""
        lines = asyncio.StreamReader(limit=1 << 20)
        await self.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
        while line := await lines.readline():
            command: HollowCommand = msgspec.json.decode(line, type=HollowCommand)
            print(msgspec.json.encode(self.handle(command)).decode(), flush=True)

    def handle(self, command: HollowCommand) -> Done | NodeStatus:
        """Carries out a command of the run and returns its answer."""
        match command:
            case Start():
                return self.start()
            case GetStatus():
                return self.status()
            case BeginWindow():
                return self.begin_window()
            case EndWindow():
                return self.end_window()
            case Restart(nodes):
                return self.restart(nodes)
            case Finish(path):
                return self.finish(Path(path))


def resident(field: str) -> int:
    """Returns the resident memory of this process in bytes: `VmRSS` is the current size, `VmHWM` the peak."""
    lines = Path("/proc/self/status").read_text().splitlines()
    return 1024 * int(next(line for line in lines if line.startswith(field)).split()[1])


def configure_log() -> None:
    """Logs errors only, to standard error, because standard output carries the answers to the run."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(40),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


async def main(path: Path) -> None:
    """Runs the nodes of a specification file until standard input ends."""
    spec = msgspec.json.decode(path.read_bytes(), type=HollowSpec)
    process = HollowProcess(spec, asyncio.get_running_loop())
    await process.serve_commands()


if __name__ == "__main__":
    configure_log()
    uvloop.run(main(Path(sys.argv[1])))
