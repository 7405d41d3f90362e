"""Routable connection ids: the test vectors of the QUIC-LB draft, and properties of all configurations."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradegap.quic.ids import IdCodec, IdCodecs, IdConfiguration, IdConfigurationError

KEY = bytes.fromhex("8f95f09245765f80256934e50c66207f")
# Appendix B.2 of draft-ietf-quic-load-balancers: connection id, server id, nonce.
VECTORS = [
    ("0720b1d07b359d3c", "ed793a", "ee080dbf"),
    ("2fcc381bc74cb4fbad2823a3d1f8fed2", "ed793a51d49b8f5fab65", "ee080dbf48"),
    ("504dd2d05a7b0de9b2b9907afb5ecf8cc3", "ed793a51d49b8f5f", "ee080dbf48c0d1e5"),
    ("125779c9cc86beb3a3a4a3ca96fce4bfe0cdbc", "ed793a51d49b8f5fab", "ee080dbf48c0d1e55d"),
]


@pytest.mark.parametrize(("cid", "server_id", "nonce"), VECTORS)
def test_draft_vectors_encode_and_decode(cid: str, server_id: str, nonce: str) -> None:
    cid_octets = bytes.fromhex(cid)
    codec = IdCodec(IdConfiguration(cid_octets[0] >> 5, len(server_id) // 2, len(nonce) // 2, KEY))
    assert codec.make(bytes.fromhex(server_id), bytes.fromhex(nonce)) == cid_octets
    decoded = codec.read(cid_octets)
    assert decoded is not None and (decoded.server_id.hex(), decoded.nonce.hex()) == (server_id, nonce)


@given(st.data())
def test_any_configuration_decodes_the_ids_that_it_encodes(data: st.DataObject) -> None:
    server_id_length = data.draw(st.integers(1, 15))
    nonce_length = data.draw(st.integers(4, 19 - server_id_length))
    key = data.draw(st.sampled_from([b"", KEY]))
    bits, encodes_length = data.draw(st.integers(0, 6)), data.draw(st.booleans())
    codec = IdCodec(IdConfiguration(bits, server_id_length, nonce_length, key, encodes_length))
    server_id = data.draw(st.binary(min_size=server_id_length, max_size=server_id_length))
    cid = codec.make(server_id)
    decoded = codec.read(cid)
    assert len(cid) == 1 + server_id_length + nonce_length and cid[0] >> 5 == bits
    assert decoded is not None and decoded.server_id == server_id
    assert IdCodecs([codec.configuration]).length_of(cid[0]) == len(cid)
    assert codec.read(cid[:-1]) is None and codec.read(b"") is None
    assert codec.read(bytes([cid[0] ^ 0x20]) + cid[1:]) is None


def test_encrypted_ids_do_not_reveal_their_server_id_without_the_key() -> None:
    codec = IdCodec(IdConfiguration(0, 2, 6, KEY))
    prefixes = {codec.make(b"n1")[1:3] for _ in range(200)}
    assert len(prefixes) > 150 and b"n1" not in prefixes
    other_codec = IdCodec(IdConfiguration(0, 2, 6, KEY[::-1]))
    guessed_count = 0
    for _ in range(200):
        decoded = other_codec.read(codec.make(b"n1"))
        guessed_count += decoded is not None and decoded.server_id == b"n1"
    assert guessed_count <= 1


def test_rotated_configurations_decode_old_ids_and_encode_with_the_newest() -> None:
    old, new = IdConfiguration(1, 2, 6, KEY), IdConfiguration(2, 3, 8, KEY[::-1])
    old_cid = IdCodecs([old]).make(b"n1")
    codecs = IdCodecs([old, new])
    decoded = codecs.read(old_cid)
    assert decoded is not None and (decoded.bits, decoded.server_id) == (1, b"n1")
    new_cid = codecs.make(b"n01")
    assert new_cid[0] >> 5 == 2 and len(new_cid) == new.length
    assert IdCodecs([new]).read(old_cid) is None
    assert codecs.read(bytes([0xE0]) + new_cid[1:]) is None  # unroutable bits


@pytest.mark.parametrize(
    ("bits", "server_id_length", "nonce_length", "key"),
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
def test_configuration_out_of_limits_is_rejected(
    bits: int, server_id_length: int, nonce_length: int, key: bytes
) -> None:
    with pytest.raises(IdConfigurationError):
        IdConfiguration(bits, server_id_length, nonce_length, key)


def test_configurations_with_duplicate_bits_or_none_are_rejected() -> None:
    with pytest.raises(IdConfigurationError):
        IdCodecs([IdConfiguration(0, 2, 6), IdConfiguration(0, 3, 6)])
    with pytest.raises(IdConfigurationError):
        IdCodecs([])
