"""Discovery over HTTP: the full list once, then a watch that goes on call after call."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import Callable
from ipaddress import ip_address
from typing import cast

import httptools
import msgspec
import structlog

from gradegap import interface as api
from gradegap.core import Core
from gradegap.net.backend import Dialer, split_address
from gradegap.stats import Stats

log = structlog.get_logger()

PATH = "/registry/instances"
WATCH_WAIT = 10.0  # s that a watch may hold; each new one costs discovery as much as a short one
ANSWER_WAIT = 6.0  # s beyond that until a silent discovery is called anew: its calls may wait in turn
CONNECT_WAIT = 0.5
RETRY = 0.1  # s, about, between a first call that failed and the next; doubled at each further failure
RETRY_MOST = 3.0  # s, about; what discovery has to tell counts as told after six
BUSY = (429, 502, 503, 504)  # answers of a discovery that is there, but short of room
LARGEST = 8 * 1024 * 1024  # bytes of one answer
STATES = {"Ready": api.Phase.READY, "Terminating": api.Phase.DRAINING, "Gone": api.Phase.GONE}


class Item(msgspec.Struct):
    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "Ready"
    weight: float = 1.0
    started_ms: float = 0.0

    def entry(self) -> Entry:
        """Guards against an entry that nothing can be done with, by a ValueError."""
        if not self.id.isprintable() or not self.id:
            raise ValueError("no id")
        if not 0.0 <= self.weight < math.inf or not self.started_ms < math.inf:
            raise ValueError("a figure out of range")
        if self.addr:
            ip_address(split_address(self.addr)[0])  # numbers only: there is no DNS to wait for
        elif self.state == "Ready":
            raise ValueError("no address")
        # A state of a later protocol takes nothing new: it is not Ready.
        phase = STATES.get(self.state, api.Phase.DRAINING)
        entry = api.ServerEntry(
            self.id, self.zone, self.cell, phase, self.weight, max(0.0, self.started_ms) / 1000
        )
        return entry, self.addr


Entry = tuple[api.ServerEntry, str]


class Named(msgspec.Struct):
    id: str


class Listing(msgspec.Struct):
    version: int = 0
    full: bool = True
    servers: list[msgspec.Raw] = []

    def entries(self, last: dict[str, Entry], stats: Stats) -> list[Entry]:
        """What the list tells, one by one. Guards against one bad entry that takes the whole list with it:
        of such a server, what was told last is still true."""
        told: list[Entry] = []
        for raw in self.servers:
            try:
                told.append(msgspec.json.decode(raw, type=Item).entry())
            except ValueError as error:  # msgspec's are of that kind
                stats.count("list_items_bad")
                log.warning("entry of the list ignored", error=str(error)[:200])
                with contextlib.suppress(msgspec.MsgspecError):
                    name = msgspec.json.decode(raw, type=Named).id
                    told += [last[name]] if self.full and name in last else []
        if self.full:
            last.clear()
        last.update((entry.server, (entry, address)) for entry, address in told)
        return told


class Director:
    """Keeps the core's list of backends as discovery tells it."""

    def __init__(self, core: Core, dialer: Dialer, address: str, stats: Stats) -> None:
        self.core = core
        self.dialer = dialer
        self.address = address
        self.stats = stats
        self.version: int | None = None  # None: the next call asks for the full list
        self.told = False  # a list has come since the start
        self.failures = 0  # calls in a row that failed
        self.first: Callable[[], None] | None = None
        self.call: Call | None = None
        self.again: asyncio.TimerHandle | None = None  # the next call, after one that failed
        self.last: dict[str, Entry] = {}  # what was told of each
        self.decoder = msgspec.json.Decoder(Listing)
        stats.gauge("watch", lambda: {"version": self.version, "told": self.told})

    def start(self) -> None:
        self._connect()

    def change_over(self, address: str) -> None:
        """Discovery is elsewhere from now on: its full list is asked for, and until it comes the last one
        is kept. Whatever the old address still says is not heard."""
        self.stats.count("director_changes")
        old, self.call = self.call, None
        self.address, self.version, self.failures = address, None, 0
        if old is not None:
            old.drop()
        self._connect()

    def _connect(self) -> None:
        # Guards against two watches at once, where a change of address meets a call that is to be made anew.
        if self.again is not None:
            self.again.cancel()
            self.again = None
        self.call = call = Call(self)
        call.stop = self.dialer.dial(self.address, CONNECT_WAIT, call, call.failed)

    def target(self) -> str:
        if self.version is None:
            return PATH
        return f"{PATH}?index={self.version}&wait={round(WATCH_WAIT * 1000)}"

    def answer(self, body: bytes) -> bool:
        """Whether the answer could be read."""
        try:
            listing = self.decoder.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            self.stats.count("lists_malformed")
            log.warning("list malformed", error=str(error))
            return False
        self.stats.count("lists_full" if listing.full else "lists_delta")
        if not listing.full and self.version is None:
            return False
        self.version = listing.version
        if listing.full or listing.servers:
            kind = api.ListKind.FULL if listing.full else api.ListKind.DELTA
            self.core.listing(kind, listing.entries(self.last, self.stats))
        if not self.told:
            self.told = True
            if self.first is not None:
                self.first()
        return True

    def lost(self, call: Call, failed: bool = True, anew: bool = False) -> None:
        """A call has ended: the last list is kept, and discovery is called again; after a failure, later.

        Guards against nodes that drown a discovery which is short of room: each once called for the full
        list every 0.1 s, and gave up what waited in turn, so that none was ever answered."""
        if call is not self.call:
            return
        self.call = None
        if anew:
            self.version = None
        after = 0.0
        if failed:
            after = min(RETRY_MOST, RETRY * 2.0 ** min(self.failures, 10)) * random.uniform(0.5, 1.5)
            self.failures += 1
        self.again = self.core.loop.call_later(after, self._connect)


