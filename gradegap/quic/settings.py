"""What the operator sets for QUIC."""

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
    retry_from: int = 64  # handshakes under way from which clients must prove their address
    node: Annotated[int, msgspec.Meta(ge=0, le=65535)] | None = None  # in ids; none: made of the node's name
    keylog: str = ""  # a file for all sessions' secrets, as packet analysers read them: for tests alone
    qlog: str = ""  # a folder for traces of some connections
    qlog_mb: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64  # MiB that they may take
