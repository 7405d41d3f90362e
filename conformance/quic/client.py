"""A client that can violate the protocol: aioquic's packets and cryptography, frames chosen by a case.

The client is synchronous and has one socket: a case sends packets and waits for the answers that it checks.
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
QUIET_PERIOD_S = 0.35  # a server that has not answered within this time counts as silent
WAIT_TIMEOUT_S = 4.0  # time limit for a required answer
MIN_STATELESS_RESET_LENGTH = 21  # octets (RFC 9000, 10.3)
RESET_TOKEN_LENGTH = 16  # octets
MAX_DATAGRAM_LENGTH = 65536  # octets
Address = tuple[str, int]


class NoResponseError(AssertionError):
    """A required answer did not arrive in time."""


def varint(value: int) -> bytes:
    """Encode an integer with variable length (RFC 9000, 16)."""
    buffer = Buffer(capacity=8)
    buffer.push_uint_var(value)
    return buffer.data


class ScriptedConnection(QuicConnection):
    """A connection that also sends arbitrary frames and transport parameters.

    `frames`, pairs of type and body, are sent in the next packet with application keys. The encoded transport
    `parameters` are appended to those of aioquic.
    """

    def __init__(self, configuration: QuicConfiguration, parameters: bytes = b"") -> None:
        super().__init__(configuration=configuration)
        self.frames: list[tuple[int, bytes]] = []
        self.parameters = parameters
        self.responses: list[bytes] = []  # data of received PATH_RESPONSE frames
        self.tokens: list[bytes] = []  # tokens of received NEW_TOKEN frames
        self._token_handler = self.tokens.append

    def _write_connection_limits(self, builder: Any, space: Any) -> None:
        while self.frames:
            frame_type, body = self.frames[0]
            frame = builder.start_frame(frame_type, capacity=8 + len(body))
            frame.push_bytes(body)
            self.frames.pop(0)
        super()._write_connection_limits(builder, space)

    def _serialize_transport_parameters(self) -> bytes:
        return super()._serialize_transport_parameters() + self.parameters

    def _handle_path_response_frame(self, context: Any, frame_type: int, buf: Buffer) -> None:
        offset = buf.tell()
        self.responses.append(buf.data_slice(offset, offset + 8))
        buf.seek(offset + 8)


class ScriptedClient:
    """One connection to the server under test; with `connect`, the constructor waits for the handshake."""

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
        self.error_codes: dict[int, int] = {}  # error codes of STOP_SENDING and RESET_STREAM by stream
        self.handshake_completed = False
        self.reset_received = False
        self.octets_sent = self.octets_received = 0
        self.received_datagrams: list[bytes] = []  # all datagrams, in order of arrival
        self.quic.connect(server, now=time.time())
        if connect:
            # Waits until the handshake is confirmed: a client must not change its address before that
            # (RFC 9000, 9; 9001, 4.1.2).
            self.wait_until(self.is_handshake_confirmed, "a handshake")

    def is_handshake_confirmed(self) -> bool:
        """Whether the handshake is complete and the server has confirmed it."""
        return self.handshake_completed and self.quic._handshake_confirmed

    @staticmethod
    def open_socket() -> socket.socket:
        """Return a UDP socket bound to a free loopback port."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        return sock

    def close(self) -> None:
        """Close the connection with a CONNECTION_CLOSE frame."""
        self.quic.close()
        self.flush()
        self.socket.close()

    def change_address(self, new_id: bool = True) -> None:
        """Continue from another port: a migration with a new connection id, or without it a NAT rebinding."""
        self.socket.close()
        self.socket = self.open_socket()
        if new_id:
            self.quic.change_connection_id()

    @property
    def termination(self) -> events.ConnectionTerminated | None:
        """The event of the connection's close, by either side; None while it is open."""
        return self.quic._close_event

    def flush(self) -> list[bytes]:
        """Send pending datagrams and return them."""
        datagrams = [data for data, _ in self.quic.datagrams_to_send(now=time.time())]
        for data in datagrams:
            self.send_datagram(data)
        return datagrams

    def send_datagram(self, data: bytes) -> None:
        """Send one datagram unchanged."""
        self.octets_sent += len(data)
        self.socket.sendto(data, self.server)

    def receive(self, wait: float) -> bytes | None:
        """Return the next datagram without processing it; None if none arrives within `wait` seconds."""
        if not select.select([self.socket], [], [], max(0.0, wait))[0]:
            return None
        data = self.socket.recv(MAX_DATAGRAM_LENGTH)
        self.octets_received += len(data)
        self.received_datagrams.append(data)
        if len(data) >= MIN_STATELESS_RESET_LENGTH and data[-RESET_TOKEN_LENGTH:] in self._reset_tokens():
            self.reset_received = True
        return data

    def _reset_tokens(self) -> set[bytes]:
        server_ids = (self.quic._peer_cid, *self.quic._peer_cid_available)
        return {cid.stateless_reset_token for cid in server_ids} - {b"", None}

    def process_once(self, wait: float = 0.01) -> None:
        """Send pending datagrams, then process one datagram, the timer and the resulting events."""
        self.flush()
        data = self.receive(wait)
        if data is not None and not self.reset_received:
            self.quic.receive_datagram(data, self.server, now=time.time())
        timer_due_at = self.quic.get_timer()
        if timer_due_at is not None and timer_due_at <= time.time():
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

    def wait_until(
        self, condition: Callable[[], object], description: str, within: float = WAIT_TIMEOUT_S
    ) -> None:
        """Process datagrams until a condition holds.

        Raises:
            NoResponseError: if the condition does not hold within `within` seconds; it names `description`.
        """
        deadline = time.monotonic() + within
        while not condition():
            if time.monotonic() >= deadline:
                raise NoResponseError(f"{description} did not arrive within {within:g} s")
            self.process_once()

    def run_for(self, duration: float = QUIET_PERIOD_S) -> None:
        """Process datagrams for `duration` seconds."""
        end = time.monotonic() + duration
        while time.monotonic() < end:
            self.process_once()

    def send_frame(self, frame_type: int, *numbers: int, tail: bytes = b"") -> None:
        """Send a frame whose body is variable-length integers followed by `tail`."""
        self.quic.frames.append((frame_type, b"".join(varint(number) for number in numbers) + tail))
        self.quic.send_ping(secrets.randbelow(1 << 30))  # makes a packet due, which carries the frame
        self.flush()

    def exchange_line(self, line: bytes, stream: int = 0) -> bytes:
        """Send a line on a stream and return the data that the server sends there, at least one line."""
        before = len(self.stream_data.get(stream, b""))
        self.quic.send_stream_data(stream, line)
        self.wait_until(lambda: b"\n" in self.stream_data.get(stream, b"")[before:], "an answer")
        return self.stream_data[stream][before:]

    def is_alive(self) -> bool:
        """Whether the server answers a PING line with a whole line.

        Raises:
            NoResponseError: if the server does not answer.
        """
        return self.exchange_line(b"PING\r\n").endswith(b"\r\n")

    def expect_close(self, code: int) -> None:
        """Wait until the server closes the connection, and check its transport error code.

        Raises:
            AssertionError: if the connection is closed by the application or with another code.
            NoResponseError: if the connection is not closed.
        """
        self.wait_until(lambda: self.termination is not None, f"a close with 0x{code:x}")
        assert self.termination is not None
        if self.termination.frame_type is None:
            raise AssertionError(f"closed by the application with 0x{self.termination.error_code:x}")
        if self.termination.error_code != code:
            raise AssertionError(f"closed with 0x{self.termination.error_code:x}, expected 0x{code:x}")


def exchange_datagram(server: Address, data: bytes, wait: float = QUIET_PERIOD_S) -> list[bytes]:
    """Send a datagram from a new address and return the datagrams received within `wait` seconds."""
    with ScriptedClient.open_socket() as sock:
        sock.sendto(data, server)
        answers = []
        deadline = time.monotonic() + wait
        while (remaining := deadline - time.monotonic()) > 0:
            if select.select([sock], [], [], remaining)[0]:
                answers.append(sock.recv(MAX_DATAGRAM_LENGTH))
        return answers


def client_initial(server: Address, alpn: str, **options: Any) -> bytes:
    """Return a valid first datagram of a connection, which is not sent."""
    client = ScriptedClient(server, alpn, connect=False, **options)
    (data, _), *_ = client.quic.datagrams_to_send(now=time.time())
    client.socket.close()
    return data
