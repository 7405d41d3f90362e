"""Selection of an endpoint: the (1+beta) choice process.

Two ready endpoints are drawn uniformly. With probability beta the one with the lower last reported load is
kept (ties at random), else the first draw, where

    beta = min(1, sqrt(n log n / b))

with n ready endpoints, the natural logarithm, and b the number of connections that all proxies have
established since the older of the two reports was made. Comparisons by stale loads alone would send all
proxies to the same endpoints.

Sources: Peres, Talwar and Wieder, "Graphical balanced allocations and the (1 + beta)-choice process"; Los and
Sauerwald, "Balanced Allocations in Batches: The Tower of Two Choices", for beta where loads are b placements
old. Both leave the constant open. A departure from the process says under which condition it is made.
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
"""Factor on beta; the paper leaves the constant open."""

FRESH_REPORT_SHARE = 0.5
"""Share of the class's latency objective: an endpoint with an older report is checked first."""

HEALTH_CHECK_WAIT_SHARE = 0.16
"""Share of the class's latency objective: the longest wait for the health checks of the candidates."""

FULL_LOAD = 0.9
"""Load over capacity from which the lighter of two candidates counts as full, and another pair is drawn."""

MAX_REDRAWS = 3
"""Further pairs that are drawn where a pair is full, or not in this proxy's zone."""

MAX_DRAWS_PER_CANDIDATE = 6
"""Draws for one of two candidates before an endpoint that was already attempted, or is ejected, is taken."""


