"""The states of a node's process, and who may change them."""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    """What a node's process is doing."""

    STARTING = "starting"  # it has no endpoint list in force yet, and asks clients to go elsewhere
    READY = "ready"
    LEAVING = "leaving"  # after SIGTERM: what it holds is ended in order
    ENDED = "ended"


class Lifecycle:
    """STARTING -> READY (`become_ready`) -> LEAVING (`begin_leaving`) -> ENDED (`end`).

    A process may leave before it was ready, and never comes back from leaving.
    """

    def __init__(self) -> None:
        self.state = LifecycleState.STARTING

    @property
    def is_ready(self) -> bool:
        """Whether the node takes clients, as far as its own start and end are concerned."""
        return self.state is LifecycleState.READY

    @property
    def is_leaving(self) -> bool:
        """Whether the process is shutting down, or has."""
        return self.state in (LifecycleState.LEAVING, LifecycleState.ENDED)

    def become_ready(self) -> None:
        """An endpoint list is in force."""
        if self.state is LifecycleState.STARTING:
            self.state = LifecycleState.READY

    def begin_leaving(self) -> None:
        """The process was asked to stop."""
        if not self.is_leaving:
            self.state = LifecycleState.LEAVING

    def end(self) -> None:
        """Nothing is left to do."""
        self.state = LifecycleState.ENDED
