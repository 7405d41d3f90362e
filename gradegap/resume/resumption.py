"""A node's part in resumable sessions: what it reads in first lines, and what it claims before they go on.

Offered by the client (`rs=1`) and by this node (`rn=`), accepted by the server; docs/design/resume.md.
"""

from __future__ import annotations

import asyncio
import dataclasses
import re
import secrets
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
import structlog

from gradegap.downstream.framing import Opening, parse_opening
from gradegap.downstream.session import ClientSession
from gradegap.metrics import Metrics
from gradegap.resume.lines import MOST
from gradegap.resume.migration import WAIT, InPlaceMigration, SessionOffer
from gradegap.resume.reservations import (
    RESERVATION_PREFIX,
    LocalReservations,
    SessionClaimedError,
    claim,
    secret_digest,
)
from gradegap.resume.session_relay import RelayState, SessionRelay
from gradegap.resume.settings import ResumeSettings
from gradegap.resume.token import KEY_RING_KEY, KeyRing, Place, TokenError, digest, open_token, seal_token
from gradegap.resume.token_renewal import TokenRenewals
from gradegap.resume.window import MAX_UNANSWERED
from gradegap.store import wire
from gradegap.store.machine import StateMachine
from gradegap.transport.lines import InvalidLineError

log = structlog.get_logger()

AGAIN = 0.5  # s after which a client may come again whose token could not be claimed
NO_TOKEN = "-"  # it opens nowhere
GIVEN = "life of a session given"  # one line for each; checked against what servers claim
MOST_FRUITLESS = 3  # moves in place without an answer in between
RENEW_EVERY = 0.5  # s between two looks for sessions that are due a new token
RENEW_MOST = 200  # of them at one look, so that a new key of the ring stops nothing else
LEAST_WAIT = 0.05  # s that a req has left, however long its claim took
_ACCEPTED = re.compile(rb"UP ([!-~]+) rs=(0|[1-9][0-9]{0,15})")


class Service(Protocol):
    def request(
        self, wish: wire.RequestBody, done: Callable[[wire.Response], None], left: float = 5.0
    ) -> None: ...


class Store(Protocol):
    """The node's store, as far as it is needed here."""

    @property
    def machine(self) -> StateMachine: ...
    @property
    def service(self) -> Service: ...
    @property
    def cluster(self) -> str: ...
    def fresh(self) -> bool: ...


@dataclasses.dataclass(slots=True)
class Waiting:
    """A session whose next life is being claimed."""

    stopped: bool = False

    def stop(self) -> None:
        self.stopped = True


