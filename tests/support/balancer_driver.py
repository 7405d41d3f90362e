"""Drives one balancer with a simulated clock, with short methods for the usual events and their sequences."""

from __future__ import annotations

from typing import Any

from gradegap.balancing.actions import Action, CheckHealth, Fail, Forward, Migrate, Reject, SetTimer
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    ConnectionInherited,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    Event,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.settings import ClassSettings, ReportSource, Settings

CLASS = ClassSettings("live", latency_objective=0.5, time_limit=2.0, priority_weight=1.0)


def settings(**changes: Any) -> Settings:
    base: dict[str, Any] = {
        "classes": {"live": CLASS},
        "proxy_count": 10,
        "max_attempts": 3,
        "max_retry_after": 2.0,
        "report_source": ReportSource.PROBE,
        "report_fields": ("x0", "inflight"),
        "slow_start_share": 0.3,
        "slow_start_time": 10.0,
        "drain_grace": 1.0,
    }
    return Settings(**(base | changes))


class BalancerDriver:
    """Passes events to one balancer and records the actions it returns."""

    def __init__(self, servers: int = 6, seed: int = 1, **changes: Any) -> None:
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.now = 100.0
        self.log: list[tuple[float, Action]] = []
        self.next_id = 0
        self.report_count = 0
        entries = tuple(EndpointEntry(f"s{i}", zone="a" if i % 2 else "b") for i in range(servers))
        self.feed(EndpointList(EndpointListKind.CACHED, entries))

    def feed(self, event: Event, after: float = 0.0) -> list[Action]:
        self.now += after
        actions = self.balancer.handle(self.now, event)
        self.log += [(self.now, a) for a in actions]
        return actions

    def request(self, after: float = 0.0, **changes: Any) -> list[Action]:
        self.next_id += 1
        self.now += after
        fields: dict[str, Any] = {
            "request_id": self.next_id,
            "class_name": "live",
            "deadline_at": self.now + 2.0,
        } | changes
        return self.feed(RequestArrived(**fields))

    def report_health(self, server: str, x0: float, inflight: float = 5.0) -> list[Action]:
        self.report_count += 1  # makes each report differ slightly from the one before
        report = {"x0": x0 * (1.0 + 1e-9 * self.report_count), "inflight": inflight}
        return self.feed(HealthCheckEnded(server, AttemptResult.OK, 0.001, report))

    def answer_health_checks(self, actions: list[Action], x0: Any, inflight: float = 5.0) -> list[Action]:
        """Answers every health check, and those that follow from it, and returns all other actions.

        `x0` is the reported load, or a function that returns it for an endpoint.
        """
        other_actions: list[Action] = []
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, CheckHealth):
                pending += self.report_health(
                    action.endpoint, x0(action.endpoint) if callable(x0) else x0, inflight
                )
            else:
                other_actions.append(action)
        return other_actions

    def end_attempt(self, forward: Forward, result: AttemptResult, settled: bool = False) -> list[Action]:
        return self.feed(AttemptEnded(forward.request_id, 0, forward.endpoint, result, 0.01, settled))

    def establish(self, forward: Forward) -> list[Action]:
        return self.feed(ConnectionEstablished(forward.request_id, 0, forward.endpoint, 0.01))

    def set_phase(self, server: str, phase: EndpointPhase, started_at: float = 0.0) -> None:
        entry = EndpointEntry(server, phase=phase, started_at=started_at)
        self.feed(EndpointList(EndpointListKind.DELTA, (entry,)))


def forward_actions(actions: list[Action]) -> list[Forward]:
    return [a for a in actions if isinstance(a, Forward)]


def terminal_actions(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, Reject | Fail)]


def establish_on_s0(driver: BalancerDriver, count: int) -> None:
    for _ in range(count):
        (forward,) = forward_actions(
            driver.answer_health_checks(driver.request(after=1.0), lambda name: 0.1 if name == "s0" else 0.4)
        )
        driver.establish(forward)


def inherit_connections(driver: BalancerDriver, server: str, group_name: str, count: int) -> None:
    for _ in range(count):
        driver.next_id += 1
        driver.feed(
            ConnectionInherited(
                RequestArrived(driver.next_id, "live", driver.now + 2.0, group=group_name), server
            )
        )


def migrations_until(
    driver: BalancerDriver, first_actions: list[Action], token: str, end_at: float
) -> list[tuple[float, int]]:
    """Runs the timer with this token until `end_at`; returns the time and the migrations of each round."""
    rounds = [(driver.now, sum(isinstance(action, Migrate) for action in first_actions))]
    actions = first_actions
    while timers := [action for action in actions if isinstance(action, SetTimer) and action.token == token]:
        if driver.now + timers[0].delay > end_at:
            break
        actions = driver.feed(TimerFired(token), after=timers[0].delay)
        for migrate in [action for action in actions if isinstance(action, Migrate)]:
            driver.feed(AttemptEnded(migrate.request_id, 0, "s0", AttemptResult.CANCELLED, 1.0, True))
        rounds.append((driver.now, sum(isinstance(action, Migrate) for action in actions)))
    return rounds
