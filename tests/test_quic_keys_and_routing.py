"""QUIC's key ring, address tokens, datagram routing and forwarding between processes."""

from __future__ import annotations

import asyncio
import os

import pytest
from aioquic._buffer import Buffer
from aioquic.quic.packet import QuicPacketType, pull_quic_header
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from gradegap.metrics import Metrics
from gradegap.quic.keys import MAX_KEYS, DerivedKeys, Holder, QuicRing, RingKey
from gradegap.quic.relay import DatagramForwarder, ForwardedDatagrams, socket_pair
from gradegap.quic.routing import (
    MIN_RESET_TRIGGER_LENGTH,
    SUPPORTED_VERSIONS,
    VERSION_1,
    VERSION_2,
    RouteKind,
    Router,
    TokenBucket,
    parse_header,
)
from gradegap.quic.tokens import (
    CLOCK_SKEW_S,
    NEW_TOKEN_LIFETIME_S,
    RETRY_TOKEN_LIFETIME_S,
    AddressTokens,
    InvalidTokenError,
    UsedTokens,
)

RING = QuicRing().rotated(1)
KEYS = DerivedKeys(RING)
OWN_HOLDER, PREDECESSOR, OTHER_NODE = Holder(7, 2), Holder(7, 1), Holder(9, 1)
ADDRESS, OTHER_ADDRESS = ("127.0.0.1", 4001), ("127.0.0.2", 4001)


def long_header(version: int, destination: bytes, first_octet: int = 0xC0, size: int = 1200) -> bytes:
    header = bytes([first_octet]) + version.to_bytes(4, "big")
    return (header + bytes([len(destination)]) + destination + b"\x04abcd\0").ljust(size, b"\0")


def short_header(destination: bytes, size: int = 60) -> bytes:
    return (b"\x40" + destination).ljust(size, b"\0")


# Key ring


def test_rotated_ring_has_distinct_bits_and_reads_ids_until_their_key_is_retired() -> None:
    ring = QuicRing()
    freed_bits: list[int] = []
    for k in range(40):
        bits_before = {key.bits for key in ring.keys}
        ring = ring.rotated(k)
        ring.check()
        assert ring.keys[-1].bits not in bits_before
        freed_bits += bits_before - {key.bits for key in ring.keys}
    assert len(ring.keys) == MAX_KEYS and set(freed_bits) == set(range(7))
    cid = DerivedKeys(ring).ids.make(OWN_HOLDER.octets())
    rotated = ring.rotated(1).rotated(2)
    decoded = DerivedKeys(rotated).ids.read(cid)
    assert decoded is not None and Holder.of(decoded.server_id) == OWN_HOLDER
    without_key = rotated.retired(ring.keys[-1].bits)
    assert DerivedKeys(without_key).ids.read(cid) is None
    for bits in (without_key.keys[-1].bits, 99):
        with pytest.raises(ValueError, match=r"is the newest one|has no key with the bits"):
            without_key.retired(bits)
    for invalid_ring in (
        QuicRing(),
        QuicRing((RingKey(9, "x"),)),
        QuicRing((RingKey(1, "AAAA"),)),
        QuicRing(RING.keys * 2),
    ):
        with pytest.raises(ValueError, match=r"a key ring must have 1 to|invalid key with the bits"):
            DerivedKeys(invalid_ring)


def test_reset_token_depends_on_ring_and_id_alone() -> None:
    cid = KEYS.ids.make(OWN_HOLDER.octets())
    assert (
        KEYS.reset_token(cid)
        == DerivedKeys(RING).reset_token(cid)
        != KEYS.reset_token(KEYS.ids.make(OWN_HOLDER.octets()))
    )
    other_keys = DerivedKeys(QuicRing().rotated(1))
    assert other_keys.reset_token(cid) != KEYS.reset_token(cid)
    assert KEYS.reset_token(b"\xff" + cid[1:]) != KEYS.reset_token(b"\xff" + cid[1:])  # random: unknown key


# Address tokens


def test_retry_token_is_valid_once_for_its_address_and_id() -> None:
    tokens = AddressTokens(KEYS)
    token = tokens.make_retry_token(ADDRESS, b"original", b"source", 100.0)
    assert (
        AddressTokens(DerivedKeys(RING)).validate(token, ADDRESS, b"source", 101.0) == b"original"
    )  # in another process
    for address, destination, now, reason in (
        (OTHER_ADDRESS, b"source", 101.0, "address"),
        (("127.0.0.1", 4002), b"source", 101.0, "address"),
        (ADDRESS, b"other", 101.0, "destination"),
        (ADDRESS, b"source", 100.0 + RETRY_TOKEN_LIFETIME_S + CLOCK_SKEW_S + 1, "expired"),
        (ADDRESS, b"source", 90.0, "expired"),
    ):
        with pytest.raises(InvalidTokenError, match=reason):
            tokens.validate(token, address, destination, now)
    assert tokens.validate(token, ADDRESS, b"source", 101.0) == b"original"
    with pytest.raises(InvalidTokenError, match="used"):
        tokens.validate(token, ADDRESS, b"source", 101.0)


