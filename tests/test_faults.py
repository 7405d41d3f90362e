"""What the module does when servers, reports, the list or the whole fleet misbehave."""

from __future__ import annotations

import math

import pytest

from gradegap.balancing.actions import CheckHealth, Forward, Migrate, Reject, SetTimer, WatchEndpoints
from gradegap.balancing.admission import ADMISSION_LOAD_LIMIT
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionInherited,
    ConnectionObserved,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.model import Request
from gradegap.balancing.settings import ClassSettings, ReportSource, Settings, WeightMeaning
from tests.support.balancer_driver import CLASS, BalancerDriver, forward_actions, terminal_actions


def test_a_full_fleet_refuses_with_advice_to_come_later() -> None:
    d = BalancerDriver()
    out = d.answer_health_checks(d.request(), 1.4)
    (refusal,) = terminal_actions(out)
    assert isinstance(refusal, Reject) and 0 < refusal.retry_after <= 2.0


def test_a_full_pair_is_drawn_again() -> None:
    for seed in range(10):
        d = BalancerDriver(servers=4, seed=seed)
        out = d.answer_health_checks(d.request(), lambda s: 0.2 if s in ("s0", "s1") else 1.5)
        assert all(a.endpoint in ("s0", "s1") for a in forward_actions(out))


def test_a_little_room_seen_by_all_is_not_taken_by_all() -> None:
    """Many proxies, a busy second, one server with room: only some of them take it."""
    taken = 0
    for seed in range(60):
        d = BalancerDriver(servers=10, seed=seed, proxy_count=20)
        for _ in range(20):
            d.balancer.rates.sent.add(d.now)
            d.now += 0.1
        out = d.answer_health_checks(d.request(), lambda s: 0.5 if s == "s3" else 1.3)
        taken += len(forward_actions(out))
    assert 0 < taken < 30


def test_less_worth_is_refused_first() -> None:
    classes = {
        "live": ClassSettings("live", priority_weight=5.0),
        "spare": ClassSettings("spare", priority_weight=1.0),
    }
    placed = {"live": 0, "spare": 0}
    for seed in range(40):
        for name in placed:
            d = BalancerDriver(seed=seed, classes=classes)
            placed[name] += len(
                forward_actions(
                    d.answer_health_checks(d.request(class_name=name), ADMISSION_LOAD_LIMIT - 0.07)
                )
            )
    assert placed["live"] > placed["spare"]


@pytest.mark.parametrize("again", [True, False])
def test_clients_moved_off_another_proxy_are_no_growth(again: bool) -> None:
    """When one of two nodes was drained, the other held its clients for new load on top of the reports, in
    which they were all along, and refused them for four seconds with servers half idle."""
    d = BalancerDriver(servers=4, proxy_count=2)
    for _ in range(40):
        d.establish(forward_actions(d.answer_health_checks(d.request(after=2.0), 0.3))[0])
    for _ in range(40):
        out = d.answer_health_checks(d.request(after=0.05, reconnect=again, retry=again), 0.3)
        if forward_actions(out):
            d.establish(forward_actions(out)[0])
    assert (d.balancer.growth.factor() < 1.2) is again


def test_a_moved_client_that_is_refused_again_and_again_is_no_wave_of_arrivals() -> None:
    d = BalancerDriver(servers=4)
    for _ in range(30):
        assert terminal_actions(
            d.answer_health_checks(d.request(after=0.02, retry=True, reconnect=True), 1.4)
        )
    assert d.balancer.rates.sent.rate(d.now) == 0.0


@pytest.mark.parametrize("everywhere", [True, False])
def test_what_fails_anywhere_is_no_servers_fault(everywhere: bool) -> None:
    """With the save store overrun, the one server that had room was passed by for its failures."""
    d = BalancerDriver(servers=6)
    s = d.balancer.endpoints["s0"]
    for _ in range(30 if everywhere else 0):
        d.balancer.rates.failed.add(d.now)
    for _ in range(2):
        (send,) = sent_to(d, s.name)
        d.end_attempt(send, AttemptResult.ERROR)
    assert s.consecutive_failures == 2 and (s.ejected_until > d.now) is not everywhere


