"""What stands is told to move before its server, or this proxy itself, leaves; a few at a time."""

from __future__ import annotations

import pytest

from gradegap.balancing import draining
from gradegap.balancing.actions import Action, Migrate, SetTimer
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    ProxyDraining,
    ProxyResumed,
    TimerFired,
)
from tests.support.balancer_driver import BalancerDriver
from tests.test_faults import stood_on_one


def moves_until(d: BalancerDriver, first: list[Action], token: str, end: float) -> list[tuple[float, int]]:
    """Run the named timer until `end`; when and how many connections were moved."""
    seen = [(d.now, sum(isinstance(a, Migrate) for a in first))]
    out = first
    while timers := [a for a in out if isinstance(a, SetTimer) and a.token == token]:
        if d.now + timers[0].delay > end:
            break
        out = d.feed(TimerFired(token), after=timers[0].delay)
        for move in [a for a in out if isinstance(a, Migrate)]:
            d.feed(AttemptEnded(move.request_id, 0, "s0", AttemptResult.CANCELLED, 1.0, True))
        seen.append((d.now, sum(isinstance(a, Migrate) for a in out)))
    return seen


def drain(d: BalancerDriver, phase: EndpointPhase) -> list[Action]:
    entry = EndpointEntry("s0", phase=phase)
    return d.feed(EndpointList(EndpointListKind.DELTA, (entry,)))


@pytest.mark.parametrize("phase", [EndpointPhase.DRAINING, EndpointPhase.REMOVED])
def test_clients_are_told_before_their_server_leaves(phase: EndpointPhase) -> None:
    """The module once left them there until they were cut off."""
    d = BalancerDriver(servers=2)
    stood_on_one(d, 20)
    held, told = len(d.balancer.endpoints["s0"].connections), d.now
    seen = moves_until(d, drain(d, phase), "es0", told + 10.0)
    moved = [(at, n) for at, n in seen if n]
    assert sum(n for _, n in moved) == held
    assert (
        moved[-1][0]
        <= told + draining.DEFAULT_DRAIN_TIME_S * draining.DRAIN_END_SHARE + 2 * draining.DRAIN_ROUND_S
    )
    assert max(n for _, n in moved) <= held / 2  # paced


def test_a_server_that_stopped_early_makes_the_next_moves_earlier() -> None:
    d = BalancerDriver(servers=2)
    stood_on_one(d, 3)
    drain(d, EndpointPhase.DRAINING)
    d.now += 1.5
    for r in list(d.balancer.endpoints["s0"].connections.values()):
        d.feed(AttemptEnded(r.id, 0, "s0", AttemptResult.RESET, 1.0, True))
    assert d.balancer.draining.learned_drain_time == pytest.approx(1.5)


def test_a_server_that_is_ready_again_keeps_what_it_holds() -> None:
    d = BalancerDriver(servers=2)
    stood_on_one(d, 5)
    out = drain(d, EndpointPhase.DRAINING)
    drain(d, EndpointPhase.READY)
    assert not sum(n for _, n in moves_until(d, out, "es0", d.now + 10.0))


def test_a_server_told_to_leave_soon_is_empty_by_then() -> None:
    """Operators restart a save server some 2.5 s after they took it out; connections once stood till then."""
    d = BalancerDriver(servers=2)
    stood_on_one(d, 20)
    held, told = len(d.balancer.endpoints["s0"].connections), d.now
    entry = EndpointEntry("s0", phase=EndpointPhase.DRAINING, stops_within=2.0)
    out = d.feed(EndpointList(EndpointListKind.DELTA, (entry,)))
    moved = [(at, n) for at, n in moves_until(d, out, "es0", told + 10.0) if n]
    assert sum(n for _, n in moved) == held and moved[-1][0] < told + 2.0
    assert max(n for _, n in moved) <= held / 4  # paced


@pytest.mark.parametrize("turns", [1, 5])
def test_a_proxy_that_stays_after_all_keeps_what_it_holds(turns: int) -> None:
    """However quickly it is told to leave and to stay, there is one chain of rounds, and none in the end."""
    d = BalancerDriver(servers=2)
    stood_on_one(d, 20)
    timers = []
    for _ in range(turns):
        timers += d.feed(ProxyDraining(d.now + 2.0), after=0.01)
        assert not d.feed(ProxyResumed(), after=0.01)
    assert len(timers) == 1
    assert sum(n for _, n in moves_until(d, timers, "leave", d.now + 5.0)) == 0
    assert len(d.feed(ProxyDraining(d.now + 2.0))) == 1  # the chain has ended: a new one begins


def test_a_proxy_that_leaves_moves_all_it_holds_in_time_and_in_rounds() -> None:
    d = BalancerDriver(servers=2)
    stood_on_one(d, 20)
    by = d.now + 2.0
    seen = moves_until(d, d.feed(ProxyDraining(by)), "leave", by + 0.2)
    assert sum(n for _, n in seen) == 20
    assert max(n for _, n in seen) <= 4
