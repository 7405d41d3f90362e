"""A client that can misbehave: aioquic's packets and crypto, with frames and parameters of our own choice.

One thread, one socket, no loop: a case says what is sent, and waits for what it is about.
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

MIN_INITIAL_DATAGRAM_LENGTH = 1200  # octets of a datagram with an Initial
QUIET_PERIOD_S = 0.35  # s in which a server that was going to answer has done so
WAIT_TIMEOUT_S = 4.0  # s for what must come
Address = tuple[str, int]


class NoResponseError(AssertionError):
    """What had to come did not."""


def varint(value: int) -> bytes:
    """An integer in QUIC's variable length (RFC 9000, 16)."""
    buffer = Buffer(capacity=8)
    buffer.push_uint_var(value)
    return buffer.data


class ScriptedConnection(QuicConnection):
    """`frames` go out in the next packet under application keys; `parameters` after the client's own."""

    def __init__(self, configuration: QuicConfiguration, parameters: bytes = b"") -> None:
        super().__init__(configuration=configuration)
        self.frames: list[tuple[int, bytes]] = []
        self.parameters = parameters
        self.responses: list[bytes] = []  # data of PATH_RESPONSE frames that came
        self.tokens: list[bytes] = []  # of NEW_TOKEN frames
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
    """One connection to the server under test."""

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
        self.received_datagrams: list[bytes] = []  # datagrams that came
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
        """End the connection, and say so."""
        self.quic.close()
        self.flush()
        self.socket.close()

    def change_address(self, new_id: bool = True) -> None:
        """To another address, as a phone on another network."""
        self.socket.close()
        self.socket = self.open_socket()
        if new_id:
            self.quic.change_connection_id()

    @property
    def termination(self) -> events.ConnectionTerminated | None:
        """How the connection was ended; None while it was not."""
        return self.quic._close_event

    def flush(self) -> list[bytes]:
        """Send what is due; the datagrams."""
        out = [data for data, _ in self.quic.datagrams_to_send(now=time.time())]
        for data in out:
            self.send_datagram(data)
        return out

    def send_datagram(self, data: bytes) -> None:
        """Send one datagram as it is."""
        self.octets_sent += len(data)
        self.socket.sendto(data, self.server)

    def receive(self, wait: float) -> bytes | None:
        """The next datagram, as it is."""
        if not select.select([self.socket], [], [], max(0.0, wait))[0]:
            return None
        data = self.socket.recv(65536)
        self.octets_received += len(data)
        self.received_datagrams.append(data)
        known = (self.quic._peer_cid, *self.quic._peer_cid_available)
        if len(data) >= 21 and data[-16:] in {i.stateless_reset_token for i in known} - {b"", None}:
            self.reset_received = True
        return data

    def process_once(self, wait: float = 0.01) -> None:
        """Send what is due, and take in one datagram."""
        self.flush()
        data = self.receive(wait)
        if data is not None and not self.reset_received:
            self.quic.receive_datagram(data, self.server, now=time.time())
        at = self.quic.get_timer()
        if at is not None and at <= time.time():
            self.quic.handle_timer(now=time.time())
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
        """Wait for something; `NoResponseError` when it has not come in time."""
        end = time.monotonic() + within
        while not condition():
            if time.monotonic() >= end:
                raise NoResponseError(f"{what} did not come within {within:g} s")
            self.process_once()

    def run_for(self, duration: float = QUIET_PERIOD_S) -> None:
        """Go on for so many seconds, whatever comes."""
        end = time.monotonic() + duration
        while time.monotonic() < end:
            self.process_once()

    def send_frame(self, kind: int, *numbers: int, tail: bytes = b"") -> None:
        """A frame of integers, with what follows them."""
        self.quic.frames.append((kind, b"".join(varint(n) for n in numbers) + tail))
        self.quic.send_ping(secrets.randbelow(1 << 30))  # something to carry it
        self.flush()

    def exchange_line(self, line: bytes, stream: int = 0) -> bytes:
        """A line, and what comes back."""
        before = len(self.stream_data.get(stream, b""))
        self.quic.send_stream_data(stream, line)
        self.wait_until(lambda: b"\n" in self.stream_data.get(stream, b"")[before:], "an answer")
        return self.stream_data[stream][before:]

    def is_alive(self) -> bool:
        """Whether the connection still serves."""
        return self.exchange_line(b"PING\r\n").endswith(b"\r\n")

    def expect_close(self, code: int) -> None:
        """The server ends the connection with that transport error."""
        self.wait_until(lambda: self.termination is not None, f"a close with 0x{code:x}")
        assert self.termination is not None
        if self.termination.frame_type is None:
            raise AssertionError(f"closed by the application, with 0x{self.termination.error_code:x}")
        if self.termination.error_code != code:
            raise AssertionError(f"closed with 0x{self.termination.error_code:x}, not 0x{code:x}")


def exchange_datagram(server: Address, data: bytes, wait: float = QUIET_PERIOD_S) -> list[bytes]:
    """What a datagram from a fresh address brings."""
    with ScriptedClient.open_socket() as sock:
        sock.sendto(data, server)
        found, end = [], time.monotonic() + wait
        while (left := end - time.monotonic()) > 0:
            if select.select([sock], [], [], left)[0]:
                found.append(sock.recv(65536))
        return found


def client_initial(server: Address, alpn: str, **options: Any) -> bytes:
    """A sound first datagram, not sent."""
    client = ScriptedClient(server, alpn, connect=False, **options)
    (data, _), *_ = client.quic.datagrams_to_send(now=time.time())
    client.socket.close()
    return data