def sent_to(d: BalancerDriver, server: str) -> list[Forward]:
    """A request that is sent to this server, whatever the draws say."""
    d.balancer.context.random = lambda: 0.999
    d.next_id += 1
    r = Request(d.next_id, CLASS, d.now, d.now + 2.0, max_attempts=1)
    d.balancer.table.requests[r.id] = r
    d.balancer.context.actions = []
    d.balancer.attempts.forward(r, d.balancer.endpoints[server])
    return forward_actions(d.balancer.context.actions)


@pytest.mark.parametrize("known", [0, 30])
def test_connections_taken_over_are_no_growth(known: int) -> None:
    d = BalancerDriver(servers=4)
    for k in range(known + 30):
        q = RequestArrived(1000 + k, "live", d.now + 1.0)
        d.feed(ConnectionInherited(q, f"s{k % 4}"), after=0.01)
        assert d.balancer.growth.factor() < 1.5


def stood_on_one(d: BalancerDriver, count: int) -> None:
    for _ in range(count):
        (send,) = forward_actions(
            d.answer_health_checks(d.request(after=1.0), lambda s: 0.1 if s == "s0" else 0.4)
        )
        d.establish(send)


def held_from_before(d: BalancerDriver, server: str, team: str, count: int) -> None:
    for _ in range(count):
        d.next_id += 1
        d.feed(ConnectionInherited(RequestArrived(d.next_id, "live", d.now + 2.0, group=team), server))


@pytest.mark.parametrize("seed", range(8))
def test_a_group_stays_where_it_is_held_unless_that_is_much_the_fuller(seed: int) -> None:
    """Each server that holds any of a group pays for it once more; groups were once spread by load alone."""
    d = BalancerDriver(servers=2, seed=seed, connection_groups=True)
    held_from_before(d, "s0", "g1", 20)
    (send,) = forward_actions(
        d.answer_health_checks(d.request(group="g1"), lambda s: 0.42 if s == "s0" else 0.40, 20.0)
    )
    assert send.endpoint == "s0"
    d.end_attempt(send, AttemptResult.CANCELLED, settled=True)
    d.now += 30.0
    (send,) = forward_actions(
        d.answer_health_checks(d.request(group="g1"), lambda s: 0.8 if s == "s0" else 0.2, 20.0)
    )
    assert send.endpoint == "s1"


def test_moves_take_the_smallest_groups_first() -> None:
    d = BalancerDriver(servers=2, connection_groups=True)
    for team, count in (("large", 30), ("small", 2)):
        held_from_before(d, "s0", team, count)
    d.report_health("s1", 0.2, 20.0)
    moved = [a.request_id for a in d.report_health("s0", 1.2, 32.0) if isinstance(a, Migrate)]
    assert {31, 32} <= set(moved) and len(moved) < 15


@pytest.mark.parametrize(("elsewhere", "most"), [(0.95, 0), (0.85, 3), (0.3, 14)])
def test_no_more_is_moved_than_others_have_room_for(elsewhere: float, most: int) -> None:
    """What was moved off a full fleet came back only to be refused."""
    d = BalancerDriver(servers=2, proxy_count=1)
    held_from_before(d, "s0", "", 32)
    d.report_health("s1", elsewhere, 40.0)
    moved = [a for a in d.report_health("s0", 1.5, 32.0) if isinstance(a, Migrate)]
    assert len(moved) <= most and bool(moved) == bool(most)


def test_a_slow_server_does_not_make_the_others_look_full() -> None:
    """What a connection adds was once one figure for all, and a server that held few and was overloaded
    raised it until the rest, at three quarters, refused most of what came."""
    placed = 0
    for seed in range(40):
        d = BalancerDriver(servers=3, seed=seed, proxy_count=2)
        for _ in range(30):
            d.report_health("s0", 1.4, 3.0)
            for _ in range(2):
                d.balancer.rates.sent.add(d.now)
            d.now += 0.5
        out = d.answer_health_checks(d.request(), lambda s: 1.4 if s == "s0" else 0.7, 40.0)
        placed += len(forward_actions(out))
    assert placed > 35