def test_new_token_is_valid_from_any_port_until_expiry_or_retirement_of_its_key() -> None:
    tokens = AddressTokens(KEYS)
    issued = [tokens.make_new_token(ADDRESS, 100.0) for _ in range(4)]
    assert tokens.validate(issued[0], ("127.0.0.1", 9), b"any", 100.0 + NEW_TOKEN_LIFETIME_S) is None
    with pytest.raises(InvalidTokenError, match="expired"):
        tokens.validate(issued[1], ADDRESS, b"any", 100.0 + NEW_TOKEN_LIFETIME_S + CLOCK_SKEW_S + 1)
    with pytest.raises(InvalidTokenError, match="address"):
        tokens.validate(issued[1], OTHER_ADDRESS, b"any", 101.0)
    ring = RING.rotated(2)
    tokens.use_keys(DerivedKeys(ring))
    assert tokens.validate(issued[2], ADDRESS, b"any", 102.0) is None
    tokens.use_keys(DerivedKeys(ring.retired(RING.keys[0].bits)))
    with pytest.raises(InvalidTokenError, match="unknown_key"):
        tokens.validate(issued[3], ADDRESS, b"any", 102.0)
    successor = AddressTokens(KEYS)
    successor.used.import_entries(tokens.used.export(10)[0])
    with pytest.raises(InvalidTokenError, match="used"):
        successor.validate(issued[2], ADDRESS, b"any", 103.0)
    assert tokens.used.export(10)[1] and not tokens.used.export(1)[1]
    successor.used_known_since = 101.0  # it has imported only some of the used tokens
    with pytest.raises(InvalidTokenError, match="unsure"):
        successor.validate(issued[1], ADDRESS, b"any", 103.0)


@hypothesis_settings(max_examples=300, deadline=None)
@given(st.data())
def test_altered_token_is_rejected(data: st.DataObject) -> None:
    tokens = AddressTokens(KEYS)
    token = tokens.make_retry_token(ADDRESS, b"original", b"source", 100.0)
    altered = bytearray(token)
    match data.draw(st.sampled_from(["flipped", "truncated", "extended", "random"])):
        case "flipped":
            altered[data.draw(st.integers(0, len(token) - 1))] ^= 1 << data.draw(st.integers(0, 7))
        case "truncated":
            del altered[data.draw(st.integers(0, len(token) - 1)) :]
        case "extended":
            altered += data.draw(st.binary(min_size=1, max_size=200))
        case _:
            altered = bytearray(data.draw(st.binary(max_size=300)))
    with pytest.raises(InvalidTokenError):
        tokens.validate(bytes(altered), ADDRESS, b"source", 101.0)


def test_used_tokens_beyond_capacity_are_rejected_until_others_expire() -> None:
    used = UsedTokens(max_count=3)
    assert all(used.use(bytes([k]), 0.0, 10.0) for k in range(3))
    assert not used.use(b"\0", 1.0, 10.0) and not used.use(b"fresh", 1.0, 10.0)
    assert used.use(b"fresh", 10.0, 20.0) and len(used.expires_at) == 1


# Routing


