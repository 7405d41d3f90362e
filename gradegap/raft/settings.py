"""Timeouts and limits of the consensus core."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RaftSettings:
    """Timeouts and limits of a member, the same for all members of a cluster."""

    heartbeat_interval_s: float = 0.08
    election_timeout_s: float = 0.4  # a follower waits for a leader this long, and up to twice
    # How much faster one member's clock may run than another's, as a fraction: leases are shortened by it,
    # promises not to vote are not.
    max_clock_drift: float = 0.1
    max_message_bytes: int = 256 * 1024  # of entries in one message
    max_inflight_messages: int = 16  # with entries, on their way to one member
    max_uncommitted_bytes: int = 4 * 1024 * 1024  # of entries: above, proposals are rejected
    snapshot_chunk_bytes: int = 256 * 1024
