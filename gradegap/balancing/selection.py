"""Endpoint selection by the (1+beta)-choice process.

Two ready endpoints are drawn uniformly at random. With probability beta, the one with the lower last reported
load is selected (ties are broken at random), otherwise the first one drawn, where

    beta = min(1, sqrt(n log n / b))

n is the number of ready endpoints, log is the natural logarithm, and b is the number of connections that all
proxies have established since the older of the two load reports was made. Comparing stale loads every time
would send the requests of all proxies to the same endpoints.

Sources: Peres, Talwar and Wieder, "Graphical balanced allocations and the (1 + beta)-choice process"; Los and
Sauerwald, "Balanced Allocations in Batches: The Tower of Two Choices", for the choice of beta if loads are b
placements old. Both leave the constant factor open. Where a function deviates from the process, its docstring
states the condition under which it does so.
"""

from __future__ import annotations

import math

from gradegap.balancing.actions import SetTimer
from gradegap.balancing.admission import Admission
from gradegap.balancing.attempts import DEADLINE_MARGIN_S, Attempts, deduplication_group
from gradegap.balancing.capacity import is_warming_up
from gradegap.balancing.context import Context
from gradegap.balancing.endpoint_registry import EndpointRegistry
from gradegap.balancing.grouping import Grouping
from gradegap.balancing.health_checks import HealthChecks
from gradegap.balancing.load_estimates import LoadEstimates
from gradegap.balancing.model import NEVER, Endpoint, Request
from gradegap.balancing.observer import DecisionObserver
from gradegap.balancing.outcome_rates import OutcomeRates
from gradegap.balancing.request_table import RequestTable
from gradegap.balancing.settings import ReportSource, WeightMeaning
from gradegap.balancing.slow_start import SlowStart
from gradegap.balancing.timers import request_token

BETA_SCALE = 1.0
"""Constant factor on beta, which the papers leave open."""

FRESH_REPORT_SHARE = 0.5
"""Age of a load report above which a health check precedes the comparison.

It is a fraction of the latency objective of the request's class. It also limits the time for redraws.
"""

HEALTH_CHECK_WAIT_SHARE = 0.16
"""Longest wait for the health checks of the candidates, as a fraction of the class's latency objective."""

FULL_LOAD = 0.9
"""Load, relative to capacity, at which a selected endpoint counts as full and another pair is drawn."""

MAX_REDRAWS = 3
"""Maximum number of additional pairs that are drawn if a pair is full or not in this proxy's zone."""

MAX_DRAWS_PER_CANDIDATE = 6
"""Number of draws for one candidate after which an ejected or already attempted endpoint is accepted."""


