"""The follower's side of replication: appends entries from the leader to the log."""

from __future__ import annotations

from gradegap.raft.context import RaftContext
from gradegap.raft.entries import Entry
from gradegap.raft.errors import InvariantViolationError
from gradegap.raft.messages import AppendEntries, AppendEntriesResponse


class Follower:
    """Appends the leader's entries, or rejects them with a hint where the logs diverge (Raft paper, 5.3)."""

    def __init__(self, raft: RaftContext) -> None:
        self.raft = raft
        # The highest commit index received from a leader; the entries up to it may not be stored here yet.
        self.leader_commit = 0

    def on_append_entries(self, now: float, sender: str, request: AppendEntries) -> None:
        """Handle entries or a heartbeat from the leader."""
        raft, log = self.raft, self.raft.log
        previous, entries = request.prev_log_index, request.entries
        if previous < log.base.index:
            # Compacted entries are committed, so the leader has the same ones.
            entries = tuple(entry for entry in entries if entry.index > log.base.index)
            previous = log.base.index
        elif log.term_at(previous) != request.prev_log_term:
            self._reject_mismatch(sender, request)
            return
        self._append(entries)
        self.leader_commit = max(self.leader_commit, request.leader_commit)
        match_index = previous + len(entries)
        raft.commit_index = max(raft.commit_index, min(request.leader_commit, match_index))
        raft.send(
            sender,
            AppendEntriesResponse(
                raft.term, True, match_index, request.prev_log_index, request.heartbeat_round
            ),
        )

    def _reject_mismatch(self, sender: str, request: AppendEntries) -> None:
        raft = self.raft
        index, term = raft.log.find_conflict_hint(request.prev_log_index)
        raft.send(
            sender,
            AppendEntriesResponse(
                raft.term, False, index, request.prev_log_index, request.heartbeat_round, term
            ),
        )

    def _append(self, entries: tuple[Entry, ...]) -> None:
        """Append missing entries. An entry of a different term is replaced, and all after it are dropped."""
        raft, log = self.raft, self.raft.log
        for entry in entries:
            known_term = log.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                self._truncate(entry.index)
            raft.append_entry(entry)

    def _truncate(self, index: int) -> None:
        raft = self.raft
        if index <= raft.commit_index:
            raise InvariantViolationError(f"log entry {index} is committed and must not be replaced")
        raft.log.truncate(index)
        raft.pending.entries = [entry for entry in raft.pending.entries if entry.index < index]
        raft.stable_index = min(raft.stable_index, index - 1)
