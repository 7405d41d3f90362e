"""Faults of a run: killed machines, restarted nodes, a lost rack, a region that is cut off, a slow reader."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Iterator
from typing import Protocol

from bench.scale.load import Load
from bench.scale.machines import SECRET, Machines
from bench.scale.messages import CutRegion, HealRegion, HollowCommand, Restart
from bench.scale.processes import Child
from bench.scale.sessions import NodeSpec, steady
from bench.scale.settings import RunSettings
from bench.scale.storeclient import StoreClient
from gradegap.store.records import KeyUpdate

REPLACEMENT_DELAY_S = 3.0  # time from the kill of a machine to the start of its replacement
RESTART_INTERVAL_COUNT = 10  # every tenth node of a process restarts
CUT_SIDE_WRITE_TIMEOUT_S = 3.0
SLOW_READER_CYCLE_S = 1.0
SLOW_READER_RUNNING_RATIO = 0.1  # part of each cycle in which a slow reader runs


class FaultTarget(Protocol):
    """The run into which a fault is injected."""

    settings: RunSettings
    machines: Machines
    load: Load
    gate: Child | None
    hollow: list[tuple[Child, list[NodeSpec]]]
    lost_processes: set[str]
    notes: list[str]

    def fault_began(self, at: float, what: str) -> None:
        """Records that the fault takes effect at `at` (steady clock, s)."""
        ...

    def fault_ended(self, at: float) -> None:
        """Records that the fault ends at `at` (steady clock, s)."""
        ...

    def alone(self) -> Child:
        """Returns a process with a single node."""
        ...

    def rack(self) -> tuple[Child, int]:
        """Returns a process that represents a rack, and its number of nodes."""
        ...

    async def call(self, child: Child, command: HollowCommand) -> None:
        """Sends a command to a process, and waits until the command is done."""
        ...


async def inject(run: FaultTarget) -> None:
    """Injects the fault of the run at its time, and records the time."""
    settings = run.settings
    await asyncio.sleep(settings.seconds * settings.fault_at)
    match settings.fault:
        case "machine-killed":
            await kill_machines(run, 1)
        case "two-killed":
            await kill_machines(run, 2)
        case "replaced":
            await replace_machine(run)
        case "rack":
            lose_rack(run)
        case "restart-tenth":
            await restart_tenth(run)
        case "burst":
            await run.load.burst(settings.burst)
        case "slow-reader":
            await read_slowly(run)
        case "region":
            await cut_region(run)


async def kill_machines(run: FaultTarget, count: int) -> None:
    """Kills `count` machines, the leader first."""
    leader = await run.machines.leader(5.0)
    others = [m for m in run.machines.living() if m is not leader]
    for spec in [leader, *others][:count]:
        run.fault_began(run.machines.kill(spec), spec.name)


async def replace_machine(run: FaultTarget) -> None:
    """Kills the leader, and starts a new machine with an empty folder in its place."""
    leader = await run.machines.leader(5.0)
    run.fault_began(run.machines.kill(leader), leader.name)
    await asyncio.sleep(REPLACEMENT_DELAY_S)
    await run.machines.replace(leader)


def lose_rack(run: FaultTarget) -> None:
    """Stops all nodes of one process at once; their connections stay open, so that no peer is notified."""
    child, nodes = run.rack()
    child.expected_to_end = True
    child.process.send_signal(signal.SIGSTOP)
    run.lost_processes.add(child.name)
    run.fault_began(steady(), f"{nodes} nodes")


async def restart_tenth(run: FaultTarget) -> None:
    """Restarts one node in ten, all at the same time."""
    run.fault_began(steady(), "a tenth of the nodes")
    for child, nodes in run.hollow:
        chosen = [number for number in range(len(nodes)) if number % RESTART_INTERVAL_COUNT == 0]
        await run.call(child, Restart(chosen))


async def read_slowly(run: FaultTarget) -> None:
    """Lets the process of one node run for a tenth of the time during a burst of changes."""
    child = run.alone()
    run.fault_began(steady(), "one node")
    burst = asyncio.ensure_future(run.load.burst(run.settings.burst))
    end = steady() + run.settings.fault_s
    with continued_afterwards(child):
        while steady() < end:
            child.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SLOW_READER_CYCLE_S * (1.0 - SLOW_READER_RUNNING_RATIO))
            child.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(SLOW_READER_CYCLE_S * SLOW_READER_RUNNING_RATIO)
    run.fault_ended(steady())
    await burst


@contextlib.contextmanager
def continued_afterwards(child: Child) -> Iterator[None]:
    """Continues the child when the block ends, also after an error."""
    try:
        yield
    finally:
        with contextlib.suppress(ProcessLookupError):
            child.process.send_signal(signal.SIGCONT)


async def cut_region(run: FaultTarget) -> None:
    """Cuts the last region off in both directions for `fault_s` seconds (a scaled hour), then heals it."""
    assert run.gate is not None
    region = run.machines.cut_region()
    run.gate.send(CutRegion(region))
    run.fault_began(steady(), region)
    await write_at_cut_side(run, region)
    await asyncio.sleep(run.settings.fault_s)
    run.gate.send(HealRegion())
    run.fault_ended(steady())


async def write_at_cut_side(run: FaultTarget, region: str) -> None:
    """Records the outcome of a write at a machine that is cut off, which is rejected with advice."""
    cut = next(m for m in run.machines.specs if m.region == region)
    client = StoreClient([cut.listen_address], SECRET.encode())
    record = await client.write(KeyUpdate("config/motd", "from the cut side"), CUT_SIDE_WRITE_TIMEOUT_S)
    client.close()
    run.notes.append(f"a write at the cut side came to {record.outcome!r}: {record.text}")
