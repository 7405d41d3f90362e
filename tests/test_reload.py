"""Reload: SIGHUP makes a serving node read its configuration again."""

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


def rewrite_and_reload(node: NodeEnvironment, **changes: Any) -> None:
    configuration = json.loads(node.config.read_text()) | changes
    node.config.write_text(json.dumps(configuration))
    node.process.send_signal(signal.SIGHUP)


@pytest.mark.parametrize("by_environment", [False, True])
def test_reload_switches_to_new_discovery_address(tmp_path: Path, by_environment: bool) -> None:
    """Guards against a SIGHUP that ends the process, and against the environment overriding a newer address
    in the file."""
    servers = [EndpointServer(name) for name in "abc"]
    env = {"NODE_DISCOVERY": ""}
    with running_node(tmp_path, servers[:1], env=env if by_environment else None) as node:
        assert node.client().open_request() == "UP a"
        for server in servers[1:]:
            old_discovery, node.discovery = node.discovery, DiscoveryServer([server.entry])
            node.discovery_servers.append(node.discovery)
            rewrite_and_reload(node, discovery=node.discovery.address)
            wait_for(lambda name=server.name: node.client().open_request() == f"UP {name}")  # type: ignore[misc]
            assert "index" not in node.discovery.calls[0][1]  # the first call requests the full list
            wait_for(lambda: any("index" in path for _, path in node.discovery.calls))
            # Later answers of the old address have no effect.
            with old_discovery.changed:
                old_discovery.version += 1
                old_discovery.changes.append((old_discovery.version, servers[0].entry))
                old_discovery.changed.notify_all()
        assert {node.client().open_request() for _ in range(6)} == {"UP c"}
        counters = node.counters()
        assert (counters["reloads"], counters["discovery_changes"]) == ("2", "2")
        assert node.process.poll() is None


def test_last_list_is_kept_until_new_address_sends_one(tmp_path: Path) -> None:
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    with running_node(tmp_path, [server_a]) as node:
        established = node.client()
        assert established.open_request() == "UP a"
        new_discovery = DiscoveryServer([server_b.entry])
        new_discovery.answers_allowed = threading.Event()
        node.discovery_servers.append(new_discovery)
        rewrite_and_reload(node, discovery=new_discovery.address)
        wait_for(lambda: new_discovery.calls)
        assert node.client().open_request() == "UP a"
        established.send("still there")
        assert established.read_line() == "still there"
        new_discovery.answers_allowed.set()
        wait_for(lambda: node.client().open_request() == "UP b")


CLASS_SETTINGS = SETTINGS["Lanes"][0]


def settings_with_added_class(**changes: Any) -> dict[str, Any]:
    return {"settings": SETTINGS | {"Lanes": [CLASS_SETTINGS, CLASS_SETTINGS | {"Name": "new"} | changes]}}


def settings_with_max_attempts(attempts: Any) -> dict[str, Any]:
    return {"settings": SETTINGS | {"Bounds": SETTINGS["Bounds"] | {"MaxAttempts": attempts}}}


def settings_without(*names: str) -> dict[str, Any]:
    """The settings without the key at this path; a number is an index of a list."""
    reduced: dict[str, Any] = json.loads(json.dumps(SETTINGS))
    parent: Any = reduced
    for name in names[:-1]:
        parent = parent[int(name) if name.isdigit() else name]
    del parent[names[-1]]
    return {"settings": reduced}


INVALID_CONFIGURATIONS: list[str | dict[str, Any]] = [
    "",
    "{",
    "null",
    '{"name":"n0"}',
    '{"name":"n0","listen":"x","discovery":"y"}',
]
INVALID_CONFIGURATIONS += [
    settings_with_added_class(HardLimitNs=v) for v in (0, -1, True, "1800000000", None, 1e400, [1])
]
INVALID_CONFIGURATIONS += [settings_with_max_attempts(v) for v in (0, -1, 0.5, True, False, "4", None)]
INVALID_CONFIGURATIONS += [
    settings_without("Lanes"),
    settings_without("Lanes", "0", "HardLimitNs"),
    settings_without("Lanes", "0", "Points"),
    settings_with_added_class(Name="live"),
]
INVALID_CONFIGURATIONS += [
    settings_without("Bounds", "MaxAttempts"),
    settings_without("Rules", "DrainGraceNs"),
    settings_without("ReplicasOfMe"),
]


