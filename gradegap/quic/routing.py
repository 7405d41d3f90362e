"""Where a datagram goes, by its first packet's id. No I/O, no clock; docs/design/quic.md has the table.

It decides who *holds* a connection. Where a new session goes is the module's to say, by its first line.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from gradegap.quic.ids import LONGEST
from gradegap.quic.keys import Holder, Keys

INITIAL_LEAST = 1200  # octets of a datagram with a client's Initial (RFC 9000, 14.1)
RESET_LEAST = 21  # octets of a stateless reset that can't be told from a packet (RFC 9000, 10.3)
PROVOKES = RESET_LEAST + 1  # a reset is shorter than what provoked it, so that two that answer each other end
VERSION_1, VERSION_2 = 0x00000001, 0x6B3343CF  # RFC 9000, RFC 9369
SPOKEN = (VERSION_1, VERSION_2)


class Way(enum.Enum):
    HERE = "here"
    FORWARD = "forward"
    NEW = "new"
    NEGOTIATE = "negotiate"
    RESET = "reset"
    DROP = "drop"


@dataclass(slots=True, frozen=True)
class Route:
    way: Way
    destination: bytes = b""  # the id that it is to
    source: bytes = b""  # a long header's
    version: int = 0
    token: bytes = b""  # an Initial's
    holder: Holder | None = None  # whom to forward it to
    why: str = ""  # of a drop: the word that is counted


@dataclass(slots=True, frozen=True)
class Header:
    """The part of a packet that every version of QUIC has (RFC 8999)."""

    long: bool
    version: int
    destination: bytes
    source: bytes
    initial: bool = False
    token: bytes = b""


def header(data: bytes, length_of: Callable[[int], int | None]) -> Header | str:
    """Of a datagram's first packet, or the word for what is wrong with it. `length_of`: how long the id is
    that begins with an octet, as short headers do not say."""
    if not data:
        return "empty"
    first = data[0]
    if not first & 0x80:
        if not first & 0x40:
            return "fixed_bit"
        length = length_of(data[1]) if len(data) > 1 else None
        if length is None:
            return "unknown_id"
        if len(data) < 1 + length:
            return "short"
        return Header(False, 0, data[1 : 1 + length], b"")
    if len(data) < 7:
        return "short"
    version = int.from_bytes(data[1:5], "big")
    end = 6 + data[5]
    if len(data) <= end:
        return "short"
    stop = end + 1 + data[end]
    if len(data) < stop:
        return "short"
    destination, source = data[6:end], data[end + 1 : stop]
    if version in SPOKEN:
        if len(destination) > LONGEST or len(source) > LONGEST:
            return "long_id"
        if not first & 0x40:
            return "fixed_bit"
    kind = (first >> 4) & 3
    if version not in SPOKEN or kind != (0 if version == VERSION_1 else 1):
        return Header(True, version, destination, source)
    token = _token(data, stop)
    return "short" if token is None else Header(True, version, destination, source, True, token)


def _token(data: bytes, at: int) -> bytes | None:
    """An Initial's token, which a variable-length integer (RFC 9000, 16) stands before; None for less."""
    if at >= len(data):
        return None
    size = 1 << (data[at] >> 6)
    if len(data) < at + size:
        return None
    length = int.from_bytes(data[at : at + size], "big") & ((1 << (8 * size - 2)) - 1)
    if len(data) < at + size + length:
        return None
    return data[at + size : at + size + length]


class Router:
    """One process's view. `mine` is what it holds; `alive` says which other holders can be forwarded to."""

    def __init__(self, keys: Keys, me: Holder, alive: Callable[[Holder], bool]) -> None:
        self.keys, self.me, self.alive = keys, me, alive

    def adopt(self, keys: Keys) -> None:
        self.keys = keys

    def route(self, data: bytes, held: Callable[[bytes], bool], forwarded: bool = False) -> Route:
        """`held`: whether this process has a connection under an id. `forwarded`: another process sent it on,
        so that it goes no further."""
        found = header(data, self.keys.ids.length_of)
        if isinstance(found, str):
            return Route(Way.DROP, why=found)
        if held(found.destination):
            return Route(Way.HERE, found.destination, found.source, found.version)
        read = self.keys.ids.read(found.destination)
        holder = Holder.of(read.server) if read is not None else None
        if holder is not None and holder != self.me and self.alive(holder):
            if forwarded:
                # Guards against two processes that each take the other for an id's holder.
                return Route(Way.DROP, found.destination, why="loop")
            return Route(Way.FORWARD, found.destination, found.source, found.version, holder=holder)
        if not found.long:
            if holder is None:
                return Route(Way.DROP, found.destination, why="unknown_id")
            if holder.node != self.me.node:
                # Guards another node's sessions: whether it is alive is not known here, and a reset ends.
                return Route(Way.DROP, found.destination, why="other_node")
            if len(data) < PROVOKES:
                return Route(Way.DROP, found.destination, why="too_short")
            return Route(Way.RESET, found.destination, holder=holder)
        if found.version == 0:
            return Route(Way.DROP, why="negotiation")  # only a client is told versions
        if len(data) < INITIAL_LEAST:
            # Guards against answers that are longer than what asked for them.
            return Route(Way.DROP, found.destination, why="small")
        if found.version not in SPOKEN:
            return Route(Way.NEGOTIATE, found.destination, found.source, found.version)
        if not found.initial:
            return Route(Way.DROP, found.destination, why="unknown_id")
        if len(found.destination) < 8:
            return Route(Way.DROP, found.destination, why="short_id")  # RFC 9000, 7.2
        return Route(Way.NEW, found.destination, found.source, found.version, found.token)


class Bucket:
    """At most `rate` a second on average, `burst` at once: for answers that anybody can provoke."""

    def __init__(self, rate: float, burst: int) -> None:
        self.rate, self.burst = rate, burst
        self.left, self.at = float(burst), 0.0

    def take(self, now: float) -> bool:
        self.left = min(float(self.burst), self.left + max(0.0, now - self.at) * self.rate)
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
