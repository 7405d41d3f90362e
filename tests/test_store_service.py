"""Responses to pending requests when the member is removed, fails or closes; without processes."""

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


def leader_service() -> tuple[RequestService, Any]:
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


def test_proposed_write_at_removed_member_is_answered_as_unknown() -> None:
    """Guards against answering "no" to a write that may be committed: clients retry it, so it runs twice."""
    service, member = leader_service()
    responses: list[wire.Response] = []
    service.request(wire.Transaction((KeyUpdate("a", 1),)), responses.append)
    service.request(wire.Get("a"), responses.append)
    member.removed, member.raft.is_leader = True, False
    service.leadership_changed()
    service.tick(time.monotonic())
    service.request(wire.Transaction((KeyUpdate("b", 1),)), responses.append)
    assert [response.outcome for response in responses] == ["unknown", "no", "no"]
    assert responses[0].text.startswith("unknown: this member stopped")
    assert not service.pending


def test_leader_removed_by_own_request_confirms_the_removal() -> None:
    """Guards against the answers "no" and "unknown": the leader steps down before it applies its removal."""
    service, member = leader_service()
    responses: list[wire.Response] = []
    service.request(wire.RemoveMember("n1"), responses.append)
    service.request(wire.RemoveMember("n2"), responses.append)
    member.removed, member.raft.is_leader = True, False
    service.leadership_changed()
    service.tick(time.monotonic())
    service.request(wire.RemoveMember("n1"), responses.append)
    assert [response.outcome for response in responses] == ["ok", "unknown", "no"]


def test_leader_with_failed_disk_does_not_confirm_its_removal() -> None:
    service, member = leader_service()
    responses: list[wire.Response] = []
    service.request(wire.RemoveMember("n1"), responses.append)
    member.removed, member.raft = True, None
    service.leadership_changed()
    service.tick(time.monotonic())
    assert [response.outcome for response in responses] == ["unknown"]


def test_close_answers_pending_writes_as_unknown_and_reads_as_rejected() -> None:
    service, _ = leader_service()
    responses: list[wire.Response] = []
    service.request(wire.Transaction((KeyUpdate("a", 1),)), responses.append)
    service.request(wire.Get("a"), responses.append)
    service.close()
    assert [response.outcome for response in responses] == ["unknown", "no"]
