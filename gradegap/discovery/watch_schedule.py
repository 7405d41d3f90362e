"""Decides which poll to send to discovery next, its timeout, and when an unanswered watch is overdue. No I/O.

There are two modes. In *pushed* mode discovery is an agent on the node's own machine: polls cost nothing, a
node counts as notified of a change as soon as the agent has it, and the grace period of a drain begins at
that moment. In *polled* mode one shared service answers the polls of all nodes one after another, and each
poll is expensive. In both modes a watch may stay unanswered without its connection being closed (a silence).
A node counts as notified of a change that it missed `SILENCE_NOTIFIED_S` after the silence began, or
`WAIT_NOTIFIED_S` after the end of its poll's wait, whichever is later. Each poll therefore times out early
enough for two more polls before that: one for the changes since the last list, and one for the full list.

A shared service that answers polls one after another spends time on each poll that has reached it, even if
the caller has closed the connection. A poll that timed out there therefore stays open beside the next one
(`keeps_overdue_polls`), and the first answer is used. The wait of each watch is drawn at random
(`POLLED_WAIT_JITTER_FACTORS`). Otherwise nodes that were started together, or received the same change, would
all poll at the same moment and delay each other after a silence.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from gradegap.balancing.settings import Settings
from gradegap.proxy.endpoint import drain_send_window_s

SILENCE_NOTIFIED_S = 6.0
"""Time from the start of discovery's silence until nodes count as notified of the changes they missed.

The platform's rules define it.
"""

WAIT_NOTIFIED_S = 2.0
"""Time from the end of a poll's wait until nodes count as notified of the changes that they missed.

The platform's rules define it.
"""

CONNECT_TIMEOUT_S = 0.25
"""Timeout of a new connection to discovery; the timeouts of polls below leave time for it."""

PUSHED_WAIT_BOUNDS_S = (0.2, 2.0)
"""Minimum and maximum wait of a watch in pushed mode."""

PUSHED_ANSWER_BOUNDS_S = (0.1, 0.5)
"""Minimum and maximum timeout of an agent's answer, in pushed mode."""

PUSHED_BACKOFF_S = 0.05
"""Backoff after a failed poll in pushed mode, before jitter; doubled up to the agent's answer timeout."""

POLLED_WAIT_BOUNDS_S = (5.0, 30.0)
"""Minimum and maximum mean wait of a watch in polled mode."""

POLLED_WAIT_JITTER_FACTORS = (0.5, 1.5)
"""Range of the random factor of a watch's wait in polled mode; its mean of 1 keeps the mean rate of polls."""

POLLED_LATENESS_BOUNDS_S = (0.6, 1.2)
"""Minimum and maximum time from the end of a watch's wait to its timeout, in polled mode."""

POLLED_LATENESS_BASE_S, POLLED_LATENESS_ANSWER_FACTOR = 0.25, 2.0
"""Time from the end of a watch's wait to its timeout: base plus this multiple of the mean answer time.

It is limited to the bounds above.
"""

POLLED_CHANGES_TIMEOUT_S = 0.6
"""Timeout of the poll for the changes that follows a timed-out watch, in polled mode."""

POLLED_ANSWER_TIMEOUT_S = 2.2
"""Timeout of a poll without a wait, whose only delay is the service's queue.

Two such polls have to fit into `SILENCE_NOTIFIED_S`.
"""

POLLED_BACKOFF_S = 0.1
"""Backoff before jitter after a failed poll in polled mode; doubled after each further failure."""

POLLED_BACKOFF_MAX_S = 1.0
"""Maximum backoff in polled mode.

Two such backoffs, each with a poll that fails after its time in the queue, fit into `SILENCE_NOTIFIED_S`.
"""

OVERLOAD_WAIT_FACTOR = 1.5
"""The wait factor of watches is multiplied by this for each poll that discovery rejects as overloaded."""

RECOVERY_WAIT_FACTOR = 0.9
"""The wait factor of watches is multiplied by this for each answered poll, down to a factor of 1."""

ANSWER_TIME_WEIGHT = 0.2
"""Smoothing factor of the mean answer time for shorter answer times; a longer one replaces the mean."""

INITIAL_ANSWER_TIME_S = 0.1
"""Assumed answer time until one has been measured."""

EARLY_TOLERANCE_S = 0.05
"""An answer without a change is early if it precedes the end of its watch's wait by more than this."""

