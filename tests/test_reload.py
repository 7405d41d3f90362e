"""SIGHUP: the configuration is read again while the node serves."""

from __future__ import annotations

import json
import signal
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from gradegap.balancing.actions import CheckHealth
from gradegap.balancing.events import AttemptResult, TimerFired
from tests.support.balancer_driver import CLASS, BalancerDriver, forward_actions, settings
from tests.support.node_environment import (
    SETTINGS,
    DiscoveryServer,
    EndpointServer,
    NodeEnvironment,
    running_node,
    wait_for,
)


def rewrite(w: NodeEnvironment, **changes: Any) -> None:
    full = json.loads(w.config.read_text()) | changes
    w.config.write_text(json.dumps(full))
    w.process.send_signal(signal.SIGHUP)


@pytest.mark.parametrize("by_environment", [False, True])
def test_each_reload_changes_over_to_another_discovery(tmp_path: Path, by_environment: bool) -> None:
    """SIGHUP once ended the process; the environment's address must not hide the file's newer one."""
    made = [EndpointServer(name) for name in "abc"]
    env = {"NODE_DISCOVERY": ""}
    with running_node(tmp_path, made[:1], env=env if by_environment else None) as w:
        assert w.client().open_request() == "UP a"
        for b in made[1:]:
            old, w.discovery = w.discovery, DiscoveryServer([b.entry])
            w.discovery_servers.append(w.discovery)
            rewrite(w, discovery=w.discovery.address)
            wait_for(lambda name=b.name: w.client().open_request() == f"UP {name}")  # type: ignore[misc]
            assert "index" not in w.discovery.calls[0][1]  # the full list first, then the watch
            wait_for(lambda: any("index" in path for _, path in w.discovery.calls))
            # What the old address says from now on has no effect.
            with old.changed:
                old.version += 1
                old.changes.append((old.version, made[0].entry))
                old.changed.notify_all()
        assert {w.client().open_request() for _ in range(6)} == {"UP c"}
        counted = w.counters()
        assert (counted["reloads"], counted["discovery_changes"]) == ("2", "2")
        assert w.process.poll() is None


def test_the_last_list_is_kept_until_the_new_address_sends_one(tmp_path: Path) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [a]) as w:
        established = w.client()
        assert established.open_request() == "UP a"
        late = DiscoveryServer([b.entry])
        late.answers_allowed = threading.Event()
        w.discovery_servers.append(late)
        rewrite(w, discovery=late.address)
        wait_for(lambda: late.calls)
        assert w.client().open_request() == "UP a"
        established.send("still there")
        assert established.read_line() == "still there"
        late.answers_allowed.set()
        wait_for(lambda: w.client().open_request() == "UP b")


LANE = SETTINGS["Lanes"][0]


def lane(**changes: Any) -> dict[str, Any]:
    return {"settings": SETTINGS | {"Lanes": [LANE, LANE | {"Name": "new"} | changes]}}


def bounds(attempts: Any) -> dict[str, Any]:
    return {"settings": SETTINGS | {"Bounds": SETTINGS["Bounds"] | {"MaxAttempts": attempts}}}


def without(*names: str) -> dict[str, Any]:
    """The settings without what these names lead to."""
    made: dict[str, Any] = json.loads(json.dumps(SETTINGS))
    at: Any = made
    for name in names[:-1]:
        at = at[int(name) if name.isdigit() else name]
    del at[names[-1]]
    return {"settings": made}


BAD: list[str | dict[str, Any]] = [
    "",
    "{",
    "null",
    '{"name":"n0"}',
    '{"name":"n0","listen":"x","discovery":"y"}',
]
BAD += [lane(HardLimitNs=v) for v in (0, -1, True, "1800000000", None, 1e400, [1])]
BAD += [bounds(v) for v in (0, -1, 0.5, True, False, "4", None)]
BAD += [
    without("Lanes"),
    without("Lanes", "0", "HardLimitNs"),
    without("Lanes", "0", "Points"),
    lane(Name="live"),
]
BAD += [without("Bounds", "MaxAttempts"), without("Rules", "DrainGraceNs"), without("ReplicasOfMe")]


