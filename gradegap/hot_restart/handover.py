"""One process of a node takes the place of another, while clients stay connected.

The process that serves listens on a Unix socket in the node's own folder. One that starts finds it there, and
is given the clients' listening socket, the list of backends with what their probes said, and what is out by
hand. Once it takes clients, the first stops accepting and passes on its sessions, each with both of its
sockets. It stays, until SIGTERM, to answer its reqs, to move what can't pass, and to serve again if its
successor dies.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Protocol

import msgspec
import structlog

from gradegap.balancing.events import AttemptResult, EndpointEntry, EndpointListKind, EndpointPhase
from gradegap.downstream.framing import Opening
from gradegap.downstream.session import Resuming, TcpChannel
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import ConnectionRequest, Proxy
from gradegap.transport.descriptors import Descriptors, DialedSocket
from gradegap.upstream.connections import Backends, Fetch

log = structlog.get_logger()

FIND_WAIT = 1.5  # s for the process that serves to say all it has to
ORDER_WAIT = 0.6  # s for the other process to have a call in force
LARGEST = 128 * 1024  # bytes of a message
BATCH = 50  # entries in one
MOST_FDS = 4
WINDOW = 8  # sessions on their way at once: what is in flight is held twice
TICK = 0.02  # s between two looks for sessions that can be passed
TELL = 0.1  # s between two words on how many descriptors are held


class Offer(msgspec.Struct, tag="offer"):
    """What a successor needs first; the listening socket comes along."""

    out: dict[str, float]
    sockets: int  # descriptors that the first process holds
    ring: bytes = b""  # what seals tokens of resumable sessions, where no store holds it


class Known(msgspec.Struct, tag="known"):
    """One backend: its last told entry, when it was told to drain, and its last report with its time."""

    id: str
    address: str
    zone: str
    cell: int
    phase: int
    weight: float
    started_at: float
    told_at: float | None = None
    report: dict[str, float] | None = None
    report_at: float = 0.0


class Listed(msgspec.Struct, tag="listed"):
    backends: list[Known]


class Begin(msgspec.Struct, tag="begin"):
    """All that a successor is told has been said."""


class Ready(msgspec.Struct, tag="ready"):
    """The successor takes clients."""


class Door(msgspec.Struct, tag="door"):
    """A client that has not asked for anything yet, with its socket."""

    serial: int
    buffer: bytes
    idle: bool
    left: float  # s until it has said nothing for too long


class Standing(msgspec.Struct, tag="standing"):
    """A standing session, with its client's and its backend's sockets."""

    serial: int
    ask: ConnectionRequest
    before: bytes
    after: bytes
    backend: str
    part: bytes  # of a line from the backend whose end is still to come
    heard_at: float
    asked_at: float | None
    said: int | None
    report: dict[str, float] | None


class Taken(msgspec.Struct, tag="taken"):
    serial: int
    good: bool


class Order(msgspec.Struct, tag="order"):
    """A call at the other process's console."""

    serial: int
    what: str
    server: str


class Obeyed(msgspec.Struct, tag="obeyed"):
    serial: int


class Held(msgspec.Struct, tag="held"):
    """How many descriptors this process holds: together they have one limit."""

    sockets: int


class Lease(msgspec.Struct, tag="lease"):
    """How long, in s, this process may have decided by the store; it reports nothing to it any more."""

    left: float
    out: dict[str, float]  # save servers out by hand, as of now


class Port(msgspec.Struct, tag="port"):
    """The QUIC front's port goes to the next process, with what the front says of itself."""

    told: bytes


