"""Authentication and message framing of one end of a link. No I/O.

Each side first sends a `Hello` and then a `Proof`: an HMAC-SHA256, keyed with the cluster's secret, over both
hellos. The nonce in each hello prevents replays. Every later frame carries a keyed BLAKE2b checksum over its
sequence number and body, so a corrupted, duplicated, missing or reordered frame ends the link.

    hello, proof:  length (4 bytes) body
    afterwards:    length (4 bytes) checksum (16 bytes) body

Bodies are msgpack. Frames are not encrypted, so links are restricted to loopback addresses. TLS, once it is
added, belongs in the layer below.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Callable
from enum import Enum, auto
from typing import Any

import msgspec

from gradegap.raft import Member
from gradegap.store.errors import LinkError
from gradegap.store.leases import DEFAULT_LEASE_S
from gradegap.store.wire import (
    IN_FORCE_TAG,
    Hello,
    LinkMessage,
    LinkRejected,
    Proof,
    decode_message,
    encode_message,
)

PROTOCOL_VERSION = 1
LENGTH_BYTES = 4
CHECKSUM_BYTES = 16
NONCE_BYTES = 16
MAX_HELLO_BYTES = 2048  # limit on the body of a frame before the link is authenticated
MAX_FRAME_BYTES = 2 * 1024 * 1024  # limit on the body of a frame on an authenticated link
MEMBER_KIND = "member"  # `Hello.kind` of a member of the cluster


def mac_of_parts(secret: bytes, *parts: bytes) -> bytes:
    """Returns the HMAC-SHA256 over length-prefixed parts, so that different lists of parts never collide."""
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.hmac import HMAC

    mac = HMAC(secret or b"\0", hashes.SHA256())
    for part in parts:
        mac.update(len(part).to_bytes(4, "big") + part)
    return mac.finalize()


class HandshakePhase(Enum):
    """The handshake message that is expected next, or the end of the handshake."""

    AWAITING_HELLO = auto()
    AWAITING_PROOF = auto()
    AUTHENTICATED = auto()


class LinkChannel:
    """One end of a link, which converts between bytes and messages.

    `hello` is the hello of this end, `peer_hello` the hello of the other end once it was received.
    """

    def __init__(
        self,
        secret: bytes,
        hello: Hello,
        is_dialer: bool,
        decode: Callable[[bytes], Any] = decode_message,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        """Create one end of a link.

        `decode` decodes the bodies of frames on the authenticated link, and `max_frame_bytes` limits their
        size in both directions.
        """
        self.secret = secret
        self.decode = decode
        self.max_frame_bytes = max_frame_bytes
        self.hello = hello
        self.is_dialer = is_dialer
        self.peer_hello: Hello | None = None
        self._phase = HandshakePhase.AWAITING_HELLO
        self.buffer = bytearray()
        self._send_key = self._receive_key = b""
        self._sent_frames = self._received_frames = 0
        self._own_hello_body = encode_message(hello)
        self._peer_hello_body = b""

    @classmethod
    def open(
        cls,
        secret: bytes,
        kind: str,
        is_dialer: bool,
        member: Member | None = None,
        cluster: str = "",
        lease_s: float = DEFAULT_LEASE_S,
        decode: Callable[[bytes], Any] = decode_message,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> LinkChannel:
        """Create a channel with a new nonce. `member` is None for clients, which have no member id."""
        hello = Hello(PROTOCOL_VERSION, kind, secrets.token_bytes(NONCE_BYTES))
        if member is not None:
            hello = msgspec.structs.replace(
                hello,
                id=member.id,
                name=member.name,
                address=member.address,
                cluster=cluster,
                lease_s=lease_s,
                readable_requests=(IN_FORCE_TAG,),
            )
        return cls(secret, hello, is_dialer, decode, max_frame_bytes)

    @property
    def authenticated(self) -> bool:
        """Whether the other side has proven knowledge of the cluster's secret."""
        return self._phase is HandshakePhase.AUTHENTICATED

    # Sending

    def begin(self) -> bytes:
        """Returns the frame with this end's hello, which are the first bytes that this end sends."""
        return _plain_frame(self._own_hello_body)

    def send(self, message: msgspec.Struct) -> bytes:
        """Returns one frame with `message`."""
        return self.send_encoded(encode_message(message))

    def send_encoded(self, body: bytes) -> bytes:
        """Returns one frame with an encoded body, which may be shared by several links.

        Raises:
            ValueError: The body exceeds `max_frame_bytes`.
        """
        if len(body) > self.max_frame_bytes:
            raise ValueError(f"frame of {len(body)} bytes exceeds the limit")
        checksum = frame_checksum(self._send_key, self._sent_frames, body)
        self._sent_frames += 1
        return len(body).to_bytes(LENGTH_BYTES, "big") + checksum + body

    def reject(self, reason: str) -> bytes:
        """Returns the last frame on a link that is rejected; empty if the link is authenticated."""
        return b"" if self.authenticated else _plain_frame(encode_message(LinkRejected(reason)))

    # Receiving

    def receive(self, data: bytes) -> tuple[list[Any], bytes]:
        """Process received bytes; returns complete messages and the bytes to send in reply.

        Raises:
            LinkError: The other side was rejected, rejected this one or sent invalid data; the link must end.
        """
        self.buffer += data
        messages: list[Any] = []
        reply = b""
        while (body := self._take_frame()) is not None:
            if not self.authenticated:
                reply += self._handshake(_decode(decode_message, body), body)
                continue
            message = _decode(self.decode, body)
            if isinstance(message, Hello | Proof):
                raise LinkError("garbled: handshake message on an authenticated link")
            messages.append(message)
        return messages, reply

    def _take_frame(self) -> bytes | None:
        authenticated = self.authenticated
        header = LENGTH_BYTES + (CHECKSUM_BYTES if authenticated else 0)
        if len(self.buffer) < header:
            return None
        size = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
        if size > (self.max_frame_bytes if authenticated else MAX_HELLO_BYTES):
            # Protects memory against an invalid length: the body is not buffered.
            raise LinkError(f"garbled: frame of {size} bytes exceeds the limit")
        if len(self.buffer) < header + size:
            return None
        body = bytes(self.buffer[header : header + size])
        if authenticated:
            checksum = bytes(self.buffer[LENGTH_BYTES:header])
            if not hmac.compare_digest(
                checksum, frame_checksum(self._receive_key, self._received_frames, body)
            ):
                raise LinkError("garbled: frame checksum mismatch")
            self._received_frames += 1
        del self.buffer[: header + size]
        return body

    # Handshake

    def _handshake(self, message: LinkMessage, body: bytes) -> bytes:
        """Handle the other side's next handshake message; returns the bytes to send in reply."""
        match message:
            case LinkRejected():
                raise LinkError(f"turned: {message.reason}")
            case Hello() if self._phase is HandshakePhase.AWAITING_HELLO:
                return self._receive_hello(message, body)
            case Proof() if self._phase is HandshakePhase.AWAITING_PROOF:
                return self._receive_proof(message)
        raise LinkError("garbled: unexpected message during the handshake")

    def _receive_hello(self, hello: Hello, body: bytes) -> bytes:
        if hello.version != PROTOCOL_VERSION:
            raise LinkError(
                f"version: the other side has protocol version {hello.version}, this one {PROTOCOL_VERSION}"
            )
        if len(hello.nonce) != NONCE_BYTES or hello.nonce == self.hello.nonce:
            # An equal nonce means that this end's own hello was reflected.
            raise LinkError("garbled: invalid nonce")
        self.peer_hello = hello
        self._peer_hello_body = body
        self._phase = HandshakePhase.AWAITING_PROOF
        # The acceptor sends its proof only after it has verified the dialer's. A dialer without the secret
        # thus obtains no HMAC under it, and its failed attempt is counted at the acceptor.
        return self._proof(b"dialer") if self.is_dialer else self.begin()

    def _receive_proof(self, proof: Proof) -> bytes:
        peer_role = b"acceptor" if self.is_dialer else b"dialer"
        if not hmac.compare_digest(proof.mac, self._mac(peer_role)):
            raise LinkError("secret: the other side does not have this cluster's secret")
        assert self.peer_hello is not None
        self._check_membership(self.peer_hello)
        dialer_key, acceptor_key = self._mac(b"keys dialer"), self._mac(b"keys acceptor")
        keys = (dialer_key, acceptor_key) if self.is_dialer else (acceptor_key, dialer_key)
        self._send_key, self._receive_key = keys
        self._phase = HandshakePhase.AUTHENTICATED
        return b"" if self.is_dialer else self._proof(b"acceptor")

    def _check_membership(self, peer: Hello) -> None:
        own = self.hello
        if peer.kind != MEMBER_KIND:
            return
        if own.cluster and peer.cluster and own.cluster != peer.cluster:
            raise LinkError("cluster: the other side belongs to another cluster")
        if own.kind == MEMBER_KIND and own.lease_s != peer.lease_s:
            # A leader with a shorter lease would consider the leases of other members expired too early.
            raise LinkError(
                f"lease: the other member has lease_s = {peer.lease_s:g}, this one {own.lease_s:g}; "
                "set the same value at all members"
            )

    def _proof(self, role: bytes) -> bytes:
        return _plain_frame(encode_message(Proof(self._mac(role))))

    def _mac(self, role: bytes) -> bytes:
        """Returns the HMAC over `role` and both hellos, the dialer's first."""
        hellos = (self._own_hello_body, self._peer_hello_body)
        return mac_of_parts(self.secret, role, *(hellos if self.is_dialer else reversed(hellos)))


def _decode(decode: Callable[[bytes], Any], body: bytes) -> Any:
    try:
        return decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise LinkError(f"garbled: {error}") from None


def _plain_frame(body: bytes) -> bytes:
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def frame_checksum(key: bytes, number: int, body: bytes) -> bytes:
    """Returns the checksum of frame `number` (from 0) of one direction of a link."""
    checksum = hashlib.blake2b(number.to_bytes(8, "big"), digest_size=CHECKSUM_BYTES, key=key)
    checksum.update(body)
    return checksum.digest()