EARLY_BACKOFF_S = 0.05
"""Base of the backoff after early answers without a change.

There is no backoff after the first early answer; the base is doubled for each further one in a row.
"""

EARLY_BACKOFF_MAX_S = 1.0
"""Maximum backoff after early answers without a change."""

BACKOFF_DOUBLINGS_MAX = 10
"""Limit of the exponent of a backoff; after so many doublings each backoff exceeds its maximum."""

START_SPREAD_MAX_S = 1.0
"""Maximum time over which the first polls at a new discovery address are spread."""

START_SPREAD_PER_PROXY_S = 0.05
"""Time that each proxy of the fleet adds to the spread of the first polls at a new discovery address."""


class Mismatch(StrEnum):
    """Why an answer does not match the open poll; the value is part of a counter's name."""

    CHANGES_UNASKED = "changes_unasked"
    OLDER = "older"
    OUT_OF_TURN = "out_of_turn"


@dataclass(slots=True, frozen=True)
class Poll:
    """One HTTP call for the endpoint list; a poll with a wait is a watch."""

    since_version: int | None
    """Version after which changes are polled; None polls the full list."""
    wait_s: float
    """Time that discovery may wait for a change before it answers."""
    timeout_s: float
    """Time from the start after which the poll is overdue."""
    started_at: float
    """Start time in seconds of the schedule's clock."""


