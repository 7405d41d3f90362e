"""Which of those that come with a token may go on with the session: one, by compare-and-set. No I/O."""

from __future__ import annotations

import hashlib
import re

import msgspec

from gradegap.resume.errors import SessionClaimedError
from gradegap.resume.token import MAX_CLOCK_SKEW_S, TOKEN_LIFETIME_S, Place
from gradegap.store.records import Compare, Item, KeyUpdate

RESERVATION_PREFIX = "claims/"  # of keys in the store
MAX_LOCAL_RESERVATIONS = 20_000
RETURN_RETRY_S = 30  # within which a client may try again with a token that was claimed for it
RETENTION_S = TOKEN_LIFETIME_S + 2 * MAX_CLOCK_SKEW_S  # for which a reservation outlasts every token of it
DIGEST_CHARS = 32
_SECRET = re.compile(r"[0-9a-f]{16,64}")


class Reservation(msgspec.Struct, frozen=True):
    """`claims/SESSION`: the generation of the session that is in force, and whose it is."""

    generation: int = msgspec.field(name="epoch")
    node: str
    claimed_generation: int = msgspec.field(default=-1, name="of")  # whose token a returning client brought
    client_digest: str = msgspec.field(default="", name="by")  # of that client's secret, for a try again
    reserved_at: int = msgspec.field(default=0, name="at")  # Unix time, s


def secret_digest(secret: str) -> str:
    """What is kept of the secret by which a returning client proves that it is the one that came before.

    Empty for none.

    Raises:
        ValueError: where it can be guessed or is no such word.
    """
    if not secret:
        return ""
    if _SECRET.fullmatch(secret) is None:
        raise ValueError("ra is 16 to 64 hexadecimal digits")
    return hashlib.sha256(secret.encode()).hexdigest()[:DIGEST_CHARS]


def next_reservation(
    place: Place, node: str, held: Reservation | None, by: str, now: float, returns: bool = True
) -> Reservation:
    """The generation after the one that the token names, at Unix time `now`.

    Guards against a token that is lost with its use: the node that claimed the generation was killed, or no
    endpoint took the session, before its client was given another. Who brings the same secret for the same
    token within `RETURN_RETRY_S` is that client, and gets the generation after the one that it was not sent.

    Not so a node that migrates a session in place (not `returns`): it leaves that secret, and gains nothing,
    as the generation in force is then that very client's, which has come back elsewhere.

    Raises:
        SessionClaimedError: where another has it.
    """
    if held is None or held.generation == place.generation:
        return Reservation(place.generation + 1, node, place.generation, by, int(now))
    same = returns and bool(by) and (held.client_digest, held.claimed_generation) == (by, place.generation)
    if same and abs(now - held.reserved_at) <= RETURN_RETRY_S + MAX_CLOCK_SKEW_S:
        return Reservation(held.generation + 1, node, place.generation, by, int(now))
    raise SessionClaimedError(f"claimed: its life {place.generation} is over, {held.generation} is in force")


def reserve(
    place: Place, node: str, found: Item | None, by: str = "", now: float = 0.0, returns: bool = True
) -> tuple[int, Compare, KeyUpdate]:
    """The new generation, and the write that takes the session over, given what the store has `found`.

    The write holds only where nobody else was first. A session is not in the store before it goes on for the
    first time. Its reservation outlasts every token that it can still be met with, then its key expires.

    Raises:
        SessionClaimedError: where another has it already.
    """
    key, held = RESERVATION_PREFIX + place.session, None
    if found is not None:
        try:
            held = msgspec.convert(found.value, Reservation)
        except msgspec.ValidationError:
            raise SessionClaimedError("claimed: what holds it can't be read") from None
    reservation = next_reservation(place, node, held, by, now, returns)
    update = KeyUpdate(key, msgspec.to_builtins(reservation), ttl_ms=RETENTION_S * 1000)
    unchanged = Compare(key, found.modified_revision if found is not None else 0)
    return reservation.generation, unchanged, update


class LocalReservations:
    """A node's own reservations, where there is no store.

    Two nodes may both take one token; the save store's fence decides between them. Bounded: the oldest are
    forgotten.
    """

    def __init__(self) -> None:
        self.held: dict[str, Reservation] = {}  # by session, the oldest first

    def reserve(self, place: Place, now: float, by: str = "", returns: bool = True) -> int:
        """The new generation.

        Raises:
            SessionClaimedError: where this node knows of a later one.
        """
        reservation = next_reservation(place, "", self.held.get(place.session), by, now, returns)
        self.held.pop(place.session, None)
        self.held[place.session] = reservation
        self._forget_oldest(now)
        return reservation.generation

    def _forget_oldest(self, now: float) -> None:
        while self.held:
            oldest = next(iter(self.held))
            expired = self.held[oldest].reserved_at + RETENTION_S <= now
            if len(self.held) <= MAX_LOCAL_RESERVATIONS and not expired:
                break
            del self.held[oldest]
