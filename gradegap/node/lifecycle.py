"""The lifecycle states of a node's process, and the transitions between them."""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    """The state of a node's process."""

    STARTING = "starting"  # no endpoint list is in force yet; clients are asked to use another node
    READY = "ready"
    SHUTTING_DOWN = "leaving"  # after SIGTERM, until all requests are answered and all connections migrated
    ENDED = "ended"


class Lifecycle:
    """STARTING -> READY (`become_ready`) -> SHUTTING_DOWN (`begin_shutdown`) -> ENDED (`end`).

    A process may shut down before it was ready. A shutdown is never cancelled.
    """

    def __init__(self) -> None:
        self.state = LifecycleState.STARTING

    @property
    def is_ready(self) -> bool:
        """Whether the process has started and is not shutting down, so that the node can accept clients."""
        return self.state is LifecycleState.READY

    @property
    def is_shutting_down(self) -> bool:
        """Whether the process is shutting down, or has ended."""
        return self.state in (LifecycleState.SHUTTING_DOWN, LifecycleState.ENDED)

    def become_ready(self) -> None:
        """Enter READY, because an endpoint list is in force; has no effect in a state other than STARTING."""
        if self.state is LifecycleState.STARTING:
            self.state = LifecycleState.READY

    def begin_shutdown(self) -> None:
        """Enter SHUTTING_DOWN, because the process was asked to stop."""
        if not self.is_shutting_down:
            self.state = LifecycleState.SHUTTING_DOWN

    def end(self) -> None:
        """Enter ENDED, because no work is left."""
        self.state = LifecycleState.ENDED
