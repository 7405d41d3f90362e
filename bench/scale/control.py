"""Runs the control plane: control machines, scripted servers, hollow nodes, load, and an injected fault."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import tempfile
from pathlib import Path
from typing import Any

import msgspec
import structlog

from bench.scale import analysis, faults
from bench.scale.hollow import HollowSpec, NodeRecord, ProcessRecord
from bench.scale.load import Load, at_poisson_times
from bench.scale.machines import SECRET, MachineFigures, Machines
from bench.scale.measure import machine_busy_s, times, usage
from bench.scale.messages import (
    BeginWindow,
    DiscoveryPort,
    Done,
    EndWindow,
    Finish,
    GetStatus,
    HollowCommand,
    NodeStatus,
    Restart,
    Start,
)
from bench.scale.processes import Child, ChildFailedError, Children, children
from bench.scale.run_result import Result, notes, summed_counters
from bench.scale.scripted import ScriptedSpec
from bench.scale.sessions import NodeSpec, steady
from bench.scale.settings import RunSettings
from bench.scale.storeclient import StoreClient
from tests.support.node_environment import free_port

log = structlog.get_logger()

ANSWER_TIMEOUT_S = 60.0  # limit for the answer of a child process to a command
START_PER_NODE_S = 0.025  # starts are spread over this time multiplied by the number of nodes
MIN_START_SPREAD_S = 2.0
READY_POLL_INTERVAL_S = 0.5
CHILD_POLL_INTERVAL_S = 0.5


class Busy(msgspec.Struct):
    """Processor seconds used so far by the whole machine and, by pid, by the run's living processes."""

    machine: float
    processes: dict[int, float]


def cores_used(before: Busy, after: Busy, seconds: float) -> dict[str, float]:
    """Returns the mean cores used between two samples by the run's processes and by all others."""
    own = sum(after.processes[pid] - before.processes.get(pid, 0.0) for pid in after.processes)
    others = max(0.0, after.machine - before.machine - own)
    return {"run": round(own / seconds, 2), "others": round(others / seconds, 2)}


