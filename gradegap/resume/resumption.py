"""Makes sessions resumable at a node: reads first lines, checks tokens and reserves session generations.

The client (`rs=1`) and this node (`rn=`) offer the extension, and the server accepts it. It is specified in
docs/design/resume.md.
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
from gradegap.resume.migration import GENERATION_GRANTED_EVENT, MIGRATION_TIMEOUT_S, PendingMigration
from gradegap.resume.reservation_service import ReservationRequest, ReservationService
from gradegap.resume.reservations import secret_digest
from gradegap.resume.session_relay import RelayState, SessionRelay
from gradegap.resume.settings import ResumeSettings
from gradegap.resume.token import KeyRing, TokenPayload, digest, open_token
from gradegap.resume.token_issuer import TokenIssuer
from gradegap.resume.window import MAX_UNANSWERED
from gradegap.transport.lines import InvalidLineError

log = structlog.get_logger()

UNCLAIMED_RETRY_S = 0.5  # retry delay sent to a client if no generation can be reserved for now
MAX_FRUITLESS_MIGRATIONS = 3  # limit of consecutive in-place migrations without an answer in between
MIN_REMAINING_WAIT_S = 0.05  # lower limit of a request's wait after subtracting the time of the reservation
# Default and upper limit of the client's wait from which the timeout of a reservation is computed.
DEFAULT_WAIT_S, MAX_WAIT_S = 1.0, 5.0
RESERVATION_TIMEOUT_RATIO = 0.8  # the timeout of a reservation is this fraction of the client's wait


class Resumer:
    """Makes sessions resumable at one node.

    `store` returns the node's store; it is None for a node that has no store.
    """

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

    # Transfer of the key ring in a hot restart

    def export_keys(self) -> bytes:
        """Return the local key ring for the successor process, so that tokens stay valid without a store."""
        return self.keys.export_local()

    def import_keys(self, keys: bytes) -> None:
        """Adopt the key ring that the predecessor process has exported."""
        self.keys.import_local(keys)

    # First lines

    def begin(self, session: ClientSession, line: bytes, opening: Opening) -> bool:
        """Open or reject the session if its first line offers the extension, else return False.

        Raises:
            InvalidLineError: if the line has a field that a client must not send, or `ra` is invalid.
        """
        first_line = FirstLine(line)
        if "rn" in first_line.fields:
            # Protects the save servers: only a node may name a session and its generation.
            raise InvalidLineError("field rn must only be added by a node")
        if first_line.fields.get("rs") != "1":
            return False
        ring, token = self.keys.ring(), first_line.fields.pop("rt", "")
        seen = first_line.fields.pop("rh", "0")
        try:
            client_digest = secret_digest(first_line.fields.pop("ra", ""))
        except ValueError as error:
            raise InvalidLineError(str(error)) from None
        if token:
            self._accept_return(session, first_line, opening, ring, token, seen, client_digest)
            return True
        if ring.sealing is None or seen != "0":
            self.metrics.count("resume_not_offered")
            return False  # without the node's offer, the endpoint serves a plain session
        offer = SessionOffer(
            secrets.token_hex(8), 1, 0, opening.request.key, opening.request.class_name, client_digest
        )
        self._open_session(session, first_line, offer, 0.0)
        return True

    def _accept_return(
        self,
        session: ClientSession,
        first_line: FirstLine,
        opening: Opening,
        ring: KeyRing,
        token: str,
        seen: str,
        client_digest: str,
    ) -> None:
        """Handle a client that returns with a token."""
        session.accept_opening(opening)
        if not self.keys.is_current():
            # With an outdated key ring, a valid token would be taken for invalid and rejected permanently.
            self._reject_temporarily(session, "this node has no lease of the store")
            return
        try:
            payload = open_token(ring, self.keys.cluster(), token, time.time())
            if payload.client != opening.request.key or payload.class_name != opening.request.class_name:
                raise TokenError("stranger: the token belongs to another client or class")
            if not seen.isdecimal() or not payload.position <= int(seen) < NUMBER_LIMIT:
                raise TokenError("position: rh must be a number and not below the position in the token")
        except TokenError as error:
            self._reject_permanently(session, token, error)
            return
        offer = SessionOffer(
            payload.session,
            payload.generation + 1,
            int(seen),
            payload.client,
            payload.class_name,
            client_digest,
        )
        self._reserve_generation(session, first_line, offer, payload, token)

    def _reserve_generation(
        self,
        session: ClientSession,
        first_line: FirstLine,
        offer: SessionOffer,
        payload: TokenPayload,
        token: str,
    ) -> None:
        """Reserve the next generation, which uses up the token; only one holder of the token succeeds."""
        started_at = time.monotonic()

        def reserved(generation: int) -> None:
            if generation > payload.generation + 1:
                self.metrics.count("resume_returns_again")
            offer.generation = generation
            log.info(
                GENERATION_GRANTED_EVENT,
                session=offer.session,
                epoch=offer.generation,
                how="return",
                token=digest(token),
            )
            self._open_session(session, first_line, offer, time.monotonic() - started_at)

        wait_s = session.opening.request.wait if session.opening is not None else None
        self.reservations.reserve(
            ReservationRequest(
                payload,
                min(wait_s or DEFAULT_WAIT_S, MAX_WAIT_S) * RESERVATION_TIMEOUT_RATIO,
                offer.client_digest,
                is_return=True,
                on_reserved=reserved,
                on_claimed=lambda error: self._reject_permanently(session, token, error),
                on_unavailable=lambda reason: self._reject_temporarily(session, reason),
            )
        )

    def _open_session(
        self, session: ClientSession, first_line: FirstLine, offer: SessionOffer, elapsed_s: float
    ) -> None:
        """Open the request; its wait is reduced by `elapsed_s`, the seconds that the reservation took."""
        fields = offer_fields(offer)
        if offer.seen:
            fields["rh"] = str(offer.seen)
        opening = first_line.opening_with(fields)
        if elapsed_s and opening.request.wait is not None:
            wait_s = max(MIN_REMAINING_WAIT_S, opening.request.wait - elapsed_s)
            request = msgspec.structs.replace(opening.request, wait=wait_s)
            opening = dataclasses.replace(opening, request=request)
        session.offer = offer
        self.metrics.count("resume_offered" if offer.generation == 1 else "resume_returns")
        session.open_with(opening)

    def _reject_permanently(self, session: ClientSession, token: str, error: ResumeError) -> None:
        """Reject the client permanently, as its token is invalid or used."""
        self.metrics.count(f"resume_refused_{error.reason}")
        log.info("session not resumed", token=digest(token), reason=str(error))
        session.reject_resumption(error.reason)

    def _reject_temporarily(self, session: ClientSession, reason: str) -> None:
        """Tell the client to retry, as without a quorum no generation can be reserved."""
        self.metrics.count("resume_not_claimed")
        log.warning("session generation not reserved", reason=reason)
        if not session.closed:
            session.reject(UNCLAIMED_RETRY_S)

    # The endpoint's answer

    def on_endpoint_established(self, session: ClientSession, first: bytes) -> bytes | None:
        """Return the data for the client, made from an endpoint's first data, which starts with its `UP`.

        If the endpoint does not accept the extension, the data is returned unchanged. Returns None if the
        session has to continue but this endpoint would start it from the beginning.
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
            # The session has to continue; an endpoint that starts it from the beginning would lose its state.
            self.metrics.count("resume_refused_server")
            return None
        session.relay = relay = SessionRelay(offer.seen, acceptance.executed)
        self.metrics.count("resume_accepted")
        token = self.tokens.issue(session, offer).encode()
        fields = (acceptance.receipt, acceptance.executed, MAX_UNANSWERED, token)
        answer = b"UP %b rs=%d,w=%d,t=%b\r\n" % fields
        if rest:
            answer += relay.from_endpoint(rest, relay.endpoint_number).to_client
        return answer

    # Established sessions

    def on_session_closed(self, session: ClientSession) -> None:
        """Release the resources of an established session that has ended at this node."""
        self.tokens.forget(session)

    def migrate_in_place(self, session: ClientSession) -> bool:
        """Start migrating a session while its client's connection stays open; return whether it migrates.

        A node that is shutting down or draining migrates no session in place. A session is not migrated in
        place if it is not resumable, has ended after a protocol violation, or makes no progress.
        """
        offer, relay, opening, proxy = session.offer, session.relay, session.opening, session.proxy
        if opening is None or proxy.shutting_down or proxy.drain_deadline is not None:
            return False
        if not isinstance(offer, SessionOffer) or not isinstance(relay, SessionRelay):
            return False
        if relay.state is RelayState.ENDED or self._is_fruitless(offer, relay):
            return False
        relay.hold_client()
        first_line = FirstLine(opening.before_wait + b"1" + opening.after_wait)
        session.migration = pending = PendingMigration(
            session, first_line, offer, relay, self.tokens, self.loop
        )
        payload = TokenPayload(offer.session, offer.client_key, offer.class_name, "", 0, offer.generation, 0)
        # The digest of the secret is included: if this node ends before the client has a token of the new
        # generation, the client must still be able to return with the token of the old one.
        request = ReservationRequest(
            payload,
            MIGRATION_TIMEOUT_S,
            offer.client_digest,
            is_return=False,
            on_reserved=pending.on_reserved,
            on_claimed=lambda error: pending.on_not_reserved(str(error)),
            on_unavailable=pending.on_not_reserved,
        )
        # Deferred, because the proxy first ends its request at the old endpoint.
        self.loop.call_soon(self.reservations.reserve, request)
        return True

    def _is_fruitless(self, offer: SessionOffer, relay: SessionRelay) -> bool:
        """Count this migration; return whether the session migrated too often without an answer in between.

        Guards against a request that crashes every endpoint that receives it: without this limit its session
        would migrate from endpoint to endpoint forever.
        """
        offer.fruitless_migrations = (
            offer.fruitless_migrations + 1 if relay.position == offer.last_position else 0
        )
        offer.last_position = relay.position
        if offer.fruitless_migrations < MAX_FRUITLESS_MIGRATIONS:
            return False
        self.metrics.count("resume_in_place_fruitless")
        log.warning("session not migrated: no answer since the last migrations")
        return True
