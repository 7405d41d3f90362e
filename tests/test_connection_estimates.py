"""What the list's live weights tell of servers, and groups that stay together among many proxies."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from gradegap.balancing import connection_estimates, hash_ring
from gradegap.balancing.events import (
    ConnectionInherited,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    RequestArrived,
)
from gradegap.balancing.settings import WeightMeaning
from tests.support.balancer_driver import BalancerDriver, forward_actions, terminal_actions

SIZE, CORES = 8.0, 5.0


def tell(d: BalancerDriver, held: dict[str, float], kind: EndpointListKind = EndpointListKind.DELTA) -> None:
    """The list says that servers hold so many connections, by their weights."""
    entries = (EndpointEntry(name, weight=SIZE / (1.0 + n / CORES)) for name, n in held.items())
    d.feed(EndpointList(kind, tuple(entries)), after=0.1)


def two_servers(seed: int) -> BalancerDriver:
    """s0 at 0.3 and s1 at 0.5 of capacity, 30 connections each, probed by a proxy that may probe no more."""
    d = BalancerDriver(servers=2, seed=seed, weight_meaning=WeightMeaning.LIVE, proxy_count=40)
    tell(d, {"s0": 0.0, "s1": 0.0}, EndpointListKind.FULL)
    tell(d, {"s0": 30.0, "s1": 30.0})
    d.report_health("s0", 0.3, 30.0)
    d.report_health("s1", 0.5, 30.0)
    d.balancer.health_checks.budget = -100.0
    return d


@pytest.mark.parametrize("seed", range(10))
def test_what_other_proxies_placed_since_the_probe_is_read_from_the_list(seed: int) -> None:
    """Each proxy saw the room of its last probe, and all forty took it at once."""
    d = two_servers(seed)
    tell(d, {"s0": 70.0, "s1": 30.0})  # 0.3 + 40 * 0.01
    assert [s.endpoint for s in forward_actions(d.request())] == ["s1"]
    tell(d, {"s0": 120.0, "s1": 70.0})  # 1.2 and 1.17 now
    out = d.request(after=0.1)
    assert terminal_actions(out) and not forward_actions(out)


def test_whole_lists_and_changed_phases_tell_nothing_of_what_is_held() -> None:
    """Their weight is the size of the server, and one that seemed to hold nothing would be filled at once."""
    d = two_servers(1)
    tell(d, {"s0": 70.0, "s1": 30.0})
    tell(d, {"s0": 0.0, "s1": 0.0}, EndpointListKind.FULL)
    for phase in (EndpointPhase.DRAINING, EndpointPhase.READY):
        entry = EndpointEntry("s0", phase=phase, weight=SIZE)
        d.feed(EndpointList(EndpointListKind.DELTA, (entry,)))
    assert d.balancer.load_estimates.load(d.balancer.endpoints["s0"]) == pytest.approx(0.7)
    entry = EndpointEntry("s0", weight=SIZE, started_at=d.now)  # a new process
    d.feed(EndpointList(EndpointListKind.DELTA, (entry,)))
    assert d.balancer.load_estimates.load(d.balancer.endpoints["s0"]) is None


def test_an_empty_server_s_unit_is_by_size_not_by_the_live_weight_of_others() -> None:
    d = BalancerDriver(servers=3, weight_meaning=WeightMeaning.LIVE)
    tell(d, {f"s{i}": 0.0 for i in range(3)}, EndpointListKind.FULL)
    tell(d, {"s0": 40.0, "s1": 40.0})
    for name in ("s0", "s1"):
        d.report_health(name, 0.4, 40.0)
    d.report_health("s2", 0.0, 0.0)
    assert d.balancer.load_estimates.load_per_connection(d.balancer.endpoints["s2"]) == pytest.approx(0.01)


@pytest.mark.parametrize("noise", [0.0, 0.08])
def test_cores_are_learned_from_reports_and_weights(noise: float) -> None:
    rng = Random(3)
    print("seed 3")
    known = connection_estimates.cores(0.0, SIZE, SIZE, 0.0)  # an empty server says nothing
    for _ in range(60):
        held = rng.uniform(10.0, 90.0)
        known = connection_estimates.cores(
            known, SIZE, SIZE / (1.0 + held / CORES), held * rng.uniform(1 - noise, 1 + noise)
        )
    assert known == pytest.approx(CORES, rel=noise + 1e-6)
    assert connection_estimates.connections(SIZE, SIZE / (1.0 + 50.0 / CORES), known) == pytest.approx(
        50.0, rel=noise + 1e-6
    )
    assert (
        connection_estimates.connections(SIZE, 0.0, known) < float("inf")
        and connection_estimates.cores(known, 0.0, 0.0, 9.0) == known
    )


def test_a_group_s_connections_meet_though_no_proxy_sees_the_others() -> None:
    """Forty proxies that hold none of a group, and whose reports are noisy: each took the lighter of the
    first two on the ring, so that the group stood on both and its cost was paid twice."""
    rng = Random(5)
    print("seed 5")
    places: Counter[str] = Counter()
    for seed in range(40):
        d = BalancerDriver(servers=20, seed=seed, connection_groups=True, proxy_count=40)
        out = d.answer_health_checks(
            d.request(group="board-9"), lambda s: 0.3 + rng.uniform(-0.04, 0.04), 20.0
        )
        places.update(a.endpoint for a in forward_actions(out))
    assert places.most_common(1)[0][1] >= 38, places


def test_a_group_s_client_goes_to_where_we_hold_its_group() -> None:
    """A group that stood elsewhere than its ring says was taken apart by every proxy that held some of it."""
    right = 0
    for k in range(20):
        d = BalancerDriver(servers=20, seed=k, connection_groups=True)
        d.feed(ConnectionInherited(RequestArrived(900, "live", d.now + 2.0, group="board-9"), f"s{k}"))
        out = d.answer_health_checks(d.request(group="board-9"), 0.3, 20.0)
        right += [a.endpoint for a in forward_actions(out)] == [f"s{k}"]
    assert right == 20


def _sends_beside_a_full_home(x0: float) -> int:
    """Forty proxies, each with a client of one group, whose home is full; the others are at `x0` with 20
    connections each. The sends."""
    sent = 0
    for seed in range(40):
        d = BalancerDriver(servers=20, seed=seed, connection_groups=True)
        (home,) = hash_ring.order(d.balancer.registry.hash_ring, "board-9", 1)
        out = d.answer_health_checks(
            d.request(group="board-9"), lambda s, h=home: 1.3 if s == h else x0, 20.0
        )
        sent += len(forward_actions(out))
    return sent


def test_a_group_s_first_on_a_server_takes_the_room_of_several() -> None:
    """A group pays on every server that holds any of it. When servers filled up, each group was spread over
    eight of them, and 20 groups cost as much as 345 connections (join+vast)."""
    little, enough = _sends_beside_a_full_home(0.7), _sends_beside_a_full_home(0.4)  # room for 4, for 25
    print(f"of 40, {little} sent where there is room for five, {enough} where there is room for 25")
    assert little == 0
    assert enough >= 36
