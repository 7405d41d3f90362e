"""Seals tokens for a node's sessions and renews the tokens of established sessions before they expire."""

from __future__ import annotations

import asyncio
import time

import structlog

from gradegap.downstream.session import ClientSession
from gradegap.metrics import Metrics
from gradegap.resume.first_line import SessionOffer
from gradegap.resume.key_ring_source import KeyRingSource
from gradegap.resume.session_relay import SessionRelay
from gradegap.resume.settings import ResumeSettings
from gradegap.resume.token import TokenPayload, seal_token
from gradegap.resume.token_renewal import TokenRenewals

log = structlog.get_logger()

NO_TOKEN = "-"  # sent instead of a token if none can be sealed; no node accepts it
RENEWAL_INTERVAL_S = 0.5  # interval between checks for sessions that need a new token
# Renewals in one check, so that renewing all tokens after a key rotation does not block the event loop.
MAX_RENEWALS_PER_CHECK = 200


class TokenIssuer:
    """Issues and renews the tokens of one node's sessions."""

    def __init__(
        self, keys: KeyRingSource, settings: ResumeSettings, metrics: Metrics, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.keys, self.settings, self.metrics, self.loop = keys, settings, metrics, loop
        self.renewals: TokenRenewals[ClientSession] = TokenRenewals(settings.life_s)
        self.is_check_scheduled = False

    def issue(self, session: ClientSession, offer: SessionOffer) -> str:
        """Return a token for the session's current state, or `NO_TOKEN` if none can be sealed."""
        request = session.request
        attempt = request.attempt if request is not None else None
        endpoint = attempt.endpoint.id if attempt is not None else ""
        expires_at = int(time.time()) + self.settings.life_s
        payload = TokenPayload(
            offer.session,
            offer.client_key,
            offer.class_name,
            endpoint,
            offer.seen,
            offer.generation,
            expires_at,
        )
        ring = self.keys.ring()
        if session.relay is not None:
            sealing = ring.sealing
            self.renewals.record(session, time.monotonic(), sealing.id if sealing is not None else "")
            self._schedule_check()
        try:
            return seal_token(ring, self.keys.cluster(), payload)
        except ValueError as error:
            self.metrics.count("resume_token_not_made")
            log.warning("token sealing failed", error=str(error))
            return NO_TOKEN

    def forget(self, session: ClientSession) -> None:
        """Stop renewing tokens of a session that has ended at this node."""
        self.renewals.forget(session)

    def _schedule_check(self) -> None:
        if not self.is_check_scheduled and self.renewals:
            self.is_check_scheduled = True
            self.loop.call_later(RENEWAL_INTERVAL_S, self._check)

    def _check(self) -> None:
        self.is_check_scheduled = False
        sealing = self.keys.ring().sealing
        # Without a sealing key no token can be renewed; clients keep theirs until the ring has a key.
        if sealing is not None:
            for session in self.renewals.due(time.monotonic(), sealing.id, MAX_RENEWALS_PER_CHECK):
                self._renew(session, sealing.id)
        self._schedule_check()

    def _renew(self, session: ClientSession, key: str) -> None:
        offer, relay = session.offer, session.relay
        is_established = isinstance(offer, SessionOffer) and isinstance(relay, SessionRelay)
        if session.migration is not None or not is_established:
            # A session that is migrating gets a token for its next generation when the migration ends.
            self.renewals.record(session, time.monotonic(), key)
            return
        assert isinstance(offer, SessionOffer) and isinstance(relay, SessionRelay)
        token = self.issue(session, offer)
        if token != NO_TOKEN:
            session.channel.write(relay.token(token))
            self.metrics.count("resume_tokens_renewed")
