"""A pending request at a member, its states and the transitions between them. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from gradegap.store import wire

ResponseCallback = Callable[[wire.Response], None]

CHANGING_REQUESTS = wire.Transaction | wire.AddMember | wire.RemoveMember | wire.TransferLeadership


class RequestState(Enum):
    """The states of a request; each comment says until when the request waits in that state."""

    NEW = auto()
    LEADER = auto()  # until a leader is known or the next attempt is due
    MEMBER = auto()  # until the member to which the request was forwarded responds
    COMMIT = auto()  # until the log entry of the request is committed
    READ_INDEX = auto()  # until the log index is known at which the read is linearizable
    APPLIED = auto()  # until this member has applied the log up to the index of the read
    LEASE_HOLDERS = auto()  # until every lease holder has applied the log entry of the request
    TRANSFER = auto()  # until another member has become the leader
    IN_FORCE = auto()  # until all subscribed nodes have acknowledged a revision
    DONE = auto()


LEADER_STATES = frozenset(
    {
        RequestState.COMMIT,
        RequestState.READ_INDEX,
        RequestState.APPLIED,
        RequestState.LEASE_HOLDERS,
        RequestState.TRANSFER,
    }
)
"""States of requests that this member handles as the leader; a request leaves them on loss of leadership."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A pending request. Its state is changed only by these methods, and never after it is done."""

    serial: int
    body: wire.RequestBody
    respond: ResponseCallback
    expires_at: float  # steady time (s) at which the requester stops waiting
    # the request was sent by another member, which itself retries the requests that it forwards
    from_member: bool
    may_be_applied: bool = False  # the request reached a leader, so its outcome may be unknown
    state: RequestState = RequestState.NEW
    member_id: str = ""  # in state MEMBER: the member whose response it waits for
    index: int = 0  # log index of the request's entry; for a read, the index from which it is linearizable
    term: int = 0  # term of the log entry of the request

    @property
    def is_done(self) -> bool:
        """Whether the request has been answered."""
        return self.state is RequestState.DONE

    @property
    def is_in_doubt(self) -> bool:
        """Whether the request changes state and reached a leader, so that its outcome is unknown here."""
        return self.may_be_applied and isinstance(self.body, CHANGING_REQUESTS)

    @property
    def is_handled_as_leader(self) -> bool:
        """Whether this member carries out the request as the leader."""
        return self.state in LEADER_STATES

    def waits_for_member(self, member_id: str) -> bool:
        """Whether the request was forwarded to this member and waits for its response."""
        return self.state is RequestState.MEMBER and self.member_id == member_id

    def wait(self, state: RequestState) -> None:
        """Changes to a state that needs no further data."""
        if not self.is_done:
            self.state = state

    def wait_for_member(self, member_id: str) -> None:
        """Records that the request was forwarded to this member."""
        self.member_id = member_id
        self.wait(RequestState.MEMBER)

    def wait_for_commit(self, index: int, term: int) -> None:
        """Records that the request was proposed as the log entry with this index and term."""
        self.may_be_applied, self.index, self.term = True, index, term
        self.wait(RequestState.COMMIT)

    def wait_for_index(self, index: int) -> None:
        """Records that the request is a read that is linearizable once this index is applied."""
        self.index = index
        self.wait(RequestState.APPLIED)

    def finish(self) -> None:
        """Records that the request has been answered."""
        self.state = RequestState.DONE
