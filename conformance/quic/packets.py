"""Connections and packets that several cases use."""

from __future__ import annotations

import secrets

from conformance.quic.case import Target
from conformance.quic.client import MIN_INITIAL_DATAGRAM_LENGTH, ScriptedClient

GREASED_VERSION = 0x1A2A3A4A  # reserved to force version negotiation (RFC 9000, 15)
VERSION_1, VERSION_2 = 0x00000001, 0x6B3343CF
FIXED_BIT = 0x40  # in the first octet of a packet (RFC 9000, 17.2)


def connect(target: Target, **options: object) -> ScriptedClient:
    """Return a new connection to the server under test."""
    return ScriptedClient(target.address, target.alpn, **options)  # type: ignore[arg-type]


def expect_refusal(target: Target, code: int, *frame: int, tail: bytes = b"") -> None:
    """Send a frame on a new connection and check that the server closes it with the error `code`."""
    client = connect(target)
    client.send_frame(*frame, tail=tail)
    client.expect_close(code)


def long_header(
    version: int, destination: bytes, size: int = MIN_INITIAL_DATAGRAM_LENGTH, first: int = 0xC0
) -> bytes:
    """Return an undecryptable datagram with an Initial's long header and a random source id of 8 octets."""
    header = bytes([first]) + version.to_bytes(4, "big") + bytes([len(destination)]) + destination
    return (header + b"\x08" + secrets.token_bytes(8) + b"\0" + b"\x44\x00").ljust(size, b"\x01")