Message = Port | Lease | Offer | Listed | Begin | Ready | Door | Standing | Taken | Order | Obeyed | Held
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class Link:
    """Two processes of one node: messages over a Unix socket, with descriptors along."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        heard: Callable[[Link, Any, list[int]], None],
        lost: Callable[[Link], None],
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.heard = heard
        self.lost = lost
        self.waiting: deque[tuple[bytes, tuple[int, ...]]] = deque()
        self.closed = False
        self.orders: dict[int, Callable[[], None]] = {}  # what waits for the other process to obey
        self.serial = 0
        sock.setblocking(False)
        loop.add_reader(sock, self._readable)

    def send(self, message: Message, *fds: int) -> None:
        """`fds` stay open here until this is out; who closes them waits for an answer."""
        if not self.closed:
            self.waiting.append((msgspec.msgpack.encode(message), fds))
            if len(self.waiting) == 1:
                self._write()

    def order(self, what: str, server: str, done: Callable[[], None]) -> None:
        """Have the other process obey a call too; `done` when it has, or is gone."""
        self.serial += 1
        serial = self.serial
        timer = self.loop.call_later(ORDER_WAIT, self._obeyed, serial)

        def over() -> None:
            timer.cancel()
            done()

        self.orders[serial] = over
        self.send(Order(serial, what, server))

    def _obeyed(self, serial: int) -> None:
        done = self.orders.pop(serial, None)
        if done is not None:
            done()

    def _write(self) -> None:
        while self.waiting and not self.closed:
            body, fds = self.waiting[0]
            try:
                socket.send_fds(self.sock, [body], fds)
            except (BlockingIOError, InterruptedError):
                self.loop.add_writer(self.sock, self._writable)
                return
            except OSError as error:
                log.warning("the other process can't be told", error=str(error))
                self.close()
                return
            self.waiting.popleft()

    def _writable(self) -> None:
        self.loop.remove_writer(self.sock)
        self._write()

    def _readable(self) -> None:
        for _ in range(16):
            if self.closed:
                return
            try:
                body, fds, flags, _ = socket.recv_fds(self.sock, LARGEST, MOST_FDS)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.close()
                return
            if not body:
                self.close()
                return
            try:
                if flags & (socket.MSG_CTRUNC | socket.MSG_TRUNC):
                    raise ValueError("cut short")
                message = _decoder.decode(body)
            except ValueError as error:
                # Guards against a process of another version: what it passed stays its own.
                log.error("the other process said what can't be read", error=str(error))
                close_all(fds)
                self.close()
                return
            if isinstance(message, Obeyed):
                self._obeyed(message.serial)
            else:
                self.heard(self, message, list(fds))

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        orders, self.orders = self.orders, {}
        for done in orders.values():
            done()
        self.lost(self)


def close_all(fds: list[int]) -> None:
    for fd in fds:
        with contextlib.suppress(OSError):
            os.close(fd)


@contextlib.contextmanager
def _reachable(path: Path) -> Any:
    """A name for a path of any length: a Unix socket's may have 107 bytes."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{folder}/"
    finally:
        os.close(folder)


class Waiting:
    """The Unix socket on which the process that serves waits for its successor."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, path: Path, came: Callable[[socket.socket], None]
    ) -> None:
        self.loop = loop
        self.came = came
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        beside = f"{path.name}.{os.getpid()}"
        try:
            with _reachable(path) as folder:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(folder + beside)
                self.sock.bind(folder + beside)
                os.chmod(folder + beside, 0o600)
                self.sock.listen(1)
                # Renamed into place: whoever was there before is found no more, stale or not.
                os.rename(folder + beside, path)
        except OSError:
            self.sock.close()
            raise
        self.sock.setblocking(False)
        loop.add_reader(self.sock, self._readable)

    def _readable(self) -> None:
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        own = (
            struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))[1] == os.getuid()
        )
        if own:
            self.came(sock)
        else:
            sock.close()  # guards the clients' sockets against another user's process

    def close(self) -> None:
        self.loop.remove_reader(self.sock)
        self.sock.close()


async def find(loop: asyncio.AbstractEventLoop, path: Path) -> socket.socket | None:
    """The process that serves, if there is one; a socket that nobody listens on is stale."""
    if not path.exists():
        return None
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    try:
        with _reachable(path) as folder:
            await asyncio.wait_for(loop.sock_connect(sock, folder + path.name), FIND_WAIT)
    except (OSError, TimeoutError) as error:
        log.info("no process of this node to follow", error=str(error))
        sock.close()
        return None
    return sock


class Host(Protocol):
    """The node, as a handover sees it."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    proxy: Proxy
    backends: Backends
    descriptors: Descriptors
    channels: set[TcpChannel]
    listening: socket.socket | None
    leaving: bool
    resuming: Resuming | None

    def channel(self) -> TcpChannel: ...
    def stop_accepting(self) -> None: ...
    def accept_again(self) -> None: ...
    def obey(self, what: str, server: str) -> None: ...
    def leave_store(self) -> float: ...
    def inherit(self, left: float, out: Mapping[str, float]) -> None: ...
    def give_port(self) -> tuple[bytes, list[int]] | None: ...
    def take_port(self, told: bytes, fds: list[int]) -> None: ...
    def port_alone(self) -> None: ...


