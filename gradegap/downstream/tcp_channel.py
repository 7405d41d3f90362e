"""The channel of a client session over TCP."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from enum import Enum, auto
from typing import cast

from gradegap.downstream.interfaces import LINGER_S, CloseReason
from gradegap.downstream.session import ClientSession
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.transport.descriptors import DescriptorBudget, EvictionRank
from gradegap.transport.sockets import (
    WRITE_BUFFER_HIGH_BYTES,
    Pausable,
    close_now,
    no_delay,
    reset_connection,
)

LINGER_MAX_S = 5.0
"""Longest time to wait for a client that continues to send, or reads its last lines slowly."""

DRAIN_INTERVAL_S = 0.003
"""Time between two reads of data that a client sends after its answer. The pause limits the CPU cost."""

FINAL_READS_MAX = 16
"""Maximum number of reads, of `WRITE_BUFFER_HIGH_BYTES` each, that empty the socket before it is closed."""


class ChannelState(Enum):
    """State of a channel. Only `TcpChannel` changes it, and only in this order."""

    PENDING = auto()
    """The connection was adopted from another process and has no transport yet: data to send are buffered."""
    OPEN = auto()
    CLOSING = auto()
    """This side is closed; data that the client still sends are dropped."""
    ENDED = auto()


# Module constants, because they are used for each read and write, where an enum member lookup is too costly.
_OPEN, _CLOSING = ChannelState.OPEN, ChannelState.CLOSING


class TcpChannel(Pausable):
    """The TCP connection of a client."""

    def __init__(
        self,
        proxy: Proxy,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        channels: set[TcpChannel],
        descriptors: DescriptorBudget,
    ) -> None:
        """Create a channel; it is a member of `channels` while it is connected."""
        self.loop = proxy.loop
        self.channels = channels
        self.descriptors = descriptors
        self.session = ClientSession(proxy, metrics, self, is_ready)
        self.state = ChannelState.OPEN
        self.linger_until = 0.0
        self.linger_timer: asyncio.TimerHandle | None = None
        self.unsent_bytes = float("inf")
        """Bytes in the write buffer when the linger timer last expired."""
        self.pending_output = bytearray()  # data to send once an adopted channel has its transport
        # Set if an adopted channel was closed before it had its transport.
        self.pending_close: CloseReason | None = None
        self.descriptor = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a new client connection, or the transport of an adopted one."""
        adopted = self.state is ChannelState.PENDING
        self.state = ChannelState.OPEN
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(WRITE_BUFFER_HIGH_BYTES)
        no_delay(self.transport)
        self.descriptor = self.transport.get_extra_info("socket").fileno()
        self.channels.add(self)
        self.descriptors.on_accepted(self)
        if adopted:
            self._on_adopted()

    def expect_adoption(self) -> None:
        """Mark the channel as adopted from another process, so that it waits for its transport."""
        self.state = ChannelState.PENDING

    def _on_adopted(self) -> None:
        if self.session.first_line.pinged:
            self.on_ping()
        elif self.session.opening is not None:
            self.on_request()
        if self.pending_output:
            self.write(bytes(self.pending_output))
            self.pending_output.clear()
        if self.pending_close is not None:
            self.close(self.pending_close)

    def is_idle(self) -> bool:
        """Return whether all data are sent and both sides are open, so that another process can adopt it."""
        transport = self.transport
        if transport is None or transport.is_closing() or transport.get_write_buffer_size():
            return False
        resumable = self.session.offer is not None or self.session.relay is not None
        return not resumable and self.state is ChannelState.OPEN and not self.paused

    def is_disconnected(self) -> bool:
        """Return whether the client has closed its connection, even if the loop has not read that yet.

        Guards against forwarding the request of a disconnected client while a burst keeps the loop busy: the
        end of the connection is in the socket's buffer, and a timer may fire before the loop reads it.
        """
        if self.transport is None:
            return self.state is not ChannelState.PENDING
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, self.descriptor)
        try:
            return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            sock.detach()  # the transport owns the descriptor

    def on_ping(self) -> None:
        """Rank the channel for eviction as one whose client has sent `PING`."""
        self.descriptors.set_rank(self, EvictionRank.PINGED)

    def on_request(self) -> None:
        """Exempt the channel from eviction, because its client has sent a request."""
        self.descriptors.set_rank(self, None)

    # Eviction and shutdown

    def dismiss(self) -> None:
        """Answer that there is no capacity, because descriptors are running short."""
        self.session.dismiss(self.session.proxy.settings.max_retry_after)

    def evict(self) -> None:
        """Close at once, because no descriptor is left."""
        if self.state is ChannelState.CLOSING:  # the client was sent its answer earlier
            self.close_now()
        else:
            self.dismiss()
            self.close_when_sent()

    def dismiss_idle(self, retry_after: float) -> None:
        """Reject a client without a request, as this process shuts down; it may retry in `retry_after` s."""
        if self.session.opening is None and self.state is not ChannelState.CLOSING:
            self.session.proxy.metrics.count("rests_ended")
            self.session.dismiss(retry_after)

    def close_when_sent(self) -> None:
        """Close once all written data are sent."""
        if self.transport is not None:
            self.transport.close()

    def close_now(self) -> None:
        """Close without waiting for the client.

        Guards against a client that never reads: its unread data would keep the descriptor open indefinitely.
        """
        if self.transport is not None:
            close_now(self.transport)

    # Called by the transport

    def data_received(self, data: bytes) -> None:
        """Process data from the client; after its last line they are dropped."""
        if self.state is _OPEN:
            self.session.on_data(data)
        if self.state is _CLOSING and not self.paused:
            # Guards against a client that continues to send after its answer: the data are read and dropped,
            # so that no reset overtakes the answer, but at a rate that does not affect other clients.
            self.pause()
            self.loop.call_later(DRAIN_INTERVAL_S, self._drain)

    def _drain(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.resume()
            if self.linger_timer is not None and self.loop.time() + LINGER_S < self.linger_until:
                self.linger_timer.cancel()
                self.linger_timer = self.loop.call_later(LINGER_S, self._on_linger_over)

    def eof_received(self) -> bool:
        """Handle that the client has closed its side; return whether to keep ours open."""
        if self.state is ChannelState.CLOSING:
            return False
        self.session.on_eof()
        return self.state is ChannelState.OPEN

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, or its transfer to another process."""
        if exc is None and self.state is ChannelState.CLOSING:
            # Don't discard unread bytes of a transferred connection: they belong to the other process.
            self._discard_unread()
        self.channels.discard(self)
        self.descriptors.on_closed(self)
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.transport = None
        self.state = ChannelState.ENDED
        self.session.on_channel_closed(reset=exc is not None)

    def pause_writing(self) -> None:
        """Handle that the write buffer to the client is full."""
        self.session.on_backpressure(full=True)

    def resume_writing(self) -> None:
        """Handle that the write buffer to the client has space again."""
        self.session.on_backpressure(full=False)

    # The `Channel` interface

    def write(self, data: bytes) -> None:
        """Send data to the client; data after `close` are dropped."""
        if self.transport is not None and self.state is _OPEN:
            self.transport.write(data)
        elif self.state is ChannelState.PENDING and self.pending_close is None:
            self.pending_output += data

    def close(self, reason: CloseReason) -> None:
        """Close our side; the client has a limited time to read its last lines and close its side."""
        transport = self.transport
        if self.state is ChannelState.PENDING:
            self.pending_close = self.pending_close or reason
        if transport is None or self.state is not ChannelState.OPEN:
            return
        self.resume()
        self.state = ChannelState.CLOSING
        if reason is CloseReason.RESET:
            reset_connection(transport)
            return
        # Guards against the answer being lost to a reset: a socket that is closed with unread bytes, or that
        # gets more, resets the other side. So only our side is shut down, and further data are read and
        # dropped.
        if transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()
        self.descriptors.set_rank(self, EvictionRank.ANSWERED)
        self.linger_until = self.loop.time() + LINGER_MAX_S
        self.linger_timer = self.loop.call_later(LINGER_S, self._on_linger_over)

    def _on_linger_over(self) -> None:
        """Close now, or wait longer for a client that reads its last lines slowly but makes progress."""
        unsent_bytes = 0 if self.transport is None else self.transport.get_write_buffer_size()
        if 0 < unsent_bytes < self.unsent_bytes and self.loop.time() + LINGER_S < self.linger_until:
            self.unsent_bytes = unsent_bytes
            self.linger_timer = self.loop.call_later(LINGER_S, self._on_linger_over)
        else:
            self.close_now()

    def _discard_unread(self) -> None:
        """Read and drop the bytes left in the socket, which is closed right after this.

        Guards against closing a socket with unread bytes: the close would reset the connection, and the
        client would lose its answer.
        """
        with contextlib.suppress(OSError):
            for _ in range(FINAL_READS_MAX):
                if not os.read(self.descriptor, WRITE_BUFFER_HIGH_BYTES):
                    return
