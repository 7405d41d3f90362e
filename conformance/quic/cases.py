"""The cases, each named after the section of the RFCs that it holds the server to.

A case quotes nothing: its words say what must be so. `NotApplicableError` where the server does not have
what a case is about.
"""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

from aioquic.quic.packet import QuicErrorCode as E

from conformance.quic.client import LEAST, QUIET, Address, Client, answers, first_flight, varint

GREASED = 0x1A2A3A4A  # a version that nobody speaks (RFC 9000, 15)
VERSION_1, VERSION_2 = 0x00000001, 0x6B3343CF


class NotApplicableError(Exception):
    """Why the server is not held to a case."""


@dataclass(slots=True, frozen=True)
class Target:
    """The server under test."""

    address: Address
    alpn: str


@dataclass(slots=True, frozen=True)
class Case:
    """One requirement, and what holds the server to it."""

    section: str
    must: str
    run: Callable[[Target], None]


CASES: list[Case] = []


def case(section: str, must: str) -> Callable[[Callable[[Target], None]], Callable[[Target], None]]:
    """Add a case of that section of the RFCs."""

    def add(run: Callable[[Target], None]) -> Callable[[Target], None]:
        CASES.append(Case(section, must, run))
        return run

    return add


def client(t: Target, **how: object) -> Client:
    """A connection to the server under test."""
    return Client(t.address, t.alpn, **how)  # type: ignore[arg-type]


def refused(t: Target, code: int, *frame: int, tail: bytes = b"") -> None:
    """A frame that ends its connection with that error."""
    c = client(t)
    c.frame(*frame, tail=tail)
    c.closed_with(code)


def long_header(version: int, destination: bytes, size: int = LEAST, first: int = 0xC0) -> bytes:
    """A datagram with a long header, as an Initial has."""
    head = bytes([first]) + version.to_bytes(4, "big") + bytes([len(destination)]) + destination
    return (head + b"\x08" + secrets.token_bytes(8) + b"\0" + b"\x44\x00").ljust(size, b"\x01")


# Versions


@case("9000 6.1", "a version that is not spoken is answered with those that are, ids swapped")
def _(t: Target) -> None:
    sent = long_header(GREASED, b"12345678")
    (got,) = answers(t.address, sent)
    assert got[0] & 0x80 and got[1:5] == bytes(4), "no Version Negotiation"
    assert got[5] == 8 and got[6:14] == sent[15:23], "its destination is not our source"
    assert got[14] == 8 and got[15:23] == b"12345678", "its source is not our destination"
    listed = [got[k : k + 4] for k in range(23, len(got), 4)]
    assert VERSION_1.to_bytes(4, "big") in listed and GREASED.to_bytes(4, "big") not in listed


@case("9000 6.1", "a small datagram of another version is not answered")
def _(t: Target) -> None:
    assert not answers(t.address, long_header(GREASED, b"12345678", LEAST - 1))


@case("9000 6.1", "a Version Negotiation is never answered by one")
def _(t: Target) -> None:
    assert not answers(t.address, long_header(0, b"12345678"))


@case("8999 5.1", "ids of other versions may be longer than 20 octets")
def _(t: Target) -> None:
    assert answers(t.address, long_header(GREASED, b"x" * 60))


@case("9369 3", "version 2 is spoken, or told not to be")
def _(t: Target) -> None:
    got = answers(t.address, first_flight(t.address, t.alpn, version=VERSION_2))
    assert got, "no answer"
    if got[0][1:5] == bytes(4):
        raise NotApplicableError("the server speaks version 1 alone")
    assert client(t, version=VERSION_2).alive()


# First packets


@case("9000 14.1", "an Initial in less than 1200 octets is dropped")
def _(t: Target) -> None:
    assert not answers(t.address, first_flight(t.address, t.alpn)[: LEAST - 1])


@case("9000 7.2", "an Initial to an id of less than 8 octets is dropped")
def _(t: Target) -> None:
    assert not answers(t.address, long_header(VERSION_1, b"1234567"))


@case("9000 17.2", "an id of more than 20 octets in version 1 is dropped")
def _(t: Target) -> None:
    assert not answers(t.address, long_header(VERSION_1, b"x" * 21))


