"""Discovery over HTTP: one poll for the full endpoint list, then a watch, which is a sequence of long polls.

`WatchSchedule` decides what to poll and after which time an unanswered watch counts as broken;
`endpoint_list` decodes the lists.
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

ENDPOINT_LIST_PATH = "/registry/instances"

UNREAD_ANSWER_GRACE_S = 0.01
"""Extra time to read an answer that has already arrived, before its poll counts as overdue."""

OVERLOADED_STATUSES = (429, 502, 503, 504)
"""HTTP statuses of a discovery service that is reachable but overloaded."""

OPEN_POLLS_MAX = 3
"""Maximum number of concurrent polls: an overdue watch, a poll for the changes, and one for the full list."""

ANSWER_MAX_BYTES = 8 * 1024 * 1024
"""Maximum size of one answer, its head included; a larger one is rejected."""


class HttpDiscovery:
    """Updates the proxy's endpoint list from discovery's HTTP interface."""

    def __init__(self, proxy: Proxy, dialer: Dialer, address: str, metrics: Metrics) -> None:
        self.proxy = proxy
        self.dialer = dialer
        self.address = address
        self.metrics = metrics
        self.schedule = WatchSchedule(proxy.settings, random.Random())
        self.has_list = False
        """Whether discovery has sent a list since the start of the process."""
        self.on_first_list: Callable[[], None] | None = None
        self.connections: list[PollConnection] = []
        """Connections of all open polls in the order of their start; all but the last are overdue."""
        self.next_poll_timer: asyncio.TimerHandle | None = None
        """Timer of the next poll while a delay or backoff runs."""
        self.last_entries: dict[str, AddressedEntry] = {}
        """The last valid entry of each endpoint."""
        self.decoder = msgspec.json.Decoder(EndpointListDocument)
        metrics.gauge("watch", lambda: {"version": self.schedule.version, "told": self.has_list})

    def start(self) -> None:
        """Start the first poll."""
        self._connect()

    def stop(self) -> None:
        """End all polls, and schedule no further one."""
        if self.next_poll_timer is not None:
            self.next_poll_timer.cancel()
        self._drop_connections()

    def change_address(self, address: str) -> None:
        """Use discovery at another address.

        The full list is polled there, and the last list stays in use until it arrives. Data that the old
        address still sends is ignored.
        """
        self.metrics.count("discovery_changes")
        self.address = address
        self.schedule.reset()
        self._drop_connections()
        self._poll_after(self.schedule.start_delay())

    def _poll_after(self, delay_s: float) -> None:
        # Guards against two concurrent watches if the address changes while a retry is scheduled.
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
        connection.cancel_dial = self.dialer.dial(
            self.address, CONNECT_TIMEOUT_S, connection, connection.connect_failed
        )

    def _drop_connections(self, keep: PollConnection | None = None) -> None:
        dropped = [connection for connection in self.connections if connection is not keep]
        self.connections = [connection for connection in self.connections if connection is keep]
        for connection in dropped:
            connection.drop()

    def accept(self, connection: PollConnection, poll: Poll, body: bytes) -> str:
        """Apply the answer to an open poll.

        Returns an empty text if the list is now in use, else the reason for the rejection.
        """
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
            self.proxy.update_endpoints(kind, document.read_entries(self.last_entries, self.metrics))
        if not self.has_list:
            self.has_list = True
            if self.on_first_list is not None:
                self.on_first_list()
        return ""

    def _end_other_polls(self, answered: PollConnection) -> None:
        """Cancel all other open polls and the scheduled one: this answer has made them unnecessary."""
        if self.next_poll_timer is not None:
            self.next_poll_timer.cancel()
            self.next_poll_timer = None
        self._drop_connections(keep=answered)

    def on_overdue(self, connection: PollConnection) -> None:
        """Handle a poll that was not answered before its timeout: poll discovery on another connection.

        If discovery is a shared service that answers polls one after another, the overdue poll stays open and
        so keeps its place in the service's queue; if too many polls are open, the oldest is closed. With any
        other kind of discovery the overdue poll is closed.
        """
        is_latest = connection is self.connections[-1]
        delay_s = self.schedule.record_timeout()
        if not self.schedule.keeps_overdue_polls:
            self._drop_connections()
        elif len(self.connections) >= OPEN_POLLS_MAX:
            self.connections.pop(0).drop()
        if is_latest:
            self._poll_after(delay_s)

    def on_ended(self, connection: PollConnection, delay_s: float) -> None:
        """Handle the end of a poll's connection: the next poll starts after a delay.

        The last list stays in use. No poll is scheduled if a later one is open.
        """
        if connection not in self.connections:
            return
        is_latest = connection is self.connections[-1]
        self.connections.remove(connection)
        if is_latest and self.next_poll_timer is None:
            self._poll_after(delay_s)


class PollConnection(asyncio.Protocol):
    """A connection to discovery; the next poll is sent as soon as an answer has been read."""

    def __init__(self, discovery: HttpDiscovery) -> None:
        self.discovery = discovery
        self.metrics = discovery.metrics
        self.loop = discovery.proxy.loop
        self.transport: asyncio.Transport | None = None
        self.cancel_dial: Callable[[], None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.poll: Poll | None = None
        self.answer_count = 0
        self._expect_answer()

    def _expect_answer(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.is_complete = False
        self.has_trailing_answer = False  # a second answer has begun after the first
        self.received_bytes = 0  # size of the current answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the poll, unless it has been dropped meanwhile."""
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
        """Parse received data up to the end of one answer."""
        if not self._is_in_use():
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.is_complete:
                log.warning("discovery answer malformed", error=str(error))
                self._reject("not_http")
                return
            self.has_trailing_answer = True  # affects the next answer, not this complete one
        if self.received_bytes > ANSWER_MAX_BYTES:
            self._reject("too_large")
        elif self.is_complete:
            self._on_answer()

    def on_message_begin(self) -> None:
        """Parser callback: an answer begins."""
        self.has_trailing_answer = self.has_trailing_answer or self.is_complete

    def on_body(self, body: bytes) -> None:
        """Parser callback: a part of an answer's body."""
        if not self.has_trailing_answer:
            self.body += body

    def on_message_complete(self) -> None:
        """Parser callback: an answer is complete."""
        if not self.has_trailing_answer:
            self.is_complete = True
            self.status, self.keep_alive = self.parser.get_status_code(), self.parser.should_keep_alive()

    def _on_answer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        status, keep_alive, body, has_trailing_answer = (
            self.status,
            self.keep_alive,
            bytes(self.body),
            self.has_trailing_answer,
        )
        self._expect_answer()
        if status in OVERLOADED_STATUSES:
            # Discovery still knows the version of this node's list: the changes are polled again, which costs
            # discovery less than the full list.
            self.metrics.count("lists_busy")
            self._end(self.discovery.schedule.record_overload())
            return
        assert self.poll is not None
        is_success = status == 200
        reason = self.discovery.accept(self, self.poll, body) if is_success else f"status_{status // 100}xx"
        if reason:
            self._reject(reason)
            return
        self.answer_count += 1
        if has_trailing_answer:
            self.metrics.count("lists_refused_behind_another")
            self._end(self.discovery.schedule.record_mismatch(Mismatch.OUT_OF_TURN))
        elif keep_alive and self.transport is not None and not self.transport.is_closing():
            self._send_poll()
        else:
            # Discovery closes the connection after each answer: poll again at once to continue the watch.
            self._end(0.0)

    def _reject(self, reason: str) -> None:
        """Reject an answer that is malformed or does not belong to this poll.

        The last list stays in use. The connection is closed, because each later answer on it may belong to
        the previous poll.
        """
        self.metrics.count(f"lists_refused_{reason}")
        schedule = self.discovery.schedule
        log.warning("endpoint list rejected", reason=reason, version=schedule.version)
        if isinstance(reason, Mismatch):
            self._end(schedule.record_mismatch(reason))
        else:
            self.metrics.count("lists_malformed" if reason == "malformed" else "lists_failed")
            self._end(schedule.record_failure(forget_version=True))

    def _on_timeout(self, previously_received_bytes: int) -> None:
        """Handle the poll's timeout.

        Guards against a node short of CPU time, whose socket already holds the unread answer: the poll counts
        as overdue only if a second check finds that no further byte has arrived.
        """
        if previously_received_bytes != self.received_bytes:
            self.timer = self.loop.call_later(UNREAD_ANSWER_GRACE_S, self._on_timeout, self.received_bytes)
            return
        assert self.poll is not None
        self.timer = None
        self.metrics.count("lists_silent")
        timeouts = self.discovery.schedule.timeouts + 1
        log.warning("discovery poll timed out", target=poll_target(self.poll), timeouts=timeouts)
        self.discovery.on_overdue(self)

    def connect_failed(self) -> None:
        """Handle a failed or timed-out connection attempt, as reported by the dialer."""
        self.metrics.count("lists_failed")
        self.discovery.on_ended(self, self.discovery.schedule.record_failure())

    def _end(self, delay_s: float) -> None:
        self.discovery.on_ended(self, delay_s)
        self.drop()

    def drop(self) -> None:
        """Abort the connection in any state, also while it is being dialled."""
        if self.timer is not None:
            self.timer.cancel()
        if self.cancel_dial is not None:
            self.cancel_dial()
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection: a poll that was open on it has failed."""
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        if self._is_in_use():
            self.metrics.count("lists_ended")
            # A close between two answers may be an idle timeout: the watch then continues without a backoff.
            is_idle_close = self.answer_count > 0 and not self.received_bytes and exc is None
            self.discovery.on_ended(self, 0.0 if is_idle_close else self.discovery.schedule.record_failure())


def poll_target(poll: Poll) -> str:
    """Request target of a poll: path and query."""
    if poll.since_version is None:
        return ENDPOINT_LIST_PATH
    return f"{ENDPOINT_LIST_PATH}?index={poll.since_version}&wait={round(poll.wait_s * 1000)}"
