"""Reserves the next generation of a session for this node: in the store, or locally where it has none."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from gradegap.resume.errors import SessionClaimedError
from gradegap.resume.key_ring_source import SessionStore, StoreLookup
from gradegap.resume.reservations import RESERVATION_PREFIX, LocalReservations, reserve
from gradegap.resume.token import Place
from gradegap.store import wire

MIN_WRITE_TIMEOUT_S = 0.05  # for the write, however long the read took


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """The generation after `place`'s, and who is called with what came of it: exactly one, once."""

    place: Place
    timeout_s: float
    by: str  # the client's secret as a digest, for a retry of its own
    returns: bool  # whether the client has returned; else its node migrates it in place
    reserved: Callable[[int], None]  # with the generation
    claimed: Callable[[SessionClaimedError], None]  # another has it
    unavailable: Callable[[str], None]  # nobody can say; with the reason


class ReservationService:
    """Of two that request the same generation, one gets it."""

    def __init__(self, node: str, store: StoreLookup | None) -> None:
        self.node, self.store = node, store
        self.local = LocalReservations()

    def reserve(self, request: ReservationRequest) -> None:
        """Begin; one of the request's callbacks is called, perhaps at once."""
        if self.store is None:
            self._reserve_locally(request)
            return
        store = self.store()
        if store is None:
            request.unavailable("no store")
        else:
            _StoreReservation(self.node, store, request).read()

    def _reserve_locally(self, request: ReservationRequest) -> None:
        try:
            epoch = self.local.reserve(request.place, time.time(), request.by, request.returns)
        except SessionClaimedError as error:
            request.claimed(error)
        else:
            request.reserved(epoch)


class _StoreReservation:
    """One reservation in the store: read what is there, then compare and set."""

    def __init__(self, node: str, store: SessionStore, request: ReservationRequest) -> None:
        self.node, self.store, self.request = node, store, request
        self.began = time.monotonic()
        self.epoch = 0  # once it was read which comes next

    def read(self) -> None:
        key = RESERVATION_PREFIX + self.request.place.session
        self.store.service.request(wire.Get(key), self._write, self.request.timeout_s)

    def _write(self, response: wire.Response) -> None:
        request = self.request
        if response.outcome != "ok":
            request.unavailable(response.text)
            return
        item = response.items[0] if response.items else None
        try:
            self.epoch, compare, update = reserve(
                request.place, self.node, item, request.by, time.time(), request.returns
            )
        except SessionClaimedError as error:
            request.claimed(error)
            return
        write = wire.Transaction((update,), (compare,), author=self.node)
        left = request.timeout_s - (time.monotonic() - self.began)
        self.store.service.request(write, self._finish, max(MIN_WRITE_TIMEOUT_S, left))

    def _finish(self, response: wire.Response) -> None:
        if response.outcome != "ok":
            self.request.unavailable(response.text)
        elif not response.succeeded:
            self.request.claimed(SessionClaimedError("claimed: another came with it at this moment"))
        else:
            self.request.reserved(self.epoch)
