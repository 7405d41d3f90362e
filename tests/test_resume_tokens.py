"""Tokens of resumable sessions, and the reservation of session generations."""

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

PAYLOAD = TokenPayload("5c0f6e1a2b3d4c59", "7f3a", "live", "s-1", 17, 3, 10_000)


def test_token_opens_until_its_key_is_retired() -> None:
    ring = KeyRing().rotated(1)
    token = seal_token(ring, "c", PAYLOAD)
    assert (
        open_token(ring, "c", token, 10_000 - TOKEN_LIFETIME_S) == PAYLOAD and len(token) <= MAX_TOKEN_CHARS
    )
    rotated_ring = ring.rotated(2)
    assert (
        open_token(rotated_ring, "c", token, 9_900) == PAYLOAD
    )  # the key was rotated while a client held the token
    old_key_id = ring.keys[0].id
    with pytest.raises(TokenError, match=r"^retired_key"):
        open_token(rotated_ring.retired(old_key_id), "c", token, 9_900)
    with pytest.raises(ValueError, match="seals"):
        ring.retired(old_key_id)
    with pytest.raises(ValueError, match="no key"):
        ring.retired("00000000")
    assert PAYLOAD.session not in token and digest(token) != digest(seal_token(ring, "c", PAYLOAD))
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
def test_token_outside_its_time_or_cluster_is_rejected(now: float, cluster: str, reason: str) -> None:
    ring = KeyRing().rotated(1)
    with pytest.raises(TokenError, match=f"^{reason}"):
        open_token(ring, cluster, seal_token(ring, "c", PAYLOAD), now)
    assert (
        open_token(ring, "c", seal_token(ring, "c", PAYLOAD), 10_000 + MAX_CLOCK_SKEW_S) == PAYLOAD
    )  # accepted, as the clocks may differ


@settings(max_examples=200, deadline=None)
@given(st.data())
def test_altered_token_is_rejected(data: st.DataObject) -> None:
    ring = KeyRing().rotated(1).rotated(2)
    token = seal_token(ring, "c", PAYLOAD)
    token_bytes = bytearray(base64.urlsafe_b64decode(token + "=" * (-len(token) % 4)))
    position = data.draw(st.integers(0, len(token_bytes) - 1))
    alteration = data.draw(st.sampled_from(["flip", "cut", "noise"]))
    if alteration == "flip":
        token_bytes[position] ^= data.draw(st.integers(1, 255))
        altered_token = base64.urlsafe_b64encode(token_bytes).decode().rstrip("=")
    elif alteration == "cut":
        altered_token = token[: data.draw(st.integers(0, len(token) - 2))]
    else:
        altered_token = data.draw(st.text(max_size=500).filter(lambda candidate: candidate != token))
    with pytest.raises(TokenError):
        open_token(ring, "c", altered_token, 9_900)


def test_key_ring_limits_keys_and_rejects_duplicate_ids() -> None:
    ring = KeyRing()
    for now_ms in range(40):
        ring = ring.rotated(now_ms)
    ring.check()
    assert len(ring.keys) == 16 and ring.sealing is not None and ring.sealing.made_ms == 39
    with pytest.raises(ValueError, match="keys with distinct ids"):
        KeyRing((ring.keys[0], ring.keys[0])).check()
    with pytest.raises(ValueError, match="no key in use"):
        seal_token(KeyRing(), "c", PAYLOAD)


# Reservations


