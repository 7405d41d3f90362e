"""Address tokens (RFC 9000, 8.1) of Retry and NEW_TOKEN: sealed by the ring, used once. No I/O, no clock.

Unlike aioquic's own, which live with one process, these are good wherever the ring is: at the next process,
at another node, after a restart.
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

RETRY_TOKEN_LIFETIME_S = 30.0  # s
NEW_TOKEN_LIFETIME_S = 24 * 3600.0  # s
CLOCK_SKEW_S = 5.0  # s by which the clocks of two nodes may differ
NONCE_LENGTH = 12
MIN_LENGTH, MAX_LENGTH = NONCE_LENGTH + 16 + 2, 160  # octets of a token
USED_TOKENS_MAX = 200_000  # tokens that are remembered; at 8 octets and what Python adds, some 20 MiB


class InvalidTokenError(ValueError):
    """A token that proves nothing.

    Its first word is the reason that is counted. RFC 9000, 8.1.3: a client that brings one is served as if it
    had brought none, but for Retry's, which end the connection.
    """


class RetryToken(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """What a Retry's token says."""

    address: bytes  # with its port
    original: bytes  # the id that the client chose first
    source: bytes  # the id that the Retry gave it
    made_ms: int


class NewToken(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """What a NEW_TOKEN frame's token says."""

    address: bytes  # without its port: it changes behind a NAT
    made_ms: int


def packed(address: Any, port: bool) -> bytes:
    """An address as octets, with its port where it counts."""
    host = ipaddress.ip_address(address[0].partition("%")[0]).packed
    return host + int(address[1]).to_bytes(2, "big") if port else host


class UsedTokens:
    """Tokens that were used, until they would have run out.

    A bound on memory, never a wrong yes: over it no token is believed.
    """

    def __init__(self, most: int = USED_TOKENS_MAX) -> None:
        self.capacity = most
        self.expires_at: OrderedDict[bytes, float] = OrderedDict()

    def use(self, token: bytes, now: float, until: float) -> bool:
        """Whether it is used for the first time."""
        mark = hashlib.blake2b(token, digest_size=8).digest()
        while self.expires_at and next(iter(self.expires_at.values())) <= now:
            self.expires_at.popitem(last=False)
        if mark in self.expires_at or len(self.expires_at) >= self.capacity:
            return False
        # In the order in which they run out, near enough: what is behind a later one goes a little later.
        self.expires_at[mark] = until
        return True

    def export(self, most: int) -> tuple[list[tuple[bytes, float]], bool]:
        """For the next process; whether that is all."""
        return list(self.expires_at.items())[-most:], len(self.expires_at) <= most

    def import_entries(self, told: list[tuple[bytes, float]]) -> None:
        """Tokens that the predecessor saw used."""
        for mark, until in told[-self.capacity :]:
            self.expires_at[mark] = max(until, self.expires_at.get(mark, until))


class AddressTokens:
    """Makes and proves tokens. `now` is Unix time in s."""

    def __init__(self, keys: DerivedKeys) -> None:
        self.used = UsedTokens()
        self.since = 0.0  # Unix time before which nobody here knows what was used
        self.adopt(keys)

    def adopt(self, keys: DerivedKeys) -> None:
        """A ring that has changed."""
        self.newest = keys.newest
        self.sealers = {bits: AESGCM(key) for bits, key in keys.tokens.items()}

    def make_retry_token(self, address: Any, original: bytes, source: bytes, now: float) -> bytes:
        """A token for a Retry, bound to the address and both ids."""
        return self._seal(RetryToken(packed(address, True), original, source, int(now * 1000)))

    def make_new_token(self, address: Any, now: float) -> bytes:
        """A token for the client's next connection from this address."""
        return self._seal(NewToken(packed(address, False), int(now * 1000)))

    def _seal(self, said: RetryToken | NewToken) -> bytes:
        head, nonce = bytes([self.newest]), secrets.token_bytes(NONCE_LENGTH)
        return head + nonce + self.sealers[self.newest].encrypt(nonce, msgspec.msgpack.encode(said), head)

    def validate(self, token: bytes, address: Any, destination: bytes, now: float) -> bytes | None:
        """The client's first id where a Retry of ours is answered.

        None where a NEW_TOKEN is brought. `InvalidTokenError` where this proves nothing of that address.
        """
        said = self._open(token)
        made, life = (
            said.made_ms / 1000,
            RETRY_TOKEN_LIFETIME_S if isinstance(said, RetryToken) else NEW_TOKEN_LIFETIME_S,
        )
        if not made - CLOCK_SKEW_S <= now <= made + life + CLOCK_SKEW_S:
            raise InvalidTokenError("expired: or from a clock that is ahead")
        if said.address != packed(address, isinstance(said, RetryToken)):
            raise InvalidTokenError("address: it was given to another one")
        if isinstance(said, RetryToken) and said.source != destination:
            raise InvalidTokenError("destination: the id is not the one that the Retry gave")
        if isinstance(said, NewToken) and made < self.since:
            raise InvalidTokenError("unsure: whether it was used is not known here")
        if not self.used.use(token, now, made + life + CLOCK_SKEW_S):
            raise InvalidTokenError("used: it was brought before, or too many were of late")
        return said.original if isinstance(said, RetryToken) else None

    def _open(self, token: bytes) -> RetryToken | NewToken:
        if not MIN_LENGTH <= len(token) <= MAX_LENGTH:
            raise InvalidTokenError("malformed: no token has that length")
        sealer = self.sealers.get(token[0])
        if sealer is None:
            raise InvalidTokenError("unknown_key: it is retired, or another cluster's")
        try:
            plain = sealer.decrypt(token[1 : 1 + NONCE_LENGTH], token[1 + NONCE_LENGTH :], token[:1])
            said: RetryToken | NewToken = msgspec.msgpack.decode(plain, type=RetryToken | NewToken)
        except (InvalidTag, msgspec.MsgspecError):
            raise InvalidTokenError("forged: it can't be opened") from None
        if isinstance(said, RetryToken) and len(said.original) > MAX_ID_LENGTH:
            raise InvalidTokenError("malformed: an id of that length")
        return said
