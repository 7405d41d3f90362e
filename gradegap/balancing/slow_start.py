"""Slow start: limits the requests that all proxies together send to endpoints that have just started.

Model of a warming endpoint: it has at least the fraction `Settings.slow_start_share` of its capacity when it
starts and its full capacity `slow_start_time` later. The ramp between them is unknown but never slower than
linear. The sustainable rate of new connections is the one that fills the endpoint over its warm-up. If all
proxies together send more than `overload_multiple` times that rate for `overload_window`, the endpoint fails.

Proxies do not communicate, and in a fleet of hundreds each proxy observes only a fraction of a traffic surge,
possibly a single request. The limit is therefore divided among the proxies: each proxy has a token bucket
that is refilled over time with its share of the load that a warming endpoint can sustain. Tokens are
fractions of a request: the draw of a warming endpoint is accepted with a probability that is taken from the
bucket. A warming endpoint thus gets at most the sum of all buckets, however many endpoints an attempt draws,
and whatever its cause (a surge, a retry, a migrated connection, a hash key).

The sustainable load is learned from the load reports of warm endpoints. Without reports, the bucket is
refilled in proportion to the usual rate of this proxy's attempts, which also adds up over the proxies.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from gradegap.balancing.capacity import Capacity, ReportingEndpoint
from gradegap.balancing.rates import SLOW_MEMORY_S, DecayingRate
from gradegap.balancing.settings import Settings

CAPACITY_SAFETY_RATIO = 0.8
"""All proxies together may send this fraction of the rate that would overload a warming endpoint.

It applies if the capacity is known from load reports.
"""

MAX_ACCEPTANCE_RATIO = 0.4
"""Upper bound of the probability with which a draw of a warming endpoint is accepted.

The bound is this fraction of `overload_multiple` times the endpoint's current share of its full capacity.
"""

MIN_BURST_WINDOW_COUNT = 1.0
"""The bucket holds the refill of at least this many overload windows (`Settings.overload_window`).

The minimum applies if a proxy gets many requests per window.
"""

ASSUMED_FLEET_LOAD_RATIO = 0.7
"""Assumed utilization of the fleet's capacity, from which its number of connections is estimated.

In the largest surge, the clients of all these connections reconnect at the same time.
"""

SEND_SHARE_SAFETY_RATIO = 0.7
"""A warming endpoint may get this fraction of `overload_multiple` times an even share of attempts.

This safety margin applies if the capacity is not known from load reports. An even share is this proxy's
attempts divided by the number of ready endpoints.
"""

SEND_SHARE_REFILL_FACTOR = 2.0
"""Ratio of the refill rate to the usual rate of attempts, if no load reports tell the capacity."""

SEND_SHARE_MAX_REFILL_WINDOWS = 3.0
"""Longest time, in overload windows, until the share of one attempt is refilled.

It bounds the refill time of a proxy that rarely sends attempts.
"""

SETTLING_TIME_S = 3.0
"""Seconds after the start of a proxy in which a surge of reconnects may distort its usual rate."""

MIN_OVERLOAD_WINDOW_S = 0.01
"""Lower bound of `overload_window` in seconds, since settings may define it as 0."""

NEVER = -math.inf
"""A point in time before any reading of the balancer's clock."""


class Refill(NamedTuple):
    """The parameters of the token bucket, in requests per full capacity of a warm endpoint."""

    rate: float  # tokens per second
    burst: float  # size of the bucket in tokens


