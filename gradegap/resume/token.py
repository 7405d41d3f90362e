"""Tokens that prove a session's place, and the ring of keys that seals them. No I/O and no clock.

AES-256-GCM (NIST SP 800-38D) with a random nonce of 96 bits; the version, the key's id and the cluster are
authenticated with it. A ring's newest key seals; those before it open until they are retired, so that keys
change while clients hold old tokens.
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
HEAD_BYTES = 1 + KEY_ID_BYTES  # version and key
MAX_TOKEN_CHARS = 400
TOKEN_LIFETIME_S = 600  # s for which a token may be used
MAX_CLOCK_SKEW_S = 30  # s by which the clocks of two nodes may differ
MAX_KEYS = 16  # of a ring
KEY_RING_KEY = "keys/resume"  # the ring's key in the store


class Place(msgspec.Struct, frozen=True, array_like=True):
    """What a token proves. The names in quotes are those that `gradegap token inspect` prints."""

    session: str
    client: str  # the client's key
    class_name: str = msgspec.field(name="cls")
    endpoint: str = msgspec.field(name="server")  # which had it
    position: int  # requests up to here were answered when it was made
    generation: int = msgspec.field(name="epoch")  # of the session, which it may end once
    expires_at: int = msgspec.field(name="until")  # Unix time, s


class Key(msgspec.Struct, frozen=True):
    """One key of a ring."""

    id: str  # hex
    secret: str  # base64
    made_ms: int = 0  # Unix time
    state: Literal["in use", "retired"] = "in use"


class KeyRing(msgspec.Struct, frozen=True):
    """`keys/resume` of the store. Newest first; the first that is in use seals."""

    keys: tuple[Key, ...] = ()

    def check(self) -> None:
        """Raises ValueError where a key has no id or secret of its own, or there are too many."""
        if len(self.keys) > MAX_KEYS or len({k.id for k in self.keys}) != len(self.keys):
            raise ValueError(f"a ring has at most {MAX_KEYS} keys, each with an id of its own")
        for key in self.keys:
            try:
                sizes = len(bytes.fromhex(key.id)), len(base64.b64decode(key.secret))
            except (ValueError, binascii.Error):
                sizes = 0, 0
            if sizes != (KEY_ID_BYTES, KEY_BYTES):
                raise ValueError(f"key {key.id[:16]!r} is no key")

    def rotated(self, now_ms: int) -> KeyRing:
        """With a new key that seals. The oldest retired ones are dropped where there are too many."""
        made = Key(
            secrets.token_hex(KEY_ID_BYTES), base64.b64encode(secrets.token_bytes(KEY_BYTES)).decode(), now_ms
        )
        keys = (made, *self.keys)
        while len(keys) > MAX_KEYS:
            dropped = next((key for key in reversed(keys) if key.state == "retired"), keys[-1])
            keys = tuple(key for key in keys if key is not dropped)
        return KeyRing(keys)

    def retired(self, key: str) -> KeyRing:
        """Without what that key sealed. `ValueError` where it is not there, or is the one that seals."""
        if key not in {k.id for k in self.keys}:
            raise ValueError(f"there is no key {key}")
        if self.sealing is not None and self.sealing.id == key:
            raise ValueError(f"key {key} seals; rotate first")
        return KeyRing(
            tuple(msgspec.structs.replace(k, state="retired") if k.id == key else k for k in self.keys)
        )

    @property
    def sealing(self) -> Key | None:
        """The key that seals; None where the ring is empty."""
        return next((k for k in self.keys if k.state == "in use"), None)


def _cipher(key: Key) -> object:
    from cryptography.hazmat.primitives.ciphers.aead import AESGCM

    return AESGCM(base64.b64decode(key.secret))


def seal_token(ring: KeyRing, cluster: str, place: Place) -> str:
    """A token; `ValueError` where the ring has no key or the token would be too long."""
    key = ring.sealing
    if key is None:
        raise ValueError("the ring has no key that seals")
    head = bytes([TOKEN_VERSION]) + bytes.fromhex(key.id)
    nonce = secrets.token_bytes(NONCE_BYTES)
    body = _cipher(key).encrypt(nonce, msgspec.msgpack.encode(place), head + cluster.encode())  # type: ignore[attr-defined]
    made = base64.urlsafe_b64encode(head + nonce + body).decode().rstrip("=")
    if len(made) > MAX_TOKEN_CHARS:
        raise ValueError(f"a token of {len(made)} characters")
    return made


def open_token(ring: KeyRing, cluster: str, token: str, now: float) -> Place:
    """What a token proves at Unix time `now`; `TokenError` where it proves nothing."""
    from cryptography.exceptions import InvalidTag

    if len(token) > MAX_TOKEN_CHARS:
        raise TokenError("long: it has more characters than a token has")
    try:
        raw = base64.b64decode(token + "=" * (-len(token) % 4), altchars=b"-_", validate=True)
    except (ValueError, binascii.Error):
        raise TokenError("malformed: it is no token") from None
    if len(raw) < HEAD_BYTES + NONCE_BYTES + TAG_BYTES:
        raise TokenError("malformed: it is cut")
    if raw[0] != TOKEN_VERSION:
        raise TokenError("version: it is of another version")
    head, nonce = raw[:HEAD_BYTES], raw[HEAD_BYTES : HEAD_BYTES + NONCE_BYTES]
    body = raw[HEAD_BYTES + NONCE_BYTES :]
    key = next((k for k in ring.keys if k.id == head[1:].hex()), None)
    if key is None:
        raise TokenError("unknown_key: no key of this cluster sealed it")
    if key.state == "retired":
        raise TokenError("retired_key: its key was retired")
    try:
        plain = _cipher(key).decrypt(nonce, body, head + cluster.encode())  # type: ignore[attr-defined]
        place = msgspec.msgpack.decode(plain, type=Place)
    except (InvalidTag, msgspec.MsgspecError):
        raise TokenError("forged: its seal is broken") from None
    if place.expires_at < now - MAX_CLOCK_SKEW_S:
        raise TokenError("expired: its time is over")
    if place.expires_at > now + TOKEN_LIFETIME_S + MAX_CLOCK_SKEW_S:
        raise TokenError("early: it was made by a clock that is ahead")
    return place


def digest(token: str) -> str:
    """What a log may show of a token."""
    return hashlib.sha256(token.encode()).hexdigest()[:8]
