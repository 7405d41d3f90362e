"""What the operator sets for discovery by DNS-SD."""

from __future__ import annotations

import msgspec

from gradegap.setting_checks import check_loopback


class DnsSdSettings(msgspec.Struct):
    """The `[dnssd]` table: endpoints from DNS-SD records instead of discovery's HTTP."""

    server: str
    """Address of the DNS server, as `host:port`."""
    service: str
    """Name whose PTR records are the endpoints, such as `_saves._tcp.prairie.example.`"""

    def check(self) -> None:
        """What single keys don't show.

        Raises:
            OperatorFileError: where the resolver can be reached by strangers, who could forge its answers.
        """
        check_loopback(self.server, "dnssd.server")
