"""The QUIC front: the UDP socket, and whose each datagram is.

A connection's ids say who holds it (`ids`, `routing`), so a client whose address changes is the same session:
its backend and its req stay, and the core hears nothing of the move. Ids that name nobody reach nobody.
"""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
import socket
import time
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

import msgspec
import structlog

from gradegap.downstream.session import SessionResumption
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.quic.certificate import ServerCertificate
from gradegap.quic.channel import QuicConnectionChannel
from gradegap.quic.connection import HeldConnection
from gradegap.quic.keys import RING_KEY, DerivedKeys, Holder, QuicRing
from gradegap.quic.relay import DatagramForwarder, ForwardedDatagrams, socket_pair
from gradegap.quic.routing import Route, RouteKind, Router
from gradegap.quic.settings import QuicSettings
from gradegap.quic.stateless import StatelessResponder
from gradegap.quic.stream import CloseCode
from gradegap.quic.tokens import AddressTokens, InvalidTokenError
from gradegap.quic.trace import TraceFolder

if TYPE_CHECKING:
    from gradegap.store.machine import StateMachine

log = structlog.get_logger()

USED_TOKENS_PASSED_ON = 3000  # used tokens that the next process is told of; older ones it does not believe

MAX_HANDSHAKES = 256  # handshakes under way at once
MAX_PREDECESSORS = 2  # processes before this one that are still forwarded to
RETIRED_ID_GRACE_S = 3.0  # s in which packets to an id that was retired are only late


class PortTransfer(msgspec.Struct):
    """What a process that gives the port on tells the next."""

    holders: list[Holder]  # this process, then those before it that still hold sessions
    ring: QuicRing
    used: list[tuple[bytes, float]]
    since: float  # Unix time before which `used` is not all


