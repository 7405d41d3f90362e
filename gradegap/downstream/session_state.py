"""The state of a client session and its transitions."""

from __future__ import annotations

from enum import Enum, auto


class SessionState(Enum):
    """State of a client session."""

    AWAITING_REQUEST = auto()
    REQUESTED = auto()
    """The request has no final answer yet."""
    ESTABLISHED = auto()
    """Lines are relayed in both directions."""
    MIGRATING = auto()
    """Lines are still relayed until a partly sent line of the endpoint is complete; a MOVE follows it."""
    CLOSED = auto()
    """The client was sent its last line, or the session continues in another process."""


TRANSITIONS: dict[SessionState, frozenset[SessionState]] = {
    SessionState.AWAITING_REQUEST: frozenset({SessionState.REQUESTED, SessionState.CLOSED}),
    SessionState.REQUESTED: frozenset({SessionState.ESTABLISHED, SessionState.CLOSED}),
    SessionState.ESTABLISHED: frozenset({SessionState.MIGRATING, SessionState.CLOSED}),
    SessionState.MIGRATING: frozenset({SessionState.CLOSED}),
    SessionState.CLOSED: frozenset(),
}


class SessionLifecycle:
    """The state of a session. A transition that the present state does not allow is ignored."""

    def __init__(self) -> None:
        self.state = SessionState.AWAITING_REQUEST
        self._released_from: SessionState | None = None

    @property
    def closed(self) -> bool:
        """Whether the session has ended in this process."""
        return self.state is SessionState.CLOSED

    @property
    def passes_lines(self) -> bool:
        """Whether lines are relayed in both directions."""
        return self.state is SessionState.ESTABLISHED or self.state is SessionState.MIGRATING

    def enter(self, state: SessionState) -> None:
        """Enter a state if `TRANSITIONS` allows it after the present one; else do nothing."""
        if state in TRANSITIONS[self.state]:
            self.state = state

    def release(self) -> None:
        """Close the session here, because another process of this node continues it."""
        self._released_from, self.state = self.state, SessionState.CLOSED

    def take_back(self) -> None:
        """Restore the state before `release`, because no other process took the session over."""
        assert self._released_from is not None
        self.state = self._released_from
