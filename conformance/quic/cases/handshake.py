"""The TLS handshake and transport parameters."""

from __future__ import annotations

from aioquic.quic.packet import QuicErrorCode

from conformance.quic.case import CaseList, Target
from conformance.quic.client import ScriptedClient, varint
from conformance.quic.packets import connect

NO_APPLICATION_PROTOCOL_ALERT = 120  # TLS (RFC 7301, 3.2)

cases = CaseList()


@cases.add("9001 8.1", "a client without a protocol in common is refused with no_application_protocol")
def _unknown_alpn_is_refused(target: Target) -> None:
    client = ScriptedClient(target.address, "nobody/9", connect=False)
    client.expect_close(QuicErrorCode.CRYPTO_ERROR + NO_APPLICATION_PROTOCOL_ALERT)


@cases.add("9000 18.2", "a client that sends a server's parameter is refused")
def _server_only_parameter_is_refused(target: Target) -> None:
    client = connect(target, parameters=varint(0) + b"\x08" + bytes(8), connect=False)
    client.expect_close(QuicErrorCode.TRANSPORT_PARAMETER_ERROR)


@cases.add("9000 7.4", "a parameter that comes twice, or at its edge is beyond what it may be, is refused")
def _out_of_range_parameter_is_refused(target: Target) -> None:
    beyond = varint(0x0A) + b"\x01" + varint(21)  # ack_delay_exponent
    client = connect(target, parameters=beyond, connect=False)
    client.expect_close(QuicErrorCode.TRANSPORT_PARAMETER_ERROR)


@cases.add("9000 7.4.2", "a parameter that is not known is passed over")
def _unknown_parameter_is_ignored(target: Target) -> None:
    assert connect(target, parameters=varint(31 * 7 + 27) + b"\x03abc").is_alive()