class QuicListener(asyncio.DatagramProtocol):
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
        self.max_sessions = settings.max_sessions
        self.accept = True
        self.resuming: SessionResumption | None = None
        self.retry_from = settings.retry_from
        self.transport: asyncio.DatagramTransport | None = None
        number = settings.node if settings.node is not None else zlib.crc32(name.encode()) & 0xFFFF
        self.own_holder = Holder(number, secrets.randbelow(256))
        self.ring_revision = -1  # revision of the ring in force, of the store's
        self.keys = DerivedKeys(QuicRing().rotated(time.time_ns() // 1_000_000))  # until the store has some
        self.forwarders: dict[Holder, DatagramForwarder] = {}  # by process of this node
        self.router = Router(self.keys, self.own_holder, self.forwarders.__contains__)
        self.sock: socket.socket | None = None  # the port, also where another process reads it
        self.forwarded_datagrams: ForwardedDatagrams | None = None  # what that one forwards
        self.forward_socket: socket.socket | None = None  # the end that it writes to
        self.tokens = AddressTokens(self.keys)
        self.stateless = StatelessResponder(self.send, metrics)
        self.routes: dict[bytes, QuicConnectionChannel] = {}  # by ids of ours
        # By the client's first id and its address.
        self.initial_routes: dict[tuple[bytes, Any], QuicConnectionChannel] = {}
        self.channels: set[QuicConnectionChannel] = set()
        self.retired: dict[bytes, float] = {}  # ids of sessions that stand, lately retired, with until when
        self.settings = settings
        self.traces = TraceFolder(settings.qlog, settings.qlog_mb, metrics) if settings.qlog else None
        self.certificate = ServerCertificate(settings, metrics, self.loop)
        metrics.gauge("quic_connections", lambda: len(self.channels))
        metrics.gauge("quic_sessions", self.session_count)
        metrics.gauge("quic_ids", lambda: len(self.routes))
        metrics.gauge("quic_certificate_days", self.certificate.days_left)

    def set_max_sessions(self, value: int) -> None:
        """`config/quic_max_sessions` has changed."""
        self.max_sessions = value

    def session_count(self) -> int:
        """Sessions of all connections."""
        return sum(len(c.streams) for c in self.channels)

    def has_capacity(self) -> bool:
        """Whether another session may begin."""
        return self.accept and self.session_count() < self.max_sessions

    def set_accept(self, value: bool) -> None:
        """`config/quic_accept` has changed."""
        self.accept = value

    def reload(self) -> None:
        """Read the certificate again, for new connections."""
        self.certificate.reload()

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

    def release_port(self) -> tuple[PortTransfer, list[int]]:
        """This process reads the port no more: what the next one is to know.

        With the descriptors that go along. It keeps its sessions, answers by its copy of the socket, and
        hears of them by the inlet.
        """
        assert self.sock is not None
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        if self.forwarded_datagrams is None or self.forward_socket is None:
            reads, self.forward_socket = socket_pair()
            self.forwarded_datagrams = ForwardedDatagrams(self.loop, reads, self.metrics, self.forwarded)
        used, whole = self.tokens.used.export(USED_TOKENS_PASSED_ON)
        others = [h for h, relay in self.forwarders.items() if not relay.closed][:MAX_PREDECESSORS]
        now = time.time()
        handed = PortTransfer([self.own_holder, *others], self.keys.ring, used, 0.0 if whole else now)
        log.info("port passed to successor", sessions=len(self.channels))
        forwarding = [self.forwarders[h].sock.fileno() for h in others]
        fds = [self.sock.fileno(), self.forward_socket.fileno(), *forwarding]
        return handed, fds

    async def take_over_port(self, handed: PortTransfer, fds: list[int]) -> None:
        """The port of the process before this one, which keeps the sessions that it has. Takes `fds` over."""
        socks = [socket.socket(fileno=fd) for fd in fds]
        if self.sock is not None or len(socks) != 1 + len(handed.holders):
            for each in socks:
                each.close()
            return
        self.forwarders |= {
            h: DatagramForwarder(s, self.metrics) for h, s in zip(handed.holders, socks[1:], strict=True)
        }
        while self.own_holder in self.forwarders:
            process = (self.own_holder.process + 1) % 256
            self.own_holder = self.router.own_holder = Holder(self.own_holder.node, process)
        self.tokens.used.import_entries(handed.used)
        self.tokens.since = handed.since
        if self.ring_revision < 0:
            self._adopt(DerivedKeys(handed.ring))
        await self._read(socks[0])
        log.info("port taken over", before=len(self.forwarders))

    async def serve_again(self) -> None:
        """The process that read the port has gone."""
        if self.sock is not None and self.transport is None:
            await self._read(self.sock)

    def drop_predecessors(self) -> None:
        """The process before has ended: what it held is lost, and said to be."""
        for relay in self.forwarders.values():
            relay.close()
        self.forwarders.clear()

    # Keys

    def _look_at_ring(self) -> None:
        """The store's ring, as soon as it has one, and whenever it has turned."""
        machine = self.machine()
        item = machine.get(RING_KEY) if machine is not None else None
        if item is None or item.modified_revision == self.ring_revision:
            return
        self.ring_revision = item.modified_revision
        try:
            keys = DerivedKeys(msgspec.convert(item.value, QuicRing))
        except ValueError as error:
            self.metrics.count("quic_ring_unfit")
            log.error("key ring not used, the previous one stays", error=str(error))
            return
        self._adopt(keys)
        self.metrics.count("quic_rings")
        log.info("key ring adopted", bits=[k.bits for k in keys.ring.keys], makes=keys.newest)

    def _adopt(self, keys: DerivedKeys) -> None:
        self.keys = keys
        self.router.use_keys(keys)
        self.tokens.adopt(keys)

    # What is held

    def make_id(self) -> bytes:
        """A connection id that names this process."""
        return self.keys.ids.make(self.own_holder.octets())

    def issue(self, connection_id: bytes, channel: QuicConnectionChannel) -> None:
        """A connection has a new id."""
        channel.ids.add(connection_id)
        self.routes[connection_id] = channel

    def retire(self, connection_id: bytes, channel: QuicConnectionChannel) -> None:
        """A connection has given an id up."""
        channel.ids.discard(connection_id)
        if self.routes.get(connection_id) is channel:
            del self.routes[connection_id]
            # What is still under way to it is late, and no sign of a session that is lost.
            self.retired[connection_id] = self.loop.time() + RETIRED_ID_GRACE_S
            while self.retired and next(iter(self.retired.values())) <= self.loop.time():
                del self.retired[next(iter(self.retired))]

    def on_channel_closed(self, channel: QuicConnectionChannel) -> None:
        """Forget a connection."""
        for each in channel.ids:
            self.routes.pop(each, None)
        self.initial_routes.pop(channel.initial_route, None)
        self.channels.discard(channel)

    # Datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is read from now on."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def forwarded(self, data: bytes, addr: Any) -> None:
        """From the process that reads the port now."""
        self.datagram_received(data, addr, forwarded=True)

    def datagram_received(self, data: bytes, addr: Any, forwarded: bool = False) -> None:
        """One datagram: to its connection, to another process, or answered without state."""
        self._look_at_ring()

        def is_held(connection_id: bytes) -> bool:
            return connection_id in self.routes or (connection_id, addr) in self.initial_routes

        route = self.router.route(data, is_held, forwarded)
        if forwarded and route.kind is RouteKind.NEW:
            # Guards against a session that begins where no new one is to: the client's next try is another's.
            self.metrics.count("quic_dropped_leaving")
            return
        match route.kind:
            case RouteKind.HERE:
                channel = self.routes.get(route.destination) or self.initial_routes[route.destination, addr]
                channel.receive(data, addr)
            case RouteKind.FORWARD if route.holder is not None:
                if not self.forwarders[route.holder].send(data, addr):
                    del self.forwarders[route.holder]
            case RouteKind.NEW:
                self._accept(route, data, addr)
            case RouteKind.NEGOTIATE:
                self.stateless.negotiate(route, self.certificate.configuration.supported_versions, addr)
            case RouteKind.RESET if self.retired.get(route.destination, 0.0) > self.loop.time():
                self.metrics.count("quic_dropped_retired")
            case RouteKind.RESET:
                self.stateless.reset(route, len(data), self.keys, addr, self.loop.time())
            case _:
                self.metrics.count(f"quic_dropped_{route.drop_reason or route.kind.value}")

    def send(self, data: bytes, addr: Any) -> None:
        """A datagram out, also where another process reads the port. One without room for it is lost."""
        if self.transport is not None:
            self.transport.sendto(data, addr)
        elif self.sock is not None:
            try:
                self.sock.sendto(data, addr)
            except OSError:
                self.metrics.count("quic_send_full")

    def _accept(self, route: Route, data: bytes, addr: Any) -> None:
        under_way = sum(1 for c in self.channels if not c.handshake_complete)
        if not self.has_capacity() or len(self.channels) >= self.max_sessions or under_way >= MAX_HANDSHAKES:
            # Guards against floods of first packets: over the limit they are dropped, and may come again.
            self.metrics.count("quic_crowded")
            return
        original, retried = route.destination, None
        if route.token or under_way >= self.retry_from:
            # Guards against floods from forged addresses: beyond some handshakes at once a client must
            # show by a token that it hears what is sent to its address, before anything is kept for it.
            try:
                first = self.tokens.validate(route.token, addr, route.destination, time.time())
            except InvalidTokenError as error:
                if route.token:
                    self.metrics.count(f"quic_token_{str(error).split(':')[0]}")
                if under_way >= self.retry_from:
                    self.stateless.retry(route, self.make_id(), self.tokens, addr)
                    return
                first = None  # served as one that has brought none
            if first is not None:
                original, retried = first, route.destination
        configuration = self.certificate.configuration
        if self.traces is not None and self.traces.has_room:
            configuration = dataclasses.replace(configuration, quic_logger=self.traces)
        connection = HeldConnection(configuration, original, retried, self.make_id, self.keys.reset_token)
        channel = QuicConnectionChannel(self, connection, addr)
        channel.initial_route = (route.destination, addr)
        self.channels.add(channel)
        self.initial_routes[channel.initial_route] = channel
        self.issue(connection.host_cid, channel)
        if not channel.receive(data, addr):
            # Guards memory against noise that begins like a first packet: nothing is kept for it.
            self.metrics.count("quic_dropped_unopened")
            channel.discard()

    def is_answering(self) -> bool:
        """Whether a client may still lack the end of what was said to it."""
        return any(c.is_answering() for c in self.channels)

    def close(self) -> None:
        """End all connections with LEAVING, and the socket."""
        for channel in list(self.channels):
            channel.abort(CloseCode.LEAVING)
            channel.flush()
        if self.transport is not None:
            self.transport.close()
        if self.sock is not None:
            self.sock.close()
        if self.forwarded_datagrams is not None and self.forward_socket is not None:
            self.forwarded_datagrams.close()
            self.forward_socket.close()
        self.drop_predecessors()
        self.certificate.close()


__all__ = ["CloseCode", "QuicListener"]
