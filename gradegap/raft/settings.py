"""Settings of the consensus core."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RaftSettings:
    """Timeouts and limits, which must be the same at all members of a cluster."""

    heartbeat_interval_s: float = 0.08
    # A follower starts an election after one to two times this long without contact with a leader.
    election_timeout_s: float = 0.4
    # How much faster one member's clock may run than another's, as a ratio. The leader's lease is shortened
    # by this ratio; the time during which followers grant no votes is not.
    max_clock_drift: float = 0.1
    max_message_bytes: int = 256 * 1024  # limit on the total size of the entries in one message
    max_inflight_messages: int = 16  # limit on unacknowledged messages with entries to one member
    # size limit on uncommitted entries; proposals that would exceed it are rejected
    max_uncommitted_bytes: int = 4 * 1024 * 1024
    snapshot_chunk_bytes: int = 256 * 1024