class Selection:
    """Draws candidates, has them checked, compares them, and sends the attempt, or has it wait or give up."""

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
        """Draws a pair of candidates, and compares it now or when its health checks are back."""
        if self.observer is not None:
            self.observer.draw_started(request)
        context = self.context
        if self.attempts.is_process_ending or context.now >= request.retry_until:
            self.attempts.give_up(request)
            return
        # Attempts would keep an overrun fleet overrun: by the excess of failures, some wait or come again.
        overrun = context.random() < self.rates.failure_excess(context.now)
        pair = None if overrun else self._draw_pair(request)
        if pair is None:
            self.attempts.wait(request)
        elif pair[0] is pair[1] or not context.uses_health_checks:
            self.decide(request)
        else:
            self._check_health(pair, request)

    def decide(self, request: Request) -> None:
        """Keeps one of the candidates."""
        if self.context.now >= request.retry_until:  # it waited for its health checks for too long
            self.attempts.give_up(request)
            return
        assert request.candidates is not None
        first, second = request.candidates
        request.candidates, request.pending_health_checks = None, 0
        # One may have begun to drain, or have been removed, while its health check was under way.
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
            older_age: Seconds since the older of their two reports was made. What all proxies have
                established since then, by the rate of this one, is b.
        """
        n_log_n = self.registry.n_log_n
        b = self.rates.established.rate(self.context.now) * self.context.settings.proxy_count * older_age
        if b <= n_log_n:
            return 1.0
        return min(1.0, BETA_SCALE * math.sqrt(n_log_n / b))

    def health_check_ended(self, endpoint: Endpoint) -> None:
        """Decides for the requests that waited for a health check of this endpoint and no other."""
        waiting, endpoint.waiting_requests = endpoint.waiting_requests, []
        for request in waiting:
            pair = request.candidates
            if pair is None or endpoint not in pair or request.finished or request.attempt_in_flight:
                continue
            request.pending_health_checks -= 1
            if request.pending_health_checks <= 0:
                self.decide(request)

    def request_timer_fired(self, request_id: int) -> None:
        """Goes on with a request that has waited long enough, for health checks or to draw again."""
        request = self.table.requests.get(request_id)
        if request is None or request.finished or request.attempt_in_flight or request.established:
            return
        if self.attempts.is_due(request):
            self.attempts.give_up(request)
        elif request.candidates is not None:
            # Of two candidates the one whose health check was answered is kept.
            first, second = request.candidates
            first_silent = first.health_check_sent_at > NEVER
            if first_silent != (second.health_check_sent_at > NEVER):
                request.candidates = (second, second) if first_silent else (first, first)
            self.decide(request)
        else:
            self.draw(request)

    def _check_health(self, pair: tuple[Endpoint, Endpoint], request: Request) -> None:
        """Checks those of a pair whose reports are old, and decides now or when the results are there."""
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
            # A request never waits longer than this for a health check that gets no answer.
            left = request.deadline_at - DEADLINE_MARGIN_S - context.now
            pause = max(0.0, min(HEALTH_CHECK_WAIT_SHARE * objective, left))
            context.actions.append(SetTimer(pause, request_token(request.id)))

    def _draw_pair(self, request: Request) -> tuple[Endpoint, Endpoint] | None:
        """Draws two candidates, one and the same where there is no other; None: nothing may be sent to now.

        Condition: crossing zones has a cost, and neither candidate is in this proxy's zone. A pair is drawn
        again then, unless the last pair was full or the draws are a group's.
        """
        pair = None
        for _ in range(1 + MAX_REDRAWS):
            first = self._pick(request, None)
            if self.observer is not None:
                self.observer.endpoint_drawn(request, first)
            if first is None:
                return None
            second = self._pick(request, first) or first
            if self.observer is not None:
                self.observer.endpoint_drawn(request, None if second is first else second)
            request.candidates = pair = (first, second)
            if first.is_local or second.is_local or self.context.cross_zone_load <= 0:
                break
            if request.redraws or request.hash_key:
                break
        return pair

    def _pick(self, request: Request, other: Endpoint | None) -> Endpoint | None:
        """Draws one candidate beside `other` uniformly from the ready endpoints.

        It is drawn again where a condition rules out what was drawn; None: there is no other.
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
        by_ring = bool(request.hash_key) and group is None
        fallback = None
        for _ in range(MAX_DRAWS_PER_CANDIDATE):
            on_ring = self.grouping.next_candidate(request) if by_ring else None
            endpoint = on_ring or ready[int(random() * count)]
            # All proxies together must not overrun a warming endpoint.
            if endpoint is other or (
                is_warming_up(endpoint, now, settings) and not self._may_warm_up(endpoint, request)
            ):
                continue
            if endpoint in request.attempted_endpoints or endpoint.ejected_until > now:
                fallback = fallback or endpoint
                continue
            return endpoint
        return fallback if other is None else None

    def _may_warm_up(self, endpoint: Endpoint, request: Request) -> bool:
        """Returns whether a draw may keep a warming endpoint, by the budget of slow start.

        A large group is thinned further: all its members begin at the same endpoint.
        """
        context, ready = self.context, self.registry.ready
        chance = self.slow_start.chance(context.now, endpoint, ready, self.rates.sent, context.settings)
        if request.hash_key and (group_size := self.grouping.size(request.hash_key)):
            chance *= min(1.0, (1.0 + len(self.table.requests) / len(ready)) / group_size)
        return context.random() < chance

    def _two_choices(self, first: Endpoint, second: Endpoint, request: Request) -> Endpoint:
        """Returns the lighter one with probability beta, else the first."""
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
            # A warming one wins a tie: its draws have been thinned already.
            pair = (first, second)
            tied = [each for each in pair if is_warming_up(each, context.now, context.settings)] or pair
            return tied[int(context.random() * len(tied))]
        return first if first_load < second_load else second

    def _load_without_reports(self, endpoint: Endpoint) -> float:
        """Returns what is compared where endpoints report nothing, or only by their weights."""
        if self.context.settings.weight_meaning is WeightMeaning.LIVE:
            return 1.0 / max(endpoint.weight, 1e-9)
        # Our own connections are all that can be counted.
        return len(endpoint.connections) / max(endpoint.weight, 1e-9)

    def _forward_if_headroom(self, chosen: Endpoint, request: Request) -> None:
        """Sends the attempt to the lightest endpoint drawn so far, if that has headroom.

        Condition: what was chosen is full, or costs as much by crossing zones. Another pair is drawn then,
        and the lightest of all is kept. Where none has headroom, one more would spoil what is established:
        the client has to come again later.
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
        """Returns whether another pair may be drawn, by the number of those before and the time spent."""
        patience = FRESH_REPORT_SHARE * request.class_settings.latency_objective
        return request.redraws < MAX_REDRAWS and self.context.now - request.arrived_at < patience
