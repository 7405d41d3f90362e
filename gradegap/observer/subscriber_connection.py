"""A node's connection at a control machine: handshake, frames, back-pressure and its end.

Nothing is queued for a connection beyond its transport's write buffer: its owner learns when that is over its
high-water mark, and when it has drained.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol, cast

import msgspec
import structlog

from gradegap.metrics import Metrics
from gradegap.observer.link import publisher_channel
from gradegap.observer.messages import CloseCode
from gradegap.store import wire
from gradegap.store.errors import LinkError

log = structlog.get_logger()

SUBSCRIBE_TIMEOUT_S = 2.0  # in which a connection must be proven and subscribe; and for its end
HIGH_WATER_BYTES = 128 * 1024  # unsent, at which writing is paused
LOW_WATER_BYTES = 32 * 1024  # unsent, at which writing is resumed
KERNEL_BUFFER_BYTES = 256 * 1024  # unsent, that the system may hold for a connection; it would hold megabytes
MAX_UNSENT_BYTES = 1024 * 1024  # of responses to a node that doesn't read; then its connection ends


class ConnectionOwner(Protocol):
    """Whose connection it is, and who is called with what happens on it."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    secret: bytes  # the cluster's

    def connection_opened(self, connection: SubscriberConnection) -> None:
        """A connection came, from whomever."""

    def message_received(self, connection: SubscriberConnection, message: object) -> None:
        """A message on a proven connection."""

    def writing_paused(self, connection: SubscriberConnection) -> None:
        """Its node reads too slowly."""

    def writing_resumed(self, connection: SubscriberConnection) -> None:
        """Its node has read on."""

    def connection_closed(self, connection: SubscriberConnection) -> None:
        """It has ended, for whatever reason."""


class SubscriberConnection(asyncio.Protocol):
    """A node's connection, or that of somebody who has not subscribed yet."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.connection_id = 0
        self.channel = publisher_channel(owner.secret)
        self.transport: asyncio.Transport | None = None
        self.node = ""  # once it has subscribed
        self.subscribe_timer: asyncio.TimerHandle | None = None
        self.requests_in_flight = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES, low=LOW_WATER_BYTES)
        accepted: socket.socket = self.transport.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
        self.subscribe_timer = self.owner.loop.call_later(SUBSCRIBE_TIMEOUT_S, self.end, CloseCode.SILENT)
        self.owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of the other side."""
        try:
            messages, reply = self.channel.receive(data)
        except LinkError as error:
            reason = str(error).partition(":")[0]
            if self.transport is not None and reason != "turned":
                self.transport.write(self.channel.reject(str(error)))
            self.end(reason, str(error))
            return
        if reply and self.transport is not None:
            self.transport.write(reply)
        for message in messages:
            if self.transport is None or self.transport.is_closing():
                return
            self.owner.message_received(self, message)

    def set_subscribed(self, node: str) -> None:
        """It has sent its Subscribe, as this node."""
        self.node = node
        if self.subscribe_timer is not None:
            self.subscribe_timer.cancel()
            self.subscribe_timer = None

    def send(self, body: bytes) -> None:
        """One frame; nothing where the connection is closing."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self.channel.authenticated:
            return
        transport.write(self.channel.send_encoded(body))

    def respond(self, response: wire.Response) -> None:
        """To one request. A node that sends requests and never reads is cut off."""
        self.requests_in_flight -= 1
        if self.transport is None:
            return
        body = msgspec.msgpack.encode(response)
        if len(body) > self.channel.max_frame_bytes:
            text = f"too_large: the answer has {len(body)} bytes; ask for fewer keys at once"
            body = msgspec.msgpack.encode(wire.Response(response.serial, "no", text))
        self.send(body)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.end(CloseCode.SLOW)

    def pause_writing(self) -> None:
        """The write buffer is over its high-water mark."""
        self.owner.writing_paused(self)

    def resume_writing(self) -> None:
        """The write buffer has drained."""
        self.owner.writing_resumed(self)

    def end(self, reason: str, text: str = "") -> None:
        """End it at once, for a reason that is counted."""
        if self.transport is None or self.transport.is_closing():
            return
        self.owner.metrics.count(f"observer_link_{reason}")
        if self.node:
            log.warning("subscription ended", node=self.node, reason=str(reason), detail=text)
        if self.transport.get_write_buffer_size():
            self.transport.close()  # what was sent last may still go out
            self.owner.loop.call_later(SUBSCRIBE_TIMEOUT_S, self._abort)
        else:
            self.transport.abort()

    def close(self) -> None:
        """End it once what was sent before is written, within a bounded time."""
        if self.transport is not None:
            self.transport.close()
            self.owner.loop.call_later(SUBSCRIBE_TIMEOUT_S, self._abort)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.transport = None
        if self.subscribe_timer is not None:
            self.subscribe_timer.cancel()
        self.owner.connection_closed(self)
