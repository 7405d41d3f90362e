"""Drives the consensus core of a member: proposes entries, processes its output, follows its role."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Protocol

import structlog

from gradegap.metrics import Metrics
from gradegap.raft import Entry, EntryKind, Raft, Ready, Role, SnapshotMetadata
from gradegap.store.errors import FolderError
from gradegap.store.log_writer import LogWriter
from gradegap.store.machine import StateMachine
from gradegap.store.member_leases import MemberLeases
from gradegap.store.membership import Membership
from gradegap.store.records import Command, Expire, LogRecord, Result, encode
from gradegap.store.service import RequestService
from gradegap.store.state_snapshot import decode_snapshot, encode_snapshot
from gradegap.store.subscriptions import SubscriptionServer

log = structlog.get_logger()


class ConsensusHost(Protocol):
    """The interface of the member whose consensus core is driven."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    machine: StateMachine
    raft: Raft | None
    thread: ThreadPoolExecutor
    requests: RequestService
    membership: Membership
    leases: MemberLeases
    writer: LogWriter
    subscription_server: SubscriptionServer | None

    @property
    def removed(self) -> bool:
        """Whether the member has left the cluster for good: it was removed, or its folder failed."""

    @property
    def closed(self) -> bool:
        """Whether the member is closed."""

    def fail(self, error: FolderError) -> None:
        """Ends the participation of this member, because its folder can't be written."""

    def mark_removed(self) -> None:
        """Ends the participation of this member, because the cluster has removed it."""

    def run_in_thread(self, work: Future[Any], done: Callable[[Any], None]) -> None:
        """Calls `done` on the event loop with the result of `work`, which runs in `thread`."""


class ConsensusDriver:
    """Connects the consensus core of one member with its disk, links, state and requests."""

    def __init__(self, host: ConsensusHost) -> None:
        self.host = host
        self._is_encoding_snapshot = False
        self._was_leader = False
        self._known_leader = ""
        self._leader_since_s = 0.0  # steady time at which this member became the leader
        self._leader_since_log_ms = 0  # log time (ms) at which this member became the leader

    def log_clock(self) -> int:
        """The leader's log time (ms): advances with the steady clock, never lags behind the applied log."""
        elapsed_ms = int((time.monotonic() - self._leader_since_s) * 1000)
        return max(self.host.machine.clock_ms, self._leader_since_log_ms + elapsed_ms)

    def propose(self, body: Command | Expire) -> int:
        """Proposes an entry and returns its log index.

        Raises:
            RequestRejectedError: if the entry can't be proposed now, for example at a follower.
        """
        assert self.host.raft is not None
        record = LogRecord(self.log_clock(), time.time_ns() // 1_000_000, body)
        index = self.host.raft.propose(time.monotonic(), encode(record))
        self.host.loop.call_soon(self.flush)
        return index

    def flush(self) -> None:
        """Makes the core send the proposed entries, then calls `settle`."""
        if self.host.raft is not None and not self.host.closed:
            self.host.raft.flush(time.monotonic())
            self.settle()

    def settle(self) -> None:
        """Processes the output of the core: sends, applies, answers reads, writes, and follows its role."""
        raft = self.host.raft
        if raft is None or self.host.closed:
            return
        ready = raft.take_ready()
        for recipient, message in ready.immediate_messages:
            self.host.membership.send_raft_message(recipient, message)
        if ready.snapshot is not None and not self._load_snapshot(ready.snapshot.data):
            return
        for entry in ready.committed_entries:
            self._apply(entry)
        if ready.committed_entries or ready.snapshot is not None:
            self._index_applied()
        self._answer_reads(ready)
        if ready.snapshot_wanted and not self._is_encoding_snapshot:
            self._encode_snapshot(raft)
        if ready.must_sync or ready.messages:
            self.host.writer.add(ready)
        self._follow_role(raft)

    def _load_snapshot(self, data: bytes) -> bool:
        try:
            state = decode_snapshot(data)
        except ValueError as error:
            self.host.fail(FolderError(f"a received snapshot can't be read: {error}"))
            return False
        self.host.metrics.count("store_snapshots_taken")
        self.host.machine.load_state(state)
        self.host.writer.received_snapshot = state
        return True

    def _apply(self, entry: Entry) -> None:
        if entry.kind is EntryKind.COMMAND:
            result = self.host.machine.apply(entry.index, entry.data)
            if result.error:
                self.host.metrics.count(f"store_refused_{result.error.split(':')[0]}")
        else:
            self.host.machine.skip(entry.index)
            result = Result(self.host.machine.revision)
        self.host.requests.entry_applied(entry, result)
        if entry.kind is EntryKind.CONFIGURATION:
            assert self.host.raft is not None
            self.host.membership.configuration_applied(self.host.raft)

    def _index_applied(self) -> None:
        now, index = time.monotonic(), self.host.machine.index
        self.host.leases.index_applied(index)
        self.host.requests.leader_requests.index_applied(index)
        self._stop_as_removed(index)
        if self.host.subscription_server is not None:
            self.host.subscription_server.committed()
            self.host.subscription_server.lease(self.host.leases.holder.until)
        self.host.leases.report_applied()
        self.host.leases.tick(now)

    def _stop_as_removed(self, index: int) -> None:
        raft = self.host.raft
        if self.host.removed or raft is None or index < raft.log.configuration_index:
            return
        if raft.was_removed():
            self.host.mark_removed()
            self.host.requests.leadership_changed()

    def _answer_reads(self, ready: Ready) -> None:
        for serial, index in ready.read_states:
            self.host.requests.leader_requests.read_index_known(serial, index)
        for serial in ready.aborted_reads:
            self.host.requests.leader_requests.read_aborted(serial)

    def _follow_role(self, raft: Raft) -> None:
        if raft.is_leader != self._was_leader:
            self._was_leader = raft.is_leader
            if raft.is_leader:
                self._leadership_gained(raft)
            else:
                self.host.metrics.count("store_deposed")
                self.host.leases.leadership_lost()
                log.info("leadership lost", term=raft.term)
            self.host.requests.leadership_changed()
        if raft.leader_id != self._known_leader and raft.role is not Role.LEADER:
            self._known_leader = raft.leader_id
            self.host.requests.leader_changed()
        self._known_leader = raft.leader_id

    def _leadership_gained(self, raft: Raft) -> None:
        now = time.monotonic()
        self.host.metrics.count("store_elected")
        self._leader_since_s, self._leader_since_log_ms = now, self.host.machine.clock_ms
        self.host.leases.leadership_gained(now)
        log.info("leadership gained", term=raft.term)

    def _encode_snapshot(self, raft: Raft) -> None:
        """Encodes a snapshot for a member that is behind the compacted log.

        This takes long for a large state, and is therefore done in a thread.
        """
        index = self.host.machine.index
        term = raft.log.term_at(index)
        if term is None:
            return
        self._is_encoding_snapshot = True
        metadata = SnapshotMetadata(index, term, raft.log.configuration_at(index))
        state = self.host.machine.export_state()
        self.host.metrics.count("store_snapshots_made")
        work = self.host.thread.submit(encode_snapshot, state)
        self.host.run_in_thread(work, lambda data: self._offer_snapshot(metadata, data))

    def _offer_snapshot(self, metadata: SnapshotMetadata, data: bytes) -> None:
        self._is_encoding_snapshot = False
        raft = self.host.raft
        if raft is not None and raft.is_leader and metadata.index >= raft.log.base.index:
            raft.offer_snapshot(time.monotonic(), metadata, data)
            self.settle()
