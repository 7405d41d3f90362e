"""Tokens that prove a session's identity and progress, and the key ring that seals them. No I/O and no clock.

Tokens are encrypted with AES-256-GCM (NIST SP 800-38D) and a random nonce of 96 bits. The version, the key's
id and the cluster are authenticated as additional data. The newest key of a ring seals tokens. Older keys
open tokens until they are retired, so that keys can be rotated while clients hold tokens of older keys.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import secrets
from typing import Literal

import msgspec

from gradegap.resume.errors import TokenError

TOKEN_VERSION = 1
KEY_ID_BYTES = 4
NONCE_BYTES = 12
KEY_BYTES = 32
TAG_BYTES = 16
HEAD_BYTES = 1 + KEY_ID_BYTES  # length of the version and the key's id
MAX_TOKEN_CHARS = 400
TOKEN_LIFETIME_S = 600  # longest time for which a token is valid
MAX_CLOCK_SKEW_S = 30  # largest accepted difference between the clocks of two nodes
MAX_KEYS = 16  # limit of keys in one ring
KEY_RING_KEY = "keys/resume"  # the ring's key in the store


class TokenPayload(msgspec.Struct, frozen=True, array_like=True):
    """The content of a token. `gradegap token inspect` prints each field under its encoded name."""

    session: str
    client: str  # the client's key, as in its `OPEN` line
    class_name: str = msgspec.field(name="cls")
    endpoint: str = msgspec.field(name="server")  # id of the endpoint that had the session
    position: int  # number of the last request that was answered when the token was sealed
    # Generation of the session; only one holder of the token may start the next one.
    generation: int = msgspec.field(name="epoch")
    expires_at: int = msgspec.field(name="until")  # Unix time in seconds


class Key(msgspec.Struct, frozen=True):
    """One key of a key ring."""

    id: str  # hex
    secret: str  # base64
    made_ms: int = 0  # Unix time of creation, in milliseconds
    state: Literal["in use", "retired"] = "in use"


class KeyRing(msgspec.Struct, frozen=True):
    """The value of `keys/resume` in the store: the keys, the newest first.

    The first key that is in use seals tokens.
    """

    keys: tuple[Key, ...] = ()

    def check(self) -> None:
        """Check the number of keys, their ids and their secrets.

        Raises:
            ValueError: if there are too many keys, two have the same id, or an id or secret is invalid.
        """
        if len(self.keys) > MAX_KEYS or len({k.id for k in self.keys}) != len(self.keys):
            raise ValueError(
                f"a key ring must have at most {MAX_KEYS} keys with distinct ids, got {len(self.keys)} keys"
            )
        for key in self.keys:
            try:
                sizes = len(bytes.fromhex(key.id)), len(base64.b64decode(key.secret))
            except (ValueError, binascii.Error):
                sizes = 0, 0
            if sizes != (KEY_ID_BYTES, KEY_BYTES):
                raise ValueError(
                    f"key {key.id[:16]!r} must have a hexadecimal id of {KEY_ID_BYTES} bytes "
                    f"and a base64 secret of {KEY_BYTES} bytes"
                )

    def rotated(self, now_ms: int) -> KeyRing:
        """Return the ring with a new sealing key, created at Unix time `now_ms` in milliseconds.

        If there are too many keys, the oldest retired keys are dropped first, then the oldest others.
        """
        new_key = Key(
            secrets.token_hex(KEY_ID_BYTES), base64.b64encode(secrets.token_bytes(KEY_BYTES)).decode(), now_ms
        )
        keys = (new_key, *self.keys)
        while len(keys) > MAX_KEYS:
            dropped = next((key for key in reversed(keys) if key.state == "retired"), keys[-1])
            keys = tuple(key for key in keys if key is not dropped)
        return KeyRing(keys)

    def retired(self, key: str) -> KeyRing:
        """Return the ring with this key retired, so that tokens sealed with it are no longer valid.

        Raises:
            ValueError: if the ring has no such key, or the key is the one that seals.
        """
        if key not in {k.id for k in self.keys}:
            raise ValueError(f"the ring has no key {key}")
        if self.sealing is not None and self.sealing.id == key:
            raise ValueError(f"key {key} seals new tokens and can't be retired; rotate first")
        return KeyRing(
            tuple(msgspec.structs.replace(k, state="retired") if k.id == key else k for k in self.keys)
        )

    @property
    def sealing(self) -> Key | None:
        """The key that seals new tokens; None if no key is in use."""
        return next((k for k in self.keys if k.state == "in use"), None)


def _cipher(key: Key) -> object:
    from cryptography.hazmat.primitives.ciphers.aead import AESGCM

    return AESGCM(base64.b64decode(key.secret))


def seal_token(ring: KeyRing, cluster: str, payload: TokenPayload) -> str:
    """Return a token with this payload, bound to the cluster.

    Raises:
        ValueError: if no key of the ring is in use or the token would be too long.
    """
    key = ring.sealing
    if key is None:
        raise ValueError("the key ring has no key in use to seal a token with")
    head = bytes([TOKEN_VERSION]) + bytes.fromhex(key.id)
    nonce = secrets.token_bytes(NONCE_BYTES)
    body = _cipher(key).encrypt(nonce, msgspec.msgpack.encode(payload), head + cluster.encode())  # type: ignore[attr-defined]
    token = base64.urlsafe_b64encode(head + nonce + body).decode().rstrip("=")
    if len(token) > MAX_TOKEN_CHARS:
        raise ValueError(f"a token must have at most {MAX_TOKEN_CHARS} characters, got {len(token)}")
    return token


def open_token(ring: KeyRing, cluster: str, token: str, now: float) -> TokenPayload:
    """Return the payload of a token that is valid at Unix time `now`, in seconds.

    Raises:
        TokenError: if the token is malformed, not authentic, expired, or of a node whose clock is ahead.
    """
    from cryptography.exceptions import InvalidTag

    if len(token) > MAX_TOKEN_CHARS:
        raise TokenError(f"long: a token must have at most {MAX_TOKEN_CHARS} characters, got {len(token)}")
    try:
        raw = base64.b64decode(token + "=" * (-len(token) % 4), altchars=b"-_", validate=True)
    except (ValueError, binascii.Error):
        raise TokenError("malformed: the token is not valid base64") from None
    if len(raw) < HEAD_BYTES + NONCE_BYTES + TAG_BYTES:
        raise TokenError("malformed: the token is truncated")
    if raw[0] != TOKEN_VERSION:
        raise TokenError(f"version: the token has version {raw[0]}, expected {TOKEN_VERSION}")
    head, nonce = raw[:HEAD_BYTES], raw[HEAD_BYTES : HEAD_BYTES + NONCE_BYTES]
    body = raw[HEAD_BYTES + NONCE_BYTES :]
    key = next((k for k in ring.keys if k.id == head[1:].hex()), None)
    if key is None:
        raise TokenError("unknown_key: the token was not sealed with a key of this cluster")
    if key.state == "retired":
        raise TokenError("retired_key: the key that sealed the token is retired")
    try:
        plain = _cipher(key).decrypt(nonce, body, head + cluster.encode())  # type: ignore[attr-defined]
        payload = msgspec.msgpack.decode(plain, type=TokenPayload)
    except (InvalidTag, msgspec.MsgspecError):
        raise TokenError("forged: the token failed authentication") from None
    if payload.expires_at < now - MAX_CLOCK_SKEW_S:
        raise TokenError("expired: the token has expired")
    if payload.expires_at > now + TOKEN_LIFETIME_S + MAX_CLOCK_SKEW_S:
        raise TokenError("early: the token expires too far in the future; the clock that sealed it is ahead")
    return payload


def digest(token: str) -> str:
    """Return a short digest that identifies a token in logs without revealing it."""
    return hashlib.sha256(token.encode()).hexdigest()[:8]
