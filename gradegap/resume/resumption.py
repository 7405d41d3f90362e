"""A node's part in resumable sessions: what it reads in first lines, and what it claims before they go on.

Offered by the client (`rs=1`) and by this node (`rn=`), accepted by the server; docs/design/resume.md.
"""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
import time

import msgspec
import structlog

from gradegap.downstream.framing import Opening
from gradegap.downstream.session import ClientSession
from gradegap.metrics import Metrics
from gradegap.resume.acceptance import read_acceptance
from gradegap.resume.errors import ResumeError, TokenError
from gradegap.resume.first_line import FirstLine, SessionOffer, offer_fields
from gradegap.resume.key_ring_source import KeyRingSource, StoreLookup
from gradegap.resume.lines import NUMBER_LIMIT
from gradegap.resume.migration import GENERATION_GRANTED, MIGRATION_TIMEOUT_S, PendingMigration
from gradegap.resume.reservation_service import ReservationRequest, ReservationService
from gradegap.resume.reservations import secret_digest
from gradegap.resume.session_relay import RelayState, SessionRelay
from gradegap.resume.settings import ResumeSettings
from gradegap.resume.token import KeyRing, Place, digest, open_token
from gradegap.resume.token_issuer import TokenIssuer
from gradegap.resume.window import MAX_UNANSWERED
from gradegap.transport.lines import InvalidLineError

log = structlog.get_logger()

UNCLAIMED_RETRY_S = 0.5  # after which a client may return whose token could not be claimed
MAX_FRUITLESS_MIGRATIONS = 3  # in place, without an answer in between
MIN_WAIT_S = 0.05  # that a request has left, however long its reservation took
DEFAULT_WAIT_S, MAX_WAIT_S = 1.0, 5.0  # of a client's wait, for a reservation
RESERVATION_SHARE = 0.8  # of it, that a reservation may take


