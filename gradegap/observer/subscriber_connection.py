"""The control machine's end of a node's connection: handshake, frames, back-pressure and closing.

Nothing is queued for a connection beyond its transport's write buffer. The owner is notified when the buffer
exceeds its high-water mark, and when it has drained.
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

# time limit for a node to authenticate and subscribe, and for flushing the write buffer on close
SUBSCRIBE_TIMEOUT_S = 2.0
HIGH_WATER_BYTES = 128 * 1024  # size of the write buffer above which writing is paused
LOW_WATER_BYTES = 32 * 1024  # size of the write buffer at which writing is resumed
KERNEL_BUFFER_BYTES = 256 * 1024  # send buffer of the socket; the kernel's default grows to megabytes
MAX_UNSENT_BYTES = 1024 * 1024  # write buffer size above which a node that doesn't read is disconnected


class ConnectionOwner(Protocol):
    """The owner of a connection, which handles its events."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    secret: bytes  # the cluster's secret

    def connection_opened(self, connection: SubscriberConnection) -> None:
        """Handle an accepted connection that is not authenticated yet."""

    def message_received(self, connection: SubscriberConnection, message: object) -> None:
        """Handle a message on an authenticated connection."""

    def writing_paused(self, connection: SubscriberConnection) -> None:
        """Handle a write buffer above its high-water mark."""

    def writing_resumed(self, connection: SubscriberConnection) -> None:
        """Handle a write buffer that has drained."""

    def connection_closed(self, connection: SubscriberConnection) -> None:
        """Handle the end of the connection."""


class SubscriberConnection(asyncio.Protocol):
    """A connection of a node, or of a peer that has not subscribed yet."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.connection_id = 0
        self.channel = publisher_channel(owner.secret)
        self.transport: asyncio.Transport | None = None
        self.node = ""  # the name of the node; empty until it has subscribed
        self.subscribe_timer: asyncio.TimerHandle | None = None
        self.requests_in_flight = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the buffer limits of the accepted connection, and start its timeout."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES, low=LOW_WATER_BYTES)
        accepted_socket: socket.socket = self.transport.get_extra_info("socket")
        accepted_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
        self.subscribe_timer = self.owner.loop.call_later(SUBSCRIBE_TIMEOUT_S, self.end, CloseCode.SILENT)
        self.owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the node."""
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
        """Record the node that has subscribed on this connection."""
        self.node = node
        if self.subscribe_timer is not None:
            self.subscribe_timer.cancel()
            self.subscribe_timer = None

    def send(self, body: bytes) -> None:
        """Send one frame; does nothing if the connection is closing."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self.channel.authenticated:
            return
        transport.write(self.channel.send_encoded(body))

    def respond(self, response: wire.Response) -> None:
        """Send the response to one request. A node that sends requests and never reads is disconnected."""
        self.requests_in_flight -= 1
        if self.transport is None:
            return
        body = msgspec.msgpack.encode(response)
        if len(body) > self.channel.max_frame_bytes:
            text = f"too_large: the response has {len(body)} bytes; request fewer keys at once"
            body = msgspec.msgpack.encode(wire.Response(response.serial, "no", text))
        self.send(body)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.end(CloseCode.SLOW)

    def pause_writing(self) -> None:
        """Notify the owner that the write buffer is above its high-water mark."""
        self.owner.writing_paused(self)

    def resume_writing(self) -> None:
        """Notify the owner that the write buffer has drained."""
        self.owner.writing_resumed(self)

    def end(self, reason: str, text: str = "") -> None:
        """Close the connection, after at most `SUBSCRIBE_TIMEOUT_S` to flush it, and count the reason."""
        if self.transport is None or self.transport.is_closing():
            return
        self.owner.metrics.count(f"observer_link_{reason}")
        if self.node:
            log.warning("subscription ended", node=self.node, reason=str(reason), detail=text)
        if self.transport.get_write_buffer_size():
            # closes the connection once the write buffer, with the last message, is flushed
            self.transport.close()
            self.owner.loop.call_later(SUBSCRIBE_TIMEOUT_S, self._abort)
        else:
            self.transport.abort()

    def close(self) -> None:
        """Close the connection once the write buffer is flushed, within `SUBSCRIBE_TIMEOUT_S`."""
        if self.transport is not None:
            self.transport.close()
            self.owner.loop.call_later(SUBSCRIBE_TIMEOUT_S, self._abort)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the owner."""
        self.transport = None
        if self.subscribe_timer is not None:
            self.subscribe_timer.cancel()
        self.owner.connection_closed(self)
