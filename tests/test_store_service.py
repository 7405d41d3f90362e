"""What a member responds to requests under way when it loses its place, without processes."""

from __future__ import annotations

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from typing import Any, cast

from gradegap.metrics import Metrics
from gradegap.store import wire
from gradegap.store.machine import StateMachine
from gradegap.store.records import KeyUpdate
from gradegap.store.service import RequestService


def service() -> tuple[RequestService, Any]:
    """A service at a leader whose entries are never committed."""
    raft = SimpleNamespace(is_leader=True, term=1, leader_id="m1", transferee="", status=lambda now: {})
    member = SimpleNamespace(
        loop=cast(asyncio.AbstractEventLoop, None),
        metrics=Metrics(),
        machine=StateMachine(),
        raft=raft,
        granter=None,
        settings=SimpleNamespace(name="n1"),
        removed=False,
        thread=cast(ThreadPoolExecutor, None),
        log_clock=lambda: 1,
        propose=lambda body: 5,
        settle=lambda: None,
        flush=lambda: None,
    )
    raft.read_index = lambda now, serial: None
    raft.configuration = SimpleNamespace(find_by_name=lambda name: SimpleNamespace(id=name))
    raft.remove_member = lambda now, member: 7
    return RequestService(cast(Any, member)), member


def test_a_proposed_write_is_unknown_once_its_member_is_removed() -> None:
    """It was answered "no", and could be committed all the same: a no is tried again, and runs twice."""
    requests, member = service()
    responses: list[wire.Response] = []
    requests.request(wire.Transaction((KeyUpdate("a", 1),)), responses.append)
    requests.request(wire.Get("a"), responses.append)
    member.removed, member.raft.is_leader = True, False
    requests.leadership_changed()
    requests.tick(time.monotonic())
    requests.request(wire.Transaction((KeyUpdate("b", 1),)), responses.append)
    assert [a.outcome for a in responses] == ["unknown", "no", "no"]
    assert responses[0].text.startswith("unknown: this member stopped")
    assert not requests.pending


def test_a_leader_that_removed_itself_confirms_its_removal() -> None:
    """It steps down before it has applied its removal; that was a "no", or unknown, now and then."""
    requests, member = service()
    responses: list[wire.Response] = []
    requests.request(wire.RemoveMember("n1"), responses.append)
    requests.request(wire.RemoveMember("n2"), responses.append)
    member.removed, member.raft.is_leader = True, False
    requests.leadership_changed()
    requests.tick(time.monotonic())
    requests.request(wire.RemoveMember("n1"), responses.append)
    assert [a.outcome for a in responses] == ["ok", "unknown", "no"]


def test_a_leader_whose_disk_failed_does_not_confirm_its_removal() -> None:
    requests, member = service()
    responses: list[wire.Response] = []
    requests.request(wire.RemoveMember("n1"), responses.append)
    member.removed, member.raft = True, None
    requests.leadership_changed()
    requests.tick(time.monotonic())
    assert [a.outcome for a in responses] == ["unknown"]


def test_requests_under_way_when_a_member_ends_are_unknown_only_where_they_write() -> None:
    requests, _ = service()
    responses: list[wire.Response] = []
    requests.request(wire.Transaction((KeyUpdate("a", 1),)), responses.append)
    requests.request(wire.Get("a"), responses.append)
    requests.close()
    assert [a.outcome for a in responses] == ["unknown", "no"]
