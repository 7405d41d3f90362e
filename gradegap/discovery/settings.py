"""What the operator sets for discovery by DNS-SD."""

from __future__ import annotations

import msgspec


class DnsSdSettings(msgspec.Struct):
    """The `[dnssd]` table: backends from DNS-SD records instead of discovery's HTTP."""

    server: str
    service: str
