"""Fault probabilities of a run of the observer model, and the small limits that it uses."""

from __future__ import annotations

from dataclasses import dataclass

from gradegap.observer.limits import Limits

TICK_S = 0.02  # longest interval between two ticks of a process, in virtual time
MACHINE_LEASE_S = 1.0  # lease that the leader grants to a machine
MAX_CLOCK_DRIFT = 0.1  # largest difference between the rates of two clocks, as a fraction
NEVER = -1e18  # time of an event that has not happened: earlier than all times of a run

# Small, so that runs include split transfers, rejections and waits.
LIMITS = Limits(
    renew_interval_s=0.3 * MACHINE_LEASE_S,
    max_clock_drift=MAX_CLOCK_DRIFT,
    max_snapshot_transfers=2,
    subscribe_rate=20.0,
    subscribe_burst=3,
    max_retry_after_s=1.0,
    subscriber_timeout_s=2.0,
    write_stall_timeout_s=1.5,
    disconnected_node_retention_s=3.0,
    snapshot_part_bytes=120,
    max_delta_bytes=250,
    max_pending_changes=4,
    max_cached_deltas=2,
    subscriber_bytes_per_s=600.0,
    subscriber_burst_bytes=300,
    max_delta_delay_s=1.0,
    connect_timeout_s=0.5,
    publisher_timeout_s=1.0,
    stale_timeout_s=1.5,
    backoff_cap_s=1.0,
    machine_avoidance_s=2.0,
)


@dataclass(frozen=True, slots=True)
class Faults:
    """Probabilities of faults: per second for the whole cluster, or for each message or connection."""

    crash_node: float = 0.6
    crash_machine: float = 0.3
    pause: float = 0.8
    reset: float = 1.0  # of one connection
    partition: float = 0.4  # of a machine: either from the leader and the log, or from nodes
    leader_change: float = 0.15
    compact: float = 0.5
    install: float = 0.2  # of a snapshot on a machine that lags behind
    duplicate_node: float = 0.1  # start of a second process with the name of a node
    leave: float = 0.2  # planned stop of a node
    duplicate: float = 0.02  # of a message, immediately or later
    drop: float = 0.02  # of a message between machine and leader
    slow: float = 0.2  # of a connection: its node reads slowly
    writes_per_s: float = 12.0
    has_clock_drift: bool = True  # whether clocks run at different rates


NO_FAULTS = Faults(
    crash_node=0.0,
    crash_machine=0.0,
    pause=0.0,
    reset=0.0,
    partition=0.0,
    leader_change=0.0,
    compact=0.0,
    install=0.0,
    duplicate_node=0.0,
    leave=0.0,
    duplicate=0.0,
    drop=0.0,
    slow=0.0,
    writes_per_s=2.0,
)
