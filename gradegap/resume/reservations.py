"""Which of those that come with a token may go on with the session: one, by compare-and-set. No I/O."""

from __future__ import annotations

import hashlib
import re

import msgspec

from gradegap.resume.errors import SessionClaimedError
from gradegap.resume.token import MAX_CLOCK_SKEW_S, TOKEN_LIFETIME_S, Place
from gradegap.store.records import Compare, Item, KeyUpdate

RESERVATION_PREFIX = "claims/"
MAX_LOCAL_RESERVATIONS = 20_000
RETURN_RETRY_S = 30  # s within which a client may try again with a token that was claimed for it
_RETRY = re.compile(r"[0-9a-f]{16,64}")


class Reservation(msgspec.Struct, frozen=True):
    """`claims/SESSION`: the life of the session that is in force, and whose it is."""

    epoch: int
    node: str
    of: int = -1  # the life whose token it was claimed with, by a client that returned
    by: str = ""  # a digest of what that client will know itself by, if it must try again
    at: int = 0  # Unix time in s


def secret_digest(retry: str) -> str:
    """What is kept of the secret by which a client that returns proves that it is the one that came before;
    empty for none. `ValueError` where it can be guessed or is no such word.
    """
    if not retry:
        return ""
    if _RETRY.fullmatch(retry) is None:
        raise ValueError("ra is 16 to 64 hexadecimal digits")
    return hashlib.sha256(retry.encode()).hexdigest()[:32]


def following(
    place: Place, node: str, held: Reservation | None, by: str, now: float, returns: bool = True
) -> Reservation:
    """The life after the one that the token names.

    Guards against a token that is lost with its use: the node that claimed the life was killed, or no server
    took the session, before its client was given another. Who brings the same secret for the same token
    within `RETURN_RETRY_S` s is that client, and gets the life after the one that it never heard of.

    Not so a node that moves a session in place (not `returns`): it leaves that secret, and gains nothing,
    as the life in force is then that very client's, which has come back elsewhere.
    """
    if held is None or held.epoch == place.epoch:
        return Reservation(place.epoch + 1, node, place.epoch, by, int(now))
    same = returns and bool(by) and (held.by, held.of) == (by, place.epoch)
    if same and abs(now - held.at) <= RETURN_RETRY_S + MAX_CLOCK_SKEW_S:
        return Reservation(held.epoch + 1, node, place.epoch, by, int(now))
    raise SessionClaimedError(f"claimed: its life {place.epoch} is over, {held.epoch} is in force")


def claim(
    place: Place, node: str, found: Item | None, by: str = "", now: float = 0.0, returns: bool = True
) -> tuple[int, Compare, KeyUpdate]:
    """The new life, and the write that takes the session over from the one that the token names, given what
    the store has. It holds only where nobody else was first.

    A session is not in the store before it moves for the first time. Its claim outlasts every token that it
    can still be met with, then its key ends by itself.
    """
    key, held = RESERVATION_PREFIX + place.session, None
    if found is not None:
        try:
            held = msgspec.convert(found.value, Reservation)
        except msgspec.ValidationError:
            raise SessionClaimedError("claimed: what holds it can't be read") from None
    made = following(place, node, held, by, now, returns)
    op = KeyUpdate(key, msgspec.to_builtins(made), ttl_ms=(TOKEN_LIFETIME_S + 2 * MAX_CLOCK_SKEW_S) * 1000)
    return made.epoch, Compare(key, found.modified_revision if found is not None else 0), op


class LocalReservations:
    """A node's own claims, where there is no store: two nodes may both take one token, and the save store's
    fence decides between them. Bounded: the oldest are forgotten.
    """

    def __init__(self) -> None:
        self.held: dict[str, Reservation] = {}

    def claim(self, place: Place, now: float, by: str = "", returns: bool = True) -> int:
        """The new epoch; `SessionClaimedError` where this node knows of a later one."""
        made = following(place, "", self.held.get(place.session), by, now, returns)
        self.held.pop(place.session, None)
        self.held[place.session] = made
        while self.held:
            first = next(iter(self.held))
            if (
                len(self.held) <= MAX_LOCAL_RESERVATIONS
                and self.held[first].at + TOKEN_LIFETIME_S + 2 * MAX_CLOCK_SKEW_S > now
            ):
                break
            del self.held[first]
        return made.epoch
