"""The operator's settings for QUIC."""

from __future__ import annotations

from typing import Annotated

import msgspec


class QuicSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[quic]` table of an operator's file."""

    listen: str
    certificate: str
    private_key: str
    alpn: tuple[str, ...] = ("gradegap/1",)
    idle_s: float = 30.0
    max_sessions: int = 4000
    # Number of concurrent handshakes at which new clients must start to validate their address by Retry.
    retry_from: int = 64
    # The node's number in connection ids; None derives it from the node's name.
    node: Annotated[int, msgspec.Meta(ge=0, le=65535)] | None = None
    keylog: str = ""  # file for the TLS secrets of all sessions, which packet analysers read; for tests only
    qlog: str = ""  # directory for qlog traces of some connections
    qlog_mb: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64  # MiB that all traces together may take
