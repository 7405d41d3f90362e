"""Tokens of resumable sessions, and their reservation by one node."""

from __future__ import annotations

import base64

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gradegap.resume.errors import SessionClaimedError, TokenError
from gradegap.resume.reservations import (
    RESERVATION_PREFIX,
    RETURN_RETRY_S,
    LocalReservations,
    Reservation,
    reserve,
    secret_digest,
)
from gradegap.resume.token import (
    MAX_CLOCK_SKEW_S,
    MAX_TOKEN_CHARS,
    TOKEN_LIFETIME_S,
    KeyRing,
    TokenPayload,
    digest,
    open_token,
    seal_token,
)
from gradegap.store.machine import StateMachine
from gradegap.store.records import Command, LogRecord, encode

# Tokens

PLACE = TokenPayload("5c0f6e1a2b3d4c59", "7f3a", "live", "s-1", 17, 3, 10_000)


def test_a_token_proves_what_was_sealed_until_its_key_is_retired() -> None:
    ring = KeyRing().rotated(1)
    token = seal_token(ring, "c", PLACE)
    assert open_token(ring, "c", token, 10_000 - TOKEN_LIFETIME_S) == PLACE and len(token) <= MAX_TOKEN_CHARS
    newer = ring.rotated(2)
    assert open_token(newer, "c", token, 9_900) == PLACE  # rolled over while a client held it
    old = ring.keys[0].id
    with pytest.raises(TokenError, match=r"^retired_key"):
        open_token(newer.retired(old), "c", token, 9_900)
    with pytest.raises(ValueError, match="seals"):
        ring.retired(old)
    with pytest.raises(ValueError, match="no key"):
        ring.retired("00000000")
    assert PLACE.session not in token and digest(token) != digest(seal_token(ring, "c", PLACE))
    with pytest.raises(ValueError, match="characters"):
        seal_token(ring, "c", TokenPayload("s" * 400, "c", "l", "s", 0, 0, 0))


@pytest.mark.parametrize(
    ("now", "cluster", "reason"),
    [
        (10_001 + MAX_CLOCK_SKEW_S, "c", "expired"),
        (9_999 - TOKEN_LIFETIME_S - MAX_CLOCK_SKEW_S, "c", "early"),
        (9_900, "other", "forged"),
    ],
)
def test_a_token_out_of_time_or_place_proves_nothing(now: float, cluster: str, reason: str) -> None:
    ring = KeyRing().rotated(1)
    with pytest.raises(TokenError, match=f"^{reason}"):
        open_token(ring, cluster, seal_token(ring, "c", PLACE), now)
    assert (
        open_token(ring, "c", seal_token(ring, "c", PLACE), 10_000 + MAX_CLOCK_SKEW_S) == PLACE
    )  # a clock that is behind


@settings(max_examples=200, deadline=None)
@given(st.data())
def test_a_token_that_was_changed_proves_nothing(data: st.DataObject) -> None:
    ring = KeyRing().rotated(1).rotated(2)
    token = seal_token(ring, "c", PLACE)
    raw = bytearray(base64.urlsafe_b64decode(token + "=" * (-len(token) % 4)))
    at = data.draw(st.integers(0, len(raw) - 1))
    how = data.draw(st.sampled_from(["flip", "cut", "noise"]))
    if how == "flip":
        raw[at] ^= data.draw(st.integers(1, 255))
        changed = base64.urlsafe_b64encode(raw).decode().rstrip("=")
    elif how == "cut":
        changed = token[: data.draw(st.integers(0, len(token) - 2))]
    else:
        changed = data.draw(st.text(max_size=500).filter(lambda x: x != token))
    with pytest.raises(TokenError):
        open_token(ring, "c", changed, 9_900)


def test_a_ring_is_bounded_and_checked() -> None:
    ring = KeyRing()
    for k in range(40):
        ring = ring.rotated(k)
    ring.check()
    assert len(ring.keys) == 16 and ring.sealing is not None and ring.sealing.made_ms == 39
    with pytest.raises(ValueError, match="keys with distinct ids"):
        KeyRing((ring.keys[0], ring.keys[0])).check()
    with pytest.raises(ValueError, match="no key in use"):
        seal_token(KeyRing(), "c", PLACE)


