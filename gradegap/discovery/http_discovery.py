"""Discovery over HTTP: the full list once, then a watch that goes on call after call.

What is called, and when silence is a broken call, is `ListClock`'s; here are the sockets and the parser.
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
from gradegap.discovery.watch_schedule import DIAL, UNFIT, Ask, WatchSchedule
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.transport.dialer import Dialer

log = structlog.get_logger()

PATH = "/registry/instances"
LOOK_AGAIN = 0.01  # s in which an answer that has come is read, before its call is held silent
BUSY = (429, 502, 503, 504)  # answers of a discovery that is there, but short of room
CALLS_MOST = (
    3  # calls out at once: a watch that is overdue, one for the changes since, one for the whole list
)
LARGEST = 8 * 1024 * 1024  # bytes of one answer


class HttpDiscovery:
    """Keeps the core's list of backends as discovery tells it."""

    def __init__(self, proxy: Proxy, dialer: Dialer, address: str, metrics: Metrics) -> None:
        self.proxy = proxy
        self.dialer = dialer
        self.address = address
        self.metrics = metrics
        self.clock = WatchSchedule(proxy.settings, random.Random())
        self.told = False  # a list has come since the start
        self.first: Callable[[], None] | None = None
        self.calls: list[Call] = []  # all that are out, the latest last; those before it are overdue
        self.again: asyncio.TimerHandle | None = None  # the next call, after one that failed
        self.last: dict[str, AddressedEntry] = {}  # what was told of each
        self.decoder = msgspec.json.Decoder(EndpointListDocument)
        metrics.gauge("watch", lambda: {"version": self.clock.version, "told": self.told})

    def start(self) -> None:
        self._connect()

    def change_over(self, address: str) -> None:
        """Discovery is elsewhere from now on: its full list is asked for, and until it comes the last one
        is kept. Whatever the old address still says is not heard."""
        self.metrics.count("director_changes")
        self.address = address
        self.clock.changed_over()
        self._drop_calls()
        self._later(self.clock.spread())

    def _later(self, after: float) -> None:
        # Guards against two watches at once, where a change of address meets a call that is to be made anew.
        if self.again is not None:
            self.again.cancel()
        if after <= 0.0:
            self._connect()
        else:
            self.again = self.proxy.loop.call_later(after, self._connect)

    def _connect(self) -> None:
        self.again = None
        call = Call(self)
        self.calls.append(call)
        call.stop = self.dialer.dial(self.address, DIAL, call, call.failed)

    def _drop_calls(self, keep: Call | None = None) -> None:
        dropped = [call for call in self.calls if call is not keep]
        self.calls = [call for call in self.calls if call is keep]
        for call in dropped:
            call.drop()

    def answer(self, call: Call, ask: Ask, body: bytes) -> str:
        """An answer to a call that is out; empty: it was taken, else why it was not."""
        try:
            listing = self.decoder.decode(body)
        except UNREADABLE_JSON as error:
            log.warning("list malformed", error=str(error))
            return "malformed"
        if why := self.clock.fits(ask, self.proxy.loop.time(), listing.full, listing.version):
            return why
        self.metrics.count("lists_full" if listing.full else "lists_delta")
        self.clock.took(ask, self.proxy.loop.time(), listing.version)
        self._only(call)
        if listing.full or listing.servers:
            kind = EndpointListKind.FULL if listing.full else EndpointListKind.DELTA
            self.proxy.update_endpoints(kind, listing.read_entries(self.last, self.metrics))
        if not self.told:
            self.told = True
            if self.first is not None:
                self.first()
        return ""

    def _only(self, call: Call) -> None:
        """This call has the list: whatever else is out, or was to be called, is not needed any more."""
        if self.again is not None:
            self.again.cancel()
            self.again = None
        self._drop_calls(keep=call)

    def overdue(self, call: Call) -> None:
        """A call has had no answer in its time: discovery is called anew on another connection. Where calls
        are answered in turn, this one keeps its own."""
        latest = call is self.calls[-1]
        after = self.clock.fell_silent()
        if not self.clock.keeps_overdue:
            self._drop_calls()
        elif len(self.calls) >= CALLS_MOST:
            self.calls.pop(0).drop()
        if latest:
            self._later(after)

    def over(self, call: Call, after: float) -> None:
        """A call has ended: the last list is kept, and discovery is called again in so many seconds, unless a
        later call is out."""
        if call not in self.calls:
            return
        latest = call is self.calls[-1]
        self.calls.remove(call)
        if latest and self.again is None:
            self._later(after)


