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

from gradegap.quic.ids import LONGEST
from gradegap.quic.keys import Keys

RETRY_LIFE = 30.0  # s
NEW_LIFE = 24 * 3600.0  # s
SKEW = 5.0  # s by which the clocks of two nodes may differ
NONCE = 12
LEAST, MOST = NONCE + 16 + 2, 160  # octets of a token
USED_MOST = 200_000  # tokens that are remembered; at 8 octets and what Python adds, some 20 MiB


class BadToken(ValueError):
    """A token that proves nothing; its first word is the reason that is counted. RFC 9000, 8.1.3: a client
    that brings one is served as if it had brought none, but for Retry's, which end the connection."""


class Retry(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    address: bytes  # with its port
    original: bytes  # the id that the client chose first
    source: bytes  # the id that the Retry gave it
    made_ms: int


class New(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    address: bytes  # without its port: it changes behind a NAT
    made_ms: int


def packed(address: Any, port: bool) -> bytes:
    host = ipaddress.ip_address(address[0].partition("%")[0]).packed
    return host + int(address[1]).to_bytes(2, "big") if port else host


class Used:
    """Tokens that were used, until they would have run out. A bound on memory, never a wrong yes: over it no
    token is believed."""

    def __init__(self, most: int = USED_MOST) -> None:
        self.most = most
        self.until: OrderedDict[bytes, float] = OrderedDict()

    def take(self, token: bytes, now: float, until: float) -> bool:
        """Whether it is used for the first time."""
        mark = hashlib.blake2b(token, digest_size=8).digest()
        while self.until and next(iter(self.until.values())) <= now:
            self.until.popitem(last=False)
        if mark in self.until or len(self.until) >= self.most:
            return False
        # In the order in which they run out, near enough: what is behind a later one goes a little later.
        self.until[mark] = until
        return True

    def told(self, most: int) -> tuple[list[tuple[bytes, float]], bool]:
        """For the next process; whether that is all."""
        return list(self.until.items())[-most:], len(self.until) <= most

    def hear(self, told: list[tuple[bytes, float]]) -> None:
        for mark, until in told[-self.most :]:
            self.until[mark] = max(until, self.until.get(mark, until))


class Tokens:
    """Makes and proves tokens. `now` is Unix time in s."""

    def __init__(self, keys: Keys) -> None:
        self.used = Used()
        self.since = 0.0  # Unix time before which nobody here knows what was used
        self.adopt(keys)

    def adopt(self, keys: Keys) -> None:
        """A ring that has changed."""
        self.newest = keys.newest
        self.sealers = {bits: AESGCM(key) for bits, key in keys.tokens.items()}

    def retry(self, address: Any, original: bytes, source: bytes, now: float) -> bytes:
        return self._seal(Retry(packed(address, True), original, source, int(now * 1000)))

    def new(self, address: Any, now: float) -> bytes:
        return self._seal(New(packed(address, False), int(now * 1000)))

    def _seal(self, said: Retry | New) -> bytes:
        head, nonce = bytes([self.newest]), secrets.token_bytes(NONCE)
        return head + nonce + self.sealers[self.newest].encrypt(nonce, msgspec.msgpack.encode(said), head)

    def proven(self, token: bytes, address: Any, destination: bytes, now: float) -> bytes | None:
        """The client's first id where a Retry of ours is answered; None where a NEW_TOKEN is brought.
        `BadToken` where this proves nothing of that address."""
        said = self._open(token)
        made, life = said.made_ms / 1000, RETRY_LIFE if isinstance(said, Retry) else NEW_LIFE
        if not made - SKEW <= now <= made + life + SKEW:
            raise BadToken("expired: or from a clock that is ahead")
        if said.address != packed(address, isinstance(said, Retry)):
            raise BadToken("address: it was given to another one")
        if isinstance(said, Retry) and said.source != destination:
            raise BadToken("destination: the id is not the one that the Retry gave")
        if isinstance(said, New) and made < self.since:
            raise BadToken("unsure: whether it was used is not known here")
        if not self.used.take(token, now, made + life + SKEW):
            raise BadToken("used: it was brought before, or too many were of late")
        return said.original if isinstance(said, Retry) else None

    def _open(self, token: bytes) -> Retry | New:
        if not LEAST <= len(token) <= MOST:
            raise BadToken("malformed: no token has that length")
        sealer = self.sealers.get(token[0])
        if sealer is None:
            raise BadToken("unknown_key: it is retired, or another cluster's")
        try:
            plain = sealer.decrypt(token[1 : 1 + NONCE], token[1 + NONCE :], token[:1])
            said: Retry | New = msgspec.msgpack.decode(plain, type=Retry | New)
        except (InvalidTag, msgspec.MsgspecError):
            raise BadToken("forged: it can't be opened") from None
        if isinstance(said, Retry) and len(said.original) > LONGEST:
            raise BadToken("malformed: an id of that length")
        return said
