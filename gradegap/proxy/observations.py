"""What an established connection shows of its endpoint: the load that it makes, and slow messages."""

from __future__ import annotations

from gradegap.balancing.events import ConnectionObserved
from gradegap.balancing.settings import Settings
from gradegap.proxy.context import ProxyContext
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.request import Attempt, Request, RequestState

SLOW_MESSAGE_REPORT_PAUSE_S = 1.0  # between two slow messages of one endpoint that the balancer learns of
DEFAULT_MESSAGE_LATENCY_OBJECTIVE_S = 0.15  # where no class has one
SLOW_MESSAGE_PART = 3  # a message is slow by more than the objective over this


def slow_message_threshold_s(settings: Settings) -> float:
    """How much longer than its endpoint's fastest a message takes to count as slow, in s."""
    objectives = [
        traffic_class.message_latency_objective
        for traffic_class in settings.classes.values()
        if traffic_class.message_latency_objective > 0
    ]
    return min(objectives, default=DEFAULT_MESSAGE_LATENCY_OBJECTIVE_S) / SLOW_MESSAGE_PART


class ConnectionObservations:
    """Feeds the balancer what established connections show."""

    def __init__(self, context: ProxyContext) -> None:
        self.context = context
        self.slow_message_threshold = slow_message_threshold_s(context.settings)

    def reconfigure(self, settings: Settings) -> None:
        """Settings that hold from now on."""
        self.slow_message_threshold = slow_message_threshold_s(settings)

    def on_line_answered(self, request: Request) -> None:
        """A whole line came from the endpoint: with it, its answer to what the client sent last."""
        now = request.last_response_at
        sent_at, request.unanswered_since = request.unanswered_since, None
        if sent_at is None or request.attempt is None:
            return
        endpoint = request.attempt.endpoint
        delay = now - sent_at
        endpoint.min_message_delay = min(endpoint.min_message_delay, delay)
        excess = delay - endpoint.min_message_delay
        reported_at = endpoint.slow_message_reported_at
        if excess > self.slow_message_threshold and now - reported_at > SLOW_MESSAGE_REPORT_PAUSE_S:
            endpoint.slow_message_reported_at = now
            self._observe(request, endpoint, delay=excess)

    def on_load(self, attempt: Attempt, value: float) -> None:
        """The endpoint reported what load this connection makes."""
        self._observe(attempt.request, attempt.endpoint, load=value)

    def _observe(
        self, request: Request, endpoint: Endpoint, load: float | None = None, delay: float | None = None
    ) -> None:
        if request.state is RequestState.ESTABLISHED:
            self.context.feed(ConnectionObserved(request.id, endpoint.id, load, delay))
