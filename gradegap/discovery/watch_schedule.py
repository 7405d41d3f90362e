"""What to call next at discovery, how long the call may take, and when silence is a broken watch. No I/O.

Two modes. Where lists are *pushed*, discovery is an agent on the node's own machine: calls cost nothing, a
node counts as notified of what the agent holds at once, and the grace of a drain begins then. Where the list
is *polled*, one service serves all nodes in turn, and its calls are dear. In both a watch may fall silent
with no end. A node counts as notified of what it misses `SILENCE_NOTIFIED_S` after the silence began, or
`WAIT_NOTIFIED_S` after the wait of its poll was over, whichever is later. So each poll here times out early
enough for two more: one for the changes since, and one for the full list.

A service that works through polls in turn takes its time for each one that reached it, also for one whose
caller has closed it. So a poll that timed out stays open there beside the next one (`keeps_overdue_polls`),
and the first answer counts. And each watch waits a time of its own (`POLLED_WAIT_JITTER`). Nodes that were
started together, or got the same change, would otherwise all call in the same moment, and wait for each other
after a silence.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from gradegap.balancing.settings import Settings
from gradegap.proxy.endpoint import drain_send_window_s

SILENCE_NOTIFIED_S = 6.0
"""From the begin of a silence until nodes count as notified of what it hid; set by the platform's rules."""

WAIT_NOTIFIED_S = 2.0
"""From the end of a poll's wait until nodes count as notified of what it hid; set by the platform's rules."""

CONNECT_TIMEOUT_S = 0.25
"""For a new connection to discovery; the time-outs below leave room for it."""

PUSHED_WAIT_BOUNDS_S = (0.2, 2.0)
"""Least and longest wait of a watch at an agent."""

PUSHED_ANSWER_BOUNDS_S = (0.1, 0.5)
"""Least and longest time that an agent may take for an answer."""

PUSHED_BACKOFF_S = 0.05
"""About this long between polls that an agent failed; doubled up to the time-out of its answers."""

POLLED_WAIT_BOUNDS_S = (5.0, 30.0)
"""Least and longest wait of a watch at a shared service."""

POLLED_WAIT_JITTER = (0.5, 1.5)
"""Factors between which the wait of such a watch is drawn: the mean rate of polls stays as it is."""

POLLED_LATENESS_BOUNDS_S = (0.6, 1.2)
"""Least and longest time that such a watch may take beyond its wait."""

POLLED_LATENESS_BASE_S, POLLED_LATENESS_ANSWER_TIMES = 0.25, 2.0
"""Within these bounds: so long, and the usual time of an answer so many times."""

POLLED_CHANGES_TIMEOUT_S = 0.6
"""For the changes since the last list, polled after a watch that timed out."""

POLLED_ANSWER_TIMEOUT_S = 2.2
"""For a poll that waits for nothing but its turn: twice within `SILENCE_NOTIFIED_S`."""

POLLED_BACKOFF_S = 0.1
"""About this long between two polls that failed; doubled at each further one."""

POLLED_BACKOFF_MAX_S = 1.0
"""Two such pauses, each with a poll that fails in its turn, are within `SILENCE_NOTIFIED_S`."""

OVERLOAD_WAIT_FACTOR = 1.5
"""By which the wait of a watch grows with each poll that discovery had no capacity for."""

RECOVERY_WAIT_FACTOR = 0.9
"""By which it shrinks again with each poll that was answered."""

ANSWER_TIME_WEIGHT = 0.2
"""Weight of the latest poll in the mean time of an answer, as far as that falls."""

INITIAL_ANSWER_TIME_S = 0.1
"""Time of an answer until one has been measured."""

EARLY_TOLERANCE_S = 0.05
"""Before the end of a watch's wait from which an answer without a change is in time."""

EARLY_BACKOFF_S = 0.05
"""Pause after a second answer out of turn; doubled, up to `EARLY_BACKOFF_MAX_S`."""