@case("9000 17.2", "a packet whose fixed bit is 0 is dropped")
def _(t: Target) -> None:
    data = bytearray(first_flight(t.address, t.alpn))
    data[0] &= ~0x40
    assert not answers(t.address, bytes(data))


@case("9001 5.2", "an Initial that can't be opened is dropped")
def _(t: Target) -> None:
    data = bytearray(first_flight(t.address, t.alpn))
    data[100] ^= 1  # in the packet, not in what pads its datagram
    assert not answers(t.address, bytes(data))


@case("9000 8.1", "before an address is proven no more than three times what came is sent to it")
def _(t: Target) -> None:
    data = first_flight(t.address, t.alpn)
    got = answers(t.address, data, 3.0)
    total = sum(len(each) for each in got)
    assert got and total <= 3 * len(data), f"{total} octets for {len(data)}"


@case("9000 8.1.3", "a token that proves nothing is taken as none, not as an error")
def _(t: Target) -> None:
    assert client(t, token=secrets.token_bytes(60)).alive()


@case("9000 8.1.3", "a NEW_TOKEN's token proves an address once more")
def _(t: Target) -> None:
    c = client(t)
    c.for_a_while()
    if not c.quic.tokens:
        raise NotApplicableError("the server gives no NEW_TOKEN")
    assert client(t, token=c.quic.tokens[0]).alive()


@case("9000 12.2", "what is garbled behind a sound packet in its datagram does not end the connection")
def _(t: Target) -> None:
    c = client(t)
    c.quic.send_ping(1)
    for data, _ in c.quic.datagrams_to_send(now=time.time()):
        c.raw(data + os.urandom(40))
    assert c.alive()


@case("9000 12.3", "a packet that comes twice is heard once")
def _(t: Target) -> None:
    c = client(t)
    c.quic.send_stream_data(0, b"PING\r\n")
    sent = [data for data, _ in c.quic.datagrams_to_send(now=time.time())]
    for data in sent * 3:
        c.raw(data)
    c.until(lambda: b"\n" in c.data.get(0, b""), "an answer")
    c.for_a_while()
    assert c.data[0].count(b"\n") == 1, "it was heard more than once"


@case("9000 13.2.1", "what asks for it is acknowledged within the server's max_ack_delay")
def _(t: Target) -> None:
    c = client(t)
    c.for_a_while(0.1)
    count = len(c.seen)
    c.quic.send_ping(1)
    began = time.monotonic()
    c.until(lambda: len(c.seen) > count, "an acknowledgement", 1.0)
    assert time.monotonic() - began < 0.3


# Handshake


@case("9001 8.1", "a client without a protocol in common is refused with no_application_protocol")
def _(t: Target) -> None:
    c = Client(t.address, "nobody/9", connect=False)
    c.closed_with(E.CRYPTO_ERROR + 120)


@case("9000 18.2", "a client that sends a server's parameter is refused")
def _(t: Target) -> None:
    c = client(t, parameters=varint(0) + b"\x08" + bytes(8), connect=False)
    c.closed_with(E.TRANSPORT_PARAMETER_ERROR)


@case("9000 7.4", "a parameter that comes twice, or at its edge is beyond what it may be, is refused")
def _(t: Target) -> None:
    beyond = varint(0x0A) + b"\x01" + varint(21)  # ack_delay_exponent
    c = client(t, parameters=beyond, connect=False)
    c.closed_with(E.TRANSPORT_PARAMETER_ERROR)


@case("9000 7.4.2", "a parameter that is not known is passed over")
def _(t: Target) -> None:
    assert client(t, parameters=varint(31 * 7 + 27) + b"\x03abc").alive()


# Frames


@case("9000 12.4", "a frame of no known type is a FRAME_ENCODING_ERROR")
def _(t: Target) -> None:
    refused(t, E.FRAME_ENCODING_ERROR, 0x21)


@case("9000 19.7", "a NEW_TOKEN from a client is a PROTOCOL_VIOLATION")
def _(t: Target) -> None:
    refused(t, E.PROTOCOL_VIOLATION, 0x07, 4, tail=b"abcd")


