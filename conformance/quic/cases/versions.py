"""Version negotiation (RFC 8999, 9000, 9369)."""

from __future__ import annotations

from conformance.quic.case import CaseList, NotApplicableError, Target
from conformance.quic.client import MIN_INITIAL_DATAGRAM_LENGTH, client_initial, exchange_datagram
from conformance.quic.packets import GREASED_VERSION, VERSION_1, VERSION_2, connect, long_header

cases = CaseList()


@cases.add("9000 6.1", "a version that is not spoken is answered with those that are, ids swapped")
def _unknown_version_is_negotiated(target: Target) -> None:
    sent = long_header(GREASED_VERSION, b"12345678")
    (got,) = exchange_datagram(target.address, sent)
    assert got[0] & 0x80 and got[1:5] == bytes(4), "no Version Negotiation"
    assert got[5] == 8 and got[6:14] == sent[15:23], "its destination is not our source"
    assert got[14] == 8 and got[15:23] == b"12345678", "its source is not our destination"
    listed = [got[k : k + 4] for k in range(23, len(got), 4)]
    assert VERSION_1.to_bytes(4, "big") in listed and GREASED_VERSION.to_bytes(4, "big") not in listed


@cases.add("9000 6.1", "a small datagram of another version is not answered")
def _small_datagram_of_unknown_version_is_ignored(target: Target) -> None:
    too_short = MIN_INITIAL_DATAGRAM_LENGTH - 1
    assert not exchange_datagram(target.address, long_header(GREASED_VERSION, b"12345678", too_short))


@cases.add("9000 6.1", "a Version Negotiation is never answered by one")
def _version_negotiation_is_ignored(target: Target) -> None:
    assert not exchange_datagram(target.address, long_header(0, b"12345678"))


@cases.add("8999 5.1", "ids of other versions may be longer than 20 octets")
def _long_connection_ids_of_unknown_versions_are_accepted(target: Target) -> None:
    assert exchange_datagram(target.address, long_header(GREASED_VERSION, b"x" * 60))


@cases.add("9369 3", "version 2 is spoken, or told not to be")
def _version_2_is_spoken_or_negotiated(target: Target) -> None:
    got = exchange_datagram(target.address, client_initial(target.address, target.alpn, version=VERSION_2))
    assert got, "no answer"
    if got[0][1:5] == bytes(4):
        raise NotApplicableError("the server speaks version 1 alone")
    assert connect(target, version=VERSION_2).is_alive()
