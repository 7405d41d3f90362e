"""Where a datagram goes, by its first packet's id. No I/O, no clock; docs/design/quic.md has the table.

It decides who *holds* a connection. Where a new session goes is the module's to say, by its first line.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from gradegap.quic.ids import MAX_ID_LENGTH
from gradegap.quic.keys import DerivedKeys, Holder

MIN_INITIAL_ID_LENGTH = 8  # octets of the id that a client chooses first (RFC 9000, 7.2)
MIN_INITIAL_LENGTH = 1200  # octets of a datagram with a client's Initial (RFC 9000, 14.1)
MIN_RESET_LENGTH = 21  # octets of a stateless reset that can't be told from a packet (RFC 9000, 10.3)
MIN_RESET_TRIGGER_LENGTH = (
    MIN_RESET_LENGTH + 1
)  # a reset is shorter than what provoked it, so that two that answer each other end
VERSION_1, VERSION_2 = 0x00000001, 0x6B3343CF  # RFC 9000, RFC 9369
SUPPORTED_VERSIONS = (VERSION_1, VERSION_2)


class RouteKind(enum.Enum):
    """What is done with a datagram."""

    HERE = "here"
    FORWARD = "forward"
    NEW = "new"
    NEGOTIATE = "negotiate"
    RESET = "reset"
    DROP = "drop"


@dataclass(slots=True, frozen=True)
class Route:
    """Where a datagram goes."""

    kind: RouteKind
    destination: bytes = b""  # the id that it is to
    source: bytes = b""  # a long header's
    version: int = 0
    token: bytes = b""  # an Initial's
    holder: Holder | None = None  # whom to forward it to
    drop_reason: str = ""  # of a drop: the word that is counted


@dataclass(slots=True, frozen=True)
class Header:
    """The part of a packet that every version of QUIC has (RFC 8999)."""

    long: bool
    version: int
    destination: bytes
    source: bytes
    initial: bool = False
    token: bytes = b""


def parse_header(data: bytes, length_of: Callable[[int], int | None]) -> Header | str:
    """The header of a datagram's first packet, or the word for what is wrong with it.

    `length_of`: how long the id is that begins with an octet, as short headers do not say.
    """
    if not data:
        return "empty"
    return _parse_long_header(data) if data[0] & 0x80 else _parse_short_header(data, length_of)


def _parse_short_header(data: bytes, length_of: Callable[[int], int | None]) -> Header | str:
    if not data[0] & 0x40:
        return "fixed_bit"
    length = length_of(data[1]) if len(data) > 1 else None
    if length is None:
        return "unknown_id"
    if len(data) < 1 + length:
        return "short"
    return Header(False, 0, data[1 : 1 + length], b"")


def _parse_long_header(data: bytes) -> Header | str:
    if len(data) < 7:
        return "short"
    first = data[0]
    version = int.from_bytes(data[1:5], "big")
    end = 6 + data[5]
    if len(data) <= end:
        return "short"
    stop = end + 1 + data[end]
    if len(data) < stop:
        return "short"
    destination, source = data[6:end], data[end + 1 : stop]
    if version not in SUPPORTED_VERSIONS:
        return Header(True, version, destination, source)
    if len(destination) > MAX_ID_LENGTH or len(source) > MAX_ID_LENGTH:
        return "long_id"
    if not first & 0x40:
        return "fixed_bit"
    if (first >> 4) & 3 != (0 if version == VERSION_1 else 1):
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
    """Routes as one process sees them; `is_reachable` says which other holders can be forwarded to."""

    def __init__(self, keys: DerivedKeys, own_holder: Holder, is_reachable: Callable[[Holder], bool]) -> None:
        self.keys, self.own_holder, self.is_reachable = keys, own_holder, is_reachable

    def use_keys(self, keys: DerivedKeys) -> None:
        """Route by another ring from now on."""
        self.keys = keys

    def route(self, data: bytes, held: Callable[[bytes], bool], forwarded: bool = False) -> Route:
        """Where one datagram goes.

        `held`: whether this process has a connection under an id; `forwarded`: another process sent it on, so
        that it goes no further.
        """
        found = parse_header(data, self.keys.ids.length_of)
        if isinstance(found, str):
            return Route(RouteKind.DROP, drop_reason=found)
        if held(found.destination):
            return Route(RouteKind.HERE, found.destination, found.source, found.version)
        read = self.keys.ids.read(found.destination)
        holder = Holder.of(read.server) if read is not None else None
        if holder is not None and holder != self.own_holder and self.is_reachable(holder):
            if forwarded:
                # Guards against two processes that each take the other for an id's holder.
                return Route(RouteKind.DROP, found.destination, drop_reason="loop")
            return Route(RouteKind.FORWARD, found.destination, found.source, found.version, holder=holder)
        if not found.long:
            return self._route_unknown_session(found, holder, len(data))
        return self._route_initial(found, len(data))

    def _route_unknown_session(self, found: Header, holder: Holder | None, length: int) -> Route:
        """A packet of a session that nobody holds, `length` octets long."""
        if holder is None:
            return Route(RouteKind.DROP, found.destination, drop_reason="unknown_id")
        if holder.node != self.own_holder.node:
            # Guards another node's sessions: whether it is alive is not known here, and a reset ends them.
            return Route(RouteKind.DROP, found.destination, drop_reason="other_node")
        if length < MIN_RESET_TRIGGER_LENGTH:
            return Route(RouteKind.DROP, found.destination, drop_reason="too_short")
        return Route(RouteKind.RESET, found.destination, holder=holder)

    def _route_initial(self, found: Header, length: int) -> Route:
        """A packet with a long header to an id that nobody holds, in a datagram of `length` octets."""
        if found.version == 0:
            return Route(RouteKind.DROP, drop_reason="negotiation")  # only a client is told versions
        if length < MIN_INITIAL_LENGTH:
            # Guards against answers that are longer than what they answer.
            return Route(RouteKind.DROP, found.destination, drop_reason="small")
        if found.version not in SUPPORTED_VERSIONS:
            return Route(RouteKind.NEGOTIATE, found.destination, found.source, found.version)
        if not found.initial:
            return Route(RouteKind.DROP, found.destination, drop_reason="unknown_id")
        if len(found.destination) < MIN_INITIAL_ID_LENGTH:
            return Route(RouteKind.DROP, found.destination, drop_reason="short_id")
        return Route(RouteKind.NEW, found.destination, found.source, found.version, found.token)


class TokenBucket:
    """At most `rate` a second on average, `burst` at once: for answers that anybody can provoke."""

    def __init__(self, rate: float, burst: int) -> None:
        self.rate, self.burst = rate, burst
        self.tokens, self.updated_at = float(burst), 0.0

    def take(self, now: float) -> bool:
        """Whether one more may go out at `now` (s)."""
        self.tokens = min(float(self.burst), self.tokens + max(0.0, now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
