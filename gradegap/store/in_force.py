"""Whether a revision is in force at all living nodes, by what each control machine reports. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class MachineReport(msgspec.Struct, frozen=True, array_like=True):
    """What one machine knows of its nodes about one revision."""

    machine: str
    revision: int  # the least of the requested one and what this machine has applied
    subscribers: int
    behind: tuple[str, ...] = ()  # connected here, and not acknowledged
    lost: tuple[str, ...] = ()  # not acknowledged when the connection to here was lost, lately
    arrived: tuple[str, ...] = ()  # connected here lately, and acknowledged
    restarted: bool = False  # lately: nodes of its earlier incarnation that are not back are unknown


class InForceVerdict(msgspec.Struct, frozen=True):
    """The answer to whether a revision is in force."""

    revision: int
    subscribers: int
    missing: tuple[str, ...]  # nodes that have not acknowledged
    unreachable: tuple[str, ...]  # machines that did not report, whose nodes are unknown
    restarted: tuple[str, ...] = ()  # machines whose earlier incarnation's nodes are unknown

    @property
    def in_force(self) -> bool:
        """Whether every living node has acknowledged."""
        return not self.missing and not self.unreachable and not self.restarted


class InForceTally:
    """Collects the reports of all members about one revision."""

    def __init__(self, revision: int, machines: Iterable[str]) -> None:
        self.revision = revision
        self.machines = frozenset(machines)
        self.reports: dict[str, MachineReport] = {}

    def add_report(self, report: MachineReport) -> None:
        """The latest report of a machine counts; one of an unknown machine is left out."""
        if report.machine in self.machines:
            self.reports[report.machine] = report

    def verdict(self) -> InForceVerdict:
        """What is known by now."""
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
