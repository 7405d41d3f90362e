"""Network addresses in the form used by settings and endpoint lists."""

from __future__ import annotations

PORT_MAX = 65535

_QUOTED_MAX_CHARS = 80  # limit on the input quoted in an error message


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port` into host and port; an IPv6 host is in brackets.

    Raises:
        ValueError: The address has another form, or its port is out of range.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= PORT_MAX:
        raise ValueError(f"address must be host:port, got {address[:_QUOTED_MAX_CHARS]!r}")
    return host.strip("[]"), int(port)
