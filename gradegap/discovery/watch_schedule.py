"""The one clock for the list: what to ask discovery, for how long, and when silence is a broken call. No I/O.

Two modes. Where lists are *pushed*, discovery is an agent on the node's own machine: calls cost nothing,
what it holds counts as told at once, and a drain's grace begins then. Where the list is *asked*, one
service serves all nodes in turn, and its calls are dear. In both a watch may fall silent without an end,
and what it misses counts as told `SILENCE_TOLD` after the silence began, or `WAIT_TOLD` after the call's
wait was over, whichever is later. So every call here is overdue in time for two more: one for the changes
since, and one for the whole list.

A service that works through calls in turn takes its time for each call that reached it, also for one whose
caller has closed it. So an overdue call stays open there beside the next one (`keeps_overdue`), and the first
answer counts. And each watch waits a time of its own (`ASKED_JITTER`). Nodes that were started together, or
had the same news, would otherwise all call in the same moment, and wait for each other after a silence.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from gradegap.balancing.settings import Settings
from gradegap.proxy.proxy import send_for

SILENCE_TOLD = 6.0  # s after a silence began at which what it hid counts as told
WAIT_TOLD = 2.0  # s after the end of a call's wait at which what it hid counts as told
DIAL = 0.25  # s that a new connection to discovery may take, reckoned in below
PUSHED_WAIT = (0.2, 2.0)  # s: bounds of a pushed watch's wait
PUSHED_ANSWER = (0.1, 0.5)  # s: bounds of what a pushed answer may take
PUSHED_RETRY = 0.05  # s, about, between calls that an agent refused; doubled up to its answer's bound
ASKED_WAIT = (5.0, 30.0)  # s: bounds of an asked watch's wait
ASKED_JITTER = (0.5, 1.5)  # times its wait that an asked watch waits: the mean call rate stays as it is
ASKED_LATE = (0.6, 1.2)  # s: bounds of what an asked watch may take beyond its wait
ASKED_AGAIN = 0.6  # s until the changes since, asked for after a watch that fell silent, are overdue
ASKED_ANSWER = 2.2  # s for a call that waits for nothing but its turn: twice within `SILENCE_TOLD`
ASKED_RETRY = 0.1  # s, about, between two calls that failed; doubled at each further one
ASKED_RETRY_MOST = 1.0  # s: two such pauses, each with a call that its turn fails, are within `SILENCE_TOLD`
ASKED_STRETCH = 1.5  # times by which the wait grows with each call that discovery had no room for
ASKED_EASE = 0.9  # times by which it shrinks again with each one answered
TURN_LEARN = 0.2  # part of a call's time in the learned one
EARLY = 0.05  # s before the end of its wait from which an answer with no news is in time
EARLY_PAUSE = 0.05  # s before a call anew after an answer out of turn; doubled, up to `EARLY_MOST`
EARLY_MOST = 1.0
UNFIT = ("changes_unasked", "older", "out_of_turn")  # why an answer is not the one to the call that is out


@dataclass(slots=True, frozen=True)
class Ask:
    """A call made at `made_at`: changes since `index` (None: the whole list), the s that it may wait, and the
    s after which it is overdue."""

    index: int | None
    wait: float
    limit: float
    made_at: float


class WatchSchedule:
    """What to call next. Times are seconds on any steady clock; randomness is handed in."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.rng = rng
        self.adopt(settings)
        self.version: int | None = None  # None: the next call asks for the whole list
        self.silent = 0  # calls in a row that were overdue
        self.failed = 0  # calls in a row that came to nothing
        self.early = 0  # answers in a row that came out of turn
        self.stretch = 1.0  # times its wait that a watch waits while discovery is short of room
        self.turn = 0.1  # s that a call which waits for nothing takes, as of late

    @property
    def keeps_overdue(self) -> bool:
        """Whether an overdue call stays open beside the next one: given up, it would lose its turn."""
        return not self.pushed

    def adopt(self, settings: Settings) -> None:
        """Settings to go by from the next call on."""
        self.pushed, self.nodes = not settings.polls_endpoints, settings.proxy_count
        if self.pushed:
            left = send_for(settings)
            # An open watch that is broken, and a call that an outage swallowed, cost this much of the grace.
            self.wait = _within(left / 2, PUSHED_WAIT)
            self.answer = _within(left / 4, PUSHED_ANSWER)
        else:
            self.wait = _within(settings.poll_within, ASKED_WAIT)
            self.answer = ASKED_ANSWER

    def known(self, version: int) -> None:
        """The list is known up to a version from before the start. Guards against a service that answers in
        turn and is asked twice by each node that starts, for the whole list and for what follows it: while it
        works through those calls, news waits behind them."""
        if not self.pushed:
            self.version = version
            self.stretch = 0.0  # the shortest wait, until a call shows that discovery answers at all

    def spread(self) -> float:
        """s before the first call after all nodes were told of a new discovery at once: in asked mode they
        would all wait in turn behind one another, and the last ones in vain."""
        return 0.0 if self.pushed else self.rng.random() * min(1.0, 0.05 * self.nodes)

    def next(self, now: float) -> Ask:
        """The call to make now."""
        if self.version is None or self.silent >= 2:
            return Ask(None, 0.0, self.answer, now)
        if self.silent:
            return Ask(self.version, 0.0, self.answer if self.pushed else ASKED_AGAIN, now)
        if self.pushed:
            return Ask(self.version, self.wait, self.wait + self.answer, now)
        wait = _within(self.wait * self.stretch, ASKED_WAIT) * self.rng.uniform(*ASKED_JITTER)
        return Ask(self.version, wait, wait + _within(0.25 + 2.0 * self.turn, ASKED_LATE), now)

    def fits(self, ask: Ask, now: float, full: bool, version: int) -> str:
        """Whether an answer is the one to this call; empty: yes, else which of `UNFIT`.

        Guards against a second answer to the call before, which would be taken for this one's, and every
        later answer for the one before; and against one that rolls the list back."""
        if ask.index is None:
            return "" if full else "changes_unasked"
        if version < ask.index:
            return "older"
        if version == ask.index and now < ask.made_at + ask.wait - EARLY:
            return "out_of_turn"
        return ""

    def took(self, ask: Ask, now: float, version: int) -> None:
        """This call was answered; the list is at `version`."""
        if ask.wait <= 0.0:
            spent = max(0.0, now - ask.made_at)
            self.turn += TURN_LEARN * (spent - self.turn) if spent < self.turn else spent - self.turn
        self.version = version
        self.silent = self.failed = self.early = 0
        self.stretch = max(1.0, self.stretch * ASKED_EASE)

    def refused(self, why: str) -> float:
        """An answer did not fit; s before the call anew, on a new connection."""
        if why != "out_of_turn":
            self.version = None
        pause = min(EARLY_MOST, EARLY_PAUSE * 2.0 ** min(10, self.early)) if self.early else 0.0
        self.early += 1
        return pause

    def fell_silent(self) -> float:
        """The call is overdue; s before the next, on a new connection: none, the clock runs."""
        self.silent += 1
        return 0.0

    def no_room(self) -> float:
        """Discovery is there and has no room for this call; s before the next one. All nodes together call it
        less often from now on: a watch that waits longer costs it no more than a short one."""
        self.stretch = min(ASKED_WAIT[1] / ASKED_WAIT[0], self.stretch * ASKED_STRETCH)
        return self.lost()

    def lost(self, anew: bool = False) -> float:
        """The call failed: no connection, a reset, no room, or no list. s before the next one.

        Guards against nodes that drown a discovery which is short of room: jitter, and doubling, up to what
        the clock allows. A watch that ends with its connection is no more than a call that failed."""
        if anew:
            self.version = None
        if self.pushed:
            pause = min(self.answer, PUSHED_RETRY * 2.0 ** min(10, self.failed))
        else:
            pause = min(ASKED_RETRY_MOST, ASKED_RETRY * 2.0 ** min(10, self.failed))
        self.failed += 1
        return pause * self.rng.uniform(0.5, 1.0)

    def changed_over(self) -> None:
        """Discovery is elsewhere: its versions are its own, and so are its troubles."""
        self.version = None
        self.silent = self.failed = self.early = 0


def _within(value: float, bounds: tuple[float, float]) -> float:
    return max(bounds[0], min(bounds[1], value if math.isfinite(value) else bounds[1]))
