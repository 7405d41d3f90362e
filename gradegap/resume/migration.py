"""Migrates an established session in place: to another endpoint, while its client's connection stays open.

The balancer decides that the session migrates. The new endpoint is selected as for any other request. Lines
from the client are queued until the connection to the new endpoint is established. Then the requests without
an answer are sent to that endpoint, and the client does not notice the change. If no endpoint accepts the
session within `MIGRATION_TIMEOUT_S`, the client is sent a token with which it can return, and `MOVE`.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time

import structlog

from gradegap.downstream.framing import Opening
from gradegap.downstream.session import ClientSession
from gradegap.proxy.request import InvalidRequestError, Request
from gradegap.resume.acceptance import read_acceptance
from gradegap.resume.first_line import FirstLine, SessionOffer, offer_fields
from gradegap.resume.session_relay import SessionRelay
from gradegap.resume.token_issuer import TokenIssuer
from gradegap.upstream.interfaces import UpstreamPipe

log = structlog.get_logger()

# Timeout of the reservation and of the request to the new endpoint; when it expires, the client is sent
# `MOVE`.
MIGRATION_TIMEOUT_S = 1.0
# Logged once for each granted generation; verification compares it with the generations that servers claim.
GENERATION_GRANTED_EVENT = "life of a session given"


class PendingMigration:
    """A migration that starts once the session's next generation is reserved."""

    def __init__(
        self,
        session: ClientSession,
        first_line: FirstLine,
        offer: SessionOffer,
        relay: SessionRelay,
        tokens: TokenIssuer,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.session, self.first_line, self.relay, self.tokens, self.loop = (
            session,
            first_line,
            relay,
            tokens,
            loop,
        )
        self.next_offer = dataclasses.replace(offer, generation=offer.generation + 1)
        self.is_stopped = False

    def stop(self) -> None:
        """Cancel the migration, because the client has disconnected."""
        self.is_stopped = True

    def on_reserved(self, generation: int) -> None:
        """Start the migration, as this node has reserved the next generation."""
        session = self.session
        if self.is_stopped or session.closed:
            log.info("client disconnected during migration", session=self.next_offer.session)
            return
        offer = dataclasses.replace(self.next_offer, seen=self.relay.position)
        log.info(GENERATION_GRANTED_EVENT, session=offer.session, epoch=offer.generation, how="in place")
        fields = {"d": str(round(MIGRATION_TIMEOUT_S * 1000)), "again": "1"}
        fields |= offer_fields(offer) | {"rh": str(offer.seen)}
        migration = InPlaceMigration(session, self.first_line.opening_with(fields), offer, self.tokens)
        session.migration = migration
        # Deferred until the proxy has ended the request at the old endpoint, because both have the same id.
        self.loop.call_soon(migration.start)

    def on_not_reserved(self, reason: str) -> None:
        """Send the client `MOVE`, as this node could not reserve the next generation.

        The client can still return with its own token.
        """
        session = self.session
        session.metrics.count("resume_in_place_unclaimed")
        log.warning("session not migrated", session=self.next_offer.session, reason=reason)
        if not self.is_stopped and not session.closed:
            session.migration = None
            session.send_migrate()


class InPlaceMigration:
    """Acts as the client session in the request to the new endpoint, until it accepts the session."""

    def __init__(
        self,
        session: ClientSession,
        opening: Opening,
        offer: SessionOffer,
        tokens: TokenIssuer,
    ) -> None:
        self.session, self.opening, self.offer = session, opening, offer
        self.tokens = tokens
        self.proxy = session.proxy
        self.channel = session.channel
        self.request: Request | None = None
        self.is_finished = False
        self.started_at = time.monotonic()

    def start(self) -> None:
        """Open the request by which the new endpoint is selected."""
        if self.session.closed:
            self.stop()
            return
        try:
            self.request = self.proxy.open_request(self, self.opening.request)
        except InvalidRequestError as error:
            log.warning("session not migrated", reason=str(error))
            self.give_up("unfit")

    # Called by the attempt's connection

    def on_upstream_established(self, upstream: UpstreamPipe, data: bytes) -> None:
        """Continue the session at the new endpoint, which has accepted the request."""
        line, _, rest = data.partition(b"\n")
        acceptance = read_acceptance(line.rstrip(b"\r"), self.offer.seen)
        session, session_relay = self.session, self.session.relay
        if self.is_finished or session.closed or not isinstance(session_relay, SessionRelay):
            self.stop()
            return
        if acceptance is None:
            self.give_up("server")
            return
        self.is_finished = True
        previous, session.upstream = session.upstream, upstream
        if previous is not None:
            # Otherwise late lines from the previous endpoint would be taken for lines from the new one.
            previous.write_eof()
            previous.release()
        upstream.session = session
        request = self.request
        assert request is not None
        request.session, session.request = session, request
        session.offer, session.migration = self.offer, None
        session.metrics.count("resume_in_place")
        session.pass_on(session_relay.switch_endpoint(acceptance.executed))
        if not session.closed:
            session.channel.write(session_relay.token(self.tokens.issue(session, self.offer)))
        if rest and not session.closed:
            session.pass_on(session_relay.from_endpoint(rest, session_relay.endpoint_number))
        duration_ms = round((time.monotonic() - self.started_at) * 1000)
        log.info("session migrated", session=self.offer.session, epoch=self.offer.generation, ms=duration_ms)

    def on_upstream_data(self, data: bytes) -> None:
        """Ignore the data, as no data is forwarded before the new endpoint has accepted the session."""

    def on_upstream_lost(self, reset: bool) -> None:
        """Do nothing, as the end of the attempt follows and aborts the migration."""

    # Called by the proxy

    def is_disconnected(self) -> bool:
        """Return whether the client has disconnected."""
        return self.session.is_disconnected()

    def on_established(self) -> None:
        """Forward the event to the client session."""
        self.session.on_established()

    def reject(self, after: float) -> None:
        """Abort the migration, as no endpoint accepts the session now."""
        self.give_up("refused")

    def fail(self) -> None:
        """Abort the migration, as the outcome of the request is unknown."""
        self.give_up("failed")

    def migrate(self) -> None:
        """Abort the migration, as the session would have to migrate away from the new endpoint again."""
        self.give_up("moved")

    def on_endpoint_closed(self) -> None:
        """Abort the migration, as the new endpoint has closed the connection."""
        self.give_up("ended")

    def give_up(self, reason: str) -> None:
        """Abort the migration; the client is sent `MOVE` and a token for the reserved generation."""
        if self.is_finished:
            return
        self.is_finished = True
        session = self.session
        session.migration = None
        session.metrics.count(f"resume_in_place_{reason}")
        log.info(
            "session not migrated", session=self.offer.session, epoch=self.offer.generation, reason=reason
        )
        if not session.closed and isinstance(session.relay, SessionRelay):
            session.channel.write(session.relay.token(self.tokens.issue(session, self.offer)))
            session.send_migrate()
        if self.request is not None:
            self.request.on_disconnect()

    def stop(self) -> None:
        """Cancel the migration, because the client has disconnected."""
        if not self.is_finished:
            self.is_finished = True
            if self.request is not None:
                self.request.on_disconnect()
