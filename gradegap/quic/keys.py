"""The ring that QUIC's keys are made from: ids, stateless resets and address tokens. No I/O, no clock.

One secret for each configuration of ids; HKDF (RFC 5869) makes a key for each use of it, so that none tells
anything of another. The newest makes ids and tokens; those before it read them until they are retired.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import secrets

import msgspec

from gradegap.quic.ids import AES_KEY_LENGTH, UNROUTABLE_BITS, IdCodecs, IdConfiguration

RING_KEY = "keys/quic"  # the ring's key in the store
SECRET_LENGTH = 32  # octets
MAX_KEYS = UNROUTABLE_BITS - 1  # one value of the bits stays free for the next
RESET_TOKEN_LENGTH = 16  # octets of a reset token (RFC 9000, 10.3)
SERVER_ID_LENGTH = 4  # octets of a server id: node, process, core
NONCE_LENGTH = 12  # so that both fill one block of AES, and an id costs one pass


class RingKey(msgspec.Struct, frozen=True):
    """One secret of the ring, with the configuration bits of its ids."""

    bits: int
    secret: str  # base64
    made_ms: int = 0

    def octets(self) -> bytes:
        """The secret itself."""
        return base64.b64decode(self.secret)


class QuicRing(msgspec.Struct, frozen=True):
    """`keys/quic` of the store. The last one makes what is new."""

    keys: tuple[RingKey, ...] = ()

    def check(self) -> None:
        """`ValueError` for a ring that can't be used."""
        if not 0 < len(self.keys) <= MAX_KEYS or len({k.bits for k in self.keys}) != len(self.keys):
            raise ValueError(f"a ring has 1 to {MAX_KEYS} keys, each with bits of its own")
        for key in self.keys:
            try:
                good = 0 <= key.bits < UNROUTABLE_BITS and len(key.octets()) == SECRET_LENGTH
            except (ValueError, binascii.Error):
                good = False
            if not good:
                raise ValueError(f"the key with the bits {key.bits} is no key")

    def rotated(self, now_ms: int) -> QuicRing:
        """With a new key, which makes what is new; the oldest goes where there is no room."""
        kept = self.keys[-(MAX_KEYS - 1) :]
        used = {k.bits for k in kept}
        # Not the bits that were given up last: an id of theirs may still be under way.
        last = self.keys[-1].bits if self.keys else UNROUTABLE_BITS - 1
        bits = next(
            b for b in ((last + k) % UNROUTABLE_BITS for k in range(1, UNROUTABLE_BITS + 1)) if b not in used
        )
        made = RingKey(bits, base64.b64encode(secrets.token_bytes(SECRET_LENGTH)).decode(), now_ms)
        return QuicRing((*kept, made))

    def retired(self, bits: int) -> QuicRing:
        """Without what that key made. `ValueError` where it is not there, or makes what is new."""
        if bits not in {k.bits for k in self.keys}:
            raise ValueError(f"there is no key with the bits {bits}")
        if self.keys[-1].bits == bits:
            raise ValueError(f"the key with the bits {bits} is in use; rotate first")
        return QuicRing(tuple(k for k in self.keys if k.bits != bits))


class DerivedKeys:
    """What is made from a ring, ready for use."""

    def __init__(self, ring: QuicRing) -> None:
        ring.check()
        self.ring = ring
        self.ids = IdCodecs(
            IdConfiguration(k.bits, SERVER_ID_LENGTH, NONCE_LENGTH, _made(k, "id", AES_KEY_LENGTH))
            for k in ring.keys
        )
        self.reset = {k.bits: _made(k, "reset", 32) for k in ring.keys}
        self.tokens = {k.bits: _made(k, "token", 32) for k in ring.keys}
        self.newest = ring.keys[-1].bits

    def reset_token(self, cid: bytes) -> bytes:
        """The token that ends a connection whose state is lost (RFC 9000, 10.3.2).

        Whoever has the ring makes the same for one id; for an id of a retired key, one that nobody knows.
        """
        key = self.reset.get(cid[0] >> 5) if cid else None
        if key is None:
            return secrets.token_bytes(RESET_TOKEN_LENGTH)
        return hmac.new(key, cid, hashlib.sha256).digest()[:RESET_TOKEN_LENGTH]


def _made(key: RingKey, use: str, length: int) -> bytes:
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.kdf.hkdf import HKDFExpand

    return HKDFExpand(hashes.SHA256(), length, f"gradegap quic {use}".encode()).derive(key.octets())


class Holder(msgspec.Struct, frozen=True, order=True):
    """Who holds a session: a node's number, one of its processes, one of that one's cores."""

    node: int
    process: int
    core: int = 0

    def octets(self) -> bytes:
        """As a server id."""
        return self.node.to_bytes(2, "big") + bytes([self.process, self.core])

    @staticmethod
    def of(server: bytes) -> Holder:
        """The holder that a server id names."""
        return Holder(int.from_bytes(server[:2], "big"), server[2], server[3])
