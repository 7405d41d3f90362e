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

LEAST = 1200  # octets of a datagram with an Initial
QUIET = 0.35  # s in which a server that was going to answer has done so
PATIENCE = 4.0  # s for what must come
Address = tuple[str, int]


class NoResponseError(AssertionError):
    """What had to come did not."""


def varint(value: int) -> bytes:
    """An integer in QUIC's variable length (RFC 9000, 16)."""
    buf = Buffer(capacity=8)
    buf.push_uint_var(value)
    return buf.data


class Scripted(QuicConnection):
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


class Client:
    """One connection to the server under test."""

    def __init__(
        self,
        peer: Address,
        alpn: str,
        version: int | None = None,
        parameters: bytes = b"",
        token: bytes = b"",
        connect: bool = True,
    ) -> None:
        self.peer = peer
        made = QuicConfiguration(
            is_client=True, alpn_protocols=[alpn], verify_mode=ssl.CERT_NONE, token=token
        )
        if version is not None:
            made.original_version = version
            made.supported_versions = [version]
        self.quic = Scripted(made, parameters)
        self.sock = self.socket()
        self.data: dict[int, bytes] = {}
        self.ended: set[int] = set()
        self.codes: dict[int, int] = {}  # of STOP_SENDING and RESET_STREAM, by stream
        self.shook = False
        self.reset = False
        self.sent = self.received = 0  # octets
        self.seen: list[bytes] = []  # datagrams that came
        self.quic.connect(peer, now=time.time())
        if connect:
            # Confirmed, as before that a client must not change its address (RFC 9000, 9; 9001, 4.1.2).
            self.until(lambda: self.shook and self.quic._handshake_confirmed, "a handshake")

    @staticmethod
    def socket() -> socket.socket:
        """A datagram socket on loopback."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        return sock

    def close(self) -> None:
        """End the connection, and say so."""
        self.quic.close()
        self.flush()
        self.sock.close()

    def hop(self, new_id: bool = True) -> None:
        """To another address, as a phone on another network."""
        self.sock.close()
        self.sock = self.socket()
        if new_id:
            self.quic.change_connection_id()

    @property
    def closed(self) -> events.ConnectionTerminated | None:
        """How the connection was ended; None while it was not."""
        return self.quic._close_event

    def flush(self) -> list[bytes]:
        """Send what is due; the datagrams."""
        out = [data for data, _ in self.quic.datagrams_to_send(now=time.time())]
        for data in out:
            self.raw(data)
        return out

    def raw(self, data: bytes) -> None:
        """Send one datagram as it is."""
        self.sent += len(data)
        self.sock.sendto(data, self.peer)

    def hear(self, wait: float) -> bytes | None:
        """The next datagram, as it is."""
        if not select.select([self.sock], [], [], max(0.0, wait))[0]:
            return None
        data = self.sock.recv(65536)
        self.received += len(data)
        self.seen.append(data)
        known = (self.quic._peer_cid, *self.quic._peer_cid_available)
        if len(data) >= 21 and data[-16:] in {i.stateless_reset_token for i in known} - {b"", None}:
            self.reset = True
        return data

    def step(self, wait: float = 0.01) -> None:
        """Send what is due, and take in one datagram."""
        self.flush()
        data = self.hear(wait)
        if data is not None and not self.reset:
            self.quic.receive_datagram(data, self.peer, now=time.time())
        at = self.quic.get_timer()
        if at is not None and at <= time.time():
            self.quic.handle_timer(now=time.time())
        while (event := self.quic.next_event()) is not None:
            match event:
                case events.HandshakeCompleted():
                    self.shook = True
                case events.StreamDataReceived():
                    self.data[event.stream_id] = self.data.get(event.stream_id, b"") + event.data
                    if event.end_stream:
                        self.ended.add(event.stream_id)
                case events.StopSendingReceived() | events.StreamReset():
                    self.codes[event.stream_id] = event.error_code
                case _:
                    pass

    def until(self, true: Callable[[], object], what: str, within: float = PATIENCE) -> None:
        """Wait for something; `NoResponseError` when it has not come in time."""
        end = time.monotonic() + within
        while not true():
            if time.monotonic() >= end:
                raise NoResponseError(f"{what} did not come within {within:g} s")
            self.step()

    def for_a_while(self, length: float = QUIET) -> None:
        """Go on for so many seconds, whatever comes."""
        end = time.monotonic() + length
        while time.monotonic() < end:
            self.step()

    def frame(self, kind: int, *numbers: int, tail: bytes = b"") -> None:
        """A frame of integers, with what follows them."""
        self.quic.frames.append((kind, b"".join(varint(n) for n in numbers) + tail))
        self.quic.send_ping(secrets.randbelow(1 << 30))  # something to carry it
        self.flush()

    def answered(self, line: bytes, stream: int = 0) -> bytes:
        """A line, and what comes back."""
        before = len(self.data.get(stream, b""))
        self.quic.send_stream_data(stream, line)
        self.until(lambda: b"\n" in self.data.get(stream, b"")[before:], "an answer")
        return self.data[stream][before:]

    def alive(self) -> bool:
        """Whether the connection still serves."""
        return self.answered(b"PING\r\n").endswith(b"\r\n")

    def closed_with(self, code: int) -> None:
        """The server ends the connection with that transport error."""
        self.until(lambda: self.closed is not None, f"a close with 0x{code:x}")
        assert self.closed is not None
        if self.closed.frame_type is None:
            raise AssertionError(f"closed by the application, with 0x{self.closed.error_code:x}")
        if self.closed.error_code != code:
            raise AssertionError(f"closed with 0x{self.closed.error_code:x}, not 0x{code:x}")


def answers(peer: Address, data: bytes, wait: float = QUIET) -> list[bytes]:
    """What a datagram from a fresh address brings."""
    with Client.socket() as sock:
        sock.sendto(data, peer)
        found, end = [], time.monotonic() + wait
        while (left := end - time.monotonic()) > 0:
            if select.select([sock], [], [], left)[0]:
                found.append(sock.recv(65536))
        return found


def first_flight(peer: Address, alpn: str, **how: Any) -> bytes:
    """A sound first datagram, not sent."""
    client = Client(peer, alpn, connect=False, **how)
    (data, _), *_ = client.quic.datagrams_to_send(now=time.time())
    client.sock.close()
    return data
