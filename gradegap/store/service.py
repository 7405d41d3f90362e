"""Requests of clients to a member: answered here, or by the leader, and retried until the outcome is known.

A write is stamped (client, number, deadline) before it is first proposed, so that it can be proposed again
when a leader is lost, and is applied once. Three outcomes are distinguished: done; "no_quorum", where nobody
ever had it; and "unknown", where a leader had it and nobody can say by now what came of it.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

import msgspec
import structlog

from gradegap.raft import Entry, Member
from gradegap.store import wire
from gradegap.store.errors import CommandError
from gradegap.store.host import RequestHost
from gradegap.store.in_force import MachineReport
from gradegap.store.in_force_check import InForceCheck
from gradegap.store.leader_requests import TRANSIENT_REASONS, LeaderRequests, reason_of
from gradegap.store.links import Link
from gradegap.store.member_status import member_status
from gradegap.store.pending import PendingRequest, RequestState, ResponseCallback
from gradegap.store.reads import read
from gradegap.store.records import Result
from gradegap.store.snapshot_transfer import SnapshotTransfer
from gradegap.store.watches import Watches
from gradegap.store.write_stamps import LogClockEstimate, WriteStamper

log = structlog.get_logger()

MAX_PENDING_REQUESTS = 4096
MAX_TIMEOUT_S = 60.0  # that a client may be willing to wait
RETRY_PERIOD_S = 0.05
ADMISSION_TIMEOUT_S = 2.0

REMOVED = "removed: this member belongs to no cluster"
NOT_LEADER = "not_leader: ask again"


class NodeState(NamedTuple):
    """What a node reported of itself, and when (steady time, s)."""

    at: float
    state: dict[str, Any]


class RequestService:
    """Answers requests at one member."""

    def __init__(self, host: RequestHost) -> None:
        self.host = host
        self.metrics = host.metrics
        self.pending: dict[int, PendingRequest] = {}  # by serial
        self._node_states: dict[str, NodeState] = {}  # by name
        self.clock = LogClockEstimate(host)
        self.stamper = WriteStamper(self.clock)
        self.led = LeaderRequests(host, self, self.stamper)
        self.watches = Watches(host.machine, host.metrics)
        self._last_serial = 0
        self._last_retry_at = 0.0
        self.metrics.gauge("store_pending", lambda: len(self.pending))
        self.metrics.gauge("store_watches", lambda: len(self.watches.open))

    # Requests come

    def receive_request(self, link: Link, request: wire.Request) -> None:
        """A request on a link, of a client or forwarded by a member."""

        def respond(response: wire.Response) -> None:
            link.send(msgspec.structs.replace(response, serial=request.serial))

        match request.body:
            case wire.Watch() as watch:
                self.watches.add(link, request.serial, watch)
            case wire.Snapshot():
                SnapshotTransfer(self.host, self, respond, request.timeout_s).start()
            case _:
                self.request(request.body, respond, request.timeout_s, from_member=bool(link.id))

    def request(
        self,
        body: wire.RequestBody,
        respond: ResponseCallback,
        timeout_s: float = 5.0,
        from_member: bool = False,
    ) -> None:
        """`respond` with one response, at the latest after `timeout_s`."""
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            self.metrics.count("store_busy")
            respond(wire.Response(0, "no", "busy: too many requests are under way"))
            return
        try:
            if isinstance(body, wire.Transaction):
                body = self.stamper.check_and_stamp(body)
        except CommandError as error:
            self.metrics.count(f"store_refused_{str(error).split(':')[0]}")
            respond(wire.Response(0, "no", str(error)))
            return
        expires_at = time.monotonic() + min(timeout_s, MAX_TIMEOUT_S)
        pending = PendingRequest(self._next_serial(), body, respond, expires_at, from_member)
        self.pending[pending.serial] = pending
        self._attempt(pending)

    def _next_serial(self) -> int:
        self._last_serial += 1
        return self._last_serial

    # One attempt

    def _attempt(self, pending: PendingRequest) -> None:
        """Answer here what needs no leader; lead, forward or wait with the rest."""
        machine, body, raft = self.host.machine, pending.body, self.host.raft
        if isinstance(body, wire.Status):
            self.respond(pending, wire.Response(0, status=self.status()))
        elif isinstance(body, wire.Digest):
            self.respond(pending, wire.Response(0, text=machine.digest(), revision=machine.revision))
        elif isinstance(body, wire.InForce):
            self._check_in_force(pending, body)
        elif isinstance(body, wire.Get | wire.List) and body.stale:
            self.respond(pending, read(machine, body))
        elif self.host.removed:
            self._respond_as_removed(pending)
        elif raft is None:
            pending.wait(RequestState.LEADER)
        elif raft.is_leader:
            self.led.start(pending)
        elif pending.from_member:
            self.respond(pending, wire.Response(0, "no", NOT_LEADER))
        else:
            self._forward(pending, raft.leader_id)

    def _respond_as_removed(self, pending: PendingRequest) -> None:
        own_removal = wire.RemoveMember(self.host.settings.name)
        if pending.may_be_applied and pending.body == own_removal and self.host.raft is not None:
            # What was requested is what ended this member: it is committed, or it would not be removed. (One
            # whose disk failed has no core any more, and can't say so.)
            self.respond(pending, wire.Response(0))
        elif pending.is_in_doubt:
            text = "unknown: this member has ended with it under way; it may be committed or not"
            self.respond(pending, wire.Response(0, "unknown", text))
        else:
            self.respond(pending, wire.Response(0, "no", REMOVED))

    def _forward(self, pending: PendingRequest, leader_id: str) -> None:
        left_s = pending.expires_at - time.monotonic()
        request = wire.Request(pending.serial, pending.body, left_s)
        if not leader_id or left_s <= 0 or not self.host.send_to_leader(request):
            pending.wait(RequestState.LEADER)
            return
        pending.may_be_applied = True
        pending.wait_for_member(leader_id)
        if isinstance(pending.body, wire.Transaction):
            attempts = pending.body.attempts + 1
            pending.body = msgspec.structs.replace(pending.body, attempts=attempts)

    # In force

    def _check_in_force(self, pending: PendingRequest, body: wire.InForce) -> None:
        host = self.host
        if pending.from_member:
            report = msgspec.msgpack.encode(host.report(body.revision))
            self.respond(pending, wire.Response(0, data=report))
        elif host.raft is None or host.removed:
            self.respond(pending, wire.Response(0, "no", REMOVED))
        else:
            pending.wait(RequestState.IN_FORCE)

            def respond(response: wire.Response) -> None:
                self.respond(pending, response)

            InForceCheck(self, host.identity.id, body.revision, pending.expires_at, respond).start()

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The member's."""
        return self.host.loop

    def members(self) -> list[Member]:
        """All members, this one among them."""
        raft = self.host.raft
        return list(raft.configuration.members) if raft is not None else []

    def local_report(self, revision: int) -> MachineReport:
        """What this member knows of the nodes that subscribe here."""
        return self.host.report(revision)

    def request_from_member(
        self, member: Member, body: wire.RequestBody, respond: ResponseCallback, timeout_s: float
    ) -> None:
        """`respond` with the member's response, or with a no, after `timeout_s` at the latest."""
        serial = self._next_serial()
        if not self.host.send_to_member(member, wire.Request(serial, body, timeout_s)):
            respond(wire.Response(0, "no", f"unreachable: {member.name}"))
            return
        expires_at = time.monotonic() + timeout_s
        pending = PendingRequest(serial, body, respond, expires_at, from_member=True)
        pending.wait_for_member(member.id)
        self.pending[serial] = pending

    # Responses

    def respond(self, pending: PendingRequest, response: wire.Response) -> None:
        """The one response of a request; later ones are passed over."""
        if pending.is_done:
            return
        pending.finish()
        self.pending.pop(pending.serial, None)
        self.led.forget(pending)
        if isinstance(pending.body, wire.Transaction):
            self.stamper.release(pending.body.client)
        self.metrics.count(f"store_answers_{response.outcome}")
        pending.respond(msgspec.structs.replace(response, clock_ms=self.clock.now_ms()))

    def receive_response(self, link: Link, response: wire.Response) -> None:
        """From the member that a request was forwarded to."""
        pending = self.pending.get(response.serial)
        if pending is None or not pending.waits_for_member(link.id):
            return
        if response.clock_ms:
            self.clock.observe(response.clock_ms)
        reason = reason_of(response.text)
        if reason == "restamp" and isinstance(pending.body, wire.Transaction):
            # Nobody proposed it: it only bore a time that this member had not kept up with.
            deadline_ms = self.stamper.new_deadline()
            pending.body = msgspec.structs.replace(pending.body, deadline_ms=deadline_ms, attempts=0)
            pending.may_be_applied = False
            pending.wait(RequestState.LEADER)
        elif response.outcome == "no_quorum" or (response.outcome == "no" and reason in TRANSIENT_REASONS):
            pending.wait(RequestState.LEADER)
        else:
            self.respond(pending, response)

    # Changes of leader, and time

    def leadership_changed(self) -> None:
        """This member leads no more, or anew: what it carried out is only answered after another attempt."""
        for pending in list(self.pending.values()):
            if pending.is_led:
                pending.wait(RequestState.LEADER)
        self.led.forget_all()
        self._last_retry_at = 0.0

    def link_lost(self, member_id: str) -> None:
        """What waits for this member's response is tried again."""
        for pending in list(self.pending.values()):
            if pending.waits_for_member(member_id):
                pending.wait(RequestState.LEADER)

    def leader_changed(self) -> None:
        """Another member leads: what was forwarded to the one before is tried again."""
        raft = self.host.raft
        leader_id = raft.leader_id if raft is not None else ""
        for pending in list(self.pending.values()):
            if isinstance(pending.body, wire.InForce):
                continue  # sent to each member, whoever leads
            if pending.state is RequestState.MEMBER and pending.member_id != leader_id:
                pending.wait(RequestState.LEADER)
        self._last_retry_at = 0.0

    def tick(self, now: float) -> None:
        """End what is late, and retry what waits for a leader; `now` is the steady time in seconds."""
        for pending in list(self.pending.values()):
            if now >= pending.expires_at:
                self._time_out(pending)
        if now - self._last_retry_at < RETRY_PERIOD_S:
            return
        self._last_retry_at = now
        for pending in list(self.pending.values()):
            if pending.state is RequestState.TRANSFER:
                self.led.check_transfer(pending)
            elif pending.state is RequestState.LEADER and pending.from_member:
                self.respond(pending, wire.Response(0, "no", NOT_LEADER))
            elif pending.state is RequestState.LEADER:
                self._attempt(pending)

    def _time_out(self, pending: PendingRequest) -> None:
        if pending.is_in_doubt:
            text = "unknown: it may be committed or not; nobody could say in time"
            self.respond(pending, wire.Response(0, "unknown", text))
        else:
            text = "no_quorum: no leader with a quorum answered in time"
            self.respond(pending, wire.Response(0, "no_quorum", text))

    # The log

    def entry_applied(self, entry: Entry, result: Result) -> None:
        """An entry is committed and applied."""
        self.led.entry_applied(entry, result)

    # Members that come

    def admit(self, link: Link, member: Member) -> None:
        """Add a member that came on `link`, and send it its cluster once that is committed."""

        def respond(response: wire.Response) -> None:
            raft = self.host.raft
            if response.outcome == "ok" and raft is not None:
                configuration = raft.configuration
                if configuration.get(member.id) is None:
                    learner = msgspec.structs.replace(member, voter=False)
                    configuration = configuration.with_member(learner)
                link.send(wire.ClusterFormed(self.host.identity.cluster, configuration))
            elif response.outcome == "no":
                log.info("member not admitted", member=member.name, reason=response.text)

        body = wire.AdmitMember(member)
        if all(pending.body != body for pending in self.pending.values()):
            self.request(body, respond, ADMISSION_TIMEOUT_S)

    # Status

    def node_reported(self, node: str, state: dict[str, Any]) -> None:
        """A node has reported its state, which `status` shows."""
        self._node_states[node] = NodeState(time.monotonic(), state)

    def status(self) -> dict[str, Any]:
        """This member's status and its cluster's."""
        now = time.monotonic()
        nodes = {
            name: reported.state | {"age_ms": round((now - reported.at) * 1000)}
            for name, reported in self._node_states.items()
        }
        return member_status(self.host, nodes)

    def close(self) -> None:
        """The member ends: so do all requests under way."""
        for pending in list(self.pending.values()):
            outcome = "unknown" if pending.is_in_doubt else "no"
            self.respond(pending, wire.Response(0, outcome, f"{outcome}: this member ends"))
