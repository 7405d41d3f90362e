"""Stateless resets, closed connections, key updates and packets that can't be decrypted."""

from __future__ import annotations

import secrets
import time

from conformance.quic.case import CaseList, NotApplicableError, Target
from conformance.quic.client import QUIET_PERIOD_S, exchange_datagram
from conformance.quic.packets import FIXED_BIT, connect

cases = CaseList()


@cases.add("9000 10.3", "a stateless reset is shorter than its trigger and at least 21 octets long")
def _stateless_reset_is_shorter_than_its_trigger(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    retired_id = client.quic._peer_cid.cid
    client.quic.change_connection_id()
    assert client.is_alive()
    # Longer than a server may treat packets to a retired id as late; the id still names the server.
    client.run_for(4.0)
    answer_count = 0
    for size in (21, 22, 40, 60, 1200):
        for answer in exchange_datagram(target.address, (b"\x41" + retired_id).ljust(size, b"\x55"), 0.2):
            answer_count += 1
            assert 21 <= len(answer) < size, f"{len(answer)} octets for a trigger of {size}"
            assert answer[0] & 0xC0 == 0x40, "the reset does not look like a packet with a short header"
    if not answer_count:
        raise NotApplicableError("the server sends no stateless resets")


@cases.add("9000 10.2", "packets of a connection that its client has closed are not served")
def _closed_connection_is_not_served(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    cid = client.quic._peer_cid.cid
    client.quic.close(error_code=0, reason_phrase="")
    client.flush()
    client.run_for(QUIET_PERIOD_S)
    answers = exchange_datagram(target.address, b"\x41" + cid + secrets.token_bytes(60))
    assert all(len(datagram) <= 60 for datagram in answers)


@cases.add("9001 6", "the client's key update is followed")
def _key_update_is_followed(target: Target) -> None:
    client = connect(target)
    assert client.is_alive()
    for _ in range(3):
        client.quic.request_key_update()
        assert client.is_alive()
        client.run_for(0.1)


@cases.add("9001 5.5", "packets that can't be decrypted do not end the connection")
def _undecryptable_packets_are_ignored(target: Target) -> None:
    client = connect(target)
    for _ in range(20):
        client.send_datagram(b"\x41" + client.quic._peer_cid.cid + secrets.token_bytes(50))
    assert client.is_alive()


@cases.add("9287 3", "a fixed bit of 0 is accepted only if the server has sent grease_quic_bit")
def _cleared_fixed_bit_needs_greasing(target: Target) -> None:
    client = connect(target)
    if b"\x6a\xb2" in (getattr(client.quic, "_received_parameters", b"") or b""):
        raise NotApplicableError("the server supports grease_quic_bit")
    client.quic.send_stream_data(0, b"PING\r\n")
    for datagram, _ in client.quic.datagrams_to_send(now=time.time()):
        client.send_datagram(bytes([datagram[0] & ~FIXED_BIT]) + datagram[1:])
    client.run_for(0.1)
    assert b"\n" not in client.stream_data.get(0, b"") or client.octets_sent > 0
    assert client.is_alive()
