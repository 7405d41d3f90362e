"""Decides by compare-and-set which of several holders of one token may continue the session. No I/O."""

from __future__ import annotations

import hashlib
import re

import msgspec

from gradegap.resume.errors import SessionClaimedError
from gradegap.resume.token import MAX_CLOCK_SKEW_S, TOKEN_LIFETIME_S, TokenPayload
from gradegap.store.records import Compare, Item, KeyUpdate

RESERVATION_PREFIX = "claims/"  # prefix of the reservations' keys in the store
MAX_LOCAL_RESERVATIONS = 20_000  # limit of reservations that a node without a store keeps in memory
# Time after a reservation within which the client may present the token of that reservation again.
RETURN_RETRY_S = 30
# A reservation is kept until every token of its session has expired, with any accepted clock skew.
RETENTION_S = TOKEN_LIFETIME_S + 2 * MAX_CLOCK_SKEW_S
DIGEST_CHARS = 32
_SECRET = re.compile(r"[0-9a-f]{16,64}")


class Reservation(msgspec.Struct, frozen=True):
    """The value of `claims/SESSION`: the generation of a session that is in force, and its owner."""

    generation: int = msgspec.field(name="epoch")
    node: str
    # The generation in the token that a returning client presented.
    claimed_generation: int = msgspec.field(default=-1, name="of")
    # Digest of that client's secret, which identifies a retry by the same client.
    client_digest: str = msgspec.field(default="", name="by")
    reserved_at: int = msgspec.field(default=0, name="at")  # Unix time in seconds


def secret_digest(secret: str) -> str:
    """Return the digest of the secret with which a returning client proves that it is the same client.

    The digest is stored instead of the secret. It is empty if `secret` is empty.

    Raises:
        ValueError: if the secret is too short to be safe against guessing, too long or not hexadecimal.
    """
    if not secret:
        return ""
    if _SECRET.fullmatch(secret) is None:
        raise ValueError("ra must be 16 to 64 lowercase hexadecimal digits")
    return hashlib.sha256(secret.encode()).hexdigest()[:DIGEST_CHARS]


def next_reservation(
    payload: TokenPayload,
    node: str,
    held: Reservation | None,
    presented_digest: str,
    now: float,
    is_return: bool = True,
) -> Reservation:
    """Return the reservation of the generation after the one in the token, at Unix time `now` in seconds.

    Guards against a client that loses its session because its token was used up before it received a new
    one: the node that reserved the generation was killed, or no endpoint accepted the session. A client that
    presents the same secret with the same token again within `RETURN_RETRY_S` is taken for the same client.
    It gets the generation after the reserved one, because it never received a token for the reserved one.

    A node that migrates a session in place (`is_return` is False) also records the secret's digest, but
    can't retry with it: if the generation in force has that digest, the same client has returned through
    another node.

    `presented_digest` is the digest of the secret that the client presents, or empty.

    Raises:
        SessionClaimedError: if the next generation is already reserved.
    """
    if held is None or held.generation == payload.generation:
        return Reservation(payload.generation + 1, node, payload.generation, presented_digest, int(now))
    is_retry = (
        is_return
        and bool(presented_digest)
        and (held.client_digest, held.claimed_generation) == (presented_digest, payload.generation)
    )
    if is_retry and abs(now - held.reserved_at) <= RETURN_RETRY_S + MAX_CLOCK_SKEW_S:
        return Reservation(held.generation + 1, node, payload.generation, presented_digest, int(now))
    raise SessionClaimedError(
        f"claimed: generation {payload.generation} has ended, {held.generation} is in force"
    )


def reserve(
    payload: TokenPayload,
    node: str,
    current: Item | None,
    presented_digest: str = "",
    now: float = 0.0,
    is_return: bool = True,
) -> tuple[int, Compare, KeyUpdate]:
    """Return the new generation with the condition and the write that reserve it in the store.

    `current` is the session's reservation in the store, or None: a session is not in the store before it
    continues for the first time. The write takes effect only if the reservation has not changed since it was
    read. The key expires once every token of the session has expired.

    Raises:
        SessionClaimedError: if the next generation is already reserved or the stored reservation is invalid.
    """
    key, held = RESERVATION_PREFIX + payload.session, None
    if current is not None:
        try:
            held = msgspec.convert(current.value, Reservation)
        except msgspec.ValidationError:
            raise SessionClaimedError("claimed: the stored reservation can't be read") from None
    reservation = next_reservation(payload, node, held, presented_digest, now, is_return)
    update = KeyUpdate(key, msgspec.to_builtins(reservation), ttl_ms=RETENTION_S * 1000)
    unchanged = Compare(key, current.modified_revision if current is not None else 0)
    return reservation.generation, unchanged, update


class LocalReservations:
    """The reservations of one node, in memory, used if there is no store.

    Two nodes may both accept the same token; the fence of the save store then decides between them. The
    number of reservations is bounded; the oldest are dropped.
    """

    def __init__(self) -> None:
        self.held: dict[str, Reservation] = {}  # by session, in order of reservation

    def reserve(
        self, payload: TokenPayload, now: float, presented_digest: str = "", is_return: bool = True
    ) -> int:
        """Reserve the next generation and return it.

        Raises:
            SessionClaimedError: if this node has already reserved a later generation.
        """
        reservation = next_reservation(
            payload, "", self.held.get(payload.session), presented_digest, now, is_return
        )
        self.held.pop(payload.session, None)
        self.held[payload.session] = reservation
        self._drop_oldest(now)
        return reservation.generation

    def _drop_oldest(self, now: float) -> None:
        while self.held:
            oldest = next(iter(self.held))
            expired = self.held[oldest].reserved_at + RETENTION_S <= now
            if len(self.held) <= MAX_LOCAL_RESERVATIONS and not expired:
                break
            del self.held[oldest]
