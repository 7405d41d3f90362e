"""A request under way at a member, its states and what leads from one to the next. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from gradegap.store import wire

ResponseCallback = Callable[[wire.Response], None]

CHANGING_REQUESTS = wire.Transaction | wire.AddMember | wire.RemoveMember | wire.TransferLeadership


class RequestState(Enum):
    """What a request waits for."""

    NEW = auto()
    LEADER = auto()  # a leader to be known, or another attempt
    MEMBER = auto()  # the response of the member that it was forwarded to
    COMMIT = auto()  # its entry of the log to be committed
    READ_INDEX = auto()  # the index from which a read is linearizable
    APPLIED = auto()  # that index to be applied here
    LEASE_HOLDERS = auto()  # every lease holder to have applied it
    TRANSFER = auto()  # another member to lead
    IN_FORCE = auto()  # all subscribed nodes to have a revision
    DONE = auto()


LED_STATES = frozenset(
    {
        RequestState.COMMIT,
        RequestState.READ_INDEX,
        RequestState.APPLIED,
        RequestState.LEASE_HOLDERS,
        RequestState.TRANSFER,
    }
)
"""States of a request that this member carries out as the leader; they end with its leadership."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request under way. Its state changes by these methods only, and never once it is done."""

    serial: int
    body: wire.RequestBody
    respond: ResponseCallback
    expires_at: float  # steady time (s) at which the requester gives up
    from_member: bool  # it was forwarded by a member, which retries it itself
    may_be_applied: bool = False  # a leader had it: what came of it may be unknown
    state: RequestState = RequestState.NEW
    member_id: str = ""  # of whom it waits for in state MEMBER
    index: int = 0  # of its entry, or of its read
    term: int = 0

    @property
    def is_done(self) -> bool:
        """Whether it has its response."""
        return self.state is RequestState.DONE

    @property
    def is_in_doubt(self) -> bool:
        """Whether it would change something and a leader had it: nobody can say here what came of it."""
        return self.may_be_applied and isinstance(self.body, CHANGING_REQUESTS)

    @property
    def is_led(self) -> bool:
        """Whether this member carries it out as the leader."""
        return self.state in LED_STATES

    def waits_for_member(self, member_id: str) -> bool:
        """Whether it waits for this member's response."""
        return self.state is RequestState.MEMBER and self.member_id == member_id

    def wait(self, state: RequestState) -> None:
        """Go on to a state that needs nothing else to be known."""
        if not self.is_done:
            self.state = state

    def wait_for_member(self, member_id: str) -> None:
        """It was forwarded to this member."""
        self.member_id = member_id
        self.wait(RequestState.MEMBER)

    def wait_for_commit(self, index: int, term: int) -> None:
        """It was proposed as this entry of the log."""
        self.may_be_applied, self.index, self.term = True, index, term
        self.wait(RequestState.COMMIT)

    def wait_for_index(self, index: int) -> None:
        """It is a read that is linearizable from this index on."""
        self.index = index
        self.wait(RequestState.APPLIED)

    def finish(self) -> None:
        """It has its response."""
        self.state = RequestState.DONE
