"""Determines from the reports of all control machines whether a revision is in force at all nodes. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class MachineReport(msgspec.Struct, frozen=True, array_like=True):
    """The report of one control machine on which of its nodes have acknowledged a revision."""

    machine: str
    revision: int  # the requested revision, or the one that the machine has applied if that is lower
    subscribers: int
    behind: tuple[str, ...] = ()  # connected nodes that have not acknowledged the revision
    lost: tuple[str, ...] = ()  # recently disconnected nodes that had not acknowledged the revision
    arrived: tuple[str, ...] = ()  # nodes that connected recently and have acknowledged the revision
    # The machine started recently: nodes of its previous process that have not reconnected yet are unknown.
    restarted: bool = False


class InForceVerdict(msgspec.Struct, frozen=True):
    """The result of a check whether a revision is in force."""

    revision: int
    subscribers: int
    missing: tuple[str, ...]  # nodes that have not acknowledged the revision
    unreachable: tuple[str, ...]  # machines without a report, whose nodes are unknown
    # machines that started recently and may not know all nodes of their previous process
    restarted: tuple[str, ...] = ()

    @property
    def in_force(self) -> bool:
        """Whether every live node is known to have acknowledged the revision."""
        return not self.missing and not self.unreachable and not self.restarted


class InForceTally:
    """Collects the reports of all control machines on one revision."""

    def __init__(self, revision: int, machines: Iterable[str]) -> None:
        self.revision = revision
        self.machines = frozenset(machines)
        self.reports: dict[str, MachineReport] = {}

    def add_report(self, report: MachineReport) -> None:
        """Adds a report in place of the machine's earlier one; reports of unknown machines are ignored."""
        if report.machine in self.machines:
            self.reports[report.machine] = report

    def verdict(self) -> InForceVerdict:
        """The verdict from the reports that were added so far."""
        reports = self.reports.values()
        behind = {node for report in reports for node in report.behind}
        arrived = {node for report in reports for node in report.arrived}
        lost = {node for report in reports for node in report.lost}
        return InForceVerdict(
            self.revision,
            sum(report.subscribers for report in reports),
            tuple(sorted(behind | (lost - arrived))),
            tuple(sorted(self.machines - self.reports.keys())),
            tuple(sorted(report.machine for report in reports if report.restarted)),
        )
