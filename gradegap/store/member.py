"""A member of the store, which drives the consensus core with a clock, a disk and links.

State from the core is synced to disk before the messages that depend on it are sent. Disk I/O runs in one
separate thread.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from enum import Enum, auto
from pathlib import Path
from typing import Any

import structlog

from gradegap.metrics import Metrics
from gradegap.raft import Member, Message, Raft, RaftSettings, RequestRejectedError, SnapshotMetadata
from gradegap.store import wire
from gradegap.store.consensus import ConsensusDriver
from gradegap.store.errors import FolderError
from gradegap.store.in_force import MachineReport
from gradegap.store.leases import LeaseGranter, LeaseHolder
from gradegap.store.links import Link, MemberLinks
from gradegap.store.log_writer import LogWriter
from gradegap.store.machine import StateMachine
from gradegap.store.member_leases import MemberLeases
from gradegap.store.membership import Membership
from gradegap.store.message_router import MessageRouter
from gradegap.store.records import Command, Expire
from gradegap.store.service import RequestService
from gradegap.store.settings import StoreSettings
from gradegap.store.storage import MemberStorage
from gradegap.store.subscriptions import SubscriptionServer, SubscriptionServerFactory

log = structlog.get_logger()

TICK_PERIOD_S = 0.05  # upper limit on the time between two ticks
MIN_TICK_PERIOD_S = 0.001  # lower limit on the time between two ticks


class MemberState(Enum):
    """The lifecycle of a member; CLOSED is final."""

    FORMING = auto()  # belongs to no cluster yet
    ACTIVE = auto()
    REMOVED = auto()  # removed from its cluster
    FAILED = auto()  # the member's data folder can't be written
    CLOSED = auto()


class StoreMember:
    """A process's member of the store.

    `failed` is called once if the data folder can't be written.
    """

    def __init__(
        self,
        settings: StoreSettings,
        secret: bytes,
        folder: Path,
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics,
        failed: Callable[[FolderError], None],
        raft_settings: RaftSettings | None = None,
        make_subscription_server: SubscriptionServerFactory | None = None,
    ) -> None:
        """Open the data folder and create the member, without starting it.

        `make_subscription_server` is required if `settings.publish` is set, and unused otherwise.

        Raises:
            FolderError: The data folder can't be used.
            ValueError: `settings.publish` is set and `make_subscription_server` is None.
        """
        self.settings, self.loop, self.metrics, self.failed = settings, loop, metrics, failed
        self.raft_settings = raft_settings or RaftSettings()
        self.storage = MemberStorage(folder)
        try:
            self.stored = self.storage.start()
        except FolderError:
            self.storage.close()
            raise
        self.identity = self.stored.identity
        self.links = MemberLinks(
            loop, metrics, secret, MessageRouter(self).receive, self._on_link_authenticated
        )
        member = Member(self.identity.id, settings.name, settings.advertise or settings.listen)
        self.links.introduce(member, self.identity.cluster, settings.lease_s)
        self.machine = StateMachine()
        self.machine.load_state(self.stored.state)
        self.raft: Raft | None = None
        self.state = MemberState.FORMING
        self.thread = ThreadPoolExecutor(1, "store-disk")
        self.requests = RequestService(self)
        self.membership = Membership(self, self.storage, self.links, member)
        self.leases = MemberLeases(self, self.raft_settings.max_clock_drift)
        self.writer = LogWriter(self, self.storage)
        self.consensus = ConsensusDriver(self)
        self.gossip_received: Callable[[wire.Gossip], None] = lambda gossip: None
        self.peer_linked: Callable[[Link], None] = lambda link: None
        self._timer: asyncio.TimerHandle | None = None
        self.subscription_server = self._make_subscription_server(secret, make_subscription_server)
        self._add_gauges()

    def _make_subscription_server(
        self, secret: bytes, make: SubscriptionServerFactory | None
    ) -> SubscriptionServer | None:
        if not self.settings.publish:
            return None
        if make is None:
            raise ValueError("make_subscription_server is required if store.publish is set")
        self.leases.is_needed = True
        self.leases.subscription_server = server = make(self, secret)
        return server

    def _add_gauges(self) -> None:
        metrics = self.metrics
        metrics.gauge("store_keys", lambda: len(self.machine.items))
        metrics.gauge("store_revision", lambda: self.machine.revision)
        metrics.gauge("store_links", lambda: len(self.links.all))
        metrics.gauge("store_role", lambda: self.raft.role.value if self.raft is not None else "forming")
        metrics.gauge("store_term", lambda: self.raft.term if self.raft is not None else 0)

    def _enter(self, state: MemberState) -> None:
        if self.state is not MemberState.CLOSED:
            self.state = state

    @property
    def removed(self) -> bool:
        """Whether the member has left the cluster: it was removed, or its data folder failed."""
        return self.state in (MemberState.REMOVED, MemberState.FAILED)

    @property
    def closed(self) -> bool:
        """Whether the member is closed."""
        return self.state is MemberState.CLOSED

    # Start and stop

    async def start(self) -> None:
        """Listen, and join or form the cluster.

        Raises:
            OSError: An address can't be bound.
        """
        await self.links.listen(self.settings.listen)
        if self.subscription_server is not None:
            await self.subscription_server.start()
        cluster = self.identity.cluster
        log.info(
            "listening", part="store", address=self.settings.listen, member=self.identity.id, cluster=cluster
        )
        if cluster:
            self.start_raft(self.stored.base)
        else:
            self.membership.form_single_member_cluster()
        self.membership.update_links()
        self._tick()

    def start_raft(self, base: SnapshotMetadata) -> None:
        """Start the consensus core, with a log that begins after `base`."""
        seed = int.from_bytes(self.identity.id.encode()[:6], "big") ^ time.monotonic_ns()
        stored = self.stored
        self._enter(MemberState.ACTIVE)
        self.raft = Raft(
            self.identity.id,
            time.monotonic(),
            seed,
            base,
            stored.entries,
            stored.raft_hard_state,
            stored.state.index,
            self.raft_settings,
        )
        self.membership.update_links()

    def transfer_leadership(self) -> bool:
        """Start to transfer leadership to the most up-to-date voter. Returns whether a transfer was started.

        Called before a planned stop, which would otherwise leave the cluster without a leader for a time.
        """
        raft = self.raft
        if raft is None or not raft.is_leader:
            return False
        voters = [
            voter for voter in raft.configuration.voters if voter != raft.member_id and voter in raft.peers
        ]
        if not voters:
            return False
        try:
            raft.transfer_leadership(
                time.monotonic(), max(voters, key=lambda voter: raft.peers[voter].match_index)
            )
            self.settle()
        except RequestRejectedError:
            return False
        return True

    def fail(self, error: FolderError) -> None:
        """Stop the member after a failed write, as it must not continue with state that is not on disk."""
        if self.closed:
            return
        self.metrics.count("store_disk_failed")
        log.error("store stopped", error=str(error))
        self.raft = None
        self._enter(MemberState.FAILED)
        self.links.close()
        self._stop_subscriptions()
        self.failed(error)

    def mark_removed(self) -> None:
        """Stop participating in the cluster, which has removed this member."""
        self._enter(MemberState.REMOVED)
        self._stop_subscriptions()
        self.metrics.count("store_removed")
        log.warning("member removed", detail="this member no longer belongs to its cluster")

    def _stop_subscriptions(self) -> None:
        if self.subscription_server is not None:
            self.subscription_server.stop()

    def close(self) -> None:
        """Close the member without a leadership transfer; only disk writes in progress are completed."""
        self._enter(MemberState.CLOSED)
        if self._timer is not None:
            self._timer.cancel()
        self._stop_subscriptions()
        self.links.close()
        self.requests.close()
        self.thread.shutdown(wait=True)
        self.storage.close()

    # Timers

    def _tick(self) -> None:
        if self.closed:
            return
        now = time.monotonic()
        raft = self.raft
        if raft is not None and self.state is MemberState.ACTIVE:
            raft.tick(now)
            if raft.is_leader:
                self._tick_as_leader(now, raft)
            self.leases.renew(now)
            self.settle()
        elif self.state is MemberState.FORMING:
            self.membership.request_admission(now)
        self.requests.tick(now)
        wait_s = TICK_PERIOD_S
        if self.raft is not None:
            next_in_s = self.raft.next_tick_at() - time.monotonic()
            wait_s = min(TICK_PERIOD_S, max(MIN_TICK_PERIOD_S, next_in_s))
        self._timer = self.loop.call_later(wait_s, self._tick)

    def _tick_as_leader(self, now: float, raft: Raft) -> None:
        self.leases.tick(now)
        expiry = self.machine.next_expiry()
        if expiry is not None and expiry <= self.log_clock() and raft.commit_index == raft.log.last_index:
            self.propose(Expire())
        self.membership.promote_learners(now, raft)

    # Interface for the parts of the member

    @property
    def granter(self) -> LeaseGranter | None:
        """The leases granted by this member while it leads; None otherwise."""
        return self.leases.granter

    @property
    def holder(self) -> LeaseHolder:
        """This member's own lease."""
        return self.leases.holder

    def is_fresh(self) -> bool:
        """Whether the lease is valid, so that decisions are based on up-to-date committed state."""
        return self.leases.is_fresh()

    def report_applied(self) -> None:
        """Report to the leader the index that this member and its subscribed nodes have applied."""
        self.leases.report_applied()

    def report(self, revision: int) -> MachineReport:
        """Returns which of the nodes subscribed to this member have not acknowledged a revision."""
        if self.subscription_server is not None:
            return self.subscription_server.report(revision)
        return MachineReport(self.settings.name, min(self.machine.revision, revision), 0)

    def log_clock(self) -> int:
        """Returns the log time (ms); valid only while this member is the leader."""
        return self.consensus.log_clock()

    def propose(self, body: Command | Expire) -> int:
        """Propose an entry and return its index.

        Raises:
            RequestRejectedError: The entry was not proposed.
        """
        return self.consensus.propose(body)

    def flush(self) -> None:
        """Send proposed entries, then `settle`."""
        self.consensus.flush()

    def settle(self) -> None:
        """Process the pending output of the consensus core."""
        self.consensus.settle()

    def send_raft_message(self, recipient: str, message: Message) -> None:
        """Send a message of the core to the member with this id."""
        self.membership.send_raft_message(recipient, message)

    def send_to_leader(self, message: wire.LinkMessage) -> bool:
        """Send a message to the leader. Returns whether it was sent."""
        return self.membership.send_to_leader(message)

    def send_to_member(self, member: Member, request: wire.Request) -> bool:
        """Send a request to a member, whether or not it leads. Returns whether it was sent."""
        return self.membership.send_to_member(member, request)

    def run_in_thread(self, work: Future[Any], done: Callable[[Any], None]) -> None:
        """Call `done` on the event loop with the result of `work`; a `FolderError` stops the member."""

        def finished(future: Future[Any]) -> None:
            if not self.closed:
                self.loop.call_soon_threadsafe(on_loop, future)

        def on_loop(future: Future[Any]) -> None:
            if self.closed:
                return
            error = future.exception()
            if isinstance(error, FolderError):
                self.fail(error)
            elif error is not None:
                raise error
            else:
                done(future.result())

        work.add_done_callback(finished)

    # Links

    def _on_link_authenticated(self, link: Link, peer: wire.Hello) -> None:
        self.membership.link_authenticated(link, peer)
        link.close_callbacks.append(lambda: self.requests.link_lost(peer.id))
        self.requests.leader_changed()
        self.peer_linked(link)
