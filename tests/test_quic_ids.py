"""Ids that say whose they are, by the draft's own vectors and by what must hold for any."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradegap.quic.ids import IdCodec, IdCodecs, IdConfiguration, IdConfigurationError

KEY = bytes.fromhex("8f95f09245765f80256934e50c66207f")
# Appendix B.2 of draft-ietf-quic-load-balancers: id, server id, nonce.
VECTORS = [
    ("0720b1d07b359d3c", "ed793a", "ee080dbf"),
    ("2fcc381bc74cb4fbad2823a3d1f8fed2", "ed793a51d49b8f5fab65", "ee080dbf48"),
    ("504dd2d05a7b0de9b2b9907afb5ecf8cc3", "ed793a51d49b8f5f", "ee080dbf48c0d1e5"),
    ("125779c9cc86beb3a3a4a3ca96fce4bfe0cdbc", "ed793a51d49b8f5fab", "ee080dbf48c0d1e55d"),
]


@pytest.mark.parametrize(("cid", "server", "nonce"), VECTORS)
def test_the_draft_s_vectors(cid: str, server: str, nonce: str) -> None:
    raw = bytes.fromhex(cid)
    coder = IdCodec(IdConfiguration(raw[0] >> 5, len(server) // 2, len(nonce) // 2, KEY))
    assert coder.make(bytes.fromhex(server), bytes.fromhex(nonce)) == raw
    read = coder.read(raw)
    assert read is not None and (read.server_id.hex(), read.nonce.hex()) == (server, nonce)


@given(st.data())
def test_any_id_reads_as_it_was_made(data: st.DataObject) -> None:
    server_length = data.draw(st.integers(1, 15))
    nonce_length = data.draw(st.integers(4, 19 - server_length))
    key = data.draw(st.sampled_from([b"", KEY]))
    bits, says = data.draw(st.integers(0, 6)), data.draw(st.booleans())
    coder = IdCodec(IdConfiguration(bits, server_length, nonce_length, key, says))
    server = data.draw(st.binary(min_size=server_length, max_size=server_length))
    cid = coder.make(server)
    read = coder.read(cid)
    assert len(cid) == 1 + server_length + nonce_length and cid[0] >> 5 == bits
    assert read is not None and read.server_id == server
    assert IdCodecs([coder.configuration]).length_of(cid[0]) == len(cid)
    assert coder.read(cid[:-1]) is None and coder.read(b"") is None
    assert coder.read(bytes([cid[0] ^ 0x20]) + cid[1:]) is None


def test_an_id_without_the_key_tells_nothing_of_its_server() -> None:
    coder = IdCodec(IdConfiguration(0, 2, 6, KEY))
    seen = {coder.make(b"n1")[1:3] for _ in range(200)}
    assert len(seen) > 150 and b"n1" not in seen
    other = IdCodec(IdConfiguration(0, 2, 6, KEY[::-1]))
    hits = 0
    for _ in range(200):
        read = other.read(coder.make(b"n1"))
        hits += read is not None and read.server_id == b"n1"
    assert hits <= 1


def test_a_rotation_reads_the_old_ids_and_makes_the_new() -> None:
    old, new = IdConfiguration(1, 2, 6, KEY), IdConfiguration(2, 3, 8, KEY[::-1])
    before = IdCodecs([old]).make(b"n1")
    both = IdCodecs([old, new])
    read = both.read(before)
    assert read is not None and (read.bits, read.server_id) == (1, b"n1")
    made = both.make(b"n01")
    assert made[0] >> 5 == 2 and len(made) == new.length
    assert IdCodecs([new]).read(before) is None
    assert both.read(bytes([0xE0]) + made[1:]) is None  # unroutable by its bits


@pytest.mark.parametrize(
    ("bits", "server", "nonce", "key"),
    [
        (7, 2, 6, KEY),
        (-1, 2, 6, KEY),
        (0, 0, 6, KEY),
        (0, 16, 4, b""),
        (0, 2, 3, b""),
        (0, 10, 10, b""),
        (0, 2, 6, KEY[:-1]),
    ],
)
def test_what_no_ids_can_be_made_with_is_refused(bits: int, server: int, nonce: int, key: bytes) -> None:
    with pytest.raises(IdConfigurationError):
        IdConfiguration(bits, server, nonce, key)


def test_configurations_are_told_apart() -> None:
    with pytest.raises(IdConfigurationError):
        IdCodecs([IdConfiguration(0, 2, 6), IdConfiguration(0, 3, 6)])
    with pytest.raises(IdConfigurationError):
        IdCodecs([])