@case("9000 19.20", "a HANDSHAKE_DONE from a client is a PROTOCOL_VIOLATION")
def _(t: Target) -> None:
    refused(t, E.PROTOCOL_VIOLATION, 0x1E)


@case("9000 19.16", "retiring an id that was never given is a PROTOCOL_VIOLATION")
def _(t: Target) -> None:
    refused(t, E.PROTOCOL_VIOLATION, 0x19, 999)


@case("9000 19.15", "an id of no octets, or of more than 20, is a FRAME_ENCODING_ERROR")
def _(t: Target) -> None:
    refused(t, E.FRAME_ENCODING_ERROR, 0x18, 5, 0, tail=b"\x15" + bytes(21 + 16))


@case("9000 19.15", "more ids than the server's limit are a CONNECTION_ID_LIMIT_ERROR")
def _(t: Target) -> None:
    c = client(t)
    for k in range(1, 40):
        c.quic.frames.append((0x18, varint(50 + k) + varint(0) + b"\x08" + secrets.token_bytes(8 + 16)))
    c.quic.send_ping(1)
    c.closed_with(E.CONNECTION_ID_LIMIT_ERROR)


@case("9000 19.8", "data on a stream that only the server may open is a STREAM_STATE_ERROR")
def _(t: Target) -> None:
    refused(t, E.STREAM_STATE_ERROR, 0x0A, 1, 1, tail=b"x")


@case("9000 4.6", "a stream beyond the limit is a STREAM_LIMIT_ERROR")
def _(t: Target) -> None:
    refused(t, E.STREAM_LIMIT_ERROR, 0x0A, 4 * (1 << 20), 1, tail=b"x")


@case("9000 4.1", "data beyond the stream's limit is a FLOW_CONTROL_ERROR")
def _(t: Target) -> None:
    refused(t, E.FLOW_CONTROL_ERROR, 0x0E, 4, 1 << 40, 1, tail=b"x")


@case("9000 4.5", "a final size that changes is a FINAL_SIZE_ERROR")
def _(t: Target) -> None:
    c = client(t)
    c.quic.frames += [
        (0x0F, varint(0) + varint(0) + varint(3) + b"abc"),
        (0x04, varint(0) + varint(0) + varint(9)),
    ]
    c.quic.send_ping(1)
    c.closed_with(E.FINAL_SIZE_ERROR)


@case("9000 19.5", "STOP_SENDING for a stream that only the client sends on is a STREAM_STATE_ERROR")
def _(t: Target) -> None:
    refused(t, E.STREAM_STATE_ERROR, 0x05, 2, 0)


@case("9000 19.10", "MAX_STREAM_DATA for a stream that only the client sends on is a STREAM_STATE_ERROR")
def _(t: Target) -> None:
    refused(t, E.STREAM_STATE_ERROR, 0x11, 2, 9)


@case("9000 19.11", "MAX_STREAMS of more than 2^60 is a FRAME_ENCODING_ERROR")
def _(t: Target) -> None:
    refused(t, E.FRAME_ENCODING_ERROR, 0x12, (1 << 60) + 1)


@case("9000 19.6", "handshake data over what is kept is a CRYPTO_BUFFER_EXCEEDED")
def _(t: Target) -> None:
    refused(t, E.CRYPTO_BUFFER_EXCEEDED, 0x06, 1 << 30, 1, tail=b"x")


@case("9000 19.21", "an unknown frame behind a sound one still ends the connection")
def _(t: Target) -> None:
    c = client(t)
    c.quic.frames += [(0x01, b""), (0x3F, b"")]
    c.quic.send_ping(1)
    c.closed_with(E.FRAME_ENCODING_ERROR)


# Addresses


@case("9000 8.2.2", "a PATH_CHALLENGE is answered with its data")
def _(t: Target) -> None:
    c = client(t)
    data = secrets.token_bytes(8)
    c.frame(0x1A, tail=data)
    c.until(lambda: data in c.quic.responses, "a PATH_RESPONSE")


