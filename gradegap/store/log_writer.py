"""Persists the output of the consensus core before its messages are sent, one batch at a time.

Batches are written in the member's disk thread. Output that arrives during a write forms the next batch, so
that many entries share one sync of the disk.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Protocol

from gradegap.metrics import Metrics
from gradegap.raft import Message, Raft, Ready, SnapshotMetadata
from gradegap.store.machine import StateMachine
from gradegap.store.records import StoreState
from gradegap.store.storage import AppliedPosition, MemberStorage, WriteBatch

RETAINED_ENTRIES = 1000  # applied entries kept in the log, so that a member slightly behind needs no snapshot
# number of entries in the log at which a compaction starts
COMPACTION_THRESHOLD_ENTRIES = 4 * RETAINED_ENTRIES
COMPACTION_THRESHOLD_BYTES = 8 * 1024 * 1024  # log size at which a compaction starts that keeps fewer entries


class WriterHost(Protocol):
    """The interface of the member whose log is written."""

    metrics: Metrics
    machine: StateMachine
    raft: Raft | None
    thread: ThreadPoolExecutor

    def settle(self) -> None:
        """Processes the output that the consensus core has ready."""

    def send_raft_message(self, recipient: str, message: Message) -> None:
        """Sends a message of the consensus core to the member with the id `recipient`."""

    def run_in_thread(self, work: Future[Any], done: Callable[[Any], None]) -> None:
        """Calls `done` on the event loop with the result of `work`, which runs in `thread`."""


class LogWriter:
    """The queue of outputs of the consensus core, and the batch that is being written."""

    def __init__(self, host: WriterHost, storage: MemberStorage) -> None:
        self.host, self.storage = host, storage
        # the latest received snapshot that is not written to disk yet
        self.received_snapshot: StoreState | None = None
        self._queue: list[Ready] = []
        self._is_writing = False
        self._compacting_to = 0  # the index up to which the current batch compacts the log; 0: no compaction

    def add(self, ready: Ready) -> None:
        """Queues an output: it is written, and its messages are sent, after all earlier outputs."""
        self._queue.append(ready)
        self._write()

    def _write(self) -> None:
        raft = self.host.raft
        if self._is_writing or not self._queue or raft is None:
            return
        queue, self._queue = self._queue, []
        if not any(ready.must_sync for ready in queue):
            self._send(queue, raft)
            return
        batch = self._batch(queue, raft)
        self._is_writing = True
        self.host.metrics.count("store_syncs")
        work = self.host.thread.submit(self.storage.write, batch)
        self.host.run_in_thread(work, lambda _: self._synced(queue))

    def _batch(self, queue: list[Ready], raft: Raft) -> WriteBatch:
        batch = WriteBatch()
        for ready in queue:
            self._add_ready(batch, ready)
        machine = self.host.machine
        if batch.full_state is None or machine.index >= batch.full_state.index:
            batch.unsaved = machine.take_unsaved()
        self.received_snapshot = None
        batch.applied = AppliedPosition(machine.index, machine.revision, machine.clock_ms)
        if (
            raft.log.size_bytes > COMPACTION_THRESHOLD_BYTES
            or len(raft.log.entries) > COMPACTION_THRESHOLD_ENTRIES
        ):
            self._compact(batch, raft)
        return batch

    def _add_ready(self, batch: WriteBatch, ready: Ready) -> None:
        if ready.hard_state is not None:
            batch.raft_hard_state = ready.hard_state
        if ready.snapshot is not None:
            batch.base = ready.snapshot.metadata
            batch.entries = []
            batch.full_state = self.received_snapshot
        for entry in ready.entries:
            if batch.entries and entry.index <= batch.entries[-1].index:
                batch.entries = [each for each in batch.entries if each.index < entry.index]
            batch.entries.append(entry)

    def _compact(self, batch: WriteBatch, raft: Raft) -> None:
        """Adds a compaction to the batch: drops log entries that the stored state includes, except a tail.

        The tail is a tenth as long while the log is over its limit in bytes.
        """
        retained = (
            RETAINED_ENTRIES if raft.log.size_bytes <= COMPACTION_THRESHOLD_BYTES else RETAINED_ENTRIES // 10
        )
        index = min(self.host.machine.index, raft.stable_index) - retained
        term = raft.log.term_at(index)
        if index <= raft.log.base.index or term is None or batch.base is not None or self._compacting_to:
            return
        batch.base = SnapshotMetadata(index, term, raft.log.configuration_at(index))
        self._compacting_to = index
        self.host.metrics.count("store_compactions")

    def _synced(self, queue: list[Ready]) -> None:
        self._is_writing = False
        raft = self.host.raft
        if raft is None:
            return
        self.storage.reach_fault_point("synced")
        if self._compacting_to:
            raft.compact(self._compacting_to)
            self._compacting_to = 0
        self._send(queue, raft)
        self.host.settle()
        self._write()

    def _send(self, queue: list[Ready], raft: Raft) -> None:
        for ready in queue:
            for recipient, message in ready.messages:
                self.host.send_raft_message(recipient, message)
        last = next((ready.entries[-1] for ready in reversed(queue) if ready.entries), None)
        if last is not None:
            raft.persisted(time.monotonic(), last.index, last.term)
        self.storage.reach_fault_point("sent")
