"""A file with administratively disabled endpoints for the successor process of a node without a store."""

from __future__ import annotations

import os
import zlib
from collections.abc import Mapping
from pathlib import Path

import msgspec
import structlog

from gradegap.metrics import Metrics

log = structlog.get_logger()

MAX_FILE_BYTES = 64 * 1024  # limit on the size of the file, which is read into memory
CHECKSUM_BYTES = 4  # size of the CRC-32 ahead of the msgpack body


class DisabledEndpointsFile:
    """A file with disabled endpoint ids and the times (Unix, s) at which they were disabled.

    Without a path nothing is stored. The file is replaced atomically, so a partial file is never read.
    """

    def __init__(self, path: Path | None, metrics: Metrics) -> None:
        self.path = path
        self.metrics = metrics

    def write(self, disabled: Mapping[str, float]) -> None:
        """Replace the contents of the file; a failure is counted and logged."""
        if self.path is None:
            return
        body = msgspec.msgpack.encode(dict(disabled))
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_bytes(zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body)
            os.replace(temporary, self.path)
        except OSError as error:
            # Not fatal: the endpoints stay disabled here, and a hot restart gets the state from this process.
            self.metrics.count("snapshots_failed")
            log.error("disabled endpoints write failed", error=str(error))

    def read(self) -> dict[str, float]:
        """Returns the stored endpoints; empty without a file or if it is damaged, which is counted."""
        if self.path is None or not self.path.exists():
            return {}
        try:
            with self.path.open("rb") as file:
                raw = file.read(MAX_FILE_BYTES)
            if zlib.crc32(raw[CHECKSUM_BYTES:]) != int.from_bytes(raw[:CHECKSUM_BYTES], "big"):
                raise ValueError("file checksum mismatch")
            disabled = msgspec.msgpack.decode(raw[CHECKSUM_BYTES:], type=dict[str, float])
        except (OSError, ValueError) as error:
            self.metrics.count("snapshots_damaged")
            log.error("disabled endpoints read failed", error=str(error)[:200])
            return {}
        return disabled
