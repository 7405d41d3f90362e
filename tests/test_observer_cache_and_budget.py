"""Units without sockets: the cache of encoded messages, the byte budget, and a node's silence timeout."""

from __future__ import annotations

import random

import pytest

from gradegap.observer.limits import Limits
from gradegap.observer.link import EncodedBodyCache
from gradegap.observer.messages import (
    VERSION,
    Accepted,
    Change,
    Delta,
)
from gradegap.observer.selection import MachineAddress
from gradegap.observer.subscriber import Phase, Subscriber
from gradegap.observer.token_bucket import TokenBucket


def test_encoded_body_cache_encodes_once_and_is_bounded() -> None:
    cache = EncodedBodyCache(max_entries=2)
    first = Delta(1, 2, (Change(2, "out/a", 1),))
    assert cache.body(first) is cache.body(first)
    assert cache.body(Delta(1, 3, ())) != cache.body(first)
    for revision in range(5):
        cache.body(Delta(1, revision, ()))
    assert len(cache.bodies) == 2


def test_token_bucket_limits_rate_and_keeps_reserve() -> None:
    bucket = TokenBucket(rate=100.0, burst=200.0, now=0.0)
    assert bucket.allows(0.0, 200) and not bucket.allows(0.0, 200, reserve=1)
    bucket.spend(0.0, 200)
    assert not bucket.allows(0.5, 51) and bucket.allows(0.5, 50)
    assert bucket.wait(0.5, 100) == pytest.approx(0.5)
    bucket.spend(0.5, 150)  # a message that can't be delayed makes the balance negative
    assert not bucket.allows(1.4, 0.1) and bucket.allows(1.51, 0.1)
    assert bucket.allows(99.0, 200) and not bucket.allows(99.0, 201)


def test_node_with_long_renew_interval_does_not_time_out_between_renewals() -> None:
    limits = Limits()
    node = Subscriber("n", "i", "", [MachineAddress("c1", "a")], limits, 0.0, random.Random(1))
    node.tick(0.0)
    node.connected(0.0)
    node.receive(0.0, Accepted(VERSION, "cluster", "c1", renew_s=limits.publisher_timeout_s))
    node.tick(1.5 * limits.publisher_timeout_s)  # its renewal is sent, and the response is late
    phases = [node.phase]
    node.tick(4.1 * limits.publisher_timeout_s)
    phases.append(node.phase)
    assert phases == [Phase.SUBSCRIBED, Phase.WAITING]
