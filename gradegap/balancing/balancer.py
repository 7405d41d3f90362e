"""Every decision of gradegap. Its types are in `events.py`, `actions.py` and `settings.py`.

A `Balancer` is one proxy. It is fed events with the clock and answers with actions, and knows no more.

The ordinary path, for every request: draw two ready servers uniformly; with probability beta keep
the one with the lower last probed figure (ties at random), else keep the first draw, where
beta = min(1, sqrt(n ln n / b)) and b is the number of connections that all proxies have stood up
since the older of the two figures was made. What departs from that says under which condition.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

from gradegap.balancing.actions import (
    Action,
    CheckHealth,
    Fail,
    Forward,
    Migrate,
    Reject,
    SetTimer,
    WatchEndpoints,
)
from gradegap.balancing.capacity import Capacity, is_cold
from gradegap.balancing.connection_growth import REPORT_DELAY_S, ConnectionGrowth
from gradegap.balancing.context import Context
from gradegap.balancing.endpoint_registry import EndpointRegistry
from gradegap.balancing.events import (
    NEVER_RAN,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    ConnectionObserved,
    EndpointList,
    EndpointPhase,
    Event,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.grouping import GROUP_SETUP_CONNECTIONS, Grouping, is_home
from gradegap.balancing.load_estimates import LoadEstimates, recent_placements
from gradegap.balancing.load_reports import LoadReports
from gradegap.balancing.model import NEVER, Endpoint, Request
from gradegap.balancing.outcome_rates import OutcomeRates
from gradegap.balancing.outliers import OutlierEjection
from gradegap.balancing.priority import PriorityWeights
from gradegap.balancing.report_statistics import ReportStatistics
from gradegap.balancing.request_table import RequestTable
from gradegap.balancing.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    ReportSource,
    Settings,
    WeightMeaning,
)
from gradegap.balancing.slow_start import SlowStart
from gradegap.balancing.timers import (
    HEALTH_CHECKS_TOKEN,
    PROXY_DRAIN_TOKEN,
    TimerKind,
    endpoint_drain_token,
    parse,
    request_token,
)

BETA_SCALE = 1.0
"""Factor on beta; the paper leaves the constant open."""

FRESH_REPORT_SHARE = 0.5
"""Share of the class's latency objective: an endpoint with an older report is checked first."""

HEALTH_CHECK_WAIT_SHARE = 0.16
"""Share of the class's latency objective: the longest wait for the health checks of the candidates."""

FULL_LOAD = 0.9
"""Load over capacity from which the lighter of two candidates counts as full, and another pair is drawn."""

ADMISSION_LOAD_LIMIT = 0.90
"""Load over capacity up to which all proxies together may fill an endpoint."""

LOW_PRIORITY_RESERVE = 0.15
"""Load over capacity that is kept from a request of priority 0, less of it from higher ones."""

MAX_REDRAWS = 3
"""Further pairs that are drawn where a pair is full, or not in this proxy's zone."""

MAX_DRAWS_PER_CANDIDATE = 6
"""Draws for one of two candidates before an endpoint that was already attempted, or is ejected, is taken."""

MIGRATION_START_LOAD = 0.9
"""Load over capacity from which established connections are migrated off an endpoint."""

MIGRATION_TARGET_LOAD = 0.85
"""Load over capacity that the migrations of all proxies together aim at."""

MIGRATION_PAUSE_REPORTS = 1.5
"""The shortest pause between two rounds of migration off one endpoint, in intervals between its reports."""

MIGRATION_SHOWN_SHARE = 0.5
"""Share of a round by which the reported connections must have fallen before the next round."""

DRAIN_ROUND_S = 0.1
"""Seconds between two rounds of migration off an endpoint or a proxy that is draining."""

DEFAULT_DRAIN_TIME_S = 3.6
"""Seconds that a draining endpoint is assumed to stay, until one was seen to stop sooner."""

DRAIN_START_SHARE = 0.75
"""Share of the assumed drain time after which the first connections are migrated."""

DRAIN_END_SHARE = 1.0
"""Share of the assumed drain time by which all connections are migrated."""

ANNOUNCED_DRAIN_START_SHARE = 0.05
"""As `DRAIN_START_SHARE`, where the endpoint list says how soon the endpoint may stop."""

ANNOUNCED_DRAIN_END_SHARE = 0.8
"""As `DRAIN_END_SHARE`, where the endpoint list says how soon the endpoint may stop."""

