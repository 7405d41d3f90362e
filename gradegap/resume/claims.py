"""Which of those that come with a token may go on with the session: one, by compare-and-set. No I/O."""

from __future__ import annotations

import msgspec

from gradegap.resume.token import LIFE, SKEW, Place
from gradegap.store.machine import Compare, Item, Op

CLAIMS = "claims/"
MOST_LOCAL = 20_000


class Claimed(ValueError):
    """The session has moved on; its first word is the reason that is told and counted."""


class Claim(msgspec.Struct, frozen=True):
    """`claims/SESSION`: the life of the session that is in force, and whose it is."""

    epoch: int
    node: str


def claim(place: Place, node: str, found: Item | None) -> tuple[Compare, Op]:
    """The write that takes the session over from the life that the token names, given what the store has.
    It holds only where nobody else was first; `Claimed` where somebody was already.

    A session is not in the store before it moves for the first time. Its claim outlasts every token that it
    can still be met with, then its key ends by itself.
    """
    key = CLAIMS + place.session
    op = Op(key, msgspec.to_builtins(Claim(place.epoch + 1, node)), ttl_ms=(LIFE + 2 * SKEW) * 1000)
    if found is None:
        return Compare(key, 0), op
    try:
        held = msgspec.convert(found.value, Claim)
    except msgspec.ValidationError:
        raise Claimed("claimed: what holds it can't be read") from None
    if held.epoch != place.epoch:
        raise Claimed(f"claimed: its life {place.epoch} is over, {held.epoch} is in force")
    return Compare(key, found.changed), op


class LocalClaims:
    """A node's own claims, where there is no store: two nodes may both take one token, and the save store's
    fence decides between them. Bounded: the oldest are forgotten."""

    def __init__(self) -> None:
        self.epochs: dict[str, tuple[int, float]] = {}

    def claim(self, place: Place, now: float) -> int:
        """The new epoch; `Claimed` where this node knows of a later one."""
        held, _ = self.epochs.get(place.session, (place.epoch, 0.0))
        if held != place.epoch:
            raise Claimed(f"claimed: its life {place.epoch} is over, {held} is in force")
        self.epochs.pop(place.session, None)
        self.epochs[place.session] = (held + 1, now + LIFE + 2 * SKEW)
        while self.epochs:
            first = next(iter(self.epochs))
            if len(self.epochs) <= MOST_LOCAL and self.epochs[first][1] > now:
                break
            del self.epochs[first]
        return held + 1
