"""A QUIC client whose address can change, a certificate, and a node process with a QUIC listener."""

from __future__ import annotations

import datetime
import select
import socket
import ssl
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from gradegap.quic.listener import CloseCode
from tests.support.node_environment import (
    EndpointServer,
    NodeEnvironment,
    free_port,
    new_request_id,
    running_node,
)


def make_certificate(folder: Path, days: int = 1) -> None:
    """Writes a self-signed certificate that expires in `days`, and its key, as `cert.pem` and `key.pem`."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "localhost")])
    now = datetime.datetime.now(datetime.UTC)
    builder = x509.CertificateBuilder(name, name, key.public_key(), x509.random_serial_number())
    builder = builder.not_valid_before(now - datetime.timedelta(days=1))
    certificate = builder.not_valid_after(now + datetime.timedelta(days=days)).sign(key, hashes.SHA256())
    (folder / "cert.pem").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    private = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    (folder / "key.pem").write_bytes(private)


class QuicClient:
    """A game client that speaks QUIC; `hop` gives it a new address, as a phone on another network."""

    def __init__(self, port: int, within: float = 5.0) -> None:
        config = QuicConfiguration(is_client=True, alpn_protocols=["gradegap/1"], verify_mode=ssl.CERT_NONE)
        self.peer = ("127.0.0.1", port)
        self.quic = QuicConnection(configuration=config)
        self.sockets = [self._socket()]
        self.connection_ids: set[bytes] = set()  # connection ids of the node that packets were sent to
        self.received_data = b""
        self.closed: events.ConnectionTerminated | None = None
        self.handshake_done = self.stream_ended = self.got_stateless_reset = False
        self.quic.connect(self.peer, now=time.time())
        self.run_until(lambda: self.handshake_done, within)

    def _socket(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        return sock

    def change_address(self, new_id: bool = False) -> None:
        """Sends from another port from now on; the old port receives nothing more."""
        self.sockets.append(self._socket())
        self.sockets.pop(0).close()
        if new_id:
            self.quic.change_connection_id()

    def step(self, wait: float = 0.01) -> None:
        for data, _ in self.quic.datagrams_to_send(now=time.time()):
            if not data[0] & 0x80:
                self.connection_ids.add(data[1:9])
            self.sockets[0].sendto(data, self.peer)
        if select.select(self.sockets, [], [], wait)[0]:
            data, address = self.sockets[0].recvfrom(65536)
            known = (self.quic._peer_cid, *self.quic._peer_cid_available)
            # Stateless reset, RFC 9000, 10.3.1: aioquic's own client does not check for one.
            self.got_stateless_reset = self.got_stateless_reset or data[-16:] in {
                i.stateless_reset_token for i in known
            } - {b""}
            self.quic.receive_datagram(data, address, now=time.time())
        timer = self.quic.get_timer()
        if timer is not None and timer <= time.time():
            self.quic.handle_timer(now=time.time())
        while (event := self.quic.next_event()) is not None:
            if isinstance(event, events.HandshakeCompleted):
                self.handshake_done = True
            elif isinstance(event, events.StreamDataReceived):
                self.received_data += event.data
                self.stream_ended = self.stream_ended or event.end_stream
        # The close frame as received. aioquic reports a close only after three probe timeouts, which take 7 s
        # or more for a client that read nothing for a second: the time until it reads counts as round trip.
        self.closed = self.quic._close_event

    def run_until(self, condition: object, within: float = 5.0) -> None:
        assert callable(condition)
        end = time.monotonic() + within
        while not condition():
            assert time.monotonic() < end, (
                f"condition not met within {within} s; received {self.received_data[-80:]!r}"
            )
            self.step()

    def send(self, line: bytes, end: bool = False) -> None:
        self.quic.send_stream_data(0, line, end_stream=end)
        self.step(0)

    def read_line(self, within: float = 5.0) -> str:
        self.run_until(lambda: b"\n" in self.received_data, within)
        line, _, self.received_data = self.received_data.partition(b"\r\n")
        return line.decode()

    def open_request(self, fields: str = "c=live,d=1500,g=1", ident: str = "") -> str:
        self.send(f"OPEN {ident or new_request_id()} 7f3a {fields}\r\n".encode())
        return self.read_line()

    def close_code(self) -> CloseCode:
        """Waits until the node closes the connection and returns its application error code."""
        self.run_until(lambda: self.closed is not None)
        assert self.closed is not None and self.closed.frame_type is None
        assert self.closed.reason_phrase == CloseCode(self.closed.error_code).name.lower()
        return CloseCode(self.closed.error_code)


@contextmanager
def running_quic_node(
    folder: Path, endpoint_servers: list[EndpointServer], more: str = "", at: int = 0, **config: Any
) -> Iterator[tuple[NodeEnvironment, int]]:
    """Runs a node with a QUIC listener on a free port, or on port `at`; gives the node and the port."""
    make_certificate(folder)
    port = at or free_port(socket.SOCK_DGRAM)
    operator = f"""[quic]
listen = "127.0.0.1:{port}"
certificate = "{folder}/cert.pem"
private_key = "{folder}/key.pem"
{more}
"""
    shared = str(folder.parent if at else folder)
    with running_node(folder, endpoint_servers, operator, env={"TMPDIR": shared}, **config) as node:
        yield node, port