EARLY_BACKOFF_MAX_S = 1.0

BACKOFF_DOUBLINGS_MAX = 10
"""Doublings after which a backoff is at its bound whatever that is."""

START_SPREAD_MAX_S = 1.0
"""Longest time over which the first polls at a new discovery are spread."""

START_SPREAD_PER_PROXY_S = 0.05
"""Of that time, for each proxy of the fleet."""


class Mismatch(StrEnum):
    """Why an answer is not the one to the poll that is out; part of a counter's name."""

    CHANGES_UNASKED = "changes_unasked"
    OLDER = "older"
    OUT_OF_TURN = "out_of_turn"


@dataclass(slots=True, frozen=True)
class Poll:
    """A call for the endpoint list; with a wait it is a watch."""

    since_version: int | None
    """Only changes after this version; None: the full list."""
    wait_s: float
    """How long discovery may wait for a change."""
    timeout_s: float
    """After which the poll is overdue."""
    started_at: float
    """Seconds of the schedule's clock."""


class WatchSchedule:
    """What to poll next. Times are seconds of any steady clock; randomness is passed in."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.rng = rng
        self.configure(settings)
        self.version: int | None = None
        """Version of the list in use; None: the next poll is for the full list."""
        self.timeouts = 0
        """Polls in a row that were overdue."""
        self.failures = 0
        """Polls in a row that failed."""
        self.early_answers = 0
        """Answers in a row that were out of turn."""
        self.wait_factor = 1.0
        """By which watches wait longer while discovery is overloaded."""
        self.answer_time_s = INITIAL_ANSWER_TIME_S
        """How long a poll without a wait takes, as of late."""

    @property
    def keeps_overdue_polls(self) -> bool:
        """Whether an overdue poll stays open beside the next one: given up, it would lose its turn."""
        return not self.pushed

    def configure(self, settings: Settings) -> None:
        """Use these settings from the next poll on."""
        self.pushed, self.proxy_count = not settings.polls_endpoints, settings.proxy_count
        if self.pushed:
            usable_grace_s = drain_send_window_s(settings)
            # A watch that breaks, and a poll that an outage swallows, cost this much of the grace.
            self.wait_s = _clamp(usable_grace_s / 2, PUSHED_WAIT_BOUNDS_S)
            self.answer_timeout_s = _clamp(usable_grace_s / 4, PUSHED_ANSWER_BOUNDS_S)
        else:
            self.wait_s = _clamp(settings.poll_within, POLLED_WAIT_BOUNDS_S)
            self.answer_timeout_s = POLLED_ANSWER_TIMEOUT_S

    def start_from(self, version: int) -> None:
        """Begin with a list known from before the start, up to this version.

        Guards against a service that answers in turn and is polled twice by each node that starts, for the
        full list and for what follows it: while it works through those polls, changes wait behind them.
        """
        if not self.pushed:
            self.version = version
            self.wait_factor = 0.0  # the shortest wait, until a poll shows that discovery answers at all

    def start_delay(self) -> float:
        """Seconds before the first poll after all nodes learned of a new discovery at once.

        At a shared service they would all wait in turn behind one another, and the last ones in vain.
        """
        if self.pushed:
            return 0.0
        return self.rng.random() * min(START_SPREAD_MAX_S, START_SPREAD_PER_PROXY_S * self.proxy_count)

    def next_poll(self, now: float) -> Poll:
        """The poll to make now."""
        if self.version is None or self.timeouts >= 2:
            return Poll(None, 0.0, self.answer_timeout_s, now)
        if self.timeouts:
            timeout_s = self.answer_timeout_s if self.pushed else POLLED_CHANGES_TIMEOUT_S
            return Poll(self.version, 0.0, timeout_s, now)
        if self.pushed:
            return Poll(self.version, self.wait_s, self.wait_s + self.answer_timeout_s, now)
        mean_wait_s = _clamp(self.wait_s * self.wait_factor, POLLED_WAIT_BOUNDS_S)
        wait_s = mean_wait_s * self.rng.uniform(*POLLED_WAIT_JITTER)
        lateness_s = POLLED_LATENESS_BASE_S + POLLED_LATENESS_ANSWER_TIMES * self.answer_time_s
        lateness_s = _clamp(lateness_s, POLLED_LATENESS_BOUNDS_S)
        return Poll(self.version, wait_s, wait_s + lateness_s, now)

    def find_mismatch(self, poll: Poll, now: float, full: bool, version: int) -> Mismatch | None:
        """Why an answer is not the one to this poll; None: it is.

        Guards against a second answer to the poll before, which would be taken for this one's, and every
        later answer for the one before; and against one that rolls the list back.
        """
        if poll.since_version is None:
            return None if full else Mismatch.CHANGES_UNASKED
        if version < poll.since_version:
            return Mismatch.OLDER
        early = now < poll.started_at + poll.wait_s - EARLY_TOLERANCE_S
        return Mismatch.OUT_OF_TURN if version == poll.since_version and early else None

    def record_answer(self, poll: Poll, now: float, version: int) -> None:
        """This poll was answered; the list is at `version`."""
        if poll.wait_s <= 0.0:
            spent_s = max(0.0, now - poll.started_at)
            change_s = spent_s - self.answer_time_s
            self.answer_time_s += ANSWER_TIME_WEIGHT * change_s if change_s < 0.0 else change_s
        self.version = version
        self.timeouts = self.failures = self.early_answers = 0
        self.wait_factor = max(1.0, self.wait_factor * RECOVERY_WAIT_FACTOR)

    def record_mismatch(self, mismatch: Mismatch) -> float:
        """An answer was rejected; seconds before the poll is made anew, on a new connection."""
        if mismatch is not Mismatch.OUT_OF_TURN:
            self.version = None
        backoff_s = 0.0
        if self.early_answers:
            backoff_s = min(EARLY_BACKOFF_MAX_S, EARLY_BACKOFF_S * _doubled(self.early_answers))
        self.early_answers += 1
        return backoff_s

    def record_timeout(self) -> float:
        """The poll is overdue; seconds before the next, on a new connection: none, as the grace runs."""
        self.timeouts += 1
        return 0.0

    def record_overload(self) -> float:
        """Discovery answered that it has no capacity for this poll; seconds before the next one.

        All nodes together poll it less often from now on: a watch that waits longer costs it no more than a
        short one.
        """
        longest = POLLED_WAIT_BOUNDS_S[1] / POLLED_WAIT_BOUNDS_S[0]
        self.wait_factor = min(longest, self.wait_factor * OVERLOAD_WAIT_FACTOR)
        return self.record_failure()

    def record_failure(self, forget_version: bool = False) -> float:
        """The poll failed: no connection, a reset, no capacity, or no list. Seconds before the next one.

        Guards against nodes that drown a discovery which is overloaded: jitter, and doubling, up to what the
        grace allows. A watch that ends with its connection is no more than a poll that failed.
        """
        if forget_version:
            self.version = None
        if self.pushed:
            backoff_s = min(self.answer_timeout_s, PUSHED_BACKOFF_S * _doubled(self.failures))
        else:
            backoff_s = min(POLLED_BACKOFF_MAX_S, POLLED_BACKOFF_S * _doubled(self.failures))
        self.failures += 1
        return backoff_s * self.rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Discovery is at another address: its versions are its own, and so are its faults."""
        self.version = None
        self.timeouts = self.failures = self.early_answers = 0


def _clamp(value: float, bounds: tuple[float, float]) -> float:
    return max(bounds[0], min(bounds[1], value if math.isfinite(value) else bounds[1]))


def _doubled(times: int) -> float:
    return 2.0 ** min(BACKOFF_DOUBLINGS_MAX, times)
