"""The QUIC front: the UDP socket, and whose each datagram is.

A connection's ids say who holds it (`ids`, `routing`), so a client whose address changes is the same session:
its backend and its req stay, and the core hears nothing of the move. Ids that name nobody reach nobody.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import secrets
import socket
import ssl
import time
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

import msgspec
import structlog
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import encode_quic_retry, encode_quic_version_negotiation

from gradegap.downstream.session import Resuming
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.quic.channel import QuicChannel
from gradegap.quic.connection import HeldConnection
from gradegap.quic.credentials import SOON, read
from gradegap.quic.keys import NONCE, RING, SERVER, Holder, Keys, QuicRing
from gradegap.quic.relay import Inlet, Relay, pair
from gradegap.quic.routing import RESET_LEAST, Bucket, Route, Router, Way
from gradegap.quic.settings import QuicSettings
from gradegap.quic.stream import CloseCode
from gradegap.quic.tokens import BadToken, Tokens
from gradegap.quic.trace import Traces

if TYPE_CHECKING:
    from gradegap.store.machine import StateMachine

log = structlog.get_logger()

USED_TOLD = 3000  # used tokens that the next process is told of; older ones it does not believe

WINDOW = 256 * 1024  # bytes that a client may send ahead at first
MOST_HANDSHAKES = 256  # handshakes under way at once
MOST_BEFORE = 2  # processes before this one that are still forwarded to
RESET_MOST = 42  # octets of a stateless reset, as of a small packet
WARN_EVERY = 24 * 3600.0  # s
RETIRED_FOR = 3.0  # s in which packets to an id that was retired are only late
RESETS, RESET_BURST = 200.0, 100  # stateless resets a second, and at once


class Handed(msgspec.Struct):
    """What a process that gives the port on tells the next."""

    holders: list[Holder]  # this process, then those before it that still hold sessions
    ring: QuicRing
    used: list[tuple[bytes, float]]
    since: float  # Unix time before which `used` is not all


class QuicFront(asyncio.DatagramProtocol):
    """The UDP socket, what this process holds, and what it answers to those whom nobody holds."""

    def __init__(
        self,
        proxy: Proxy,
        metrics: Metrics,
        ready: Callable[[], bool],
        settings: QuicSettings,
        name: str,
        machine: Callable[[], StateMachine | None],
    ) -> None:
        """`name` is the node's; `machine` the store's, where there is one by now."""
        self.proxy = proxy
        self.loop = proxy.loop
        self.metrics = metrics
        self.ready = ready
        self.machine = machine
        self.most = settings.max_sessions
        self.accept = True
        self.resuming: Resuming | None = None
        self.retry_from = settings.retry_from
        self.transport: asyncio.DatagramTransport | None = None
        number = settings.node if settings.node is not None else zlib.crc32(name.encode()) & 0xFFFF
        self.me = Holder(number, secrets.randbelow(256))
        self.ring_at = -1  # revision of the ring in force, of the store's
        self.keys = Keys(QuicRing().rotated(time.time_ns() // 1_000_000))  # until the store has some
        self.relays: dict[Holder, Relay] = {}  # other processes of this node, and the way to each
        self.router = Router(self.keys, self.me, self.relays.__contains__)
        self.sock: socket.socket | None = None  # the port, also where another process reads it
        self.inlet: Inlet | None = None  # what that one forwards
        self.way_here: socket.socket | None = None  # the end that it writes to
        self.tokens = Tokens(self.keys)
        self.ends: asyncio.TimerHandle | None = None  # when the certificate is looked at again
        self.resets = Bucket(RESETS, RESET_BURST)
        self.routes: dict[bytes, QuicChannel] = {}  # by ids of ours
        self.firsts: dict[tuple[bytes, Any], QuicChannel] = {}  # by the client's first id, and its address
        self.channels: set[QuicChannel] = set()
        self.retired: dict[bytes, float] = {}  # ids of sessions that stand, lately retired, with until when
        self.settings = settings
        self.traces = Traces(settings.qlog, settings.qlog_mb, metrics) if settings.qlog else None
        # Open for as long as the process lives: secrets of each session go there as they are made.
        self.keylog = open(settings.keylog, "a") if settings.keylog else None  # noqa: SIM115
        if self.keylog is not None:
            log.warning("secrets of all QUIC sessions are written to a file", keylog=settings.keylog)
        self.configuration = self._configured()
        self._warn_of_end()
        metrics.gauge("quic_connections", lambda: len(self.channels))
        metrics.gauge("quic_sessions", self.sessions)
        metrics.gauge("quic_ids", lambda: len(self.routes))
        metrics.gauge("quic_certificate_days", self._days_left)

    def set_most(self, value: int) -> None:
        self.most = value

    def sessions(self) -> int:
        return sum(len(c.streams) for c in self.channels)

    def room(self) -> bool:
        return self.accept and self.sessions() < self.most

    def set_accept(self, value: bool) -> None:
        self.accept = value

    def _configured(self) -> QuicConfiguration:
        """With the certificate as it is on disk now; `BadCredentials` where it can't be used."""
        settings = self.settings
        self.credentials = read(settings.certificate, settings.private_key)
        made = QuicConfiguration(
            is_client=False,
            alpn_protocols=list(settings.alpn),
            connection_id_length=1 + SERVER + NONCE,
            idle_timeout=settings.idle_s,
            max_data=WINDOW,
            max_stream_data=WINDOW,
            verify_mode=ssl.CERT_NONE,
            secrets_log_file=self.keylog,
        )
        made.load_cert_chain(settings.certificate, settings.private_key)
        return made

    def reload(self) -> None:
        """The certificate anew, for who comes next; sessions that stand keep the keys that they have. One
        that can't be used changes nothing."""
        try:
            self.configuration = self._configured()
        except ValueError as error:
            self.metrics.count("quic_certificates_refused")
            log.error("the certificate was not reloaded, the old one is kept", error=str(error))
            return
        self.metrics.count("quic_certificates")
        log.info("certificate", subject=self.credentials.subject, until=str(self.credentials.until))
        self._warn_of_end()

    def _days_left(self) -> float:
        return round(self.credentials.days_left(datetime.datetime.now(datetime.UTC)), 1)

    def _warn_of_end(self) -> None:
        if (left := self._days_left()) < SOON:
            log.warning("the certificate ends soon", days=left, subject=self.credentials.subject)
        if self.ends is not None:
            self.ends.cancel()
        self.ends = self.loop.call_later(WARN_EVERY, self._warn_of_end)

    # The port

    async def listen(self, host: str, port: int) -> None:
        """`OSError` where the port can't be had."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        await self._read(sock)

    async def _read(self, sock: socket.socket) -> None:
        self.sock = sock
        await self.loop.create_datagram_endpoint(lambda: self, sock=sock.dup())

    def give(self) -> tuple[Handed, list[int]]:
        """This process reads the port no more: what the next one is to know, with the descriptors that go
        along. It keeps its sessions, answers by its copy of the socket, and hears of them by the inlet."""
        assert self.sock is not None
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        if self.inlet is None or self.way_here is None:
            reads, self.way_here = pair()
            self.inlet = Inlet(self.loop, reads, self.metrics, self.forwarded)
        used, whole = self.tokens.used.told(USED_TOLD)
        others = [h for h, relay in self.relays.items() if not relay.gone][:MOST_BEFORE]
        now = time.time()
        handed = Handed([self.me, *others], self.keys.ring, used, 0.0 if whole else now)
        log.info("QUIC's port goes to the next process", sessions=len(self.channels))
        fds = [self.sock.fileno(), self.way_here.fileno(), *(self.relays[h].sock.fileno() for h in others)]
        return handed, fds

    async def take(self, handed: Handed, fds: list[int]) -> None:
        """The port of the process before this one, which keeps the sessions that it has. Takes `fds` over."""
        socks = [socket.socket(fileno=fd) for fd in fds]
        if self.sock is not None or len(socks) != 1 + len(handed.holders):
            for each in socks:
                each.close()
            return
        self.relays |= {h: Relay(s, self.metrics) for h, s in zip(handed.holders, socks[1:], strict=True)}
        while self.me in self.relays:
            self.me = self.router.me = Holder(self.me.node, (self.me.process + 1) % 256)
        self.tokens.used.hear(handed.used)
        self.tokens.since = handed.since
        if self.ring_at < 0:
            self._adopt(Keys(handed.ring))
        await self._read(socks[0])
        log.info("QUIC's port is taken over", before=len(self.relays))

    async def serve_again(self) -> None:
        """The process that read the port has gone."""
        if self.sock is not None and self.transport is None:
            await self._read(self.sock)

    def alone(self) -> None:
        """The process before has ended: what it held is lost, and said to be."""
        for relay in self.relays.values():
            relay.close()
        self.relays.clear()

    # Keys

    def _look_at_ring(self) -> None:
        """The store's ring, as soon as it has one, and whenever it has turned."""
        machine = self.machine()
        item = machine.get(RING) if machine is not None else None
        if item is None or item.modified_revision == self.ring_at:
            return
        self.ring_at = item.modified_revision
        try:
            keys = Keys(msgspec.convert(item.value, QuicRing))
        except ValueError as error:
            self.metrics.count("quic_ring_unfit")
            log.error("the ring of QUIC's keys can't be used; the one before stays", error=str(error))
            return
        self._adopt(keys)
        self.metrics.count("quic_rings")
        log.info("QUIC's ring", bits=[k.bits for k in keys.ring.keys], makes=keys.newest)

    def _adopt(self, keys: Keys) -> None:
        self.keys = keys
        self.router.adopt(keys)
        self.tokens.adopt(keys)

    # What is held

    def make_id(self) -> bytes:
        return self.keys.ids.make(self.me.octets())

    def issue(self, connection_id: bytes, channel: QuicChannel) -> None:
        channel.ids.add(connection_id)
        self.routes[connection_id] = channel

    def retire(self, connection_id: bytes, channel: QuicChannel) -> None:
        channel.ids.discard(connection_id)
        if self.routes.get(connection_id) is channel:
            del self.routes[connection_id]
            # What is still under way to it is late, and no sign of a session that is lost.
            self.retired[connection_id] = self.loop.time() + RETIRED_FOR
            while self.retired and next(iter(self.retired.values())) <= self.loop.time():
                del self.retired[next(iter(self.retired))]

    def over(self, channel: QuicChannel) -> None:
        for each in channel.ids:
            self.routes.pop(each, None)
        self.firsts.pop(channel.first, None)
        self.channels.discard(channel)

    # Datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def forwarded(self, data: bytes, addr: Any) -> None:
        """From the process that reads the port now."""
        self.datagram_received(data, addr, forwarded=True)

    def datagram_received(self, data: bytes, addr: Any, forwarded: bool = False) -> None:
        self._look_at_ring()
        held = lambda cid: cid in self.routes or (cid, addr) in self.firsts  # noqa: E731
        route = self.router.route(data, held, forwarded)
        if forwarded and route.way is Way.NEW:
            # Guards against a session that begins where no new one is to: the client's next try is another's.
            self.metrics.count("quic_dropped_leaving")
            return
        match route.way:
            case Way.HERE:
                channel = self.routes.get(route.destination) or self.firsts[route.destination, addr]
                channel.receive(data, addr)
            case Way.FORWARD if route.holder is not None:
                if not self.relays[route.holder].send(data, addr):
                    del self.relays[route.holder]
            case Way.NEW:
                self._accept(route, data, addr)
            case Way.NEGOTIATE:
                self._negotiate(route, addr)
            case Way.RESET if self.retired.get(route.destination, 0.0) > self.loop.time():
                self.metrics.count("quic_dropped_retired")
            case Way.RESET:
                self._reset(route, data, addr)
            case _:
                self.metrics.count(f"quic_dropped_{route.why or route.way.value}")

    def send(self, data: bytes, addr: Any) -> None:
        """A datagram out, also where another process reads the port. One without room for it is lost."""
        if self.transport is not None:
            self.transport.sendto(data, addr)
        elif self.sock is not None:
            try:
                self.sock.sendto(data, addr)
            except OSError:
                self.metrics.count("quic_send_full")

    def _negotiate(self, route: Route, addr: Any) -> None:
        self.metrics.count("quic_negotiations")
        versions = self.configuration.supported_versions
        self.send(
            encode_quic_version_negotiation(
                source_cid=route.destination, destination_cid=route.source, supported_versions=versions
            ),
            addr,
        )

    def _reset(self, route: Route, data: bytes, addr: Any) -> None:
        """Tell a client that what its packet is about is lost here (RFC 9000, 10.3), so that it does not wait
        for its idle time: this process held it before it was started anew, or has forgotten it."""
        if not self.resets.take(self.loop.time()):
            self.metrics.count("quic_resets_held_back")
            return
        self.metrics.count("quic_resets")
        size = max(RESET_LEAST, min(len(data) - 1, RESET_MOST))
        token = self.keys.reset_token(route.destination)
        noise = secrets.token_bytes(size - len(token))
        self.send(bytes([0x40 | noise[0] & 0x3F]) + noise[1:] + token, addr)

    def _accept(self, route: Route, data: bytes, addr: Any) -> None:
        under_way = sum(1 for c in self.channels if not c.shook)
        if not self.room() or len(self.channels) >= self.most or under_way >= MOST_HANDSHAKES:
            # Guards against floods of first packets: over the limit they are dropped, and may come again.
            self.metrics.count("quic_crowded")
            return
        original, retried = route.destination, None
        if route.token or under_way >= self.retry_from:
            # Guards against floods from forged addresses: beyond some handshakes at once a client must
            # show by a token that it hears what is sent to its address, before anything is kept for it.
            try:
                first = self.tokens.proven(route.token, addr, route.destination, time.time())
            except BadToken as error:
                if route.token:
                    self.metrics.count(f"quic_token_{str(error).split(':')[0]}")
                if under_way >= self.retry_from:
                    self._ask_again(route, addr)
                    return
                first = None  # served as one that has brought none
            if first is not None:
                original, retried = first, route.destination
        configuration = self.configuration
        if self.traces is not None and self.traces.room:
            configuration = dataclasses.replace(configuration, quic_logger=self.traces)
        connection = HeldConnection(configuration, original, retried, self.make_id, self.keys.reset_token)
        channel = QuicChannel(self, connection, addr)
        channel.first = (route.destination, addr)
        self.channels.add(channel)
        self.firsts[channel.first] = channel
        self.issue(connection.host_cid, channel)
        if not channel.receive(data, addr):
            # Guards memory against noise that begins like a first packet: nothing is kept for it.
            self.metrics.count("quic_dropped_unopened")
            channel.forget()

    def _ask_again(self, route: Route, addr: Any) -> None:
        source = self.make_id()
        answer = encode_quic_retry(
            version=route.version,
            source_cid=source,
            destination_cid=route.source,
            original_destination_cid=route.destination,
            retry_token=self.tokens.retry(addr, route.destination, source, time.time()),
        )
        self.metrics.count("quic_retries")
        self.send(answer, addr)

    def answering(self) -> bool:
        """Whether a client may still lack the end of what was said to it."""
        return any(c.answering() for c in self.channels)

    def close(self) -> None:
        for channel in list(self.channels):
            channel.abort(CloseCode.LEAVING)
            channel.flush()
        if self.transport is not None:
            self.transport.close()
        if self.sock is not None:
            self.sock.close()
        if self.inlet is not None and self.way_here is not None:
            self.inlet.close()
            self.way_here.close()
        self.alone()
        if self.ends is not None:
            self.ends.cancel()
        if self.keylog is not None:
            self.keylog.close()


__all__ = ["CloseCode", "QuicFront"]
