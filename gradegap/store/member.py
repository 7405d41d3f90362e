"""A member of the store: the consensus core driven by a clock, a disk and links.

All that the core puts out is written before it is said. Disk work is done in one thread, one batch at a
time; what gathers meanwhile is the next batch, so that many writes share a sync.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import structlog

from gradegap.metrics import Metrics
from gradegap.raft import (
    NEVER,
    ClusterConfiguration,
    Entry,
    EntryKind,
    Member,
    Message,
    Raft,
    RaftSettings,
    Ready,
    RequestRejectedError,
    Role,
    SnapshotMetadata,
)
from gradegap.store import wire
from gradegap.store.bootstrap import Bootstrap, promotable
from gradegap.store.errors import FolderError
from gradegap.store.in_force import MachineReport
from gradegap.store.leases import LeaseGranter, LeaseHolder
from gradegap.store.links import Dialer, Link, MemberLinks
from gradegap.store.machine import StateMachine
from gradegap.store.records import Command, Expire, LogRecord, Result, StoreState, encode
from gradegap.store.service import RequestService
from gradegap.store.settings import StoreSettings
from gradegap.store.state_snapshot import decode_snapshot, encode_snapshot
from gradegap.store.storage import Identity, MemberStorage, StoredMember, WriteBatch
from gradegap.store.subscriptions import SubscriptionServer, SubscriptionServerFactory

log = structlog.get_logger()

TICK_PERIOD_S = 0.05  # s between two looks at the clock, at the most
RETAINED_ENTRIES = 1000  # applied entries that stay in the log, for members that are a little behind
COMPACTION_ENTRIES = 4 * RETAINED_ENTRIES
COMPACTION_BYTES = 8 * 1024 * 1024
PROMOTION_PERIOD_S = 0.2  # s between two looks whether a learner has caught up


class StoreMember:
    """One daemon's part in the store. `failed` is called, once, when its disk can't be written."""

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
        """`make_subscription_server` is needed where the settings have `publish`, and used only then."""
        self.settings, self.loop, self.metrics, self.failed = settings, loop, metrics, failed
        self.raft_settings = raft_settings or RaftSettings()
        self.disk = MemberStorage(folder)
        try:
            self.found: StoredMember = self.disk.start()
        except FolderError:
            self.disk.close()
            raise
        self.identity = self.found.identity
        self.net = MemberLinks(loop, metrics, secret, self._heard, self._linked)
        self.net.me = me = Member(self.identity.id, settings.name, settings.advertise or settings.listen)
        self.net.cluster = self.identity.cluster
        self.net.lease_s = settings.lease_s
        self.machine = StateMachine()
        self.machine.load_state(self.found.state)
        self.raft: Raft | None = None
        self.service = RequestService(self)
        self.forming = Bootstrap(settings, me)
        self.holder = LeaseHolder(self._holder_name(), self.raft_settings.max_clock_drift)
        self.granter: LeaseGranter | None = None
        self.lease_changed: Callable[[], None] = lambda: None
        self.gossiped: Callable[[wire.Gossip], None] = lambda gossip: None
        self.met: Callable[[Link], None] = lambda link: None
        self.thread = ThreadPoolExecutor(1, "store-disk")
        self.outs: list[Ready] = []
        self.writing = False
        self.compacting = 0
        self.packing = False
        self.loaded: StoreState | None = None  # the latest snapshot that came, until it is written
        self.removed = False
        self.closed = False
        self.led = False
        self.known_leader = ""
        self.clock_base = (0.0, 0)  # steady time, log time
        self.promote_at = 0.0
        self.joined_at = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.want_lease = False
        self.publisher = self._make_publisher(secret, make_subscription_server)
        metrics.gauge("store_keys", lambda: len(self.machine.items))
        metrics.gauge("store_revision", lambda: self.machine.revision)
        metrics.gauge("store_links", lambda: len(self.net.all))
        metrics.gauge("store_role", lambda: self.raft.role.value if self.raft is not None else "forming")
        metrics.gauge("store_term", lambda: self.raft.term if self.raft is not None else 0)

    def _holder_name(self) -> str:
        """Who holds this member's lease. With subscriptions each start of the process is another holder: the
        leases that nodes were granted under the one before count until that one ends."""
        name = f"{self.settings.name}.{self.identity.id[:6]}"
        return f"{name}.{secrets.token_hex(4)}" if self.settings.publish else name

    def _make_publisher(
        self, secret: bytes, make: SubscriptionServerFactory | None
    ) -> SubscriptionServer | None:
        if not self.settings.publish:
            return None
        if make is None:
            raise ValueError("a member with `publish` needs a server of subscriptions")
        self.want_lease = True
        return make(self, secret)

    @property
    def requests(self) -> RequestService:
        """Who answers what clients ask."""
        return self.service

    # Life

    async def start(self) -> None:
        """Listen and take part; `OSError` where an address can't be had."""
        await self.net.listen(self.settings.listen)
        if self.publisher is not None:
            await self.publisher.start()
        log.info("listening", store=self.settings.listen, member=self.identity.id, cluster=self.net.cluster)
        if self.identity.cluster:
            self._run(self.found)
        elif (config := self.forming.alone()) is not None:
            self._form(*config)
        self._want_links()
        self._tick()

    def _run(self, found: StoredMember) -> None:
        seed = int.from_bytes(self.identity.id.encode()[:6], "big") ^ time.monotonic_ns()
        self.raft = Raft(
            self.identity.id,
            time.monotonic(),
            seed,
            found.base,
            found.entries,
            found.hard,
            found.state.index,
            self.raft_settings,
        )
        self._want_links()

    def _form(self, cluster: str, config: ClusterConfiguration) -> None:
        """Belong to a cluster from now on. Written before anybody hears of it."""
        if self.identity.cluster:
            return
        identity = Identity(self.identity.id, cluster)
        base = SnapshotMetadata(0, 0, config)
        try:
            self.disk.write(WriteBatch(identity=identity, base=base))
        except FolderError as error:
            self._fail(error)
            return
        self.identity = identity
        self.net.cluster_is(cluster)
        self.found.base = base
        self.metrics.count("store_formed")
        log.info("belongs to a cluster", cluster=cluster, members=[m.name for m in config.members])
        self._run(self.found)
        for member in config.members:
            if member.id != self.identity.id:
                self.net.send(member.id, member.address, wire.ClusterFormed(cluster, config))

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.publisher is not None:
            self.publisher.stop()
        self.net.close()
        self.service.close()
        self.thread.shutdown(wait=True)
        self.disk.close()

    def hand_over(self) -> bool:
        """Have another voter lead, where this member does; whether one was told to.

        Guards against the time without a leader that a planned end would cost.
        """
        raft = self.raft
        if raft is None or not raft.is_leader:
            return False
        voters = [v for v in raft.configuration.voters if v != raft.member_id and v in raft.peers]
        if not voters:
            return False
        try:
            raft.transfer_leadership(time.monotonic(), max(voters, key=lambda v: raft.peers[v].match_index))
            self.settle()
        except RequestRejectedError:
            return False
        return True

    def _fail(self, error: FolderError) -> None:
        """Guards against going on with what is not on disk: the member is as good as dead."""
        if not self.closed:
            self.metrics.count("store_disk_failed")
            log.error("store stopped", error=str(error))
            self.raft = None
            self.removed = True
            self.net.close()
            if self.publisher is not None:
                self.publisher.stop()
            self.failed(error)

    # Time

    def _tick(self) -> None:
        if self.closed:
            return
        now = time.monotonic()
        raft = self.raft
        if raft is not None and not self.removed:
            raft.tick(now)
            self._lead_tick(now, raft)
            self._renew(now)
            self.settle()
        elif raft is None and not self.removed and now - self.joined_at > 0.5:
            self.joined_at = now
            self._ask_to_join()
        self.service.tick(now)
        wait = TICK_PERIOD_S
        if self.raft is not None:
            wait = min(TICK_PERIOD_S, max(0.001, self.raft.next_tick_at() - time.monotonic()))
        self.timer = self.loop.call_later(wait, self._tick)

    def _lead_tick(self, now: float, raft: Raft) -> None:
        if not raft.is_leader:
            return
        if self.granter is not None:
            self.granter.look(now)
        expiry = self.machine.next_expiry()
        if expiry is not None and expiry <= self.log_clock() and raft.commit_index == raft.log.last_index:
            self.propose(Expire())
        if now >= self.promote_at:
            self.promote_at = now + PROMOTION_PERIOD_S
            self._promote(now, raft)

    def _promote(self, now: float, raft: Raft) -> None:
        """Make a learner that has caught up a voter, while there are fewer voters than wanted."""
        for member in promotable(raft.configuration, self.settings):
            try:
                raft.add_member(now, Member(member.id, member.name, member.address))
            except RequestRejectedError:
                continue  # it has not caught up yet; asked again soon
            self.metrics.count("store_promoted")
            log.info("member has caught up", member=member.name)
            return

    def log_clock(self) -> int:
        """The time of the log, as the leader has it: steady, and never behind what was logged."""
        at, base = self.clock_base
        return max(self.machine.clock_ms, base + int((time.monotonic() - at) * 1000))

    def propose(self, body: Command | Expire) -> int:
        """`RequestRejectedError` where it can't be; else the index to wait for. `settle` has to follow."""
        assert self.raft is not None
        logged = LogRecord(self.log_clock(), time.time_ns() // 1_000_000, body)
        index = self.raft.propose(time.monotonic(), encode(logged))
        self.loop.call_soon(self.flush)
        return index

    def flush(self) -> None:
        if self.raft is not None and not self.closed:
            self.raft.flush(time.monotonic())
            self.settle()

    # What the core puts out

    def settle(self) -> None:
        raft = self.raft
        if raft is None or self.closed:
            return
        out = raft.take_ready()
        for to, message in out.immediate_messages:
            self._send(to, message)
        if out.snapshot is not None:
            try:
                state = decode_snapshot(out.snapshot.data)
            except ValueError as error:
                self._fail(FolderError(f"a snapshot that came can't be read: {error}"))
                return
            self.metrics.count("store_snapshots_taken")
            self.machine.load_state(state)
            self.loaded = state
        for entry in out.committed_entries:
            self._apply(entry)
        if out.committed_entries or out.snapshot is not None:
            self._applied()
        for number, index in out.read_states:
            self.service.led.read_index_known(number, index)
        for number in out.aborted_reads:
            self.service.led.read_aborted(number)
        if out.snapshot_wanted and not self.packing:
            self._pack(raft)
        if out.must_sync or out.messages:
            self.outs.append(out)
            self._write()
        self._look_at_role(raft)

    def _apply(self, entry: Entry) -> None:
        if entry.kind is EntryKind.COMMAND:
            result = self.machine.apply(entry.index, entry.data)
            if result.error:
                self.metrics.count(f"store_refused_{result.error.split(':')[0]}")
        else:
            self.machine.skip(entry.index)
            result = Result(self.machine.revision)
        self.service.entry_applied(entry, result)
        if entry.kind is EntryKind.CONFIGURATION:
            self._config_applied()

    def _applied(self) -> None:
        now = time.monotonic()
        index = self.machine.index
        self.holder.applied(index)
        self.service.led.index_applied(index)
        self._stop_as_removed()
        if self.publisher is not None:
            self.publisher.committed()
            self.publisher.lease(self.holder.until)
        self.report_applied()
        if self.granter is not None:
            self.granter.look(now)

    def safe_index(self) -> int:
        """What this member, and every node that may decide by it, has applied."""
        return self.machine.index if self.publisher is None else self.publisher.safe_index()

    def report_applied(self) -> None:
        """Tell the leader, so that a write that nodes decide by can be acknowledged."""
        now, raft = time.monotonic(), self.raft
        if not self.want_lease or self.holder.until <= now or raft is None:
            return
        if raft.is_leader and self.granter is not None:
            self.granter.applied(self.holder.name, self.safe_index())
            self.granter.look(now)
        else:
            self.send_to_leader(wire.LeaseApplied(self.holder.name, self.safe_index()))

    def _config_applied(self) -> None:
        raft = self.raft
        assert raft is not None
        old = {m.address for m in raft.configuration.members}
        log.info(
            "members",
            names=[f"{m.name}{'' if m.voter else ' (learner)'}" for m in raft.configuration.members],
        )
        for link in self.net.all:
            theirs = link.channel.peer_hello
            if raft.is_leader and link.dial is not None and theirs is not None and link.channel.authenticated:
                gone = raft.configuration.get(theirs.id) is None
                if gone and theirs.cluster and link.dial.address not in old:
                    link.send(wire.LinkRejected("removed"))
        self._want_links()

    def _stop_as_removed(self) -> None:
        raft = self.raft
        if self.removed or raft is None or self.machine.index < raft.log.configuration_index:
            return
        if raft.was_removed():
            self._now_removed()
            self.service.leadership_changed()

    def _now_removed(self) -> None:
        self.removed = True
        if self.publisher is not None:
            self.publisher.stop()
        self.metrics.count("store_removed")
        log.warning("this member was removed from its cluster; it takes no part any more")

    def _look_at_role(self, raft: Raft) -> None:
        if raft.is_leader != self.led:
            self.led = raft.is_leader
            now = time.monotonic()
            if raft.is_leader:
                self.metrics.count("store_elected")
                self.clock_base = (now, self.machine.clock_ms)
                self.granter = LeaseGranter(now, self.raft_settings.max_clock_drift, self.settings.lease_s)
                log.info("leads", term=raft.term)
            else:
                self.metrics.count("store_deposed")
                self.granter = None
                log.info("leads no more", term=raft.term)
            self.service.leadership_changed()
        if raft.leader_id != self.known_leader and raft.role is not Role.LEADER:
            self.known_leader = raft.leader_id
            self.service.leader_changed()
        self.known_leader = raft.leader_id

    def _pack(self, raft: Raft) -> None:
        """A snapshot for a member that is behind the log; made in a thread, as it takes a while."""
        self.packing = True
        index = self.machine.index
        term = raft.log.term_at(index)
        if term is None:
            self.packing = False
            return
        meta = SnapshotMetadata(index, term, raft.log.configuration_at(index))
        state = self.machine.export_state()
        self.metrics.count("store_snapshots_made")
        self.run_in_thread(self.thread.submit(encode_snapshot, state), lambda data: self._packed(meta, data))

    def _packed(self, meta: SnapshotMetadata, data: bytes) -> None:
        self.packing = False
        raft = self.raft
        if raft is not None and raft.is_leader and meta.index >= raft.log.base.index:
            raft.offer_snapshot(time.monotonic(), meta, data)
            self.settle()

    # The disk

    def run_in_thread(self, work: Future[Any], done: Callable[[Any], None]) -> None:
        def over(finished: Future[Any]) -> None:
            if not self.closed:
                self.loop.call_soon_threadsafe(back, finished)

        def back(finished: Future[Any]) -> None:
            if self.closed:
                return
            error = finished.exception()
            if isinstance(error, FolderError):
                self._fail(error)
            elif error is not None:
                raise error
            else:
                done(finished.result())

        work.add_done_callback(over)

    def _write(self) -> None:
        if self.writing or not self.outs or self.raft is None:
            return
        outs, self.outs = self.outs, []
        batch = self._batch(outs)
        if batch is None:
            self._written(outs)
            return
        self.writing = True
        self.metrics.count("store_syncs")
        self.run_in_thread(self.thread.submit(self.disk.write, batch), lambda _: self._synced(outs))

    def _batch(self, outs: list[Ready]) -> WriteBatch | None:
        if not any(o.must_sync for o in outs):
            return None
        raft = self.raft
        assert raft is not None
        batch = WriteBatch()
        for out in outs:
            if out.hard_state is not None:
                batch.hard = out.hard_state
            if out.snapshot is not None:
                batch.base = out.snapshot.metadata
                batch.entries = []
                batch.whole = self.loaded
            for entry in out.entries:
                if batch.entries and entry.index <= batch.entries[-1].index:
                    batch.entries = [e for e in batch.entries if e.index < entry.index]
                batch.entries.append(entry)
        if batch.whole is None or self.machine.index >= batch.whole.index:
            batch.dirty = self.machine.take_unsaved()
        self.loaded = None
        m = self.machine
        batch.applied = (m.index, m.revision, m.clock_ms)
        if raft.log.size_bytes > COMPACTION_BYTES or len(raft.log.entries) > COMPACTION_ENTRIES:
            self._compact_with(batch, raft)
        return batch

    def _compact_with(self, batch: WriteBatch, raft: Raft) -> None:
        """Log that the state on disk has made superfluous goes, but for a tail."""
        keep = RETAINED_ENTRIES if raft.log.size_bytes <= COMPACTION_BYTES else RETAINED_ENTRIES // 10
        index = min(self.machine.index, raft.stable_index) - keep
        term = raft.log.term_at(index)
        if index > raft.log.base.index and term is not None and batch.base is None and not self.compacting:
            batch.base = SnapshotMetadata(index, term, raft.log.configuration_at(index))
            self.compacting = index
            self.metrics.count("store_compactions")

    def _synced(self, outs: list[Ready]) -> None:
        self.writing = False
        if self.raft is None:
            return
        self.disk.point("synced")
        if self.compacting:
            self.raft.compact(self.compacting)
            self.compacting = 0
        self._written(outs)
        self.settle()
        self._write()

    def _written(self, outs: list[Ready]) -> None:
        raft = self.raft
        assert raft is not None
        for out in outs:
            for to, message in out.messages:
                self._send(to, message)
        last = next((o.entries[-1] for o in reversed(outs) if o.entries), None)
        if last is not None:
            raft.persisted(time.monotonic(), last.index, last.term)
        self.disk.point("sent")

    # Links

    def _send(self, to: str, message: Message) -> None:
        raft = self.raft
        member = raft.configuration.get(to) if raft is not None else None
        if member is None:
            # Somebody who is not a member, or not yet: answered on whichever link we have to it.
            for dial in self.net.dials.values():
                if dial.link is not None and dial.link.id == to:
                    dial.link.send(wire.RaftMessage(message))
            return
        self.net.send(to, member.address, wire.RaftMessage(message))

    def _want_links(self) -> None:
        addresses = {p.address for p in self.settings.peers if p.name != self.settings.name}
        if self.raft is not None:
            # A configuration that is in force goes over the file of the first start.
            known = {m.name for m in self.raft.configuration.members}
            peers = [p for p in self.settings.peers if p.name in known]
            addresses = {m.address for m in self.raft.configuration.members} or {p.address for p in peers}
        self.net.want(addresses - {self.settings.listen, self.settings.advertise})

    def _linked(self, dial: Dialer, link: Link) -> None:
        theirs = link.channel.peer_hello
        assert theirs is not None
        if not self.identity.cluster:
            self.forming.met(theirs)
            formed = self.forming.form()
            if formed is not None:
                self._form(*formed)
        elif not theirs.cluster and self.raft is not None and self.raft.configuration.get(theirs.id):
            link.send(wire.ClusterFormed(self.identity.cluster, self.raft.configuration))
        link.closing.append(lambda: self.service.link_lost(theirs.id))
        self.service.leader_changed()
        self.met(link)

    def _ask_to_join(self) -> None:
        for dial in self.net.dials.values():
            theirs = dial.link.channel.peer_hello if dial.link is not None else None
            if dial.link is not None and theirs is not None and theirs.cluster:
                assert self.net.me is not None
                dial.link.send(wire.Join(self.net.me))
            elif dial.link is not None and dial.link.transport is not None and self.forming.waits_for(theirs):
                dial.link.transport.close()  # asked again who it is: it may have formed since

    def _heard(self, link: Link, word: wire.LinkMessage) -> None:
        raft = self.raft
        match word:
            case wire.Request():
                self.service.receive_request(link, word)
            case wire.Response():
                self.service.receive_response(link, word)
            case wire.RaftMessage() if link.id and raft is not None and not self.removed:
                raft.step(time.monotonic(), link.id, word.message)
                self.settle()
            case wire.ClusterFormed() if link.id and not self.identity.cluster:
                if word.configuration.get(self.identity.id) is not None:
                    self._form(word.cluster, word.configuration)
                    self._want_links()
            case wire.Join() if link.id == word.member.id and raft is not None:
                self.service.admit(link, word.member)
            case wire.LeaseRequest() if link.id:
                link.send(self._lease(word))
            case wire.LeaseGrant() if link.id:
                self._granted(word)
            case wire.LeaseApplied() if link.id:
                if self.granter is not None:
                    self.granter.applied(word.holder, word.applied)
                    self.granter.look(time.monotonic())
            case wire.Gossip() if link.id:
                self.gossiped(word)
            case wire.LinkRejected() if link.id and word.reason == "removed":
                if raft is not None and not self.removed:
                    self._now_removed()
            case _:
                self.metrics.count("store_words_unfit")

    # Leases

    def _lease(self, ask: wire.LeaseRequest) -> wire.LeaseGrant:
        """A lease for a node, where this member leads for certain; else one of no length."""
        raft, now = self.raft, time.monotonic()
        if raft is None or self.granter is None or self.removed:
            return wire.LeaseGrant(ask.holder, ask.serial, 0, 0, 0.0)
        until = raft.lease_until(now) if not raft.transferee else NEVER
        duration = self.granter.grant(now, ask.holder, ask.applied, until)
        self.metrics.count("store_leases_given" if duration else "store_leases_refused")
        return wire.LeaseGrant(ask.holder, ask.serial, raft.term, raft.commit_index, duration)

    def _renew(self, now: float) -> None:
        if self.want_lease and self.holder.wants(now, self.settings.lease_s):
            last = max(self.holder.asked.values(), default=NEVER)
            if now - last >= 0.1:
                ask = wire.LeaseRequest(self.holder.name, self.holder.ask(now), self.safe_index())
                if self.raft is not None and self.raft.is_leader:
                    self._granted(self._lease(ask))
                else:
                    self.send_to_leader(ask)
        if self.want_lease:
            self.lease_changed()

    def _granted(self, g: wire.LeaseGrant) -> None:
        now = time.monotonic()
        self.holder.granted(now, g.serial, g.term, g.index, g.duration_s, self.machine.index)
        if self.publisher is not None:
            self.publisher.lease(self.holder.until)
        self.lease_changed()

    def fresh(self) -> bool:
        """Whether a decision made now is by committed state."""
        return self.holder.fresh(time.monotonic())

    def send_to_leader(self, word: wire.LinkMessage) -> bool:
        raft = self.raft
        leader = raft.configuration.get(raft.leader_id) if raft is not None and raft.leader_id else None
        return leader is not None and self.net.send(leader.id, leader.address, word)

    def send_to_member(self, member: Member, ask: wire.Request) -> bool:
        """Ask a member, whoever leads; no where it is away, or of a release that can't read it."""
        dial = self.net.dials.get(member.address)
        theirs = dial.link.channel.peer_hello if dial is not None and dial.link is not None else None
        if theirs is None or wire.IN_FORCE_TAG not in theirs.readable_requests:
            return False
        return self.net.send(member.id, member.address, ask)

    def report(self, revision: int) -> MachineReport:
        """Which nodes that subscribe here lack a revision."""
        if self.publisher is not None:
            return self.publisher.report(revision)
        return MachineReport(self.settings.name, min(self.machine.revision, revision), 0)

    def to_all(self, word: wire.LinkMessage) -> None:
        for dial in self.net.dials.values():
            if dial.link is not None:
                dial.link.send(word)
