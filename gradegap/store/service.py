"""Handles client requests at a member: answers them or forwards them to the leader, with retries.

A write is stamped with a client name, a sequence number and a deadline before it is first proposed. It can
then be proposed again after the loss of a leader, and is applied only once. Apart from a rejection, a request
has three outcomes: it is done; "no_quorum", if it never reached a leader; and "unknown", if it reached a
leader and its result isn't known before its timeout.
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
MAX_TIMEOUT_S = 60.0  # upper limit on the timeout that a client may set for a request
RETRY_PERIOD_S = 0.05  # interval between two attempts of a request that waits for a leader
ADMISSION_TIMEOUT_S = 2.0  # timeout of a new member's request to be admitted; the member repeats the request

REMOVED = "removed: this member does not belong to a cluster"
NOT_LEADER = "not_leader: this member does not lead, try again"


class NodeState(NamedTuple):
    """The latest state that a node reported of itself."""

    at: float  # steady time (s) at which the node reported its state
    state: dict[str, Any]


class RequestService:
    """Handles the requests of clients and other members at one member."""

    def __init__(self, host: RequestHost) -> None:
        self.host = host
        self.metrics = host.metrics
        self.pending: dict[int, PendingRequest] = {}  # pending requests by serial number
        self._node_states: dict[str, NodeState] = {}  # by the node's name
        self.clock = LogClockEstimate(host)
        self.stamper = WriteStamper(self.clock)
        self.leader_requests = LeaderRequests(host, self, self.stamper)
        self.watches = Watches(host.machine, host.metrics)
        self._last_serial = 0
        self._last_retry_at = 0.0
        self.metrics.gauge("store_pending", lambda: len(self.pending))
        self.metrics.gauge("store_watches", lambda: len(self.watches.open))

    # Receiving requests

    def receive_request(self, link: Link, request: wire.Request) -> None:
        """Handles a request that a client or another member sent on a link."""

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
        """Calls `respond` with the one response to a request, at the latest after `timeout_s` seconds.

        `from_member` is set for a request that another member sent.
        """
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            self.metrics.count("store_busy")
            respond(wire.Response(0, "no", "busy: too many requests are pending"))
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

    # Attempts

    def _attempt(self, pending: PendingRequest) -> None:
        """Answers a request that needs no leader; else handles it as the leader, forwards it, or waits."""
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
            self.leader_requests.start(pending)
        elif pending.from_member:
            self.respond(pending, wire.Response(0, "no", NOT_LEADER))
        else:
            self._forward(pending, raft.leader_id)

    def _respond_as_removed(self, pending: PendingRequest) -> None:
        own_removal = wire.RemoveMember(self.host.settings.name)
        if pending.may_be_applied and pending.body == own_removal and self.host.raft is not None:
            # The request was to remove this member. That it is removed proves that the entry is committed. A
            # member whose disk failed also counts as removed, but has no consensus core to confirm a commit.
            self.respond(pending, wire.Response(0))
        elif pending.is_in_doubt:
            text = (
                "unknown: this member stopped while the request was pending; it may or may not be committed"
            )
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

    # Checks whether a revision is in force

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
        """The member's event loop."""
        return self.host.loop

    def members(self) -> list[Member]:
        """All members of the cluster, including this one."""
        raft = self.host.raft
        return list(raft.configuration.members) if raft is not None else []

    def local_report(self, revision: int) -> MachineReport:
        """Returns which of the nodes subscribed to this member have not acknowledged a revision."""
        return self.host.report(revision)

    def request_from_member(
        self, member: Member, body: wire.RequestBody, respond: ResponseCallback, timeout_s: float
    ) -> None:
        """Calls `respond` with the response of `member`, or with a rejection if it can't be reached.

        `timeout_s` limits the time in seconds until `respond` is called.
        """
        serial = self._next_serial()
        if not self.host.send_to_member(member, wire.Request(serial, body, timeout_s)):
            respond(wire.Response(0, "no", f"unreachable: no usable link to member {member.name}"))
            return
        expires_at = time.monotonic() + timeout_s
        pending = PendingRequest(serial, body, respond, expires_at, from_member=True)
        pending.wait_for_member(member.id)
        self.pending[serial] = pending

    # Responses

    def respond(self, pending: PendingRequest, response: wire.Response) -> None:
        """Sends the one response to a request; a later response is ignored."""
        if pending.is_done:
            return
        pending.finish()
        self.pending.pop(pending.serial, None)
        self.leader_requests.forget(pending)
        if isinstance(pending.body, wire.Transaction):
            self.stamper.release(pending.body.client)
        self.metrics.count(f"store_answers_{response.outcome}")
        pending.respond(msgspec.structs.replace(response, clock_ms=self.clock.now_ms()))

    def receive_response(self, link: Link, response: wire.Response) -> None:
        """Handles the response of the member to which a request was forwarded."""
        pending = self.pending.get(response.serial)
        if pending is None or not pending.waits_for_member(link.id):
            return
        if response.clock_ms:
            self.clock.observe(response.clock_ms)
        reason = reason_of(response.text)
        if reason == "restamp" and isinstance(pending.body, wire.Transaction):
            # The leader did not propose the write: its deadline, from this member's estimate of the log time,
            # was too early.
            deadline_ms = self.stamper.new_deadline()
            pending.body = msgspec.structs.replace(pending.body, deadline_ms=deadline_ms, attempts=0)
            pending.may_be_applied = False
            pending.wait(RequestState.LEADER)
        elif response.outcome == "no_quorum" or (response.outcome == "no" and reason in TRANSIENT_REASONS):
            pending.wait(RequestState.LEADER)
        else:
            self.respond(pending, response)

    # Leader changes and timer ticks

    def leadership_changed(self) -> None:
        """Handles a gain or loss of leadership: requests that this member handled as leader are retried."""
        for pending in list(self.pending.values()):
            if pending.is_handled_as_leader:
                pending.wait(RequestState.LEADER)
        self.leader_requests.forget_all()
        self._last_retry_at = 0.0

    def link_lost(self, member_id: str) -> None:
        """Handles a lost link: requests forwarded to the member `member_id` are retried."""
        for pending in list(self.pending.values()):
            if pending.waits_for_member(member_id):
                pending.wait(RequestState.LEADER)

    def leader_changed(self) -> None:
        """Handles a change of the leader: requests forwarded to the previous leader are retried."""
        raft = self.host.raft
        leader_id = raft.leader_id if raft is not None else ""
        for pending in list(self.pending.values()):
            if isinstance(pending.body, wire.InForce):
                # Each member is sent such a request, regardless of which one leads.
                continue
            if pending.state is RequestState.MEMBER and pending.member_id != leader_id:
                pending.wait(RequestState.LEADER)
        self._last_retry_at = 0.0

    def tick(self, now: float) -> None:
        """Ends expired requests, and retries those that wait for a leader; `now` is the steady time (s)."""
        for pending in list(self.pending.values()):
            if now >= pending.expires_at:
                self._time_out(pending)
        if now - self._last_retry_at < RETRY_PERIOD_S:
            return
        self._last_retry_at = now
        for pending in list(self.pending.values()):
            if pending.state is RequestState.TRANSFER:
                self.leader_requests.check_transfer(pending)
            elif pending.state is RequestState.LEADER and pending.from_member:
                self.respond(pending, wire.Response(0, "no", NOT_LEADER))
            elif pending.state is RequestState.LEADER:
                self._attempt(pending)

    def _time_out(self, pending: PendingRequest) -> None:
        if pending.is_in_doubt:
            text = "unknown: the request timed out after it reached a leader; it may or may not be committed"
            self.respond(pending, wire.Response(0, "unknown", text))
        else:
            text = "no_quorum: no leader with a quorum responded in time"
            self.respond(pending, wire.Response(0, "no_quorum", text))

    # The log

    def entry_applied(self, entry: Entry, result: Result) -> None:
        """Handles a committed entry that this member has applied."""
        self.leader_requests.entry_applied(entry, result)

    # Admission of members

    def admit(self, link: Link, member: Member) -> None:
        """Adds the member that asked on `link`, and sends it the cluster's configuration after the commit."""

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
        """Records the state that a node reported of itself, which `status` includes."""
        self._node_states[node] = NodeState(time.monotonic(), state)

    def status(self) -> dict[str, Any]:
        """The status of this member and its cluster."""
        now = time.monotonic()
        nodes = {
            name: reported.state | {"age_ms": round((now - reported.at) * 1000)}
            for name, reported in self._node_states.items()
        }
        return member_status(self.host, nodes)

    def close(self) -> None:
        """Answers all pending requests, because the member closes."""
        for pending in list(self.pending.values()):
            outcome = "unknown" if pending.is_in_doubt else "no"
            self.respond(pending, wire.Response(0, outcome, f"{outcome}: this member is shutting down"))
