"""Costs of subscriptions: renewals, deltas and snapshots, for a publisher and for a subscriber.

Measures the classes without I/O, with messages encoded, checksummed and decoded as on sockets. The costs of
the sockets are measured in the runs with hollow nodes.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from bench.scale.fit import Point, point
from bench.scale.results_file import Measurement, measured
from bench.scale.slopes_store import filled_machine, logged, value
from gradegap.observer import messages, publisher, subscriber
from gradegap.observer.limits import Limits
from gradegap.observer.publisher import Publisher
from gradegap.observer.selection import MachineAddress
from gradegap.observer.source import MachineSource
from gradegap.observer.subscriber import Subscriber
from gradegap.store.channel import CHECKSUM_BYTES, LENGTH_BYTES, frame_checksum
from gradegap.store.records import KeyUpdate

SUBSCRIBERS = (267, 800, 1_600)  # a sixth of all nodes, half of them, and all of them
KEYS = (200, 2_000, 12_000)
CHANGES = (1, 10, 50)
ROUNDS = 10  # number of renewals of each subscriber in one repeat
REPEATS = 5
CHECKSUM_KEY = b"k" * 32
FRAME_HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
LEASE_S = 1.0

_encode = msgspec.msgpack.Encoder().encode
_from_subscriber: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(messages.FromSubscriber)
_from_publisher: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(messages.FromPublisher)


class Link:
    """Frames of one direction, with their checksums, in the format of `store/channel.py`."""

    def __init__(self) -> None:
        self.number = 0

    def frame(self, body: bytes) -> bytes:
        """Returns a frame: a body with its length and its checksum."""
        self.number += 1
        return (
            len(body).to_bytes(LENGTH_BYTES, "big") + frame_checksum(CHECKSUM_KEY, self.number, body) + body
        )

    def body(self, frame: bytes) -> bytes:
        """Returns the body of a frame after a check of its checksum."""
        body = frame[FRAME_HEADER_BYTES:]
        if frame_checksum(CHECKSUM_KEY, self.number, body) != frame[LENGTH_BYTES:FRAME_HEADER_BYTES]:
            raise ValueError("frame checksum mismatch")
        return body


class Site:
    """One publisher with a real state machine, and its subscribers."""

    def __init__(self, subscribers: int, keys: int, seed: int) -> None:
        self.rng = Random(seed)
        self.machine = filled_machine(keys, seed)
        self.now = 100.0
        limits = Limits(subscribe_rate=1e9, subscribe_burst=1_000_000)
        source = MachineSource(self.machine)
        self.publisher = Publisher("cluster", "m1", source, limits, self.now, Random(seed))
        self.publisher.renew_lease(self.now, self.now + LEASE_S)
        machine = MachineAddress("m1", "127.0.0.1:7500", "region-1")
        self.nodes = [
            Subscriber(f"node-{k:04d}", f"life-{k:08x}", "region-1", [machine], limits, self.now, Random(k))
            for k in range(subscribers)
        ]
        self.link = Link()
        self.publisher_s = self.subscriber_s = 0.0
        self.sizes: dict[str, list[int]] = {}

    def _to_publisher(self, number: int, message: messages.FromSubscriber) -> None:
        began = time.process_time()
        frame = self.link.frame(_encode(message))
        self.subscriber_s += time.process_time() - began
        self._count(message, frame)
        began = time.process_time()
        message = _from_subscriber.decode(self.link.body(frame))
        if isinstance(message, messages.Subscribe):
            self.publisher.subscribe(self.now, number, message)
        else:
            self.publisher.receive(self.now, number, message)
        self.publisher_s += time.process_time() - began

    def _to_subscriber(self, number: int, frame: bytes) -> None:
        began = time.process_time()
        self.nodes[number].receive(self.now, _from_publisher.decode(self.link.body(frame)))
        self.subscriber_s += time.process_time() - began

    def _count(self, message: object, frame: bytes) -> None:
        self.sizes.setdefault(type(message).__name__, []).append(len(frame))

    def flush(self) -> None:
        """Delivers messages until neither the publisher nor a subscriber has output."""
        while self._flush_publisher() | self._flush_subscribers():
            pass

    def _flush_publisher(self) -> bool:
        sent = False
        encoded: dict[
            int, tuple[object, bytes]
        ] = {}  # holds the message as well, so that its id is not reused
        while True:
            began = time.process_time()
            outputs = self.publisher.take()
            self.publisher_s += time.process_time() - began
            if not outputs:
                return sent
            for output in outputs:
                if isinstance(output, publisher.Send):
                    began = time.process_time()
                    if id(output.message) not in encoded:
                        encoded[id(output.message)] = output.message, _encode(output.message)
                    frame = self.link.frame(encoded[id(output.message)][1])
                    self.publisher_s += time.process_time() - began
                    self._count(output.message, frame)
                    self._to_subscriber(output.connection_id, frame)
            sent = True

    def _flush_subscribers(self) -> bool:
        sent = False
        for number, node in enumerate(self.nodes):
            for output in node.take():
                if isinstance(output, subscriber.Connect):
                    node.connected(self.now)
                    sent = True
                elif isinstance(output, subscriber.Send):
                    self._to_publisher(number, output.message)
                    sent = True
        return sent

    def subscribe(self) -> None:
        """Subscribes all nodes; each is brought up to date by a snapshot.

        Raises:
            RuntimeError: a subscriber is behind afterwards.
        """
        for node in self.nodes:
            node.tick(self.now)
        self.flush()
        self.acknowledge()
        behind = [n for n in self.nodes if n.revision != self.machine.revision]
        if behind:
            raise RuntimeError(f"{len(behind)} subscribers are behind the revision of the publisher")

    def acknowledge(self) -> None:
        """Renews the lease of each subscriber once."""
        self.now += self.publisher.limits.renew_interval_s
        self.publisher.renew_lease(self.now, self.now + LEASE_S)
        for node in self.nodes:
            began = time.process_time()
            node.tick(self.now)
            self.subscriber_s += time.process_time() - began
        self.flush()

    def change(self, count: int) -> None:
        """Changes `count` keys in one transaction and notifies all subscribers."""
        index = self.machine.index + 1
        first = self.rng.randrange(100)
        ops = tuple(KeyUpdate(f"config/key-{100 + first + k:08d}", value(self.rng)) for k in range(count))
        self.machine.apply(index, logged(index, ops))
        self.machine.take_unsaved()
        began = time.process_time()
        self.publisher.source_advanced(self.now)
        self.publisher_s += time.process_time() - began
        self.flush()

    def spent(self, work: Callable[[], None]) -> tuple[float, float]:
        """Returns the processor seconds that `work` takes of the publisher and of all subscribers."""
        before = self.publisher_s, self.subscriber_s
        work()
        return self.publisher_s - before[0], self.subscriber_s - before[1]


def renewals(seed: int) -> list[Measurement]:
    """Measures renewals and heartbeats, in processor time and bytes, and the memory of subscriptions."""
    publishing, subscribing, sizes, memory = [], [], [], []
    for count in SUBSCRIBERS:
        memory.append(point(count, [subscriptions_memory(count, seed)]))
        site = Site(count, KEYS[0], seed)
        site.subscribe()
        publisher_times, subscriber_times = [], []
        site.sizes.clear()
        for _ in range(REPEATS):
            for_publisher = for_subscribers = 0.0
            for _ in range(ROUNDS):
                spent = site.spent(site.acknowledge)
                for_publisher += spent[0]
                for_subscribers += spent[1]
            publisher_times.append(for_publisher / (ROUNDS * count) * 1e6)
            subscriber_times.append(for_subscribers / (ROUNDS * count) * 1e6)
        publishing.append(point(count, publisher_times))
        subscribing.append(point(count, subscriber_times))
        sizes.append(point(count, [round_bytes(site)]))
    renew = "a renewal and its heartbeat, encoded, summed and decoded"
    return [
        measured(
            "publisher_renewal", "µs", "subscribers", f"a publisher's processor time for {renew}", publishing
        ),
        measured(
            "subscriber_renewal", "µs", "subscribers", f"a node's processor time for {renew}", subscribing
        ),
        measured("renewal_bytes", "bytes", "subscribers", "one renewal of each and its heartbeat", sizes),
        measured(
            "publisher_memory",
            "bytes",
            "subscribers",
            "a publisher's subscriptions, without sockets; tracemalloc",
            memory,
        ),
    ]


def subscriptions_memory(count: int, seed: int) -> float:
    """Returns the traced bytes of a publisher's `count` up-to-date subscriptions, without the subscribers."""
    site = Site(0, KEYS[0], seed)
    gc.collect()
    tracemalloc.start()
    for number in range(count):
        subscribe = messages.Subscribe(
            messages.VERSION, f"node-{number:04d}", f"life-{number:08x}", "region-1"
        )
        site.publisher.subscribe(site.now, number, subscribe)
        while site.publisher.take():
            pass
        renew = messages.Renew(1, site.machine.revision)
        site.publisher.receive(site.now, number, renew)
        site.publisher.take()
    gc.collect()
    traced = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(traced)


