"""Network addresses as settings and lists write them."""

from __future__ import annotations

PORT_MAX = 65535

_QUOTED_MAX_CHARS = 80  # of what was given, in an error's text


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `host:port`, an IPv6 host in brackets; raises `ValueError` for anything else."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= PORT_MAX:
        raise ValueError(f"{address[:_QUOTED_MAX_CHARS]!r} is no address")
    return host.strip("[]"), int(port)
