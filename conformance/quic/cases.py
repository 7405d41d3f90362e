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

from aioquic.quic.packet import QuicErrorCode, QuicFrameType

from conformance.quic.client import (
    MIN_INITIAL_DATAGRAM_LENGTH,
    QUIET_PERIOD_S,
    Address,
    ScriptedClient,
    client_initial,
    exchange_datagram,
    varint,
)

GREASED_VERSION = 0x1A2A3A4A  # reserved to force version negotiation (RFC 9000, 15)
VERSION_1, VERSION_2 = 0x00000001, 0x6B3343CF
FIXED_BIT = 0x40  # of a packet's first octet (RFC 9000, 17.2)
NO_APPLICATION_PROTOCOL_ALERT = 120  # TLS (RFC 7301, 3.2)
UNKNOWN_FRAME_TYPES = 0x21, 0x3F  # which no RFC of QUIC version 1 defines
STREAM_WITH_LENGTH = QuicFrameType.STREAM_BASE | 0x02  # bits of a STREAM frame (RFC 9000, 19.8)
STREAM_WITH_OFFSET = STREAM_WITH_LENGTH | 0x04
FINAL_STREAM_WITH_OFFSET = STREAM_WITH_OFFSET | 0x01


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


def connect(target: Target, **options: object) -> ScriptedClient:
    """A connection to the server under test."""
    return ScriptedClient(target.address, target.alpn, **options)  # type: ignore[arg-type]


def expect_refusal(target: Target, code: int, *frame: int, tail: bytes = b"") -> None:
    """A frame that ends its connection with that error."""
    client = connect(target)
    client.send_frame(*frame, tail=tail)
    client.expect_close(code)


def long_header(
    version: int, destination: bytes, size: int = MIN_INITIAL_DATAGRAM_LENGTH, first: int = 0xC0
) -> bytes:
    """A datagram with a long header, as an Initial has."""
    head = bytes([first]) + version.to_bytes(4, "big") + bytes([len(destination)]) + destination
    return (head + b"\x08" + secrets.token_bytes(8) + b"\0" + b"\x44\x00").ljust(size, b"\x01")


# Versions


@case("9000 6.1", "a version that is not spoken is answered with those that are, ids swapped")
def _unknown_version_is_negotiated(target: Target) -> None:
    sent = long_header(GREASED_VERSION, b"12345678")
    (got,) = exchange_datagram(target.address, sent)
    assert got[0] & 0x80 and got[1:5] == bytes(4), "no Version Negotiation"
    assert got[5] == 8 and got[6:14] == sent[15:23], "its destination is not our source"
    assert got[14] == 8 and got[15:23] == b"12345678", "its source is not our destination"
    listed = [got[k : k + 4] for k in range(23, len(got), 4)]
    assert VERSION_1.to_bytes(4, "big") in listed and GREASED_VERSION.to_bytes(4, "big") not in listed


@case("9000 6.1", "a small datagram of another version is not answered")
def _small_datagram_of_unknown_version_is_ignored(target: Target) -> None:
    too_short = MIN_INITIAL_DATAGRAM_LENGTH - 1
    assert not exchange_datagram(target.address, long_header(GREASED_VERSION, b"12345678", too_short))


@case("9000 6.1", "a Version Negotiation is never answered by one")
def _version_negotiation_is_ignored(target: Target) -> None:
    assert not exchange_datagram(target.address, long_header(0, b"12345678"))


@case("8999 5.1", "ids of other versions may be longer than 20 octets")
def _long_connection_ids_of_unknown_versions_are_accepted(target: Target) -> None:
    assert exchange_datagram(target.address, long_header(GREASED_VERSION, b"x" * 60))


@case("9369 3", "version 2 is spoken, or told not to be")
def _version_2_is_spoken_or_negotiated(target: Target) -> None:
    got = exchange_datagram(target.address, client_initial(target.address, target.alpn, version=VERSION_2))
    assert got, "no answer"
    if got[0][1:5] == bytes(4):
        raise NotApplicableError("the server speaks version 1 alone")
    assert connect(target, version=VERSION_2).is_alive()


# First packets


@case("9000 14.1", "an Initial in less than 1200 octets is dropped")
def _small_initial_is_dropped(target: Target) -> None:
    initial = client_initial(target.address, target.alpn)
    assert not exchange_datagram(target.address, initial[: MIN_INITIAL_DATAGRAM_LENGTH - 1])


@case("9000 7.2", "an Initial to an id of less than 8 octets is dropped")
def _short_destination_id_is_dropped(target: Target) -> None:
    assert not exchange_datagram(target.address, long_header(VERSION_1, b"1234567"))


