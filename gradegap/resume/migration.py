"""In place: an established session goes on at another endpoint, while its client's connection stays.

The balancer says that it migrates, and whereto is a request like any other. Until the next endpoint is up,
what the client sends waits; then what has no answer is sent to it, and the client notices nothing. Where none
takes it in time the client gets `MOVE`, with a token that is good for its return.
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

MIGRATION_TIMEOUT_S = 1.0  # that the next endpoint may take; then the client returns by itself
GENERATION_GRANTED = "life of a session given"  # one line for each; checked against what endpoints claim


class PendingMigration:
    """A session whose next generation is being reserved; then its migration begins."""

    def __init__(
        self,
        session: ClientSession,
        first: FirstLine,
        offer: SessionOffer,
        relay: SessionRelay,
        tokens: TokenIssuer,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.session, self.first, self.relay, self.tokens, self.loop = session, first, relay, tokens, loop
        self.following = dataclasses.replace(offer, generation=offer.generation + 1)
        self.stopped = False

    def stop(self) -> None:
        """The client has disconnected."""
        self.stopped = True

    def reserved(self, epoch: int) -> None:
        """The next generation is this node's."""
        session = self.session
        if self.stopped or session.closed:
            log.info("client left while its session migrated", session=self.following.session)
            return
        offer = dataclasses.replace(self.following, seen=self.relay.position)
        log.info(GENERATION_GRANTED, session=offer.session, epoch=offer.generation, how="in place")
        fields = {"d": str(round(MIGRATION_TIMEOUT_S * 1000)), "again": "1"}
        fields |= offer_fields(offer) | {"rh": str(offer.seen)}
        migration = InPlaceMigration(session, self.first.opening_with(fields), offer, self.tokens)
        session.migration = migration
        # Only once the proxy has ended the request at the endpoint that is left: they bear one id.
        self.loop.call_soon(migration.start)

    def not_reserved(self, why: str) -> None:
        """The generation in force is not this node's to go on with: the client's own token says more."""
        session = self.session
        session.metrics.count("resume_in_place_unclaimed")
        log.warning("session not migrated", session=self.following.session, reason=why)
        if not self.stopped and not session.closed:
            session.migration = None
            session.send_migrate()


class InPlaceMigration:
    """In the client session's place, for the attempt at the next endpoint, until that is established."""

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
        self.finished = False
        self.started_at = time.monotonic()

    def start(self) -> None:
        """Open the request that chooses the next endpoint."""
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
        """The endpoint has confirmed it: the session goes on there."""
        line, _, rest = data.partition(b"\n")
        acceptance = read_acceptance(line.rstrip(b"\r"), self.offer.seen)
        session, passing = self.session, self.session.relay
        if self.finished or session.closed or not isinstance(passing, SessionRelay):
            self.stop()
            return
        if acceptance is None:
            self.give_up("server")
            return
        self.finished = True
        previous, session.upstream = session.upstream, upstream
        if previous is not None:
            # Guards against its last lines being taken for the next one's.
            previous.write_eof()
            previous.release()
        upstream.session = session
        request = self.request
        assert request is not None
        request.session, session.request = session, request
        session.offer, session.migration = self.offer, None
        session.metrics.count("resume_in_place")
        session.pass_on(passing.switch_endpoint(acceptance.executed))
        if not session.closed:
            session.channel.write(passing.token(self.tokens.issue(session, self.offer)))
        if rest and not session.closed:
            session.pass_on(passing.from_endpoint(rest, passing.endpoint_number))
        spent = round((time.monotonic() - self.started_at) * 1000)
        log.info("session migrated", session=self.offer.session, epoch=self.offer.generation, ms=spent)

    def on_upstream_data(self, data: bytes) -> None:
        """Nothing passes before it is established."""

    def on_upstream_lost(self, reset: bool) -> None:
        """Its attempt's end, which follows, gives the move up."""

    # Called by the proxy

    def is_disconnected(self) -> bool:
        """Whether the client has disconnected."""
        return self.session.is_disconnected()

    def on_established(self) -> None:
        """The request's connection is established."""
        self.session.on_established()

    def reject(self, after: float) -> None:
        """No endpoint takes it now."""
        self.give_up("refused")

    def fail(self) -> None:
        """Nothing can be promised of it."""
        self.give_up("failed")

    def migrate(self) -> None:
        """It is to leave the next endpoint again."""
        self.give_up("moved")

    def on_endpoint_closed(self) -> None:
        """The next endpoint has ended the connection."""
        self.give_up("ended")

    def give_up(self, reason: str) -> None:
        """The client returns by itself, with a token for the generation that was reserved for it."""
        if self.finished:
            return
        self.finished = True
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
        """The client has disconnected."""
        if not self.finished:
            self.finished = True
            if self.request is not None:
                self.request.on_disconnect()
