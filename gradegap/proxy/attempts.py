"""Attempts, from the balancer's `Forward` action to their end.

Invariants that hold whatever the balancer decides:
- a request never has two attempts at once, and none after its final answer (`forward`);
- an endpoint that drains, is removed or administratively disabled gets no new connections; an inherited
  connection may be re-established until the drain grace is over (`_endpoint_accepts`, checked again before
  the first line is written);
- an attempt ends exactly once, and events that its connection reports afterwards are ignored (`on_ended`).
"""

from __future__ import annotations

from collections.abc import Callable

from gradegap.balancing.actions import Forward
from gradegap.balancing.events import AttemptEnded, AttemptResult, ConnectionEstablished, ConnectionInherited
from gradegap.proxy.context import ProxyContext
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.endpoints import Endpoints
from gradegap.proxy.request import Answer, Attempt, Report, Request, RequestState
from gradegap.proxy.requests import RequestTable

ANSWER_MARGIN_S = 0.008
"""Time between the end of the last attempt and the request's deadline, so that the answer is not late."""


class Attempts:
    """Starts and ends attempts."""

    def __init__(self, context: ProxyContext, endpoints: Endpoints, requests: RequestTable) -> None:
        self.context = context
        self.endpoints = endpoints
        self.requests = requests
        self.connecting: dict[Endpoint, set[Attempt]] = {}  # attempts whose first line is not written yet
        self.on_inherited_ended: Callable[[Request, AttemptResult], None] = lambda request, result: None

    def time_limit(self, request: Request) -> float:
        """Return how long an attempt that starts now may take, in s, for the answer to meet the deadline."""
        return request.deadline - ANSWER_MARGIN_S - self.context.now()

    def forward(self, action: Forward) -> None:
        """Start an attempt that the balancer decided on."""
        request = self.requests.by_id.get(action.request_id)
        endpoint = self.endpoints.by_id.get(action.endpoint)
        if request is None or not request.pending or request.attempt is not None:
            self.context.metrics.count("moot")
            return
        timeout = min(action.timeout, self.time_limit(request))
        now = self.context.now()
        attempt = Attempt(
            request,
            endpoint or Endpoint(action.endpoint),
            request.attempt_count,
            now,
            timeout,
            now + action.begin_within,
        )
        request.attempt_count += 1
        request.attempt = attempt
        if self.requests.reject_if_gated(request):
            self.on_ended(attempt, AttemptResult.NOT_SENT)
        elif endpoint is None or not self._may_begin(attempt):
            self.context.loop.call_soon(attempt.on_ended, AttemptResult.NOT_SENT)
        elif self.may_send(attempt):
            self.connect(attempt)

    def _may_begin(self, attempt: Attempt) -> bool:
        in_budget = attempt.number < attempt.request.max_attempts and attempt.timeout > 0
        return in_budget and self._endpoint_accepts(attempt)

    def _endpoint_accepts(self, attempt: Attempt) -> bool:
        """Return whether the endpoint may get this attempt now."""
        endpoint = attempt.endpoint
        if not endpoint.draining:
            return True
        # The endpoint already has the state of an inherited connection, and keeps it during the drain grace.
        inherited = bool(attempt.request.connection_request.inherited_from)
        return inherited and self.endpoints.within_drain_grace(endpoint)

    def connect(self, attempt: Attempt) -> None:
        """Start the attempt's network connection and its timeout."""
        self.context.metrics.count("sent")
        self.connecting.setdefault(attempt.endpoint, set()).add(attempt)
        attempt.timer = self.context.loop.call_later(attempt.timeout, self.time_out, attempt)
        attempt.connection = self.context.upstream.connect(
            attempt.request.session, attempt.endpoint, attempt.timeout, attempt
        )

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether the first line may be written now; if not, end the attempt.

        Guards against events since the balancer's decision: the client disconnected, which the loop has not
        read yet; the endpoint began to drain; or the time in which the endpoint deduplicates a retry is over.
        """
        if attempt.request.session.is_disconnected():
            self.context.metrics.count("left_unseen")
            attempt.request.on_disconnect()
        elif not self._endpoint_accepts(attempt) or self.context.now() >= attempt.send_by:
            self.context.metrics.count("begun_too_late")
            self._cancel_unsent(attempt)
        return attempt.active

    def on_sent(self, attempt: Attempt) -> None:
        """Remove the attempt from those still connecting, because its first line was written."""
        self._no_longer_connecting(attempt)

    def cancel_connecting(self, endpoint: Endpoint) -> None:
        """Cancel the attempts that still connect to a draining endpoint; other endpoints get the requests.

        They are cancelled at once and not at the end of the grace, which may be nearly over when this node
        learns of the drain.
        """
        for attempt in list(self.connecting.get(endpoint, ())):
            if not attempt.request.connection_request.inherited_from:
                self._cancel_unsent(attempt)

    def _cancel_unsent(self, attempt: Attempt) -> None:
        attempt.cancel_connection()
        self.on_ended(attempt, AttemptResult.CONNECT_FAILED)

    def time_out(self, attempt: Attempt) -> None:
        """End an attempt by timeout, unless it is established."""
        if attempt.active and not attempt.request.established:
            sent = attempt.connection is not None and attempt.connection.sent
            attempt.cancel_connection()
            self.on_ended(attempt, AttemptResult.TIMEOUT if sent else AttemptResult.CONNECT_FAILED)

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt, established or not, because its request has ended."""
        attempt.cancel_connection()
        self.on_ended(attempt, AttemptResult.CANCELLED)

    def on_established(self, attempt: Attempt) -> None:
        """Handle the endpoint's confirmation of the connection."""
        request = attempt.request
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.requests.answer(request, Answer.SERVED)
        request.last_response_at = self.context.now()
        request.session.on_established()
        if request.connection_request.inherited_from:
            self.context.feed(ConnectionInherited(request.arrival(), attempt.endpoint.id))
        else:
            elapsed = self.context.now() - attempt.started_at
            self.context.feed(ConnectionEstablished(request.id, attempt.number, attempt.endpoint.id, elapsed))

    def on_ended(self, attempt: Attempt, result: AttemptResult, report: Report | None = None) -> None:
        """End an attempt; any further call for the same attempt is ignored."""
        if not attempt.active:
            return
        attempt.active = False
        self._no_longer_connecting(attempt)
        if attempt.timer is not None:
            attempt.timer.cancel()
        request = attempt.request
        request.attempt = None
        self.context.metrics.count(f"{'ended' if request.established else 'fetch'}_{result.name.lower()}")
        if request.state is RequestState.ESTABLISHED:
            request.session.on_endpoint_closed()
        if request.established:
            request.transition(RequestState.ENDED)
        elif request.connection_request.inherited_from:
            self.on_inherited_ended(request, result)
            return
        settled = not request.pending
        elapsed = self.context.now() - attempt.started_at
        if settled:
            self.requests.drop(request)
        self.context.feed(
            AttemptEnded(request.id, attempt.number, attempt.endpoint.id, result, elapsed, settled, report)
        )

    def _no_longer_connecting(self, attempt: Attempt) -> None:
        connecting = self.connecting.get(attempt.endpoint)
        if connecting is not None:
            connecting.discard(attempt)
