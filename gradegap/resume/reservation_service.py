"""Reserves the next generation of a session for this node, in the store or locally if there is no store."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from gradegap.resume.errors import SessionClaimedError
from gradegap.resume.key_ring_source import SessionStore, StoreLookup
from gradegap.resume.reservations import RESERVATION_PREFIX, LocalReservations, reserve
from gradegap.resume.token import TokenPayload
from gradegap.store import wire

MIN_WRITE_TIMEOUT_S = 0.05  # lower limit of the write's timeout, even if the read took the whole timeout


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """A request to reserve the generation after the one in `payload`.

    Exactly one of the three callbacks is called, and only once.
    """

    payload: TokenPayload
    timeout_s: float
    client_digest: str  # digest of the client's secret, which identifies a retry by the same client
    is_return: bool  # True: the client has returned with a token; False: its node migrates it in place
    on_reserved: Callable[[int], None]  # called with the reserved generation
    on_claimed: Callable[[SessionClaimedError], None]  # called if the generation is already reserved
    on_unavailable: Callable[[str], None]  # called with the reason if the store can't decide


class ReservationService:
    """Reserves each generation of a session only once, even if several nodes request it."""

    def __init__(self, node: str, store: StoreLookup | None) -> None:
        self.node, self.store = node, store
        self.local = LocalReservations()

    def reserve(self, request: ReservationRequest) -> None:
        """Start a reservation; one of its callbacks is called, possibly before this method returns."""
        if self.store is None:
            self._reserve_locally(request)
            return
        store = self.store()
        if store is None:
            request.on_unavailable("no store")
        else:
            _StoreReservation(self.node, store, request).read()

    def _reserve_locally(self, request: ReservationRequest) -> None:
        try:
            generation = self.local.reserve(
                request.payload, time.time(), request.client_digest, request.is_return
            )
        except SessionClaimedError as error:
            request.on_claimed(error)
        else:
            request.on_reserved(generation)


class _StoreReservation:
    """One reservation in the store: reads the session's current one, then writes by compare-and-set."""

    def __init__(self, node: str, store: SessionStore, request: ReservationRequest) -> None:
        self.node, self.store, self.request = node, store, request
        self.started_at = time.monotonic()
        self.generation = 0  # the generation to reserve; known once the current reservation is read

    def read(self) -> None:
        key = RESERVATION_PREFIX + self.request.payload.session
        self.store.service.request(wire.Get(key), self._write, self.request.timeout_s)

    def _write(self, response: wire.Response) -> None:
        request = self.request
        if response.outcome != "ok":
            request.on_unavailable(response.text)
            return
        item = response.items[0] if response.items else None
        try:
            self.generation, compare, update = reserve(
                request.payload, self.node, item, request.client_digest, time.time(), request.is_return
            )
        except SessionClaimedError as error:
            request.on_claimed(error)
            return
        write = wire.Transaction((update,), (compare,), author=self.node)
        remaining_s = request.timeout_s - (time.monotonic() - self.started_at)
        self.store.service.request(write, self._finish, max(MIN_WRITE_TIMEOUT_S, remaining_s))

    def _finish(self, response: wire.Response) -> None:
        if response.outcome != "ok":
            self.request.on_unavailable(response.text)
        elif not response.succeeded:
            self.request.on_claimed(
                SessionClaimedError("claimed: another node was first to reserve the generation")
            )
        else:
            self.request.on_reserved(self.generation)
