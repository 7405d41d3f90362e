"""What goes wrong in a run, once: machines that die, nodes that restart, a rack, a region, a slow reader."""

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

REPLACED_AFTER_S = 3.0  # from a machine's death to the start of the one in its place
RESTARTED_ONE_IN = 10  # one node in so many
CUT_SIDE_WRITE_TIMEOUT_S = 3.0
SLOW_READER_CYCLE_S = 1.0
SLOW_READER_SHARE = 0.1  # of each cycle in which a slow reader runs


class FaultTarget(Protocol):
    """The run that a fault is injected into."""

    settings: RunSettings
    machines: Machines
    load: Load
    gate: Child | None
    hollow: list[tuple[Child, list[NodeSpec]]]
    lost_processes: set[str]
    notes: list[str]

    def fault_began(self, at: float, what: str) -> None:
        """The fault takes effect at `at` (steady clock, s)."""
        ...

    def fault_ended(self, at: float) -> None:
        """The fault is over at `at` (steady clock, s)."""
        ...

    def alone(self) -> Child:
        """A process that has one node alone."""
        ...

    def rack(self) -> tuple[Child, int]:
        """A process that stands for a rack, and its number of nodes."""
        ...

    async def call(self, child: Child, command: HollowCommand) -> None:
        """Send a command to a process, and wait until it is carried out."""
        ...


async def inject(run: FaultTarget) -> None:
    """The run's fault, at its time; it notes when that was."""
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
    """The leader first, then others."""
    leader = await run.machines.leader(5.0)
    others = [m for m in run.machines.living() if m is not leader]
    for spec in [leader, *others][:count]:
        run.fault_began(run.machines.kill(spec), spec.name)


async def replace_machine(run: FaultTarget) -> None:
    """The leader dies, and a new machine with an empty folder takes its place."""
    leader = await run.machines.leader(5.0)
    run.fault_began(run.machines.kill(leader), leader.name)
    await asyncio.sleep(REPLACED_AFTER_S)
    await run.machines.replace(leader)


def lose_rack(run: FaultTarget) -> None:
    """All nodes of one process fall silent at once, their connections open: nobody is notified."""
    child, nodes = run.rack()
    child.expected_to_end = True
    child.process.send_signal(signal.SIGSTOP)
    run.lost_processes.add(child.name)
    run.fault_began(steady(), f"{nodes} nodes")


async def restart_tenth(run: FaultTarget) -> None:
    """One node in ten restarts, all in one moment."""
    run.fault_began(steady(), "a tenth of the nodes")
    for child, nodes in run.hollow:
        chosen = [number for number in range(len(nodes)) if number % RESTARTED_ONE_IN == 0]
        await run.call(child, Restart(chosen))


async def read_slowly(run: FaultTarget) -> None:
    """The process of one node runs for a tenth of the time, while a burst of changes goes out."""
    child = run.alone()
    run.fault_began(steady(), "one node")
    burst = asyncio.ensure_future(run.load.burst(run.settings.burst))
    end = steady() + run.settings.fault_s
    with running_again(child):
        while steady() < end:
            child.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SLOW_READER_CYCLE_S * (1.0 - SLOW_READER_SHARE))
            child.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(SLOW_READER_CYCLE_S * SLOW_READER_SHARE)
    run.fault_ended(steady())
    await burst


@contextlib.contextmanager
def running_again(child: Child) -> Iterator[None]:
    """Whatever happens in the block, the child runs afterwards."""
    try:
        yield
    finally:
        with contextlib.suppress(ProcessLookupError):
            child.process.send_signal(signal.SIGCONT)


async def cut_region(run: FaultTarget) -> None:
    """The last region hears nobody outside it, and nobody hears it, for a scaled hour; then it heals."""
    assert run.gate is not None
    region = run.machines.cut_region()
    run.gate.send(CutRegion(region))
    run.fault_began(steady(), region)
    await write_at_cut_side(run, region)
    await asyncio.sleep(run.settings.fault_s)
    run.gate.send(HealRegion())
    run.fault_ended(steady())


async def write_at_cut_side(run: FaultTarget, region: str) -> None:
    """A write at a machine that is cut off is refused, and the refusal says what to do."""
    cut = next(m for m in run.machines.specs if m.region == region)
    client = StoreClient([cut.listen_address], SECRET.encode())
    record = await client.write(KeyUpdate("config/motd", "from the cut side"), CUT_SIDE_WRITE_TIMEOUT_S)
    client.close()
    run.notes.append(f"a write at the cut side came to {record.outcome!r}: {record.text}")
