"""The key ring from which connection ids, stateless resets and address tokens are made. No I/O, no clock.

The ring has one secret for each QUIC-LB configuration. HKDF (RFC 5869) derives a separate key for each use
of a secret, so that one key reveals nothing about another. The newest secret makes connection ids and
tokens; older ones are kept to read theirs until they are retired.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import secrets

import msgspec

from gradegap.quic.ids import AES_KEY_LENGTH, UNROUTABLE_BITS, IdCodecs, IdConfiguration

RING_KEY = "keys/quic"  # key of the store under which the ring is stored
SECRET_LENGTH = 32  # octets
MAX_KEYS = UNROUTABLE_BITS - 1  # one value of the config rotation bits remains free for a rotation
RESET_TOKEN_LENGTH = 16  # octets of a stateless reset token (RFC 9000, 10.3)
SERVER_ID_LENGTH = 4  # octets of a server id: two of the node, one of the process, one of the core
NONCE_LENGTH = 12  # octets; server id and nonce together are one AES block, which is encrypted in one pass


class RingKey(msgspec.Struct, frozen=True):
    """One secret of the ring and the config rotation bits of the connection ids made with it."""

    bits: int
    secret: str  # base64
    made_ms: int = 0

    def octets(self) -> bytes:
        """Return the decoded secret."""
        return base64.b64decode(self.secret)


class QuicRing(msgspec.Struct, frozen=True):
    """The value of `keys/quic` in the store, oldest key first; the last key makes new ids and tokens."""

    keys: tuple[RingKey, ...] = ()

    def check(self) -> None:
        """Check the ring.

        Raises:
            ValueError: if the number of keys, their config rotation bits or their secrets are invalid.
        """
        if not 0 < len(self.keys) <= MAX_KEYS or len({key.bits for key in self.keys}) != len(self.keys):
            raise ValueError(
                f"a key ring must have 1 to {MAX_KEYS} keys with distinct bits, "
                f"got bits {[key.bits for key in self.keys]}"
            )
        for key in self.keys:
            try:
                is_valid = 0 <= key.bits < UNROUTABLE_BITS and len(key.octets()) == SECRET_LENGTH
            except (ValueError, binascii.Error):
                is_valid = False
            if not is_valid:
                raise ValueError(
                    f"invalid key with the bits {key.bits}: bits must be 0 to {UNROUTABLE_BITS - 1}, "
                    f"the secret {SECRET_LENGTH} octets in base64"
                )

    def rotated(self, now_ms: int) -> QuicRing:
        """Return the ring with a new key, which makes new ids; a full ring loses its oldest key."""
        kept = self.keys[-(MAX_KEYS - 1) :]
        used_bits = {key.bits for key in kept}
        # The search starts after the newest key's bits, so bits freed last are reused last: packets with ids
        # made under them may still be in flight.
        last_bits = self.keys[-1].bits if self.keys else UNROUTABLE_BITS - 1
        bits = next(
            candidate
            for candidate in ((last_bits + k) % UNROUTABLE_BITS for k in range(1, UNROUTABLE_BITS + 1))
            if candidate not in used_bits
        )
        new_key = RingKey(bits, base64.b64encode(secrets.token_bytes(SECRET_LENGTH)).decode(), now_ms)
        return QuicRing((*kept, new_key))

    def retired(self, bits: int) -> QuicRing:
        """Return the ring without one key; ids and tokens made with that key are no longer accepted.

        Raises:
            ValueError: if the ring has no key with these bits, or if it is the newest key.
        """
        if bits not in {key.bits for key in self.keys}:
            raise ValueError(f"the ring has no key with the bits {bits}")
        if self.keys[-1].bits == bits:
            raise ValueError(f"the key with the bits {bits} is the newest one; rotate the ring first")
        return QuicRing(tuple(key for key in self.keys if key.bits != bits))


class DerivedKeys:
    """The codecs and keys derived from a ring."""

    def __init__(self, ring: QuicRing) -> None:
        """Derive the keys.

        Raises:
            ValueError: if the ring is invalid.
        """
        ring.check()
        self.ring = ring
        self.ids = IdCodecs(
            IdConfiguration(key.bits, SERVER_ID_LENGTH, NONCE_LENGTH, _derive(key, "id", AES_KEY_LENGTH))
            for key in ring.keys
        )
        self.reset_keys = {key.bits: _derive(key, "reset", 32) for key in ring.keys}
        self.token_keys = {key.bits: _derive(key, "token", 32) for key in ring.keys}
        self.newest = ring.keys[-1].bits

    def reset_token(self, cid: bytes) -> bytes:
        """Return the stateless reset token of a connection id (RFC 9000, 10.3.2).

        Every process with the same ring computes the same token for an id. For an id of a retired key the
        token is random, so that it matches no client's.
        """
        key = self.reset_keys.get(cid[0] >> 5) if cid else None
        if key is None:
            return secrets.token_bytes(RESET_TOKEN_LENGTH)
        return hmac.new(key, cid, hashlib.sha256).digest()[:RESET_TOKEN_LENGTH]


def _derive(key: RingKey, use: str, length: int) -> bytes:
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.kdf.hkdf import HKDFExpand

    return HKDFExpand(hashes.SHA256(), length, f"gradegap quic {use}".encode()).derive(key.octets())


class Holder(msgspec.Struct, frozen=True, order=True):
    """The process, and its core, that holds a connection: node number, process number, core number."""

    node: int
    process: int
    core: int = 0

    def octets(self) -> bytes:
        """Return the holder encoded as a server id."""
        return self.node.to_bytes(2, "big") + bytes([self.process, self.core])

    @staticmethod
    def of(server_id: bytes) -> Holder:
        """Return the holder that a server id encodes."""
        return Holder(int.from_bytes(server_id[:2], "big"), server_id[2], server_id[3])
