"""From what each process noted to the figures of a run: no I/O."""

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
    """How long changes took to be in force: at nodes that decided by the store then, and at all others."""

    deciding: list[float] = field(default_factory=list)  # s, of nodes that held a lease at the commit
    others: list[float] = field(default_factory=list)  # s, of living nodes that held none
    everywhere: list[float] = field(default_factory=list)  # s of each change until the last node has it
    missing: int = 0  # pairs of a change and a living node that never had it
    left: int = 0  # pairs whose node ended first


def covering(spans: Iterable[Span], at: float) -> Span | None:
    """The span that `at` lies in."""
    return next((s for s in spans if s.begin <= at and (not s.end or at < s.end)), None)


def in_force(nodes: list[NodeRecord], writes: list[WriteRecord]) -> InForce:
    """Each change at each node, from the moment it was proposed."""
    result = InForce()
    changes = [w for w in writes if w.outcome == "ok"]
    latest = [0.0] * len(changes)
    for node in nodes:
        revisions = [a.revision for a in node.applied]
        for number, change in enumerate(changes):
            run = covering(node.runs, change.proposed)
            if run is None:
                continue
            place = bisect_left(revisions, change.revision)
            at = node.applied[place].at if place < len(revisions) else 0.0
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
    """How long after a fault the nodes that it touched were served again, and held a lease."""

    moved: int = 0  # nodes that were at a machine that died
    lost: int = 0  # nodes that lost their lease
    never: int = 0  # nodes that were not level again


def level_again(nodes: list[NodeRecord], at: float, ended: float, dead: set[str]) -> LevelAgain:
    """From a fault's end until each living node that it touched was level for good.

    Touched are those that were at a machine that died, and those that lost their lease. A fault without an
    end of its own, as a machine's death, has `ended` equal to `at`.
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
    """The machine that served a node at a moment; empty: none."""
    earlier = [stay.machine for stay in node.served_by if stay.begin <= at]
    return earlier[-1] if earlier else ""


def leases_lost(nodes: list[NodeRecord], since: float) -> int:
    """How often a living node lost its lease since a moment."""
    ends = {(n.name, run.end) for n in nodes for run in n.runs if run.end}
    return sum(1 for n in nodes for s in n.leases if s.end > since and (n.name, s.end) not in ends)


def by_kind(records: list[ProcessRecord], nodes: int) -> dict[str, dict[str, float]]:
    """Mean bytes a second of one node by kind of message."""
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
    """Bytes a second of each node, both ways together, but for some kinds."""
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
    """Processor time of a node as a share of a core; the largest is that of a process's mean node."""
    nodes = sum(len(r.nodes) for r in records)
    mean = sum(r.processor_s / r.window_s for r in records) / nodes
    largest = max(r.processor_s / r.window_s / len(r.nodes) for r in records)
    return {"mean": round(mean, 6), "max": round(largest, 6)}


def node_memory(records: list[ProcessRecord]) -> dict[str, float]:
    """Bytes that a node adds to its process, and of the whole process of a node alone."""
    many = [r for r in records if len(r.nodes) > 1] or records
    result = spread([(r.resident_bytes - r.resident_empty_bytes) / len(r.nodes) for r in many], 0)
    alone = [r.resident_bytes for r in records if len(r.nodes) == 1]
    return result | ({"process_of_one": float(alone[0])} if alone else {})