@case("9000 9", "a client at a new address, with a new id, goes on")
def _(t: Target) -> None:
    c = client(t)
    assert c.alive()
    for _ in range(3):
        c.hop()
        assert c.alive()


@case("9000 9.3", "a client whose NAT gave it a new port, with the id that it had, goes on")
def _(t: Target) -> None:
    c = client(t)
    for _ in range(3):
        c.hop(new_id=False)
        assert c.alive()


@case("9000 8.2", "a new address is challenged before more is sent to it than three times what came from it")
def _(t: Target) -> None:
    c = client(t)
    c.for_a_while(0.1)
    c.hop()
    c.sent = c.received = 0
    c.quic.send_ping(1)
    c.flush()
    end = time.monotonic() + 1.0
    while time.monotonic() < end:  # nothing is answered
        c.hear(0.05)
    assert 0 < c.received <= 3 * c.sent, f"{c.received} octets for {c.sent}"


@case("9000 5.1.2", "an id that is retired leads nowhere, and others go on")
def _(t: Target) -> None:
    c = client(t)
    c.for_a_while(0.1)
    old = c.quic._peer_cid.cid
    c.quic.change_connection_id()
    assert c.alive() and c.quic._peer_cid.cid != old
    c.for_a_while()
    count = len(c.seen)
    c.raw(b"\x41" + old + secrets.token_bytes(60))
    c.for_a_while()
    assert all(len(d) < 62 for d in c.seen[count:]), "it was answered with more than a reset"
    assert not c.closed


@case("9000 5.1.1", "an id that is retired is made up for")
def _(t: Target) -> None:
    c = client(t)
    c.for_a_while(0.1)
    for _ in range(12):
        c.quic.change_connection_id()
        assert c.alive()
        c.for_a_while(0.05)


# Ends


@case("9000 10.3", "a reset is shorter than what provoked it, and 21 octets or more")
def _(t: Target) -> None:
    c = client(t)
    c.for_a_while(0.1)
    old = c.quic._peer_cid.cid
    c.quic.change_connection_id()
    assert c.alive()
    c.for_a_while(4.0)  # by now the old id is retired for long, and the server's own all the same
    came = 0
    for size in (21, 22, 40, 60, 1200):
        for got in answers(t.address, (b"\x41" + old).ljust(size, b"\x55"), 0.2):
            came += 1
            assert 21 <= len(got) < size, f"{len(got)} octets for {size}"
            assert got[0] & 0xC0 == 0x40, "it does not look like a packet"
    if not came:
        raise NotApplicableError("the server sends no stateless resets")


@case("9000 10.2", "a connection that its client has closed leads nowhere")
def _(t: Target) -> None:
    c = client(t)
    c.for_a_while(0.1)
    cid = c.quic._peer_cid.cid
    c.quic.close(error_code=0, reason_phrase="")
    c.flush()
    c.for_a_while(QUIET)
    got = answers(t.address, b"\x41" + cid + secrets.token_bytes(60))
    assert all(len(d) <= 60 for d in got)


@case("9001 6", "the client's key update is followed")
def _(t: Target) -> None:
    c = client(t)
    assert c.alive()
    for _ in range(3):
        c.quic.request_key_update()
        assert c.alive()
        c.for_a_while(0.1)


@case("9001 5.5", "packets of a session that can't be opened do not end it")
def _(t: Target) -> None:
    c = client(t)
    for _ in range(20):
        c.raw(b"\x41" + c.quic._peer_cid.cid + secrets.token_bytes(50))
    assert c.alive()


@case("9287 3", "a fixed bit of 0 is taken only where the server has said so")
def _(t: Target) -> None:
    c = client(t)
    if b"\x6a\xb2" in (getattr(c.quic, "_received_parameters", b"") or b""):
        raise NotApplicableError("the server greases the bit")
    c.quic.send_stream_data(0, b"PING\r\n")
    for data, _ in c.quic.datagrams_to_send(now=time.time()):
        c.raw(bytes([data[0] & ~0x40]) + data[1:])
    c.for_a_while(0.1)
    assert b"\n" not in c.data.get(0, b"") or c.sent > 0
    assert c.alive()