REMOVED_DRAIN_S = 0.5
"""Seconds over which connections are migrated off an endpoint that the list has removed."""

PROXY_DRAIN_DELAY_S = 0.4
"""Seconds before a draining proxy begins to migrate: until then clients may still be sent back to it."""

UNRESPONSIVE_HEALTH_CHECKS = 3
"""Health checks in a row without an answer from which connections are migrated off an endpoint."""

HEALTH_CHECK_INTERVAL_FULL_S = 0.7
"""Seconds between scheduled health checks of a full endpoint that holds our connections."""

HEALTH_CHECK_INTERVAL_IDLE_S = 4.0
"""Seconds between scheduled health checks of an idle endpoint that holds our connections."""

HEALTH_CHECKS_PER_REQUEST = 6.0
"""Health checks, scheduled ones included, that each request adds to the budget: it bounds their cost."""

HEALTH_CHECKS_PER_RETRY = 2.0
"""The same for a client that comes again, so that a wave of retries is not one of health checks."""

MAX_HEALTH_CHECK_BUDGET = 30.0
"""Health checks that a quiet time may save up."""

RESERVED_HEALTH_CHECKS = 4.0
"""Part of the budget that scheduled health checks leave to requests, which else would go unchecked."""

DEADLINE_MARGIN_S = 0.02
"""Seconds before its deadline at which a waiting request is answered."""


