"""Attempts and retries: attempt timeouts, the retry decision, and the final answer to a request."""

from __future__ import annotations

from gradegap.balancing.actions import Fail, Forward, Reject, SetTimer
from gradegap.balancing.context import Context
from gradegap.balancing.events import NEVER_RAN, AttemptResult
from gradegap.balancing.load_estimates import recent_placements
from gradegap.balancing.model import Endpoint, Request
from gradegap.balancing.observer import DecisionObserver
from gradegap.balancing.outcome_rates import OutcomeRates
from gradegap.balancing.outliers import OutlierEjection
from gradegap.balancing.request_table import RequestTable
from gradegap.balancing.settings import DeduplicationScope, Idempotency
from gradegap.balancing.timers import request_token

DEADLINE_MARGIN_S = 0.02
"""Seconds before its deadline at which a waiting request is answered, so that the answer is not late."""

PROXY_DRAIN_DELAY_S = 0.4
"""Seconds between the start of a proxy's drain and its first migration.

Until then, clients that reconnect may still be routed to the same proxy.
"""

NO_FAULT_RESULTS = frozenset((AttemptResult.FULL, AttemptResult.CANCELLED, AttemptResult.NOT_SENT))
"""Results of attempts that do not count as a failure of the endpoint."""


class Attempts:
    """Sends attempts, and gives each request its only final answer once no attempt is in flight."""

    __slots__ = ("context", "is_process_ending", "observer", "outliers", "rates", "table")

    def __init__(
        self, context: Context, table: RequestTable, rates: OutcomeRates, outliers: OutlierEjection
    ) -> None:
        self.context = context
        self.table = table
        self.rates = rates
        self.outliers = outliers
        self.is_process_ending = False  # this proxy's process is about to exit: no new attempt is sent
        self.observer: DecisionObserver | None = None

    def forward(self, request: Request, endpoint: Endpoint) -> None:
        """Sends an attempt of a request to an endpoint."""
        now = self.context.now
        timeout = self._timeout(request)
        request.attempts += 1
        request.last_attempt_at = now
        # Count attempts rather than arrivals: rejected arrivals put no load on any endpoint.
        self.rates.sent.add(now)
        request.attempt_in_flight = True
        request.endpoint = endpoint
        request.fallback_endpoint, request.redraws = None, 0
        request.attempted_endpoints.append(endpoint)
        endpoint.recent_placements = recent_placements(endpoint, now) + 1.0
        endpoint.recent_placements_at = now
        self.outliers.attempt_started(endpoint)
        self.context.actions.append(Forward(request.id, endpoint.name, timeout, request.retry_until - now))
        if self.observer is not None:
            self.observer.request_forwarded(request, endpoint)

    def wait(self, request: Request) -> None:
        """Delays a request that cannot be sent now, or gives up if its latency objective has passed.

        The random delay is an eighth to three eighths of the latency objective.
        """
        context = self.context
        objective, now = request.class_settings.latency_objective, context.now
        if now - request.arrived_at >= objective or self.is_due(request):
            self.give_up(request)
        else:
            pause = objective / 4 * (0.5 + context.random())
            pause = min(pause, request.deadline_at - DEADLINE_MARGIN_S - now)
            context.actions.append(SetTimer(max(0.0, pause), request_token(request.id)))
        if self.observer is not None:
            self.observer.request_postponed(request)

    def give_up(self, request: Request) -> None:
        """Ends a request: rejects it if the client may safely retry, otherwise fails it."""
        context = self.context
        request.finished = True
        del self.table.requests[request.id]
        longest_delay = context.settings.max_retry_after
        if self.is_process_ending:
            longest_delay = min(PROXY_DRAIN_DELAY_S, longest_delay)
        retry_after = longest_delay * (0.5 + 0.5 * context.random())
        is_rejected = self._is_safe_to_retry(request)
        context.actions.append(Reject(request.id, retry_after) if is_rejected else Fail(request.id))
        if self.observer is not None:
            self.observer.request_answered(request)

    def failed(self, request: Request, result: AttemptResult) -> None:
        """Records an attempt that ended without an established connection."""
        endpoint, now = request.endpoint, self.context.now
        if endpoint is not None and result not in NO_FAULT_RESULTS:
            self.outliers.attempt_failed(endpoint)
            if result is not AttemptResult.CONNECT_FAILED:
                self.rates.failed.add(now)
        if result in NEVER_RAN:
            return
        request.may_have_run = True
        settings = request.class_settings
        has_no_group = request.deduplication_group is None
        if settings.idempotency is Idempotency.KEYED and has_no_group and endpoint is not None:
            request.deduplication_group = deduplication_group(endpoint, request)
            request.retry_until = request.last_attempt_at + settings.deduplication_window

    def may_retry(self, request: Request, result: AttemptResult) -> bool:
        """Returns whether a request may be retried after an attempt with this result."""
        if request.attempts >= request.max_attempts or result is AttemptResult.NOT_SENT:
            return False
        is_non_idempotent = request.class_settings.idempotency is Idempotency.NON_IDEMPOTENT
        return not self.is_due(request) and not (request.may_have_run and is_non_idempotent)

    def is_due(self, request: Request) -> bool:
        """Returns whether a request must be answered now to be answered before its deadline."""
        return request.deadline_at - self.context.now <= 2 * DEADLINE_MARGIN_S

    def _timeout(self, request: Request) -> float:
        """Returns the timeout of the next attempt in seconds.

        The last attempt gets all remaining time; an earlier one leaves the latency objective for one more
        attempt. If the fleet is overloaded, every attempt counts as the last: a retry would repeat the cost
        of the attempt, and duplicated work further overloads endpoints that a traffic surge has slowed down.
        """
        remaining = request.deadline_at - self.context.now
        is_last = (
            request.max_attempts - request.attempts <= 1 or self.rates.failure_excess(self.context.now) > 0
        )
        objective = request.class_settings.latency_objective
        return remaining if is_last else max(min(remaining, objective), remaining - objective)

    def _is_safe_to_retry(self, request: Request) -> bool:
        """Returns whether the client may repeat a request without harm."""
        settings = request.class_settings
        if not request.may_have_run or settings.idempotency is Idempotency.IDEMPOTENT:
            is_safe = True
        elif settings.idempotency is Idempotency.KEYED:
            # The retry may reach any endpoint through any proxy, so all endpoints must drop duplicates.
            is_fleet_wide = settings.deduplication_scope is DeduplicationScope.ALL
            is_safe = is_fleet_wide and self.context.now < request.retry_until
        else:
            is_safe = False
        return is_safe


def deduplication_group(endpoint: Endpoint, request: Request) -> object:
    """Returns the identity of the set of endpoints, this one included, that drop a request's duplicates."""
    match request.class_settings.deduplication_scope:
        case DeduplicationScope.ZONE:
            return endpoint.zone
        case DeduplicationScope.CELL:
            return endpoint.cell
        case _:
            return True
