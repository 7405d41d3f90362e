"""Whether a revision is in force at all nodes that subscribe: one member collects what all know, in rounds.

Each member knows the nodes that subscribe there. One that can't be reached, or that was started lately,
leaves nodes unknown; the revision then counts as not in force.
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

ROUND_PERIOD_S = 0.1  # between two rounds
ROUND_TIMEOUT_S = 1.0  # in which a member has to answer
MIN_ROUND_TIMEOUT_S = 0.01
RESPONSE_MARGIN_S = 0.2  # before the requester gives up
MAX_NAMED_NODES = 20  # in a response


class InForceHost(Protocol):
    """The member that collects."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop that it runs on."""

    def members(self) -> list[Member]:
        """All members, this one among them."""

    def local_report(self, revision: int) -> MachineReport:
        """What this member knows itself."""

    def request_from_member(
        self, member: Member, body: wire.RequestBody, respond: ResponseCallback, timeout_s: float
    ) -> None:
        """`respond` with the member's response, or with a no."""


class InForceCheck:
    """The reports about one revision, collected in rounds until it is in force or the requester gives up."""

    def __init__(
        self,
        host: InForceHost,
        member_id: str,
        revision: int,
        expires_at: float,
        respond: ResponseCallback,
    ) -> None:
        """`member_id` is this member's; `expires_at` the steady time at which the requester gives up."""
        self.host, self.member_id, self.revision, self.respond = host, member_id, revision, respond
        self._last_round_at = expires_at - RESPONSE_MARGIN_S
        self._awaited_reports = 0

    def start(self) -> None:
        """Begin a round: request the reports of all members."""
        members = self.host.members()
        tally = InForceTally(self.revision, [member.name for member in members])
        self._awaited_reports = len(members)
        left_s = self._last_round_at - time.monotonic()
        timeout_s = min(ROUND_TIMEOUT_S, max(MIN_ROUND_TIMEOUT_S, left_s))
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
        elif time.monotonic() + ROUND_PERIOD_S >= self._last_round_at:
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
    """Who is missing, and what is unknown, in one line."""
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
        parts.append(f"{', '.join(verdict.restarted)} started lately, and knows no nodes of its earlier life")
    return "; ".join(parts)
