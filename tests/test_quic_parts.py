"""QUIC's parts without I/O: the ring, address tokens, where a datagram goes."""

from __future__ import annotations

import asyncio
import os

import pytest
from aioquic._buffer import Buffer
from aioquic.quic.packet import QuicPacketType, pull_quic_header
from hypothesis import given
from hypothesis import settings as tuned
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
ME, BEFORE, OTHER = Holder(7, 2), Holder(7, 1), Holder(9, 1)
HERE, THERE = ("127.0.0.1", 4001), ("127.0.0.2", 4001)


def long_header(version: int, destination: bytes, first: int = 0xC0, size: int = 1200) -> bytes:
    head = bytes([first]) + version.to_bytes(4, "big")
    return (head + bytes([len(destination)]) + destination + b"\x04abcd\0").ljust(size, b"\0")


def short_header(destination: bytes, size: int = 60) -> bytes:
    return (b"\x40" + destination).ljust(size, b"\0")


# The ring


def test_a_ring_turns_without_using_bits_twice_at_a_time() -> None:
    ring = QuicRing()
    given_up: list[int] = []
    for k in range(40):
        before = {key.bits for key in ring.keys}
        ring = ring.rotated(k)
        ring.check()
        assert ring.keys[-1].bits not in before
        given_up += before - {key.bits for key in ring.keys}
    assert len(ring.keys) == MAX_KEYS and set(given_up) == set(range(7))
    cid = DerivedKeys(ring).ids.make(ME.octets())
    after = ring.rotated(1).rotated(2)
    read = DerivedKeys(after).ids.read(cid)
    assert read is not None and Holder.of(read.server_id) == ME
    gone = after.retired(ring.keys[-1].bits)
    assert DerivedKeys(gone).ids.read(cid) is None
    for bits in (gone.keys[-1].bits, 99):
        with pytest.raises(ValueError, match=r"is the newest one|has no key with the bits"):
            gone.retired(bits)
    for bad in (
        QuicRing(),
        QuicRing((RingKey(9, "x"),)),
        QuicRing((RingKey(1, "AAAA"),)),
        QuicRing(RING.keys * 2),
    ):
        with pytest.raises(ValueError, match=r"a key ring must have 1 to|invalid key with the bits"):
            DerivedKeys(bad)


def test_a_reset_token_is_the_same_wherever_the_ring_is_and_nowhere_else() -> None:
    cid = KEYS.ids.make(ME.octets())
    assert (
        KEYS.reset_token(cid)
        == DerivedKeys(RING).reset_token(cid)
        != KEYS.reset_token(KEYS.ids.make(ME.octets()))
    )
    other = DerivedKeys(QuicRing().rotated(1))
    assert other.reset_token(cid) != KEYS.reset_token(cid)
    assert KEYS.reset_token(b"\xff" + cid[1:]) != KEYS.reset_token(b"\xff" + cid[1:])  # nobody's


# Address tokens


def test_a_retry_s_token_is_for_one_address_one_id_one_use() -> None:
    tokens = AddressTokens(KEYS)
    token = tokens.make_retry_token(HERE, b"original", b"source", 100.0)
    assert (
        AddressTokens(DerivedKeys(RING)).validate(token, HERE, b"source", 101.0) == b"original"
    )  # at another process
    for address, destination, now, reason in (
        (THERE, b"source", 101.0, "address"),
        (("127.0.0.1", 4002), b"source", 101.0, "address"),
        (HERE, b"other", 101.0, "destination"),
        (HERE, b"source", 100.0 + RETRY_TOKEN_LIFETIME_S + CLOCK_SKEW_S + 1, "expired"),
        (HERE, b"source", 90.0, "expired"),
    ):
        with pytest.raises(InvalidTokenError, match=reason):
            tokens.validate(token, address, destination, now)
    assert tokens.validate(token, HERE, b"source", 101.0) == b"original"
    with pytest.raises(InvalidTokenError, match="used"):
        tokens.validate(token, HERE, b"source", 101.0)


