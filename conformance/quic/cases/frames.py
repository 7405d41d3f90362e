"""Frames that a client must not send, and the error that the server closes the connection with."""

from __future__ import annotations

import secrets

from aioquic.quic.packet import QuicErrorCode, QuicFrameType

from conformance.quic.case import CaseList, Target
from conformance.quic.client import varint
from conformance.quic.packets import connect, expect_refusal

UNKNOWN_FRAME_TYPES = 0x21, 0x3F  # defined by no RFC of QUIC version 1
STREAM_WITH_LENGTH = QuicFrameType.STREAM_BASE | 0x02  # flag bits of a STREAM frame (RFC 9000, 19.8)
STREAM_WITH_OFFSET = STREAM_WITH_LENGTH | 0x04
FINAL_STREAM_WITH_OFFSET = STREAM_WITH_OFFSET | 0x01

cases = CaseList()


@cases.add("9000 12.4", "a frame of an unknown type is a FRAME_ENCODING_ERROR")
def _unknown_frame_type_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.FRAME_ENCODING_ERROR, UNKNOWN_FRAME_TYPES[0])


@cases.add("9000 19.7", "a NEW_TOKEN from a client is a PROTOCOL_VIOLATION")
def _new_token_from_client_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.PROTOCOL_VIOLATION, QuicFrameType.NEW_TOKEN, 4, tail=b"abcd")


@cases.add("9000 19.20", "a HANDSHAKE_DONE from a client is a PROTOCOL_VIOLATION")
def _handshake_done_from_client_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.PROTOCOL_VIOLATION, QuicFrameType.HANDSHAKE_DONE)


@cases.add("9000 19.16", "retiring a connection id that was never issued is a PROTOCOL_VIOLATION")
def _retiring_an_unissued_id_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.PROTOCOL_VIOLATION, QuicFrameType.RETIRE_CONNECTION_ID, 999)


@cases.add("9000 19.15", "a connection id of 0 or more than 20 octets is a FRAME_ENCODING_ERROR")
def _malformed_connection_id_is_refused(target: Target) -> None:
    expect_refusal(
        target,
        QuicErrorCode.FRAME_ENCODING_ERROR,
        QuicFrameType.NEW_CONNECTION_ID,
        5,
        0,
        tail=b"\x15" + bytes(21 + 16),
    )


@cases.add("9000 19.15", "more connection ids than the server's limit are a CONNECTION_ID_LIMIT_ERROR")
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


@cases.add("9000 19.8", "data on a stream that only the server may open is a STREAM_STATE_ERROR")
def _data_on_a_server_stream_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.STREAM_STATE_ERROR, STREAM_WITH_LENGTH, 1, 1, tail=b"x")


@cases.add("9000 4.6", "a stream beyond the limit is a STREAM_LIMIT_ERROR")
def _stream_beyond_limit_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.STREAM_LIMIT_ERROR, STREAM_WITH_LENGTH, 4 * (1 << 20), 1, tail=b"x")


@cases.add("9000 4.1", "data beyond the stream's limit is a FLOW_CONTROL_ERROR")
def _data_beyond_flow_control_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.FLOW_CONTROL_ERROR, STREAM_WITH_OFFSET, 4, 1 << 40, 1, tail=b"x")


@cases.add("9000 4.5", "a final size that changes is a FINAL_SIZE_ERROR")
def _changed_final_size_is_refused(target: Target) -> None:
    client = connect(target)
    client.quic.frames += [
        (FINAL_STREAM_WITH_OFFSET, varint(0) + varint(0) + varint(3) + b"abc"),
        (QuicFrameType.RESET_STREAM, varint(0) + varint(0) + varint(9)),
    ]
    client.quic.send_ping(1)
    client.expect_close(QuicErrorCode.FINAL_SIZE_ERROR)


@cases.add("9000 19.5", "STOP_SENDING for a stream that only the client sends on is a STREAM_STATE_ERROR")
def _stop_sending_on_a_receive_only_stream_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.STREAM_STATE_ERROR, QuicFrameType.STOP_SENDING, 2, 0)


@cases.add("9000 19.10", "MAX_STREAM_DATA for a stream that only the client sends on is a STREAM_STATE_ERROR")
def _max_stream_data_on_a_receive_only_stream_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.STREAM_STATE_ERROR, QuicFrameType.MAX_STREAM_DATA, 2, 9)


@cases.add("9000 19.11", "MAX_STREAMS of more than 2^60 is a FRAME_ENCODING_ERROR")
def _excessive_max_streams_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.FRAME_ENCODING_ERROR, QuicFrameType.MAX_STREAMS_BIDI, (1 << 60) + 1)


@cases.add("9000 19.6", "CRYPTO data beyond the server's buffer is a CRYPTO_BUFFER_EXCEEDED")
def _excess_crypto_data_is_refused(target: Target) -> None:
    expect_refusal(target, QuicErrorCode.CRYPTO_BUFFER_EXCEEDED, QuicFrameType.CRYPTO, 1 << 30, 1, tail=b"x")


@cases.add("9000 19.21", "an unknown frame after a valid one closes the connection")
def _unknown_frame_after_a_known_one_is_refused(target: Target) -> None:
    client = connect(target)
    client.quic.frames += [(QuicFrameType.PING, b""), (UNKNOWN_FRAME_TYPES[1], b"")]
    client.quic.send_ping(1)
    client.expect_close(QuicErrorCode.FRAME_ENCODING_ERROR)
