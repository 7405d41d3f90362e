"""Parts of subscriptions without sockets: encoded bodies, the byte budget, the phase of a node."""

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


def test_a_body_for_many_is_encoded_once_and_the_memory_of_it_is_bounded() -> None:
    encoded = EncodedBodyCache(max_entries=2)
    first = Delta(1, 2, (Change(2, "out/a", 1),))
    assert encoded.body(first) is encoded.body(first)
    assert encoded.body(Delta(1, 3, ())) != encoded.body(first)
    for revision in range(5):
        encoded.body(Delta(1, revision, ()))
    assert len(encoded.bodies) == 2


def test_the_byte_budget_holds_over_any_time_and_leaves_a_reserve() -> None:
    bucket = TokenBucket(rate=100.0, burst=200.0, now=0.0)
    assert bucket.allows(0.0, 200) and not bucket.allows(0.0, 200, reserve=1)
    bucket.spend(0.0, 200)
    assert not bucket.allows(0.5, 51) and bucket.allows(0.5, 50)
    assert bucket.wait(0.5, 100) == pytest.approx(0.5)
    bucket.spend(0.5, 150)  # what can't be put off: the balance falls below zero
    assert not bucket.allows(1.4, 0.1) and bucket.allows(1.51, 0.1)
    assert bucket.allows(99.0, 200) and not bucket.allows(99.0, 201)


def test_a_node_with_long_leases_does_not_take_a_pause_between_renewals_for_silence() -> None:
    limits = Limits()
    node = Subscriber("n", "i", "", [MachineAddress("c1", "a")], limits, 0.0, random.Random(1))
    node.tick(0.0)
    node.connected(0.0)
    node.receive(0.0, Accepted(VERSION, "cluster", "c1", renew_s=limits.publisher_timeout_s))
    node.tick(1.5 * limits.publisher_timeout_s)  # its own renewal is sent, and the answer takes its time
    phases = [node.phase]
    node.tick(4.1 * limits.publisher_timeout_s)
    phases.append(node.phase)
    assert phases == [Phase.SUBSCRIBED, Phase.WAITING]