def test_a_new_token_holds_behind_another_port_for_a_day_and_over_a_rotation() -> None:
    tokens = AddressTokens(KEYS)
    made = [tokens.make_new_token(HERE, 100.0) for _ in range(4)]
    assert tokens.validate(made[0], ("127.0.0.1", 9), b"any", 100.0 + NEW_TOKEN_LIFETIME_S) is None
    with pytest.raises(InvalidTokenError, match="expired"):
        tokens.validate(made[1], HERE, b"any", 100.0 + NEW_TOKEN_LIFETIME_S + CLOCK_SKEW_S + 1)
    with pytest.raises(InvalidTokenError, match="address"):
        tokens.validate(made[1], THERE, b"any", 101.0)
    ring = RING.rotated(2)
    tokens.use_keys(DerivedKeys(ring))
    assert tokens.validate(made[2], HERE, b"any", 102.0) is None
    tokens.use_keys(DerivedKeys(ring.retired(RING.keys[0].bits)))
    with pytest.raises(InvalidTokenError, match="unknown_key"):
        tokens.validate(made[3], HERE, b"any", 102.0)
    heir = AddressTokens(KEYS)
    heir.used.import_entries(tokens.used.export(10)[0])
    with pytest.raises(InvalidTokenError, match="used"):
        heir.validate(made[2], HERE, b"any", 103.0)
    assert tokens.used.export(10)[1] and not tokens.used.export(1)[1]
    heir.used_known_since = 101.0  # it was told of some only
    with pytest.raises(InvalidTokenError, match="unsure"):
        heir.validate(made[1], HERE, b"any", 103.0)


@tuned(max_examples=300, deadline=None)
@given(st.data())
def test_no_altered_token_is_believed(data: st.DataObject) -> None:
    tokens = AddressTokens(KEYS)
    token = tokens.make_retry_token(HERE, b"original", b"source", 100.0)
    altered = bytearray(token)
    match data.draw(st.sampled_from(["turned", "cut", "long", "any"])):
        case "turned":
            altered[data.draw(st.integers(0, len(token) - 1))] ^= 1 << data.draw(st.integers(0, 7))
        case "cut":
            del altered[data.draw(st.integers(0, len(token) - 1)) :]
        case "long":
            altered += data.draw(st.binary(min_size=1, max_size=200))
        case _:
            altered = bytearray(data.draw(st.binary(max_size=300)))
    with pytest.raises(InvalidTokenError):
        tokens.validate(bytes(altered), HERE, b"source", 101.0)


def test_used_tokens_are_remembered_within_bounds_and_never_believed_beyond() -> None:
    used = UsedTokens(max_count=3)
    assert all(used.use(bytes([k]), 0.0, 10.0) for k in range(3))
    assert not used.use(b"\0", 1.0, 10.0) and not used.use(b"fresh", 1.0, 10.0)
    assert used.use(b"fresh", 10.0, 20.0) and len(used.expires_at) == 1


# Where a datagram goes