class Balancer:
    """One proxy's decisions: `handle(now, event)` returns the actions to carry out, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        context = self.context = Context(settings, seed)
        self.priority_weights = PriorityWeights(settings)
        self.table = RequestTable(self.priority_weights)
        self.registry = EndpointRegistry(context)
        self.registry.on_leaving = self._empty
        self.report_statistics, self.capacity = ReportStatistics(), Capacity()
        self.reports = LoadReports(context, self.report_statistics)
        self.rates = OutcomeRates()
        self.growth = ConnectionGrowth(context, self.table)
        self.grouping = Grouping(context, self.registry, self.capacity)
        self.load_estimates = LoadEstimates(context, self.registry.ready, self.capacity)
        self.slow_start = SlowStart(self.capacity)
        self.outliers = OutlierEjection(context, self.rates)
        self.health_check_budget = MAX_HEALTH_CHECK_BUDGET / 2
        self.health_checks_scheduled = self.drain_scheduled = self.process_ending = False
        self.drained_by = 0.0  # when this proxy must have migrated all its connections; 0: it stays
        self.expected_returns = 0.0  # reconnects that make up for what was migrated or broke here
        self.learned_drain_time = DEFAULT_DRAIN_TIME_S  # s
        self.answered_share = 1.0  # of the health checks of late
        self.handlers: dict[type, Callable[[Any], None]] = {
            EndpointList: self.registry.update,
            RequestArrived: self._on_requestarrived,
            ConnectionInherited: self._on_connectioninherited,
            ConnectionEstablished: self._on_connectionestablished,
            ConnectionObserved: self._on_connectionobserved,
            AttemptEnded: self._on_attemptended,
            ClientDisconnected: self._on_clientdisconnected,
            TimerFired: self._on_timerfired,
            HealthCheckEnded: self._on_healthcheckended,
            ProxyDraining: self._on_proxydraining,
            ProxyResumed: self._on_proxyresumed,
        }

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """All known endpoints, by name; to look at, not to change."""
        return self.registry.endpoints

    @property
    def requests(self) -> Mapping[int, Request]:
        """All requests that are not ended, by id; to look at, not to change."""
        return self.table.requests

    def adopt(self, settings: Settings) -> None:
        """Decides by these settings from now on."""
        self.context.adopt(settings)
        self.priority_weights.adopt(settings)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Returns the actions to carry out, in order.

        Args:
            now: Seconds by a clock that never goes back.
            event: What happened. Each request, attempt and timer is one that this balancer knows, or is
                ignored.
        """
        context = self.context
        context.now = now
        if context.started_at == NEVER:
            context.started_at = self.slow_start.born = now
        actions = context.actions = []
        self.handlers[type(event)](event)
        return actions

    # A request's way

    def _on_requestarrived(self, event: RequestArrived) -> None:
        request = self.table.requests[event.request_id] = self._made(
            event, self.context.settings.classes[event.class_name]
        )
        again = event.retry or event.reconnect
        self.health_check_budget = min(
            MAX_HEALTH_CHECK_BUDGET,
            self.health_check_budget + (HEALTH_CHECKS_PER_RETRY if again else HEALTH_CHECKS_PER_REQUEST),
        )
        self._draw(request)

    def _made(self, event: RequestArrived, class_settings: ClassSettings) -> Request:
        request = Request(
            event.request_id,
            class_settings,
            self.context.now,
            event.deadline_at,
            self.context.settings.max_attempts,
            event.reconnect,
            event.tenant,
        )
        request.hash_key = (
            (event.group or (event.key if self.context.settings.passthrough else ""))
            if self.context.uses_hash_ring
            else ""
        )
        request.priority = self.priority_weights.of(class_settings, event.tenant)
        return request

    def _draw(self, request: Request) -> None:
        """Draw a pair, and compare it now or when its probes are back."""
        if self.process_ending or self.context.now >= request.retry_until:
            return self._give_up(request)
        # Guards against attempts that keep it overrun: by the excess, some wait or are told to come again.
        if self.context.random() < self.rates.failure_excess(self.context.now):
            return self._wait(request)
        for _ in range(1 + MAX_REDRAWS):
            first = self._pick(request, None)
            if first is None:
                return self._wait(request)
            second = self._pick(request, first) or first
            request.candidates = pair = (first, second)
            # Condition: crossing has a price and neither of the pair is near. It is drawn again, unless the
            # last pair was full or the draws are a group's.
            if (
                first.is_local
                or second.is_local
                or self.context.cross_zone_load <= 0
                or request.redraws
                or request.hash_key
            ):
                break
        if first is second or not self.context.uses_health_checks:
            return self._decide(request)
        old = self.context.now - FRESH_REPORT_SHARE * request.class_settings.latency_objective
        request.pending_health_checks = 0
        for endpoint in pair:
            if endpoint.last_report_at < old and self.health_check_budget > 0:
                request.pending_health_checks += 1
                endpoint.waiting_requests.append(request)
                self._probe(endpoint)
        if request.pending_health_checks == 0:
            self._decide(request)
        else:
            # Guards against a silent probe: a request never waits longer than this for one.
            left = request.deadline_at - DEADLINE_MARGIN_S - self.context.now
            self.context.actions.append(
                SetTimer(
                    max(0.0, min(HEALTH_CHECK_WAIT_SHARE * request.class_settings.latency_objective, left)),
                    request_token(request.id),
                )
            )

    def _pick(self, request: Request, other: Endpoint | None) -> Endpoint | None:
        """A uniform draw from the ready list, drawn again where a stated condition rules it out."""
        pool = self.registry.ready
        if request.deduplication_group is not None:
            pool = [
                endpoint
                for endpoint in pool
                if self._group_of(endpoint, request) == request.deduplication_group
            ]
        n = len(pool)
        if n == 0 or (n == 1 and pool[0] is other):
            return None
        fallback = None
        for _ in range(MAX_DRAWS_PER_CANDIDATE):
            on_ring = (
                self.grouping.next_candidate(request)
                if request.hash_key and request.deduplication_group is None
                else None
            )
            endpoint = on_ring or pool[int(self.context.random() * n)]
            # Guards against pushing a cold server over, all proxies together.
            if endpoint is other or (
                is_cold(endpoint, self.context.now, self.context.settings)
                and not self._cold_may(endpoint, request)
            ):
                continue
            if endpoint in request.attempted_endpoints or endpoint.ejected_until > self.context.now:
                fallback = fallback or endpoint
                continue
            return endpoint
        return fallback if other is None else None

    def _cold_may(self, endpoint: Endpoint, request: Request) -> bool:
        """Thin draws of a cold server by its budget, and a large group's more: all begin it there."""
        chance = self.slow_start.chance(
            self.context.now, endpoint, self.registry.ready, self.rates.sent, self.context.settings
        )
        if request.hash_key and (
            team := sum(
                other_endpoint.connections_by_group.get(request.hash_key, 0)
                for other_endpoint in self.registry.ready
            )
        ):
            chance *= min(1.0, (1.0 + len(self.table.requests) / len(self.registry.ready)) / team)
        return self.context.random() < chance

    def beta(self, older_age: float) -> float:
        """The chance of a two-way comparison, for figures of which the older has this age."""
        b = self.rates.established.get(self.context.now) * self.context.settings.proxy_count * older_age
        if b <= self.registry.n_log_n:
            return 1.0
        return min(1.0, BETA_SCALE * math.sqrt(self.registry.n_log_n / b))

    def _has_room(self, endpoint: Endpoint, request: Request) -> bool:
        """Whether a server has room for the connections that all proxies may be about to give it.

        Guards against a server with a little room that every proxy sees at once: each takes it with the
        chance that makes them, together, fill the room and not more."""
        age = self.context.now - max(endpoint.report_changed_at, endpoint.estimated_at)
        load = self.load_estimates.load(endpoint)
        # Guards against frozen reports: one older than any delay says nothing of room, so trust the draw.
        if (
            load is None
            or (unit := self.load_estimates.load_per_connection(endpoint)) <= 0
            or endpoint.last_report_at - endpoint.report_changed_at > 2 * REPORT_DELAY_S
        ):
            return True
        # What the list has told since the report has our own connections in it, and needs no guess.
        load = load * (
            1.0 if endpoint.estimated_at > endpoint.report_changed_at else self.growth.factor()
        ) + unit * recent_placements(endpoint, self.context.now)
        # The least worth is refused first, and a group's first on a server takes the room of several.
        room = (ADMISSION_LOAD_LIMIT - LOW_PRIORITY_RESERVE * (1.0 - request.priority) - load) / unit
        room -= 0.0 if is_home(endpoint, request) else GROUP_SETUP_CONNECTIONS
        if room <= 0:
            return False
        pace = self.report_statistics.pace()
        lag = pace + min(age, pace)  # over longer, those who leave make room for those who come
        rivals = (
            2.0
            * self.rates.sent.get(self.context.now)
            * self.context.settings.proxy_count
            * lag
            / max(1, len(self.registry.ready))
        )
        return rivals <= room or self.context.random() * rivals < room

    def _decide(self, request: Request) -> None:
        """Keep one of the drawn pair."""
        assert request.candidates is not None
        if self.context.now >= request.retry_until:  # it waited for its probes for too long
            return self._give_up(request)
        first, second = request.candidates
        request.candidates, request.pending_health_checks = None, 0
        # Guards against a server that began to drain, or went, while its probe was out.
        if first.ready_index < 0 or second.ready_index < 0:
            first = second = second if first.ready_index < 0 else first
            if first.ready_index < 0:
                return self._draw(request)
        keep = first
        if first is not second:
            if self.context.uses_health_checks or self.context.settings.report_source is ReportSource.ANSWERS:
                first_load, second_load = (
                    self.load_estimates.comparable_load(first, request),
                    self.load_estimates.comparable_load(second, request),
                )
                oldest = min(
                    max(endpoint.report_changed_at, endpoint.estimated_at) for endpoint in (first, second)
                )
                age = 0.0 if None in (first_load, second_load) else self.context.now - oldest
            elif self.context.settings.weight_meaning is WeightMeaning.LIVE:
                first_load, second_load, age = (
                    1.0 / max(first.weight, 1e-9),
                    1.0 / max(second.weight, 1e-9),
                    0.0,
                )
            else:  # no reports at all: our own connections are all that can be counted
                first_load, second_load, age = (
                    len(first.connections) / max(first.weight, 1e-9),
                    len(second.connections) / max(second.weight, 1e-9),
                    0.0,
                )
            if self.context.random() < self.beta(age):
                if first_load is None or second_load is None or first_load == second_load:
                    tied = [
                        endpoint
                        for endpoint in (first, second)
                        if is_cold(endpoint, self.context.now, self.context.settings)
                    ] or [first, second]  # thinned once
                    keep = tied[int(self.context.random() * len(tied))]
                else:
                    keep = first if first_load < second_load else second
        if self.context.uses_health_checks:
            # Condition: what is kept is full, or costs as much by crossing: draw again, keep the lightest.
            figure = self.load_estimates.comparable_load(keep, request)
            best = request.fallback_endpoint
            if best is not None and best.ready_index >= 0 and best not in request.attempted_endpoints:
                other = self.load_estimates.comparable_load(best, request)
                if other is not None and (figure is None or other < figure):
                    keep, figure = best, other
            room = self._has_room(keep, request)
            if not room or (figure is not None and figure >= FULL_LOAD):
                request.fallback_endpoint = keep
                if (
                    request.redraws < MAX_REDRAWS
                    and self.context.now - request.arrived_at
                    < FRESH_REPORT_SHARE * request.class_settings.latency_objective
                ):
                    request.redraws += 1
                    return self._draw(request)
                # Condition: no pair drawn has room. One more would spoil what is held: come again later.
                if not room:
                    return self._give_up(request)
        self._send(request, keep)

    def _send(self, request: Request, endpoint: Endpoint) -> None:
        left = request.deadline_at - self.context.now
        # The last attempt, and one that would only repeat its cost, has all the time left, others until the
        # aim is left for one more. Guards against a wave that slows all servers: work done twice buries them.
        last = request.max_attempts - request.attempts <= 1 or self.rates.failure_excess(self.context.now) > 0
        objective = request.class_settings.latency_objective
        timeout = left if last else max(min(left, objective), left - objective)
        request.attempts += 1
        request.last_attempt_at = self.context.now
        # What all proxies are about to give a server is what they send: arrivals refused put nothing on any.
        self.rates.sent.add(self.context.now)
        request.attempt_in_flight = True
        request.endpoint = endpoint
        request.fallback_endpoint, request.redraws = None, 0
        request.attempted_endpoints.append(endpoint)
        endpoint.recent_placements = recent_placements(endpoint, self.context.now) + 1.0
        endpoint.recent_placements_at = self.context.now
        self.outliers.attempt_started(endpoint)
        self.context.actions.append(
            Forward(request.id, endpoint.name, timeout, request.retry_until - self.context.now)
        )

    def _group_of(self, endpoint: Endpoint, request: Request) -> Any:
        group = request.class_settings.deduplication_scope
        return (
            endpoint.zone
            if group is DeduplicationScope.ZONE
            else endpoint.cell
            if group is DeduplicationScope.CELL
            else True
        )

    def _wait(self, request: Request) -> None:
        """Nothing may be sent to now: look again soon, and refuse when the aim has passed."""
        if (
            self.context.now - request.arrived_at >= request.class_settings.latency_objective
            or request.deadline_at - self.context.now <= 2 * DEADLINE_MARGIN_S
        ):
            return self._give_up(request)
        wait = min(
            request.class_settings.latency_objective / 4 * (0.5 + self.context.random()),
            request.deadline_at - DEADLINE_MARGIN_S - self.context.now,
        )
        self.context.actions.append(SetTimer(max(0.0, wait), request_token(request.id)))

    def _give_up(self, request: Request) -> None:
        """The one final answer, where no attempt is out: a refusal if that is true, else a failure."""
        request.finished = True
        del self.table.requests[request.id]
        may_refuse = not request.may_have_run or request.class_settings.idempotency is Idempotency.IDEMPOTENT
        if (
            request.class_settings.idempotency is Idempotency.KEYED
            and request.may_have_run
            and request.class_settings.deduplication_scope is DeduplicationScope.ALL
        ):
            may_refuse = self.context.now < request.retry_until
        most = (
            min(PROXY_DRAIN_DELAY_S, self.context.settings.max_retry_after)
            if self.process_ending
            else self.context.settings.max_retry_after
        )
        after = most * (0.5 + 0.5 * self.context.random())
        self.context.actions.append(Reject(request.id, after) if may_refuse else Fail(request.id))

    # What comes back

    def _on_connectionestablished(self, event: ConnectionEstablished) -> None:
        request = self.table.requests.get(event.request_id)
        if request is None or request.endpoint is None:
            return
        request.established = True
        endpoint = request.endpoint
        self.outliers.connection_established(endpoint)
        self.table.hold(endpoint, request)
        if endpoint.phase is not EndpointPhase.READY:  # it began to drain while this one was set up
            self._empty(endpoint)
        self.rates.established.add(self.context.now)
        if request.is_reconnect and self.expected_returns >= 1.0:
            self.expected_returns -= 1.0
        elif request.is_reconnect:  # no growth: it stood at another proxy, and the reports had it all along
            self.growth.add_known()
        self._start_ticking()

    def _on_attemptended(self, event: AttemptEnded) -> None:
        if event.report and event.endpoint in self.registry.endpoints:
            self.reports.read(self.registry.endpoints[event.endpoint], event.report)
        request = self.table.requests.get(event.request_id)
        if request is None:
            return
        endpoint = request.endpoint
        request.attempt_in_flight = False
        if endpoint is not None:
            held = self.table.release(endpoint, request)
            broke = held and event.result is AttemptResult.RESET
            self.expected_returns += broke
            if (
                broke
                and not endpoint.connections
                and endpoint.phase is EndpointPhase.DRAINING
                and not endpoint.stops_within
            ):
                self.learned_drain_time = max(
                    0.3, min(self.learned_drain_time, self.context.now - endpoint.draining_since)
                )  # it stopped before the end
            if endpoint.phase is EndpointPhase.REMOVED and not endpoint.connections:
                self.registry.endpoints.pop(endpoint.name, None)
        if event.settled or request.finished or request.established:
            request.finished = True
            del self.table.requests[request.id]
            return
        if endpoint is not None and event.result not in (
            AttemptResult.FULL,
            AttemptResult.CANCELLED,
            AttemptResult.NOT_SENT,
        ):
            self.outliers.attempt_failed(endpoint)
            if event.result is not AttemptResult.CONNECT_FAILED:
                self.rates.failed.add(self.context.now)
        if event.result not in NEVER_RAN:
            request.may_have_run = True
            if (
                request.class_settings.idempotency is Idempotency.KEYED
                and request.deduplication_group is None
                and endpoint is not None
            ):
                request.deduplication_group, request.retry_until = (
                    self._group_of(endpoint, request),
                    request.last_attempt_at + request.class_settings.deduplication_window,
                )
        left = request.deadline_at - self.context.now
        spent = (
            request.attempts >= request.max_attempts
            or left <= 2 * DEADLINE_MARGIN_S
            or event.result is AttemptResult.NOT_SENT
        )
        if spent or (
            request.may_have_run and request.class_settings.idempotency is Idempotency.NON_IDEMPOTENT
        ):
            self._give_up(request)
        else:
            self._draw(request)

    def _on_clientdisconnected(self, event: ClientDisconnected) -> None:
        if (request := self.table.requests.get(event.request_id)) is not None:
            request.finished = True
            if not request.attempt_in_flight:
                del self.table.requests[request.id]

    def _on_connectioninherited(self, event: ConnectionInherited) -> None:
        inherited = event.request
        classes = self.context.settings.classes
        request = self._made(
            inherited, classes.get(inherited.class_name) or next(iter(classes.values()))
        )  # a reload took it
        endpoint = self.registry.get_or_add(event.endpoint)
        request.attempts, request.attempt_in_flight, request.established, request.endpoint = (
            1,
            True,
            True,
            endpoint,
        )
        self.table.hold(endpoint, request)
        if endpoint.phase is EndpointPhase.DRAINING:
            self._empty(endpoint)
        self.table.requests[request.id] = request
        self.growth.add_inherited()
        self._start_ticking()

    # Probes, and moving what stands on a full server

    def _probe(self, endpoint: Endpoint) -> None:
        if endpoint.health_check_sent_at < self.context.now - 1.0:
            endpoint.health_check_sent_at = self.context.now
            self.health_check_budget -= 1
            self.context.actions.append(CheckHealth(endpoint.name))

    def _on_healthcheckended(self, event: HealthCheckEnded) -> None:
        endpoint = self.registry.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        endpoint.health_check_sent_at = NEVER
        if event.result is AttemptResult.OK:
            if event.report:
                self.reports.read(endpoint, event.report)
            self.outliers.health_check_answered(endpoint)
            self.answered_share += 0.05 * (1.0 - self.answered_share)
        elif event.result is not AttemptResult.FULL:  # its probes are capped: no sign of trouble
            self.outliers.health_check_failed(endpoint)
            self.answered_share -= 0.05 * self.answered_share
        waiters, endpoint.waiting_requests = endpoint.waiting_requests, []
        for request in waiters:
            if (
                request.candidates is not None
                and endpoint in request.candidates
                and not request.finished
                and not request.attempt_in_flight
            ):
                request.pending_health_checks -= 1
                if request.pending_health_checks <= 0:
                    self._decide(request)
        if endpoint.connections:
            self._relieve(endpoint)

    def _relieve(self, endpoint: Endpoint) -> None:
        """Condition: a server that holds our connections is near or over its capacity, or leaves several
        probes in a row unanswered while most others answer: what hangs or is cut off serves nobody.
        Every proxy sees the same, and each moves its own part of the excess."""
        load = self.load_estimates.load(endpoint) if self.context.load_field != "inflight" else None
        if endpoint.unanswered_health_checks:
            load = (
                2.0
                if endpoint.unanswered_health_checks >= UNRESPONSIVE_HEALTH_CHECKS
                and self.answered_share > 0.5
                else None
            )
        # Guards against noise and lateness of reports: on one high figure servers with room were emptied.
        wide = 1.0 if endpoint.unanswered_health_checks else 1.0 + self.report_statistics.noise
        unseen = (
            not endpoint.unanswered_health_checks
            and self.context.now < endpoint.migration_shown_by
            and (endpoint.last_report[1] or 0.0) > endpoint.migration_shown_count
        )
        if (
            load is None
            or load < MIGRATION_START_LOAD * wide
            or self.context.now < endpoint.migration_paused_until
            or unseen
        ):
            return
        # Guards against moves that no other server has room for: their clients would only be refused.
        others = [
            (self.load_estimates.load(other_endpoint) or 0.0, other_endpoint.load_per_connection)
            for other_endpoint in self.registry.ready
            if other_endpoint is not endpoint and other_endpoint.load_per_connection > 0
        ]
        room = (
            math.inf
            if endpoint.unanswered_health_checks
            else sum(max(0.0, ADMISSION_LOAD_LIMIT - full) / unit for full, unit in others)
        )
        room /= self.context.settings.proxy_count
        count = int(
            min(len(endpoint.connections) * (load - MIGRATION_TARGET_LOAD * wide) / load, room)
            + self.context.random()
        )
        endpoint.migration_paused_until = (
            self.context.now
            + MIGRATION_PAUSE_REPORTS * self.report_statistics.pace() * (0.75 + 0.5 * self.context.random())
        )
        if count:
            if endpoint.last_report[1]:
                endpoint.migration_shown_by, endpoint.migration_shown_count = (
                    self.context.now + REPORT_DELAY_S,
                    endpoint.last_report[1] - MIGRATION_SHOWN_SHARE * count,
                )
            # The least worth goes first, as where no server has room it is what will be refused, and the
            # smallest group, as with its last connection goes what the server pays for it.
            order = [
                (
                    endpoint.connections_by_group[request.hash_key]
                    * request.priority
                    * (0.5 + self.context.random()),
                    request,
                )
                for request in endpoint.connections.values()
            ]
            self._move([request for _, request in sorted(order, key=lambda each: each[0])[:count]])

    def _move(self, requests: list[Request]) -> None:
        for request in requests:
            if request.endpoint is not None:
                self.table.release(request.endpoint, request)
            request.finished = True
            self.expected_returns += 1.0
            self.context.actions.append(Migrate(request.id))

    def _empty(self, endpoint: Endpoint) -> None:
        """Condition: a server drains or is gone. What stands is moved before it leaves, not in one wave."""
        if endpoint.draining_since <= 0.0:
            endpoint.draining_since = self.context.now
            first, last = (
                DRAIN_START_SHARE * self.learned_drain_time,
                DRAIN_END_SHARE * self.learned_drain_time,
            )
            if endpoint.stops_within:
                first, last = (
                    ANNOUNCED_DRAIN_START_SHARE * endpoint.stops_within,
                    ANNOUNCED_DRAIN_END_SHARE * endpoint.stops_within,
                )
            if endpoint.phase is EndpointPhase.REMOVED:
                first, last = 0.0, REMOVED_DRAIN_S
            endpoint.drained_by = self.context.now + last
            self.context.actions.append(
                SetTimer(first + DRAIN_ROUND_S * self.context.random(), endpoint_drain_token(endpoint.name))
            )

    def _on_proxydraining(self, event: ProxyDraining) -> None:
        """Condition: this proxy itself stops. All that it holds is moved by then, paced likewise. Where its
        process ends, what waits is refused at once: a connection stood up now would only be moved."""
        self.drained_by = min(self.drained_by or event.deadline_at, event.deadline_at)
        self.process_ending = self.process_ending or event.process_ends
        for request in [
            request
            for request in self.table.requests.values()
            if self.process_ending and not request.attempt_in_flight and not request.finished
        ]:
            self._give_up(request)
        if not self.drain_scheduled:
            self.drain_scheduled = True
            self.context.actions.append(
                SetTimer(
                    min(PROXY_DRAIN_DELAY_S, max(0.0, event.deadline_at - self.context.now)),
                    PROXY_DRAIN_TOKEN,
                )
            )

    def _on_proxyresumed(self, event: ProxyResumed) -> None:
        """Condition: this proxy stays after all, with what it still holds."""
        self.drained_by = self.expected_returns = 0.0

    def _move_part(self, held: list[Request], by: float, token: str) -> None:
        """Move a share of what is left, so that all are moved by then; the worthiest first."""
        rounds = max(1, int((by - self.context.now) / DRAIN_ROUND_S))
        held.sort(
            key=lambda request: request.class_settings.priority_weight * (0.5 + self.context.random()),
            reverse=True,
        )
        self._move(held[: math.ceil(len(held) / rounds)])
        self.context.actions.append(SetTimer(DRAIN_ROUND_S, token))

    def _on_connectionobserved(self, event: ConnectionObserved) -> None:
        """Messages take long at a server: look at it. Or a connection's load is told."""
        if event.load and (request := self.table.requests.get(event.request_id)) is not None:
            self.priority_weights.told(request.class_settings.name, event.load)
        endpoint = self.registry.endpoints.get(event.endpoint)
        slow = (
            event.message_delay is not None
            and self.context.uses_health_checks
            and self.health_check_budget > RESERVED_HEALTH_CHECKS
        )
        if (
            endpoint is not None
            and slow
            and endpoint.last_report_at < self.context.now - HEALTH_CHECK_INTERVAL_FULL_S
        ):
            self._probe(endpoint)

    def _start_ticking(self) -> None:
        if self.context.uses_health_checks and not self.health_checks_scheduled:
            self.health_checks_scheduled = True
            self.context.actions.append(
                SetTimer(HEALTH_CHECK_INTERVAL_FULL_S * (0.5 + self.context.random()), HEALTH_CHECKS_TOKEN)
            )

    def _look(self) -> None:
        """Probe servers that hold our connections: often where full, seldom where idle."""
        nearest = HEALTH_CHECK_INTERVAL_IDLE_S
        seen = [endpoint for endpoint in self.registry.endpoints.values() if endpoint.connections]
        for endpoint in seen:
            idle = max(0.0, MIGRATION_START_LOAD - endpoint.load) if endpoint.load is not None else 0.5
            due = (
                endpoint.last_report_at
                + min(HEALTH_CHECK_INTERVAL_IDLE_S, HEALTH_CHECK_INTERVAL_FULL_S * (1.0 + 5.0 * idle))
                - self.context.now
            )
            if due <= 0.1:
                if self.health_check_budget > RESERVED_HEALTH_CHECKS and self.context.uses_health_checks:
                    self._probe(endpoint)
                due = HEALTH_CHECK_INTERVAL_FULL_S
            nearest = min(nearest, due)
        self.health_checks_scheduled = bool(seen) and self.context.uses_health_checks
        if self.health_checks_scheduled:
            self.context.actions.append(
                SetTimer(max(0.5, nearest) * (0.75 + 0.5 * self.context.random()), HEALTH_CHECKS_TOKEN)
            )

    def _on_timerfired(self, event: TimerFired) -> None:
        timer = parse(event.token)
        if timer is None:
            return
        if timer.kind is TimerKind.HEALTH_CHECKS:
            self._look()
        elif timer.kind is TimerKind.ENDPOINT_LIST:
            self.context.actions.append(WatchEndpoints())
        elif timer.kind is TimerKind.PROXY_DRAIN:
            self.drain_scheduled = self.drained_by > 0.0
            if self.drain_scheduled:
                every = [
                    request
                    for endpoint in self.registry.endpoints.values()
                    for request in endpoint.connections.values()
                ]
                self._move_part(every, self.drained_by, event.token)
        elif timer.kind is TimerKind.ENDPOINT_DRAIN:
            endpoint = self.registry.endpoints.get(timer.subject)
            if endpoint is not None and endpoint.draining_since > 0.0 and endpoint.connections:
                self._move_part(list(endpoint.connections.values()), endpoint.drained_by, event.token)
        else:
            request = self.table.requests.get(int(timer.subject))
            if request is None or request.finished or request.attempt_in_flight or request.established:
                return
            if request.deadline_at - self.context.now <= 2 * DEADLINE_MARGIN_S:
                self._give_up(request)
            elif (
                request.candidates is not None
            ):  # a probe of it is silent: one that answered wins over one that did not
                first, second = request.candidates
                if (first.health_check_sent_at > NEVER) != (second.health_check_sent_at > NEVER):
                    request.candidates = (
                        (second, second) if first.health_check_sent_at > NEVER else (first, first)
                    )
                self._decide(request)
            else:
                self._draw(request)