class WatchSchedule:
    """Decides which poll is sent next. Times are seconds of any monotonic clock; `rng` gives the jitter."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.rng = rng
        self.configure(settings)
        self.version: int | None = None
        """Version of the list in use; with None the next poll is for the full list."""
        self.timeouts = 0
        """Number of consecutive overdue polls."""
        self.failures = 0
        """Number of consecutive failed polls."""
        self.early_answers = 0
        """Number of consecutive answers that did not match their poll."""
        self.wait_factor = 1.0
        """Factor of a watch's wait in polled mode; above 1 while discovery is overloaded."""
        self.answer_time_s = INITIAL_ANSWER_TIME_S
        """Moving average of the time that a poll without a wait takes."""

    @property
    def keeps_overdue_polls(self) -> bool:
        """Whether an overdue poll stays open: if closed, it would lose its place in the service's queue."""
        return not self.is_pushed

    def configure(self, settings: Settings) -> None:
        """Apply settings from the next poll on."""
        self.is_pushed, self.proxy_count = not settings.polls_endpoints, settings.proxy_count
        if self.is_pushed:
            usable_grace_s = drain_send_window_s(settings)
            # A broken watch uses half of the grace period, and a poll lost in an outage another quarter.
            self.wait_s = _clamp(usable_grace_s / 2, PUSHED_WAIT_BOUNDS_S)
            self.answer_timeout_s = _clamp(usable_grace_s / 4, PUSHED_ANSWER_BOUNDS_S)
        else:
            self.wait_s = _clamp(settings.poll_within, POLLED_WAIT_BOUNDS_S)
            self.answer_timeout_s = POLLED_ANSWER_TIMEOUT_S

    def start_from(self, version: int) -> None:
        """Start with the version of a list that was known before the process started.

        Guards against two polls from each starting node, one for the full list and one for the changes after
        it: a shared service that answers polls one after another would deliver changes only after all of
        them.
        """
        if not self.is_pushed:
            self.version = version
            # A factor of 0 gives the shortest wait until an answered poll shows that discovery is reachable.
            self.wait_factor = 0.0

    def start_delay(self) -> float:
        """Seconds before the first poll at a new discovery address, which all nodes learn at the same time.

        Without this random delay they would queue behind one another at a shared service, and the last ones
        would time out.
        """
        if self.is_pushed:
            return 0.0
        return self.rng.random() * min(START_SPREAD_MAX_S, START_SPREAD_PER_PROXY_S * self.proxy_count)

    def next_poll(self, now: float) -> Poll:
        """The poll to send at the time `now`."""
        if self.version is None or self.timeouts >= 2:
            return Poll(None, 0.0, self.answer_timeout_s, now)
        if self.timeouts:
            timeout_s = self.answer_timeout_s if self.is_pushed else POLLED_CHANGES_TIMEOUT_S
            return Poll(self.version, 0.0, timeout_s, now)
        if self.is_pushed:
            return Poll(self.version, self.wait_s, self.wait_s + self.answer_timeout_s, now)
        mean_wait_s = _clamp(self.wait_s * self.wait_factor, POLLED_WAIT_BOUNDS_S)
        wait_s = mean_wait_s * self.rng.uniform(*POLLED_WAIT_JITTER_FACTORS)
        lateness_s = POLLED_LATENESS_BASE_S + POLLED_LATENESS_ANSWER_FACTOR * self.answer_time_s
        lateness_s = _clamp(lateness_s, POLLED_LATENESS_BOUNDS_S)
        return Poll(self.version, wait_s, wait_s + lateness_s, now)

    def find_mismatch(self, poll: Poll, now: float, is_full: bool, version: int) -> Mismatch | None:
        """Return why an answer does not match this poll, or None if it does.

        Guards against a duplicate answer to the previous poll, which would be taken for the answer to this
        one and shift all later answers by one poll; and against an answer that rolls the list back.
        """
        if poll.since_version is None:
            return None if is_full else Mismatch.CHANGES_UNASKED
        if version < poll.since_version:
            return Mismatch.OLDER
        is_early = now < poll.started_at + poll.wait_s - EARLY_TOLERANCE_S
        return Mismatch.OUT_OF_TURN if version == poll.since_version and is_early else None

    def record_answer(self, poll: Poll, now: float, version: int) -> None:
        """Record the answer to a poll; the list in use now has this version."""
        if poll.wait_s <= 0.0:
            elapsed_s = max(0.0, now - poll.started_at)
            change_s = elapsed_s - self.answer_time_s
            self.answer_time_s += ANSWER_TIME_WEIGHT * change_s if change_s < 0.0 else change_s
        self.version = version
        self.timeouts = self.failures = self.early_answers = 0
        self.wait_factor = max(1.0, self.wait_factor * RECOVERY_WAIT_FACTOR)

    def record_mismatch(self, mismatch: Mismatch) -> float:
        """Record a rejected answer; returns the seconds before the poll is repeated on a new connection."""
        if mismatch is not Mismatch.OUT_OF_TURN:
            self.version = None
        backoff_s = 0.0
        if self.early_answers:
            backoff_s = min(EARLY_BACKOFF_MAX_S, EARLY_BACKOFF_S * _backoff_factor(self.early_answers))
        self.early_answers += 1
        return backoff_s

    def record_timeout(self) -> float:
        """Record an overdue poll; returns the seconds before the next poll on a new connection.

        There is no delay, because the grace period of a missed drain may already be running.
        """
        self.timeouts += 1
        return 0.0

    def record_overload(self) -> float:
        """Record that discovery rejected the poll as overloaded; returns the seconds before the next poll.

        Longer waits reduce the rate of polls of all nodes: a watch with a long wait costs discovery no more
        than one with a short wait.
        """
        wait_factor_max = POLLED_WAIT_BOUNDS_S[1] / POLLED_WAIT_BOUNDS_S[0]
        self.wait_factor = min(wait_factor_max, self.wait_factor * OVERLOAD_WAIT_FACTOR)
        return self.record_failure()

    def record_failure(self, forget_version: bool = False) -> float:
        """Record a failed poll: no connection, a reset, an overloaded discovery, or no valid list.

        Returns the seconds before the next poll. Jitter and exponential backoff, up to a maximum that the
        grace period allows, keep the nodes from overloading discovery further. A watch whose connection is
        closed counts as a failed poll.
        """
        if forget_version:
            self.version = None
        if self.is_pushed:
            backoff_s = min(self.answer_timeout_s, PUSHED_BACKOFF_S * _backoff_factor(self.failures))
        else:
            backoff_s = min(POLLED_BACKOFF_MAX_S, POLLED_BACKOFF_S * _backoff_factor(self.failures))
        self.failures += 1
        return backoff_s * self.rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Forget the version and the failures, which belong to the previous discovery address."""
        self.version = None
        self.timeouts = self.failures = self.early_answers = 0


def _clamp(value: float, bounds: tuple[float, float]) -> float:
    return max(bounds[0], min(bounds[1], value if math.isfinite(value) else bounds[1]))


def _backoff_factor(exponent: int) -> float:
    return 2.0 ** min(BACKOFF_DOUBLINGS_MAX, exponent)