# Claims


def test_of_two_nodes_with_one_token_one_wins() -> None:
    machine, index = StateMachine(), 0

    def write(node: str, place: TokenPayload, found_now: bool = True) -> bool:
        nonlocal index
        index += 1
        _, compare, op = reserve(place, node, machine.get(RESERVATION_PREFIX + place.session))
        return commit(compare, op)

    def commit(compare: object, op: object) -> bool:
        nonlocal index
        index += 1
        body = Command(f"c{index}", 1, 99_000, "n", (compare,), (op,))  # type: ignore[arg-type]
        return machine.apply(index, encode(LogRecord(0, 0, body))).succeeded

    first = [reserve(PLACE, n, machine.get(RESERVATION_PREFIX + PLACE.session)) for n in ("n1", "n2")]
    assert [commit(*each[1:]) for each in first] == [True, False]  # at the same moment
    with pytest.raises(SessionClaimedError, match=r"^claimed"):
        write("n2", PLACE)  # a second later
    later = msgspec.structs.replace(PLACE, generation=4)
    second = [reserve(later, n, machine.get(RESERVATION_PREFIX + PLACE.session)) for n in ("n1", "n2")]
    assert [commit(*each[1:]) for each in second] == [True, False]
    held = msgspec.convert(machine.items[RESERVATION_PREFIX + PLACE.session].value, Reservation)
    assert (held.generation, held.node, held.claimed_generation) == (5, "n1", 4)
    assert machine.items[RESERVATION_PREFIX + PLACE.session].expires_at_ms > TOKEN_LIFETIME_S * 1000


def test_a_node_alone_takes_a_token_once() -> None:
    claims = LocalReservations()
    assert claims.reserve(PLACE, 0.0) == 4
    with pytest.raises(SessionClaimedError):
        claims.reserve(PLACE, 1.0)
    for k in range(30_000):
        claims.reserve(TokenPayload(f"s{k}", "c", "l", "s", 0, 0, 0), 2.0)
    assert len(claims.held) <= 20_000


def test_a_client_that_tries_again_is_known_by_its_secret_for_a_while() -> None:
    """Its node was killed, or no server took it, after its token was claimed and before it had another."""
    mine, other = secret_digest("ab" * 8), secret_digest("cd" * 8)
    claims = LocalReservations()
    assert claims.reserve(PLACE, 0.0, mine) == 4
    assert claims.reserve(PLACE, 1.0, mine) == 5 and claims.reserve(PLACE, 20.0, mine) == 6
    for by in ("", other):
        with pytest.raises(SessionClaimedError):
            claims.reserve(PLACE, 21.0, by)
    with pytest.raises(SessionClaimedError):
        claims.reserve(
            PLACE, 20.0 + RETURN_RETRY_S + MAX_CLOCK_SKEW_S + 1, mine
        )  # too late: it may be somebody who saw it pass
    # A node claimed the next life in place, with the secret of its session, and ended before it told of it.
    moved = LocalReservations()
    assert moved.reserve(PLACE, 0.0, mine) == 4
    with pytest.raises(SessionClaimedError):
        moved.reserve(PLACE, 1.0, other)
    assert moved.reserve(PLACE, 1.0, mine) == 5
    with pytest.raises(
        SessionClaimedError
    ):  # its client is back elsewhere: a node that still moves it takes nothing
        moved.reserve(PLACE, 2.0, mine, is_return=False)
    latest = msgspec.structs.replace(PLACE, generation=6)
    assert claims.reserve(latest, 30.0) == 7  # in place, or at its next return
    with pytest.raises(SessionClaimedError):
        claims.reserve(PLACE, 31.0, mine)
    for bad in ("short", "xy" * 8, "ab" * 40, "AB" * 8):
        with pytest.raises(ValueError, match=r"^ra"):
            secret_digest(bad)
