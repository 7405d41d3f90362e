"""Discovery over HTTP: the full endpoint list once, then a watch that goes on poll after poll.

What is polled, and when silence is a broken watch, is `WatchSchedule`'s; lists are read
by `endpoint_list`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import cast

import httptools
import msgspec
import structlog

from gradegap.balancing.events import EndpointListKind
from gradegap.discovery.endpoint_list import UNREADABLE_JSON, AddressedEntry, EndpointListDocument
from gradegap.discovery.watch_schedule import CONNECT_TIMEOUT_S, Mismatch, Poll, WatchSchedule
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.transport.dialer import Dialer

log = structlog.get_logger()

PATH = "/registry/instances"

UNREAD_ANSWER_GRACE_S = 0.01
"""In which an answer that has arrived is read, before its poll is held overdue."""

OVERLOADED_STATUSES = (429, 502, 503, 504)
"""Answers of a discovery that is there, but has no capacity."""

OPEN_POLLS_MAX = 3
"""Polls out at once: a watch that is overdue, one for the changes since, one for the full list."""

ANSWER_MAX_BYTES = 8 * 1024 * 1024


class HttpDiscovery:
    """Keeps the proxy's endpoint list as discovery's HTTP interface has it."""

    def __init__(self, proxy: Proxy, dialer: Dialer, address: str, metrics: Metrics) -> None:
        self.proxy = proxy
        self.dialer = dialer
        self.address = address
        self.metrics = metrics
        self.schedule = WatchSchedule(proxy.settings, random.Random())
        self.has_list = False
        """Whether discovery has sent a list since the start."""
        self.on_first_list: Callable[[], None] | None = None
        self.connections: list[PollConnection] = []
        """All that are out, the latest last; those before it are overdue."""
        self.next_poll_timer: asyncio.TimerHandle | None = None
        """For the poll after one that failed."""
        self.known: dict[str, AddressedEntry] = {}
        """The last good entry of each endpoint."""
        self.decoder = msgspec.json.Decoder(EndpointListDocument)
        metrics.gauge("watch", lambda: {"version": self.schedule.version, "told": self.has_list})

    def start(self) -> None:
        """Make the first poll."""
        self._connect()

    def stop(self) -> None:
        """End all polls, and make no further one."""
        if self.next_poll_timer is not None:
            self.next_poll_timer.cancel()
        self._drop_connections()

    def change_address(self, address: str) -> None:
        """Use discovery at another address.

        Its full list is polled for, and until it arrives the last one is kept. Whatever the old address still
        sends is ignored.
        """
        self.metrics.count("discovery_changes")
        self.address = address
        self.schedule.reset()
        self._drop_connections()
        self._poll_after(self.schedule.start_delay())

    def _poll_after(self, delay_s: float) -> None:
        # Guards against two watches at once, where a change of address meets a poll that is to be made anew.
        if self.next_poll_timer is not None:
            self.next_poll_timer.cancel()
        if delay_s <= 0.0:
            self._connect()
        else:
            self.next_poll_timer = self.proxy.loop.call_later(delay_s, self._connect)

    def _connect(self) -> None:
        self.next_poll_timer = None
        connection = PollConnection(self)
        self.connections.append(connection)
        connection.stop_dial = self.dialer.dial(
            self.address, CONNECT_TIMEOUT_S, connection, connection.connect_failed
        )

    def _drop_connections(self, keep: PollConnection | None = None) -> None:
        dropped = [connection for connection in self.connections if connection is not keep]
        self.connections = [connection for connection in self.connections if connection is keep]
        for connection in dropped:
            connection.drop()

    def accept(self, connection: PollConnection, poll: Poll, body: bytes) -> str:
        """An answer to a poll that is out; empty: its list is in use, else the reason why it is rejected."""
        try:
            document = self.decoder.decode(body)
        except UNREADABLE_JSON as error:
            log.warning("endpoint list malformed", error=str(error))
            return "malformed"
        now = self.proxy.loop.time()
        if mismatch := self.schedule.find_mismatch(poll, now, document.full, document.version):
            return mismatch
        self.metrics.count("lists_full" if document.full else "lists_delta")
        self.schedule.record_answer(poll, self.proxy.loop.time(), document.version)
        self._end_other_polls(connection)
        if document.full or document.servers:
            kind = EndpointListKind.FULL if document.full else EndpointListKind.DELTA
            self.proxy.update_endpoints(kind, document.read_entries(self.known, self.metrics))
        if not self.has_list:
            self.has_list = True
            if self.on_first_list is not None:
                self.on_first_list()
        return ""

    def _end_other_polls(self, answered: PollConnection) -> None:
        """Whatever else is out, or was to be polled, is not needed any more."""
        if self.next_poll_timer is not None:
            self.next_poll_timer.cancel()
            self.next_poll_timer = None
        self._drop_connections(keep=answered)

    def on_overdue(self, connection: PollConnection) -> None:
        """A poll had no answer in its time: discovery is polled anew on another connection.

        Where polls are answered in turn, this one keeps its own.
        """
        latest = connection is self.connections[-1]
        delay_s = self.schedule.record_timeout()
        if not self.schedule.keeps_overdue_polls:
            self._drop_connections()
        elif len(self.connections) >= OPEN_POLLS_MAX:
            self.connections.pop(0).drop()
        if latest:
            self._poll_after(delay_s)

    def on_ended(self, connection: PollConnection, delay_s: float) -> None:
        """A connection is not used any more: the last list is kept, and polled for after a delay.

        No poll is made where a later one is out.
        """
        if connection not in self.connections:
            return
        latest = connection is self.connections[-1]
        self.connections.remove(connection)
        if latest and self.next_poll_timer is None:
            self._poll_after(delay_s)


class PollConnection(asyncio.Protocol):
    """A connection to discovery; the next poll goes out as soon as an answer is read."""

    def __init__(self, discovery: HttpDiscovery) -> None:
        self.discovery = discovery
        self.metrics = discovery.metrics
        self.loop = discovery.proxy.loop
        self.transport: asyncio.Transport | None = None
        self.stop_dial: Callable[[], None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.poll: Poll | None = None
        self.answers = 0
        self._expect_answer()

    def _expect_answer(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.complete = False
        self.trailing = False  # a second answer has begun behind the first
        self.received_bytes = 0  # of this answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Make the poll, if it is still wanted."""
        self.transport = cast(asyncio.Transport, transport)
        if self._is_in_use():
            self._send_poll()
        else:
            self.transport.abort()

    def _is_in_use(self) -> bool:
        return self in self.discovery.connections

    def _send_poll(self) -> None:
        assert self.transport is not None
        self.poll = poll = self.discovery.schedule.next_poll(self.loop.time())
        self.timer = self.loop.call_later(poll.timeout_s, self._on_timeout, -1)
        head = f"GET {poll_target(poll)} HTTP/1.1\r\nHost: {self.discovery.address}\r\n\r\n"
        self.transport.write(head.encode())

    def data_received(self, data: bytes) -> None:
        """Read on, up to the end of one answer."""
        if not self._is_in_use():
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.complete:
                log.warning("discovery answer unreadable", error=str(error))
                self._reject("not_http")
                return
            self.trailing = True  # what follows a complete answer spoils the next one, not this
        if self.received_bytes > ANSWER_MAX_BYTES:
            self._reject("too_large")
        elif self.complete:
            self._on_answer()

    def on_message_begin(self) -> None:
        """Parser: an answer begins."""
        self.trailing = self.trailing or self.complete

    def on_body(self, body: bytes) -> None:
        """Parser: a part of an answer's body."""
        if not self.trailing:
            self.body += body

    def on_message_complete(self) -> None:
        """Parser: an answer is complete."""
        if not self.trailing:
            self.complete = True
            self.status, self.keep_alive = self.parser.get_status_code(), self.parser.should_keep_alive()

    def _on_answer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        status, keep_alive, body, trailing = self.status, self.keep_alive, bytes(self.body), self.trailing
        self._expect_answer()
        if status in OVERLOADED_STATUSES:
            # It still knows which list this node has: the changes since are polled for again, which cost it
            # less than the full list.
            self.metrics.count("lists_busy")
            self._end(self.discovery.schedule.record_overload())
            return
        assert self.poll is not None
        success = status == 200
        reason = self.discovery.accept(self, self.poll, body) if success else f"status_{status // 100}xx"
        if reason:
            self._reject(reason)
            return
        self.answers += 1
        if trailing:
            self.metrics.count("lists_refused_behind_another")
            self._end(self.discovery.schedule.record_mismatch(Mismatch.OUT_OF_TURN))
        elif keep_alive and self.transport is not None and not self.transport.is_closing():
            self._send_poll()
        else:
            self._end(0.0)  # discovery closed after an answer: it is polled at once, and the watch goes on

    def _reject(self, reason: str) -> None:
        """Guards against an answer that can't be read, or is not the one to this poll.

        The last list is kept, and this connection, whose answers may all be one behind by now, is not used
        again.
        """
        self.metrics.count(f"lists_refused_{reason}")
        schedule = self.discovery.schedule
        log.warning("endpoint list rejected", reason=reason, version=schedule.version)
        if isinstance(reason, Mismatch):
            self._end(schedule.record_mismatch(reason))
        else:
            self.metrics.count("lists_malformed" if reason == "malformed" else "lists_failed")
            self._end(schedule.record_failure(forget_version=True))

    def _on_timeout(self, seen_bytes: int) -> None:
        """Guards against a node short of CPU, which has the answer and has not read it yet.

        The poll is held overdue when a further look finds nothing more.
        """
        if seen_bytes != self.received_bytes:
            self.timer = self.loop.call_later(UNREAD_ANSWER_GRACE_S, self._on_timeout, self.received_bytes)
            return
        assert self.poll is not None
        self.timer = None
        self.metrics.count("lists_silent")
        timeouts = self.discovery.schedule.timeouts + 1
        log.warning("discovery poll timed out", target=poll_target(self.poll), timeouts=timeouts)
        self.discovery.on_overdue(self)

    def connect_failed(self) -> None:
        """No connection in its time: the dialer's answer."""
        self.metrics.count("lists_failed")
        self.discovery.on_ended(self, self.discovery.schedule.record_failure())

    def _end(self, delay_s: float) -> None:
        self.discovery.on_ended(self, delay_s)
        self.drop()

    def drop(self) -> None:
        """Close, and ignore what it still sends, whatever its state."""
        if self.timer is not None:
            self.timer.cancel()
        if self.stop_dial is not None:
            self.stop_dial()
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended: a poll that was out on it failed."""
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        if self._is_in_use():
            self.metrics.count("lists_ended")
            # Between two answers it may just have been closed as idle: then the watch goes on at once.
            clean = self.answers > 0 and not self.received_bytes and exc is None
            self.discovery.on_ended(self, 0.0 if clean else self.discovery.schedule.record_failure())


def poll_target(poll: Poll) -> str:
    """Path and query of a poll."""
    if poll.since_version is None:
        return PATH
    return f"{PATH}?index={poll.since_version}&wait={round(poll.wait_s * 1000)}"