def test_each_datagram_goes_where_the_design_says() -> None:
    alive = {BEFORE, ME}
    router = Router(KEYS, ME, lambda h: h in alive)
    mine, before = KEYS.ids.make(ME.octets()), KEYS.ids.make(BEFORE.octets())
    far, chosen = KEYS.ids.make(OTHER.octets()), b"\xe0" + os.urandom(9)

    def way(data: bytes, held: bytes = b"", forwarded: bool = False) -> tuple[RouteKind, str]:
        found = router.route(data, lambda cid: cid == held, forwarded)
        return found.kind, found.drop_reason

    assert way(short_header(mine), mine) == (RouteKind.HERE, "")
    assert way(long_header(VERSION_1, chosen), chosen) == (RouteKind.HERE, "")
    assert way(short_header(before)) == (RouteKind.FORWARD, "")
    assert way(long_header(VERSION_1, before, 0xE0)) == (RouteKind.FORWARD, "")
    assert way(short_header(before), forwarded=True) == (RouteKind.DROP, "loop")
    assert way(short_header(before), before, forwarded=True) == (RouteKind.HERE, "")
    assert way(short_header(mine)) == (RouteKind.RESET, "")  # its state is lost
    assert way(short_header(far)) == (RouteKind.DROP, "other_node")  # which may be alive
    assert way(short_header(mine, MIN_RESET_TRIGGER_LENGTH - 1)) == (RouteKind.DROP, "too_short")
    assert way(short_header(b"\xff" + mine[1:])) == (RouteKind.DROP, "unknown_id")
    assert way(long_header(VERSION_1, chosen)) == (RouteKind.NEW, "")
    assert way(long_header(VERSION_2, chosen, 0xD0)) == (RouteKind.NEW, "")
    assert way(long_header(VERSION_2, chosen, 0xC0)) == (RouteKind.DROP, "unknown_id")  # no Initial there
    assert way(long_header(VERSION_1, far)) == (RouteKind.NEW, "")  # its holder is gone
    assert way(long_header(VERSION_1, chosen, size=1199)) == (RouteKind.DROP, "small")
    assert way(long_header(VERSION_1, b"1234567")) == (RouteKind.DROP, "short_id")
    assert way(long_header(VERSION_1, b"x" * 21)) == (RouteKind.DROP, "long_id")
    assert way(long_header(0x1A2A3A4A, b"x" * 40)) == (RouteKind.NEGOTIATE, "")
    assert way(long_header(0x1A2A3A4A, chosen, size=1000)) == (RouteKind.DROP, "small")
    assert way(long_header(0, chosen)) == (RouteKind.DROP, "negotiation")
    for raw, why in (
        (b"", "empty"),
        (b"\x00" * 60, "fixed_bit"),
        (b"\xc0\0", "short"),
        (b"\x40", "unknown_id"),
    ):
        assert way(raw) == (RouteKind.DROP, why)
    alive.discard(BEFORE)
    assert way(short_header(before)) == (RouteKind.RESET, "")


@tuned(max_examples=500, deadline=None)
@given(
    st.binary(max_size=80),
    st.sampled_from([0x40, 0xC0, 0xD0, 0xE0, 0x00, 0x80]),
    st.sampled_from(SUPPORTED_VERSIONS),
)
def test_headers_are_read_as_aioquic_reads_them(raw: bytes, first: int, version: int) -> None:
    """Where aioquic takes a packet this reads the same ids; nothing raises."""
    data = bytes([first]) + (version.to_bytes(4, "big") if first & 0x80 else b"") + raw
    mine = parse_header(data, lambda octet: 8)
    try:
        theirs = pull_quic_header(Buffer(data=data), 8)
    except ValueError:
        return
    assert not isinstance(mine, str), mine
    assert mine.destination == theirs.destination_cid
    if theirs.version is not None:
        assert mine.source == theirs.source_cid and mine.version == theirs.version
        assert mine.is_initial == (theirs.packet_type is QuicPacketType.INITIAL)
        if mine.is_initial:
            assert mine.token == theirs.token


@given(st.binary(max_size=100))
def test_no_datagram_is_too_odd_to_be_routed(raw: bytes) -> None:
    Router(KEYS, ME, lambda h: True).route(raw, lambda cid: False)


def test_answers_that_anybody_can_provoke_are_bounded() -> None:
    bucket = TokenBucket(10.0, 5)
    assert sum(bucket.take(100.0) for _ in range(50)) == 5
    assert sum(bucket.take(100.5) for _ in range(50)) == 5
    assert not bucket.take(50.0)  # a clock that jumps back gives nothing


def test_a_way_to_another_process_is_bounded_and_its_end_is_seen() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        metrics, came = Metrics(), list[tuple[bytes, object]]()
        reads, writes = socket_pair()
        relay = DatagramForwarder(writes, metrics)
        for k in range(5000):  # nobody reads
            assert relay.send(b"%04d" % k + b"x" * 1200, HERE)
        full = metrics.counts["quic_forward_full"]
        assert full > 0 and metrics.counts["quic_forwarded"] == 5000 - full
        inlet = ForwardedDatagrams(loop, reads, metrics, lambda data, addr: came.append((data, addr)))
        while len(came) < 5000 - full:
            await asyncio.sleep(0)
        assert [data[:4] for data, _ in came] == [b"%04d" % k for k in range(5000 - full)]
        assert came[0][1] == HERE
        writes.send(b"\xc1 another version's")
        while not metrics.counts["quic_forward_malformed"]:
            await asyncio.sleep(0)
        inlet.close()
        assert not relay.send(b"x", HERE) and relay.is_closed
        relay.close()

    asyncio.run(asyncio.wait_for(main(), 20.0))
