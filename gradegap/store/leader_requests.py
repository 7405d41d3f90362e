"""Requests that a member handles as the leader: writes, changes of membership, and linearizable reads."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import structlog

from gradegap.raft import Entry, EntryKind, Member, Raft, RequestRejectedError
from gradegap.store import wire
from gradegap.store.host import RequestHost
from gradegap.store.leases import affects_decisions
from gradegap.store.pending import PendingRequest, RequestState
from gradegap.store.reads import read
from gradegap.store.records import Command, KeyUpdate, Result
from gradegap.store.write_stamps import WRITE_LIFETIME_MS, WriteStamper

log = structlog.get_logger()

INVITED_PREFIX = "cluster/invited/"
# A new incarnation replaces a member of the same name only if that member has not responded for this long.
INCARNATION_SILENCE_S = 2.0
# Reasons of rejections after which another attempt may succeed.
TRANSIENT_REASONS = (
    "not_leader",
    "transferring",
    "not_ready",
)


def reason_of(text: str) -> str:
    """The reason at the beginning of the text of a rejection."""
    return text.split(":")[0].split(" ")[0]


class Responder(Protocol):
    """The interface of the service that sends responses."""

    def respond(self, pending: PendingRequest, response: wire.Response) -> None:
        """Sends the one response to a request."""


class LeaderRequests:
    """The pending requests that a member handles while it is the leader."""

    def __init__(self, host: RequestHost, responder: Responder, stamper: WriteStamper) -> None:
        self.host, self.responder, self.stamper = host, responder, stamper
        self.metrics = host.metrics
        # requests whose entry is not committed yet, by log index of the entry
        self.awaiting_commit: dict[int, list[PendingRequest]] = {}
        self.awaiting_apply: list[PendingRequest] = []  # reads whose index this member has not applied yet
        self.awaiting_read_index: dict[int, PendingRequest] = {}  # reads without an index yet, by serial

    @property
    def raft(self) -> Raft:
        """The consensus core; it exists as long as this member handles requests as the leader."""
        raft = self.host.raft
        assert raft is not None
        return raft

    # Starting requests

    def start(self, pending: PendingRequest) -> None:
        """Starts a request; a client's request that is rejected for a transient reason is attempted again."""
        try:
            self._start(pending)
        except RequestRejectedError as error:
            self.awaiting_read_index.pop(pending.serial, None)
            reason = reason_of(str(error))
            self.metrics.count(f"store_refused_{reason}")
            if reason in TRANSIENT_REASONS and not pending.from_member:
                pending.wait(RequestState.LEADER)
            else:
                self.responder.respond(pending, wire.Response(0, "no", str(error)))

    def _start(self, pending: PendingRequest) -> None:
        match pending.body:
            case wire.Transaction() as write:
                self._propose(pending, write)
            case wire.AddMember(name, address):
                invitation = KeyUpdate(INVITED_PREFIX + name, {"address": address})
                write = wire.Transaction((invitation,), author="operator")
                pending.body = self.stamper.check_and_stamp(write)
                self.start(pending)
            case wire.RemoveMember(name):
                index = self.raft.remove_member(time.monotonic(), self._member_named(name).id)
                self._wait_for_commit(pending, index)
                self.host.flush()
            case wire.AdmitMember(member):
                self._admit(pending, member)
                self.host.flush()
            case wire.TransferLeadership(name):
                self._transfer(pending, self._member_named(name))
            case _:
                self.awaiting_read_index[pending.serial] = pending
                pending.wait(RequestState.READ_INDEX)
                self.raft.read_index(time.monotonic(), pending.serial)
                self.host.settle()

    def _propose(self, pending: PendingRequest, write: wire.Transaction) -> None:
        if pending.from_member and not write.attempts and self._has_early_deadline(write):
            raise RequestRejectedError("restamp: the deadline of the write is too early")
        command = Command(
            write.client,
            write.seq,
            write.deadline_ms,
            write.author,
            write.compares,
            write.then,
            write.otherwise,
        )
        self._wait_for_commit(pending, self.host.propose(command))

    def _has_early_deadline(self, write: wire.Transaction) -> bool:
        return write.deadline_ms < self.host.log_clock() + WRITE_LIFETIME_MS // 2

    def _member_named(self, name: str) -> Member:
        member = self.raft.configuration.find_by_name(name)
        if member is None:
            raise RequestRejectedError(f"no_such_member: the cluster has no member {name}")
        return member

    def _transfer(self, pending: PendingRequest, member: Member) -> None:
        if member.id == self.raft.member_id:
            # An earlier attempt of this request was successful: this member has become the leader.
            self.responder.respond(pending, wire.Response(0))
            return
        pending.wait(RequestState.TRANSFER)
        self.raft.transfer_leadership(time.monotonic(), member.id)
        self.host.settle()

    def _admit(self, pending: PendingRequest, member: Member) -> None:
        """Adds the member; removes an earlier incarnation first, and the member must send `Join` again."""
        if self.raft.configuration.get(member.id) is not None:
            self.responder.respond(pending, wire.Response(0, text="member admitted"))
            return
        earlier = self.raft.configuration.find_by_name(member.name)
        if earlier is not None:
            self._remove_incarnation(earlier, member)
            self.responder.respond(
                pending,
                wire.Response(0, "no", "again: the earlier incarnation of the member is removed first"),
            )
            return
        if self.host.machine.get(INVITED_PREFIX + member.name) is None:
            raise RequestRejectedError(
                f"not_invited: member {member.name} was not added; see `gradegap store add`"
            )
        learner = Member(member.id, member.name, member.address, voter=False)
        self._wait_for_commit(pending, self.raft.add_member(time.monotonic(), learner))

    def _remove_incarnation(self, earlier: Member, member: Member) -> None:
        now = time.monotonic()
        progress = self.raft.peers.get(earlier.id)
        answers = progress is not None and now - progress.last_response_at < INCARNATION_SILENCE_S
        if earlier.id == self.host.identity.id or answers:
            raise RequestRejectedError(f"alive: another process is member {member.name} and answers")
        self.raft.remove_member(now, earlier.id)
        self.metrics.count("store_lives_replaced")
        log.warning("earlier incarnation removed", member=member.name, id=earlier.id)
        invitation = KeyUpdate(INVITED_PREFIX + member.name, {"address": member.address})
        deadline_ms = self.host.log_clock() + WRITE_LIFETIME_MS
        self.host.propose(Command(f"again-{member.id}", 1, deadline_ms, "store", (), (invitation,)))

    def _wait_for_commit(self, pending: PendingRequest, index: int) -> None:
        pending.wait_for_commit(index, self.raft.term)
        self.awaiting_commit.setdefault(index, []).append(pending)

    # Progress of the log

    def entry_applied(self, entry: Entry, result: Result) -> None:
        """Handles a committed and applied entry: responds to the request that proposed it."""
        for pending in self.awaiting_commit.pop(entry.index, ()):
            if pending.is_done:
                continue
            if entry.term != pending.term:
                # Another leader's entry was committed at this index, so the entry of the request never was.
                pending.wait(RequestState.LEADER)
                continue
            self._committed(pending, entry, result)

    def _committed(self, pending: PendingRequest, entry: Entry, result: Result) -> None:
        if result.error:
            outcome = "unknown" if reason_of(result.error) in ("stale", "too_old") else "no"
            self.responder.respond(pending, wire.Response(0, outcome, result.error))
            return
        response = wire.Response(0, revision=result.revision, succeeded=result.succeeded)
        body, granter = pending.body, self.host.granter
        if isinstance(body, wire.Transaction) and granter is not None:
            keys = [update.key for update in (*body.then, *body.otherwise)]
            if affects_decisions(keys):
                # After the write is acknowledged, no lease holder may still decide by the old values.
                pending.wait(RequestState.LEASE_HOLDERS)
                done = self._responds(pending, response)
                granter.when_applied_by_all(time.monotonic(), entry.index, done)
                return
        if entry.kind is EntryKind.CONFIGURATION and isinstance(body, wire.AdmitMember):
            response = wire.Response(0, text="member admitted", revision=result.revision)
        self.responder.respond(pending, response)

    def _responds(self, pending: PendingRequest, response: wire.Response) -> Callable[[], None]:
        return lambda: self.responder.respond(pending, response)

    def read_index_known(self, serial: int, index: int) -> None:
        """Handles the index of a read: the read is linearizable after this member has applied it."""
        pending = self.awaiting_read_index.pop(serial, None)
        if pending is None or pending.is_done:
            return
        pending.wait_for_index(index)
        if self.host.machine.index >= index:
            self._respond_to_read(pending)
        else:
            self.awaiting_apply.append(pending)

    def read_aborted(self, serial: int) -> None:
        """Handles a read for which leadership could not be confirmed: the read is retried."""
        pending = self.awaiting_read_index.pop(serial, None)
        if pending is not None:
            pending.wait(RequestState.LEADER)

    def index_applied(self, index: int) -> None:
        """Answers the reads that are linearizable now that this member has applied the log up to `index`."""
        waiting = self.awaiting_apply
        self.awaiting_apply = [each for each in waiting if each.index > index and not each.is_done]
        for pending in waiting:
            if pending.index <= index and not pending.is_done:
                self._respond_to_read(pending)

    def _respond_to_read(self, pending: PendingRequest) -> None:
        self.responder.respond(pending, read(self.host.machine, pending.body))

    def forget(self, pending: PendingRequest) -> None:
        """Drops an answered request from the reads that wait for an index."""
        self.awaiting_read_index.pop(pending.serial, None)

    def forget_all(self) -> None:
        """Drops all requests after a gain or loss of leadership; the service retries them."""
        self.awaiting_commit.clear()
        self.awaiting_apply = []
        self.awaiting_read_index.clear()

    def check_transfer(self, pending: PendingRequest) -> None:
        """Responds to a request for a leadership transfer that the core has aborted."""
        raft = self.host.raft
        is_aborted = raft is not None and raft.is_leader and not raft.transferee
        if is_aborted and isinstance(pending.body, wire.TransferLeadership):
            self.responder.respond(
                pending, wire.Response(0, "no", "failed: the member did not become the leader in time")
            )
