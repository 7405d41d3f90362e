"""Decides how a datagram is handled, by the destination id of its first packet. No I/O, no clock.

`docs/design/quic.md` contains the decision table. The router decides which process *holds* a connection. The
balancing module selects the endpoint of a new session, by the session's first line.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from gradegap.quic.ids import MAX_ID_LENGTH
from gradegap.quic.keys import DerivedKeys, Holder

MIN_INITIAL_ID_LENGTH = 8  # fewest octets of the first destination id of a client (RFC 9000, 7.2)
MIN_INITIAL_DATAGRAM_LENGTH = 1200  # fewest octets of a datagram with a client's Initial (RFC 9000, 14.1)
MIN_RESET_LENGTH = 21  # fewest octets with which a stateless reset looks like a packet (RFC 9000, 10.3)
# A stateless reset is shorter than the packet that triggered it, so that two endpoints do not reset each
# other for ever.
MIN_RESET_TRIGGER_LENGTH = MIN_RESET_LENGTH + 1
VERSION_1, VERSION_2 = 0x00000001, 0x6B3343CF  # RFC 9000, RFC 9369
SUPPORTED_VERSIONS = (VERSION_1, VERSION_2)


class RouteKind(enum.Enum):
    """The action for a datagram."""

    HERE = "here"  # process it: this process holds the connection
    FORWARD = "forward"  # forward it to the process that holds the connection
    NEW = "new"  # accept a new connection
    NEGOTIATE = "negotiate"  # answer with Version Negotiation
    RESET = "reset"  # answer with a stateless reset
    DROP = "drop"


@dataclass(slots=True, frozen=True)
class Route:
    """The action for a datagram, with the header fields that it needs."""

    kind: RouteKind
    destination: bytes = b""  # destination connection id
    source: bytes = b""  # source connection id, of a long header only
    version: int = 0
    token: bytes = b""  # address token, of an Initial only
    holder: Holder | None = None  # FORWARD: the process to forward to
    drop_reason: str = ""  # DROP: the reason under which the datagram is counted


@dataclass(slots=True, frozen=True)
class Header:
    """The version-independent header fields of a packet (RFC 8999), and those of an Initial."""

    is_long: bool
    version: int
    destination: bytes
    source: bytes
    is_initial: bool = False
    token: bytes = b""


def parse_header(data: bytes, length_of: Callable[[int], int | None]) -> Header | str:
    """Parse the header of a datagram's first packet; if it is malformed, return the drop reason.

    `length_of` returns the length of a connection id, given its first octet, since short headers have no
    length field.
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
    first_octet = data[0]
    version = int.from_bytes(data[1:5], "big")
    destination_end = 6 + data[5]
    if len(data) <= destination_end:
        return "short"
    source_end = destination_end + 1 + data[destination_end]
    if len(data) < source_end:
        return "short"
    destination, source = data[6:destination_end], data[destination_end + 1 : source_end]
    if version not in SUPPORTED_VERSIONS:
        return Header(True, version, destination, source)
    if len(destination) > MAX_ID_LENGTH or len(source) > MAX_ID_LENGTH:
        return "long_id"
    if not first_octet & 0x40:
        return "fixed_bit"
    if (first_octet >> 4) & 3 != (0 if version == VERSION_1 else 1):
        return Header(True, version, destination, source)
    token = _parse_token(data, source_end)
    return "short" if token is None else Header(True, version, destination, source, True, token)


def _parse_token(data: bytes, offset: int) -> bytes | None:
    """Return an Initial's token, which follows its length as a variable-length integer (RFC 9000, 16).

    None if the datagram ends before the token does.
    """
    if offset >= len(data):
        return None
    length_size = 1 << (data[offset] >> 6)
    if len(data) < offset + length_size:
        return None
    length = int.from_bytes(data[offset : offset + length_size], "big") & ((1 << (8 * length_size - 2)) - 1)
    if len(data) < offset + length_size + length:
        return None
    return data[offset + length_size : offset + length_size + length]


class Router:
    """Routes datagrams for one process; `is_reachable` tells whether it can forward to another holder."""

    def __init__(self, keys: DerivedKeys, own_holder: Holder, is_reachable: Callable[[Holder], bool]) -> None:
        self.keys, self.own_holder, self.is_reachable = keys, own_holder, is_reachable

    def use_keys(self, keys: DerivedKeys) -> None:
        """Route by the keys of another ring from now on."""
        self.keys = keys

    def route(self, data: bytes, is_held: Callable[[bytes], bool], forwarded: bool = False) -> Route:
        """Decide the action for one datagram.

        `is_held` tells whether this process has a connection with a destination id. A datagram that another
        process has `forwarded` to this one is not forwarded again.
        """
        header = parse_header(data, self.keys.ids.length_of)
        if isinstance(header, str):
            return Route(RouteKind.DROP, drop_reason=header)
        if is_held(header.destination):
            return Route(RouteKind.HERE, header.destination, header.source, header.version)
        decoded = self.keys.ids.read(header.destination)
        holder = Holder.of(decoded.server_id) if decoded is not None else None
        if holder is not None and holder != self.own_holder and self.is_reachable(holder):
            if forwarded:
                # Otherwise two processes that each take the other for the holder would forward it in a loop.
                return Route(RouteKind.DROP, header.destination, drop_reason="loop")
            return Route(RouteKind.FORWARD, header.destination, header.source, header.version, holder=holder)
        if not header.is_long:
            return self._route_unknown_session(header, holder, len(data))
        return self._route_initial(header, len(data))

    def _route_unknown_session(self, header: Header, holder: Holder | None, length: int) -> Route:
        """Route a packet of `length` octets of an established connection that no reachable process holds."""
        if holder is None:
            return Route(RouteKind.DROP, header.destination, drop_reason="unknown_id")
        if holder.node != self.own_holder.node:
            # The node that the id names may still be running; a reset would then end a session of that node.
            return Route(RouteKind.DROP, header.destination, drop_reason="other_node")
        if length < MIN_RESET_TRIGGER_LENGTH:
            return Route(RouteKind.DROP, header.destination, drop_reason="too_short")
        return Route(RouteKind.RESET, header.destination, holder=holder)

    def _route_initial(self, header: Header, length: int) -> Route:
        """Route a long-header packet of an unknown connection, in a datagram of `length` octets."""
        if header.version == 0:
            return Route(RouteKind.DROP, drop_reason="negotiation")  # only servers send Version Negotiation
        if length < MIN_INITIAL_DATAGRAM_LENGTH:
            # An answer longer than its request would let forged source addresses amplify traffic.
            return Route(RouteKind.DROP, header.destination, drop_reason="small")
        if header.version not in SUPPORTED_VERSIONS:
            return Route(RouteKind.NEGOTIATE, header.destination, header.source, header.version)
        if not header.is_initial:
            return Route(RouteKind.DROP, header.destination, drop_reason="unknown_id")
        if len(header.destination) < MIN_INITIAL_ID_LENGTH:
            return Route(RouteKind.DROP, header.destination, drop_reason="short_id")
        return Route(RouteKind.NEW, header.destination, header.source, header.version, header.token)


class TokenBucket:
    """Limits answers that anybody can trigger: `rate` per second on average, `burst` at once."""

    def __init__(self, rate: float, burst: int) -> None:
        self.rate, self.burst = rate, burst
        self.tokens, self.updated_at = float(burst), 0.0

    def take(self, now: float) -> bool:
        """Take a token if there is one at the time `now`, in s; False if there is none."""
        self.tokens = min(float(self.burst), self.tokens + max(0.0, now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