def test_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    """What a file lacked was once filled with defaults: one attempt, a class without a deadline."""
    with running_node(tmp_path, [EndpointServer("a")]) as w:
        good = w.config.read_text()
        for count, bad in enumerate(BAD, 1):
            text = (
                bad
                if isinstance(bad, str)
                else json.dumps(json.loads(good) | bad).replace("Infinity", "1e400")
            )
            w.config.write_text(text)
            w.process.send_signal(signal.SIGHUP)
            wait_for(lambda n=count: w.counters().get("reloads_failed") == str(n))  # type: ignore[misc]
            assert w.client().open_request("c=new,d=900") == "ERR", bad
        w.config.write_text(good[: len(good) // 2])
        w.process.send_signal(signal.SIGHUP)
        wait_for(lambda: w.counters().get("reloads_failed") == str(len(BAD) + 1))
        assert "not reloaded" in w.log.read_text() and w.client().open_request() == "UP a"
        w.config.write_text(good)
        w.process.send_signal(signal.SIGHUP)
        assert wait_for(lambda: w.counters().get("reloads") == "1")


def test_each_reload_holds_for_who_comes_next_and_no_other(tmp_path: Path) -> None:
    """Classes come and go, and attempts get fewer; a request under way keeps what it began with."""
    a, b = EndpointServer("a", answer="reset"), EndpointServer("b", answer="silence")
    with running_node(tmp_path, [a, b]) as w:
        rewrite(w, **lane(HardLimitNs=3_000_000_000, AimNs=2_000_000_000, Idempotency="unsafe"))
        wait_for(lambda: w.counters().get("reloads") == "1")
        under_way = w.client()
        under_way.send("OPEN r1 k c=live,d=1500,g=1")
        wait_for(lambda: a.open_lines or b.open_lines)
        rewrite(w, **bounds(1))
        wait_for(lambda: w.counters().get("reloads") == "2")
        assert under_way.read_line().startswith("BUSY")
        assert len([x for x in a.open_lines + b.open_lines if " r1 " in x]) > 1  # four attempts, not one
        assert w.client().open_request("c=new,d=900") == "ERR"  # dropped
        assert w.client().open_request("c=live,d=900", "r2").startswith("BUSY")
        assert len([x for x in a.open_lines + b.open_lines if " r2 " in x]) == 1


def test_a_reload_changes_classes_for_who_comes_next(tmp_path: Path) -> None:
    with running_node(tmp_path, [EndpointServer("a")]) as w:
        assert w.client().open_request("c=new,d=900") == "ERR"
        lanes = SETTINGS["Lanes"] + [SETTINGS["Lanes"][0] | {"Name": "new"}]
        rewrite(w, settings=SETTINGS | {"Lanes": lanes})
        wait_for(lambda: w.client().open_request("c=new,d=900") == "UP a")


def test_reloads_beside_sigterm_don_t_change_how_the_node_leaves(tmp_path: Path) -> None:
    with running_node(tmp_path, [EndpointServer("a")]) as w:
        c = w.client()
        assert c.open_request() == "UP a"
        w.process.send_signal(signal.SIGHUP)
        w.process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 5
        while w.process.poll() is None and time.monotonic() < end:
            w.process.send_signal(signal.SIGHUP)  # until the very end of the process
            time.sleep(0.002)
        assert w.process.returncode == 0 and [c.read_line(), c.read_line()] == ["MOVE", ""]


def test_the_module_goes_on_with_settings_that_take_away_what_it_used() -> None:
    """A request under way draws from the ring, and looks are due, when a reload switches both off."""
    d = BalancerDriver(connection_groups=True)
    first = forward_actions(d.answer_health_checks(d.request(group="g1"), 0.1))[0]
    d.establish(first)
    waiting = d.request(group="g2")
    assert not forward_actions(waiting)
    d.balancer.adopt(settings(classes={"other": CLASS}, health_checks=False))
    assert not any(isinstance(a, CheckHealth) for a in d.feed(TimerFired("look"), after=1.0))
    again = d.feed(TimerFired(f"h{d.next_id}"))
    assert forward_actions(again) and forward_actions(
        d.end_attempt(forward_actions(again)[0], AttemptResult.RESET)
    )
    d.balancer.adopt(settings(connection_groups=True))
    assert (
        forward_actions(d.answer_health_checks(d.request(group="g1"), 0.1))
        and len(d.balancer.registry.hash_ring) == 6 * 16
    )