def test_datagram_is_routed_by_holder_header_and_size() -> None:
    reachable = {PREDECESSOR, OWN_HOLDER}
    router = Router(KEYS, OWN_HOLDER, lambda holder: holder in reachable)
    own_id, predecessor_id = KEYS.ids.make(OWN_HOLDER.octets()), KEYS.ids.make(PREDECESSOR.octets())
    other_node_id, client_chosen_id = KEYS.ids.make(OTHER_NODE.octets()), b"\xe0" + os.urandom(9)

    def routed(data: bytes, held: bytes = b"", forwarded: bool = False) -> tuple[RouteKind, str]:
        route = router.route(data, lambda cid: cid == held, forwarded)
        return route.kind, route.drop_reason

    assert routed(short_header(own_id), own_id) == (RouteKind.HERE, "")
    assert routed(long_header(VERSION_1, client_chosen_id), client_chosen_id) == (RouteKind.HERE, "")
    assert routed(short_header(predecessor_id)) == (RouteKind.FORWARD, "")
    assert routed(long_header(VERSION_1, predecessor_id, 0xE0)) == (RouteKind.FORWARD, "")
    assert routed(short_header(predecessor_id), forwarded=True) == (RouteKind.DROP, "loop")
    assert routed(short_header(predecessor_id), predecessor_id, forwarded=True) == (RouteKind.HERE, "")
    assert routed(short_header(own_id)) == (RouteKind.RESET, "")  # the connection's state is lost
    assert routed(short_header(other_node_id)) == (
        RouteKind.DROP,
        "other_node",
    )  # the other node may be alive
    assert routed(short_header(own_id, MIN_RESET_TRIGGER_LENGTH - 1)) == (RouteKind.DROP, "too_short")
    assert routed(short_header(b"\xff" + own_id[1:])) == (RouteKind.DROP, "unknown_id")
    assert routed(long_header(VERSION_1, client_chosen_id)) == (RouteKind.NEW, "")
    assert routed(long_header(VERSION_2, client_chosen_id, 0xD0)) == (RouteKind.NEW, "")
    assert routed(long_header(VERSION_2, client_chosen_id, 0xC0)) == (
        RouteKind.DROP,
        "unknown_id",
    )  # no Initial in version 2
    assert routed(long_header(VERSION_1, other_node_id)) == (RouteKind.NEW, "")  # its holder is not reachable
    assert routed(long_header(VERSION_1, client_chosen_id, size=1199)) == (RouteKind.DROP, "small")
    assert routed(long_header(VERSION_1, b"1234567")) == (RouteKind.DROP, "short_id")
    assert routed(long_header(VERSION_1, b"x" * 21)) == (RouteKind.DROP, "long_id")
    assert routed(long_header(0x1A2A3A4A, b"x" * 40)) == (RouteKind.NEGOTIATE, "")
    assert routed(long_header(0x1A2A3A4A, client_chosen_id, size=1000)) == (RouteKind.DROP, "small")
    assert routed(long_header(0, client_chosen_id)) == (RouteKind.DROP, "negotiation")
    for data, reason in (
        (b"", "empty"),
        (b"\x00" * 60, "fixed_bit"),
        (b"\xc0\0", "short"),
        (b"\x40", "unknown_id"),
    ):
        assert routed(data) == (RouteKind.DROP, reason)
    reachable.discard(PREDECESSOR)
    assert routed(short_header(predecessor_id)) == (RouteKind.RESET, "")


@hypothesis_settings(max_examples=500, deadline=None)
@given(
    st.binary(max_size=80),
    st.sampled_from([0x40, 0xC0, 0xD0, 0xE0, 0x00, 0x80]),
    st.sampled_from(SUPPORTED_VERSIONS),
)
def test_parsed_header_equals_that_of_aioquic(rest: bytes, first_octet: int, version: int) -> None:
    """For each packet that aioquic accepts, the same fields are parsed; no input raises."""
    data = bytes([first_octet]) + (version.to_bytes(4, "big") if first_octet & 0x80 else b"") + rest
    header = parse_header(data, lambda octet: 8)
    try:
        expected = pull_quic_header(Buffer(data=data), 8)
    except ValueError:
        return
    assert not isinstance(header, str), header
    assert header.destination == expected.destination_cid
    if expected.version is not None:
        assert header.source == expected.source_cid and header.version == expected.version
        assert header.is_initial == (expected.packet_type is QuicPacketType.INITIAL)
        if header.is_initial:
            assert header.token == expected.token


@given(st.binary(max_size=100))
def test_arbitrary_datagram_is_routed_without_an_exception(data: bytes) -> None:
    Router(KEYS, OWN_HOLDER, lambda holder: True).route(data, lambda cid: False)


def test_token_bucket_limits_burst_and_rate() -> None:
    bucket = TokenBucket(10.0, 5)
    assert sum(bucket.take(100.0) for _ in range(50)) == 5
    assert sum(bucket.take(100.5) for _ in range(50)) == 5
    assert not bucket.take(50.0)  # a clock that jumps back adds no tokens


def test_forwarder_drops_datagrams_when_full_and_reports_a_closed_receiver() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        metrics, received = Metrics(), list[tuple[bytes, object]]()
        receiving_end, sending_end = socket_pair()
        forwarder = DatagramForwarder(sending_end, metrics)
        for k in range(5000):  # no process reads
            assert forwarder.send(b"%04d" % k + b"x" * 1200, ADDRESS)
        dropped_count = metrics.counts["quic_forward_full"]
        assert dropped_count > 0 and metrics.counts["quic_forwarded"] == 5000 - dropped_count
        receiver = ForwardedDatagrams(
            loop, receiving_end, metrics, lambda data, addr: received.append((data, addr))
        )
        while len(received) < 5000 - dropped_count:
            await asyncio.sleep(0)
        assert [data[:4] for data, _ in received] == [b"%04d" % k for k in range(5000 - dropped_count)]
        assert received[0][1] == ADDRESS
        sending_end.send(b"\xc1 another version's")
        while not metrics.counts["quic_forward_malformed"]:
            await asyncio.sleep(0)
        receiver.close()
        assert not forwarder.send(b"x", ADDRESS) and forwarder.is_closed
        forwarder.close()

    asyncio.run(asyncio.wait_for(main(), 20.0))
