"""Limits and periods of the observer protocol, with their defaults. Times are seconds, sizes bytes."""

from __future__ import annotations

from dataclasses import dataclass, replace

from gradegap.observer.messages import PART_BYTES

# Ratio of the interval between two Renews to the length of a lease: two Renews may be lost before it expires.
RENEW_INTERVAL_RATIO = 0.3


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a publisher and of a subscriber; both sides use the same defaults."""

    # Leases
    renew_interval_s: float = 0.3  # interval between two Renews of a node; sent in Accepted
    max_clock_drift: float = 0.1  # ratio by which one steady clock may run faster than another
    max_lease_s: float = 60.0  # a longer lease in a Heartbeat is cut to this length

    # A publisher
    max_subscribers: int = 4000
    max_snapshot_transfers: int = 32  # limit on concurrent snapshot transfers to subscribers
    subscribe_rate: float = 200.0  # limit on new subscriptions per second
    subscribe_burst: int = 100  # new subscriptions that may be accepted at once
    max_retry_after_s: float = 10.0  # longest wait in a BUSY rejection, before jitter
    subscriber_timeout_s: float = 10.0  # a node that sends nothing for this time is disconnected
    write_stall_timeout_s: float = 10.0  # a node that reads nothing for this time is disconnected
    # a disconnected node that lacks changes is reported as missing for this time
    disconnected_node_retention_s: float = 15.0
    snapshot_part_bytes: int = PART_BYTES  # target size of the changes in one part of a snapshot
    max_delta_bytes: int = 128 * 1024  # if the missing changes are larger, a snapshot is sent instead
    max_cached_deltas: int = 64  # deltas cached until the next change, for other nodes that need the same one
    # Send rate limit for one node; changes above it are delayed and coalesced.
    subscriber_bytes_per_s: float = 3000.0
    subscriber_burst_bytes: int = 30_000
    max_delta_delay_s: float = 4.0  # longest time that a change waits for the byte budget
    # limit on changes tracked separately for lease grants; further ones are merged
    max_pending_changes: int = 1024

    # A subscriber
    connect_timeout_s: float = 3.0  # limits each of two steps: connecting, and the answer to Subscribe
    publisher_timeout_s: float = 3.0  # without a message for this time, the node tries another machine
    stale_timeout_s: float = 6.0  # without a lease for this time, the node tries another machine
    acknowledge_delay_s: float = 0.02  # delay between applying a delta and acknowledging it
    backoff_base_s: float = 0.1
    backoff_cap_s: float = 5.0
    machine_avoidance_s: float = 30.0  # a machine that failed is chosen last for this time
    jitter: float = 0.2  # each period is drawn from (1 - jitter, 1) times its length
    max_snapshot_bytes: int = 32 * 1024 * 1024  # a larger incomplete snapshot is rejected by the subscriber

    def for_lease(self, lease_s: float) -> Limits:
        """Returns these limits with periods that fit the length (s) of the cluster's leases."""
        interval_s = lease_s * RENEW_INTERVAL_RATIO
        return replace(
            self,
            renew_interval_s=interval_s,
            subscriber_timeout_s=max(self.subscriber_timeout_s, 10 * interval_s),
            publisher_timeout_s=max(self.publisher_timeout_s, 4 * interval_s),
            stale_timeout_s=max(self.stale_timeout_s, 2 * lease_s),
        )
