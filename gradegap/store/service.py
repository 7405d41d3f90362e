"""What clients ask of a member: answered here, or by the leader, and tried again until it is known or late.

A write is named (`client`, `seq`, `until`) before it is first proposed, so that it can be proposed again
when a leader is lost, and is applied once. Three ends are told apart: done; "no_quorum", where nobody ever
took it; and "unknown", where somebody did and nobody can say by now what came of it.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec
import structlog

from gradegap.metrics import Metrics
from gradegap.raft import Entry, EntryKind, Member, Raft, RequestRejectedError
from gradegap.store import leases, schema, wire
from gradegap.store.errors import CommandError
from gradegap.store.in_force import MachineReport
from gradegap.store.in_force_check import InForceCheck
from gradegap.store.links import Link
from gradegap.store.machine import StateMachine
from gradegap.store.records import Command, Event, KeyUpdate, Result, check_update
from gradegap.store.settings import StoreSettings
from gradegap.store.state_snapshot import encode_snapshot
from gradegap.store.storage import Identity

log = structlog.get_logger()

MAX_PENDING_REQUESTS = 4096
MAX_TIMEOUT_S = 60.0  # s that a client may be willing to wait
WRITE_LIFETIME_MS = 120_000  # ms of log time within which a write may be applied
RETRY_PERIOD_S = 0.05  # s
INCARNATION_SILENCE_S = 2.0  # s since a word of a member, within which no new life may take its place
SNAPSHOT_PIECE_BYTES = 512 * 1024  # bytes of a snapshot in one answer
MAX_WATCHES = 1000
MAX_WATCH_UNSENT_BYTES = 4 * 1024 * 1024  # bytes for a watcher that reads slowly; then its link ends
INVITED_PREFIX = "cluster/invited/"

TRANSIENT_REASONS = ("not_leader", "transferring", "not_ready")  # reasons that another try may not meet

ResponseCallback = Callable[[wire.Response], None]


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A wish under way."""

    serial: int
    wish: wire.RequestBody
    done: ResponseCallback
    until: float  # steady time at which whoever asks gives up
    relayed: bool  # it came from a member, which tries again itself
    taken: bool = False  # a leader had it: what came of it may be unknown
    waits_for: str = ""  # "leader", "commit", "read", "applied", "seen" or "member": the id asked
    index: int = 0
    term: int = 0
    over: bool = False


@dataclass(slots=True, eq=False)
class Watch:
    link: Link
    serial: int
    prefix: str


