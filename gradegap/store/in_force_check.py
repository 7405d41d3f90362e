"""Checks whether a revision is in force, that is, acknowledged by all subscribed nodes.

The member that received the request for the check works in rounds. In each round it requests a report from
every other member of the cluster and adds its own. A report names the nodes that are subscribed to the
reporting member, or were until recently, and have not acknowledged the revision. Rounds are repeated until
the revision is in force or the deadline has passed. The nodes of a member that can't be reached, or that
started recently, may be unknown; the revision then counts as not in force.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

import msgspec

from gradegap.raft import Member
from gradegap.store import wire
from gradegap.store.in_force import InForceTally, InForceVerdict, MachineReport
from gradegap.store.pending import ResponseCallback

if TYPE_CHECKING:
    import asyncio

ROUND_PERIOD_S = 0.1  # pause between two rounds
ROUND_TIMEOUT_S = 1.0  # time limit for a member to respond with its report
MIN_ROUND_TIMEOUT_S = 0.01  # lower limit on the timeout of a round that starts shortly before the deadline
RESPONSE_MARGIN_S = 0.2  # time between the end of the check and the time at which the requester stops waiting
MAX_NAMED_NODES = 20  # limit on the number of missing nodes that a response names


class InForceHost(Protocol):
    """The interface of the member that collects the reports."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The member's event loop."""

    def members(self) -> list[Member]:
        """All members of the cluster, including this one."""

    def local_report(self, revision: int) -> MachineReport:
        """This member's own report on a revision."""

    def request_from_member(
        self, member: Member, body: wire.RequestBody, respond: ResponseCallback, timeout_s: float
    ) -> None:
        """Sends a request to `member`, and calls `respond` with its response, or with a rejection."""


class InForceCheck:
    """Collects members' reports in rounds, until the revision is in force or the deadline has passed."""

    def __init__(
        self,
        host: InForceHost,
        member_id: str,
        revision: int,
        expires_at: float,
        respond: ResponseCallback,
    ) -> None:
        """Prepares a check.

        `member_id` is the id of this member. `expires_at` is the steady time in seconds at which the
        requester stops waiting.
        """
        self.host, self.member_id, self.revision, self.respond = host, member_id, revision, respond
        self._deadline = expires_at - RESPONSE_MARGIN_S
        self._awaited_reports = 0

    def start(self) -> None:
        """Starts a round: requests the reports of all members."""
        members = self.host.members()
        tally = InForceTally(self.revision, [member.name for member in members])
        self._awaited_reports = len(members)
        remaining_s = self._deadline - time.monotonic()
        timeout_s = min(ROUND_TIMEOUT_S, max(MIN_ROUND_TIMEOUT_S, remaining_s))
        for member in members:
            if member.id == self.member_id:
                self._reported(tally, self.host.local_report(self.revision))
            else:
                self._request_report(tally, member, timeout_s)

    def _request_report(self, tally: InForceTally, member: Member, timeout_s: float) -> None:
        def receive(response: wire.Response) -> None:
            report = None
            if response.outcome == "ok":
                report = msgspec.msgpack.decode(response.data, type=MachineReport)
            self._reported(tally, report)

        self.host.request_from_member(member, wire.InForce(self.revision), receive, timeout_s)

    def _reported(self, tally: InForceTally, report: MachineReport | None) -> None:
        if report is not None:
            tally.add_report(report)
        self._awaited_reports -= 1
        if self._awaited_reports == 0:
            self._end_round(tally.verdict())

    def _end_round(self, verdict: InForceVerdict) -> None:
        if verdict.in_force:
            text = f"in force at {verdict.subscribers} nodes"
            self.respond(wire.Response(0, text=text, revision=self.revision, status=_status(verdict)))
        elif time.monotonic() + ROUND_PERIOD_S >= self._deadline:
            text = f"not_in_force: {describe(verdict)}"
            self.respond(wire.Response(0, "no", text, self.revision, status=_status(verdict)))
        else:
            self.host.loop.call_later(ROUND_PERIOD_S, self.start)


def _status(verdict: InForceVerdict) -> dict[str, object]:
    return {
        "subscribers": verdict.subscribers,
        "missing": list(verdict.missing[:MAX_NAMED_NODES]),
        "missing_count": len(verdict.missing),
        "unasked": list(verdict.unreachable),
        "restarted": list(verdict.restarted),
    }


def describe(verdict: InForceVerdict) -> str:
    """Returns one line that names the missing nodes, and the members whose nodes are unknown."""
    parts = []
    if verdict.missing:
        named = ", ".join(verdict.missing[:MAX_NAMED_NODES])
        more = len(verdict.missing) - MAX_NAMED_NODES
        parts.append(
            f"{len(verdict.missing)} of {verdict.subscribers} nodes have not acknowledged revision "
            f"{verdict.revision}: {named}{f' and {more} more' if more > 0 else ''}"
        )
    if verdict.unreachable:
        parts.append(f"could not ask {', '.join(verdict.unreachable)}, whose nodes are unknown")
    if verdict.restarted:
        parts.append(f"{', '.join(verdict.restarted)} started recently: nodes of the earlier run are unknown")
    return "; ".join(parts)
