"""The leader's side of replication: appends proposals, sends them to members and commits them by majority.

A member is probed with one message at a time until it is known where its log matches the leader's. After
that, entries are pipelined up to `RaftSettings.max_inflight_messages`.
"""

from __future__ import annotations

from gradegap.raft.context import RaftContext
from gradegap.raft.entries import Entry, EntryKind
from gradegap.raft.errors import NotLeaderError, TooMuchUncommittedError, TransferInProgressError
from gradegap.raft.log import UNBOUNDED_BYTES
from gradegap.raft.messages import AppendEntries, AppendEntriesResponse
from gradegap.raft.progress import Progress, ProgressState, majority_value

# Bound at import, because before Python 3.12 each access to an enum member is a function call.
REPLICATE, SNAPSHOT = ProgressState.REPLICATE, ProgressState.SNAPSHOT

PROBE_BYTES = 4096  # limit on the total size of entries in a message to a member in state PROBE


class Replication:
    """Tracks the progress of the other members and advances the commit index."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        self.peers: dict[str, Progress] = {}
        self.uncommitted_bytes = 0  # total size in bytes of entries that are not committed

    def start(self, now: float) -> None:
        """Start a term as leader, with no knowledge of the other members' logs."""
        raft = self.raft
        self.peers = {}
        self.uncommitted_bytes = sum(
            entry.size_bytes for entry in raft.log.slice(raft.commit_index + 1, UNBOUNDED_BYTES)
        )
        self.track_members(now)

    def track_members(self, now: float) -> None:
        """Match the tracked members to the configuration: probe new ones, drop removed ones."""
        members = self.raft.configuration.members
        ids = {member.id for member in members}
        for removed in [peer for peer in self.peers if peer not in ids]:
            del self.peers[removed]
        # Iterates over `members`, not over the set `ids`: set order would make simulated runs irreproducible.
        for member in members:
            if member.id != self.raft.member_id and member.id not in self.peers:
                self.peers[member.id] = Progress(self.raft.log.last_index + 1, last_response_at=now)

    # Proposals

    def propose(self, data: bytes, kind: EntryKind) -> int:
        """Append an entry for a client and return its index.

        Raises:
            NotLeaderError, TransferInProgressError, TooMuchUncommittedError: Nothing was appended.
        """
        raft = self.raft
        if not raft.is_leader:
            raise NotLeaderError
        if raft.leadership_transfer.target:
            raise TransferInProgressError
        if (
            self.uncommitted_bytes + len(data) > raft.settings.max_uncommitted_bytes
            and self.uncommitted_bytes
        ):
            raise TooMuchUncommittedError
        return self.append(kind, data)

    def append(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry of the current term to the leader's own log and return its index."""
        raft = self.raft
        entry = Entry(raft.log.last_index + 1, raft.term, kind, data)
        raft.append_entry(entry)
        self.uncommitted_bytes += entry.size_bytes
        return entry.index

    # Sending

    def flush(self, now: float) -> None:
        """Send pending entries to all members and advance the commit index."""
        for peer, progress in self.peers.items():
            self.send_to(peer, progress)
        self.advance_commit(now)

    def broadcast(self) -> None:
        """Send every member at least one message, which contains the current heartbeat round."""
        for peer, progress in self.peers.items():
            progress.awaiting_response = False
            self.send_to(peer, progress, at_least_one=True)

    def send_to(self, peer: str, progress: Progress, at_least_one: bool = False) -> None:
        """Send a member its next entries or snapshot chunk; with `at_least_one`, an empty message if none."""
        raft = self.raft
        if progress.state is SNAPSHOT or progress.next_index <= raft.log.base.index:
            raft.snapshot_sender.send_chunk(peer, progress, resend=at_least_one)
            return
        sent = self._stream(peer, progress)
        if progress.state is not REPLICATE and not progress.awaiting_response:
            progress.awaiting_response = sent = True
            self._send_entries(
                peer,
                progress,
                raft.log.slice(progress.next_index, min(PROBE_BYTES, raft.settings.max_message_bytes)),
            )
        if at_least_one and not sent:
            self._send_entries(peer, progress, [])

    def _stream(self, peer: str, progress: Progress) -> bool:
        """Pipeline entries up to the limit on inflight messages. Returns whether any were sent."""
        raft = self.raft
        sent = False
        while (
            progress.state is REPLICATE
            and len(progress.inflight) < raft.settings.max_inflight_messages
            and progress.next_index <= raft.log.last_index
        ):
            self._send_entries(
                peer, progress, raft.log.slice(progress.next_index, raft.settings.max_message_bytes)
            )
            sent = True
        return sent

    def _send_entries(self, peer: str, progress: Progress, entries: list[Entry]) -> None:
        raft = self.raft
        previous = progress.next_index - 1
        term = raft.log.term_at(previous)
        assert term is not None
        message = AppendEntries(
            raft.term, previous, term, raft.commit_index, raft.heartbeats.current_round, tuple(entries)
        )
        raft.send_immediately(peer, message)
        if entries and progress.state is REPLICATE:
            last = entries[-1].index
            progress.next_index = last + 1
            progress.inflight.append(last)

    # Responses

    def on_append_entries_response(
        self, now: float, sender: str, progress: Progress, response: AppendEntriesResponse
    ) -> None:
        """Handle a response, which reports a match up to an index or a mismatch."""
        progress.awaiting_response = False
        if response.success:
            self._on_match(now, sender, progress, response)
        else:
            self._on_mismatch(sender, progress, response)

    def _on_mismatch(self, sender: str, progress: Progress, response: AppendEntriesResponse) -> None:
        # Ignores a delayed rejection of entries that have since been sent again and appended.
        if response.prev_log_index <= progress.match_index or (
            progress.state is REPLICATE and response.prev_log_index >= progress.next_index
        ):
            return
        if progress.state is REPLICATE:
            progress.become_probe()
        hint = min(response.match_index, response.prev_log_index - 1)
        progress.next_index = (
            max(progress.match_index, self.raft.log.last_index_up_to_term(hint, response.hint_term)) + 1
        )
        self.send_to(sender, progress)

    def _on_match(self, now: float, sender: str, progress: Progress, response: AppendEntriesResponse) -> None:
        while progress.inflight and progress.inflight[0] <= response.match_index:
            progress.inflight.popleft()
        if progress.state is SNAPSHOT:
            progress.become_probe()
        if response.match_index >= progress.match_index:
            sent_up_to = progress.next_index if progress.state is REPLICATE else 0
            progress.become_replicate(response.match_index)
            progress.next_index = max(sent_up_to, progress.next_index)
        self.advance_commit(now)
        if self.raft.is_leader:
            self.send_to(sender, progress)
            self.raft.leadership_transfer.proceed()

    # Commit index

    def can_commit(self, index: int) -> bool:
        """Whether a majority of replicas commits the entry: only in the current term (Raft paper, 5.4.2)."""
        return self.raft.log.term_at(index) == self.raft.term

    def _stored_by_majority(self) -> int:
        """Returns the last index that a majority of voters has on disk."""
        raft, peers = self.raft, self.peers
        return majority_value(
            raft.stable_index
            if voter == raft.member_id
            else peers[voter].match_index
            if voter in peers
            else 0
            for voter in raft.configuration.voters
        )

    def advance_commit(self, now: float) -> None:
        """Commit the entries that a majority of voters stores, and notify members that have all entries."""
        raft = self.raft
        index = self._stored_by_majority()
        if index <= raft.commit_index or not self.can_commit(index):
            return
        first = raft.commit_index + 1
        raft.commit_index = index
        self.uncommitted_bytes -= sum(
            entry.size_bytes for entry in raft.log.slice(first, UNBOUNDED_BYTES, index)
        )
        for peer, progress in self.peers.items():
            if progress.state is REPLICATE and progress.next_index > raft.log.last_index:
                # sends the new commit index without waiting for the next heartbeat
                self._send_entries(peer, progress, [])
        if (
            raft.log.configuration_index <= raft.commit_index
            and raft.member_id not in raft.configuration.voters
        ):
            raft.become_follower(now, raft.term, "")  # this member's own removal is committed (thesis, 4.2.2)