class ControlRun:
    """One run, from the start of its first process to its result."""

    def __init__(self, settings: RunSettings, started: Children, folder: Path) -> None:
        self.settings, self.children, self.folder = settings, started, folder
        self.rng = random.Random(settings.seed)
        self.nodes = [self._node(number) for number in range(settings.nodes)]
        self.machines = Machines(settings, started, folder, free_port)
        if settings.mechanism == "members":
            self.machines.members_beside = [node.as_member() for node in self.nodes]
        self.client = StoreClient(self.machines.addresses(), SECRET.encode())
        self.load = Load(self.client, settings.servers, self.rng)
        self.hollow: list[tuple[Child, list[NodeSpec]]] = []
        self.gate: Child | None = None
        self.lost_processes: set[str] = set()
        self.faults: list[dict[str, Any]] = []
        self.start_s = 0.0
        self.window_began = 0.0
        self.notes: list[str] = []
        self.cores_used: dict[str, float] = {}

    # Methods used by fault injection

    def fault_began(self, at: float, what: str) -> None:
        """Records the start of a fault: `at` on the steady clock, `what` names the fault's target."""
        self.faults.append({"at": at, "what": what, "until": 0.0})

    def fault_ended(self, at: float) -> None:
        """Records the end of the latest fault."""
        self.faults[-1]["until"] = at

    def alone(self) -> Child:
        """Returns the process that runs a single node."""
        return self.hollow[0][0]

    def rack(self) -> tuple[Child, int]:
        """Returns the process that runs the nodes of a rack, and the number of these nodes."""
        child, nodes = self.hollow[1]
        return child, len(nodes)

    async def call(self, child: Child, command: HollowCommand) -> None:
        """Sends a command to a hollow process and waits until the process confirms it."""
        child.send(command)
        await child.receive(Done, ANSWER_TIMEOUT_S)

    async def call_all(self, command: HollowCommand) -> None:
        """Sends a command to all hollow processes that are not lost, and waits until all confirm it."""
        await asyncio.gather(*(self.call(child, command) for child in self._remaining_processes()))

    def _remaining_processes(self) -> list[Child]:
        return [child for child, _ in self.hollow if child.name not in self.lost_processes]

    async def _node_status(self, child: Child) -> NodeStatus:
        child.send(GetStatus())
        return await child.receive(NodeStatus, ANSWER_TIMEOUT_S)

    # The run

    async def run(self) -> Result:
        """Starts all processes, measures, and returns the result.

        Raises:
            ChildFailedError: a process ended or did not answer in time, or the nodes were not ready in time.
        """
        watch = asyncio.ensure_future(self._watch())
        work = asyncio.ensure_future(self._run())
        try:
            await asyncio.wait([watch, work], return_when=asyncio.FIRST_COMPLETED)
            if watch.done():
                watch.result()
            return work.result()
        finally:
            for task in (watch, work):
                task.cancel()
            await asyncio.gather(watch, work, return_exceptions=True)
            self.client.close()

    async def _watch(self) -> None:
        """Fails the run when a process ends unexpectedly."""
        while True:
            if ended := self.children.unexpected_ends():
                child = next(each for each in self.children.children if each.name == ended[0])
                raise ChildFailedError(f"{ended[0]} ended with {child.process.returncode}{child.log_tail()}")
            await asyncio.sleep(CHILD_POLL_INTERVAL_S)

    async def _run(self) -> Result:
        if self.settings.fault == "region":
            self.gate = await self.machines.put_gate_between()
        await self.machines.start()
        discovery = await self._start_scripted()
        await self._start_hollow(discovery)
        await self._wait_until_ready()
        await asyncio.sleep(self.settings.warm_s)
        log.info("the window begins", nodes=self.settings.nodes, start_s=round(self.start_s, 1))
        figures, window_s, load_average = await self._window()
        await self._settle()
        records = await self._finish()
        return self._result(records, figures, window_s, load_average)

    async def _start_scripted(self) -> str:
        spec = ScriptedSpec(
            self.settings.servers, self.settings.seed, self.settings.list_changes_per_s / self.settings.clock
        )
        child = await self._start_with_spec("scripted", "bench.scale.scripted", spec)
        answer = await child.receive(DiscoveryPort, ANSWER_TIMEOUT_S)
        return f"127.0.0.1:{answer.discovery}"

    async def _start_with_spec(self, name: str, module: str, spec: msgspec.Struct) -> Child:
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(spec))
        return await self.children.start(name, [module, str(path)])

    async def _start_hollow(self, discovery: str) -> None:
        began = steady()
        nodes = self.nodes
        spread_s = max(MIN_START_SPREAD_S, START_PER_NODE_S * len(nodes))
        at = 0
        for number, size in enumerate(process_sizes(self.settings)):
            own = nodes[at : at + size]
            at += size
            region = self.machines.specs[number % self.settings.regions].region
            for node in own:
                node.region = region
            spec = HollowSpec(
                mechanism=self.settings.mechanism,
                nodes=own,
                total_nodes=self.settings.nodes,
                machines=[*self.machines.seen_from(region), *self.machines.members_beside],
                discovery=discovery,
                folder=str(self.folder),
                secret_file=str(self.machines.secret_file),
                seed=self.rng.getrandbits(32),
                probes_per_s=self.settings.probes_per_s / self.settings.clock,
                start_spread_s=spread_s,
            )
            child = await self._start_with_spec(f"hollow-{number:02}", "bench.scale.hollow", spec)
            self.hollow.append((child, own))
        await self.call_all(Start())
        self.start_s = -began

    def _node(self, number: int) -> NodeSpec:
        address = f"127.0.0.1:{free_port()}" if self.settings.mechanism == "members" else ""
        return NodeSpec(f"node-{number:04}", "", address)

    async def _wait_until_ready(self) -> None:
        end = steady() + self.settings.start_s
        while True:
            answers = await asyncio.gather(*map(self._node_status, self._remaining_processes()))
            ready = sum(status.ready for status in answers)
            if ready >= self.settings.nodes:
                self.start_s += steady()
                return
            if steady() > end:
                raise ChildFailedError(
                    f"{ready} of {self.settings.nodes} nodes were ready after {self.settings.start_s:g} s"
                )
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def _window(self) -> tuple[list[MachineFigures], float, list[float]]:
        await self.call_all(BeginWindow())
        self.machines.window()
        busy = self._busy()
        began = self.window_began = steady()
        loads = [
            asyncio.ensure_future(self.load.poisson(self.settings.changes_per_s())),
            asyncio.ensure_future(
                at_poisson_times(self.settings.restarts_per_s(), self.rng, self._restart_one)
            ),
        ]
        fault = asyncio.ensure_future(faults.inject(self))
        try:
            await asyncio.sleep(self.settings.seconds)
            await fault
            for load in loads:
                if load.done():
                    load.result()
        finally:
            for task in (*loads, fault):
                task.cancel()
        figures = self.machines.measure()
        window_s = steady() - began
        self.cores_used = cores_used(busy, self._busy(), window_s)
        await self.call_all(EndWindow())
        return figures, window_s, [round(value, 2) for value in os.getloadavg()]

    def _busy(self) -> Busy:
        living = [child.pid for child in self.children.children if child.alive()]
        return Busy(machine_busy_s(), {pid: usage(pid, 0.0).processor_s for pid in living})

    async def _restart_one(self) -> None:
        """Restarts a random node, in runs without a fault only."""
        child, nodes = self.rng.choice(self.hollow[1:] or self.hollow)
        if child.name not in self.lost_processes and self.settings.fault == "none":
            await self.call(child, Restart([self.rng.randrange(len(nodes))]))

    async def _settle(self) -> None:
        """Waits for writes and their delivery, so that a recent change is not counted as missing."""
        await self.load.finished()
        await asyncio.sleep(self.settings.settle_s)

    async def _finish(self) -> list[ProcessRecord]:
        records = []
        for child, _ in self.hollow:
            if child.name in self.lost_processes:
                continue
            path = self.folder / f"{child.name}.record"
            await self.call(child, Finish(str(path)))
            records.append(msgspec.json.decode(path.read_bytes(), type=ProcessRecord))
        return records

    def _result(
        self,
        records: list[ProcessRecord],
        figures: list[MachineFigures],
        window_s: float,
        load_average: list[float],
    ) -> Result:
        settings, writes = self.settings, self.load.writes
        nodes: list[NodeRecord] = [node for record in records for node in record.nodes]
        found = analysis.in_force(nodes, writes)
        deciding = times(found.deciding)
        resident = [float(process_record.resident_bytes) for process_record in records]
        kinds = ("discovery", "probe")
        return Result(
            nodes=settings.nodes,
            servers=settings.servers,
            in_force_s={"p50": deciding.p50, "p99": deciding.p99, "max": deciding.max},
            missing=found.missing,
            control_bytes_per_node_s=analysis.bytes_per_node(records),
            node_core_share=analysis.core_share(records),
            node_control_bytes=analysis.node_memory(records),
            control_machines=settings.control_machines,
            mechanism=settings.mechanism,
            fault=settings.fault,
            seconds=round(window_s, 2),
            seed=settings.seed,
            clock=settings.clock,
            acceleration=settings.acceleration,
            changes=len(writes),
            changes_not_acknowledged=sum(write.outcome != "ok" for write in writes),
            acknowledged_s=times(
                write.acknowledged - write.proposed for write in writes if write.outcome == "ok"
            ),
            in_force_of_others_s=times(found.others),
            in_force_everywhere_s=times(found.everywhere),
            pairs_left=found.left,
            store_bytes_per_node_s=analysis.bytes_per_node(records, without=kinds),
            bytes_per_node_s_by_kind=analysis.by_kind(records, len(nodes)),
            machines=figures,
            start_s=round(self.start_s, 2),
            leases_lost=analysis.leases_lost(nodes, self.window_began),
            fault_at=self.faults,
            level_again_s=self._level_again(nodes),
            lost_nodes=settings.nodes - len(nodes),
            hollow_processes=len(self.hollow),
            hollow_resident_bytes={"sum": sum(resident), "max": max(resident)},
            counters=summed_counters(records),
            cores=os.cpu_count() or 0,
            cores_used=self.cores_used,
            load_average=load_average,
            notes=[*notes(settings, writes), *self.notes],
        )

    def _level_again(self, nodes: list[NodeRecord]) -> analysis.LevelAgain | None:
        if not self.faults:
            return None
        first, last = self.faults[0], self.faults[-1]
        dead = {str(fault["what"]) for fault in self.faults if not fault["until"]}
        return analysis.level_again(nodes, first["at"], last["until"] or last["at"], dead)


def process_sizes(settings: RunSettings) -> list[int]:
    """Returns the number of nodes of each hollow process.

    The first process has a single node. With the fault `rack` the second has the nodes of a rack. The other
    nodes are distributed evenly.
    """
    if settings.nodes == 1 or settings.processes == 1:
        return [settings.nodes]
    sizes = [1]
    left = settings.nodes - 1
    if settings.fault == "rack":
        sizes.append(min(settings.rack, left))
        left -= sizes[-1]
    others = min(settings.processes - len(sizes), left)
    sizes += [left // others + (number < left % others) for number in range(others)]
    return sizes


async def control(settings: RunSettings) -> Result:
    """Carries out one run; however it ends, its processes are stopped and its temporary files deleted."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        async with children(Path(folder)) as started:
            return await ControlRun(settings, started, Path(folder)).run()
