"""The node's own end: graceful shutdown, and being out of service for a while."""

from __future__ import annotations

from gradegap.balancing.events import ProxyDraining, ProxyResumed
from gradegap.proxy.context import ProxyContext


class Draining:
    """Whether the proxy drains; the balancer migrates what is established, at its own pace."""

    def __init__(self, context: ProxyContext) -> None:
        self.context = context
        self.shutting_down = False  # for good
        # Out of service: the clock time after which nothing is established here.
        self.deadline: float | None = None

    def begin_shutdown(self, within: float) -> None:
        """This process ends: all that is established is migrated within that time, in s."""
        if not self.shutting_down:
            self.shutting_down = True
            self.context.feed(ProxyDraining(self.context.now() + within, process_ends=True))

    def start(self, within: float) -> None:
        """Out of service: what is established, or will be, is migrated within that time, in s."""
        if self.deadline is None and not self.shutting_down:
            self.deadline = self.context.now() + within
            self.context.feed(ProxyDraining(self.deadline))

    def stop(self) -> None:
        """In service again."""
        if self.deadline is not None and not self.shutting_down:
            self.deadline = None
            self.context.feed(ProxyResumed())
