"""A node's side of a subscription: the revision of its replica, its lease and its control machine.

No I/O and no clock. Outputs must be executed in their order: an `Apply` always precedes the `Renew` that
acknowledges it.
"""

from __future__ import annotations

import random as random_module
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from gradegap.observer.changes import encoded_size
from gradegap.observer.limits import Limits
from gradegap.observer.messages import (
    VERSION,
    Accepted,
    Change,
    CloseCode,
    Delta,
    FromPublisher,
    FromSubscriber,
    Heartbeat,
    Leave,
    Rejected,
    Renew,
    SnapshotPart,
    Subscribe,
)
from gradegap.observer.selection import Backoff, MachineAddress, Selection

NEVER = -1e18  # a time (s) earlier than any reading of the monotonic clock
FAR_FUTURE = 1e18  # a time (s) later than any reading of the monotonic clock
MIN_RENEW_INTERVAL_S, MAX_RENEW_INTERVAL_S = 0.05, 10.0  # bounds of the interval that a machine may set
# Number of Renew intervals without a message after which a machine counts as silent, if that is longer than
# `publisher_timeout_s`: with long leases the intervals are long too.
MAX_MISSED_RENEWALS = 4
MAX_UNANSWERED_RENEWALS = 64  # limit on remembered unanswered Renews; above it the oldest is forgotten


@dataclass(frozen=True, slots=True)
class Connect:
    """Connect to this machine; the driver then calls `connected` or `disconnected`."""

    machine: MachineAddress


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection or cancel the attempt; the driver doesn't call `disconnected` for it."""

    code: CloseCode


@dataclass(frozen=True, slots=True)
class Send:
    """Send this message on the connection."""

    message: FromSubscriber


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply these changes. A snapshot has all subscribed keys: keys that are not in it are deleted."""

    revision: int
    changes: tuple[Change, ...]
    is_snapshot: bool


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The node may decide by committed state from now on (`is_fresh`), or may no longer do so."""

    is_fresh: bool


Output = Connect | Disconnect | Send | Apply | LeaseChanged


class Phase(Enum):
    """The phase of the connection; `PHASE_TRANSITIONS` has the allowed transitions."""

    WAITING = "waiting"  # waits until the time of the next connection attempt
    CONNECTING = "connecting"
    SUBSCRIBING = "subscribing"  # Subscribe was sent and is not answered yet
    SUBSCRIBED = "subscribed"
    LEFT = "left"


PHASE_TRANSITIONS: dict[Phase, frozenset[Phase]] = {
    Phase.WAITING: frozenset({Phase.CONNECTING, Phase.LEFT}),
    Phase.CONNECTING: frozenset({Phase.SUBSCRIBING, Phase.WAITING, Phase.LEFT}),
    Phase.SUBSCRIBING: frozenset({Phase.SUBSCRIBED, Phase.WAITING, Phase.LEFT}),
    Phase.SUBSCRIBED: frozenset({Phase.WAITING, Phase.LEFT}),
    Phase.LEFT: frozenset({Phase.LEFT}),
}