class Resumer:
    """Makes sessions resumable at one node. `store` is the store, where there is one by now."""

    def __init__(
        self,
        node: str,
        settings: ResumeSettings,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
        store: StoreLookup | None,
    ) -> None:
        self.metrics, self.loop = metrics, loop
        self.keys = KeyRingSource(node, store, metrics)
        self.reservations = ReservationService(node, store)
        self.tokens = TokenIssuer(self.keys, settings, metrics, loop)

    # The process that follows this one

    def export_keys(self) -> bytes:
        """What the next process of this node must know, so that tokens stay good where there is no store."""
        return self.keys.export_own()

    def import_keys(self, keys: bytes) -> None:
        """Go on with the keys that the predecessor has exported."""
        self.keys.import_own(keys)

    # First lines

    def begin(self, session: ClientSession, line: bytes, opening: Opening) -> bool:
        """Whether this first line is a resumable session's: then it is opened, or rejected, from here.

        Raises:
            InvalidLineError: where a field is none that a client may send.
        """
        first = FirstLine(line)
        if "rn" in first.fields:
            # Guards the save servers: only a node says whose a session is.
            raise InvalidLineError("rn is a node's word")
        if first.fields.get("rs") != "1":
            return False
        ring, token = self.keys.ring(), first.fields.pop("rt", "")
        seen = first.fields.pop("rh", "0")
        try:
            by = secret_digest(first.fields.pop("ra", ""))
        except ValueError as error:
            raise InvalidLineError(str(error)) from None
        if token:
            self._return(session, first, opening, ring, token, seen, by)
            return True
        if ring.sealing is None or seen != "0":
            self.metrics.count("resume_not_offered")
            return False  # plain lines, as the endpoint does without the node's offer
        offer = SessionOffer(secrets.token_hex(8), 1, 0, opening.request.key, opening.request.class_name, by)
        self._go_on(session, first, offer, 0.0)
        return True

    def _return(
        self,
        session: ClientSession,
        first: FirstLine,
        opening: Opening,
        ring: KeyRing,
        token: str,
        seen: str,
        by: str,
    ) -> None:
        """A client has returned with a token."""
        session.accept_opening(opening)
        if not self.keys.is_current():
            # Guards against a ring that is not read yet: a good token would be refused for good.
            self._reject_for_now(session, "no lease of the store")
            return
        try:
            place = open_token(ring, self.keys.cluster(), token, time.time())
            if place.client != opening.request.key or place.class_name != opening.request.class_name:
                raise TokenError("stranger: it is another client's or class's")
            if not seen.isdecimal() or not place.position <= int(seen) < NUMBER_LIMIT:
                raise TokenError("position: the client was further when it got its token")
        except TokenError as error:
            self._refuse(session, token, error)
            return
        offer = SessionOffer(
            place.session, place.generation + 1, int(seen), place.client, place.class_name, by
        )
        self._claim(session, first, offer, place, token)

    def _claim(
        self, session: ClientSession, first: FirstLine, offer: SessionOffer, place: Place, token: str
    ) -> None:
        """The token's one use: of two that bring it, one goes on."""
        began = time.monotonic()

        def reserved(epoch: int) -> None:
            if epoch > place.generation + 1:
                self.metrics.count("resume_returns_again")
            offer.generation = epoch
            log.info(
                GENERATION_GRANTED,
                session=offer.session,
                epoch=offer.generation,
                how="return",
                token=digest(token),
            )
            self._go_on(session, first, offer, time.monotonic() - began)

        wait = session.opening.request.wait if session.opening is not None else None
        self.reservations.reserve(
            ReservationRequest(
                place,
                min(wait or DEFAULT_WAIT_S, MAX_WAIT_S) * RESERVATION_SHARE,
                offer.client_digest,
                returns=True,
                reserved=reserved,
                claimed=lambda error: self._refuse(session, token, error),
                unavailable=lambda why: self._reject_for_now(session, why),
            )
        )

    def _go_on(self, session: ClientSession, first: FirstLine, offer: SessionOffer, spent: float) -> None:
        """Open the request, less the time that was `spent` on it."""
        fields = offer_fields(offer)
        if offer.seen:
            fields["rh"] = str(offer.seen)
        opening = first.opening_with(fields)
        if spent and opening.request.wait is not None:
            wait = max(MIN_WAIT_S, opening.request.wait - spent)
            request = msgspec.structs.replace(opening.request, wait=wait)
            opening = dataclasses.replace(opening, request=request)
        session.offer = offer
        self.metrics.count("resume_offered" if offer.generation == 1 else "resume_returns")
        session.open_with(opening)

    def _refuse(self, session: ClientSession, token: str, error: ResumeError) -> None:
        """For good: this token opens nothing."""
        self.metrics.count(f"resume_refused_{error.reason}")
        log.info("session not resumed", token=digest(token), reason=str(error))
        session.reject_resumption(error.reason)

    def _reject_for_now(self, session: ClientSession, why: str) -> None:
        """Without a quorum nobody can be said to be the one: the client is to return."""
        self.metrics.count("resume_not_claimed")
        log.warning("token not claimed", reason=why)
        if not session.closed:
            session.reject(UNCLAIMED_RETRY_S)

    # The endpoint's answer

    def on_endpoint_established(self, session: ClientSession, first: bytes) -> bytes | None:
        """An endpoint's `UP` as the client gets it; without the endpoint's consent the same to the byte.

        None where the session came to go on and this endpoint would begin anew.
        """
        offer = session.offer
        assert isinstance(offer, SessionOffer)
        line, _, rest = first.partition(b"\n")
        acceptance = read_acceptance(line.rstrip(b"\r"), offer.seen)
        if acceptance is None:
            session.offer = None
            if offer.generation == 1:
                self.metrics.count("resume_not_accepted")
                return first
            # It came to go on; an endpoint that begins anew would lose what it had.
            self.metrics.count("resume_refused_server")
            return None
        session.relay = relay = SessionRelay(offer.seen, acceptance.executed)
        self.metrics.count("resume_accepted")
        token = self.tokens.issue(session, offer).encode()
        terms = (acceptance.receipt, acceptance.executed, MAX_UNANSWERED, token)
        answer = b"UP %b rs=%d,w=%d,t=%b\r\n" % terms
        if rest:
            answer += relay.from_endpoint(rest, relay.endpoint_number).to_client
        return answer

    # Established sessions

    def on_session_closed(self, session: ClientSession) -> None:
        """An established session has ended here."""
        self.tokens.forget(session)

    def migrate_in_place(self, session: ClientSession) -> bool:
        """Whether a session goes to another endpoint while its client's connection stays.

        Not from a node that leaves itself, and not while its window can't be trusted.
        """
        offer, relay, opening, proxy = session.offer, session.relay, session.opening, session.proxy
        if opening is None or proxy.shutting_down or proxy.drain_deadline is not None:
            return False
        if not isinstance(offer, SessionOffer) or not isinstance(relay, SessionRelay):
            return False
        if relay.state is RelayState.OVER or self._is_fruitless(offer, relay):
            return False
        relay.hold_client()
        first = FirstLine(opening.before_wait + b"1" + opening.after_wait)
        session.migration = pending = PendingMigration(session, first, offer, relay, self.tokens, self.loop)
        place = Place(offer.session, offer.client_key, offer.class_name, "", 0, offer.generation, 0)
        # The secret goes along: if this node ends before the client has a token of the new generation,
        # the token of the old one must still bring its client back.
        request = ReservationRequest(
            place,
            MIGRATION_TIMEOUT_S,
            offer.client_digest,
            returns=False,
            reserved=pending.reserved,
            claimed=lambda error: pending.not_reserved(str(error)),
            unavailable=pending.not_reserved,
        )
        # Later: the proxy first ends what it has of the endpoint that is left.
        self.loop.call_soon(self.reservations.reserve, request)
        return True

    def _is_fruitless(self, offer: SessionOffer, relay: SessionRelay) -> bool:
        """Guards against a request that ends every endpoint it comes to.

        Without an answer in between, a session is not handed from one to the next for ever.
        """
        offer.fruitless_migrations = (
            offer.fruitless_migrations + 1 if relay.position == offer.last_position else 0
        )
        offer.last_position = relay.position
        if offer.fruitless_migrations < MAX_FRUITLESS_MIGRATIONS:
            return False
        self.metrics.count("resume_in_place_fruitless")
        log.warning("session not migrated: no answer came of the last migrations")
        return True
