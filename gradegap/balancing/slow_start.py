"""Slow start: how many requests endpoints that have just started are given, by all proxies together.

A warming endpoint has `Settings.slow_start_share` of its capacity at its start and all of it
`slow_start_time` later, by a ramp that is not known and never slower than evenly. It can take new connections
no faster than would fill it over its warm-up. Sent more than `overload_multiple` times that for
`overload_window`, by all proxies together, it breaks down.

Proxies never talk to one another, and one of hundreds may see a single request of a wave. So the limit is set
where it adds up by itself: each proxy has a token bucket, refilled by time, with its part of what a warming
endpoint bears. The bucket holds fractions of a request: a draw that comes upon a warming endpoint keeps it
with a chance that the bucket pays for. However many endpoints an attempt looks at, and whatever brought it
here (a wave, a retry, a migrated connection, a key), a warming endpoint gets no more than the sum of the
buckets.

What an endpoint bears is learned from the load reports of warm ones. Where there are none, the bucket is
refilled by the rate at which this proxy usually sends, which adds up over the proxies as well.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from gradegap.balancing.capacity import Capacity, ReportingEndpoint
from gradegap.balancing.rates import SLOW_MEMORY_S, DecayingRate
from gradegap.balancing.settings import Settings

BUDGET_SAFETY = 0.8
"""Part of what overloads a warming endpoint that it is given."""

DRAW_SHARE = 0.4
"""Part of `overload_multiple` times its capacity by which draws of a warming endpoint are thinned."""

KEPT_WINDOWS = 1.0
"""Windows of `overload_window` whose refill the bucket holds, where a proxy sees many requests in each."""

USUAL_LOAD = 0.7
"""Part of the fleet's capacity that is assumed to be in use; as many connections may come again at once."""

SHARE_SAFETY = 0.7
"""As `BUDGET_SAFETY`, of an even share, where reports say nothing of capacity."""

SHARE_REFILL = 2.0
"""How much faster such a share is earned than attempts usually come."""

SHARE_EARNED_WINDOWS = 3.0
"""Windows in which such a share is earned at the latest, however seldom attempts come."""

SETTLING_TIME_S = 3.0
"""Seconds after a proxy started in which a wave of reconnects may come."""

SHORTEST_WINDOW_S = 0.01
"""Floor of `overload_window` in seconds, which settings may give as 0."""

NEVER = -math.inf
"""A clock time before all others."""


class Refill(NamedTuple):
    """How the bucket is refilled; in requests, for each part of a warm endpoint's capacity."""

    rate: float  # a second
    most: float  # that the bucket holds


class SlowStart:
    """One proxy's part in what all proxies send to warming endpoints."""

    __slots__ = ("budget", "capacity", "refilled_at", "settled_at", "settled_rate", "started_at")

    def __init__(self, capacity: Capacity) -> None:
        self.capacity = capacity
        self.started_at = NEVER  # when this proxy started
        self.budget = (
            0.0  # requests to a warming endpoint, for each part of a warm one's capacity that it has
        )
        self.refilled_at = NEVER
        self.settled_at = NEVER  # from when on what is sent counts as usual
        self.settled_rate = 0.0  # the slow rate at that time

    def chance(
        self,
        now: float,
        endpoint: ReportingEndpoint,
        ready: Sequence[ReportingEndpoint],
        sent: DecayingRate,
        settings: Settings,
    ) -> float:
        """Takes from the bucket what a draw that came upon a warming endpoint may use.

        Args:
            now: The time.
            endpoint: The endpoint that was drawn.
            ready: The endpoints that are ready.
            sent: How often this proxy sends anything to any endpoint. Its long memory is what is usual.
            settings: The settings in force.

        Returns:
            The chance with which the draw may keep the endpoint.
        """
        self.capacity.update(now, ready, settings)
        count = max(1, self.capacity.warming_count)
        refill = self._refill(len(ready), count, self._usual(now, sent), settings)
        since = max(0.0, now - max(self.refilled_at, self.started_at))
        self.refilled_at = now
        self.budget = min(refill.most, self.budget + refill.rate * since)
        taken = min(self.budget, DRAW_SHARE * settings.overload_multiple / count)
        self.budget -= taken
        return taken * count * self.capacity.present_share(endpoint, now, settings)

    def _refill(self, ready: int, warming: int, usual: float, settings: Settings) -> Refill:
        """Returns the larger of two that add up over proxies: by reports, and by this proxy's own sends."""
        window = max(SHORTEST_WINDOW_S, settings.overload_window)
        pairs_a_draw = max(1.0, ready / (2.0 * warming))  # pairs drawn for one draw of a warming endpoint
        by_sends = _refill_by_sends(ready, usual, window, pairs_a_draw, settings)
        filled_by = self.capacity.connections_when_full()
        if filled_by <= 0.0:
            return by_sends
        by_capacity = _refill_by_capacity(ready, filled_by, window, pairs_a_draw, settings)
        return Refill(max(by_sends.rate, by_capacity.rate), max(by_sends.most, by_capacity.most))

    def _usual(self, now: float, sent: DecayingRate) -> float:
        """Returns how often this proxy usually sends, in requests a second.

        The slow rate begins at none, and is far below what is usual for its first half minute. What came
        after the first seconds alone gives the mean rate since then; those seconds may be a wave of returns.
        """
        if self.settled_at == NEVER and now >= self.started_at + SETTLING_TIME_S:
            self.settled_at, self.settled_rate = now, sent.slow_rate
        since = now - self.settled_at
        if self.settled_at == NEVER or since < SETTLING_TIME_S:
            return sent.slow_rate
        decay = math.exp(-since / SLOW_MEMORY_S)
        return max(sent.slow_rate, (sent.slow_rate - self.settled_rate * decay) / (1.0 - decay))


def _refill_by_sends(
    ready: int, usual: float, window: float, pairs_a_draw: float, settings: Settings
) -> Refill:
    """Returns a part of an even share of what this proxy usually sends."""
    share = SHARE_SAFETY * settings.overload_multiple / ready
    rate = share * max(1.0 / (SHARE_EARNED_WINDOWS * window), SHARE_REFILL * usual)
    return Refill(rate, share * pairs_a_draw * (1.0 + usual * window))


def _refill_by_capacity(
    ready: int, filled_by: float, window: float, pairs_a_draw: float, settings: Settings
) -> Refill:
    """Returns this proxy's part of what an endpoint that is filled by so many connections bears."""
    overloaded_at = settings.overload_multiple * filled_by / settings.slow_start_time  # requests a second
    rate = BUDGET_SAFETY * overloaded_at / settings.proxy_count
    # In a wave all established connections come again. Where they are fewer than the proxies, most proxies
    # see none of it, and what each of the others has kept may be larger.
    wave = max(1.0, USUAL_LOAD * ready * filled_by)
    windows = max(KEPT_WINDOWS, pairs_a_draw * settings.proxy_count / wave)
    return Refill(rate, rate * window * windows)