def test_invalid_file_has_no_effect(tmp_path: Path) -> None:
    """Guards against defaults for missing keys, such as one attempt, or a class without a deadline."""
    with running_node(tmp_path, [EndpointServer("a")]) as node:
        valid_text = node.config.read_text()
        for count, invalid in enumerate(INVALID_CONFIGURATIONS, 1):
            text = (
                invalid
                if isinstance(invalid, str)
                else json.dumps(json.loads(valid_text) | invalid).replace("Infinity", "1e400")
            )
            node.config.write_text(text)
            node.process.send_signal(signal.SIGHUP)
            wait_for(lambda n=count: node.counters().get("reloads_failed") == str(n))  # type: ignore[misc]
            assert node.client().open_request("c=new,d=900") == "ERR", invalid
        node.config.write_text(valid_text[: len(valid_text) // 2])
        node.process.send_signal(signal.SIGHUP)
        wait_for(lambda: node.counters().get("reloads_failed") == str(len(INVALID_CONFIGURATIONS) + 1))
        assert "not reloaded" in node.log.read_text() and node.client().open_request() == "UP a"
        node.config.write_text(valid_text)
        node.process.send_signal(signal.SIGHUP)
        assert wait_for(lambda: node.counters().get("reloads") == "1")


def test_reload_affects_later_requests_only(tmp_path: Path) -> None:
    """Reloads add and remove a class and reduce the attempts; a pending request keeps its old settings."""
    server_a, server_b = EndpointServer("a", answer="reset"), EndpointServer("b", answer="silence")
    with running_node(tmp_path, [server_a, server_b]) as node:
        rewrite_and_reload(
            node,
            **settings_with_added_class(HardLimitNs=3_000_000_000, AimNs=2_000_000_000, Idempotency="unsafe"),
        )
        wait_for(lambda: node.counters().get("reloads") == "1")
        pending_client = node.client()
        pending_client.send("OPEN r1 k c=live,d=1500,g=1")
        wait_for(lambda: server_a.open_lines or server_b.open_lines)
        rewrite_and_reload(node, **settings_with_max_attempts(1))
        wait_for(lambda: node.counters().get("reloads") == "2")
        assert pending_client.read_line().startswith("BUSY")
        # The pending request had up to four attempts, not one.
        assert len([line for line in server_a.open_lines + server_b.open_lines if " r1 " in line]) > 1
        assert node.client().open_request("c=new,d=900") == "ERR"  # the class was removed
        assert node.client().open_request("c=live,d=900", "r2").startswith("BUSY")
        assert len([line for line in server_a.open_lines + server_b.open_lines if " r2 " in line]) == 1


def test_reload_adds_class_for_later_requests(tmp_path: Path) -> None:
    with running_node(tmp_path, [EndpointServer("a")]) as node:
        assert node.client().open_request("c=new,d=900") == "ERR"
        lanes = SETTINGS["Lanes"] + [SETTINGS["Lanes"][0] | {"Name": "new"}]
        rewrite_and_reload(node, settings=SETTINGS | {"Lanes": lanes})
        wait_for(lambda: node.client().open_request("c=new,d=900") == "UP a")


def test_reloads_during_shutdown_do_not_affect_it(tmp_path: Path) -> None:
    with running_node(tmp_path, [EndpointServer("a")]) as node:
        client = node.client()
        assert client.open_request() == "UP a"
        node.process.send_signal(signal.SIGHUP)
        node.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 5
        while node.process.poll() is None and time.monotonic() < deadline:
            node.process.send_signal(signal.SIGHUP)  # until the process has ended
            time.sleep(0.002)
        assert node.process.returncode == 0 and [client.read_line(), client.read_line()] == ["MOVE", ""]


def test_balancer_continues_after_features_in_use_are_disabled() -> None:
    """A reload disables connection groups and health checks while a request uses the hash ring and health
    checks are due."""
    driver = BalancerDriver(connection_groups=True)
    first = forward_actions(driver.answer_health_checks(driver.request(group="g1"), 0.1))[0]
    driver.establish(first)
    waiting = driver.request(group="g2")
    assert not forward_actions(waiting)
    driver.balancer.adopt(settings(classes={"other": CLASS}, health_checks=False))
    assert not any(isinstance(action, CheckHealth) for action in driver.feed(TimerFired("look"), after=1.0))
    retried = driver.feed(TimerFired(f"h{driver.next_id}"))
    assert forward_actions(retried) and forward_actions(
        driver.end_attempt(forward_actions(retried)[0], AttemptResult.RESET)
    )
    driver.balancer.adopt(settings(connection_groups=True))
    assert (
        forward_actions(driver.answer_health_checks(driver.request(group="g1"), 0.1))
        and len(driver.balancer.registry.hash_ring) == 6 * 16
    )
