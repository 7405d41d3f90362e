"""A node's connection to one control machine: handshake, frames, and their charge to the byte budget."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol, cast

from gradegap.observer.link import FRAME_OVERHEAD_BYTES, decode_to_subscriber, subscriber_channel
from gradegap.observer.selection import MachineAddress
from gradegap.observer.token_bucket import TokenBucket
from gradegap.observer.traffic import Traffic
from gradegap.store.errors import LinkError

HANDSHAKE = "Handshake"  # the message kind under which handshakes are counted


class ConnectionOwner(Protocol):
    """The owner of a connection, which handles its events."""

    secret: bytes  # the cluster's secret
    bucket: TokenBucket  # the token bucket that limits the bytes sent
    traffic: Traffic

    def is_current(self, connection: PublisherConnection) -> bool:
        """Whether this connection is the one in use, and not a replaced one."""

    def connection_authenticated(self, connection: PublisherConnection) -> None:
        """Handle that both ends have proven that they know the secret."""

    def message_received(self, connection: PublisherConnection, message: object) -> None:
        """Handle a message from the control machine."""

    def connection_lost(self, connection: PublisherConnection, reason: str) -> None:
        """Handle the end of the connection, or a failure to connect."""


class PublisherConnection(asyncio.Protocol):
    """A connection to one control machine."""

    def __init__(self, owner: ConnectionOwner, machine: MachineAddress) -> None:
        self.owner, self.machine = owner, machine
        self.channel = subscriber_channel(owner.secret)
        self.channel.decode = self._decode_counted
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake on the established connection."""
        self.transport = cast(asyncio.Transport, transport)
        if not self.owner.is_current(self):
            self.transport.abort()
            return
        self._write_handshake(self.channel.begin())

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the control machine."""
        was_authenticated = self.channel.authenticated
        try:
            messages, reply = self.channel.receive(data)
        except LinkError as error:
            self.close()
            self.owner.connection_lost(self, str(error))
            return
        if not was_authenticated:
            self.owner.traffic.count_received(HANDSHAKE, len(data))
        if reply:
            self._write_handshake(reply)
        if self.channel.authenticated and not was_authenticated:
            self.owner.connection_authenticated(self)
        for message in messages:
            self.owner.message_received(self, message)

    def send(self, kind: str, body: bytes) -> None:
        """Send one frame, counted as a message of this kind; does nothing if the connection is closing."""
        if self.transport is None or self.transport.is_closing() or not self.channel.authenticated:
            return
        frame = self.channel.send_encoded(body)
        self.owner.bucket.spend(time.monotonic(), len(frame))
        self.owner.traffic.count_sent(kind, len(frame))
        self.transport.write(frame)

    def close(self) -> None:
        """Close the connection once the write buffer is flushed."""
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the owner."""
        self.transport = None
        self.owner.connection_lost(self, str(exc) if exc is not None else "closed by the control machine")

    def _write_handshake(self, data: bytes) -> None:
        assert self.transport is not None
        self.owner.bucket.spend(time.monotonic(), len(data))
        self.owner.traffic.count_sent(HANDSHAKE, len(data))
        self.transport.write(data)

    def _decode_counted(self, body: bytes) -> object:
        message = decode_to_subscriber(body)
        self.owner.traffic.count_received(type(message).__name__, len(body) + FRAME_OVERHEAD_BYTES)
        return message
