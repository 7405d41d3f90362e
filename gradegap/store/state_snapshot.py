"""Snapshots of the replicated state: msgpack, compressed by Zstandard. Also the form of backups."""

from __future__ import annotations

import msgspec

from gradegap.store.records import (
    MAX_STATE_BYTES,
    StoreState,
    encode,
)

_decoder: msgspec.msgpack.Decoder[StoreState] = msgspec.msgpack.Decoder(StoreState)


def encode_snapshot(state: StoreState) -> bytes:
    """The bytes of a snapshot of `state`."""
    import zstandard

    return zstandard.ZstdCompressor(level=3).compress(encode(state))


def decode_snapshot(data: bytes) -> StoreState:
    """The state of a snapshot's bytes; `ValueError` where they are none."""
    import zstandard

    try:
        raw = zstandard.ZstdDecompressor().decompress(data, max_output_size=4 * MAX_STATE_BYTES)
        return _decoder.decode(raw)
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise ValueError(f"no snapshot: {error}") from None