def first_send(d: BalancerDriver) -> Forward:
    (send,) = forward_actions(d.answer_health_checks(d.request(after=0.01), 0.05, 40.0))
    return send


@pytest.mark.parametrize("result", [AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CONNECT_FAILED])
def test_a_server_whose_attempts_fail_is_passed_by_and_comes_back_by_one_of_them(
    result: AttemptResult,
) -> None:
    """Its probes were answered, and light it was: it won each pair, and each lost its time there."""
    d = BalancerDriver(servers=4, proxy_count=1)
    failures = 0
    while failures < 2:
        send = first_send(d)
        if send.endpoint == "s0":
            failures += 1
            d.answer_health_checks(d.end_attempt(send, result), 0.05, 40.0)
        d.feed(ClientDisconnected(send.request_id))
    assert all(first_send(d).endpoint != "s0" for _ in range(40))
    d.now += 1.0
    tried = [send for send in (first_send(d) for _ in range(40)) if send.endpoint == "s0"]
    assert len(tried) == 1
    d.establish(tried[0])
    assert any(first_send(d).endpoint == "s0" for _ in range(40))


def test_where_all_fail_something_is_still_tried() -> None:
    d = BalancerDriver(servers=3, proxy_count=1)
    for _ in range(12):
        out = d.answer_health_checks(d.request(after=0.01), 0.3)
        while forward_actions(out):
            out = d.answer_health_checks(d.end_attempt(forward_actions(out)[0], AttemptResult.TIMEOUT), 0.3)
    # Each with a chance only, as what all share may be overrun.
    assert any(forward_actions(d.answer_health_checks(d.request(after=0.5), 0.3)) for _ in range(6))


def test_connections_move_off_a_full_server_a_few_at_a_time_and_then_rest() -> None:
    d = BalancerDriver(servers=2)
    stood_on_one(d, 12)
    held = len(d.balancer.endpoints["s0"].connections)
    moved = [a for a in d.report_health("s0", 1.5) if isinstance(a, Migrate)]
    assert 0 < len(moved) < held / 2
    assert not [a for a in d.report_health("s0", 1.6) if isinstance(a, Migrate)]


def test_nothing_moves_off_a_server_with_room() -> None:
    d = BalancerDriver(servers=2)
    stood_on_one(d, 12)
    assert not [a for a in d.report_health("s0", 0.8) if isinstance(a, Migrate)]


def test_a_server_that_fails_fast_costs_attempts_but_no_answers() -> None:
    """It looks lightest, so it wins comparisons; the next attempt goes elsewhere."""
    d = BalancerDriver(servers=4, seed=2)
    failed = 0
    for _ in range(200):
        out = d.answer_health_checks(d.request(after=2.0), lambda s: 0.0 if s == "s0" else 0.3)
        (send,) = forward_actions(out)
        if send.endpoint == "s0":
            failed += 1
            (send,) = forward_actions(d.answer_health_checks(d.end_attempt(send, AttemptResult.ERROR), 0.3))
        assert send.endpoint != "s0"
        assert not d.end_attempt(send, AttemptResult.OK, settled=True)
    assert failed > 50


def test_where_all_servers_were_tried_one_is_tried_again() -> None:
    d = BalancerDriver(servers=1)
    (send,) = forward_actions(d.answer_health_checks(d.request(), 0.2))
    assert forward_actions(d.answer_health_checks(d.end_attempt(send, AttemptResult.FULL), 0.2))


@pytest.mark.parametrize("x0", [math.nan, -1.0, math.inf])
def test_absurd_reports_say_nothing(x0: float) -> None:
    d = BalancerDriver()
    assert forward_actions(d.answer_health_checks(d.request(), x0))
    assert all(s.load is None for s in d.balancer.endpoints.values())


def test_reports_with_fields_missing_say_nothing() -> None:
    d = BalancerDriver()
    d.feed(HealthCheckEnded("s0", AttemptResult.OK, 0.0, {"inflight": 3.0}))
    assert d.balancer.endpoints["s0"].load is None