class Subscriber:
    """One node's subscription, across all connections of its process."""

    def __init__(
        self,
        node: str,
        instance: str,
        region: str,
        machines: Sequence[MachineAddress],
        limits: Limits,
        now: float,
        random: random_module.Random,
    ) -> None:
        self.node, self.instance, self.region = node, instance, region
        self.limits, self.random = limits, random
        self.selection = Selection(node, region, machines, limits)
        self.backoff = Backoff(limits, random)
        self.counts: Counter[str] = Counter()
        self.cluster = ""
        self.revision = 0
        # Send time of the last Renew whose answer confirmed that this node has all changes up to `revision`.
        self.confirmed_at = NEVER
        self.lease_until = NEVER
        self.machine: MachineAddress | None = None
        self.phase = Phase.WAITING
        self.renew_interval_s = limits.renew_interval_s
        self.publisher_timeout_s = limits.publisher_timeout_s
        self.renewal_serial = 0
        # send times (s) of unanswered Renews, by serial number
        self.unanswered_renewals: dict[int, float] = {}
        self.snapshot_parts: list[SnapshotPart] = []
        self.snapshot_bytes = 0
        self.next_attempt_at = now
        self.next_renewal_at = FAR_FUTURE
        self.last_received_at = now
        self.stale_since = now
        self.stale_timeout_s = self._jittered(limits.stale_timeout_s)
        self.is_announced_fresh = False  # `is_fresh` of the last `LeaseChanged`
        self.outputs: list[Output] = []

    # Events, reported by the driver

    def connected(self, now: float) -> None:
        """Subscribe: the connection is established and both ends are authenticated."""
        if self.phase is not Phase.CONNECTING:
            return
        self._enter(Phase.SUBSCRIBING)
        self.last_received_at = now
        message = Subscribe(VERSION, self.node, self.instance, self.region, self.cluster, self.revision)
        self.outputs.append(Send(message))

    def disconnected(self, now: float, reason: str) -> None:
        """Schedule the next attempt: the connection, or the attempt, has failed."""
        if self.phase in (Phase.CONNECTING, Phase.SUBSCRIBING, Phase.SUBSCRIBED):
            self.counts["disconnected"] += 1
            self._schedule_attempt(now, 0.0)

    def receive(self, now: float, message: FromPublisher) -> None:
        """Handle a message from the control machine."""
        if self.phase not in (Phase.SUBSCRIBING, Phase.SUBSCRIBED):
            return
        self.last_received_at = now
        match message:
            case Accepted():
                self._receive_accepted(now, message)
            case Rejected():
                self._receive_rejected(now, message)
            case _ if self.phase is Phase.SUBSCRIBING:
                self._disconnect(now, CloseCode.GARBLED)
            case Delta():
                self._receive_delta(now, message)
            case SnapshotPart():
                self._receive_snapshot_part(now, message)
            case Heartbeat():
                self._receive_heartbeat(now, message)

    def tick(self, now: float) -> None:
        """Process timers that are due."""
        self._announce_lease_change(now)
        match self.phase:
            case Phase.WAITING if now >= self.next_attempt_at:
                self._connect(now)
            case Phase.CONNECTING | Phase.SUBSCRIBING if (
                now >= self.last_received_at + self.limits.connect_timeout_s
            ):
                self._disconnect(now, CloseCode.SILENT)
            case Phase.SUBSCRIBED:
                self._tick_subscribed(now)

    def leave(self, now: float) -> None:
        """Stop as planned: give up the lease, then send a Leave."""
        self.lease_until = NEVER
        self._announce_lease_change(now)
        if self.phase is Phase.SUBSCRIBED:
            self.outputs.append(Send(Leave()))
        if self.phase not in (Phase.WAITING, Phase.LEFT):
            self.outputs.append(Disconnect(CloseCode.LEAVING))
        self._enter(Phase.LEFT)

    # State, queried by the driver

    def deadline(self) -> float:
        """Returns the time (s) at which `tick` is due next."""
        lease_expiry = self.lease_until if self.is_announced_fresh else FAR_FUTURE
        match self.phase:
            case Phase.WAITING:
                return min(self.next_attempt_at, lease_expiry)
            case Phase.CONNECTING | Phase.SUBSCRIBING:
                return min(self.last_received_at + self.limits.connect_timeout_s, lease_expiry)
            case Phase.SUBSCRIBED:
                silent_at = self.last_received_at + self.publisher_timeout_s
                stale_at = FAR_FUTURE if self.is_announced_fresh else self.stale_since + self.stale_timeout_s
                return min(self.next_renewal_at, silent_at, stale_at, lease_expiry)
            case Phase.LEFT:
                return FAR_FUTURE

    def is_fresh(self, now: float) -> bool:
        """Whether the lease is valid, so that decisions are based on up-to-date committed state."""
        return now < self.lease_until

    def age(self, now: float) -> float:
        """Returns the time (s) since a machine last confirmed that this node has all changes."""
        return now - self.confirmed_at

    def take(self) -> list[Output]:
        """Returns the outputs, to be executed in order."""
        outputs, self.outputs = self.outputs, []
        return outputs

    # The connection

    def _enter(self, phase: Phase) -> None:
        assert phase in PHASE_TRANSITIONS[self.phase], f"{self.phase} to {phase}"
        self.phase = phase

    def _connect(self, now: float) -> None:
        self.machine = self.selection.pick(now)
        self._enter(Phase.CONNECTING)
        self.last_received_at = now
        self.counts["attempts"] += 1
        self.outputs.append(Connect(self.machine))

    def _receive_accepted(self, now: float, message: Accepted) -> None:
        is_compatible = message.version == VERSION and (not self.cluster or message.cluster == self.cluster)
        if self.phase is not Phase.SUBSCRIBING or not is_compatible:
            self._disconnect(now, CloseCode.GARBLED if message.version == VERSION else CloseCode.VERSION)
            return
        self.cluster = message.cluster
        self._enter(Phase.SUBSCRIBED)
        self.renew_interval_s = min(max(message.renew_s, MIN_RENEW_INTERVAL_S), MAX_RENEW_INTERVAL_S)
        self.publisher_timeout_s = max(
            self.limits.publisher_timeout_s, MAX_MISSED_RENEWALS * self.renew_interval_s
        )
        self.stale_since = max(self.stale_since, now)
        self.stale_timeout_s = self._jittered(self.limits.stale_timeout_s)
        self._renew(now)

    def _receive_rejected(self, now: float, message: Rejected) -> None:
        self.counts[f"rejected_{message.code}"] += 1
        self.outputs.append(Disconnect(message.code))
        min_wait_s = min(message.retry_after_s, 2 * self.limits.max_retry_after_s)
        if message.code is CloseCode.DUPLICATE:
            # Guards against two processes that keep displacing each other.
            min_wait_s = self.limits.backoff_cap_s
        self._schedule_attempt(now, min_wait_s, machine_failed=message.code is not CloseCode.BUSY)

    def _disconnect(self, now: float, code: CloseCode) -> None:
        """Close the connection because of a fault that this side has detected."""
        self.counts[f"dropped_{code}"] += 1
        self.outputs.append(Disconnect(code))
        self._schedule_attempt(now, 0.0, machine_failed=code is not CloseCode.GAP)

    def _schedule_attempt(self, now: float, min_wait_s: float, machine_failed: bool = True) -> None:
        if machine_failed and self.machine is not None:
            self.selection.failed(now, self.machine)
        self._enter(Phase.WAITING)
        self.unanswered_renewals.clear()
        self._discard_snapshot_parts()
        self.next_renewal_at = FAR_FUTURE
        self.next_attempt_at = now + max(min_wait_s, 0.0) + self.backoff.wait()

    # Changes

    def _receive_delta(self, now: float, delta: Delta) -> None:
        if self.snapshot_parts or delta.after > self.revision:
            self._disconnect(now, CloseCode.GAP)
            return
        if delta.revision <= self.revision:
            self.counts["old_deltas"] += 1
            return
        new_changes = tuple(change for change in delta.changes if change.revision > self.revision)
        self._emit_apply(now, delta.revision, new_changes, is_snapshot=False)

    def _receive_snapshot_part(self, now: float, part: SnapshotPart) -> None:
        if part.revision < self.revision:
            self._disconnect(now, CloseCode.BACKWARDS)
            return
        if part.part != len(self.snapshot_parts) or (
            self.snapshot_parts and part.revision != self.snapshot_parts[0].revision
        ):
            self._disconnect(now, CloseCode.GAP)
            return
        self.snapshot_parts.append(part)
        self.snapshot_bytes += encoded_size(part.items)
        if self.snapshot_bytes > self.limits.max_snapshot_bytes:
            self._disconnect(now, CloseCode.GARBLED)
        elif part.last:
            items = tuple(item for snapshot_part in self.snapshot_parts for item in snapshot_part.items)
            self._discard_snapshot_parts()
            self._emit_apply(now, part.revision, items, is_snapshot=True)

    def _discard_snapshot_parts(self) -> None:
        self.snapshot_parts, self.snapshot_bytes = [], 0

    def _emit_apply(self, now: float, revision: int, changes: tuple[Change, ...], is_snapshot: bool) -> None:
        self.revision = revision
        self.counts["snapshots_applied" if is_snapshot else "deltas_applied"] += 1
        self.outputs.append(Apply(revision, changes, is_snapshot))
        self.next_renewal_at = min(self.next_renewal_at, now + self.limits.acknowledge_delay_s)

    # The lease

    def _renew(self, now: float) -> None:
        """Request an extension of the lease; the same message acknowledges the applied changes."""
        self.renewal_serial += 1
        self.unanswered_renewals[self.renewal_serial] = now
        if len(self.unanswered_renewals) > MAX_UNANSWERED_RENEWALS:
            del self.unanswered_renewals[next(iter(self.unanswered_renewals))]
        self.next_renewal_at = now + self._jittered(self.renew_interval_s)
        self.outputs.append(Send(Renew(self.renewal_serial, self.revision)))

    def _receive_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        sent_at = self.unanswered_renewals.pop(heartbeat.serial, None)
        if sent_at is None:
            self.counts["unasked_heartbeats"] += 1
            return
        if not self.snapshot_parts and heartbeat.revision >= self.revision:
            self.revision = heartbeat.revision
        lease_s = min(heartbeat.lease_s, self.limits.max_lease_s)
        if lease_s > 0.0:
            # A machine that grants no lease may be partitioned from the quorum, so it confirms nothing.
            self.confirmed_at = max(self.confirmed_at, sent_at)
            self.lease_until = max(self.lease_until, sent_at + lease_s * (1.0 - self.limits.max_clock_drift))
            self._announce_lease_change(now)

    def _announce_lease_change(self, now: float) -> None:
        is_fresh = self.is_fresh(now)
        if is_fresh == self.is_announced_fresh:
            return
        self.is_announced_fresh = is_fresh
        self.outputs.append(LeaseChanged(is_fresh))
        if is_fresh:
            self.backoff.reset()
            if self.machine is not None:
                self.selection.succeeded(self.machine)
        else:
            self.stale_since = now

    def _tick_subscribed(self, now: float) -> None:
        if now >= self.last_received_at + self.publisher_timeout_s:
            self._disconnect(now, CloseCode.SILENT)
        elif not self.is_announced_fresh and now >= self.stale_since + self.stale_timeout_s:
            self.counts["moved_stale"] += 1
            self._disconnect(now, CloseCode.SILENT)
        elif now >= self.next_renewal_at:
            self._renew(now)

    def _jittered(self, period: float) -> float:
        return period * (1.0 - self.limits.jitter * self.random.random())
