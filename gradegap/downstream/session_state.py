"""How far a client session is, and the one place where that changes."""

from __future__ import annotations

from enum import Enum, auto


class SessionState(Enum):
    """How far a client session is."""

    AWAITING_REQUEST = auto()
    REQUESTED = auto()
    """Its request has no final answer yet."""
    ESTABLISHED = auto()
    """Lines pass both ways."""
    MIGRATING = auto()
    """The same, until the endpoint's line that is half through has its end: a MOVE follows it."""
    CLOSED = auto()
    """The client has its last line, or the session goes on in another process."""


TRANSITIONS: dict[SessionState, frozenset[SessionState]] = {
    SessionState.AWAITING_REQUEST: frozenset({SessionState.REQUESTED, SessionState.CLOSED}),
    SessionState.REQUESTED: frozenset({SessionState.ESTABLISHED, SessionState.CLOSED}),
    SessionState.ESTABLISHED: frozenset({SessionState.MIGRATING, SessionState.CLOSED}),
    SessionState.MIGRATING: frozenset({SessionState.CLOSED}),
    SessionState.CLOSED: frozenset(),
}


class SessionLifecycle:
    """A session's state. Whatever comes too late for a transition changes nothing."""

    def __init__(self) -> None:
        self.state = SessionState.AWAITING_REQUEST
        self._released_from: SessionState | None = None

    @property
    def closed(self) -> bool:
        """Whether it is over here."""
        return self.state is SessionState.CLOSED

    @property
    def passes_lines(self) -> bool:
        """Whether lines pass both ways."""
        return self.state is SessionState.ESTABLISHED or self.state is SessionState.MIGRATING

    def enter(self, state: SessionState) -> None:
        """Change the state, where the present one has this transition."""
        if state in TRANSITIONS[self.state]:
            self.state = state

    def release(self) -> None:
        """The session goes on in another process of this node."""
        self._released_from, self.state = self.state, SessionState.CLOSED

    def take_back(self) -> None:
        """No other process took it over: it is what it was."""
        assert self._released_from is not None
        self.state = self._released_from