@case("9000 17.2", "an id of more than 20 octets in version 1 is dropped")
def _oversized_destination_id_is_dropped(target: Target) -> None:
    assert not exchange_datagram(target.address, long_header(VERSION_1, b"x" * 21))


@case("9000 17.2", "a packet whose fixed bit is 0 is dropped")
def _cleared_fixed_bit_is_dropped(target: Target) -> None:
    data = bytearray(client_initial(target.address, target.alpn))
    data[0] &= ~FIXED_BIT
    assert not exchange_datagram(target.address, bytes(data))


@case("9001 5.2", "an Initial that can't be opened is dropped")
def _undecryptable_initial_is_dropped(target: Target) -> None:
    data = bytearray(client_initial(target.address, target.alpn))
    data[100] ^= 1  # in the packet, not in what pads its datagram
    assert not exchange_datagram(target.address, bytes(data))


@case("9000 8.1", "before an address is proven no more than three times what came is sent to it")
def _amplification_is_limited(target: Target) -> None:
    data = client_initial(target.address, target.alpn)
    got = exchange_datagram(target.address, data, 3.0)
    total = sum(len(each) for each in got)
    assert got and total <= 3 * len(data), f"{total} octets for {len(data)}"


@case("9000 8.1.3", "a token that proves nothing is taken as none, not as an error")
def _invalid_token_is_ignored(target: Target) -> None:
    assert connect(target, token=secrets.token_bytes(60)).is_alive()


@case("9000 8.1.3", "a NEW_TOKEN's token proves an address once more")
def _new_token_validates_address(target: Target) -> None:
    client = connect(target)
    client.run_for()
    if not client.quic.tokens:
        raise NotApplicableError("the server gives no NEW_TOKEN")
    assert connect(target, token=client.quic.tokens[0]).is_alive()


@case("9000 12.2", "what is garbled behind a sound packet in its datagram does not end the connection")
def _garbage_after_a_valid_packet_is_ignored(target: Target) -> None:
    client = connect(target)
    client.quic.send_ping(1)
    for datagram, _ in client.quic.datagrams_to_send(now=time.time()):
        client.send_datagram(datagram + os.urandom(40))
    assert client.is_alive()


@case("9000 12.3", "a packet that comes twice is heard once")
def _duplicate_packet_is_processed_once(target: Target) -> None:
    client = connect(target)
    client.quic.send_stream_data(0, b"PING\r\n")
    sent = [datagram for datagram, _ in client.quic.datagrams_to_send(now=time.time())]
    for datagram in sent * 3:
        client.send_datagram(datagram)
    client.wait_until(lambda: b"\n" in client.stream_data.get(0, b""), "an answer")
    client.run_for()
    assert client.stream_data[0].count(b"\n") == 1, "it was heard more than once"


@case("9000 13.2.1", "what asks for it is acknowledged within the server's max_ack_delay")
def _acknowledgement_is_timely(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    count = len(client.received_datagrams)
    client.quic.send_ping(1)
    began = time.monotonic()
    client.wait_until(lambda: len(client.received_datagrams) > count, "an acknowledgement", 1.0)
    assert time.monotonic() - began < 0.3


# Handshake


@case("9001 8.1", "a client without a protocol in common is refused with no_application_protocol")
def _unknown_alpn_is_refused(target: Target) -> None:
    client = ScriptedClient(target.address, "nobody/9", connect=False)
    client.expect_close(QuicErrorCode.CRYPTO_ERROR + NO_APPLICATION_PROTOCOL_ALERT)


@case("9000 18.2", "a client that sends a server's parameter is refused")
def _server_only_parameter_is_refused(target: Target) -> None:
    client = connect(target, parameters=varint(0) + b"\x08" + bytes(8), connect=False)
    client.expect_close(QuicErrorCode.TRANSPORT_PARAMETER_ERROR)


@case("9000 7.4", "a parameter that comes twice, or at its edge is beyond what it may be, is refused")
def _out_of_range_parameter_is_refused(target: Target) -> None:
    beyond = varint(0x0A) + b"\x01" + varint(21)  # ack_delay_exponent
    client = connect(target, parameters=beyond, connect=False)
    client.expect_close(QuicErrorCode.TRANSPORT_PARAMETER_ERROR)


@case("9000 7.4.2", "a parameter that is not known is passed over")
def _unknown_parameter_is_ignored(target: Target) -> None:
    assert connect(target, parameters=varint(31 * 7 + 27) + b"\x03abc").is_alive()


# Frames


@case("9000 12.4", "a frame of no known type is a FRAME_ENCODING_ERROR")
def _unknown_frame_type_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.FRAME_ENCODING_ERROR, UNKNOWN_FRAME_TYPES[0])


