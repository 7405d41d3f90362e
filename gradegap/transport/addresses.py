"""Network addresses as settings and lists write them."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `host:port`; `ValueError` for what is no address."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{address[:80]!r} is no address")
    return host.strip("[]"), int(port)