class Call(asyncio.Protocol):
    """A connection to discovery; the next request goes out as soon as an answer is read."""

    def __init__(self, director: HttpDiscovery) -> None:
        self.director = director
        self.metrics = director.metrics
        self.loop = director.proxy.loop
        self.transport: asyncio.Transport | None = None
        self.stop: Callable[[], None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.ask: Ask | None = None
        self.answers = 0
        self._fresh()

    def _fresh(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.complete = False
        self.beyond = False  # a second answer has begun behind the first
        self.bytes = 0  # of this answer, so far

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self._is_out():
            self._ask()
        else:
            self.transport.abort()

    def _is_out(self) -> bool:
        return self in self.director.calls

    def _ask(self) -> None:
        assert self.transport is not None
        self.ask = ask = self.director.clock.next(self.loop.time())
        self.timer = self.loop.call_later(ask.limit, self._late, -1)
        head = f"GET {target(ask)} HTTP/1.1\r\nHost: {self.director.address}\r\n\r\n"
        self.transport.write(head.encode())

    def data_received(self, data: bytes) -> None:
        if not self._is_out():
            return
        self.bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.complete:
                log.warning("discovery broke HTTP", error=str(error))
                self._refused("not_http")
                return
            self.beyond = True  # what stands behind a whole answer spoils the next one, not this
        if self.bytes > LARGEST:
            self._refused("too_large")
        elif self.complete:
            self._answered()

    def on_message_begin(self) -> None:
        self.beyond = self.beyond or self.complete

    def on_body(self, body: bytes) -> None:
        if not self.beyond:
            self.body += body

    def on_message_complete(self) -> None:
        if not self.beyond:
            self.complete = True
            self.status, self.keep = self.parser.get_status_code(), self.parser.should_keep_alive()

    def _answered(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        status, keep, body, beyond = self.status, self.keep, bytes(self.body), self.beyond
        self._fresh()
        if status in BUSY:
            # It has no room now, and still knows what this node has: the changes since are asked for again,
            # which cost it less than the full list.
            self.metrics.count("lists_busy")
            self._end(self.director.clock.no_room())
            return
        assert self.ask is not None
        why = self.director.answer(self, self.ask, body) if status == 200 else f"status_{status // 100}xx"
        if why:
            self._refused(why)
            return
        self.answers += 1
        if beyond:
            self.metrics.count("lists_refused_behind_another")
            self._end(self.director.clock.refused("out_of_turn"))
        elif keep and self.transport is not None and not self.transport.is_closing():
            self._ask()
        else:
            self._end(0.0)  # a director that closed after an answer is called at once: the watch goes on

    def _refused(self, why: str) -> None:
        """Guards against an answer that can't be read, or is not the one asked for: the last list is kept,
        and this connection, whose answers may all be one behind by now, is not used again."""
        self.metrics.count(f"lists_refused_{why}")
        clock = self.director.clock
        log.warning("list refused", reason=why, version=clock.version)
        if why in UNFIT:
            self._end(clock.refused(why))
        else:
            self.metrics.count("lists_malformed" if why == "malformed" else "lists_failed")
            self._end(clock.lost(anew=True))

    def _late(self, seen: int) -> None:
        """Guards against a node short of CPU, which has the answer and has not read it yet: it is held silent
        when a further look finds nothing more."""
        if seen != self.bytes:
            self.timer = self.loop.call_later(LOOK_AGAIN, self._late, self.bytes)
            return
        assert self.ask is not None
        self.timer = None
        self.metrics.count("lists_silent")
        log.warning("discovery is silent", asked=target(self.ask), silent=self.director.clock.silent + 1)
        self.director.overdue(self)

    def failed(self) -> None:
        self.metrics.count("lists_failed")
        self.director.over(self, self.director.clock.lost())

    def _end(self, after: float) -> None:
        self.director.over(self, after)
        self.drop()

    def drop(self) -> None:
        """Hear no more of it, wherever it stands."""
        if self.timer is not None:
            self.timer.cancel()
        if self.stop is not None:
            self.stop()
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        if self._is_out():
            self.metrics.count("lists_ended")
            # Between two answers it may just have been closed as idle: then the watch goes on at once.
            clean = self.answers > 0 and not self.bytes and exc is None
            self.director.over(self, 0.0 if clean else self.director.clock.lost())


def target(ask: Ask) -> str:
    if ask.index is None:
        return PATH
    return f"{PATH}?index={ask.index}&wait={round(ask.wait * 1000)}"
