"""Seals tokens for sessions of a node, and gives established ones a new token before theirs expires."""

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
from gradegap.resume.token import Place, seal_token
from gradegap.resume.token_renewal import TokenRenewals

log = structlog.get_logger()

NO_TOKEN = "-"  # it opens nowhere
RENEWAL_INTERVAL_S = 0.5  # between two checks for sessions that are due a new token
MAX_RENEWALS = 200  # at one check, so that a new key of the ring stops nothing else


class TokenIssuer:
    """The tokens of one node's sessions."""

    def __init__(
        self, keys: KeyRingSource, settings: ResumeSettings, metrics: Metrics, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.keys, self.settings, self.metrics, self.loop = keys, settings, metrics, loop
        self.renewals: TokenRenewals[ClientSession] = TokenRenewals(settings.life_s)
        self.check_scheduled = False

    def issue(self, session: ClientSession, offer: SessionOffer) -> str:
        """A token for this session as it is now; `NO_TOKEN` where none can be sealed."""
        request = session.request
        attempt = request.attempt if request is not None else None
        endpoint = attempt.endpoint.id if attempt is not None else ""
        until = int(time.time()) + self.settings.life_s
        place = Place(
            offer.session, offer.client_key, offer.class_name, endpoint, offer.seen, offer.generation, until
        )
        ring = self.keys.ring()
        if session.relay is not None:
            sealing = ring.sealing
            self.renewals.record(session, time.monotonic(), sealing.id if sealing is not None else "")
            self._schedule_check()
        try:
            return seal_token(ring, self.keys.cluster(), place)
        except ValueError as error:
            self.metrics.count("resume_token_not_made")
            log.warning("token not sealed", error=str(error))
            return NO_TOKEN

    def forget(self, session: ClientSession) -> None:
        """This session has ended here."""
        self.renewals.forget(session)

    def _schedule_check(self) -> None:
        if not self.check_scheduled and self.renewals:
            self.check_scheduled = True
            self.loop.call_later(RENEWAL_INTERVAL_S, self._check)

    def _check(self) -> None:
        self.check_scheduled = False
        sealing = self.keys.ring().sealing
        # Without a key there is nothing to seal with: what clients hold is kept until there is one.
        if sealing is not None:
            for session in self.renewals.due(time.monotonic(), sealing.id, MAX_RENEWALS):
                self._renew(session, sealing.id)
        self._schedule_check()

    def _renew(self, session: ClientSession, key: str) -> None:
        offer, relay = session.offer, session.relay
        established = isinstance(offer, SessionOffer) and isinstance(relay, SessionRelay)
        if session.migration is not None or not established:
            # On its way to another generation: it gets a token for that one.
            self.renewals.record(session, time.monotonic(), key)
            return
        assert isinstance(offer, SessionOffer) and isinstance(relay, SessionRelay)
        token = self.issue(session, offer)
        if token != NO_TOKEN:
            session.channel.write(relay.token(token))
            self.metrics.count("resume_tokens_renewed")
