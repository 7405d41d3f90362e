"""Whether a revision is in force at all nodes that subscribe: one member asks all, until it is or it is late.

Each member knows the nodes that subscribe there. One that can't be asked, or that was started lately, leaves
nodes unknown, and then the answer is no yes.
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

ROUND_PERIOD_S = 0.1  # s between two rounds
ROUND_TIMEOUT_S = 1.0  # s in which a member has to answer
RESPONSE_MARGIN_S = 0.2  # s before whoever asks gives up
MAX_NAMED_NODES = 20  # nodes that an answer names


class InForceHost(Protocol):
    """The member that gathers."""

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
        """`done` with the member's answer, or with a no."""


class InForceCheck:
    """One question, asked in rounds."""

    def __init__(
        self, asker: InForceHost, me: str, revision: int, until: float, done: ResponseCallback
    ) -> None:
        """`me` is this member's id; `until` the steady time at which whoever asks gives up."""
        self.asker, self.me, self.revision, self.done = asker, me, revision, done
        self.until = until - RESPONSE_MARGIN_S
        self.round: InForceTally | None = None
        self.waiting = 0

    def start(self) -> None:
        """Ask all members."""
        members = self.asker.members()
        self.round = current = InForceTally(self.revision, [member.name for member in members])
        self.waiting = len(members)
        left = min(ROUND_TIMEOUT_S, max(0.01, self.until - time.monotonic()))
        for member in members:
            if member.id == self.me:
                self._reported(current, self.asker.local_report(self.revision))
            else:
                self._ask(current, member, left)

    def _ask(self, current: InForceTally, member: Member, left: float) -> None:
        def answered(answer: wire.Response) -> None:
            report = None
            if answer.outcome == "ok":
                report = msgspec.msgpack.decode(answer.data, type=MachineReport)
            self._reported(current, report)

        self.asker.request_from_member(member, wire.InForce(self.revision), answered, left)

    def _reported(self, current: InForceTally, report: MachineReport | None) -> None:
        if report is not None:
            current.reported(report)
        self.waiting -= 1
        if self.waiting == 0:
            self._look(current.verdict())

    def _look(self, verdict: InForceVerdict) -> None:
        if verdict.in_force:
            text = f"in force at {verdict.subscribers} nodes"
            self.done(wire.Response(0, text=text, revision=self.revision, status=_status(verdict)))
        elif time.monotonic() + ROUND_PERIOD_S >= self.until:
            text = f"not_in_force: {describe(verdict)}"
            self.done(wire.Response(0, "no", text, self.revision, status=_status(verdict)))
        else:
            self.asker.loop.call_later(ROUND_PERIOD_S, self.start)


def _status(verdict: InForceVerdict) -> dict[str, object]:
    return {
        "subscribers": verdict.subscribers,
        "missing": list(verdict.missing[:MAX_NAMED_NODES]),
        "missing_count": len(verdict.missing),
        "unasked": list(verdict.unasked),
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
    if verdict.unasked:
        parts.append(f"could not ask {', '.join(verdict.unasked)}, whose nodes are unknown")
    if verdict.restarted:
        parts.append(f"{', '.join(verdict.restarted)} started lately, and knows no nodes of its earlier life")
    return "; ".join(parts)
