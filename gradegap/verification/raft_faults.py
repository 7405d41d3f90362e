"""Fault probabilities of a run of the simulator, and the small Raft limits that it uses."""

from __future__ import annotations

from dataclasses import dataclass

from gradegap.raft import RaftSettings

TICK_S = 0.02  # longest interval between two ticks of a member, in virtual time

# Small, so that entries and snapshots are split into several messages.
SMALL_LIMITS = RaftSettings(max_message_bytes=60, max_inflight_messages=4, snapshot_chunk_bytes=5)


@dataclass(slots=True, frozen=True)
class Faults:
    """Probabilities of faults: per second for the whole cluster, or for each message or write."""

    crash: float = 0.8
    pause: float = 0.6
    partition: float = 0.8  # of one link or one member, in one direction or both, or of the cluster in halves
    membership_change: float = 0.5
    transfer: float = 0.3  # of leadership
    compact: float = 0.5
    drop: float = 0.02  # of a message
    duplicate: float = 0.02  # of a message
    delay: float = 0.03  # of a message
    mean_delay_s: float = 0.3  # additional delay of a delayed message
    slow_sync: float = 0.05  # of a write to disk that takes ten times as long
    proposals_per_s: float = 20.0
    restart_delays_s: tuple[float, ...] = (0.0, 0.05, 0.5, 2.0)  # one is drawn for each crash
    has_clock_drift: bool = True  # whether clocks run at different rates


# In this profile clocks still drift, some writes to disk are still slow, and proposals continue.
NO_FAULTS = Faults(
    crash=0.0,
    pause=0.0,
    partition=0.0,
    membership_change=0.0,
    transfer=0.0,
    compact=0.0,
    drop=0.0,
    duplicate=0.0,
    delay=0.0,
)