class Handover:
    """A node's part in it: as the process that follows one, and as the one that is followed."""

    def __init__(self, node: Host, path: Path | None) -> None:
        self.node = node
        self.path = path
        self.loop = node.loop
        self.link: Link | None = None
        self.waiting: Waiting | None = None
        self.begun: asyncio.Future[bool] | None = None
        self.offer: Offer | None = None
        self.listed: list[Known] = []
        self.gave_way = False  # the successor takes clients, this process no new ones
        self.serial = 0
        self.given: dict[int, tuple[TcpChannel, Fetch | None, Standing | None]] = {}  # until they are taken
        self.told_held = -1
        node.metrics.gauge("successor", lambda: self.link is not None and self.gave_way)

    # As the process that follows

    async def follow(self) -> bool:
        """Be told what the process that serves knows; False where there is none, or it says too little."""
        sock = await find(self.loop, self.path) if self.path is not None else None
        if sock is None:
            return False
        self.begun = self.loop.create_future()
        self.link = link = Link(self.loop, sock, self._heard, self._lost)
        try:
            good = await asyncio.wait_for(asyncio.shield(self.begun), FIND_WAIT)
        except TimeoutError:
            good = False
        if not good:
            self.node.metrics.count("handovers_failed")
            log.warning("the process of this node that serves did not answer; starting alone")
            link.close()
        return good

    def _begin(self) -> None:
        proxy = self.node.proxy
        entries = []
        for k in self.listed:
            phase = EndpointPhase(k.phase)
            entry = EndpointEntry(k.id, k.zone, k.cell, phase, k.weight, k.started_at)
            entries.append((entry, k.address))
        proxy.listing(EndpointListKind.CACHED, entries)
        proxy.told_before({k.id: k.told_at for k in self.listed if k.told_at is not None})
        for server, at in (self.offer.out if self.offer is not None else {}).items():
            proxy.take_out(server, at)
        reports = sorted((k.report_at, k.id, k.report) for k in self.listed if k.report is not None)
        for at, server, report in reports:
            proxy.recall(at, server, report)
        self.listed = []
        if self.begun is not None and not self.begun.done():
            self.begun.set_result(True)

    def serves(self) -> None:
        """This process takes clients: tell the one before it, and wait for the next."""
        if self.link is not None:
            self.link.send(Ready())
            self._tell_held()
        self._wait_for_next()

    def _wait_for_next(self) -> None:
        if self.path is None or self.waiting is not None:
            return
        try:
            self.waiting = Waiting(self.loop, self.path, self._came)
        except OSError as error:
            # Without it the next process starts alone, and this one leaves as at any planned stop.
            self.node.metrics.count("handovers_failed")
            log.error("a next process can't find this one", error=str(error))

    def _adopt(self, message: Door | Standing, fds: list[int]) -> bool:
        """Take a session over; its lines go on where they were."""
        if len(fds) != (1 if isinstance(message, Door) else 2):
            close_all(fds)
            return False
        node, channel = self.node, self.node.channel()
        session, dialer = channel.session, self.node.backends.dialer
        channel.adopted = True
        client = socket.socket(fileno=fds[0])
        client.setblocking(False)
        if isinstance(message, Door):
            session.buffer += message.buffer
            session.idle = message.idle
            session.wait(message.left)
            dialer.made.put_nowait((client, channel))
            node.metrics.count("taken_over_door")
            return True
        session.unwait()
        session.opening = Opening(message.ask, message.before, message.after)
        req = node.proxy.adopt(session, message.ask, message.backend, message.heard_at, message.asked_at)
        if req is None or req.attempt is None:
            client.close()
            os.close(fds[1])
            return False
        fetch = Fetch(session, req.attempt, 0.0)
        fetch.sent = fetch.up = True
        fetch.said = None if message.said is None else AttemptResult(message.said)
        fetch.report = message.report
        req.attempt.fetch = fetch
        session.req, session.pipe, session.standing = req, fetch, True
        session.watch.part = message.part
        backend = DialedSocket(node.descriptors, client.family, fds[1])
        backend.setblocking(False)
        # The backend's side first: whatever the client says then finds it there.
        dialer.made.put_nowait((backend, fetch))
        dialer.made.put_nowait((client, channel))
        node.metrics.count("taken_over_standing")
        return True

    # As the process that is followed

    def _came(self, sock: socket.socket) -> None:
        node = self.node
        if self.link is not None or node.leaving or node.listening is None:
            sock.close()
            return
        self.link = link = Link(self.loop, sock, self._heard, self._lost)
        node.metrics.count("handovers_begun")
        ring = node.resuming.handed() if node.resuming is not None else b""
        link.send(Offer(dict(node.proxy.out), node.descriptors.own(), ring), node.listening.fileno())
        known = []
        for b in node.proxy.backends.values():
            if (e := b.told) is not None:
                k = Known(b.id, b.address, e.zone, e.cell, int(e.phase), e.weight, e.started_at)
                k.told_at = b.told_at if b.phase is not EndpointPhase.READY else None
                k.report, k.report_at = dict(b.report) if b.report is not None else None, b.report_at
                known.append(k)
        for start in range(0, len(known), BATCH):
            link.send(Listed(known[start : start + BATCH]))
        link.send(Begin())
        self._tell_held()

    def _give_way(self) -> None:
        log.info("the next process takes clients", sessions=len(self.node.channels))
        self.node.metrics.count("handovers")
        self.gave_way = True
        self.node.stop_accepting()
        if self.link is not None and (left := self.node.leave_store()) > 0:
            self.link.send(Lease(left, dict(self.node.proxy.out)))
        port = self.node.give_port()
        if self.link is not None and port is not None:
            self.link.send(Port(port[0]), *port[1])
        if self.waiting is not None:
            self.waiting.close()
            self.waiting = None
        self._pass_on()

    def _pass_on(self) -> None:
        """Guards against moves, and the wave of returns that they bring the save store: what stands goes to
        the next process as it is. What can't yet is looked at again, until this one ends and moves it."""
        if self.link is None or not self.gave_way:
            return
        for channel in list(self.node.channels):
            if len(self.given) >= WINDOW:
                break
            self._give(channel)
        self.loop.call_later(TICK, self._pass_on)

    def _give(self, channel: TcpChannel) -> None:
        session, transport, link = channel.session, channel.transport, self.link
        if transport is None or link is None or session.closed or not channel.at_rest():
            return
        fd = transport.get_extra_info("socket").fileno()
        self.serial += 1
        if session.opening is None:
            message = Door(self.serial, bytes(session.buffer), session.idle, session.time_left())
            self.given[self.serial] = channel, None, None
            transport.pause_reading()
            session.closed = True
            session.unwait()
            self.node.descriptors.rank(channel, None)
            link.send(message, fd)
            return
        fetch, req = session.pipe, session.req
        if not isinstance(fetch, Fetch) or req is None or req.attempt is None or fetch.transport is None:
            return
        fit = req.standing and not req.moved and not session.moving and fetch.at_rest()
        if not fit or req.attempt.backend.phase is not EndpointPhase.READY:
            return
        standing = Standing(
            self.serial,
            req.ask,
            session.opening.before,
            session.opening.after,
            req.attempt.backend.id,
            session.watch.part,
            req.heard_at,
            req.asked_at,
            None if fetch.said is None else int(fetch.said),
            fetch.report,
        )
        self.given[self.serial] = channel, fetch, standing
        transport.pause_reading()
        fetch.transport.pause_reading()
        session.closed = fetch.over = True
        self.node.proxy.gave(req)
        link.send(standing, fd, fetch.transport.get_extra_info("socket").fileno())

    def _taken(self, serial: int, good: bool) -> None:
        channel, fetch, standing = self.given.pop(serial, (None, None, None))
        if channel is None:
            return
        if not good:
            self._take_back(channel, fetch, standing)
            return
        self.node.metrics.count("passed_on_door" if fetch is None else "passed_on_standing")
        for each in (fetch, channel):
            # Our descriptors only: the connections live on in the other process.
            if each is not None and each.transport is not None:
                each.transport.abort()

    def _take_back(self, channel: TcpChannel, fetch: Fetch | None, standing: Standing | None) -> None:
        """Guards against a successor that could not take a session, or died before it said so."""
        self.node.metrics.count("taken_back")
        session = channel.session
        session.closed = False
        if fetch is None or standing is None:
            session.wait(1.0)
            self.node.descriptors.accepted_again(channel, session.idle)
        else:
            fetch.over = False
            args = (standing.ask, standing.backend, standing.heard_at, standing.asked_at)
            session.req = req = self.node.proxy.adopt(session, *args)
            if req is None or req.attempt is None:
                session.lost()
                return
            fetch.attempt, req.attempt.fetch = req.attempt, fetch
        for each in (fetch, channel):
            if each is not None and each.transport is not None:
                each.transport.resume_reading()

    # Both

    def _heard(self, link: Link, message: Any, fds: list[int]) -> None:
        match message:
            case Offer() if len(fds) == 1 and self.begun is not None:
                self.offer = message
                self.node.descriptors.beside = message.sockets
                if self.node.resuming is not None:
                    self.node.resuming.take_over(message.ring)
                self.node.listening = socket.socket(fileno=fds[0])
                return
            case Listed():
                self.listed += message.backends
            case Begin():
                self._begin()
            case Ready():
                self._give_way()
            case Door() | Standing():
                link.send(Taken(message.serial, self._adopt(message, fds)))
                return
            case Taken():
                self._taken(message.serial, message.good)
            case Order():
                self.node.obey(message.what, message.server)
                link.send(Obeyed(message.serial))
            case Held():
                self.node.descriptors.beside = message.sockets
            case Port():
                self.node.take_port(message.told, fds)
                return
            case Lease():
                self.node.inherit(message.left, message.out)
        close_all(fds)

    def order(self, what: str, server: str, done: Callable[[], None]) -> None:
        """A call binds both processes."""
        if self.link is None:
            done()
        else:
            self.link.order(what, server, done)

    def _tell_held(self) -> None:
        if self.link is not None:
            held = self.node.descriptors.own()
            if held != self.told_held:
                self.told_held = held
                self.link.send(Held(held))
            self.loop.call_later(TELL, self._tell_held)

    def _lost(self, link: Link) -> None:
        """The other process is gone. Guards against a successor's death: what it has not taken stays, and
        unless this process is leaving, it serves again."""
        if link is not self.link:
            return
        self.link, self.told_held = None, -1
        if not self.gave_way:
            self.node.port_alone()
        self.node.descriptors.beside = 0
        if self.begun is not None and not self.begun.done():
            self.begun.set_result(False)
        given, self.given = self.given, {}
        for channel, fetch, standing in given.values():
            self._take_back(channel, fetch, standing)
        if self.gave_way and not self.node.leaving:
            self.gave_way = False
            log.warning("the next process has gone; this one serves again")
            self.node.metrics.count("handovers_undone")
            self.node.accept_again()
            self._wait_for_next()

    def close(self) -> None:
        if self.waiting is not None:
            self.waiting.close()
            self.waiting = None
        if self.link is not None:
            self.link.close()
