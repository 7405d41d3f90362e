"""Address tokens (RFC 9000, 8.1) of Retry and NEW_TOKEN: encrypted, and accepted only once. No I/O, no clock.

Unlike aioquic's own tokens, which only the process that made them accepts, these are valid in every process
that has the key ring: in the successor of a hot restart, on another node, after a restart.
"""

from __future__ import annotations

import hashlib
import ipaddress
import secrets
from collections import OrderedDict
from typing import Any

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from gradegap.quic.ids import MAX_ID_LENGTH
from gradegap.quic.keys import DerivedKeys

RETRY_TOKEN_LIFETIME_S = 30.0
NEW_TOKEN_LIFETIME_S = 24 * 3600.0
CLOCK_SKEW_S = 5.0  # tolerated difference between the clocks of two nodes
NONCE_LENGTH = 12  # octets of the AES-GCM nonce
MIN_TOKEN_LENGTH, MAX_TOKEN_LENGTH = NONCE_LENGTH + 16 + 2, 160  # octets
# Limit of used tokens that are remembered: digests of 8 octets, some 20 MiB in all with Python's overhead.
MAX_USED_TOKENS = 200_000


class InvalidTokenError(ValueError):
    """A token that does not validate the client's address.

    The word before the colon of the message is the reason under which it is counted. A client with an
    invalid token is served as if it had sent none (RFC 9000, 8.1.3), except for an invalid Retry token, which
    ends the connection.
    """


class RetryToken(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """The content of a Retry packet's token."""

    address: bytes  # with the port
    original: bytes  # the client's original destination connection id
    source: bytes  # the source connection id of the Retry, which the client must use next
    made_ms: int


class NewToken(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """The content of a NEW_TOKEN frame's token."""

    address: bytes  # without the port, which a NAT may change
    made_ms: int


def pack_address(address: Any, with_port: bool) -> bytes:
    """Return an address as octets, with or without its port."""
    host = ipaddress.ip_address(address[0].partition("%")[0]).packed
    return host + int(address[1]).to_bytes(2, "big") if with_port else host


class UsedTokens:
    """Digests of used tokens, each kept until the token expires.

    The memory is bounded: when it is full, every token is rejected, so that none is accepted twice.
    """

    def __init__(self, max_count: int = MAX_USED_TOKENS) -> None:
        self.capacity = max_count
        self.expires_at: OrderedDict[bytes, float] = OrderedDict()

    def use(self, token: bytes, now: float, expiry: float) -> bool:
        """Record the use of a token; False if it was used before or the memory is full.

        `now` and `expiry` are Unix times in s.
        """
        token_hash = hashlib.blake2b(token, digest_size=8).digest()
        while self.expires_at and next(iter(self.expires_at.values())) <= now:
            self.expires_at.popitem(last=False)
        if token_hash in self.expires_at or len(self.expires_at) >= self.capacity:
            return False
        # Entries are in order of use, which is only nearly the order of expiry: an entry that follows one
        # with a later expiry is removed together with that one, a little after its own expiry.
        self.expires_at[token_hash] = expiry
        return True

    def export(self, max_count: int) -> tuple[list[tuple[bytes, float]], bool]:
        """Return the newest entries for the successor process, and whether these are all entries."""
        return list(self.expires_at.items())[-max_count:], len(self.expires_at) <= max_count

    def import_entries(self, entries: list[tuple[bytes, float]]) -> None:
        """Add the used tokens that the predecessor exported."""
        for token_hash, expiry in entries[-self.capacity :]:
            self.expires_at[token_hash] = max(expiry, self.expires_at.get(token_hash, expiry))


class AddressTokens:
    """Makes and validates address tokens; `now` is Unix time in s."""

    def __init__(self, keys: DerivedKeys) -> None:
        self.used = UsedTokens()
        # Unix time in s; this process may not know which NEW_TOKEN tokens made before it were used.
        self.used_known_since = 0.0
        self.use_keys(keys)

    def use_keys(self, keys: DerivedKeys) -> None:
        """Use the keys of another ring from now on."""
        self.newest = keys.newest
        self.ciphers = {bits: AESGCM(key) for bits, key in keys.token_keys.items()}

    def make_retry_token(self, address: Any, original: bytes, source: bytes, now: float) -> bytes:
        """Return a token for a Retry, bound to the address and to both connection ids."""
        return self._encrypt(RetryToken(pack_address(address, True), original, source, int(now * 1000)))

    def make_new_token(self, address: Any, now: float) -> bytes:
        """Return a token for the client's next connection from this address."""
        return self._encrypt(NewToken(pack_address(address, False), int(now * 1000)))

    def _encrypt(self, content: RetryToken | NewToken) -> bytes:
        key_bits, nonce = bytes([self.newest]), secrets.token_bytes(NONCE_LENGTH)
        return (
            key_bits
            + nonce
            + self.ciphers[self.newest].encrypt(nonce, msgspec.msgpack.encode(content), key_bits)
        )

    def validate(self, token: bytes, address: Any, destination: bytes, now: float) -> bytes | None:
        """Validate the token of an Initial packet sent from `address` to the id `destination`.

        Returns:
            The client's original destination connection id for a Retry token, None for a NEW_TOKEN token.

        Raises:
            InvalidTokenError: if the token does not validate that address.
        """
        content = self._decrypt(token)
        made_at, lifetime_s = (
            content.made_ms / 1000,
            RETRY_TOKEN_LIFETIME_S if isinstance(content, RetryToken) else NEW_TOKEN_LIFETIME_S,
        )
        if not made_at - CLOCK_SKEW_S <= now <= made_at + lifetime_s + CLOCK_SKEW_S:
            raise InvalidTokenError("expired: the token's lifetime is over, or it was made in the future")
        if content.address != pack_address(address, isinstance(content, RetryToken)):
            raise InvalidTokenError("address: the token was made for another address")
        if isinstance(content, RetryToken) and content.source != destination:
            raise InvalidTokenError("destination: the connection id is not the source id of the Retry")
        if isinstance(content, NewToken) and made_at < self.used_known_since:
            raise InvalidTokenError("unsure: this process does not know whether the token was used")
        if not self.used.use(token, now, made_at + lifetime_s + CLOCK_SKEW_S):
            raise InvalidTokenError("used: the token was used before, or the list of used tokens is full")
        return content.original if isinstance(content, RetryToken) else None

    def _decrypt(self, token: bytes) -> RetryToken | NewToken:
        if not MIN_TOKEN_LENGTH <= len(token) <= MAX_TOKEN_LENGTH:
            raise InvalidTokenError(
                f"malformed: a token must be {MIN_TOKEN_LENGTH} to {MAX_TOKEN_LENGTH} octets long, "
                f"got {len(token)}"
            )
        cipher = self.ciphers.get(token[0])
        if cipher is None:
            raise InvalidTokenError("unknown_key: the token's key is retired or of another cluster")
        try:
            plaintext = cipher.decrypt(token[1 : 1 + NONCE_LENGTH], token[1 + NONCE_LENGTH :], token[:1])
            content: RetryToken | NewToken = msgspec.msgpack.decode(plaintext, type=RetryToken | NewToken)
        except (InvalidTag, msgspec.MsgspecError):
            raise InvalidTokenError("forged: the token can't be decrypted") from None
        if isinstance(content, RetryToken) and len(content.original) > MAX_ID_LENGTH:
            raise InvalidTokenError(
                f"malformed: the original connection id must be at most {MAX_ID_LENGTH} octets long, "
                f"got {len(content.original)}"
            )
        return content
