"""Processor time of the observer core without sockets, by the number of subscribers.

    python -m bench.observer [--seconds S] [--json FILE]

One publisher with N subscribers that are up to date, and one idle subscriber. Messages are encoded and
decoded as on the wire, without frames, their sums and sockets. Times are processor time of this process.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from gradegap.observer.limits import Limits
from gradegap.observer.messages import (
    VERSION,
    Accepted,
    FromPublisher,
    FromSubscriber,
    Heartbeat,
    Renew,
    Subscribe,
)
from gradegap.observer.publisher import Publisher, Send
from gradegap.observer.selection import MachineAddress
from gradegap.observer.source import MachineSource
from gradegap.observer.subscriber import Send as NodeSend
from gradegap.observer.subscriber import Subscriber
from gradegap.store.machine import StateMachine
from gradegap.store.records import Command, KeyUpdate, LogRecord, encode

SIZES = (100, 500, 1000, 2000, 4000)
SERVERS = 600  # keys under out/
LEASE_S = 3.0
LIMITS = Limits(max_subscribers=5000, subscribe_rate=1e9, subscribe_burst=1_000_000).for_lease(LEASE_S)

_encode = msgspec.msgpack.Encoder().encode
_from_subscriber: msgspec.msgpack.Decoder[FromSubscriber] = msgspec.msgpack.Decoder(FromSubscriber)
_from_publisher: msgspec.msgpack.Decoder[FromPublisher] = msgspec.msgpack.Decoder(FromPublisher)


class Bench:
    """A publisher with subscribers that are up to date and hold a lease."""

    def __init__(self, subscribers: int) -> None:
        self.machine = StateMachine()
        for number in range(SERVERS):
            self.put(f"out/server{number}", {"at_ms": number, "by": "bench"})
        self.now = 1000.0
        source = MachineSource(self.machine)
        self.publisher = Publisher("cluster", "m0", source, LIMITS, self.now, random.Random(1))
        self.publisher.renew_lease(self.now, self.now + LEASE_S)
        self.serial = 0
        for number in range(subscribers):
            hello = Subscribe(VERSION, f"node{number}", f"i{number}", "r", "", self.machine.revision)
            self.publisher.subscribe(self.now, number, hello)
        self.drain()
        self.renew_all(subscribers)

    def put(self, key: str, value: object) -> None:
        """Commit a change."""
        index = self.machine.index + 1
        command = Command(f"c{index}", 1, 10**12, "bench", (), (KeyUpdate(key, value),))
        self.machine.apply(index, encode(LogRecord(0, 0, command)))

    def publish(self) -> None:
        """Send what is committed to all."""
        self.publisher.source_advanced(self.now)
        self.drain()

    def drain(self) -> int:
        """Take the publisher's outputs, each object encoded once; how many sends there are."""
        sends, encoded = 0, set()
        while outputs := self.publisher.take():
            for output in outputs:
                if isinstance(output, Send):
                    sends += 1
                    if id(output.message) not in encoded:
                        encoded.add(id(output.message))
                        _encode(output.message)
        return sends

    def renew_all(self, subscribers: int) -> None:
        """One Renew of each, as a driver handles it: after each it looks at what to report to the leader."""
        for number in range(subscribers):
            self.serial += 1
            self.now += 1e-6
            body = _encode(Renew(self.serial, self.machine.revision))
            self.publisher.receive(self.now, number, _from_subscriber.decode(body))
            self.drain()
            self.publisher.safe_index(self.now)


def cpu_time_s(action: Callable[[], object]) -> float:
    """Processor seconds of an action."""
    began = time.process_time()
    action()
    return time.process_time() - began


def measure(subscribers: int, seconds: float) -> dict[str, float]:
    """Microseconds of each operation with so many subscribers; means over at least `seconds`."""
    bench = Bench(subscribers)
    total = {"change": 0.0, "renew": 0.0, "level_renew": 0.0, "behind": 0.0, "tick": 0.0}
    rounds = 0
    while rounds < 3 or sum(total.values()) < seconds:
        rounds += 1
        bench.put("config/weight", rounds)
        bench.publisher.renew_lease(bench.now, bench.now + LEASE_S)
        total["change"] += cpu_time_s(bench.publish)
        total["behind"] += cpu_time_s(lambda: bench.publisher.nodes_behind(bench.now, bench.machine.revision))
        total["renew"] += cpu_time_s(lambda: bench.renew_all(subscribers))
        total["level_renew"] += cpu_time_s(lambda: bench.renew_all(subscribers))
        bench.now += 0.5
        total["tick"] += cpu_time_s(lambda: bench.publisher.tick(bench.now))
    micro = 1e6 / rounds
    return {
        "subscribers": subscribers,
        "change_us": round(total["change"] * micro, 1),
        "renew_after_change_us": round(total["renew"] * micro / subscribers, 2),
        "renew_us": round(total["level_renew"] * micro / subscribers, 2),
        "behind_us": round(total["behind"] * micro, 1),
        "sweep_us": round(total["tick"] * micro, 1),
    }


def idle_subscriber(seconds: int = 600) -> float:
    """Microseconds a second of an idle node with a lease of the bench's length."""
    node = Subscriber("node", "i", "r", [MachineAddress("m0", "")], LIMITS, 0.0, random.Random(1))
    node.tick(0.0)
    node.connected(0.0)
    node.receive(0.0, Accepted(VERSION, "c", "m0", LIMITS.renew_interval_s))

    def run() -> None:
        now = 0.0
        while now < seconds:
            for output in node.take():
                if isinstance(output, NodeSend) and isinstance(output.message, Renew):
                    _encode(output.message)
                    answer = _encode(Heartbeat(output.message.serial, 1, LEASE_S * 0.7))
                    node.receive(now, _from_publisher.decode(answer))
            now = max(now + 0.001, node.deadline())
            node.tick(now)

    return cpu_time_s(run) * 1e6 / seconds


def main(
    seconds: Annotated[float, typer.Option(help="Processor seconds for each size")] = 1.0,
    json_file: Annotated[Path | None, typer.Option("--json", help="Where to write the results")] = None,
) -> None:
    """Measure, and print a table."""
    rows = [measure(size, seconds) for size in SIZES]
    idle = round(idle_subscriber(), 1)
    print(" ".join(f"{name:>22}" for name in rows[0]))
    for row in rows:
        print(" ".join(f"{value:>22}" for value in row.values()))
    print(f"an idle subscriber, a Renew every {LIMITS.renew_interval_s:.1f} s at most: {idle} us a second")
    if json_file is not None:
        json_file.write_text(json.dumps({"publisher": rows, "idle_subscriber_us_s": idle}, indent=1))


if __name__ == "__main__":
    typer.run(main)
