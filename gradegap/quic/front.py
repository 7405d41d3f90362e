"""The QUIC front: the UDP socket, and whose each datagram is.

A connection's ids say who holds it (`ids`, `routing`), so a client whose address changes is the same session:
its backend and its req stay, and the core hears nothing of the move. Ids that name nobody reach nobody.
"""

from __future__ import annotations

import asyncio
import secrets
import ssl
import time
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

import msgspec
import structlog
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import encode_quic_retry, encode_quic_version_negotiation

from gradegap.core import Core
from gradegap.net.client_session import Resuming
from gradegap.operator_file import QuicSettings
from gradegap.quic.channel import CloseCode, QuicChannel
from gradegap.quic.connection import HeldConnection
from gradegap.quic.keys import NONCE, RING, SERVER, Holder, Keys, QuicRing
from gradegap.quic.routing import RESET_LEAST, Bucket, Route, Router, Way
from gradegap.quic.tokens import BadToken, Tokens
from gradegap.stats import Stats

if TYPE_CHECKING:
    from gradegap.store.machine import Machine

log = structlog.get_logger()

WINDOW = 256 * 1024  # bytes that a client may send ahead at first
MOST_HANDSHAKES = 256  # handshakes under way at once
RESET_MOST = 42  # octets of a stateless reset, as of a small packet
RESETS, RESET_BURST = 200.0, 100  # stateless resets a second, and at once


class QuicFront(asyncio.DatagramProtocol):
    """The UDP socket, what this process holds, and what it answers to those whom nobody holds."""

    def __init__(
        self,
        core: Core,
        stats: Stats,
        ready: Callable[[], bool],
        settings: QuicSettings,
        name: str,
        machine: Callable[[], Machine | None],
    ) -> None:
        """`name` is the node's; `machine` the store's, where there is one by now."""
        self.core = core
        self.loop = core.loop
        self.stats = stats
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
        self.router = Router(self.keys, self.me, lambda holder: False)
        self.tokens = Tokens(self.keys)
        self.resets = Bucket(RESETS, RESET_BURST)
        self.routes: dict[bytes, QuicChannel] = {}  # by ids of ours
        self.firsts: dict[tuple[bytes, Any], QuicChannel] = {}  # by the client's first id, and its address
        self.channels: set[QuicChannel] = set()
        self.configuration = QuicConfiguration(
            is_client=False,
            alpn_protocols=list(settings.alpn),
            connection_id_length=1 + SERVER + NONCE,
            idle_timeout=settings.idle_s,
            max_data=WINDOW,
            max_stream_data=WINDOW,
            verify_mode=ssl.CERT_NONE,
        )
        self.configuration.load_cert_chain(settings.certificate, settings.private_key)
        stats.gauge("quic_sessions", lambda: len(self.channels))
        stats.gauge("quic_ids", lambda: len(self.routes))

    def set_most(self, value: int) -> None:
        self.most = value

    def set_accept(self, value: bool) -> None:
        self.accept = value

    # Keys

    def _look_at_ring(self) -> None:
        """The store's ring, as soon as it has one, and whenever it has turned."""
        machine = self.machine()
        item = machine.get(RING) if machine is not None else None
        if item is None or item.changed == self.ring_at:
            return
        self.ring_at = item.changed
        try:
            keys = Keys(msgspec.convert(item.value, QuicRing))
        except ValueError as error:
            self.stats.count("quic_ring_unfit")
            log.error("the ring of QUIC's keys can't be used; the one before stays", error=str(error))
            return
        self.keys = keys
        self.router.adopt(keys)
        self.tokens.adopt(keys)
        self.stats.count("quic_rings")
        log.info("QUIC's ring", bits=[k.bits for k in keys.ring.keys], makes=keys.newest)

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

    def over(self, channel: QuicChannel) -> None:
        for each in channel.ids:
            self.routes.pop(each, None)
        self.firsts.pop(channel.first, None)
        self.channels.discard(channel)

    # Datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._look_at_ring()
        route = self.router.route(data, lambda cid: cid in self.routes or (cid, addr) in self.firsts)
        match route.way:
            case Way.HERE:
                channel = self.routes.get(route.destination) or self.firsts[route.destination, addr]
                channel.receive(data, addr)
            case Way.NEW:
                self._accept(route, data, addr)
            case Way.NEGOTIATE:
                self._negotiate(route, addr)
            case Way.RESET:
                self._reset(route, data, addr)
            case _:
                self.stats.count(f"quic_dropped_{route.why or route.way.value}")

    def _send(self, data: bytes, addr: Any) -> None:
        if self.transport is not None:
            self.transport.sendto(data, addr)

    def _negotiate(self, route: Route, addr: Any) -> None:
        self.stats.count("quic_negotiations")
        versions = self.configuration.supported_versions
        self._send(
            encode_quic_version_negotiation(
                source_cid=route.destination, destination_cid=route.source, supported_versions=versions
            ),
            addr,
        )

    def _reset(self, route: Route, data: bytes, addr: Any) -> None:
        """Tell a client that what its packet is about is lost here (RFC 9000, 10.3), so that it does not wait
        for its idle time: this process held it before it was started anew, or has forgotten it."""
        if not self.resets.take(self.loop.time()):
            self.stats.count("quic_resets_held_back")
            return
        self.stats.count("quic_resets")
        size = max(RESET_LEAST, min(len(data) - 1, RESET_MOST))
        token = self.keys.reset_token(route.destination)
        noise = secrets.token_bytes(size - len(token))
        self._send(bytes([0x40 | noise[0] & 0x3F]) + noise[1:] + token, addr)

    def _accept(self, route: Route, data: bytes, addr: Any) -> None:
        under_way = sum(1 for c in self.channels if c.session is None)
        if not self.accept or len(self.channels) >= self.most or under_way >= MOST_HANDSHAKES:
            # Guards against floods of first packets: over the limit they are dropped, and may come again.
            self.stats.count("quic_crowded")
            return
        original, retried = route.destination, None
        if route.token or under_way >= self.retry_from:
            # Guards against floods from forged addresses: beyond some handshakes at once a client must
            # show by a token that it hears what is sent to its address, before anything is kept for it.
            try:
                first = self.tokens.proven(route.token, addr, route.destination, time.time())
            except BadToken as error:
                if route.token:
                    self.stats.count(f"quic_token_{str(error).split(':')[0]}")
                if under_way >= self.retry_from:
                    self._ask_again(route, addr)
                    return
                first = None  # served as one that has brought none
            if first is not None:
                original, retried = first, route.destination
        connection = HeldConnection(
            self.configuration, original, retried, self.make_id, self.keys.reset_token
        )
        channel = QuicChannel(self, connection, addr)
        channel.first = (route.destination, addr)
        self.channels.add(channel)
        self.firsts[channel.first] = channel
        self.issue(connection.host_cid, channel)
        channel.receive(data, addr)

    def _ask_again(self, route: Route, addr: Any) -> None:
        source = self.make_id()
        answer = encode_quic_retry(
            version=route.version,
            source_cid=source,
            destination_cid=route.source,
            original_destination_cid=route.destination,
            retry_token=self.tokens.retry(addr, route.destination, source, time.time()),
        )
        self.stats.count("quic_retries")
        self._send(answer, addr)

    def answering(self) -> bool:
        """Whether a client may still lack the end of what was said to it."""
        return any(c.session is not None and c.session.opening and not c.gone for c in self.channels)

    def close(self) -> None:
        for channel in list(self.channels):
            channel.abort(CloseCode.LEAVING)
            channel.flush()
        if self.transport is not None:
            self.transport.close()


__all__ = ["CloseCode", "QuicFront"]
