"""Links between members, and from clients: TCP on loopback, opened, authenticated, bounded and counted.

What a member sends another goes over the link that it dialed itself; responses return on the link of their
request. So each direction fails alone, as networks do.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import cast

import structlog

from gradegap.metrics import Metrics
from gradegap.raft import Member
from gradegap.store.channel import MEMBER, LinkChannel
from gradegap.store.errors import LinkError
from gradegap.store.leases import DEFAULT_LEASE_S
from gradegap.store.wire import Hello, LinkMessage
from gradegap.transport.addresses import split_address

log = structlog.get_logger()

MAX_ACCEPTED_LINKS = 1024
AUTHENTICATION_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MIN_RECONNECT_BACKOFF_S = 0.05  # after the first failure; it doubles with each further one
MAX_RECONNECT_BACKOFF_S = 1.0
HIGH_WATER_BYTES = 1 << 20  # of a transport's write buffer
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # for a member that reads slowly; what is more is dropped
REJECTED_REASON = "turned"  # of a `LinkError` that is the other side's


class Link(asyncio.Protocol):
    """A connection, whichever side opened it; `dialer` where it was this one."""

    def __init__(self, links: MemberLinks, channel: LinkChannel, dialer: Dialer | None = None) -> None:
        self.links, self.channel, self.dialer = links, channel, dialer
        self.transport: asyncio.Transport | None = None
        self.close_callbacks: list[Callable[[], None]] = []  # called once it has ended
        self._end_reason = ""
        self._authentication_timer: asyncio.TimerHandle | None = None

    @property
    def id(self) -> str:
        """The member at the other end, once it is authenticated; empty for a client."""
        peer = self.channel.peer_hello
        return peer.id if peer is not None and self.channel.authenticated else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open: the dialing side begins."""
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
        """Take the handshake on, and pass on the messages that are complete."""
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
        """Whether the message was sent; not on a link that is closing or not authenticated."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self.channel.authenticated:
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            # Guards memory against a member that is stopped: the consensus core repeats its messages anyway.
            self.links.metrics.count("store_dropped_slow")
            return False
        transport.write(self.channel.send(message))
        return True

    def unsent_bytes(self) -> int:
        """What the other side has not read yet, as far as it is not with the system."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def end(self, reason: str, detail: str = "") -> None:
        """End it for a reason, which is counted and logged."""
        if self.transport is None or self._end_reason:
            return
        self._end_reason = reason
        self.links.metrics.count(f"store_link_{reason}")
        peer = self.dialer.address if self.dialer is not None else self.transport.get_extra_info("peername")
        log.warning("store link ended", reason=reason, detail=detail, peer=str(peer))
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
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
    """Keeps a link to one address, for as long as it is wanted."""

    def __init__(self, links: MemberLinks, address: str) -> None:
        self.links, self.address = links, address
        self.link: Link | None = None  # while it is authenticated
        self._backoff_s = MIN_RECONNECT_BACKOFF_S
        self._stopped = False
        self._connecting: asyncio.Task[None] | None = None
        self._connect_soon()

    def _connect_soon(self) -> None:
        if not self._stopped:
            self._connecting = self.links.loop.create_task(self._connect())

    async def _connect(self) -> None:
        # The one task: it ends once the connection is open or has failed.
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
            self.links.loop.call_later(wait_s, self._connect_soon)

    def link_authenticated(self, link: Link) -> None:
        """The other side of the link has proven that it knows the secret."""
        self.link = link
        self._backoff_s = MIN_RECONNECT_BACKOFF_S
        peer = link.channel.peer_hello
        assert peer is not None
        self.links.linked(link, peer)

    def link_lost(self, link: Link) -> None:
        """The link has ended: connect again."""
        if self.link is link:
            self.link = None
        self._retry()

    def stop(self) -> None:
        """The link is not wanted any more."""
        self._stopped = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self.link is not None and self.link.transport is not None:
            self.link.transport.close()


class MemberLinks:
    """All links of a member. `receive` gets each message, `linked` each dialed link that is authenticated."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics,
        secret: bytes,
        receive: Callable[[Link, LinkMessage], None],
        linked: Callable[[Link, Hello], None],
    ) -> None:
        self.loop, self.metrics, self.secret = loop, metrics, secret
        self.receive, self.linked = receive, linked
        self.member: Member | None = None
        self.lease_s = DEFAULT_LEASE_S
        self.cluster = ""
        self.all: set[Link] = set()
        self.accepted: set[Link] = set()
        self.dialers: dict[str, Dialer] = {}  # by address
        self._server: asyncio.Server | None = None

    def introduce(self, member: Member, cluster: str, lease_s: float) -> None:
        """What this member's hello on each new link names."""
        self.member, self.cluster, self.lease_s = member, cluster, lease_s

    def channel(self, is_dialer: bool) -> LinkChannel:
        """This member's end of a new link."""
        return LinkChannel.open(self.secret, MEMBER, is_dialer, self.member, self.cluster, self.lease_s)

    async def listen(self, address: str) -> None:
        """Accept links; `OSError` where the address can't be had."""
        host, port = split_address(address)
        self._server = await self.loop.create_server(
            lambda: Link(self, self.channel(is_dialer=False)), host, port, reuse_address=True
        )

    def set_addresses(self, addresses: set[str]) -> None:
        """Keep links to these, and to no others."""
        for address in addresses - self.dialers.keys():
            self.dialers[address] = Dialer(self, address)
        for address in self.dialers.keys() - addresses:
            self.dialers.pop(address).stop()

    def send(self, member_id: str, address: str, message: LinkMessage) -> bool:
        """Over the link dialed to a member; False where there is none, or it is another incarnation of it."""
        dialer = self.dialers.get(address)
        if dialer is None or dialer.link is None or dialer.link.id != member_id:
            return False
        return dialer.link.send(message)

    def send_to_all(self, message: LinkMessage) -> None:
        """Over each link that was dialed."""
        for dialer in self.dialers.values():
            if dialer.link is not None:
                dialer.link.send(message)

    def set_cluster(self, cluster: str) -> None:
        """The cluster that new links name; those that are open go on."""
        self.cluster = cluster

    def close(self) -> None:
        """Accept and keep no links any more."""
        if self._server is not None:
            self._server.close()
        for dialer in self.dialers.values():
            dialer.stop()
        for link in list(self.all):
            if link.transport is not None:
                link.transport.close()