class Call(asyncio.Protocol):
    """A connection to discovery; the next request goes out as soon as an answer is read."""

    def __init__(self, director: Director) -> None:
        self.director = director
        self.loop = director.core.loop
        self.transport: asyncio.Transport | None = None
        self.stop: Callable[[], None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.answers = 0
        self._fresh()

    def _fresh(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.director.call is self:
            self._ask()
        else:
            self.transport.abort()

    def _ask(self) -> None:
        assert self.transport is not None
        wait = ANSWER_WAIT + (WATCH_WAIT if self.director.version is not None else 0.0)
        self.timer = self.loop.call_later(wait, self._silent)
        head = f"GET {self.director.target()} HTTP/1.1\r\nHost: {self.director.address}\r\n\r\n"
        self.transport.write(head.encode())

    def data_received(self, data: bytes) -> None:
        if self.director.call is not self:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            log.warning("discovery broke HTTP", error=str(error))
            self._end()
            return
        if len(self.body) > LARGEST:
            self._end()
        elif self.complete:
            self._answered()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True

    def _answered(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        status, keep = self.parser.get_status_code(), self.parser.should_keep_alive()
        body = bytes(self.body)
        self._fresh()
        if status in BUSY:
            # It has no room now, and still knows what this node has: the changes since are asked for again,
            # which cost it less than the full list.
            self.director.stats.count("lists_busy")
            self._end()
            return
        if status != 200 or not self.director.answer(body):
            # Guards against a reply that can't be read: the last list is kept, the full one asked for.
            self.director.stats.count("lists_failed")
            self._end(anew=True)
            return
        self.answers += 1
        self.director.failures = 0
        if keep and self.transport is not None and not self.transport.is_closing():
            self._ask()
        else:
            self._end(failed=False)

    def _silent(self) -> None:
        self.director.stats.count("lists_silent")
        self._end()

    def failed(self) -> None:
        self.director.stats.count("lists_failed")
        self.director.lost(self)

    def _end(self, failed: bool = True, anew: bool = False) -> None:
        self.director.lost(self, failed, anew)
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
        # A director that closed after an answer is called again at once: the watch goes on.
        self.director.lost(self, failed=not self.answers)