class RequestHost(Protocol):
    """The member that a service answers for."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    settings: StoreSettings
    identity: Identity
    machine: StateMachine
    raft: Raft | None
    granter: leases.LeaseGranter | None
    holder: leases.LeaseHolder
    removed: bool
    thread: ThreadPoolExecutor

    def log_clock(self) -> int: ...
    def propose(self, body: Command) -> int: ...
    def settle(self) -> None: ...
    def flush(self) -> None: ...
    def report(self, revision: int) -> MachineReport: ...
    def to_member(self, member: Member, ask: wire.Request) -> bool: ...
    def to_leader(self, word: wire.LinkMessage) -> bool: ...
    def in_thread(self, work: Future[Any], done: Callable[[Any], None]) -> None: ...


class RequestService:
    """Answers for one member."""

    def __init__(self, member: RequestHost) -> None:
        self.member = member
        self.metrics = member.metrics
        self.serial = 0
        self.pending: dict[int, PendingRequest] = {}
        self.by_index: dict[int, list[PendingRequest]] = {}
        self.reading: dict[int, PendingRequest] = {}
        self.watching: set[Watch] = set()
        self.name = secrets.token_hex(6)
        self.seqs: dict[str, int] = {}  # names for writes, and how often each was used
        self.free: list[str] = []
        self.clock = (0.0, 0)  # steady time, and the leader's log time then
        self.last_retry = 0.0
        self.nodes: dict[str, tuple[float, dict[str, Any]]] = {}  # what nodes said of themselves, and when
        member.machine.listeners.append(self._changed)
        self.metrics.gauge("store_pending", lambda: len(self.pending))
        self.metrics.gauge("store_watches", lambda: len(self.watching))

    # From links

    def asked(self, link: Link, ask: wire.Request) -> None:
        if isinstance(ask.body, wire.Watch):
            self._watch(link, ask.serial, ask.body)
            return

        def done(answer: wire.Response) -> None:
            link.send(msgspec.structs.replace(answer, serial=ask.serial))

        if isinstance(ask.body, wire.Snapshot):
            self._snapshot(ask, done)
        else:
            self.request(ask.body, done, ask.timeout_s, relayed=bool(link.id))

    def request(
        self, wish: wire.RequestBody, done: ResponseCallback, left: float = 5.0, relayed: bool = False
    ) -> None:
        """`done` with one answer, at the latest after `left` seconds."""
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            self.metrics.count("store_busy")
            done(wire.Response(0, "no", "busy: too many wishes are under way"))
            return
        try:
            wish = self._checked(wish)
        except CommandError as error:
            self.metrics.count(f"store_refused_{str(error).split(':')[0]}")
            done(wire.Response(0, "no", str(error)))
            return
        self.serial += 1
        until = time.monotonic() + min(left, MAX_TIMEOUT_S)
        p = PendingRequest(self.serial, wish, done, until, relayed)
        self.pending[p.serial] = p
        self._try(p)

    def _checked(self, wish: wire.RequestBody) -> wire.RequestBody:
        """Turn down what no member would apply, and give a write its name."""
        if not isinstance(wish, wire.Transaction):
            return wish
        for op in (*wish.then, *wish.otherwise):
            check_update(op)
            schema.check(op)
        if len(wish.client) > 64 or len(wish.author) > 128:
            raise CommandError("bad_name: a client's or author's name is too long")
        if wish.client and wish.deadline_ms:
            return wish
        if wish.client:
            client, seq = wish.client, wish.seq or 1
        else:
            # A name is free again once its write is answered: there are as many as writes at once, not as
            # many as writes. Every member remembers each for as long as it may come again.
            client = self.free.pop() if self.free else f"{self.name}-{len(self.seqs)}"
            seq = self.seqs[client] = self.seqs.get(client, 0) + 1
        return msgspec.structs.replace(
            wish, client=client, seq=seq, deadline_ms=self.log_clock() + WRITE_LIFETIME_MS
        )

    def log_clock(self) -> int:
        """The log's time, as far as it is known here; it may be behind."""
        raft = self.member.raft
        if raft is not None and raft.is_leader:
            return self.member.log_clock()
        at, base = self.clock
        return max(self.member.machine.clock_ms, base + int((time.monotonic() - at) * 1000) if base else 0)

    # One try

    def _try(self, p: PendingRequest) -> None:
        m = self.member
        raft = m.raft
        if isinstance(p.wish, wire.Status):
            self._answer(p, wire.Response(0, status=self.status()))
        elif isinstance(p.wish, wire.Digest):
            self._answer(p, wire.Response(0, text=m.machine.digest(), revision=m.machine.revision))
        elif isinstance(p.wish, wire.InForce):
            self._in_force(p, p.wish)
        elif isinstance(p.wish, wire.Get | wire.List) and p.wish.stale:
            self._answer(p, self._read(p.wish))
        elif raft is None or m.removed:
            asked_to_go = p.taken and p.wish == wire.RemoveMember(m.settings.name)
            if m.removed and asked_to_go and raft is not None:
                # What was asked is what ended this member: it is committed, or it would not be removed. (One
                # whose disk failed has no core any more, and can't say so.)
                self._answer(p, wire.Response(0))
            elif m.removed and self._doubtful(p):
                text = "unknown: this member has ended with it under way; it may be committed or not"
                self._answer(p, wire.Response(0, "unknown", text))
            elif m.removed:
                self._answer(p, wire.Response(0, "no", "removed: this member belongs to no cluster"))
            else:
                p.waits_for = "leader"
        elif raft.is_leader:
            self._lead(p)
        elif p.relayed:
            self._answer(p, wire.Response(0, "no", "not_leader: ask again"))
        else:
            self._pass_on(p)

    # In force

    def _in_force(self, p: PendingRequest, wish: wire.InForce) -> None:
        m = self.member
        if p.relayed:
            self._answer(p, wire.Response(0, data=msgspec.msgpack.encode(m.report(wish.revision))))
        elif m.raft is None or m.removed:
            self._answer(p, wire.Response(0, "no", "removed: this member belongs to no cluster"))
        else:
            p.waits_for = "gathering"
            done = lambda answer: self._answer(p, answer)  # noqa: E731
            InForceCheck(self, m.identity.id, wish.revision, p.until, done).start()

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The member's."""
        return self.member.loop

    def members(self) -> list[Member]:
        """All members, this one among them."""
        raft = self.member.raft
        return list(raft.configuration.members) if raft is not None else []

    def local_report(self, revision: int) -> MachineReport:
        """What this member knows of the nodes that subscribe here."""
        return self.member.report(revision)

    def ask_member(self, member: Member, wish: wire.RequestBody, done: ResponseCallback, left: float) -> None:
        """`done` with the member's answer, or with a no, after `left` seconds at the latest."""
        self.serial += 1
        asked = wire.Request(self.serial, wish, left)
        if not self.member.to_member(member, asked):
            done(wire.Response(0, "no", f"unreachable: {member.name}"))
            return
        until = time.monotonic() + left
        self.pending[self.serial] = PendingRequest(self.serial, wish, done, until, True, waits_for=member.id)

    def _pass_on(self, p: PendingRequest) -> None:
        m, raft = self.member, self.member.raft
        assert raft is not None
        left = p.until - time.monotonic()
        if raft.leader_id and left > 0 and m.to_leader(wire.Request(p.serial, p.wish, left)):
            p.waits_for, p.taken = raft.leader_id, True
            if isinstance(p.wish, wire.Transaction):
                p.wish = msgspec.structs.replace(p.wish, attempts=p.wish.attempts + 1)
        else:
            p.waits_for = "leader"

    def _lead(self, p: PendingRequest) -> None:
        m, raft, now = self.member, self.member.raft, time.monotonic()
        assert raft is not None
        w = p.wish
        try:
            match w:
                case wire.Transaction():
                    if (
                        p.relayed
                        and not w.attempts
                        and w.deadline_ms < m.log_clock() + WRITE_LIFETIME_MS // 2
                    ):
                        raise RequestRejectedError("restamp: it bears a time that is over")
                    body = Command(w.client, w.seq, w.deadline_ms, w.author, w.compares, w.then, w.otherwise)
                    self._wait_for(p, m.propose(body))
                case wire.AddMember():
                    op = KeyUpdate(INVITED_PREFIX + w.name, {"address": w.address})
                    p.wish = self._checked(wire.Transaction((op,), author="operator"))
                    self._lead(p)
                case wire.RemoveMember():
                    found = raft.configuration.find_by_name(w.name)
                    if found is None:
                        raise RequestRejectedError(f"no_such_member: {w.name}")
                    self._wait_for(p, raft.remove_member(now, found.id))
                    m.flush()
                case wire.AdmitMember():
                    self._take_in(p, w.member)
                    m.flush()
                case wire.TransferLeadership():
                    found = raft.configuration.find_by_name(w.name)
                    if found is None:
                        raise RequestRejectedError(f"no_such_member: {w.name}")
                    if found.id == raft.member_id:
                        self._answer(p, wire.Response(0))  # it was asked before, and has taken over
                    else:
                        p.waits_for = "transfer"
                        raft.transfer_leadership(now, found.id)
                        m.settle()
                case _:
                    self.reading[p.serial] = p
                    p.waits_for = "read"
                    raft.read_index(now, p.serial)
                    m.settle()
        except RequestRejectedError as error:
            self.reading.pop(p.serial, None)
            reason = str(error).split(":")[0].split(" ")[0]
            self.metrics.count(f"store_refused_{reason}")
            if reason in TRANSIENT_REASONS and not p.relayed:
                p.waits_for = "leader"
            else:
                self._answer(p, wire.Response(0, "no", str(error)))

    def _wait_for(self, p: PendingRequest, index: int) -> None:
        raft = self.member.raft
        assert raft is not None
        p.taken, p.waits_for, p.index, p.term = True, "commit", index, raft.term
        self.by_index.setdefault(index, []).append(p)

    # What came of it

    def applied(self, entry: Entry, result: Result) -> None:
        for p in self.by_index.pop(entry.index, ()):
            if p.over:
                continue
            if entry.term != p.term:
                # Another leader's entry stands there: this one was never committed.
                p.waits_for = "leader"
                continue
            self._committed(p, entry, result)

    def _committed(self, p: PendingRequest, entry: Entry, result: Result) -> None:
        if result.error:
            reason = result.error.split(":")[0]
            outcome = "unknown" if reason in ("stale", "too_old") else "no"
            self._answer(p, wire.Response(0, outcome, result.error))
            return
        answer = wire.Response(0, revision=result.revision, succeeded=result.succeeded)
        m = self.member
        if isinstance(p.wish, wire.Transaction) and m.granter is not None:
            ops = (*p.wish.then, *p.wish.otherwise)
            if leases.affects_decisions([op.key for op in ops]):
                # Nobody may decide by what stood before, once it is said to be replaced.
                p.waits_for = "seen"
                now = time.monotonic()
                m.granter.when_seen(now, entry.index, lambda: self._answer(p, answer))
                return
        if entry.kind is EntryKind.CONFIGURATION and isinstance(p.wish, wire.AdmitMember):
            answer = wire.Response(0, text="taken in", revision=result.revision)
        self._answer(p, answer)

    def read_at(self, number: int, index: int) -> None:
        p = self.reading.pop(number, None)
        if p is not None and not p.over:
            p.waits_for, p.index = "applied", index
            if self.member.machine.index >= index:
                self._answer(p, self._read(p.wish))
            else:
                self.by_index.setdefault(-1, []).append(p)

    def caught_up(self, index: int) -> None:
        waiting = self.by_index.pop(-1, [])
        later = [p for p in waiting if p.index > index and not p.over]
        if later:
            self.by_index[-1] = later
        for p in waiting:
            if p.index <= index and not p.over:
                self._answer(p, self._read(p.wish))

    def unread(self, number: int) -> None:
        p = self.reading.pop(number, None)
        if p is not None:
            p.waits_for = "leader"

    def _read(self, wish: wire.RequestBody) -> wire.Response:
        m = self.member.machine
        try:
            match wish:
                case wire.Get():
                    item = m.get(wish.key)
                    return wire.Response(0, revision=m.revision, items=[item] if item is not None else [])
                case wire.List():
                    return wire.Response(0, revision=m.revision, items=m.list(wish.prefix))
                case wire.History():
                    since = max(wish.first_revision, m.first_retained_revision)
                    return wire.Response(
                        0, revision=m.revision, events=list(m.events_since(since, wish.prefix))
                    )
                case wire.ValuesAt():
                    then = m.values_at(wish.revision, wish.prefix)
                    return wire.Response(0, revision=m.revision, status=then)
                case _:
                    return wire.Response(0, "no", "bad_wish: nothing to read")
        except CommandError as error:
            return wire.Response(0, "no", str(error))

    def _answer(self, p: PendingRequest, answer: wire.Response) -> None:
        if p.over:
            return
        p.over = True
        self.pending.pop(p.serial, None)
        self.reading.pop(p.serial, None)
        if isinstance(p.wish, wire.Transaction) and p.wish.client in self.seqs:
            self.free.append(p.wish.client)
        self.metrics.count(f"store_answers_{answer.outcome}")
        p.done(msgspec.structs.replace(answer, clock_ms=self.log_clock()))

    def answered(self, link: Link, answer: wire.Response) -> None:
        """By the leader, to a wish that was passed on."""
        p = self.pending.get(answer.serial)
        if p is None or p.over or p.waits_for != link.id:
            return
        if answer.clock_ms:
            self.clock = (time.monotonic(), answer.clock_ms)
        reason = answer.text.split(":")[0].split(" ")[0]
        if reason == "restamp" and isinstance(p.wish, wire.Transaction):
            # Nobody took it: it only bore a time that this member had not kept up with.
            p.wish = msgspec.structs.replace(
                p.wish, deadline_ms=self.log_clock() + WRITE_LIFETIME_MS, attempts=0
            )
            p.taken, p.waits_for = False, "leader"
        elif answer.outcome == "no_quorum" or (answer.outcome == "no" and reason in TRANSIENT_REASONS):
            p.waits_for = "leader"
        else:
            self._answer(p, answer)

    # When leaders change, and when time goes by

    def lost_leader(self) -> None:
        """This member leads no more, or anew: what it was about to say can only be said after another try."""
        for p in list(self.pending.values()):
            if p.waits_for in ("commit", "read", "seen", "applied", "transfer"):
                p.waits_for = "leader"
        self.by_index.clear()
        self.reading.clear()
        self.last_retry = 0.0

    def link_lost(self, member: str) -> None:
        for p in list(self.pending.values()):
            if p.waits_for == member:
                p.waits_for = "leader"

    def leader_changed(self) -> None:
        raft = self.member.raft
        leader = raft.leader_id if raft is not None else ""
        for p in list(self.pending.values()):
            if isinstance(p.wish, wire.InForce):
                continue  # asked of each member, whoever leads
            if p.waits_for not in ("leader", "commit", "read", "seen", "applied", "transfer", leader):
                p.waits_for = "leader"  # a member was asked that leads no more
        self.last_retry = 0.0

    def tick(self, now: float) -> None:
        for p in list(self.pending.values()):
            if now >= p.until:
                self._late(p)
        if now - self.last_retry >= RETRY_PERIOD_S:
            self.last_retry = now
            for p in list(self.pending.values()):
                if p.waits_for == "leader" and not p.over:
                    if p.relayed:
                        self._answer(p, wire.Response(0, "no", "not_leader: ask again"))
                    else:
                        self._try(p)
                elif p.waits_for == "transfer":
                    self._look_at_transfer(p)

    def _doubtful(self, p: PendingRequest) -> bool:
        """Whether a leader had it and it would change something: nobody can say here what came of it."""
        writes = isinstance(
            p.wish, wire.Transaction | wire.AddMember | wire.RemoveMember | wire.TransferLeadership
        )
        return writes and p.taken

    def _late(self, p: PendingRequest) -> None:
        if self._doubtful(p):
            text = "unknown: it may be committed or not; nobody could say in time"
            self._answer(p, wire.Response(0, "unknown", text))
        else:
            text = "no_quorum: no leader with a quorum answered in time"
            self._answer(p, wire.Response(0, "no_quorum", text))

    def _look_at_transfer(self, p: PendingRequest) -> None:
        raft = self.member.raft
        if (
            raft is not None
            and raft.is_leader
            and not raft.transferee
            and isinstance(p.wish, wire.TransferLeadership)
        ):
            self._answer(p, wire.Response(0, "no", "failed: it did not take over in time"))

    # Members that come

    def take_in(self, link: Link, member: Member) -> None:
        def done(answer: wire.Response) -> None:
            raft = self.member.raft
            if answer.outcome == "ok" and raft is not None:
                config = raft.configuration
                if config.get(member.id) is None:
                    config = config.with_member(msgspec.structs.replace(member, voter=False))
                link.send(wire.ClusterFormed(self.member.identity.cluster, config))
            elif answer.outcome == "no":
                log.info("member not taken in", member=member.name, reason=answer.text)

        if any(
            isinstance(p.wish, wire.AdmitMember) and p.wish.member == member for p in self.pending.values()
        ):
            return
        self.request(wire.AdmitMember(member), done, 2.0)

    def _take_in(self, p: PendingRequest, member: Member) -> None:
        """An earlier life of a member is removed first; then the new one is added, and asks once more."""
        m, raft, now = self.member, self.member.raft, time.monotonic()
        assert raft is not None
        if raft.configuration.get(member.id) is not None:
            self._answer(p, wire.Response(0, text="taken in"))
            return
        old = raft.configuration.find_by_name(member.name)
        if old is not None:
            progress = raft.peers.get(old.id)
            if old.id == m.identity.id or (
                progress is not None and now - progress.last_response_at < INCARNATION_SILENCE_S
            ):
                raise RequestRejectedError(f"alive: another daemon is {member.name} and answers")
            raft.remove_member(now, old.id)
            self.metrics.count("store_lives_replaced")
            log.warning("an earlier life of a member is removed", member=member.name, id=old.id)
            invite = KeyUpdate(INVITED_PREFIX + member.name, {"address": member.address})
            m.propose(
                Command(f"again-{member.id}", 1, m.log_clock() + WRITE_LIFETIME_MS, "store", (), (invite,))
            )
            self._answer(p, wire.Response(0, "no", "again: its earlier life is removed first"))
            return
        item = m.machine.get(INVITED_PREFIX + member.name)
        if item is None:
            raise RequestRejectedError(f"not_invited: nobody added {member.name}; see `gradegap store add`")
        learner = msgspec.structs.replace(member, voter=False)
        self._wait_for(p, raft.add_member(now, learner))

    # Watches

    def _watch(self, link: Link, serial: int, wish: wire.Watch) -> None:
        machine = self.member.machine
        if len(self.watching) >= MAX_WATCHES:
            self.metrics.count("store_busy")
            link.send(wire.Response(serial, "no", "busy: too many watches"))
            return
        try:
            since = list(machine.events_since(wish.revision, wish.prefix)) if wish.revision else []
        except CommandError as error:
            link.send(wire.Response(serial, "no", str(error)))
            return
        for k in range(0, len(since), 200):
            link.send(wire.Response(serial, revision=machine.revision, events=since[k : k + 200], more=True))
        watching = Watch(link, serial, wish.prefix)
        self.watching.add(watching)
        link.closing.append(lambda: self.watching.discard(watching))
        link.send(wire.Response(serial, text="watching", revision=machine.revision, more=True))

    def _changed(self, events: list[Event]) -> None:
        for w in list(self.watching):
            mine = [e for e in events if e.key.startswith(w.prefix)]
            if not mine:
                continue
            if w.link.unsent() > MAX_WATCH_UNSENT_BYTES:
                # It can come again from the revision that it saw last, and will miss nothing.
                w.link.end("slow_watcher")
                continue
            revision = max(e.revision for e in mine)
            w.link.send(wire.Response(w.serial, revision=revision, events=mine, more=True))

    # Whole

    def _snapshot(self, ask: wire.Request, done: ResponseCallback) -> None:
        """Read linearizably, then packed in a thread, then sent in pieces."""
        m = self.member

        def read(answer: wire.Response) -> None:
            if answer.outcome != "ok":
                done(answer)
                return
            m.in_thread(m.thread.submit(encode_snapshot, m.machine.export_state()), packed)

        def packed(data: bytes) -> None:
            revision = m.machine.revision
            for k in range(0, len(data), SNAPSHOT_PIECE_BYTES):
                more = k + SNAPSHOT_PIECE_BYTES < len(data)
                done(wire.Response(0, revision=revision, data=data[k : k + SNAPSHOT_PIECE_BYTES], more=more))

        if m.raft is not None and not m.raft.is_leader:
            # The state is read here: this member first waits until it has what the leader had committed.
            self._when_as_far_as_the_leader(read, ask.timeout_s)
        else:
            self.request(wire.List("\0"), read, ask.timeout_s)

    def _when_as_far_as_the_leader(self, then: ResponseCallback, left: float) -> None:
        def read(answer: wire.Response) -> None:
            self._when_revision(answer, then, time.monotonic() + left)

        self.request(wire.List("\0"), read, left)

    def _when_revision(self, answer: wire.Response, then: ResponseCallback, until: float) -> None:
        m = self.member
        if answer.outcome != "ok" or m.machine.revision >= answer.revision:
            then(answer)
        elif time.monotonic() > until:
            then(wire.Response(0, "no_quorum", "no_quorum: this member is behind"))
        else:
            m.loop.call_later(RETRY_PERIOD_S, self._when_revision, answer, then, until)

    def status(self) -> dict[str, Any]:
        m, now = self.member, time.monotonic()
        raft = m.raft
        known: dict[str, Any] = {
            "name": m.settings.name,
            "id": m.identity.id,
            "cluster": m.identity.cluster,
            "revision": m.machine.revision,
            "keys": len(m.machine.items),
            "removed": m.removed,
            "held_lease_ms": max(0, round((m.holder.until - now) * 1000)),
            "nodes": {n: s | {"age_ms": round((now - at) * 1000)} for n, (at, s) in self.nodes.items()},
        }
        if raft is None:
            return known | {"role": "stopped" if m.removed else "forming", "members": []}
        members = []
        for each in raft.configuration.members:
            p = raft.peers.get(each.id)
            row: dict[str, Any] = {
                "name": each.name,
                "id": each.id,
                "address": each.address,
                "voter": each.voter,
                "leader": each.id == raft.leader_id,
            }
            if p is not None:
                row |= {"match": p.match_index, "silent_ms": max(0, round((now - p.last_response_at) * 1000))}
            members.append(row)
        leader = raft.configuration.get(raft.leader_id)
        state: dict[str, Any] = msgspec.to_builtins(raft.status(now))
        state["leader"] = leader.name if leader is not None else ""
        if m.granter is not None:
            state["leases"] = len(m.granter.grants)
        return known | state | {"members": members}

    def close(self) -> None:
        for p in list(self.pending.values()):
            outcome = "unknown" if self._doubtful(p) else "no"
            self._answer(p, wire.Response(0, outcome, f"{outcome}: this member ends"))
