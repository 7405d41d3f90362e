"""The operator's file: what a node has beyond the platform's configuration. All of it is off by default."""

from __future__ import annotations

import ipaddress
from pathlib import Path

import msgspec


class QuicSettings(msgspec.Struct):
    """The `[quic]` table of an operator's file."""

    listen: str
    certificate: str
    private_key: str
    alpn: tuple[str, ...] = ("gradegap/1",)
    idle_s: float = 30.0
    max_sessions: int = 4000
    retry_from: int = 64  # handshakes under way from which clients must prove their address


class StoreSettings(msgspec.Struct):
    """The `[store]` table: where this replica listens, and its peers."""

    listen: str
    peers: tuple[str, ...] = ()


class DnsSdSettings(msgspec.Struct):
    """The `[dnssd]` table: backends from DNS-SD records instead of discovery's HTTP."""

    server: str
    service: str


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True):
    quic: QuicSettings | None = None
    store: StoreSettings | None = None
    dnssd: DnsSdSettings | None = None


class BadOperatorFile(ValueError):
    """An operator's file that can't be used; its text is one plain line."""


def load_operator(path: str | None) -> OperatorSettings:
    if not path:
        return OperatorSettings()
    try:
        settings = msgspec.toml.decode(Path(path).read_bytes(), type=OperatorSettings)
    except OSError as error:
        raise BadOperatorFile(f"{path} can't be read: {error.strerror}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise BadOperatorFile(f"{path} is no operator's file: {error}") from None
    if settings.store is not None:
        for address in (settings.store.listen, *settings.store.peers):
            loopback(address, "store")
    if settings.dnssd is not None:
        loopback(settings.dnssd.server, "dnssd.server")
    return settings


def loopback(address: str, name: str) -> None:
    """Guards against a store, or an unsigned DNS answer, that strangers reach: both are trusted."""
    host, sign, port = address.rpartition(":")
    try:
        good = bool(sign) and ipaddress.ip_address(host.strip("[]")).is_loopback and 0 <= int(port) < 65536
    except ValueError:
        good = False
    if not good:
        raise BadOperatorFile(f"{name} is no loopback address and port: {address!r}")
