"""How many requests servers that have just started are given, by all nodes together.

A cold server has `Settings.cold_share` of its capacity at its start and all of it `cold_time` later, by a
ramp that is not told and never slower than evenly. It can take new connections no faster than would fill it
over its warm-up. Sent more than `fall_multiple` times that for `fall_time`, by all nodes together, it falls.

Nodes never talk to one another, and one of hundreds may see a single request of a wave. So the limit is set
where it adds up by itself: each node has a token bucket, refilled by time, with its part of what a cold
server bears. The bucket holds fractions of a request: a draw that comes upon a cold server keeps it with a
chance that the bucket pays for. However many servers an attempt looks at, and whatever brought it here (a
wave, a retry, a moved connection, a key), a cold server gets no more than the sum of the buckets.

What a server bears is learned from the load reports of warm ones. Where there are none, the bucket is
refilled by the rate at which this node usually sends, which adds up over the nodes as well.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from gradegap.balancing.capacity import Capacity, Server
from gradegap.balancing.rates import SLOW, DecayingRate
from gradegap.balancing.settings import Settings

SAFETY = 0.8  # part of what makes a cold server fall that it is given
DRAWN = 0.4  # part of `fall_multiple` times its capacity, by which draws of a cold server are thinned
KEPT = 1.0  # windows of `fall_time` whose refill the bucket holds, where a node sees many requests in each
USUAL_LOAD = 0.7  # of the fleet's capacity, held to be standing; as many may come again at once
SHARE_SAFETY = 0.7  # the same as `SAFETY`, of an even share, where reports tell no capacity
SHARE_REFILL = 2.0  # how much faster such a share is earned than attempts usually come
SHARE_EARNED_IN = 3.0  # windows in which it is earned at the latest, however seldom attempts come
SETTLES = 3.0  # s after a node began, in which a wave of returns may come
NEVER = -math.inf
SHORTEST_WINDOW = 0.01  # s: floor of `fall_time`, which settings may give as 0


class Refill(NamedTuple):
    """How the bucket is refilled; in requests, for each part of a warm server's capacity."""

    rate: float  # a second
    most: float  # that the bucket holds


class SlowStart:
    """One node's part in what all nodes send to cold servers."""

    __slots__ = ("born", "bucket", "capacity", "refilled_at", "settled_at", "settled_slow")

    def __init__(self, capacity: Capacity) -> None:
        self.capacity = capacity
        self.born = NEVER  # when this node began
        self.bucket = 0.0  # requests to a cold server, for each part of a warm one's capacity that it has
        self.refilled_at = NEVER
        self.settled_at = NEVER  # from when on what is sent is taken for usual
        self.settled_slow = 0.0  # the slow rate at that time

    def chance(
        self, now: float, server: Server, ready: Sequence[Server], sent: DecayingRate, settings: Settings
    ) -> float:
        """Takes from the bucket what a draw that came upon a cold server may use.

        Args:
            now: The time.
            server: The server that was drawn.
            ready: The servers that are ready.
            sent: How often this node sends anything to any server. Its long memory is what is usual.
            settings: The settings in force.

        Returns:
            The chance with which the draw may keep the server.
        """
        self.capacity.look(now, ready, settings)
        count = max(1, self.capacity.cold_count)
        refill = self._refill(len(ready), count, self._usual(now, sent), settings)
        since = max(0.0, now - max(self.refilled_at, self.born))
        self.refilled_at = now
        self.bucket = min(refill.most, self.bucket + refill.rate * since)
        taken = min(self.bucket, DRAWN * settings.overload_multiple / count)
        self.bucket -= taken
        return taken * count * self.capacity.present_share(server, now, settings)

    def _refill(self, ready: int, cold: int, usual: float, settings: Settings) -> Refill:
        """Returns the larger of two that both add up: servers tell one, and this node's own sends another."""
        window = max(SHORTEST_WINDOW, settings.overload_window)
        pairs_a_draw = max(1.0, ready / (2.0 * cold))  # pairs drawn for one draw of a cold server
        by_sends = _refill_by_sends(ready, usual, window, pairs_a_draw, settings)
        filled_by = self.capacity.filled_by()
        if filled_by <= 0.0:
            return by_sends
        told = _refill_by_capacity(ready, filled_by, window, pairs_a_draw, settings)
        return Refill(max(by_sends.rate, told.rate), max(by_sends.most, told.most))

    def _usual(self, now: float, sent: DecayingRate) -> float:
        """Returns how often this node usually sends.

        The slow rate begins at none, and is far below what is usual for its first half minute. What came
        after the first seconds alone gives the mean rate since then; those seconds may be a wave of returns.
        """
        if self.settled_at == NEVER and now >= self.born + SETTLES:
            self.settled_at, self.settled_slow = now, sent.slow
        since = now - self.settled_at
        if self.settled_at == NEVER or since < SETTLES:
            return sent.slow
        decay = math.exp(-since / SLOW)
        return max(sent.slow, (sent.slow - self.settled_slow * decay) / (1.0 - decay))


def _refill_by_sends(
    ready: int, usual: float, window: float, pairs_a_draw: float, settings: Settings
) -> Refill:
    """Returns a part of an even share of what this node usually sends."""
    share = SHARE_SAFETY * settings.overload_multiple / ready
    rate = share * max(1.0 / (SHARE_EARNED_IN * window), SHARE_REFILL * usual)
    return Refill(rate, share * pairs_a_draw * (1.0 + usual * window))


def _refill_by_capacity(
    ready: int, filled_by: float, window: float, pairs_a_draw: float, settings: Settings
) -> Refill:
    """Returns this node's part of what a server that is filled by so many connections bears."""
    falls_at = settings.overload_multiple * filled_by / settings.slow_start_time  # requests a second
    rate = SAFETY * falls_at / settings.proxy_count
    # In a wave all who stand come again. Where they are fewer than the nodes, most nodes see none of it, and
    # what each of the others has kept may be larger.
    wave = max(1.0, USUAL_LOAD * ready * filled_by)
    windows = max(KEPT, pairs_a_draw * settings.proxy_count / wave)
    return Refill(rate, rate * window * windows)