def test_concurrent_reservations_of_one_token_succeed_once() -> None:
    machine, index = StateMachine(), 0

    def write(node: str, payload: TokenPayload, found_now: bool = True) -> bool:
        nonlocal index
        index += 1
        _, compare, update = reserve(payload, node, machine.get(RESERVATION_PREFIX + payload.session))
        return commit(compare, update)

    def commit(compare: object, update: object) -> bool:
        nonlocal index
        index += 1
        body = Command(f"c{index}", 1, 99_000, "n", (compare,), (update,))  # type: ignore[arg-type]
        return machine.apply(index, encode(LogRecord(0, 0, body))).succeeded

    first_reservations = [
        reserve(PAYLOAD, node_name, machine.get(RESERVATION_PREFIX + PAYLOAD.session))
        for node_name in ("n1", "n2")
    ]
    # Both nodes have read the same state.
    assert [commit(*reservation[1:]) for reservation in first_reservations] == [True, False]
    with pytest.raises(SessionClaimedError, match=r"^claimed"):
        write("n2", PAYLOAD)  # after the reservation was written
    later_payload = msgspec.structs.replace(PAYLOAD, generation=4)
    second_reservations = [
        reserve(later_payload, node_name, machine.get(RESERVATION_PREFIX + PAYLOAD.session))
        for node_name in ("n1", "n2")
    ]
    assert [commit(*reservation[1:]) for reservation in second_reservations] == [True, False]
    held = msgspec.convert(machine.items[RESERVATION_PREFIX + PAYLOAD.session].value, Reservation)
    assert (held.generation, held.node, held.claimed_generation) == (5, "n1", 4)
    assert machine.items[RESERVATION_PREFIX + PAYLOAD.session].expires_at_ms > TOKEN_LIFETIME_S * 1000


def test_local_reservations_accept_a_token_once() -> None:
    reservations = LocalReservations()
    assert reservations.reserve(PAYLOAD, 0.0) == 4
    with pytest.raises(SessionClaimedError):
        reservations.reserve(PAYLOAD, 1.0)
    for index in range(30_000):
        reservations.reserve(TokenPayload(f"s{index}", "c", "l", "s", 0, 0, 0), 2.0)
    assert len(reservations.held) <= 20_000


def test_retry_with_same_secret_succeeds_within_retry_period() -> None:
    """Guards against a lost session: its token is used, but the client is sent no new one.

    This happens if its node is killed, or no server accepts the session, after the reservation.
    """
    own_digest, other_digest = secret_digest("ab" * 8), secret_digest("cd" * 8)
    reservations = LocalReservations()
    assert reservations.reserve(PAYLOAD, 0.0, own_digest) == 4
    assert (
        reservations.reserve(PAYLOAD, 1.0, own_digest) == 5
        and reservations.reserve(PAYLOAD, 20.0, own_digest) == 6
    )
    for wrong_digest in ("", other_digest):
        with pytest.raises(SessionClaimedError):
            reservations.reserve(PAYLOAD, 21.0, wrong_digest)
    # Too late: the secret may have been observed by someone else.
    with pytest.raises(SessionClaimedError):
        reservations.reserve(PAYLOAD, 20.0 + RETURN_RETRY_S + MAX_CLOCK_SKEW_S + 1, own_digest)
    # A node reserved the next generation in place, with the digest of the session's secret, and ended before
    # it sent the client a token.
    in_place_reservations = LocalReservations()
    assert in_place_reservations.reserve(PAYLOAD, 0.0, own_digest) == 4
    with pytest.raises(SessionClaimedError):
        in_place_reservations.reserve(PAYLOAD, 1.0, other_digest)
    assert in_place_reservations.reserve(PAYLOAD, 1.0, own_digest) == 5
    with pytest.raises(
        SessionClaimedError
    ):  # the client has returned elsewhere; an in-place migration gets no reservation
        in_place_reservations.reserve(PAYLOAD, 2.0, own_digest, is_return=False)
    latest_payload = msgspec.structs.replace(PAYLOAD, generation=6)
    assert reservations.reserve(latest_payload, 30.0) == 7  # by an in-place migration or the next return
    with pytest.raises(SessionClaimedError):
        reservations.reserve(PAYLOAD, 31.0, own_digest)
    for invalid_secret in ("short", "xy" * 8, "ab" * 40, "AB" * 8):
        with pytest.raises(ValueError, match=r"^ra"):
            secret_digest(invalid_secret)
