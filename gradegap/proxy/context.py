"""State shared by the modules of one proxy: settings, clock, counters, network interface and balancer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import structlog

from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import Event
from gradegap.balancing.settings import Settings
from gradegap.metrics import Metrics
from gradegap.proxy.ports import UpstreamPort

log = structlog.get_logger()


class ProxyContext:
    """Shared state of one proxy; `settings` and `balancer` may be replaced while the proxy runs."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        upstream: UpstreamPort,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.upstream = upstream
        self.metrics = metrics
        self.loop = loop
        # Computed once, so that the clock is monotonic and yet comparable to endpoints' start times in Unix
        # time.
        self.clock_offset = time.time() - loop.time()
        self.action_handlers: dict[type, Callable[[Any], None]] = {}
        # Called with the event that the balancer failed to handle.
        self.on_decision_failed: Callable[[Event], None] = lambda event: None

    def now(self) -> float:
        """Return a monotonic clock time in s that is close to Unix time."""
        return self.loop.time() + self.clock_offset

    def feed(self, event: Event) -> None:
        """Pass an event to the balancer and carry out the resulting actions in order.

        An exception of the balancer is logged and counted, and no action is carried out. It does not reach
        the caller, where it would end the client's connection without an answer.
        """
        self._feed_at(self.now(), event)

    def feed_as_of(self, at: float, event: Event) -> None:
        """Do the same as `feed` for an event that happened at clock time `at`; a later time counts as now."""
        self._feed_at(min(at, self.now()), event)

    def _feed_at(self, now: float, event: Event) -> None:
        try:
            actions = self.balancer.handle(now, event)
        except Exception:
            self.metrics.count("decisions_failed")
            log.exception("decision failed", event_type=type(event).__name__)
            self.on_decision_failed(event)
            return
        for action in actions:
            self.action_handlers[type(action)](action)
