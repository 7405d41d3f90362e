"""Benchmark of the observer's processor time without sockets, by the number of subscribers.

    python -m bench.observer [--seconds S] [--json FILE]

Measures one publisher with N up-to-date subscribers, and one idle subscriber. Messages are encoded and
decoded as on the wire, but without frames, checksums and sockets. Times are processor time of this process.
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
SERVER_COUNT = 600  # the state holds one key under out/ for each server
LEASE_S = 3.0
LIMITS = Limits(max_subscribers=5000, subscribe_rate=1e9, subscribe_burst=1_000_000).for_lease(LEASE_S)

_encode = msgspec.msgpack.Encoder().encode
_from_subscriber: msgspec.msgpack.Decoder[FromSubscriber] = msgspec.msgpack.Decoder(FromSubscriber)
_from_publisher: msgspec.msgpack.Decoder[FromPublisher] = msgspec.msgpack.Decoder(FromPublisher)


class Bench:
    """A publisher whose subscribers are up to date and hold a lease."""

    def __init__(self, subscribers: int) -> None:
        self.machine = StateMachine()
        for number in range(SERVER_COUNT):
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
        """Commits a change of one key."""
        index = self.machine.index + 1
        command = Command(f"c{index}", 1, 10**12, "bench", (), (KeyUpdate(key, value),))
        self.machine.apply(index, encode(LogRecord(0, 0, command)))

    def publish(self) -> None:
        """Sends the committed changes to all subscribers."""
        self.publisher.source_advanced(self.now)
        self.drain()

    def drain(self) -> int:
        """Takes all outputs, encodes each message object once, and returns the number of sends."""
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
        """Delivers one Renew from each subscriber.

        As a driver does, it asks after each Renew for the index that is reported to the leader.
        """
        for number in range(subscribers):
            self.serial += 1
            self.now += 1e-6
            body = _encode(Renew(self.serial, self.machine.revision))
            self.publisher.receive(self.now, number, _from_subscriber.decode(body))
            self.drain()
            self.publisher.safe_index(self.now)


def cpu_time_s(action: Callable[[], object]) -> float:
    """Returns the processor seconds that an action takes."""
    began = time.process_time()
    action()
    return time.process_time() - began


def measure(subscribers: int, seconds: float) -> dict[str, float]:
    """Returns the mean microseconds of each operation with a number of subscribers.

    Operations are repeated for at least `seconds` of processor time.
    """
    bench = Bench(subscribers)
    total_s = {"change": 0.0, "renew": 0.0, "level_renew": 0.0, "behind": 0.0, "tick": 0.0}
    rounds = 0
    while rounds < 3 or sum(total_s.values()) < seconds:
        rounds += 1
        bench.put("config/weight", rounds)
        bench.publisher.renew_lease(bench.now, bench.now + LEASE_S)
        total_s["change"] += cpu_time_s(bench.publish)
        total_s["behind"] += cpu_time_s(
            lambda: bench.publisher.nodes_behind(bench.now, bench.machine.revision)
        )
        total_s["renew"] += cpu_time_s(lambda: bench.renew_all(subscribers))
        total_s["level_renew"] += cpu_time_s(lambda: bench.renew_all(subscribers))
        bench.now += 0.5
        total_s["tick"] += cpu_time_s(lambda: bench.publisher.tick(bench.now))
    us_per_round = 1e6 / rounds
    return {
        "subscribers": subscribers,
        "change_us": round(total_s["change"] * us_per_round, 1),
        "renew_after_change_us": round(total_s["renew"] * us_per_round / subscribers, 2),
        "renew_us": round(total_s["level_renew"] * us_per_round / subscribers, 2),
        "behind_us": round(total_s["behind"] * us_per_round, 1),
        "sweep_us": round(total_s["tick"] * us_per_round, 1),
    }


def idle_subscriber(seconds: int = 600) -> float:
    """Returns the microseconds per second that an idle node takes, with leases of `LEASE_S`."""
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
    """Runs all measurements and prints a table."""
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
