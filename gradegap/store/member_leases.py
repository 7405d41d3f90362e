"""Leases at a member: those that it grants while it leads, and the one that it holds itself."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from typing import Protocol

from gradegap.metrics import Metrics
from gradegap.raft import NEVER, Raft
from gradegap.store import wire
from gradegap.store.leases import LeaseGranter, LeaseHolder
from gradegap.store.machine import StateMachine
from gradegap.store.settings import StoreSettings
from gradegap.store.storage import Identity
from gradegap.store.subscriptions import SubscriptionServer

REQUEST_PERIOD_S = 0.1  # lower limit on the time between two lease requests


class LeaseHost(Protocol):
    """The member, as its leases use it."""

    metrics: Metrics
    settings: StoreSettings
    machine: StateMachine
    raft: Raft | None

    @property
    def removed(self) -> bool:
        """Whether the member has left the cluster: it was removed, or its data folder failed."""

    @property
    def identity(self) -> Identity:
        """The member id and the cluster of the member."""

    def send_to_leader(self, message: wire.LinkMessage) -> bool:
        """Send a message to the leader. Returns whether it was sent."""


class MemberLeases:
    """Grants leases while the member leads, and maintains the member's own lease.

    `changed` is called whenever the state of the member's own lease may have changed.
    """

    def __init__(self, host: LeaseHost, max_clock_drift: float) -> None:
        self.host = host
        self.max_clock_drift = max_clock_drift
        self.granter: LeaseGranter | None = None  # set while the member leads
        self.holder = LeaseHolder(self._holder_name(), max_clock_drift)
        self.is_needed = False  # whether this process makes decisions that require a lease
        self.changed: Callable[[], None] = lambda: None
        self.subscription_server: SubscriptionServer | None = None

    def _holder_name(self) -> str:
        """Returns the holder name of this member's lease.

        A member that serves subscriptions uses a new name for each start of the process. Nodes may still
        decide under the lease of the previous process, which must stay in effect until it expires.
        """
        name = f"{self.host.settings.name}.{self.host.identity.id[:6]}"
        return f"{name}.{secrets.token_hex(4)}" if self.host.settings.publish else name

    # As the leader

    def leadership_gained(self, now: float) -> None:
        """Start to grant leases, without a record of those that earlier leaders granted."""
        self.granter = LeaseGranter(now, self.max_clock_drift, self.host.settings.lease_s)

    def leadership_lost(self) -> None:
        """Stop granting leases."""
        self.granter = None

    def grant(self, request: wire.LeaseRequest) -> wire.LeaseGrant:
        """Respond to a lease request; the duration is 0 unless no other member can be the leader."""
        raft, now = self.host.raft, time.monotonic()
        if raft is None or self.granter is None or self.host.removed:
            return wire.LeaseGrant(request.holder, request.serial, 0, 0, 0.0)
        lease_until = raft.lease_until(now) if not raft.transferee else NEVER
        duration_s = self.granter.grant(now, request.holder, request.applied, lease_until)
        self.host.metrics.count("store_leases_given" if duration_s else "store_leases_refused")
        return wire.LeaseGrant(request.holder, request.serial, raft.term, raft.commit_index, duration_s)

    def holder_applied(self, holder: str, index: int) -> None:
        """Record that a lease holder has applied the log up to `index`."""
        if self.granter is not None:
            self.granter.holder_applied(holder, index)
            self.granter.expire(time.monotonic())

    def tick(self, now: float) -> None:
        """Drop expired leases, and respond to writes that waited only for the holders of these leases."""
        if self.granter is not None:
            self.granter.expire(now)

    # This member's own lease

    def is_fresh(self) -> bool:
        """Whether the lease is valid, so that decisions are based on up-to-date committed state."""
        return self.holder.is_fresh(time.monotonic())

    def renew(self, now: float) -> None:
        """Request an extension of the lease ahead of its expiry, if a lease is needed."""
        if not self.is_needed:
            return
        if self.holder.should_renew(now, self.host.settings.lease_s):
            last_request_at = max(self.holder.requested_at.values(), default=NEVER)
            if now - last_request_at >= REQUEST_PERIOD_S:
                self._request(now)
        self.changed()

    def _request(self, now: float) -> None:
        request = wire.LeaseRequest(self.holder.name, self.holder.begin_request(now), self.safe_index())
        if self.host.raft is not None and self.host.raft.is_leader:
            self.granted(self.grant(request))
        else:
            self.host.send_to_leader(request)

    def granted(self, grant: wire.LeaseGrant) -> None:
        """Handle the leader's response to a lease request."""
        now, applied = time.monotonic(), self.host.machine.index
        self.holder.granted(now, grant.serial, grant.term, grant.index, grant.duration_s, applied)
        if self.subscription_server is not None:
            self.subscription_server.lease(self.holder.until)
        self.changed()

    def index_applied(self, index: int) -> None:
        """Record that this member has applied the log up to `index`."""
        self.holder.applied(index)

    def safe_index(self) -> int:
        """Returns the index that this member and every node that may decide under its lease have applied."""
        if self.subscription_server is None:
            return self.host.machine.index
        return self.subscription_server.safe_index()

    def report_applied(self) -> None:
        """Report the applied index to the leader, which acknowledges writes that all holders have applied."""
        now, raft = time.monotonic(), self.host.raft
        if not self.is_needed or self.holder.until <= now or raft is None:
            return
        if raft.is_leader and self.granter is not None:
            self.granter.holder_applied(self.holder.name, self.safe_index())
            self.granter.expire(now)
        else:
            self.host.send_to_leader(wire.LeaseApplied(self.holder.name, self.safe_index()))
