"""The periodic check of established connections.

Invariant: a client is migrated if a line of it is unanswered and its endpoint has sent no data for 5 s. The
protocol allows an endpoint to be silent for 7 s, and the check runs twice a second.
"""

from __future__ import annotations

from gradegap.proxy.context import ProxyContext
from gradegap.proxy.draining import Draining
from gradegap.proxy.lifecycle import RequestLifecycle
from gradegap.proxy.requests import RequestTable

UNRESPONSIVE_AFTER_S = 5.0
"""Time without endpoint data, while a line of the client is unanswered, until the client is migrated."""

SWEEP_INTERVAL_S = 0.5
"""Time between two checks."""


class Sweep:
    """Migrates unresponsive connections, and all connections once the proxy's drain deadline has passed."""

    def __init__(
        self, context: ProxyContext, requests: RequestTable, lifecycle: RequestLifecycle, draining: Draining
    ) -> None:
        self.context = context
        self.requests = requests
        self.lifecycle = lifecycle
        self.draining = draining
        self.timer = context.loop.call_later(SWEEP_INTERVAL_S, self._run)

    def stop(self) -> None:
        """Stop the periodic check."""
        self.timer.cancel()

    def _run(self) -> None:
        self.timer = self.context.loop.call_later(SWEEP_INTERVAL_S, self._run)
        now = self.context.now()
        if self.draining.deadline is not None and now > self.draining.deadline:
            self.lifecycle.migrate_all()
        for request in list(self.requests.by_id.values()):
            # Inline instead of a function call: this runs for each connection of the node, twice a second.
            if (
                request.unanswered_since is not None
                and now - request.last_response_at > UNRESPONSIVE_AFTER_S
                and request.established
            ):
                self.context.metrics.count("silent")
                self.lifecycle.migrate(request)
