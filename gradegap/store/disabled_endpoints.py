"""Administratively disabled endpoints, in a file for this node's next process where there is no store."""

from __future__ import annotations

import os
import zlib
from collections.abc import Mapping
from pathlib import Path

import msgspec
import structlog

from gradegap.metrics import Metrics

log = structlog.get_logger()

MAX_FILE_BYTES = 64 * 1024  # the file counts as memory
CHECKSUM_BYTES = 4  # before the entries


class DisabledEndpointsFile:
    """Endpoints with when they were disabled (Unix time, s), at a path; none: nothing is kept.

    It is written beside and renamed into place, so that half a file is never read.
    """

    def __init__(self, path: Path | None, metrics: Metrics) -> None:
        self.path = path
        self.metrics = metrics

    def write(self, disabled: Mapping[str, float]) -> None:
        """Keep these in place of what was kept; a failure is counted and logged."""
        if self.path is None:
            return
        body = msgspec.msgpack.encode(dict(disabled))
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_bytes(zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body)
            os.replace(temporary, self.path)
        except OSError as error:
            # The state is in force all the same, and a process that finds this one running gets it from here.
            self.metrics.count("snapshots_failed")
            log.error("snapshot not written", error=str(error))

    def read(self) -> dict[str, float]:
        """What was kept. Guards against a damaged file: it is counted, and the node starts without."""
        if self.path is None or not self.path.exists():
            return {}
        try:
            with self.path.open("rb") as file:
                raw = file.read(MAX_FILE_BYTES)
            if zlib.crc32(raw[CHECKSUM_BYTES:]) != int.from_bytes(raw[:CHECKSUM_BYTES], "big"):
                raise ValueError("its checksum is wrong")
            disabled = msgspec.msgpack.decode(raw[CHECKSUM_BYTES:], type=dict[str, float])
        except (OSError, ValueError) as error:
            self.metrics.count("snapshots_damaged")
            log.error("snapshot not used", error=str(error)[:200])
            return {}
        return disabled
