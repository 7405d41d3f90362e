"""Links between members, and from clients: TCP on loopback, made, proven, bounded and counted.

What a member sends another goes over the link that it dialed itself; answers come back on the link that the
question came by. So each direction fails alone, as networks do.
"""

from __future__ import annotations

import asyncio
import random
import time
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

MAX_ACCEPTED_LINKS = 1024  # accepted
AUTHENTICATION_TIMEOUT_S = 2.0  # s in which a link must be proven
CONNECT_TIMEOUT_S = 1.0
RECONNECT_BACKOFF_S = (0.05, 1.0)  # s between two tries at a member that is away: at first, and at the most
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # bytes for a member that reads slowly; what is more is dropped


class Link(asyncio.Protocol):
    """A connection, whichever side opened it."""

    def __init__(self, net: MemberLinks, channel: LinkChannel, dialer: Dialer | None = None) -> None:
        self.net, self.channel, self.dialer = net, channel, dialer
        self.transport: asyncio.Transport | None = None
        self.guard: asyncio.TimerHandle | None = None
        self.closing: list[Callable[[], None]] = []  # called once it has ended
        self.why = ""

    @property
    def id(self) -> str:
        """Who is at the other end, once that is proven; empty for a client."""
        theirs = self.channel.peer_hello
        return theirs.id if theirs is not None and self.channel.authenticated else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=1 << 20)
        if self.dialer is None and len(self.net.accepted) >= MAX_ACCEPTED_LINKS:
            self.end("full")
            return
        self.net.all.add(self)
        if self.dialer is None:
            self.net.accepted.add(self)
        else:
            self.transport.write(self.channel.begin())
        self.guard = self.net.loop.call_later(AUTHENTICATION_TIMEOUT_S, self._unproven)

    def _unproven(self) -> None:
        if not self.channel.authenticated:
            self.end("silent")

    def data_received(self, data: bytes) -> None:
        was_proven = self.channel.authenticated
        try:
            words, reply = self.channel.receive(data)
        except LinkError as error:
            reason, _, text = str(error).partition(": ")
            if self.transport is not None and reason != "turned":
                self.transport.write(self.channel.reject(str(error)))
            self.end(reason, text)
            return
        if reply and self.transport is not None:
            self.transport.write(reply)
        if self.channel.authenticated and not was_proven:
            if self.guard is not None:
                self.guard.cancel()
            if self.dialer is not None:
                self.dialer.proven(self)
        for word in words:
            if self.transport is None:
                return
            self.net.heard(self, word)

    def send(self, word: LinkMessage) -> bool:
        t = self.transport
        if t is None or t.is_closing() or not self.channel.authenticated:
            return False
        if t.get_write_buffer_size() > MAX_UNSENT_BYTES:
            # Guards memory against a member that is stopped: what the core says is said again anyway.
            self.net.metrics.count("store_dropped_slow")
            return False
        t.write(self.channel.send(word))
        return True

    def unsent(self) -> int:
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def end(self, reason: str, text: str = "") -> None:
        """End it for a reason, which is counted and logged."""
        if self.transport is None or self.why:
            return
        self.why = reason
        self.net.metrics.count(f"store_link_{reason}")
        name = self.dialer.address if self.dialer is not None else self.transport.get_extra_info("peername")
        log.warning("store link ended", reason=reason, detail=text, peer=str(name))
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.guard is not None:
            self.guard.cancel()
        self.net.all.discard(self)
        self.net.accepted.discard(self)
        closing, self.closing = self.closing, []
        for each in closing:
            each()
        if self.dialer is not None:
            self.dialer.lost(self)


class Dialer:
    """Keeps a link to one address, for as long as it is wanted."""

    def __init__(self, net: MemberLinks, address: str) -> None:
        self.net, self.address = net, address
        self.link: Link | None = None
        self.wait = RECONNECT_BACKOFF_S[0]
        self.stopped = False
        self.task: asyncio.Task[None] | None = None
        self._start()

    def _start(self) -> None:
        if not self.stopped:
            self.task = self.net.loop.create_task(self._connect())

    async def _connect(self) -> None:
        # The one task: it ends once the connection stands or has failed.
        host, port = split_address(self.address)
        link = Link(self.net, self.net.channel(is_dialer=True), self)
        try:
            await asyncio.wait_for(
                self.net.loop.create_connection(lambda: link, host, port), CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError):
            self._again()

    def _again(self) -> None:
        if not self.stopped:
            wait = self.wait * random.uniform(0.5, 1.0)
            self.wait = min(self.wait * 2, RECONNECT_BACKOFF_S[1])
            self.net.loop.call_later(wait, self._start)

    def proven(self, link: Link) -> None:
        self.link = link
        self.wait = RECONNECT_BACKOFF_S[0]
        peer = link.channel.peer_hello
        assert peer is not None
        self.net.linked(link, peer)

    def lost(self, link: Link) -> None:
        if self.link is link:
            self.link = None
        self._again()

    def stop(self) -> None:
        self.stopped = True
        if self.task is not None:
            self.task.cancel()
        if self.link is not None and self.link.transport is not None:
            self.link.transport.close()


class MemberLinks:
    """All links of a member."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics,
        secret: bytes,
        heard: Callable[[Link, LinkMessage], None],
        linked: Callable[[Link, Hello], None],
    ) -> None:
        self.loop, self.metrics, self.secret = loop, metrics, secret
        self.heard, self.linked = heard, linked
        self.member: Member | None = None
        self.lease_s = DEFAULT_LEASE_S
        self.cluster = ""
        self.all: set[Link] = set()
        self.accepted: set[Link] = set()
        self.dialers: dict[str, Dialer] = {}  # by address
        self.server: asyncio.Server | None = None
        self.began = time.monotonic()

    def introduce(self, member: Member, cluster: str, lease_s: float) -> None:
        """What this member's end of each link says of itself."""
        self.member, self.cluster, self.lease_s = member, cluster, lease_s

    def channel(self, is_dialer: bool) -> LinkChannel:
        """This member's end of a new link."""
        return LinkChannel.open(self.secret, MEMBER, is_dialer, self.member, self.cluster, self.lease_s)

    async def listen(self, address: str) -> None:
        host, port = split_address(address)
        self.server = await self.loop.create_server(
            lambda: Link(self, self.channel(is_dialer=False)), host, port, reuse_address=True
        )

    def want(self, addresses: set[str]) -> None:
        """Keep links to these, and to no others."""
        for address in addresses - self.dialers.keys():
            self.dialers[address] = Dialer(self, address)
        for address in self.dialers.keys() - addresses:
            self.dialers.pop(address).stop()

    def send(self, member: str, address: str, word: LinkMessage) -> bool:
        """Over the link dialed to a member; False where there is none, or it is another life of it."""
        dialer = self.dialers.get(address)
        if dialer is None or dialer.link is None or dialer.link.id != member:
            return False
        return dialer.link.send(word)

    def send_to_all(self, message: LinkMessage) -> None:
        """Over each link that was dialed."""
        for dialer in self.dialers.values():
            if dialer.link is not None:
                dialer.link.send(message)

    def cluster_is(self, cluster: str) -> None:
        """Links said nothing of it before: they are made anew."""
        self.cluster = cluster

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for dialer in self.dialers.values():
            dialer.stop()
        for link in list(self.all):
            if link.transport is not None:
                link.transport.close()