class Resumer:
    """Makes sessions resumable at one node. `store` is the store, where there is one by now."""

    def __init__(
        self,
        node: str,
        settings: ResumeSettings,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
        store: Callable[[], Store | None] | None,
    ) -> None:
        self.node, self.settings, self.metrics, self.loop, self.store = node, settings, metrics, loop, store
        self.own = KeyRing().rotated(time.time_ns() // 1_000_000)  # where there is no store
        self.claims = LocalReservations()
        self.renewals: TokenRenewals[ClientSession] = TokenRenewals(settings.life_s)
        self.looking = False

    def ring(self) -> KeyRing:
        if self.store is None:
            return self.own
        store = self.store()
        item = store.machine.get(KEY_RING_KEY) if store is not None else None
        try:
            return msgspec.convert(item.value, KeyRing) if item is not None else KeyRing()
        except msgspec.ValidationError:
            self.metrics.count("resume_ring_unfit")
            return KeyRing()

    def cluster(self) -> str:
        store = self.store() if self.store is not None else None
        return store.cluster if store is not None else f"node {self.node}"

    # The process that takes over from this one

    def handed(self) -> bytes:
        """What the next process of this node must know, so that tokens stay good where there is no store."""
        return msgspec.msgpack.encode(self.own) if self.store is None else b""

    def take_over(self, handed: bytes) -> None:
        if not handed or self.store is not None:
            return
        try:
            ring = msgspec.msgpack.decode(handed, type=KeyRing)
            ring.check()
        except ValueError:
            self.metrics.count("resume_ring_unfit")
            return
        self.own = ring

    # New tokens for sessions that stand

    def ended(self, session: ClientSession) -> None:
        self.renewals.ended(session)

    def _look_soon(self) -> None:
        if not self.looking and self.renewals:
            self.looking = True
            self.loop.call_later(RENEW_EVERY, self._look)

    def _look(self) -> None:
        self.looking = False
        sealing = self.ring().sealing
        # Without a key there is nothing to seal with: what clients hold is kept until there is one.
        key = sealing.id if sealing is not None else ""
        for session in self.renewals.due(time.monotonic(), key, RENEW_MOST) if key else ():
            offer, passing = session.offer, session.relay
            if (
                session.migration is not None
                or not isinstance(offer, SessionOffer)
                or not isinstance(passing, SessionRelay)
            ):
                # On its way to another life: it gets a token for that one.
                self.renewals.given(session, time.monotonic(), key)
                continue
            token = self._token(session, offer)
            if token != NO_TOKEN:
                session.send_line(passing.token(token))
                self.metrics.count("resume_tokens_renewed")
        self._look_soon()

    # First lines

    def begin(self, session: ClientSession, line: bytes, opening: Opening) -> bool:
        """Whether this first line is one of a resumable session: then `go_on`, `refuse` or `turn` follows."""
        head, _, fields = line.decode().rstrip("\r\n").rpartition(" ")
        values = dict(pair.split("=", 1) for pair in fields.split(","))
        if "rn" in values:
            # Guards the save servers: only a node says whose a session is.
            raise InvalidLineError("rn is a node's word")
        if values.get("rs") != "1":
            return False
        ring, token = self.ring(), values.pop("rt", "")
        seen = values.pop("rh", "0")
        try:
            by = secret_digest(values.pop("ra", ""))
        except ValueError as error:
            raise InvalidLineError(str(error)) from None
        if not token:
            if ring.sealing is None or seen != "0":
                self.metrics.count("resume_not_offered")
                return False  # plain lines, as the server does without the node's word
            made = SessionOffer(
                secrets.token_hex(8), 1, 0, opening.request.key, opening.request.class_name, by
            )
            self._go_on(session, head, values, made, 0.0)
            return True
        session.hold(opening)
        store = self.store() if self.store is not None else None
        if self.store is not None and (store is None or not store.fresh()):
            # Guards against a ring that is not read yet: a good token would be refused for good.
            self._later(session, "no lease of the store")
            return True
        try:
            place = open_token(ring, self.cluster(), token, time.time())
            if place.client != opening.request.key or place.cls != opening.request.class_name:
                raise TokenError("stranger: it is another client's or class's")
            if not seen.isdecimal() or not place.position <= int(seen) < MOST:
                raise TokenError("position: the client was further when it got its token")
        except TokenError as error:
            self._turn(session, token, error)
            return True
        offer = SessionOffer(place.session, place.epoch + 1, int(seen), place.client, place.cls, by)
        self._claim(session, head, values, offer, place, token)
        return True

    def _turn(self, session: ClientSession, token: str, error: Exception) -> None:
        reason = str(error).split(":")[0]
        self.metrics.count(f"resume_refused_{reason}")
        log.info("session not resumed", token=digest(token), reason=str(error))
        session.reject_resumption(reason)

    def _go_on(
        self, session: ClientSession, head: str, values: dict[str, str], offer: SessionOffer, spent: float
    ) -> None:
        values = values | {"rs": "1", "rn": f"{offer.session}.{offer.epoch}"}
        if offer.seen:
            values["rh"] = str(offer.seen)
        line = f"{head} {','.join(f'{k}={v}' for k, v in values.items())}\r\n"
        opening = parse_opening(line.encode())
        if spent and opening.request.wait is not None:
            ask = msgspec.structs.replace(opening.request, wait=max(LEAST_WAIT, opening.request.wait - spent))
            opening = dataclasses.replace(opening, request=ask)
        session.offer = offer
        self.metrics.count("resume_offered" if offer.epoch == 1 else "resume_returns")
        session.open_with(opening)

    def _claim(
        self,
        session: ClientSession,
        head: str,
        values: dict[str, str],
        offer: SessionOffer,
        place: Place,
        token: str,
    ) -> None:
        """The token's one use: of two that bring it, one goes on."""
        began = time.monotonic()

        def won(epoch: int) -> None:
            if epoch > place.epoch + 1:
                self.metrics.count("resume_returns_again")
            offer.epoch = epoch
            log.info(GIVEN, session=offer.session, epoch=offer.epoch, how="return", token=digest(token))
            self._go_on(session, head, values, offer, time.monotonic() - began)

        def claimed(error: SessionClaimedError) -> None:
            self._turn(session, token, error)

        def later(why: str) -> None:
            self._later(session, why)

        wait = session.opening.request.wait if session.opening is not None else None
        self._next_life(place, min(wait or 1.0, 5.0) * 0.8, won, claimed, later, offer.by)

    def _next_life(
        self,
        place: Place,
        left: float,
        won: Callable[[int], None],
        claimed: Callable[[SessionClaimedError], None],
        later: Callable[[str], None],
        by: str,
        returns: bool = True,
    ) -> None:
        """Claim the life after `place`'s, within `left` s: `won`; `claimed` where another has it; `later`
        where nobody can say. `by` is the client's, for a next try of its own where it `returns`.
        """
        if self.store is None:
            try:
                epoch = self.claims.claim(place, time.time(), by, returns)
            except SessionClaimedError as error:
                claimed(error)
            else:
                won(epoch)
            return
        store = self.store()
        if store is None:
            later("no store")
            return
        began = time.monotonic()

        def found(answer: wire.Response) -> None:
            if answer.outcome != "ok":
                later(answer.text)
                return
            try:
                item = answer.items[0] if answer.items else None
                epoch, compare, op = claim(place, self.node, item, by, time.time(), returns)
            except SessionClaimedError as error:
                claimed(error)
                return

            def written(answer: wire.Response) -> None:
                if answer.outcome != "ok":
                    later(answer.text)
                elif not answer.succeeded:
                    claimed(SessionClaimedError("claimed: another came with it at this moment"))
                else:
                    won(epoch)

            again = max(0.05, left - (time.monotonic() - began))
            store.service.request(wire.Transaction((op,), (compare,), author=self.node), written, again)

        store.service.request(wire.Get(RESERVATION_PREFIX + place.session), found, left)

    def _later(self, session: ClientSession, why: str) -> None:
        """Without a quorum nobody can be said to be the one: come again, at once told so."""
        self.metrics.count("resume_not_claimed")
        log.warning("a token could not be claimed", why=why)
        if not session.closed:
            session.reject(AGAIN)

    # The server's word

    def up(self, session: ClientSession, first: bytes) -> bytes | None:
        """A server's `UP`, as the client is told it; without the server's consent today's, to the byte. None
        where the session came to go on and this server would begin anew.
        """
        offer = session.offer
        assert isinstance(offer, SessionOffer)
        line, end, rest = first.partition(b"\n")
        found = _ACCEPTED.fullmatch(line.rstrip(b"\r"))
        if found is None or int(found[2]) < offer.seen:
            session.offer = None
            if offer.epoch == 1:
                self.metrics.count("resume_not_accepted")
                return first
            # It came to go on; a server that begins anew would lose what it had.
            self.metrics.count("resume_refused_server")
            return None
        executed = int(found[2])
        session.relay = passing = SessionRelay(offer.seen, executed)
        self.metrics.count("resume_accepted")
        token = self._token(session, offer)
        told = b"UP %b rs=%d,w=%d,t=%b\r\n" % (found[1], executed, MAX_UNANSWERED, token.encode())
        if rest:
            told += passing.from_server(rest, passing.line).to_client
        return told

    # In place

    def move(self, session: ClientSession) -> bool:
        """Whether a session goes to another server while its client's connection stays: not from a node that
        leaves itself, and not while its window can't be trusted.
        """
        offer, passing, opening = session.offer, session.relay, session.opening
        proxy = session.proxy
        good = (
            isinstance(offer, SessionOffer)
            and isinstance(passing, SessionRelay)
            and passing.state is not RelayState.OVER
        )
        if not good or proxy.shutting_down or proxy.drain_deadline is not None or opening is None:
            return False
        assert isinstance(offer, SessionOffer) and isinstance(passing, SessionRelay)
        # Guards against a request that ends every server it comes to: without an answer in between, a session
        # is not handed from one to the next for ever.
        offer.fruitless = offer.fruitless + 1 if passing.position == offer.position else 0
        offer.position = passing.position
        if offer.fruitless >= MOST_FRUITLESS:
            self.metrics.count("resume_in_place_fruitless")
            log.warning("a session is not moved again: no answer came of the last moves")
            return False
        head, _, fields = (
            (opening.before_wait + b"1" + opening.after_wait).decode().rstrip("\r\n").rpartition(" ")
        )
        values = dict(pair.split("=", 1) for pair in fields.split(","))
        following = dataclasses.replace(offer, epoch=offer.epoch + 1)
        place = Place(offer.session, offer.client, offer.cls, "", 0, offer.epoch, 0)
        passing.hold()
        session.migration = waiting = Waiting()

        def won(epoch: int) -> None:
            if waiting.stopped or session.closed:
                log.info("a client left while its session's next life was claimed", session=offer.session)
                return
            now = dataclasses.replace(following, seen=passing.position)
            log.info(GIVEN, session=now.session, epoch=now.epoch, how="in place")
            told = values | {"d": str(round(WAIT * 1000)), "again": "1"}
            told |= {"rs": "1", "rn": f"{now.session}.{now.epoch}", "rh": str(now.seen)}
            line = f"{head} {','.join(f'{k}={v}' for k, v in told.items())}\r\n"
            mover = InPlaceMigration(
                session, parse_opening(line.encode()), now, self._accepts(now), self._token
            )
            session.migration = mover
            # Only once the core has let the req of the server that is left go: they bear one id.
            self.loop.call_soon(mover.start)

        def lost(why: str) -> None:
            """The life in force is not this one's to give on: the client's own token says more."""
            self.metrics.count("resume_in_place_unclaimed")
            log.warning("not moved in place", session=offer.session, why=why)
            if not waiting.stopped and not session.closed:
                session.migration = None
                session.send_migrate()

        # Later: the core first ends what it has of the server that is left.
        # The client's secret goes into the claim: if this node ends before it has told of the new life, the
        # token of the old one must still bring its client back.
        claimed = lambda error: lost(str(error))  # noqa: E731
        self.loop.call_soon(self._next_life, place, WAIT, won, claimed, lost, offer.by, False)
        return True

    def _accepts(self, offer: SessionOffer) -> Callable[[bytes], int | None]:
        def executed(line: bytes) -> int | None:
            found = _ACCEPTED.fullmatch(line)
            return int(found[2]) if found is not None and int(found[2]) >= offer.seen else None

        return executed

    def _token(self, session: ClientSession, offer: SessionOffer) -> str:
        req = session.request
        server = req.attempt.endpoint.id if req is not None and req.attempt is not None else ""
        until = int(time.time()) + self.settings.life_s
        place = Place(offer.session, offer.client, offer.cls, server, offer.seen, offer.epoch, until)
        ring = self.ring()
        sealing = ring.sealing
        if session.relay is not None:
            self.renewals.given(session, time.monotonic(), sealing.id if sealing is not None else "")
            self._look_soon()
        try:
            return seal_token(ring, self.cluster(), place)
        except ValueError as error:
            self.metrics.count("resume_token_not_made")
            log.warning("no token", error=str(error))
            return NO_TOKEN
