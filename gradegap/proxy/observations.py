"""Observations of established connections: the load of a connection, and slow messages of its endpoint."""

from __future__ import annotations

from gradegap.balancing.events import ConnectionObserved
from gradegap.balancing.settings import Settings
from gradegap.proxy.context import ProxyContext
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.request import Attempt, Request, RequestState

SLOW_MESSAGE_REPORT_INTERVAL_S = 1.0
"""Minimum time between two slow messages of one endpoint that are reported to the balancer."""

DEFAULT_MESSAGE_LATENCY_OBJECTIVE_S = 0.15
"""Message latency objective used if no class has one."""

SLOW_MESSAGE_DIVISOR = 3
"""Divisor of the message latency objective that gives the threshold of a slow message.

A message is slow if its delay exceeds the endpoint's minimum delay by more than that threshold.
"""


def slow_message_threshold_s(settings: Settings) -> float:
    """Return the delay above the endpoint's minimum at which a message counts as slow, in s."""
    objectives = [
        traffic_class.message_latency_objective
        for traffic_class in settings.classes.values()
        if traffic_class.message_latency_objective > 0
    ]
    return min(objectives, default=DEFAULT_MESSAGE_LATENCY_OBJECTIVE_S) / SLOW_MESSAGE_DIVISOR


class ConnectionObservations:
    """Feeds the balancer with observations of established connections."""

    def __init__(self, context: ProxyContext) -> None:
        self.context = context
        self.slow_message_threshold = slow_message_threshold_s(context.settings)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings."""
        self.slow_message_threshold = slow_message_threshold_s(settings)

    def on_line_answered(self, request: Request) -> None:
        """Handle a complete line from the endpoint.

        Any such line counts as the answer to all lines of the client that are still unanswered.
        """
        now = request.last_response_at
        sent_at, request.unanswered_since = request.unanswered_since, None
        if sent_at is None or request.attempt is None:
            return
        endpoint = request.attempt.endpoint
        delay = now - sent_at
        endpoint.min_message_delay = min(endpoint.min_message_delay, delay)
        excess = delay - endpoint.min_message_delay
        reported_at = endpoint.slow_message_reported_at
        if excess > self.slow_message_threshold and now - reported_at > SLOW_MESSAGE_REPORT_INTERVAL_S:
            endpoint.slow_message_reported_at = now
            self._observe(request, endpoint, delay=excess)

    def on_load(self, attempt: Attempt, value: float) -> None:
        """Handle the load that the endpoint reported for a connection."""
        self._observe(attempt.request, attempt.endpoint, load=value)

    def _observe(
        self, request: Request, endpoint: Endpoint, load: float | None = None, delay: float | None = None
    ) -> None:
        if request.state is RequestState.ESTABLISHED:
            self.context.feed(ConnectionObserved(request.id, endpoint.id, load, delay))
