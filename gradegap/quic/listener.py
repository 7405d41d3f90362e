"""The QUIC listener: the UDP socket and the dispatch of its datagrams.

A connection's ids name the process that holds it (`ids`, `routing`). A client whose address changes therefore
keeps its session, its backend and its request, and the balancing module is not involved. Datagrams with ids
that name no known holder are dropped.
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
from gradegap.quic.connection import ServerConnection
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

# Limit of used tokens that are passed to the successor process. If there are more, the successor rejects all
# NEW_TOKEN tokens that are older than the takeover.
MAX_PASSED_USED_TOKENS = 3000

MAX_CONCURRENT_HANDSHAKES = 256
MAX_PREDECESSORS = 2  # earlier processes of this node to which datagrams are still forwarded
# Time after the retirement of a connection id during which a packet sent to the id is treated as late, and
# not as a packet of a lost session.
RETIRED_ID_GRACE_S = 3.0


class PortTransfer(msgspec.Struct):
    """The state that a process passes to its successor together with the port."""

    holders: list[Holder]  # this process, then its predecessors that still hold sessions
    ring: QuicRing
    used: list[tuple[bytes, float]]  # digests of used tokens, each with its expiry as Unix time in s
    since: float  # Unix time in s; `used` may lack tokens that were made before it


class QuicListener(asyncio.DatagramProtocol):
    """The UDP socket and the connections of this process, and answers to datagrams without a connection."""

    def __init__(
        self,
        proxy: Proxy,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        settings: QuicSettings,
        node_name: str,
        store_machine: Callable[[], StateMachine | None],
    ) -> None:
        """Create the listener without a socket.

        `store_machine` returns the store's state machine, None while this node has none.

        Raises:
            CredentialsError: if the certificate or its key can't be read or don't belong together.
            OSError: if the directory of qlog traces can't be created or the key log can't be opened.
        """
        self.proxy = proxy
        self.loop = proxy.loop
        self.metrics = metrics
        self.is_ready = is_ready
        self.store_machine = store_machine
        self.max_sessions = settings.max_sessions
        self.accepts_sessions = True
        self.resuming: SessionResumption | None = None
        self.retry_from = settings.retry_from
        self.transport: asyncio.DatagramTransport | None = None
        node_number = settings.node if settings.node is not None else zlib.crc32(node_name.encode()) & 0xFFFF
        self.own_holder = Holder(node_number, secrets.randbelow(256))
        self.ring_revision = -1  # store revision of the last ring read; -1 before the first
        # A ring known only to this process, used until the store has one.
        self.keys = DerivedKeys(QuicRing().rotated(time.time_ns() // 1_000_000))
        # Forwarders of datagrams to other processes of this node.
        self.forwarders: dict[Holder, DatagramForwarder] = {}
        self.router = Router(self.keys, self.own_holder, self.forwarders.__contains__)
        self.sock: socket.socket | None = None  # the UDP socket, kept also while the successor reads it
        self.forwarded_datagrams: ForwardedDatagrams | None = None  # datagrams that the successor forwards
        # The sending end of the socket pair, to which the successor writes.
        self.forward_socket: socket.socket | None = None
        self.tokens = AddressTokens(self.keys)
        self.stateless = StatelessResponder(self.send, metrics)
        # Connections by the ids that this process issued for them.
        self.routes: dict[bytes, QuicConnectionChannel] = {}
        # Connections by the client's original destination id and the address that it was sent from.
        self.initial_routes: dict[tuple[bytes, Any], QuicConnectionChannel] = {}
        self.channels: set[QuicConnectionChannel] = set()
        # Recently retired ids, each with the end of its grace period on the loop's clock.
        self.retired: dict[bytes, float] = {}
        self.settings = settings
        self.traces = TraceFolder(settings.qlog, settings.qlog_mb, metrics) if settings.qlog else None
        self.certificate = ServerCertificate(settings, metrics, self.loop)
        metrics.gauge("quic_connections", lambda: len(self.channels))
        metrics.gauge("quic_sessions", self.session_count)
        metrics.gauge("quic_ids", lambda: len(self.routes))
        metrics.gauge("quic_certificate_days", self.certificate.days_left)

    def set_max_sessions(self, value: int) -> None:
        """Apply a new value of `config/quic_max_sessions`."""
        self.max_sessions = value

    def session_count(self) -> int:
        """Return the number of open sessions of all connections."""
        return sum(len(channel.streams) for channel in self.channels)

    def has_capacity(self) -> bool:
        """Whether another session may begin."""
        return self.accepts_sessions and self.session_count() < self.max_sessions

    def set_accept(self, value: bool) -> None:
        """Apply a new value of `config/quic_accept`."""
        self.accepts_sessions = value

    def reload(self) -> None:
        """Read the certificate files again, for new connections."""
        self.certificate.reload()

    # The port

    async def listen(self, host: str, port: int) -> None:
        """Bind the UDP socket and start reading it.

        Raises:
            OSError: if the address can't be bound.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        await self._start_reading(sock)

    async def _start_reading(self, sock: socket.socket) -> None:
        self.sock = sock
        await self.loop.create_datagram_endpoint(lambda: self, sock=sock.dup())

    def release_port(self) -> tuple[PortTransfer, list[int]]:
        """Stop reading the port and return the successor's state and descriptors.

        This process keeps its sessions: it sends on its copy of the socket, and receives the datagrams that
        the successor forwards.
        """
        assert self.sock is not None
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        if self.forwarded_datagrams is None or self.forward_socket is None:
            receiving_end, self.forward_socket = socket_pair()
            self.forwarded_datagrams = ForwardedDatagrams(
                self.loop, receiving_end, self.metrics, self.on_forwarded_datagram
            )
        used, is_complete = self.tokens.used.export(MAX_PASSED_USED_TOKENS)
        predecessors = [holder for holder, forwarder in self.forwarders.items() if not forwarder.is_closed][
            :MAX_PREDECESSORS
        ]
        now = time.time()
        transfer = PortTransfer(
            [self.own_holder, *predecessors], self.keys.ring, used, 0.0 if is_complete else now
        )
        log.info("port passed to successor", sessions=len(self.channels))
        forwarder_descriptors = [self.forwarders[holder].sock.fileno() for holder in predecessors]
        descriptors = [self.sock.fileno(), self.forward_socket.fileno(), *forwarder_descriptors]
        return transfer, descriptors

    async def take_over_port(self, transfer: PortTransfer, descriptors: list[int]) -> None:
        """Start reading the predecessor's port; the predecessor keeps its sessions.

        Takes ownership of the descriptors.
        """
        sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        if self.sock is not None or len(sockets) != 1 + len(transfer.holders):
            for received_socket in sockets:
                received_socket.close()
            return
        self.forwarders |= {
            holder: DatagramForwarder(forwarder_socket, self.metrics)
            for holder, forwarder_socket in zip(transfer.holders, sockets[1:], strict=True)
        }
        while self.own_holder in self.forwarders:
            process = (self.own_holder.process + 1) % 256
            self.own_holder = self.router.own_holder = Holder(self.own_holder.node, process)
        self.tokens.used.import_entries(transfer.used)
        self.tokens.used_known_since = transfer.since
        if self.ring_revision < 0:
            self._use_keys(DerivedKeys(transfer.ring))
        await self._start_reading(sockets[0])
        log.info("port taken over", predecessors=len(self.forwarders))

    async def serve_again(self) -> None:
        """Read the port again, since the successor that read it has died."""
        if self.sock is not None and self.transport is None:
            await self._start_reading(self.sock)

    def drop_predecessors(self) -> None:
        """Stop forwarding to the predecessors, which have ended; their clients are sent stateless resets."""
        for forwarder in self.forwarders.values():
            forwarder.close()
        self.forwarders.clear()

    # Keys

    def _refresh_ring(self) -> None:
        """Use the store's key ring if it is new or was changed."""
        machine = self.store_machine()
        item = machine.get(RING_KEY) if machine is not None else None
        if item is None or item.modified_revision == self.ring_revision:
            return
        self.ring_revision = item.modified_revision
        try:
            keys = DerivedKeys(msgspec.convert(item.value, QuicRing))
        except ValueError as error:
            self.metrics.count("quic_ring_unfit")
            log.error("key ring rejected, the previous one stays in force", error=str(error))
            return
        self._use_keys(keys)
        self.metrics.count("quic_rings")
        log.info("key ring adopted", bits=[key.bits for key in keys.ring.keys], newest=keys.newest)

    def _use_keys(self, keys: DerivedKeys) -> None:
        self.keys = keys
        self.router.use_keys(keys)
        self.tokens.use_keys(keys)

    # Connections and their ids

    def make_id(self) -> bytes:
        """Return a new connection id that names this process."""
        return self.keys.ids.make(self.own_holder.octets())

    def issue(self, connection_id: bytes, channel: QuicConnectionChannel) -> None:
        """Register a new connection id, so that packets sent to it are routed to its channel."""
        channel.ids.add(connection_id)
        self.routes[connection_id] = channel

    def retire(self, connection_id: bytes, channel: QuicConnectionChannel) -> None:
        """Unregister a connection id that the client has retired: packets sent to it are no longer routed."""
        channel.ids.discard(connection_id)
        if self.routes.get(connection_id) is channel:
            del self.routes[connection_id]
            # Packets to the id may still be in flight. They do not indicate a lost session.
            self.retired[connection_id] = self.loop.time() + RETIRED_ID_GRACE_S
            while self.retired and next(iter(self.retired.values())) <= self.loop.time():
                del self.retired[next(iter(self.retired))]

    def on_channel_closed(self, channel: QuicConnectionChannel) -> None:
        """Remove a channel and all connection ids that are routed to it."""
        for connection_id in channel.ids:
            self.routes.pop(connection_id, None)
        self.initial_routes.pop(channel.initial_route, None)
        self.channels.discard(channel)

    # Datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the UDP socket; the event loop reads the socket from now on."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def on_forwarded_datagram(self, data: bytes, addr: Any) -> None:
        """Handle a datagram that another process received on the port and forwarded."""
        self.datagram_received(data, addr, forwarded=True)

    def datagram_received(self, data: bytes, addr: Any, forwarded: bool = False) -> None:
        """Pass a datagram to its connection or to another process, or send a stateless answer."""
        self._refresh_ring()

        def is_held(connection_id: bytes) -> bool:
            return connection_id in self.routes or (connection_id, addr) in self.initial_routes

        route = self.router.route(data, is_held, forwarded)
        if forwarded and route.kind is RouteKind.NEW:
            # This process must begin no new sessions; the client's next Initial reaches another process.
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
        """Send a datagram, also while another process reads the port; dropped if the send buffer is full."""
        if self.transport is not None:
            self.transport.sendto(data, addr)
        elif self.sock is not None:
            try:
                self.sock.sendto(data, addr)
            except OSError:
                self.metrics.count("quic_send_full")

    def _accept(self, route: Route, data: bytes, addr: Any) -> None:
        handshake_count = sum(1 for other in self.channels if not other.is_handshake_complete)
        if (
            not self.has_capacity()
            or len(self.channels) >= self.max_sessions
            or handshake_count >= MAX_CONCURRENT_HANDSHAKES
        ):
            # Limits the effect of a flood of Initial packets: those above the limits are dropped, and honest
            # clients retransmit theirs.
            self.metrics.count("quic_crowded")
            return
        original_destination_id, retry_source_id = route.destination, None
        if route.token or handshake_count >= self.retry_from:
            # Limits the effect of a flood from forged addresses: from `retry_from` concurrent handshakes on,
            # a client must show by a token that it receives packets at its address, before state is kept.
            try:
                validated_id = self.tokens.validate(route.token, addr, route.destination, time.time())
            except InvalidTokenError as error:
                if route.token:
                    self.metrics.count(f"quic_token_{str(error).split(':')[0]}")
                if handshake_count >= self.retry_from:
                    self.stateless.retry(route, self.make_id(), self.tokens, addr)
                    return
                validated_id = None  # the client is served as if it had sent no token
            if validated_id is not None:
                original_destination_id, retry_source_id = validated_id, route.destination
        configuration = self.certificate.configuration
        if self.traces is not None and self.traces.has_room:
            configuration = dataclasses.replace(configuration, quic_logger=self.traces)
        connection = ServerConnection(
            configuration, original_destination_id, retry_source_id, self.make_id, self.keys.reset_token
        )
        channel = QuicConnectionChannel(self, connection, addr)
        channel.initial_route = (route.destination, addr)
        self.channels.add(channel)
        self.initial_routes[channel.initial_route] = channel
        self.issue(connection.host_cid, channel)
        if not channel.receive(data, addr):
            # No memory is kept for a datagram that only looks like an Initial.
            self.metrics.count("quic_dropped_unopened")
            channel.discard()

    def is_answering(self) -> bool:
        """Whether a client may not have received all answers yet."""
        return any(channel.is_answering() for channel in self.channels)

    def close(self) -> None:
        """Close all connections with the code LEAVING, then the sockets."""
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
