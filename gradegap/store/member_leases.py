"""Leases at a member: those that it grants while it leads, and its own, by which its node decides."""

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

REQUEST_PERIOD_S = 0.1  # between two requests for a lease, at the least


class LeaseHost(Protocol):
    """The member whose leases these are."""

    metrics: Metrics
    settings: StoreSettings
    machine: StateMachine
    raft: Raft | None

    @property
    def removed(self) -> bool:
        """Whether the member takes no part any more: it was removed, or its folder failed."""

    @property
    def identity(self) -> Identity:
        """Who the member is."""

    def send_to_leader(self, message: wire.LinkMessage) -> bool:
        """Whether the message was sent to the leader."""


class MemberLeases:
    """Grants leases where the member leads, and keeps its own; `changed` is called where it may differ."""

    def __init__(self, host: LeaseHost, max_clock_drift: float) -> None:
        self.host = host
        self.max_clock_drift = max_clock_drift
        self.granter: LeaseGranter | None = None  # while the member leads
        self.holder = LeaseHolder(self._holder_name(), max_clock_drift)
        self.wanted = False  # whether something here decides by a lease
        self.changed: Callable[[], None] = lambda: None
        self.subscription_server: SubscriptionServer | None = None

    def _holder_name(self) -> str:
        """Who holds this member's lease.

        With subscriptions each start of the process is another holder: the leases that nodes were granted
        under the one before count until that one ends.
        """
        name = f"{self.host.settings.name}.{self.host.identity.id[:6]}"
        return f"{name}.{secrets.token_hex(4)}" if self.host.settings.publish else name

    # As the leader

    def leadership_gained(self, now: float) -> None:
        """This member leads: it begins with no record of leases that an earlier leader granted."""
        self.granter = LeaseGranter(now, self.max_clock_drift, self.host.settings.lease_s)

    def leadership_lost(self) -> None:
        """This member leads no more."""
        self.granter = None

    def grant(self, request: wire.LeaseRequest) -> wire.LeaseGrant:
        """A lease for a node, where this member leads for certain; else one of no length."""
        raft, now = self.host.raft, time.monotonic()
        if raft is None or self.granter is None or self.host.removed:
            return wire.LeaseGrant(request.holder, request.serial, 0, 0, 0.0)
        lease_until = raft.lease_until(now) if not raft.transferee else NEVER
        duration_s = self.granter.grant(now, request.holder, request.applied, lease_until)
        self.host.metrics.count("store_leases_given" if duration_s else "store_leases_refused")
        return wire.LeaseGrant(request.holder, request.serial, raft.term, raft.commit_index, duration_s)

    def holder_applied(self, holder: str, index: int) -> None:
        """A lease holder has applied the log up to `index`."""
        if self.granter is not None:
            self.granter.holder_applied(holder, index)
            self.granter.expire(time.monotonic())

    def tick(self, now: float) -> None:
        """Respond to writes whose last lease holders are done by `now`, or whose leases ran out."""
        if self.granter is not None:
            self.granter.expire(now)

    # This member's own lease

    def is_fresh(self) -> bool:
        """Whether a decision made now is by committed state."""
        return self.holder.is_fresh(time.monotonic())

    def renew(self, now: float) -> None:
        """Request a longer lease in time, where one is wanted."""
        if not self.wanted:
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
        """The leader's answer to a request."""
        now, applied = time.monotonic(), self.host.machine.index
        self.holder.granted(now, grant.serial, grant.term, grant.index, grant.duration_s, applied)
        if self.subscription_server is not None:
            self.subscription_server.lease(self.holder.until)
        self.changed()

    def index_applied(self, index: int) -> None:
        """This member has applied the log up to `index`."""
        self.holder.applied(index)

    def safe_index(self) -> int:
        """What this member, and every node that may decide by it, has applied."""
        if self.subscription_server is None:
            return self.host.machine.index
        return self.subscription_server.safe_index()

    def report_applied(self) -> None:
        """Report to the leader, so that a write that nodes decide by can be acknowledged."""
        now, raft = time.monotonic(), self.host.raft
        if not self.wanted or self.holder.until <= now or raft is None:
            return
        if raft.is_leader and self.granter is not None:
            self.granter.holder_applied(self.holder.name, self.safe_index())
            self.granter.expire(now)
        else:
            self.host.send_to_leader(wire.LeaseApplied(self.holder.name, self.safe_index()))
