"""Packets and datagrams: sizes, connection ids, tokens, duplicates, acknowledgements."""

from __future__ import annotations

import os
import secrets
import time

from conformance.quic.case import CaseList, NotApplicableError, Target
from conformance.quic.client import MIN_INITIAL_DATAGRAM_LENGTH, client_initial, exchange_datagram
from conformance.quic.packets import FIXED_BIT, VERSION_1, connect, long_header

cases = CaseList()


@cases.add("9000 14.1", "an Initial in a datagram of less than 1200 octets is dropped")
def _small_initial_is_dropped(target: Target) -> None:
    initial = client_initial(target.address, target.alpn)
    assert not exchange_datagram(target.address, initial[: MIN_INITIAL_DATAGRAM_LENGTH - 1])


@cases.add("9000 7.2", "an Initial with a destination id of less than 8 octets is dropped")
def _short_destination_id_is_dropped(target: Target) -> None:
    assert not exchange_datagram(target.address, long_header(VERSION_1, b"1234567"))


@cases.add("9000 17.2", "a version 1 packet with a connection id of more than 20 octets is dropped")
def _oversized_destination_id_is_dropped(target: Target) -> None:
    assert not exchange_datagram(target.address, long_header(VERSION_1, b"x" * 21))


@cases.add("9000 17.2", "a packet whose fixed bit is 0 is dropped")
def _cleared_fixed_bit_is_dropped(target: Target) -> None:
    data = bytearray(client_initial(target.address, target.alpn))
    data[0] &= ~FIXED_BIT
    assert not exchange_datagram(target.address, bytes(data))


@cases.add("9001 5.2", "an Initial that can't be decrypted is dropped")
def _undecryptable_initial_is_dropped(target: Target) -> None:
    data = bytearray(client_initial(target.address, target.alpn))
    data[100] ^= 1  # inside the packet, not in the padding of its datagram
    assert not exchange_datagram(target.address, bytes(data))


@cases.add("9000 8.1", "at most three times the data received is sent to an address before it is validated")
def _amplification_is_limited(target: Target) -> None:
    data = client_initial(target.address, target.alpn)
    answers = exchange_datagram(target.address, data, 3.0)
    total = sum(len(answer) for answer in answers)
    assert answers and total <= 3 * len(data), f"{total} octets sent for {len(data)}"


@cases.add("9000 8.1.3", "an invalid token is ignored like a missing one and is no error")
def _invalid_token_is_ignored(target: Target) -> None:
    assert connect(target, token=secrets.token_bytes(60)).is_alive()


@cases.add("9000 8.1.3", "a NEW_TOKEN token validates the address of a later connection")
def _new_token_validates_address(target: Target) -> None:
    client = connect(target)
    client.run_for()
    if not client.quic.tokens:
        raise NotApplicableError("the server sends no NEW_TOKEN")
    assert connect(target, token=client.quic.tokens[0]).is_alive()


@cases.add("9000 12.2", "garbage after a valid packet in its datagram does not end the connection")
def _garbage_after_a_valid_packet_is_ignored(target: Target) -> None:
    client = connect(target)
    client.quic.send_ping(1)
    for datagram, _ in client.quic.datagrams_to_send(now=time.time()):
        client.send_datagram(datagram + os.urandom(40))
    assert client.is_alive()


@cases.add("9000 12.3", "a duplicate packet is processed once")
def _duplicate_packet_is_processed_once(target: Target) -> None:
    client = connect(target)
    client.quic.send_stream_data(0, b"PING\r\n")
    datagrams = [datagram for datagram, _ in client.quic.datagrams_to_send(now=time.time())]
    for datagram in datagrams * 3:
        client.send_datagram(datagram)
    client.wait_until(lambda: b"\n" in client.stream_data.get(0, b""), "an answer")
    client.run_for()
    assert client.stream_data[0].count(b"\n") == 1, "the packet was processed more than once"


@cases.add("9000 13.2.1", "an ack-eliciting packet is acknowledged within the server's max_ack_delay")
def _acknowledgement_is_timely(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    count = len(client.received_datagrams)
    client.quic.send_ping(1)
    began = time.monotonic()
    client.wait_until(lambda: len(client.received_datagrams) > count, "an acknowledgement", 1.0)
    assert time.monotonic() - began < 0.3