def test_a_report_that_does_not_change_grows_old() -> None:
    d = BalancerDriver()
    same = HealthCheckEnded("s0", AttemptResult.OK, 0.001, {"x0": 0.4, "inflight": 5.0})
    d.feed(same)
    first = d.now
    d.feed(same, after=3.0)
    assert d.balancer.endpoints["s0"].report_changed_at == first


def test_frozen_reports_refuse_nobody() -> None:
    d = BalancerDriver()
    report = {"x0": 1.2, "inflight": 9.0}
    frozen = {s: HealthCheckEnded(s, AttemptResult.OK, 0.001, report) for s in d.balancer.endpoints}
    for _ in range(12):
        for event in frozen.values():
            d.feed(event, after=0.2)
    out = todo = d.request()
    while todo:
        todo = [a for p in todo if isinstance(p, CheckHealth) for a in d.feed(frozen[p.endpoint])]
        out = out + todo
    assert forward_actions(out)


def test_a_probe_that_answered_wins_over_a_silent_one() -> None:
    for seed in range(10):
        d = BalancerDriver(servers=2, seed=seed)
        out = d.request()
        d.report_health("s1", 0.5)
        (timer,) = [a for a in out if isinstance(a, SetTimer)]
        (send,) = forward_actions(d.feed(TimerFired(timer.token), after=timer.delay))
        assert send.endpoint == "s1"


def test_calls_to_the_list_are_spread_and_back_off_after_failures() -> None:
    first = set()
    waits = []
    for seed in range(20):
        d = BalancerDriver(seed=seed, polls_endpoints=True)
        (timer,) = [a for _, a in d.log if isinstance(a, SetTimer) and a.token == "list"]
        assert timer.delay < d.settings.poll_within
        first.add(round(timer.delay, 3))
        assert d.feed(TimerFired("list"), after=timer.delay) == [WatchEndpoints()]
        for _ in range(6):
            out = d.feed(EndpointList(EndpointListKind.FAILED))
            (timer,) = [a for a in out if isinstance(a, SetTimer)]
            waits.append(timer.delay)
            d.feed(TimerFired("list"), after=timer.delay)
        assert len(d.balancer.registry.ready) == 6  # the old list is kept
    assert len(first) > 15
    assert sum(waits[5::6]) > 3 * sum(waits[0::6])
    assert max(waits) < 4 * 10.0


def test_groups_meet_on_few_servers_whichever_proxy_decides() -> None:
    places: set[str] = set()
    for seed in range(30):
        d = BalancerDriver(servers=20, seed=seed, connection_groups=True)
        out = d.answer_health_checks(d.request(group="board-9"), 0.3)
        places |= {a.endpoint for a in forward_actions(out)}
    assert len(places) <= 2


def test_a_group_keeps_its_servers_when_others_go() -> None:
    d = BalancerDriver(servers=20, connection_groups=True)
    before = forward_actions(d.answer_health_checks(d.request(group="board-9"), lambda s: 0.3))[0].endpoint
    for name in [f"s{i}" for i in range(20) if f"s{i}" != before][:5]:
        d.set_phase(name, EndpointPhase.REMOVED)
    after = [d.balancer.endpoints[name].name for _, name in d.balancer.registry.hash_ring]
    assert before in after and len(set(after)) == 15


def test_crossing_price_keeps_near_servers_while_they_have_room() -> None:
    near = total = 0
    for seed in range(60):
        d = BalancerDriver(servers=8, seed=seed, zone="a", cross_zone_cost=0.06)
        for send in forward_actions(d.answer_health_checks(d.request(), 0.3)):
            total += 1
            near += int(send.endpoint[1:]) % 2
    assert near / total > 0.9


def test_inherited_connections_are_held_and_end_quietly() -> None:
    d = BalancerDriver()
    d.feed(ConnectionInherited(RequestArrived(7, "live", d.now + 1.0), "s2"))
    d.now += 30.0
    assert not d.feed(AttemptEnded(7, 0, "s2", AttemptResult.OK, 30.0, True))
    assert not d.balancer.requests and not d.balancer.endpoints["s2"].connections


