"""Anti-entropy between replicas: length-prefixed msgpack frames over loopback TCP.

A link begins with both sides' digests, and each sends its digest again now and then. Whoever gets a
digest sends the entries that its sender lacks, and asks for those that it lacks itself. What is written
or taken in passes on at once to the links it did not come from.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable, Iterable
from typing import cast

import msgspec
import structlog

from gradegap.net.backend import Dialer, split_address
from gradegap.stats import Stats
from gradegap.store.versioned import BadEntry, Entry, Store

log = structlog.get_logger()

LARGEST_FRAME = 1024 * 1024
BATCH = 200  # entries of one frame: a store of the largest values takes several
PERIOD = 1.0  # s between two digests on a link, and between two tries at a peer that is away
CONNECT_WAIT = 0.5
MOST_LINKS = 32
SILENT = 5 * PERIOD  # s without a word, after which a peer that should say its digest is taken for gone
HEAD = 4


class Digest(msgspec.Struct, tag="digest"):
    versions: dict[str, tuple[int, str]]


class Want(msgspec.Struct, tag="want"):
    keys: list[str]


class Entries(msgspec.Struct, tag="entries"):
    entries: list[Entry]


Frame = Digest | Want | Entries
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class BadFrame(ValueError):
    """Bytes that are no frame."""


def encode(frame: Frame) -> bytes:
    body = msgspec.msgpack.encode(frame)
    return len(body).to_bytes(HEAD, "big") + body


def decode(buffer: bytearray) -> Frame | None:
    """Take the first frame off the buffer, if it is whole."""
    if len(buffer) < HEAD:
        return None
    size = int.from_bytes(buffer[:HEAD], "big")
    if size > LARGEST_FRAME:
        raise BadFrame(f"a frame of {size} bytes")
    if len(buffer) < HEAD + size:
        return None
    body = bytes(buffer[HEAD : HEAD + size])
    del buffer[: HEAD + size]
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise BadFrame(str(error)) from None


def batches(entries: list[Entry]) -> Iterable[bytes]:
    """Frames of entries, none larger than a frame may be."""
    for start in range(0, len(entries), BATCH):
        frame = encode(Entries(entries[start : start + BATCH]))
        if len(frame) <= LARGEST_FRAME:
            yield frame
        else:
            for entry in entries[start : start + BATCH]:
                yield encode(Entries([entry]))


class Link(asyncio.Protocol):
    """A connection to a peer, whichever side opened it."""

    def __init__(self, replica: Replica, lost: Callable[[], None] | None = None) -> None:
        self.replica = replica
        self.lost = lost
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.heard_at = replica.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.heard_at = self.replica.loop.time()
        if len(self.replica.links) >= MOST_LINKS:
            self.transport.abort()
            return
        self.replica.links.add(self)
        self.send_digest()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.replica.links.discard(self)
        if self.lost is not None:
            self.lost()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.heard_at = self.replica.loop.time()
        try:
            while (frame := decode(self.buffer)) is not None:
                self._frame(frame)
        except (BadFrame, BadEntry) as error:
            # Guards against a peer that speaks nonsense: its link ends, and what it said is not kept.
            self.replica.stats.count("store_bad_frames")
            log.warning("store peer broke the protocol", error=str(error))
            if self.transport is not None:
                self.transport.abort()

    def _frame(self, frame: Frame) -> None:
        store = self.replica.store
        if isinstance(frame, Digest):
            self.send_entries(store.newer_than(frame.versions))
            if keys := store.lacking(frame.versions):
                self.write(encode(Want(keys)))
        elif isinstance(frame, Want):
            self.send_entries([store.entries[k] for k in frame.keys if k in store.entries])
        else:
            for entry in frame.entries:  # all or none of a frame
                entry.check()
            taken = store.merge(frame.entries, self)
            self.replica.stats.count("store_taken", len(taken))

    def send_digest(self) -> None:
        self.write(encode(Digest(self.replica.store.digest())))

    def send_entries(self, entries: list[Entry]) -> None:
        for frame in batches(entries):
            self.write(frame)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


class Replica:
    """Keeps a store in step with the peers that the operator lists."""

    def __init__(self, store: Store, dialer: Dialer, stats: Stats, peers: Iterable[str]) -> None:
        self.store = store
        self.dialer = dialer
        self.loop = dialer.loop
        self.stats = stats
        self.peers = list(peers)
        self.links: set[Link] = set()
        self.server: asyncio.Server | None = None
        self.closed = False
        store.changed.append(self._pass_on)
        stats.gauge("store_keys", lambda: len(store.items()))
        stats.gauge("store_links", lambda: len(self.links))

    async def start(self, listen: str) -> None:
        host, port = split_address(listen)
        self.server = await self.loop.create_server(lambda: Link(self), host, port)
        for peer in self.peers:
            self._dial(peer)
        self._tick()

    def _dial(self, peer: str) -> None:
        if not self.closed:
            again = lambda: self._later(peer)  # noqa: E731
            self.dialer.dial(peer, CONNECT_WAIT, Link(self, again), again)

    def _later(self, peer: str) -> None:
        self.loop.call_later(PERIOD * random.uniform(0.5, 1.0), self._dial, peer)

    def _tick(self) -> None:
        if not self.closed:
            now = self.loop.time()
            for link in list(self.links):
                if now - link.heard_at > SILENT and link.transport is not None:
                    # Guards against peers that are cut off: they hold links, and what is sent piles up.
                    self.stats.count("store_silent")
                    link.transport.abort()
                else:
                    link.send_digest()
            self.loop.call_later(PERIOD * random.uniform(0.75, 1.25), self._tick)

    def _pass_on(self, entries: list[Entry], source: object) -> None:
        for link in self.links:
            if link is not source:
                link.send_entries(entries)

    def close(self) -> None:
        self.closed = True
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            if link.transport is not None:
                link.transport.close()


class RemoteStore:
    """A store reached from a command line: reads all of a node's entries, and writes through it."""

    def __init__(self, address: str, wait: float = 2.0) -> None:
        self.sock = socket.create_connection(split_address(address), timeout=wait)
        self.buffer = bytearray()
        self.store = Store("operator")
        self.read()

    def _frame(self) -> Frame:
        while (frame := decode(self.buffer)) is None:
            data = self.sock.recv(65536)
            if not data:
                raise BadFrame("the node ended the connection")
            self.buffer += data
        return frame

    def read(self) -> Store:
        """Ask for what the node's digest shows to be lacking here, until nothing is."""
        versions: dict[str, tuple[int, str]] | None = None
        while versions is None or self.store.lacking(versions):
            frame = self._frame()
            if isinstance(frame, Entries):
                self.store.merge(frame.entries)
            elif isinstance(frame, Digest):
                versions = frame.versions
                self.sock.sendall(encode(Want(self.store.lacking(versions))))
        return self.store

    def write(self) -> None:
        """Send what was set here, and wait until the node's digest shows it."""
        mine = [e for e in self.store.entries.values() if e.writer == self.store.writer]
        self.sock.sendall(encode(Entries(mine)))
        while True:
            frame = self._frame()
            if isinstance(frame, Digest) and all(
                e.key in frame.versions and tuple(frame.versions[e.key]) >= e.version for e in mine
            ):
                return

    def close(self) -> None:
        self.sock.close()
