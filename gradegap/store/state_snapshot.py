"""Snapshots of the replicated state: msgpack, compressed with Zstandard. Backups have the same format."""

from __future__ import annotations

import msgspec

from gradegap.store.records import (
    MAX_STATE_BYTES,
    StoreState,
    encode,
)

_decoder: msgspec.msgpack.Decoder[StoreState] = msgspec.msgpack.Decoder(StoreState)


def encode_snapshot(state: StoreState) -> bytes:
    """Encodes a snapshot of `state`."""
    import zstandard

    return zstandard.ZstdCompressor(level=3).compress(encode(state))


def decode_snapshot(data: bytes) -> StoreState:
    """Decodes the state from a snapshot.

    Raises:
        ValueError: if `data` is not a valid snapshot, or its state is too large.
    """
    import zstandard

    try:
        raw = zstandard.ZstdDecompressor().decompress(data, max_output_size=4 * MAX_STATE_BYTES)
        return _decoder.decode(raw)
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise ValueError(f"invalid snapshot: {error}") from None
