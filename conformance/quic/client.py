"""A client that can misbehave: aioquic's packets and crypto, with frames and parameters that a case chooses.

It is synchronous, with one socket: a case says what is sent, and waits for the answer that it is about.
"""

from __future__ import annotations

import secrets
import select
import socket
import ssl
import time
from collections.abc import Callable
from typing import Any

from aioquic._buffer import Buffer
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

MIN_INITIAL_DATAGRAM_LENGTH = 1200  # octets of a datagram with an Initial (RFC 9000, 14.1)
QUIET_PERIOD_S = 0.35  # after which a server that has not answered is not going to
WAIT_TIMEOUT_S = 4.0  # for an answer that is required
MIN_STATELESS_RESET_LENGTH = 21  # octets (RFC 9000, 10.3)
RESET_TOKEN_LENGTH = 16
MAX_DATAGRAM_LENGTH = 65536
Address = tuple[str, int]


class NoResponseError(AssertionError):
    """An answer that is required did not come in time."""


def varint(value: int) -> bytes:
    """An integer in QUIC's variable length (RFC 9000, 16)."""
    buffer = Buffer(capacity=8)
    buffer.push_uint_var(value)
    return buffer.data


class ScriptedConnection(QuicConnection):
    """A connection that also sends the frames and transport parameters that it is given.

    `frames`, as type and body, go out in the next packet under application keys; `parameters` follow those
    of aioquic.
    """

    def __init__(self, configuration: QuicConfiguration, parameters: bytes = b"") -> None:
        super().__init__(configuration=configuration)
        self.frames: list[tuple[int, bytes]] = []
        self.parameters = parameters
        self.responses: list[bytes] = []  # data of received PATH_RESPONSE frames
        self.tokens: list[bytes] = []  # of received NEW_TOKEN frames
        self._token_handler = self.tokens.append

    def _write_connection_limits(self, builder: Any, space: Any) -> None:
        while self.frames:
            kind, body = self.frames[0]
            frame = builder.start_frame(kind, capacity=8 + len(body))
            frame.push_bytes(body)
            self.frames.pop(0)
        super()._write_connection_limits(builder, space)

    def _serialize_transport_parameters(self) -> bytes:
        return super()._serialize_transport_parameters() + self.parameters

    def _handle_path_response_frame(self, context: Any, frame_type: int, buf: Buffer) -> None:
        at = buf.tell()
        self.responses.append(buf.data_slice(at, at + 8))
        buf.seek(at + 8)


