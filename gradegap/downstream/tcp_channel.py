"""The TCP channel of a client session."""

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
"""For a client that goes on sending, or reads its last lines slowly."""

DRAIN_INTERVAL_S = 0.003
"""Between two reads of what a client still sends after its answer, so that it costs little CPU."""

FINAL_READS_MAX = 16
"""Reads, of `WRITE_BUFFER_HIGH_BYTES` each, of what has come by the time of the close."""


class ChannelState(Enum):
    """How far a channel is. Only `TcpChannel` changes it, in this order."""

    PENDING = auto()
    """From another process, and without its transport yet: what it is to send is kept."""
    OPEN = auto()
    CLOSING = auto()
    """Our side is closed; what the client still sends is dropped."""
    ENDED = auto()


# For each read and write: looking a member up in its enum costs more than what is done with it.
_OPEN, _CLOSING = ChannelState.OPEN, ChannelState.CLOSING


class TcpChannel(Pausable):
    """A client's TCP connection."""

    def __init__(
        self,
        proxy: Proxy,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        channels: set[TcpChannel],
        descriptors: DescriptorBudget,
    ) -> None:
        """A channel that is in `channels` from its connection to its end."""
        self.loop = proxy.loop
        self.channels = channels
        self.descriptors = descriptors
        self.session = ClientSession(proxy, metrics, self, is_ready)
        self.state = ChannelState.OPEN
        self.linger_until = 0.0
        self.linger_timer: asyncio.TimerHandle | None = None
        self.unsent_bytes = float("inf")
        """On their way out when the linger was last over."""
        self.early = bytearray()
        self.early_close: CloseReason | None = None
        self.descriptor = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected, or one of another process's is here."""
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
        """The client's connection comes from another process."""
        self.state = ChannelState.PENDING

    def _on_adopted(self) -> None:
        if self.session.first_line.pinged:
            self.on_ping()
        elif self.session.opening is not None:
            self.on_request()
        if self.early:
            self.write(bytes(self.early))
            self.early.clear()
        if self.early_close is not None:
            self.close(self.early_close)

    def is_idle(self) -> bool:
        """Whether nothing is on its way out, and both sides are open: another process can take over."""
        transport = self.transport
        if transport is None or transport.is_closing() or transport.get_write_buffer_size():
            return False
        resumable = self.session.offer is not None or self.session.relay is not None
        return not resumable and self.state is ChannelState.OPEN and not self.paused

    def is_disconnected(self) -> bool:
        """Whether the client's end has come, be it read or not.

        Guards against a burst that keeps the loop busy: the end lies in the socket, behind all that came
        before, while a timer would forward the request.
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
            sock.detach()  # the descriptor is the transport's

    def on_ping(self) -> None:
        """The client has sent `PING`: it is evicted before those that send nothing."""
        self.descriptors.set_rank(self, EvictionRank.PINGED)

    def on_request(self) -> None:
        """The client has sent its request: it is not evicted any more."""
        self.descriptors.set_rank(self, None)

    # Eviction and shutdown

    def dismiss(self) -> None:
        """Descriptors run short: answer that there is no capacity."""
        self.session.dismiss(self.session.proxy.settings.max_retry_after)

    def evict(self) -> None:
        """No descriptor is left: close at once."""
        if self.state is ChannelState.CLOSING:  # its answer went out some time ago
            self.close_now()
        else:
            self.dismiss()
            self.close_when_sent()

    def dismiss_idle(self, retry_after: float) -> None:
        """This process ends: a client without a request is to come again elsewhere."""
        if self.session.opening is None and self.state is not ChannelState.CLOSING:
            self.session.proxy.metrics.count("rests_ended")
            self.session.dismiss(retry_after)

    def close_when_sent(self) -> None:
        """Close as soon as all that was written is out."""
        if self.transport is not None:
            self.transport.close()

    def close_now(self) -> None:
        """Close, whatever the client does.

        Guards against one that never reads: what it has left unread would keep the descriptor for as long as
        it likes.
        """
        if self.transport is not None:
            close_now(self.transport)

    # From the transport

    def data_received(self, data: bytes) -> None:
        """What the client has sent; after its last line it is dropped."""
        if self.state is _OPEN:
            self.session.on_data(data)
        if self.state is _CLOSING and not self.paused:
            # Guards against a client that goes on sending after its answer: it is read away, so that no
            # reset overtakes the answer, but at a pace that costs others nothing.
            self.pause()
            self.loop.call_later(DRAIN_INTERVAL_S, self._drain)

    def _drain(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.resume()
            if self.linger_timer is not None and self.loop.time() + LINGER_S < self.linger_until:
                self.linger_timer.cancel()
                self.linger_timer = self.loop.call_later(LINGER_S, self._on_linger_over)

    def eof_received(self) -> bool:
        """The client has closed its side; whether ours stays open."""
        if self.state is ChannelState.CLOSING:
            return False
        self.session.on_eof()
        return self.state is ChannelState.OPEN

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended, or goes on in another process."""
        if (
            exc is None and self.state is ChannelState.CLOSING
        ):  # one that goes on in another process has its bytes there
            self._read_away()
        self.channels.discard(self)
        self.descriptors.on_closed(self)
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.transport = None
        self.state = ChannelState.ENDED
        self.session.on_channel_closed(reset=exc is not None)

    def pause_writing(self) -> None:
        """The client takes no more."""
        self.session.on_backpressure(full=True)

    def resume_writing(self) -> None:
        """The client takes more."""
        self.session.on_backpressure(full=False)

    # As its session's channel

    def write(self, data: bytes) -> None:
        """Send to the client; nothing more after `close`."""
        if self.transport is not None and self.state is _OPEN:
            self.transport.write(data)
        elif self.state is ChannelState.PENDING and self.early_close is None:
            self.early += data

    def close(self, reason: CloseReason) -> None:
        """Close our side; the client has a while to read its last lines and close its own."""
        transport = self.transport
        if self.state is ChannelState.PENDING:
            self.early_close = self.early_close or reason
        if transport is None or self.state is not ChannelState.OPEN:
            return
        self.resume()
        self.state = ChannelState.CLOSING
        if reason is CloseReason.RESET:
            reset_connection(transport)
            return
        # Guards against the answer being lost to a reset: a socket closed with unread bytes, or one
        # that gets more, resets the other side. So only our side ends, and the rest is read away.
        if transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()
        self.descriptors.set_rank(self, EvictionRank.ANSWERED)
        self.linger_until = self.loop.time() + LINGER_MAX_S
        self.linger_timer = self.loop.call_later(LINGER_S, self._on_linger_over)

    def _on_linger_over(self) -> None:
        """A client that reads its last lines slowly, but reads them, has longer."""
        unsent_bytes = 0 if self.transport is None else self.transport.get_write_buffer_size()
        if 0 < unsent_bytes < self.unsent_bytes and self.loop.time() + LINGER_S < self.linger_until:
            self.unsent_bytes = unsent_bytes
            self.linger_timer = self.loop.call_later(LINGER_S, self._on_linger_over)
        else:
            self.close_now()

    def _read_away(self) -> None:
        """Read what is left; the socket is closed right after this.

        Guards against a close over bytes that came and were not read: it resets the connection, and takes the
        answer with it.
        """
        with contextlib.suppress(OSError):
            for _ in range(FINAL_READS_MAX):
                if not os.read(self.descriptor, WRITE_BUFFER_HIGH_BYTES):
                    return
