"""Calculates the results of a run from the records of its processes, without I/O."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from bench.scale.hollow import NodeRecord, ProcessRecord, Span
from bench.scale.measure import Times, spread, times
from bench.scale.storeclient import WriteRecord


@dataclass
class InForce:
    """Times until changes are in force, for nodes that held a lease at the commit and for all others."""

    deciding: list[float] = field(
        default_factory=list
    )  # seconds, for nodes that held a lease when the change was proposed
    others: list[float] = field(default_factory=list)  # seconds, for running nodes that held no lease
    everywhere: list[float] = field(
        default_factory=list
    )  # seconds for each change until the last node with a lease has it
    missing: int = 0  # pairs of a change and a running node that never applied it
    left: int = 0  # pairs whose node ended before it applied the change


def covering(spans: Iterable[Span], at: float) -> Span | None:
    """Returns the span that contains `at`, or None."""
    return next((s for s in spans if s.begin <= at and (not s.end or at < s.end)), None)


def in_force(nodes: list[NodeRecord], writes: list[WriteRecord]) -> InForce:
    """Returns the times until each change is in force at each node, from the proposal of the change."""
    result = InForce()
    changes = [w for w in writes if w.outcome == "ok"]
    latest = [0.0] * len(changes)
    for node in nodes:
        revisions = [a.revision for a in node.applied]
        for number, change in enumerate(changes):
            run = covering(node.runs, change.proposed)
            if run is None:
                continue
            index = bisect_left(revisions, change.revision)
            at = node.applied[index].at if index < len(revisions) else 0.0
            if not at or (run.end and at > run.end):
                result.left += bool(run.end)
                result.missing += not run.end
                continue
            spent = max(0.0, at - change.proposed)
            deciding = covering(node.leases, change.proposed) is not None
            (result.deciding if deciding else result.others).append(spent)
            if deciding:
                latest[number] = max(latest[number], spent)
    result.everywhere = latest
    return result


class LevelAgain(Times):
    """Times after a fault until the affected nodes are served and hold a lease again, in seconds."""

    moved: int = 0  # nodes that were served by a machine that was lost
    lost: int = 0  # nodes that lost their lease
    never: int = 0  # nodes that did not recover


def level_again(nodes: list[NodeRecord], at: float, ended: float, dead: set[str]) -> LevelAgain:
    """Returns the times from the end of a fault until each affected running node has recovered for good.

    Affected nodes are those served by a machine that was lost, and those that lost their lease. For a fault
    that does not end, such as the loss of a machine, `ended` equals `at`.
    """
    spent: list[float] = []
    moved = lost = never = 0
    for node in nodes:
        if not node.runs or node.runs[-1].end or covering(node.leases, at) is None:
            continue
        was_at_dead = machine_at(node, at) in dead
        regained = [s.begin for s in node.leases if s.begin > at]
        lost_lease = bool(regained or node.leases[-1].end)
        moved += was_at_dead
        lost += lost_lease
        arrived = [s.begin for s in node.served_by if s.begin > at and s.machine and s.machine not in dead]
        if node.leases[-1].end or (was_at_dead and not arrived):
            never += 1
        elif was_at_dead or lost_lease:
            level = max([at, *regained[-1:], *(arrived[:1] if was_at_dead else [])])
            spent.append(max(0.0, level - ended))
    found = times(spent)
    return LevelAgain(found.p50, found.p99, found.max, found.count, moved, lost, never)


def machine_at(node: NodeRecord, at: float) -> str:
    """Returns the machine that served a node at a point in time, or an empty string if none did."""
    earlier = [stay.machine for stay in node.served_by if stay.begin <= at]
    return earlier[-1] if earlier else ""


def leases_lost(nodes: list[NodeRecord], since: float) -> int:
    """Returns how often running nodes have lost their lease since a point in time."""
    ends = {(n.name, run.end) for n in nodes for run in n.runs if run.end}
    return sum(1 for n in nodes for s in n.leases if s.end > since and (n.name, s.end) not in ends)


def by_kind(records: list[ProcessRecord], nodes: int) -> dict[str, dict[str, float]]:
    """Returns the mean bytes per second of one node, by kind of message."""
    result: dict[str, dict[str, float]] = {}
    for direction in ("sent", "received"):
        totals: Counter[str] = Counter()
        for record in records:
            for node in record.nodes:
                for kind, size in getattr(node, direction).items():
                    totals[kind] += size / record.window_s / nodes
        result[direction] = {kind: round(rate, 3) for kind, rate in sorted(totals.items())}
    return result


def bytes_per_node(records: list[ProcessRecord], without: tuple[str, ...] = ()) -> dict[str, float]:
    """Returns the spread of the bytes per second of a node in both directions, except for some kinds."""
    rates = []
    for record in records:
        for node in record.nodes:
            total = sum(
                size
                for direction in (node.sent, node.received)
                for kind, size in direction.items()
                if kind not in without
            )
            rates.append(total / record.window_s)
    return spread(rates, 1)


def core_share(records: list[ProcessRecord]) -> dict[str, float]:
    """Returns the processor time of a node as a ratio of a core.

    The maximum is taken over the mean node of each process.
    """
    nodes = sum(len(r.nodes) for r in records)
    mean = sum(r.processor_s / r.window_s for r in records) / nodes
    largest = max(r.processor_s / r.window_s / len(r.nodes) for r in records)
    return {"mean": round(mean, 6), "max": round(largest, 6)}


def node_memory(records: list[ProcessRecord]) -> dict[str, float]:
    """Returns the bytes that a node adds to its process, and those of a process with a single node."""
    many = [r for r in records if len(r.nodes) > 1] or records
    result = spread([(r.resident_bytes - r.resident_empty_bytes) / len(r.nodes) for r in many], 0)
    alone = [r.resident_bytes for r in records if len(r.nodes) == 1]
    return result | ({"process_of_one": float(alone[0])} if alone else {})
