"""In place: a standing session goes on at another server, while its client's connection stays.

The module says that it moves, and whereto is a req like any other. Until the next server is up, what the
client says waits; then what has no answer is sent to it, and the client notices nothing. Where none takes it
in time the client is told `MOVE`, with a token that is good for its return.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from gradegap.downstream.framing import Opening
from gradegap.downstream.session import ClientSession
from gradegap.proxy.request import InvalidRequestError, Request
from gradegap.resume.session_relay import SessionRelay
from gradegap.upstream.interfaces import UpstreamPipe

log = structlog.get_logger()

WAIT = 1.0  # s that the next server may take; then the client returns by itself


@dataclass(slots=True)
class SessionOffer:
    """A session between its first line and the server's word."""

    session: str
    epoch: int
    seen: int
    client: str
    cls: str
    by: str = ""  # a digest of the client's secret, by which it may come back for a life it never heard of
    position: int = -1  # answers that had passed when it was last moved in place
    fruitless: int = 0  # moves since, with no answer in between


class InPlaceMigration:
    """Stands where the client session stands, for the next server's fetch, until that is up."""

    def __init__(
        self,
        session: ClientSession,
        opening: Opening,
        offer: SessionOffer,
        accepts: Callable[[bytes], int | None],
        token: Callable[[ClientSession, SessionOffer], str],
    ) -> None:
        self.session, self.opening, self.offer = session, opening, offer
        self.accepts, self.token = accepts, token
        self.proxy = session.proxy
        self.channel = session.channel
        self.req: Request | None = None
        self.over = False
        self.began = time.monotonic()

    def start(self) -> None:
        if self.session.closed:
            self.stop()
            return
        try:
            self.req = self.proxy.open_request(self, self.opening.request)
        except InvalidRequestError as error:
            log.warning("a session could not be moved in place", reason=str(error))
            self.give_up("unfit")

    # As a fetch sees it

    def on_upstream_established(self, upstream: UpstreamPipe, data: bytes) -> None:
        """The endpoint has confirmed it: the session goes on there."""
        line, _, rest = data.partition(b"\n")
        executed = self.accepts(line.rstrip(b"\r"))
        session, passing = self.session, self.session.relay
        if self.over or session.closed or not isinstance(passing, SessionRelay):
            self.stop()
            return
        if executed is None:
            self.give_up("server")
            return
        self.over = True
        old, session.upstream = session.upstream, upstream
        if old is not None:
            # Guards against its last words being taken for the next one's.
            old.write_eof()
            old.release()
        upstream.session = session
        req = self.req
        assert req is not None
        req.session, session.request = session, req
        session.offer, session.migration = self.offer, None
        session.metrics.count("resume_in_place")
        session.pass_on(passing.changed(executed))
        if not session.closed:
            session.send_line(passing.token(self.token(session, self.offer)))
        if rest and not session.closed:
            session.pass_on(passing.from_server(rest, passing.line))
        spent = round((time.monotonic() - self.began) * 1000)
        log.info("session moved in place", session=self.offer.session, epoch=self.offer.epoch, ms=spent)

    def on_upstream_data(self, data: bytes) -> None:
        """Nothing passes before it is established."""

    def on_upstream_lost(self, reset: bool) -> None:
        """Its attempt's end, which follows, gives the move up."""

    # As the core sees it

    def is_disconnected(self) -> bool:
        return self.session.is_disconnected()

    def on_established(self) -> None:
        self.session.on_established()

    def reject(self, after: float) -> None:
        self.give_up("refused")

    def fail(self) -> None:
        self.give_up("failed")

    def migrate(self) -> None:
        self.give_up("moved")

    def on_endpoint_closed(self) -> None:
        self.give_up("ended")

    def give_up(self, reason: str) -> None:
        """The client returns by itself, with a token for the life that was claimed for it."""
        if self.over:
            return
        self.over = True
        session = self.session
        session.migration = None
        session.metrics.count(f"resume_in_place_{reason}")
        log.info("not moved in place", session=self.offer.session, epoch=self.offer.epoch, why=reason)
        if not session.closed and isinstance(session.relay, SessionRelay):
            session.send_line(session.relay.token(self.token(session, self.offer)))
            session.send_migrate()
        if self.req is not None:
            self.req.on_disconnect()

    def stop(self) -> None:
        """The client has gone."""
        if not self.over:
            self.over = True
            if self.req is not None:
                self.req.on_disconnect()