@case("9000 19.7", "a NEW_TOKEN from a client is a PROTOCOL_VIOLATION")
def _new_token_from_client_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.PROTOCOL_VIOLATION, QuicFrameType.NEW_TOKEN, 4, tail=b"abcd")


@case("9000 19.20", "a HANDSHAKE_DONE from a client is a PROTOCOL_VIOLATION")
def _handshake_done_from_client_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.PROTOCOL_VIOLATION, QuicFrameType.HANDSHAKE_DONE)


@case("9000 19.16", "retiring an id that was never given is a PROTOCOL_VIOLATION")
def _retiring_an_unissued_id_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.PROTOCOL_VIOLATION, QuicFrameType.RETIRE_CONNECTION_ID, 999)


@case("9000 19.15", "an id of no octets, or of more than 20, is a FRAME_ENCODING_ERROR")
def _malformed_connection_id_is_refused(target: Target) -> None:
    expect_refusal(
        target,
        QuicErrorCode.FRAME_ENCODING_ERROR,
        QuicFrameType.NEW_CONNECTION_ID,
        5,
        0,
        tail=b"\x15" + bytes(21 + 16),
    )


@case("9000 19.15", "more ids than the server's limit are a CONNECTION_ID_LIMIT_ERROR")
def _excess_connection_ids_are_refused(target: Target) -> None:
    client = connect(target)
    for k in range(1, 40):
        client.quic.frames.append(
            (
                QuicFrameType.NEW_CONNECTION_ID,
                varint(50 + k) + varint(0) + b"\x08" + secrets.token_bytes(8 + 16),
            )
        )
    client.quic.send_ping(1)
    client.expect_close(QuicErrorCode.CONNECTION_ID_LIMIT_ERROR)


@case("9000 19.8", "data on a stream that only the server may open is a STREAM_STATE_ERROR")
def _data_on_a_server_stream_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.STREAM_STATE_ERROR, STREAM_WITH_LENGTH, 1, 1, tail=b"x")


@case("9000 4.6", "a stream beyond the limit is a STREAM_LIMIT_ERROR")
def _stream_beyond_limit_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.STREAM_LIMIT_ERROR, STREAM_WITH_LENGTH, 4 * (1 << 20), 1, tail=b"x")


@case("9000 4.1", "data beyond the stream's limit is a FLOW_CONTROL_ERROR")
def _data_beyond_flow_control_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.FLOW_CONTROL_ERROR, STREAM_WITH_OFFSET, 4, 1 << 40, 1, tail=b"x")


@case("9000 4.5", "a final size that changes is a FINAL_SIZE_ERROR")
def _changed_final_size_is_refused(target: Target) -> None:
    client = connect(target)
    client.quic.frames += [
        (FINAL_STREAM_WITH_OFFSET, varint(0) + varint(0) + varint(3) + b"abc"),
        (QuicFrameType.RESET_STREAM, varint(0) + varint(0) + varint(9)),
    ]
    client.quic.send_ping(1)
    client.expect_close(QuicErrorCode.FINAL_SIZE_ERROR)


@case("9000 19.5", "STOP_SENDING for a stream that only the client sends on is a STREAM_STATE_ERROR")
def _stop_sending_on_a_receive_only_stream_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.STREAM_STATE_ERROR, QuicFrameType.STOP_SENDING, 2, 0)


@case("9000 19.10", "MAX_STREAM_DATA for a stream that only the client sends on is a STREAM_STATE_ERROR")
def _max_stream_data_on_a_receive_only_stream_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.STREAM_STATE_ERROR, QuicFrameType.MAX_STREAM_DATA, 2, 9)


@case("9000 19.11", "MAX_STREAMS of more than 2^60 is a FRAME_ENCODING_ERROR")
def _excessive_max_streams_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.FRAME_ENCODING_ERROR, QuicFrameType.MAX_STREAMS_BIDI, (1 << 60) + 1)


@case("9000 19.6", "handshake data over what is kept is a CRYPTO_BUFFER_EXCEEDED")
def _excess_crypto_data_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.CRYPTO_BUFFER_EXCEEDED, QuicFrameType.CRYPTO, 1 << 30, 1, tail=b"x")


@case("9000 19.21", "an unknown frame behind a sound one still ends the connection")
def _unknown_frame_after_a_known_one_is_refused(target: Target) -> None:
    client = connect(target)
    client.quic.frames += [(QuicFrameType.PING, b""), (UNKNOWN_FRAME_TYPES[1], b"")]
    client.quic.send_ping(1)
    client.expect_close(QuicErrorCode.FRAME_ENCODING_ERROR)


# Addresses


