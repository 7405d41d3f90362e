"""Limits and periods of the observer protocol, with their defaults. Times are seconds, sizes bytes."""

from __future__ import annotations

from dataclasses import dataclass, replace

from gradegap.observer.messages import PART_BYTES

RENEWALS_PER_LEASE = 0.3  # of the lease's length between two Renews: two may be lost before the lease ends


@dataclass(frozen=True, slots=True)
class Limits:
    """What bounds a publisher and a subscriber; the same defaults are used by both."""

    # Leases
    renew_interval_s: float = 0.3  # between two Renews of a node; sent in Accepted
    max_clock_drift: float = 0.1  # the most by which one steady clock runs faster than another
    max_lease_s: float = 60.0  # a Heartbeat that grants more than this is not believed

    # A publisher
    max_subscribers: int = 4000
    max_snapshot_transfers: int = 32  # transfers under way at once
    subscribe_rate: float = 200.0  # new subscriptions a second
    subscribe_burst: int = 100
    max_retry_after_s: float = 10.0  # the longest wait that a BUSY gives
    subscriber_timeout_s: float = 10.0  # after which a node that sends nothing is closed
    write_stall_timeout_s: float = 10.0  # after which a node that reads nothing is closed
    disconnected_node_retention_s: float = 15.0  # for how long a lost node is still reported as behind
    snapshot_part_bytes: int = PART_BYTES  # of the changes in one part of a snapshot
    max_delta_bytes: int = 128 * 1024  # bytes of changes; a larger difference goes as a snapshot
    max_cached_deltas: int = 64  # kept for others that need the same one, between two changes
    subscriber_bytes_per_s: float = (
        3000.0  # what a node is sent a second; changes over it wait and are coalesced
    )
    subscriber_burst_bytes: int = 30_000
    max_delta_delay_s: float = 4.0  # the most that a change waits for the bucket
    max_pending_changes: int = 1024  # changes that the lease grants distinguish

    # A subscriber
    connect_timeout_s: float = 3.0  # to connect and be accepted
    publisher_timeout_s: float = 3.0  # without a message of the machine, after which the node goes to another
    stale_timeout_s: float = 6.0  # without a lease, after which the node goes to another machine
    acknowledge_delay_s: float = 0.02  # between applying a delta and acknowledging it
    backoff_base_s: float = 0.1
    backoff_cap_s: float = 5.0
    machine_avoidance_s: float = 30.0  # for how long a machine that failed is chosen only after the others
    jitter: float = 0.2  # of periods: each is drawn from (1 - jitter, 1) of its length
    max_snapshot_bytes: int = 32 * 1024 * 1024  # that a subscriber gathers before the last part

    def for_lease(self, lease_s: float) -> Limits:
        """The same limits with periods that fit the length of the cluster's leases."""
        renew_s = lease_s * RENEWALS_PER_LEASE
        return replace(
            self,
            renew_interval_s=renew_s,
            subscriber_timeout_s=max(self.subscriber_timeout_s, 10 * renew_s),
            publisher_timeout_s=max(self.publisher_timeout_s, 4 * renew_s),
            stale_timeout_s=max(self.stale_timeout_s, 2 * lease_s),
        )
