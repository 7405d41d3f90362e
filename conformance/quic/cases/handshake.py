"""The TLS handshake and transport parameters."""

from __future__ import annotations

from aioquic.quic.packet import QuicErrorCode

from conformance.quic.case import CaseList, Target
from conformance.quic.client import ScriptedClient, varint
from conformance.quic.packets import connect

NO_APPLICATION_PROTOCOL_ALERT = 120  # TLS alert (RFC 7301, 3.2)

cases = CaseList()


@cases.add(
    "9001 8.1", "a client without a common application protocol is refused with no_application_protocol"
)
def _unknown_alpn_is_refused(target: Target) -> None:
    client = ScriptedClient(target.address, "nobody/9", connect=False)
    client.expect_close(QuicErrorCode.CRYPTO_ERROR + NO_APPLICATION_PROTOCOL_ALERT)


@cases.add("9000 18.2", "a client that sends a server-only transport parameter is refused")
def _server_only_parameter_is_refused(target: Target) -> None:
    client = connect(target, parameters=varint(0) + b"\x08" + bytes(8), connect=False)
    client.expect_close(QuicErrorCode.TRANSPORT_PARAMETER_ERROR)


@cases.add("9000 7.4", "a duplicate or out-of-range transport parameter is refused")
def _out_of_range_parameter_is_refused(target: Target) -> None:
    # ack_delay_exponent, which is at most 20, and which aioquic has sent as well.
    parameter = varint(0x0A) + b"\x01" + varint(21)
    client = connect(target, parameters=parameter, connect=False)
    client.expect_close(QuicErrorCode.TRANSPORT_PARAMETER_ERROR)


@cases.add("9000 7.4.2", "an unknown transport parameter is ignored")
def _unknown_parameter_is_ignored(target: Target) -> None:
    assert connect(target, parameters=varint(31 * 7 + 27) + b"\x03abc").is_alive()