class Selection:
    """Draws candidates, checks their health, compares them, and forwards, delays or gives up the request."""

    __slots__ = (
        "admission",
        "attempts",
        "context",
        "grouping",
        "health_checks",
        "load_estimates",
        "observer",
        "rates",
        "registry",
        "slow_start",
        "table",
    )

    def __init__(
        self,
        context: Context,
        registry: EndpointRegistry,
        table: RequestTable,
        rates: OutcomeRates,
        load_estimates: LoadEstimates,
        admission: Admission,
        grouping: Grouping,
        slow_start: SlowStart,
        health_checks: HealthChecks,
        attempts: Attempts,
    ) -> None:
        self.context = context
        self.registry = registry
        self.table = table
        self.rates = rates
        self.load_estimates = load_estimates
        self.admission = admission
        self.grouping = grouping
        self.slow_start = slow_start
        self.health_checks = health_checks
        self.attempts = attempts
        self.observer: DecisionObserver | None = None

    def draw(self, request: Request) -> None:
        """Draws two candidates, sends health checks to those with old load reports, then compares them."""
        if self.observer is not None:
            self.observer.draw_started(request)
        context = self.context
        if self.attempts.is_process_ending or context.now >= request.retry_until:
            self.attempts.give_up(request)
            return
        # More attempts would prolong a fleet-wide overload: with a probability equal to the excess of
        # failures, the request waits or is rejected.
        is_overloaded = context.random() < self.rates.failure_excess(context.now)
        pair = None if is_overloaded else self._draw_pair(request)
        if pair is None:
            self.attempts.wait(request)
        elif pair[0] is pair[1] or not context.uses_health_checks:
            self.decide(request)
        else:
            self._check_health(pair, request)

    def decide(self, request: Request) -> None:
        """Selects one of the candidates of a request and forwards the request if possible."""
        if self.context.now >= request.retry_until:  # the request expired while it waited for health checks
            self.attempts.give_up(request)
            return
        assert request.candidates is not None
        first, second = request.candidates
        request.candidates, request.pending_health_checks = None, 0
        # A candidate may have started to drain or may have been removed during its health check.
        if first.ready_index < 0 or second.ready_index < 0:
            first = second = second if first.ready_index < 0 else first
        if first.ready_index < 0:
            self.draw(request)
            return
        chosen = first if first is second else self._two_choices(first, second, request)
        if self.context.uses_health_checks:
            self._forward_if_headroom(chosen, request)
        else:
            self.attempts.forward(request, chosen)

    def beta(self, older_age: float) -> float:
        """Returns min(1, sqrt(n log n / b)), the probability with which two endpoints are compared.

        Args:
            older_age: Age in seconds of the older of the two load reports. b is the number of connections
                that all proxies have established since then, extrapolated from the rate of this proxy.
        """
        n_log_n = self.registry.n_log_n
        b = self.rates.established.rate(self.context.now) * self.context.settings.proxy_count * older_age
        if b <= n_log_n:
            return 1.0
        return min(1.0, BETA_SCALE * math.sqrt(n_log_n / b))

    def health_check_ended(self, endpoint: Endpoint) -> None:
        """Continues the requests that waited for this health check and for no other."""
        waiting, endpoint.waiting_requests = endpoint.waiting_requests, []
        for request in waiting:
            pair = request.candidates
            if pair is None or endpoint not in pair or request.finished or request.attempt_in_flight:
                continue
            request.pending_health_checks -= 1
            if request.pending_health_checks <= 0:
                self.decide(request)

    def request_timer_fired(self, request_id: int) -> None:
        """Continues a request whose wait for health checks or for another draw is over."""
        request = self.table.requests.get(request_id)
        if request is None or request.finished or request.attempt_in_flight or request.established:
            return
        if self.attempts.is_due(request):
            self.attempts.give_up(request)
        elif request.candidates is not None:
            # If only one of the health checks was answered, its endpoint becomes the only candidate.
            first, second = request.candidates
            is_first_pending = first.health_check_sent_at > NEVER
            if is_first_pending != (second.health_check_sent_at > NEVER):
                request.candidates = (second, second) if is_first_pending else (first, first)
            self.decide(request)
        else:
            self.draw(request)

    def _check_health(self, pair: tuple[Endpoint, Endpoint], request: Request) -> None:
        """Sends health checks to candidates with old load reports; decides at once if none is to be sent."""
        context = self.context
        objective = request.class_settings.latency_objective
        stale_before = context.now - FRESH_REPORT_SHARE * objective
        request.pending_health_checks = 0
        for endpoint in pair:
            if endpoint.last_report_at < stale_before and self.health_checks.budget > 0:
                request.pending_health_checks += 1
                endpoint.waiting_requests.append(request)
                self.health_checks.send(endpoint)
        if request.pending_health_checks == 0:
            self.decide(request)
        else:
            # Bounds the wait for a health check that is never answered.
            remaining = request.deadline_at - DEADLINE_MARGIN_S - context.now
            pause = max(0.0, min(HEALTH_CHECK_WAIT_SHARE * objective, remaining))
            context.actions.append(SetTimer(pause, request_token(request.id)))

    def _draw_pair(self, request: Request) -> tuple[Endpoint, Endpoint] | None:
        """Draws two candidates, which are the same endpoint if there is only one; None: no candidate.

        Deviation: if crossing zones has a cost and neither candidate is in this proxy's zone, the pair is
        drawn again, unless an earlier pair was full or the request has a hash key.
        """
        pair = None
        for _ in range(1 + MAX_REDRAWS):
            first = self._draw_candidate(request, None)
            if self.observer is not None:
                self.observer.endpoint_drawn(request, first)
            if first is None:
                return None
            second = self._draw_candidate(request, first) or first
            if self.observer is not None:
                self.observer.endpoint_drawn(request, None if second is first else second)
            request.candidates = pair = (first, second)
            if first.is_local or second.is_local or self.context.cross_zone_load <= 0:
                break
            if request.redraws or request.hash_key:
                break
        return pair

    def _draw_candidate(self, request: Request, other: Endpoint | None) -> Endpoint | None:
        """Draws one candidate other than `other` uniformly from the ready endpoints; None: no candidate.

        Deviation: the draw is repeated if the endpoint is warming up and slow start does not accept it, if it
        was already attempted, or if it is ejected. A request with a hash key draws from its ring first.
        """
        context = self.context
        random, now, settings = context.random, context.now, context.settings
        ready = self.registry.ready
        group = request.deduplication_group
        if group is not None:
            ready = [endpoint for endpoint in ready if deduplication_group(endpoint, request) == group]
        count = len(ready)
        if count == 0 or (count == 1 and ready[0] is other):
            return None
        uses_ring = bool(request.hash_key) and group is None
        fallback = None
        for _ in range(MAX_DRAWS_PER_CANDIDATE):
            on_ring = self.grouping.next_candidate(request) if uses_ring else None
            endpoint = on_ring or ready[int(random() * count)]
            # All proxies together must not overload a warming endpoint.
            if endpoint is other or (
                is_warming_up(endpoint, now, settings)
                and not self._is_accepted_by_slow_start(endpoint, request)
            ):
                continue
            if endpoint in request.attempted_endpoints or endpoint.ejected_until > now:
                fallback = fallback or endpoint
                continue
            return endpoint
        return fallback if other is None else None

    def _is_accepted_by_slow_start(self, endpoint: Endpoint, request: Request) -> bool:
        """Decides at random, with the probability given by slow start, if a warming endpoint is accepted.

        The acceptance probability is reduced for a large group, since all its requests start their draws at
        the same endpoint.
        """
        context, ready = self.context, self.registry.ready
        probability = self.slow_start.acceptance_probability(
            context.now, endpoint, ready, self.rates.sent, context.settings
        )
        if request.hash_key and (group_size := self.grouping.size(request.hash_key)):
            probability *= min(1.0, (1.0 + len(self.table.requests) / len(ready)) / group_size)
        return context.random() < probability

    def _two_choices(self, first: Endpoint, second: Endpoint, request: Request) -> Endpoint:
        """Returns the less loaded endpoint with probability beta, else the first.

        Deviation: a warming endpoint wins a tie against a warm one.
        """
        context = self.context
        first_load: float | None
        second_load: float | None
        if context.uses_health_checks or context.settings.report_source is ReportSource.ANSWERS:
            first_load = self.load_estimates.comparable_load(first, request)
            second_load = self.load_estimates.comparable_load(second, request)
            older_age = 0.0
            if first_load is not None and second_load is not None:
                first_at = max(first.report_changed_at, first.estimated_at)
                second_at = max(second.report_changed_at, second.estimated_at)
                older_age = context.now - min(first_at, second_at)
        else:
            first_load, second_load = self._load_without_reports(first), self._load_without_reports(second)
            older_age = 0.0
        beta = self.beta(older_age)
        if self.observer is not None:
            self.observer.pair_compared(request, beta, older_age)
        if context.random() >= beta:
            return first
        if first_load is None or second_load is None or first_load == second_load:
            # Slow start has already reduced the draws of a warming endpoint, so it wins a tie.
            pair = (first, second)
            tied = [each for each in pair if is_warming_up(each, context.now, context.settings)] or pair
            return tied[int(context.random() * len(tied))]
        return first if first_load < second_load else second

    def _load_without_reports(self, endpoint: Endpoint) -> float:
        """Returns the value that is compared if endpoints send no load reports: lower is less loaded."""
        if self.context.settings.weight_meaning is WeightMeaning.LIVE:
            return 1.0 / max(endpoint.weight, 1e-9)
        # Only this proxy's own connections are known.
        return len(endpoint.connections) / max(endpoint.weight, 1e-9)

    def _forward_if_headroom(self, chosen: Endpoint, request: Request) -> None:
        """Forwards the request to the least loaded endpoint drawn so far, if that has headroom.

        Deviation: if the chosen endpoint is full, or counts as full because of the cost of crossing zones,
        another pair is drawn, and the least loaded endpoint of all pairs is used. If none has headroom, the
        request is given up, since one more connection would degrade the established ones.
        """
        load = self.load_estimates.comparable_load(chosen, request)
        fallback = request.fallback_endpoint
        if fallback is not None and fallback.ready_index >= 0 and fallback not in request.attempted_endpoints:
            fallback_load = self.load_estimates.comparable_load(fallback, request)
            if fallback_load is not None and (load is None or fallback_load < load):
                chosen, load = fallback, fallback_load
        has_headroom = self.admission.has_headroom(chosen, request)
        if self.observer is not None:
            self.observer.headroom_checked(request, chosen, has_headroom)
        is_full = not has_headroom or (load is not None and load >= FULL_LOAD)
        if is_full:
            request.fallback_endpoint = chosen
        if is_full and self._may_redraw(request):
            request.redraws += 1
            self.draw(request)
        elif not has_headroom:
            self.attempts.give_up(request)
        else:
            self.attempts.forward(request, chosen)

    def _may_redraw(self, request: Request) -> bool:
        """Returns whether another pair may be drawn, by the number of redraws and the time spent so far."""
        time_limit = FRESH_REPORT_SHARE * request.class_settings.latency_objective
        return request.redraws < MAX_REDRAWS and self.context.now - request.arrived_at < time_limit
