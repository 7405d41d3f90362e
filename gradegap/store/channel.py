"""One end of a link: how it is authenticated, and how messages are framed. No I/O.

A link begins with a `Hello` from each side and a `Proof`: an HMAC-SHA256 under the cluster's secret over both
hellos, each with a nonce, so that neither can be replayed. From then on each frame carries a keyed BLAKE2b
checksum over its number and body: what is garbled, doubled, left out or out of order ends the link.

    hello, proof:  length (4 bytes) body
    afterwards:    length (4 bytes) checksum (16 bytes) body

Bodies are msgpack. Nothing is encrypted: links stay on loopback until TLS comes, whose place is below this.
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
MAX_HELLO_BYTES = 2048  # of a frame before the link is authenticated
MAX_FRAME_BYTES = 2 * 1024 * 1024  # of a frame afterwards
MEMBER = "member"  # the kind of end that a `Hello` names, where it is a member of the cluster


def mac_of_parts(secret: bytes, *parts: bytes) -> bytes:
    """HMAC-SHA256 over parts, each with its length, so that no two lists of parts look alike."""
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.hmac import HMAC

    mac = HMAC(secret or b"\0", hashes.SHA256())
    for part in parts:
        mac.update(len(part).to_bytes(4, "big") + part)
    return mac.finalize()


class HandshakePhase(Enum):
    """What the other side has shown so far."""

    HELLO_WANTED = auto()
    PROOF_WANTED = auto()
    AUTHENTICATED = auto()


class LinkChannel:
    """One end of a link: bytes in, messages out; messages in, bytes out.

    `hello` is this end's; `peer_hello` the other's once it came.
    """

    def __init__(
        self,
        secret: bytes,
        hello: Hello,
        is_dialer: bool,
        decode: Callable[[bytes], Any] = decode_message,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        """`decode` reads the bodies of an authenticated link; `max_frame_bytes` bounds them, either way."""
        self.secret = secret
        self.decode = decode
        self.max_frame_bytes = max_frame_bytes
        self.hello = hello
        self.is_dialer = is_dialer
        self.peer_hello: Hello | None = None
        self._phase = HandshakePhase.HELLO_WANTED
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
        """A channel with a new nonce. A client has no identity: `member` is none."""
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
        """Whether the other side has proven that it knows the secret."""
        return self._phase is HandshakePhase.AUTHENTICATED

    # Out

    def begin(self) -> bytes:
        """What this end sends first."""
        return _plain_frame(self._own_hello_body)

    def send(self, message: msgspec.Struct) -> bytes:
        """One frame with a message."""
        return self.send_encoded(encode_message(message))

    def send_encoded(self, body: bytes) -> bytes:
        """One frame with a body that is encoded already, once for all links that it is sent on."""
        if len(body) > self.max_frame_bytes:
            raise ValueError(f"a frame of {len(body)} bytes")
        checksum = frame_checksum(self._send_key, self._sent_frames, body)
        self._sent_frames += 1
        return len(body).to_bytes(LENGTH_BYTES, "big") + checksum + body

    def reject(self, reason: str) -> bytes:
        """The last frame on a link that was not authenticated."""
        return b"" if self.authenticated else _plain_frame(encode_message(LinkRejected(reason)))

    # In

    def receive(self, data: bytes) -> tuple[list[Any], bytes]:
        """The messages that are complete by now, and what to send at once; `LinkError` ends the link."""
        self.buffer += data
        messages: list[Any] = []
        reply = b""
        while (body := self._take_frame()) is not None:
            if not self.authenticated:
                reply += self._handshake(_decode(decode_message, body), body)
                continue
            message = _decode(self.decode, body)
            if isinstance(message, Hello | Proof):
                raise LinkError("garbled: a second beginning")
            messages.append(message)
        return messages, reply

    def _take_frame(self) -> bytes | None:
        authenticated = self.authenticated
        header = LENGTH_BYTES + (CHECKSUM_BYTES if authenticated else 0)
        if len(self.buffer) < header:
            return None
        size = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
        if size > (self.max_frame_bytes if authenticated else MAX_HELLO_BYTES):
            # Guards memory against a length that is none: nothing of it is waited for.
            raise LinkError(f"garbled: a frame of {size} bytes")
        if len(self.buffer) < header + size:
            return None
        body = bytes(self.buffer[header : header + size])
        if authenticated:
            checksum = bytes(self.buffer[LENGTH_BYTES:header])
            if not hmac.compare_digest(
                checksum, frame_checksum(self._receive_key, self._received_frames, body)
            ):
                raise LinkError("garbled: the sum of a frame is wrong")
            self._received_frames += 1
        del self.buffer[: header + size]
        return body

    # The handshake

    def _handshake(self, message: LinkMessage, body: bytes) -> bytes:
        """Take the other side's next step; what this end answers."""
        match message:
            case LinkRejected():
                raise LinkError(f"turned: {message.reason}")
            case Hello() if self._phase is HandshakePhase.HELLO_WANTED:
                return self._receive_hello(message, body)
            case Proof() if self._phase is HandshakePhase.PROOF_WANTED:
                return self._receive_proof(message)
        raise LinkError("garbled: it begins with something else")

    def _receive_hello(self, hello: Hello, body: bytes) -> bytes:
        if hello.version != PROTOCOL_VERSION:
            raise LinkError(f"version: the other side speaks {hello.version}, this one {PROTOCOL_VERSION}")
        if len(hello.nonce) != NONCE_BYTES or hello.nonce == self.hello.nonce:
            raise LinkError("garbled: no fit nonce")  # guards against one's own frames sent back
        self.peer_hello = hello
        self._peer_hello_body = body
        self._phase = HandshakePhase.PROOF_WANTED
        # Who accepts proves nothing before it was proven something: a stray learns nothing, and is seen.
        return self._proof(b"dialer") if self.is_dialer else self.begin()

    def _receive_proof(self, proof: Proof) -> bytes:
        peer_role = b"acceptor" if self.is_dialer else b"dialer"
        if not hmac.compare_digest(proof.mac, self._mac(peer_role)):
            raise LinkError("secret: the other side does not know the cluster's secret")
        assert self.peer_hello is not None
        self._check_membership(self.peer_hello)
        dialer_key, acceptor_key = self._mac(b"keys dialer"), self._mac(b"keys acceptor")
        keys = (dialer_key, acceptor_key) if self.is_dialer else (acceptor_key, dialer_key)
        self._send_key, self._receive_key = keys
        self._phase = HandshakePhase.AUTHENTICATED
        return b"" if self.is_dialer else self._proof(b"acceptor")

    def _check_membership(self, peer: Hello) -> None:
        own = self.hello
        if peer.kind != MEMBER:
            return
        if own.cluster and peer.cluster and own.cluster != peer.cluster:
            raise LinkError("cluster: the other side belongs to another cluster")
        if own.kind == MEMBER and own.lease_s != peer.lease_s:
            # Guards against a leader that takes leases of another length for over too early.
            raise LinkError(
                f"lease: the other member has lease_s = {peer.lease_s:g}, this one {own.lease_s:g}; "
                "give all members the same"
            )

    def _proof(self, role: bytes) -> bytes:
        return _plain_frame(encode_message(Proof(self._mac(role))))

    def _mac(self, role: bytes) -> bytes:
        """Over both hellos, the dialer's first."""
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
    """The checksum of the frame that is the `number`th of its direction."""
    checksum = hashlib.blake2b(number.to_bytes(8, "big"), digest_size=CHECKSUM_BYTES, key=key)
    checksum.update(body)
    return checksum.digest()