class ScriptedClient:
    """One connection to the server under test; with `connect`, its constructor awaits the handshake."""

    def __init__(
        self,
        server: Address,
        alpn: str,
        version: int | None = None,
        parameters: bytes = b"",
        token: bytes = b"",
        connect: bool = True,
    ) -> None:
        self.server = server
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=[alpn], verify_mode=ssl.CERT_NONE, token=token
        )
        if version is not None:
            configuration.original_version = version
            configuration.supported_versions = [version]
        self.quic = ScriptedConnection(configuration, parameters)
        self.socket = self.open_socket()
        self.stream_data: dict[int, bytes] = {}
        self.ended_streams: set[int] = set()
        self.error_codes: dict[int, int] = {}  # of STOP_SENDING and RESET_STREAM, by stream
        self.handshake_completed = False
        self.reset_received = False
        self.octets_sent = self.octets_received = 0
        self.received_datagrams: list[bytes] = []  # all of them, as they came
        self.quic.connect(server, now=time.time())
        if connect:
            # Confirmed, as before that a client must not change its address (RFC 9000, 9; 9001, 4.1.2).
            self.wait_until(self.is_handshake_confirmed, "a handshake")

    def is_handshake_confirmed(self) -> bool:
        """Whether the handshake is complete, and confirmed by the server."""
        return self.handshake_completed and self.quic._handshake_confirmed

    @staticmethod
    def open_socket() -> socket.socket:
        """A datagram socket on loopback."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        return sock

    def close(self) -> None:
        """Close the connection with a CONNECTION_CLOSE frame."""
        self.quic.close()
        self.flush()
        self.socket.close()

    def change_address(self, new_id: bool = True) -> None:
        """Continue from another port: a migration, or without `new_id` a NAT rebinding."""
        self.socket.close()
        self.socket = self.open_socket()
        if new_id:
            self.quic.change_connection_id()

    @property
    def termination(self) -> events.ConnectionTerminated | None:
        """How the connection was closed, by either side; None while it is open."""
        return self.quic._close_event

    def flush(self) -> list[bytes]:
        """Send the datagrams that are due, and return them."""
        datagrams = [data for data, _ in self.quic.datagrams_to_send(now=time.time())]
        for data in datagrams:
            self.send_datagram(data)
        return datagrams

    def send_datagram(self, data: bytes) -> None:
        """Send one datagram as it is."""
        self.octets_sent += len(data)
        self.socket.sendto(data, self.server)

    def receive(self, wait: float) -> bytes | None:
        """The next datagram, unprocessed; None where none comes within `wait` seconds."""
        if not select.select([self.socket], [], [], max(0.0, wait))[0]:
            return None
        data = self.socket.recv(MAX_DATAGRAM_LENGTH)
        self.octets_received += len(data)
        self.received_datagrams.append(data)
        if len(data) >= MIN_STATELESS_RESET_LENGTH and data[-RESET_TOKEN_LENGTH:] in self._reset_tokens():
            self.reset_received = True
        return data

    def _reset_tokens(self) -> set[bytes]:
        known = (self.quic._peer_cid, *self.quic._peer_cid_available)
        return {cid.stateless_reset_token for cid in known} - {b"", None}

    def process_once(self, wait: float = 0.01) -> None:
        """Send what is due, and process one datagram, the timer and the events that follow."""
        self.flush()
        data = self.receive(wait)
        if data is not None and not self.reset_received:
            self.quic.receive_datagram(data, self.server, now=time.time())
        at = self.quic.get_timer()
        if at is not None and at <= time.time():
            self.quic.handle_timer(now=time.time())
        self._process_events()

    def _process_events(self) -> None:
        while (event := self.quic.next_event()) is not None:
            match event:
                case events.HandshakeCompleted():
                    self.handshake_completed = True
                case events.StreamDataReceived():
                    received = self.stream_data.get(event.stream_id, b"")
                    self.stream_data[event.stream_id] = received + event.data
                    if event.end_stream:
                        self.ended_streams.add(event.stream_id)
                case events.StopSendingReceived() | events.StreamReset():
                    self.error_codes[event.stream_id] = event.error_code
                case _:
                    pass

    def wait_until(self, condition: Callable[[], object], what: str, within: float = WAIT_TIMEOUT_S) -> None:
        """Process until a condition holds; `NoResponseError`, which names `what`, after `within` seconds."""
        deadline = time.monotonic() + within
        while not condition():
            if time.monotonic() >= deadline:
                raise NoResponseError(f"{what} did not come within {within:g} s")
            self.process_once()

    def run_for(self, duration: float = QUIET_PERIOD_S) -> None:
        """Process whatever comes, for so many seconds."""
        end = time.monotonic() + duration
        while time.monotonic() < end:
            self.process_once()

    def send_frame(self, kind: int, *numbers: int, tail: bytes = b"") -> None:
        """Send a frame of that type: variable-length integers, then `tail`."""
        self.quic.frames.append((kind, b"".join(varint(n) for n in numbers) + tail))
        self.quic.send_ping(secrets.randbelow(1 << 30))  # so that a packet is due
        self.flush()

    def exchange_line(self, line: bytes, stream: int = 0) -> bytes:
        """Send a line on a stream; what the server answers there, up to a line's end or more."""
        before = len(self.stream_data.get(stream, b""))
        self.quic.send_stream_data(stream, line)
        self.wait_until(lambda: b"\n" in self.stream_data.get(stream, b"")[before:], "an answer")
        return self.stream_data[stream][before:]

    def is_alive(self) -> bool:
        """Whether the server still answers on the connection; `NoResponseError` where it says nothing."""
        return self.exchange_line(b"PING\r\n").endswith(b"\r\n")

    def expect_close(self, code: int) -> None:
        """Wait until the server closes the connection, and hold it to that transport error."""
        self.wait_until(lambda: self.termination is not None, f"a close with 0x{code:x}")
        assert self.termination is not None
        if self.termination.frame_type is None:
            raise AssertionError(f"closed by the application, with 0x{self.termination.error_code:x}")
        if self.termination.error_code != code:
            raise AssertionError(f"closed with 0x{self.termination.error_code:x}, not 0x{code:x}")


def exchange_datagram(server: Address, data: bytes, wait: float = QUIET_PERIOD_S) -> list[bytes]:
    """Send a datagram from a new address; the datagrams that come back within `wait` seconds."""
    with ScriptedClient.open_socket() as sock:
        sock.sendto(data, server)
        answers = []
        deadline = time.monotonic() + wait
        while (remaining := deadline - time.monotonic()) > 0:
            if select.select([sock], [], [], remaining)[0]:
                answers.append(sock.recv(MAX_DATAGRAM_LENGTH))
        return answers


def client_initial(server: Address, alpn: str, **options: Any) -> bytes:
    """A valid first datagram of a connection, built and not sent."""
    client = ScriptedClient(server, alpn, connect=False, **options)
    (data, _), *_ = client.quic.datagrams_to_send(now=time.time())
    client.socket.close()
    return data