@case("9000 8.2.2", "a PATH_CHALLENGE is answered with its data")
def _path_challenge_is_answered(target: Target) -> None:
    client = connect(target)
    data = secrets.token_bytes(8)
    client.send_frame(QuicFrameType.PATH_CHALLENGE, tail=data)
    client.wait_until(lambda: data in client.quic.responses, "a PATH_RESPONSE")


@case("9000 9", "a client at a new address, with a new id, goes on")
def _migration_with_a_new_id_is_followed(target: Target) -> None:
    client = connect(target)
    assert client.is_alive()
    for _ in range(3):
        client.change_address()
        assert client.is_alive()


@case("9000 9.3", "a client whose NAT gave it a new port, with the id that it had, goes on")
def _nat_rebinding_is_followed(target: Target) -> None:
    client = connect(target)
    for _ in range(3):
        client.change_address(new_id=False)
        assert client.is_alive()


@case("9000 8.2", "a new address is challenged before more is sent to it than three times what came from it")
def _new_address_is_validated_before_much_is_sent(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    client.change_address()
    client.octets_sent = client.octets_received = 0
    client.quic.send_ping(1)
    client.flush()
    end = time.monotonic() + 1.0
    while time.monotonic() < end:  # nothing is answered
        client.receive(0.05)
    sent, received = client.octets_sent, client.octets_received
    assert 0 < received <= 3 * sent, f"{received} octets for {sent}"


@case("9000 5.1.2", "an id that is retired leads nowhere, and others go on")
def _retired_id_is_not_served(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    old = client.quic._peer_cid.cid
    client.quic.change_connection_id()
    assert client.is_alive() and client.quic._peer_cid.cid != old
    client.run_for()
    count = len(client.received_datagrams)
    client.send_datagram(b"\x41" + old + secrets.token_bytes(60))
    client.run_for()
    answers = client.received_datagrams[count:]
    assert all(len(datagram) < 62 for datagram in answers), "it was answered with more than a reset"
    assert not client.termination


@case("9000 5.1.1", "an id that is retired is made up for")
def _retired_ids_are_replaced(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    for _ in range(12):
        client.quic.change_connection_id()
        assert client.is_alive()
        client.run_for(0.05)


# Ends


@case("9000 10.3", "a reset is shorter than what provoked it, and 21 octets or more")
def _stateless_reset_is_shorter_than_its_trigger(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    old = client.quic._peer_cid.cid
    client.quic.change_connection_id()
    assert client.is_alive()
    client.run_for(4.0)  # by now the old id is retired for long, and the server's own all the same
    came = 0
    for size in (21, 22, 40, 60, 1200):
        for got in exchange_datagram(target.address, (b"\x41" + old).ljust(size, b"\x55"), 0.2):
            came += 1
            assert 21 <= len(got) < size, f"{len(got)} octets for {size}"
            assert got[0] & 0xC0 == 0x40, "it does not look like a packet"
    if not came:
        raise NotApplicableError("the server sends no stateless resets")


@case("9000 10.2", "a connection that its client has closed leads nowhere")
def _closed_connection_is_not_served(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    cid = client.quic._peer_cid.cid
    client.quic.close(error_code=0, reason_phrase="")
    client.flush()
    client.run_for(QUIET_PERIOD_S)
    got = exchange_datagram(target.address, b"\x41" + cid + secrets.token_bytes(60))
    assert all(len(datagram) <= 60 for datagram in got)


@case("9001 6", "the client's key update is followed")
def _key_update_is_followed(target: Target) -> None:
    client = connect(target)
    assert client.is_alive()
    for _ in range(3):
        client.quic.request_key_update()
        assert client.is_alive()
        client.run_for(0.1)


@case("9001 5.5", "packets of a session that can't be opened do not end it")
def _undecryptable_packets_are_ignored(target: Target) -> None:
    client = connect(target)
    for _ in range(20):
        client.send_datagram(b"\x41" + client.quic._peer_cid.cid + secrets.token_bytes(50))
    assert client.is_alive()


@case("9287 3", "a fixed bit of 0 is taken only where the server has said so")
def _cleared_fixed_bit_needs_greasing(target: Target) -> None:
    client = connect(target)
    if b"\x6a\xb2" in (getattr(client.quic, "_received_parameters", b"") or b""):
        raise NotApplicableError("the server greases the bit")
    client.quic.send_stream_data(0, b"PING\r\n")
    for datagram, _ in client.quic.datagrams_to_send(now=time.time()):
        client.send_datagram(bytes([datagram[0] & ~FIXED_BIT]) + datagram[1:])
    client.run_for(0.1)
    assert b"\n" not in client.stream_data.get(0, b"") or client.octets_sent > 0
    assert client.is_alive()
