"""Operator settings of discovery by DNS-SD."""

from __future__ import annotations

import msgspec

from gradegap.setting_checks import check_loopback


class DnsSdSettings(msgspec.Struct):
    """The `[dnssd]` table: endpoints are read from DNS-SD records instead of discovery's HTTP interface."""

    server: str
    """Address of the DNS server, as `host:port`; must be a loopback address."""
    service: str
    """DNS name whose PTR records list the endpoints, such as `_saves._tcp.prairie.example.`"""

    def check(self) -> None:
        """Validate the table beyond the types of its keys.

        Raises:
            OperatorFileError: if the resolver's address is not a loopback address: on another network its
                answers could be forged.
        """
        check_loopback(self.server, "dnssd.server")