def round_bytes(site: Site) -> float:
    """Returns the bytes of one renewal of each subscriber, in both directions."""
    return sum(sum(lengths) for lengths in site.sizes.values()) / (REPEATS * ROUNDS)


def deltas(seed: int) -> list[Measurement]:
    """Measures a change sent to each of 267 subscribers, over the number of keys in the change."""
    publishing, subscribing, sizes = [], [], []
    for count in CHANGES:
        site = Site(SUBSCRIBERS[0], KEYS[0], seed)
        site.subscribe()
        publisher_times, subscriber_times, lengths = [], [], []
        for _ in range(REPEATS):
            site.sizes.clear()
            spent = site.spent(lambda site=site, count=count: site.change(count))  # type: ignore[misc]
            publisher_times.append(spent[0] / len(site.nodes) * 1e6)
            subscriber_times.append(spent[1] / len(site.nodes) * 1e6)
            lengths.append(float(site.sizes["Delta"][0]))
            site.acknowledge()
        publishing.append(point(count, publisher_times))
        subscribing.append(point(count, subscriber_times))
        sizes.append(point(count, lengths))
    how = "a delta of so many keys with values of some 50 bytes, to one of 267 subscribers"
    return [
        measured("delta_bytes", "bytes", "keys", f"{how}, with its frame", sizes),
        measured("publisher_delta", "µs", "keys", f"{how}: the publisher's processor time", publishing),
        measured("subscriber_delta", "µs", "keys", f"{how}: the node's processor time", subscribing),
    ]


def snapshots(seed: int) -> list[Measurement]:
    """Measures a snapshot sent to each of ten subscribers, over the number of keys."""
    publishing: list[Point] = []
    sizes: list[Point] = []
    for keys in KEYS:
        publisher_times, lengths = [], []
        for repeat in range(REPEATS):
            site = Site(10, keys, seed + repeat)
            spent = site.spent(site.subscribe)
            publisher_times.append(spent[0] / len(site.nodes) * 1e3)
            lengths.append(sum(site.sizes["SnapshotPart"]) / len(site.nodes))
        publishing.append(point(keys, publisher_times))
        sizes.append(point(keys, lengths))
    how = "a snapshot of so many keys to one of ten subscribers at once"
    return [
        measured("snapshot_bytes", "bytes", "keys", f"{how}, with its frames", sizes),
        measured("publisher_snapshot", "ms", "keys", f"{how}: the publisher's processor time", publishing),
    ]


def observer_part(seed: int) -> list[Measurement]:
    """Measures publisher and subscriber without sockets."""
    return [*renewals(seed), *deltas(seed), *snapshots(seed)]


PARTS: dict[str, Callable[[int], list[Measurement]]] = {"observer": observer_part}
