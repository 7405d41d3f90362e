"""Draining of the node itself: graceful shutdown, and being temporarily out of service."""

from __future__ import annotations

from gradegap.balancing.events import ProxyDraining, ProxyResumed
from gradegap.proxy.context import ProxyContext


class Draining:
    """Starts and ends draining of the proxy. The balancer spreads the migration of connections over time."""

    def __init__(self, context: ProxyContext) -> None:
        self.context = context
        self.shutting_down = False  # stays true once set
        # While out of service: clock time in s by which all connections have to be migrated; else None.
        self.deadline: float | None = None

    def begin_shutdown(self, duration: float) -> None:
        """Start the shutdown of this process: migrate all established connections within `duration` s."""
        if not self.shutting_down:
            self.shutting_down = True
            self.context.feed(ProxyDraining(self.context.now() + duration, process_ends=True))

    def start(self, duration: float) -> None:
        """Go out of service: migrate present and new established connections within `duration` s."""
        if self.deadline is None and not self.shutting_down:
            self.deadline = self.context.now() + duration
            self.context.feed(ProxyDraining(self.deadline))

    def stop(self) -> None:
        """Go back in service."""
        if self.deadline is not None and not self.shutting_down:
            self.deadline = None
            self.context.feed(ProxyResumed())
