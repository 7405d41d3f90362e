"""A node's side of a subscription: its replica's revision, its lease, and which machine it is at.

No I/O and no clock. Outputs are to be carried out in their order: an `Apply` is always before the `Renew`
that acknowledges it.
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

NEVER = -1e18
FAR_FUTURE = 1e18
MIN_RENEW_INTERVAL_S, MAX_RENEW_INTERVAL_S = 0.05, 10.0  # whatever a machine sends
MAX_MISSED_RENEWALS = (
    4  # periods of renewal without a message that are not silence yet, where leases are long
)
MAX_UNANSWERED_RENEWALS = 64  # Renews without an answer that are remembered


@dataclass(frozen=True, slots=True)
class Connect:
    """Connect to this machine; `connected` or `disconnected` is expected in answer."""

    machine: MachineAddress


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Drop the connection, or the attempt. No `disconnected` is expected in answer."""

    code: CloseCode


@dataclass(frozen=True, slots=True)
class Send:
    """Send this message on the connection."""

    message: FromSubscriber


@dataclass(frozen=True, slots=True)
class Apply:
    """Take these changes over; `is_snapshot`: they are all keys, and what is not among them is deleted."""

    revision: int
    changes: tuple[Change, ...]
    is_snapshot: bool


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The node may decide by committed state from now on (`fresh`), or no more."""

    is_fresh: bool


Output = Connect | Disconnect | Send | Apply | LeaseChanged


class Phase(Enum):
    """How far the connection is; `PHASE_TRANSITIONS` says what may follow."""

    WAITING = "waiting"  # for the time of the next attempt
    CONNECTING = "connecting"
    SUBSCRIBING = "subscribing"  # Subscribe was sent
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
    """One node's subscription, over all connections of its process."""

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
        self.confirmed_at = NEVER  # when a machine last said that nothing up to a revision is left out
        self.lease_until = NEVER
        self.machine: MachineAddress | None = None
        self.phase = Phase.WAITING
        self.renew_interval_s = limits.renew_interval_s
        self.publisher_timeout_s = limits.publisher_timeout_s
        self.renewal_serial = 0
        self.unanswered_renewals: dict[int, float] = {}  # by serial, when
        self.snapshot_parts: list[SnapshotPart] = []
        self.snapshot_bytes = 0
        self.next_attempt_at = now
        self.next_renewal_at = FAR_FUTURE
        self.last_received_at = now
        self.stale_since = now
        self.stale_timeout_s = self._jittered(limits.stale_timeout_s)
        self.announced_fresh = False
        self.outputs: list[Output] = []

    # Called by the driver when something happened

    def connected(self, now: float) -> None:
        """The connection is established and both ends are proven."""
        if self.phase is not Phase.CONNECTING:
            return
        self._enter(Phase.SUBSCRIBING)
        self.last_received_at = now
        message = Subscribe(VERSION, self.node, self.instance, self.region, self.cluster, self.revision)
        self.outputs.append(Send(message))

    def disconnected(self, now: float, reason: str) -> None:
        """The connection, or the attempt, failed."""
        if self.phase in (Phase.CONNECTING, Phase.SUBSCRIBING, Phase.SUBSCRIBED):
            self.counts["disconnected"] += 1
            self._schedule_attempt(now, 0.0)

    def receive(self, now: float, message: FromPublisher) -> None:
        """A message of the machine."""
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
        """Do what is due by now."""
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
        """A planned stop: the lease is given up before the Leave is sent."""
        self.lease_until = NEVER
        self._announce_lease_change(now)
        if self.phase is Phase.SUBSCRIBED:
            self.outputs.append(Send(Leave()))
        if self.phase not in (Phase.WAITING, Phase.LEFT):
            self.outputs.append(Disconnect(CloseCode.LEAVING))
        self._enter(Phase.LEFT)

    # Called by the driver to learn what follows

    def deadline(self) -> float:
        """When `tick` is due next (steady time, s)."""
        lease_end = self.lease_until if self.announced_fresh else FAR_FUTURE
        match self.phase:
            case Phase.WAITING:
                return min(self.next_attempt_at, lease_end)
            case Phase.CONNECTING | Phase.SUBSCRIBING:
                return min(self.last_received_at + self.limits.connect_timeout_s, lease_end)
            case Phase.SUBSCRIBED:
                silent_at = self.last_received_at + self.publisher_timeout_s
                stale_at = FAR_FUTURE if self.announced_fresh else self.stale_since + self.stale_timeout_s
                return min(self.next_renewal_at, silent_at, stale_at, lease_end)
            case Phase.LEFT:
                return FAR_FUTURE

    def is_fresh(self, now: float) -> bool:
        """Whether a decision made now is by committed state."""
        return now < self.lease_until

    def age(self, now: float) -> float:
        """Seconds since a machine last confirmed what this node knows."""
        return now - self.confirmed_at

    def take(self) -> list[Output]:
        """What is to be done, in this order."""
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
        fits = message.version == VERSION and (not self.cluster or message.cluster == self.cluster)
        if self.phase is not Phase.SUBSCRIBING or not fits:
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
        least_wait = min(message.retry_after_s, 2 * self.limits.max_retry_after_s)
        if message.code is CloseCode.DUPLICATE:
            least_wait = self.limits.backoff_cap_s  # guards against two processes that displace each other
        self._schedule_attempt(now, least_wait, failed=message.code is not CloseCode.BUSY)

    def _disconnect(self, now: float, code: CloseCode) -> None:
        """End the connection for a fault that this side found."""
        self.counts[f"dropped_{code}"] += 1
        self.outputs.append(Disconnect(code))
        self._schedule_attempt(now, 0.0, failed=code is not CloseCode.GAP)

    def _schedule_attempt(self, now: float, least_wait: float, failed: bool = True) -> None:
        if failed and self.machine is not None:
            self.selection.failed(now, self.machine)
        self._enter(Phase.WAITING)
        self.unanswered_renewals.clear()
        self._discard_snapshot_parts()
        self.next_renewal_at = FAR_FUTURE
        self.next_attempt_at = now + max(least_wait, 0.0) + self.backoff.wait()

    # Changes

    def _receive_delta(self, now: float, delta: Delta) -> None:
        if self.snapshot_parts or delta.after > self.revision:
            self._disconnect(now, CloseCode.GAP)
            return
        if delta.revision <= self.revision:
            self.counts["old_deltas"] += 1
            return
        new = tuple(change for change in delta.changes if change.revision > self.revision)
        self._emit_apply(now, delta.revision, new, is_snapshot=False)

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
            items = tuple(item for gathered in self.snapshot_parts for item in gathered.items)
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
        """Request a longer lease; the same message acknowledges what was applied."""
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
            # Without a lease the machine itself may be cut off: it confirms nothing.
            self.confirmed_at = max(self.confirmed_at, sent_at)
            self.lease_until = max(self.lease_until, sent_at + lease_s * (1.0 - self.limits.max_clock_drift))
            self._announce_lease_change(now)

    def _announce_lease_change(self, now: float) -> None:
        fresh = self.is_fresh(now)
        if fresh == self.announced_fresh:
            return
        self.announced_fresh = fresh
        self.outputs.append(LeaseChanged(fresh))
        if fresh:
            self.backoff.reset()
            if self.machine is not None:
                self.selection.succeeded(self.machine)
        else:
            self.stale_since = now

    def _tick_subscribed(self, now: float) -> None:
        if now >= self.last_received_at + self.publisher_timeout_s:
            self._disconnect(now, CloseCode.SILENT)
        elif not self.announced_fresh and now >= self.stale_since + self.stale_timeout_s:
            self.counts["moved_stale"] += 1
            self._disconnect(now, CloseCode.SILENT)
        elif now >= self.next_renewal_at:
            self._renew(now)

    def _jittered(self, period: float) -> float:
        return period * (1.0 - self.limits.jitter * self.random.random())