class SlowStart:
    """One proxy's token bucket for requests to warming endpoints."""

    __slots__ = ("budget", "capacity", "refilled_at", "settled_at", "settled_rate", "started_at")

    def __init__(self, capacity: Capacity) -> None:
        self.capacity = capacity
        self.started_at = NEVER  # when this proxy started
        self.budget = 0.0  # in tokens: requests to a warming endpoint, per full capacity of a warm one
        self.refilled_at = NEVER
        self.settled_at = NEVER  # attempts after this time count as usual traffic
        self.settled_rate = 0.0  # the slow rate of attempts at `settled_at`

    def acceptance_probability(
        self,
        now: float,
        endpoint: ReportingEndpoint,
        ready: Sequence[ReportingEndpoint],
        sent: DecayingRate,
        settings: Settings,
    ) -> float:
        """Takes tokens for one draw of a warming endpoint from the bucket.

        Args:
            now: The current time in seconds.
            endpoint: The warming endpoint that was drawn.
            ready: All ready endpoints.
            sent: The rate of this proxy's attempts to all endpoints; its slow rate is the usual traffic.
            settings: The settings in force.

        Returns:
            The probability with which the draw is to be accepted.
        """
        self.capacity.update(now, ready, settings)
        warming_count = max(1, self.capacity.warming_count)
        refill = self._refill(len(ready), warming_count, self._usual_rate(now, sent), settings)
        elapsed = max(0.0, now - max(self.refilled_at, self.started_at))
        self.refilled_at = now
        self.budget = min(refill.burst, self.budget + refill.rate * elapsed)
        taken = min(self.budget, MAX_ACCEPTANCE_RATIO * settings.overload_multiple / warming_count)
        self.budget -= taken
        return taken * warming_count * self.capacity.warming_capacity_share(endpoint, now, settings)

    def _refill(self, ready_count: int, warming_count: int, usual_rate: float, settings: Settings) -> Refill:
        """Returns the larger of the refills by reported capacity and by this proxy's own rate of attempts.

        Either of them adds up over the proxies to a load that a warming endpoint sustains.
        """
        window = max(MIN_OVERLOAD_WINDOW_S, settings.overload_window)
        # Mean number of drawn pairs per draw of a warming endpoint.
        pairs_per_hit = max(1.0, ready_count / (2.0 * warming_count))
        by_sends = _refill_by_sends(ready_count, usual_rate, window, pairs_per_hit, settings)
        full_connections = self.capacity.connections_when_full()
        if full_connections <= 0.0:
            return by_sends
        by_capacity = _refill_by_capacity(ready_count, full_connections, window, pairs_per_hit, settings)
        return Refill(max(by_sends.rate, by_capacity.rate), max(by_sends.burst, by_capacity.burst))

    def _usual_rate(self, now: float, sent: DecayingRate) -> float:
        """Returns the usual rate of this proxy's attempts per second.

        The slow rate starts at 0 and is far too low for the first half minute. Until it has caught up, the
        mean rate since `settled_at` is used. The first seconds after the start are excluded from this mean,
        since they may be a surge of reconnects.
        """
        if self.settled_at == NEVER and now >= self.started_at + SETTLING_TIME_S:
            self.settled_at, self.settled_rate = now, sent.slow_rate
        elapsed = now - self.settled_at
        if self.settled_at == NEVER or elapsed < SETTLING_TIME_S:
            return sent.slow_rate
        decay = math.exp(-elapsed / SLOW_MEMORY_S)
        return max(sent.slow_rate, (sent.slow_rate - self.settled_rate * decay) / (1.0 - decay))


def _refill_by_sends(
    ready_count: int, usual_rate: float, window: float, pairs_per_hit: float, settings: Settings
) -> Refill:
    """Returns the refill by an even share, over all ready endpoints, of this proxy's usual attempts."""
    share = SEND_SHARE_SAFETY_RATIO * settings.overload_multiple / ready_count
    rate = share * max(1.0 / (SEND_SHARE_MAX_REFILL_WINDOWS * window), SEND_SHARE_REFILL_FACTOR * usual_rate)
    return Refill(rate, share * pairs_per_hit * (1.0 + usual_rate * window))


def _refill_by_capacity(
    ready_count: int, full_connections: float, window: float, pairs_per_hit: float, settings: Settings
) -> Refill:
    """Returns the refill by this proxy's share of the rate that overloads a warming endpoint.

    `full_connections` is the number of connections that fill a warm endpoint.
    """
    # Requests per second, over all proxies, that overload a warming endpoint.
    overload_rate = settings.overload_multiple * full_connections / settings.slow_start_time
    rate = CAPACITY_SAFETY_RATIO * overload_rate / settings.proxy_count
    # In the largest surge, all established connections reconnect. If these are fewer than the proxies, most
    # proxies observe none of them, so each of the others may use a larger bucket.
    reconnects = max(1.0, ASSUMED_FLEET_LOAD_RATIO * ready_count * full_connections)
    windows = max(MIN_BURST_WINDOW_COUNT, pairs_per_hit * settings.proxy_count / reconnects)
    return Refill(rate, rate * window * windows)
