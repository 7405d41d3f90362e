"""Version negotiation (RFC 8999, 9000, 9369)."""

from __future__ import annotations

from conformance.quic.case import CaseList, NotApplicableError, Target
from conformance.quic.client import MIN_INITIAL_DATAGRAM_LENGTH, client_initial, exchange_datagram
from conformance.quic.packets import GREASED_VERSION, VERSION_1, VERSION_2, connect, long_header

cases = CaseList()


@cases.add(
    "9000 6.1", "an unsupported version is answered with the supported ones and swapped connection ids"
)
def _unknown_version_is_negotiated(target: Target) -> None:
    sent = long_header(GREASED_VERSION, b"12345678")
    (answer,) = exchange_datagram(target.address, sent)
    assert answer[0] & 0x80 and answer[1:5] == bytes(4), "the answer is no Version Negotiation packet"
    assert answer[5] == 8 and answer[6:14] == sent[15:23], "its destination id is not the client's source id"
    assert answer[14] == 8 and answer[15:23] == b"12345678", (
        "its source id is not the client's destination id"
    )
    versions = [answer[k : k + 4] for k in range(23, len(answer), 4)]
    assert VERSION_1.to_bytes(4, "big") in versions and GREASED_VERSION.to_bytes(4, "big") not in versions


@cases.add("9000 6.1", "a datagram of an unsupported version and less than 1200 octets is not answered")
def _small_datagram_of_unknown_version_is_ignored(target: Target) -> None:
    size = MIN_INITIAL_DATAGRAM_LENGTH - 1
    assert not exchange_datagram(target.address, long_header(GREASED_VERSION, b"12345678", size))


@cases.add("9000 6.1", "a Version Negotiation packet is not answered")
def _version_negotiation_is_ignored(target: Target) -> None:
    assert not exchange_datagram(target.address, long_header(0, b"12345678"))


@cases.add("8999 5.1", "connection ids of unknown versions may be longer than 20 octets")
def _long_connection_ids_of_unknown_versions_are_accepted(target: Target) -> None:
    assert exchange_datagram(target.address, long_header(GREASED_VERSION, b"x" * 60))


@cases.add("9369 3", "version 2 is supported or negotiated")
def _version_2_is_supported_or_negotiated(target: Target) -> None:
    answers = exchange_datagram(
        target.address, client_initial(target.address, target.alpn, version=VERSION_2)
    )
    assert answers, "no answer"
    if answers[0][1:5] == bytes(4):
        raise NotApplicableError("the server supports only version 1")
    assert connect(target, version=VERSION_2).is_alive()