@pytest.mark.parametrize("reports", list(ReportSource))
@pytest.mark.parametrize("weights", list(WeightMeaning))
@pytest.mark.parametrize("probes", [False, True])
def test_any_site_gets_its_requests_placed(
    reports: ReportSource, weights: WeightMeaning, probes: bool
) -> None:
    d = BalancerDriver(report_source=reports, weight_meaning=weights, health_checks=probes)
    for _ in range(20):
        (send,) = forward_actions(d.answer_health_checks(d.request(after=0.3), 0.2))
        d.establish(send)


def test_impossible_settings_are_told() -> None:
    with pytest.raises(ValueError, match="no class"):
        Settings(classes={})
    with pytest.raises(ValueError, match="cold_time"):
        BalancerDriver(slow_start_time=-1.0)


def test_notes_of_slow_messages_leave_probes_to_requests() -> None:
    """They once emptied the budget of probes, and requests were placed blindly on full servers."""
    d = BalancerDriver(servers=6)
    for i in range(600):
        d.feed(ConnectionObserved(1, f"s{i % 6}", message_delay=0.4), after=0.2)
        for s in d.balancer.endpoints.values():
            s.health_check_sent_at = -1e9
    out = d.request()
    assert [a for a in out if isinstance(a, CheckHealth)]


def test_connections_leave_a_server_whose_probes_stay_unanswered() -> None:
    d = BalancerDriver(servers=2)
    stood_on_one(d, 12)
    silence = HealthCheckEnded("s0", AttemptResult.TIMEOUT, 0.2)
    assert not d.feed(silence, after=1.0)
    assert not d.feed(silence, after=1.0)
    moved = [a for _ in range(6) for a in d.feed(silence, after=3.0) if isinstance(a, Migrate)]
    assert len(moved) >= 3


def test_nothing_moves_where_no_server_answers_probes() -> None:
    d = BalancerDriver(servers=2)
    stood_on_one(d, 12)
    d.balancer.health_checks.answered_share = 0.3
    silence = HealthCheckEnded("s0", AttemptResult.TIMEOUT, 0.2)
    assert not [a for _ in range(6) for a in d.feed(silence, after=3.0) if isinstance(a, Migrate)]


def test_attempts_that_fail_everywhere_are_made_fewer_until_they_come_to_something() -> None:
    """A wave of returning clients overran the store behind all servers, and four attempts for each of them
    kept it so: a dozen and more a client, of which none stood."""
    d = BalancerDriver(servers=4, proxy_count=1)
    sent: list[int] = []
    for fails in (False, True, False):
        sent.append(0)
        for _ in range(60):
            out = d.answer_health_checks(d.request(after=0.05), 0.05, 40.0)
            while forward_actions(out):
                sent[-1] += 1
                if fails:
                    out = d.answer_health_checks(
                        d.end_attempt(forward_actions(out)[0], AttemptResult.ERROR), 0.05, 40.0
                    )
                else:
                    out = d.establish(forward_actions(out)[0])
        d.now += 4.0 if fails else 0.0
    assert sent[0] == 60 and sent[1] < 110 and sent[2] > 55


def test_an_attempt_has_all_the_time_there_is_while_most_fail() -> None:
    """Cut off after a part of it, each was made again and cost the store behind the servers once more."""
    d = BalancerDriver(servers=4, proxy_count=1)
    assert first_send(d).timeout < 2.0
    for _ in range(10):
        out = d.answer_health_checks(d.request(after=0.01), 0.05, 40.0)
        while forward_actions(out):
            out = d.answer_health_checks(
                d.end_attempt(forward_actions(out)[0], AttemptResult.TIMEOUT), 0.05, 40.0
            )
    later: list[Forward] = []
    while not later:
        later = forward_actions(d.answer_health_checks(d.request(after=0.01), 0.05, 40.0))
    assert later[0].timeout == pytest.approx(2.0)
