"""TCP links on loopback between members, and from clients to members.

A member sends requests to another member over the link that it dialed itself, and responses return on the
link of their request. A failure in one direction therefore doesn't affect requests in the other.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import cast

import structlog

from gradegap.metrics import Metrics
from gradegap.raft import Member
from gradegap.store.channel import MEMBER_KIND, LinkChannel
from gradegap.store.errors import LinkError
from gradegap.store.leases import DEFAULT_LEASE_S
from gradegap.store.wire import Hello, LinkMessage
from gradegap.transport.addresses import split_address

log = structlog.get_logger()

MAX_ACCEPTED_LINKS = 1024
AUTHENTICATION_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# wait after the first failed connection attempt; doubles with each further failure
MIN_RECONNECT_BACKOFF_S = 0.05
MAX_RECONNECT_BACKOFF_S = 1.0
HIGH_WATER_BYTES = 1 << 20  # high-water mark of a transport's write buffer
# size of the write buffer above which messages to a slow member are dropped
MAX_UNSENT_BYTES = 8 * 1024 * 1024
REJECTED_REASON = "turned"  # reason at the start of a `LinkError` if the other side rejected the link


class Link(asyncio.Protocol):
    """One connection. `dialer` is set if this side opened it, None if this side accepted it."""

    def __init__(self, links: MemberLinks, channel: LinkChannel, dialer: Dialer | None = None) -> None:
        self.links, self.channel, self.dialer = links, channel, dialer
        self.transport: asyncio.Transport | None = None
        self.close_callbacks: list[Callable[[], None]] = []  # called once the connection has ended
        self._end_reason = ""
        self._authentication_timer: asyncio.TimerHandle | None = None

    @property
    def id(self) -> str:
        """The id of the member at the other end once authenticated; empty for a client."""
        peer = self.channel.peer_hello
        return peer.id if peer is not None and self.channel.authenticated else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake on a new connection; the dialing side sends the first hello."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        if self.dialer is None and len(self.links.accepted) >= MAX_ACCEPTED_LINKS:
            self.end("full")
            return
        self.links.all.add(self)
        if self.dialer is None:
            self.links.accepted.add(self)
        else:
            self.transport.write(self.channel.begin())
        loop = self.links.loop
        self._authentication_timer = loop.call_later(AUTHENTICATION_TIMEOUT_S, self._authentication_timed_out)

    def _authentication_timed_out(self) -> None:
        if not self.channel.authenticated:
            self.end("silent")

    def data_received(self, data: bytes) -> None:
        """Continue the handshake and dispatch complete messages."""
        was_authenticated = self.channel.authenticated
        try:
            messages, reply = self.channel.receive(data)
        except LinkError as error:
            self._fail(error)
            return
        if reply and self.transport is not None:
            self.transport.write(reply)
        if self.channel.authenticated and not was_authenticated:
            self._authenticated()
        for message in messages:
            if self.transport is None:
                return
            self.links.receive(self, message)

    def _fail(self, error: LinkError) -> None:
        reason, _, detail = str(error).partition(": ")
        if self.transport is not None and reason != REJECTED_REASON:
            self.transport.write(self.channel.reject(str(error)))
        self.end(reason, detail)

    def _authenticated(self) -> None:
        self._cancel_timer()
        if self.dialer is not None:
            self.dialer.link_authenticated(self)

    def _cancel_timer(self) -> None:
        if self._authentication_timer is not None:
            self._authentication_timer.cancel()

    def send(self, message: LinkMessage) -> bool:
        """Send a message. Returns False if the link is closing, unauthenticated or too slow."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self.channel.authenticated:
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            # Protects memory against a member that is stopped. The consensus core repeats lost messages.
            self.links.metrics.count("store_dropped_slow")
            return False
        transport.write(self.channel.send(message))
        return True

    def unsent_bytes(self) -> int:
        """Returns the bytes in the transport's write buffer, without those in the kernel's."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def end(self, reason: str, detail: str = "") -> None:
        """Close the link. `reason` is part of the counter's name, and `detail` is logged."""
        if self.transport is None or self._end_reason:
            return
        self._end_reason = reason
        self.links.metrics.count(f"store_link_{reason}")
        peer = self.dialer.address if self.dialer is not None else self.transport.get_extra_info("peername")
        log.warning("store link ended", reason=reason, detail=detail, peer=str(peer))
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection has ended."""
        self.transport = None
        self._cancel_timer()
        self.links.all.discard(self)
        self.links.accepted.discard(self)
        callbacks, self.close_callbacks = self.close_callbacks, []
        for callback in callbacks:
            callback()
        if self.dialer is not None:
            self.dialer.link_lost(self)


class Dialer:
    """Maintains a link to one address: reconnects with backoff until it is stopped."""

    def __init__(self, links: MemberLinks, address: str) -> None:
        self.links, self.address = links, address
        self.link: Link | None = None  # set while the link is authenticated
        self._backoff_s = MIN_RECONNECT_BACKOFF_S
        self._stopped = False
        self._connecting: asyncio.Task[None] | None = None
        self._start_connecting()

    def _start_connecting(self) -> None:
        if not self._stopped:
            self._connecting = self.links.loop.create_task(self._connect())

    async def _connect(self) -> None:
        # Runs as a separate task, which ends once the connection is open or has failed.
        loop = self.links.loop
        host, port = split_address(self.address)
        link = Link(self.links, self.links.channel(is_dialer=True), self)
        try:
            await asyncio.wait_for(loop.create_connection(lambda: link, host, port), CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            self._retry()

    def _retry(self) -> None:
        if not self._stopped:
            wait_s = self._backoff_s * random.uniform(0.5, 1.0)
            self._backoff_s = min(self._backoff_s * 2, MAX_RECONNECT_BACKOFF_S)
            self.links.loop.call_later(wait_s, self._start_connecting)

    def link_authenticated(self, link: Link) -> None:
        """Record that the link is authenticated, and reset the backoff."""
        self.link = link
        self._backoff_s = MIN_RECONNECT_BACKOFF_S
        peer = link.channel.peer_hello
        assert peer is not None
        self.links.on_link_authenticated(link, peer)

    def link_lost(self, link: Link) -> None:
        """Reconnect after the link has ended."""
        if self.link is link:
            self.link = None
        self._retry()

    def stop(self) -> None:
        """Close the link and stop reconnecting."""
        self._stopped = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self.link is not None and self.link.transport is not None:
            self.link.transport.close()


class MemberLinks:
    """All links of a member.

    `receive` is called with each message, `on_link_authenticated` with each dialed link once authenticated.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics,
        secret: bytes,
        receive: Callable[[Link, LinkMessage], None],
        on_link_authenticated: Callable[[Link, Hello], None],
    ) -> None:
        self.loop, self.metrics, self.secret = loop, metrics, secret
        self.receive, self.on_link_authenticated = receive, on_link_authenticated
        self.member: Member | None = None
        self.lease_s = DEFAULT_LEASE_S
        self.cluster = ""
        self.all: set[Link] = set()
        self.accepted: set[Link] = set()
        self.dialers: dict[str, Dialer] = {}  # dialers by the address to which they connect
        self._server: asyncio.Server | None = None

    def introduce(self, member: Member, cluster: str, lease_s: float) -> None:
        """Set the member, cluster and lease length (s) in this member's hello on new links."""
        self.member, self.cluster, self.lease_s = member, cluster, lease_s

    def channel(self, is_dialer: bool) -> LinkChannel:
        """Create this member's end of a new link."""
        return LinkChannel.open(self.secret, MEMBER_KIND, is_dialer, self.member, self.cluster, self.lease_s)

    async def listen(self, address: str) -> None:
        """Accept links at an address.

        Raises:
            OSError: The address can't be bound.
        """
        host, port = split_address(address)
        self._server = await self.loop.create_server(
            lambda: Link(self, self.channel(is_dialer=False)), host, port, reuse_address=True
        )

    def set_addresses(self, addresses: set[str]) -> None:
        """Maintain links to exactly these addresses."""
        for address in addresses - self.dialers.keys():
            self.dialers[address] = Dialer(self, address)
        for address in self.dialers.keys() - addresses:
            self.dialers.pop(address).stop()

    def send(self, member_id: str, address: str, message: LinkMessage) -> bool:
        """Send over the link dialed to `address`. Returns False unless that link leads to this member."""
        dialer = self.dialers.get(address)
        if dialer is None or dialer.link is None or dialer.link.id != member_id:
            return False
        return dialer.link.send(message)

    def send_to_all(self, message: LinkMessage) -> None:
        """Send over every dialed link."""
        for dialer in self.dialers.values():
            if dialer.link is not None:
                dialer.link.send(message)

    def set_cluster(self, cluster: str) -> None:
        """Set the cluster in the hello on new links; open links are not affected."""
        self.cluster = cluster

    def close(self) -> None:
        """Stop accepting links and close all open ones."""
        if self._server is not None:
            self._server.close()
        for dialer in self.dialers.values():
            dialer.stop()
        for link in list(self.all):
            if link.transport is not None:
                link.transport.close()
