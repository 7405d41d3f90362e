"""Health checks that the balancer asks for, and load reports from other sources."""

from __future__ import annotations

from functools import partial

from gradegap.balancing.actions import CheckHealth
from gradegap.balancing.events import AttemptResult, HealthCheckEnded
from gradegap.balancing.rates import LatencyEstimate
from gradegap.proxy.context import ProxyContext
from gradegap.proxy.endpoint import NEVER, Endpoint
from gradegap.proxy.endpoints import Endpoints
from gradegap.proxy.request import Report

HEALTH_CHECK_TIMEOUT_S = 0.25
"""Lower bound of the health check timeout, which adapts to the measured latency of health checks."""

HEALTH_CHECK_TIMEOUT_MAX_S = 0.5
"""Upper bound of the health check timeout."""


class HealthChecks:
    """Sends health checks and records their results."""

    def __init__(self, context: ProxyContext, endpoints: Endpoints) -> None:
        self.context = context
        self.endpoints = endpoints
        self.latency = LatencyEstimate()

    def check(self, action: CheckHealth) -> None:
        """Carry out the balancer's decision to check an endpoint."""
        endpoint = self.endpoints.by_id.get(action.endpoint)
        done = partial(self._on_done, action.endpoint, endpoint, self.context.now())
        self.context.metrics.count("probes")
        if endpoint is None or not self.endpoints.within_drain_grace(endpoint):
            # A draining endpoint whose grace is over gets no new connections, including those for health
            # checks. Guards against the missing check being taken for an unresponsive endpoint, all of whose
            # connections would be migrated at once: the balancer does not count the result FULL as a fault.
            self.context.loop.call_soon(done, AttemptResult.FULL, None)
        else:
            timeout = self.latency.timeout(HEALTH_CHECK_TIMEOUT_S, HEALTH_CHECK_TIMEOUT_MAX_S)
            self.context.upstream.check_health(endpoint, timeout, done)

    def _on_done(
        self,
        name: str,
        endpoint: Endpoint | None,
        started_at: float,
        result: AttemptResult,
        report: Report | None,
    ) -> None:
        self.context.metrics.count(f"probe_{result.name.lower()}")
        if endpoint is not None and report is not None:
            endpoint.report, endpoint.report_at = report, self.context.now()
            endpoint.report_from_peer = False
            endpoint.unanswered_at = NEVER
        elif endpoint is not None and result is AttemptResult.TIMEOUT:
            endpoint.unanswered_at = self.context.now()
        if result in (AttemptResult.OK, AttemptResult.TIMEOUT):
            self.latency.observe(self.context.now() - started_at)
        self.context.feed(HealthCheckEnded(name, result, self.context.now() - started_at, report))

    def record_report(self, at: float, name: str, report: Report) -> None:
        """Record a load report that another process received at clock time `at`, in s."""
        endpoint = self.endpoints.by_id[name]
        endpoint.report, endpoint.report_at = report, at
        self.context.feed_as_of(at, HealthCheckEnded(name, AttemptResult.OK, 0.0, report))
