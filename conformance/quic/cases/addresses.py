"""Path validation, migration and connection ids."""

from __future__ import annotations

import secrets
import time

from aioquic.quic.packet import QuicFrameType

from conformance.quic.case import CaseList, Target
from conformance.quic.packets import connect

cases = CaseList()


@cases.add("9000 8.2.2", "a PATH_CHALLENGE is answered with its data")
def _path_challenge_is_answered(target: Target) -> None:
    client = connect(target)
    data = secrets.token_bytes(8)
    client.send_frame(QuicFrameType.PATH_CHALLENGE, tail=data)
    client.wait_until(lambda: data in client.quic.responses, "a PATH_RESPONSE")


@cases.add("9000 9", "a client that migrates to a new address with a new connection id is served")
def _migration_with_a_new_id_is_followed(target: Target) -> None:
    client = connect(target)
    assert client.is_alive()
    for _ in range(3):
        client.change_address()
        assert client.is_alive()


@cases.add("9000 9.3", "a client whose NAT changes its port, with the same connection id, is served")
def _nat_rebinding_is_followed(target: Target) -> None:
    client = connect(target)
    for _ in range(3):
        client.change_address(new_id=False)
        assert client.is_alive()


@cases.add(
    "9000 8.2", "at most three times the data received is sent to a new address before it is validated"
)
def _amplification_to_a_new_address_is_limited(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    client.change_address()
    client.octets_sent = client.octets_received = 0
    client.quic.send_ping(1)
    client.flush()
    end = time.monotonic() + 1.0
    while time.monotonic() < end:  # the client receives without answering
        client.receive(0.05)
    sent, received = client.octets_sent, client.octets_received
    assert 0 < received <= 3 * sent, f"{received} octets sent for {sent}"


@cases.add("9000 5.1.2", "packets to a retired connection id are not served, and other ids stay valid")
def _retired_id_is_not_served(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    retired_id = client.quic._peer_cid.cid
    client.quic.change_connection_id()
    assert client.is_alive() and client.quic._peer_cid.cid != retired_id
    client.run_for()
    count = len(client.received_datagrams)
    client.send_datagram(b"\x41" + retired_id + secrets.token_bytes(60))
    client.run_for()
    answers = client.received_datagrams[count:]
    assert all(len(datagram) < 62 for datagram in answers), (
        "the packet was answered with more than a stateless reset"
    )
    assert not client.termination


@cases.add("9000 5.1.1", "a retired connection id is replaced with a new one")
def _retired_ids_are_replaced(target: Target) -> None:
    client = connect(target)
    client.run_for(0.1)
    for _ in range(12):
        client.quic.change_connection_id()
        assert client.is_alive()
        client.run_for(0.05)
