"""Attempts and retries: how long an attempt may take, whether another may follow, and the final answer."""

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
"""Seconds before its deadline at which a waiting request is answered."""

PROXY_DRAIN_DELAY_S = 0.4
"""Seconds before a draining proxy begins to migrate: until then clients may still be sent back to it."""

NO_FAULT_RESULTS = frozenset((AttemptResult.FULL, AttemptResult.CANCELLED, AttemptResult.NOT_SENT))
"""Results of attempts that are no failure of the endpoint."""


class Attempts:
    """Sends attempts, and gives the one final answer of a request that has none under way."""

    __slots__ = ("context", "is_process_ending", "observer", "outliers", "rates", "table")

    def __init__(
        self, context: Context, table: RequestTable, rates: OutcomeRates, outliers: OutlierEjection
    ) -> None:
        self.context = context
        self.table = table
        self.rates = rates
        self.outliers = outliers
        self.is_process_ending = False  # this proxy's process ends: nothing new is sent
        self.observer: DecisionObserver | None = None

    def forward(self, request: Request, endpoint: Endpoint) -> None:
        """Sends an attempt to an endpoint."""
        now = self.context.now
        timeout = self._timeout(request)
        request.attempts += 1
        request.last_attempt_at = now
        # What all proxies are about to give an endpoint is what they send: rejected arrivals load none.
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
        """Looks again soon where nothing may be sent now; gives up once the latency objective has passed."""
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
        """Answers a request: rejects it where a repeat is harmless, else fails it."""
        context = self.context
        request.finished = True
        del self.table.requests[request.id]
        longest = context.settings.max_retry_after
        if self.is_process_ending:
            longest = min(PROXY_DRAIN_DELAY_S, longest)
        retry_after = longest * (0.5 + 0.5 * context.random())
        rejects = self._is_harmless(request)
        context.actions.append(Reject(request.id, retry_after) if rejects else Fail(request.id))
        if self.observer is not None:
            self.observer.request_answered(request)

    def failed(self, request: Request, result: AttemptResult) -> None:
        """Counts an attempt that ended without a connection."""
        endpoint, now = request.endpoint, self.context.now
        if endpoint is not None and result not in NO_FAULT_RESULTS:
            self.outliers.attempt_failed(endpoint)
            if result is not AttemptResult.CONNECT_FAILED:
                self.rates.failed.add(now)
        if result in NEVER_RAN:
            return
        request.may_have_run = True
        settings = request.class_settings
        unbound = request.deduplication_group is None
        if settings.idempotency is Idempotency.KEYED and unbound and endpoint is not None:
            request.deduplication_group = deduplication_group(endpoint, request)
            request.retry_until = request.last_attempt_at + settings.deduplication_window

    def may_retry(self, request: Request, result: AttemptResult) -> bool:
        """Returns whether another attempt may follow one that ended like this."""
        if request.attempts >= request.max_attempts or result is AttemptResult.NOT_SENT:
            return False
        harmful = request.class_settings.idempotency is Idempotency.NON_IDEMPOTENT
        return not self.is_due(request) and not (request.may_have_run and harmful)

    def is_due(self, request: Request) -> bool:
        """Returns whether a request must be answered now, to be answered by its deadline."""
        return request.deadline_at - self.context.now <= 2 * DEADLINE_MARGIN_S

    def _timeout(self, request: Request) -> float:
        """Returns the seconds that the next attempt may take.

        The last attempt has all the time left, others until the latency objective is left for one more. Where
        the fleet is overrun each is the last: a retry would only repeat its cost, and work that is done twice
        buries endpoints that a wave has slowed.
        """
        left = request.deadline_at - self.context.now
        last = request.max_attempts - request.attempts <= 1 or self.rates.failure_excess(self.context.now) > 0
        objective = request.class_settings.latency_objective
        return left if last else max(min(left, objective), left - objective)

    def _is_harmless(self, request: Request) -> bool:
        """Returns whether the client may repeat a request without harm."""
        settings = request.class_settings
        if not request.may_have_run or settings.idempotency is Idempotency.IDEMPOTENT:
            harmless = True
        elif settings.idempotency is Idempotency.KEYED:
            # A repeat may come through any proxy, to any endpoint: only a group of all endpoints drops it.
            anywhere = settings.deduplication_scope is DeduplicationScope.ALL
            harmless = anywhere and self.context.now < request.retry_until
        else:
            harmless = False
        return harmless


def deduplication_group(endpoint: Endpoint, request: Request) -> object:
    """Returns the group of endpoints, this one among them, that drops repeats of a keyed request."""
    match request.class_settings.deduplication_scope:
        case DeduplicationScope.ZONE:
            return endpoint.zone
        case DeduplicationScope.CELL:
            return endpoint.cell
        case _:
            return True
