"""The sweep over established connections.

Invariant: a client whose line is unanswered for 5 s, with nothing at all back in that time, is migrated. The
protocol allows an endpoint seven seconds of silence, and the sweep comes twice a second.
"""

from __future__ import annotations

from gradegap.proxy.context import ProxyContext
from gradegap.proxy.draining import Draining
from gradegap.proxy.lifecycle import RequestLifecycle
from gradegap.proxy.requests import RequestTable

UNRESPONSIVE_AFTER_S = 5.0  # without a line back, while one of the client's is unanswered
SWEEP_INTERVAL_S = 0.5


class Sweep:
    """Migrates unresponsive connections, and all once the proxy's drain deadline is over."""

    def __init__(
        self, context: ProxyContext, requests: RequestTable, lifecycle: RequestLifecycle, draining: Draining
    ) -> None:
        self.context = context
        self.requests = requests
        self.lifecycle = lifecycle
        self.draining = draining
        self.timer = context.loop.call_later(SWEEP_INTERVAL_S, self._run)

    def stop(self) -> None:
        """Sweep no more."""
        self.timer.cancel()

    def _run(self) -> None:
        self.timer = self.context.loop.call_later(SWEEP_INTERVAL_S, self._run)
        now = self.context.now()
        if self.draining.deadline is not None and now > self.draining.deadline:
            self.lifecycle.migrate_all()
        for request in list(self.requests.by_id.values()):
            # No function of its own: this runs for each connection of the node, twice a second.
            if (
                request.unanswered_since is not None
                and now - request.last_response_at > UNRESPONSIVE_AFTER_S
                and request.established
            ):
                self.context.metrics.count("silent")
                self.lifecycle.migrate(request)
