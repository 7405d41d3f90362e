"""Benchmark of the store, compared with the machine's own disk and loopback latency in the same run.

    python -m bench.store [--quick]

Runs three members as processes on loopback and measures commits per second and their latency for 1, 16 and
256 writers. The lower bound to compare with (`floor`) is an append with fsync and a round trip on loopback.
Also measures the time without a leader after kill -9, the start time and the memory of a member with 100,000
keys, and the processor time that leases add to a serving node. CI does not run this benchmark.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import socket
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from bench.histograms import new_histogram, percentiles
from bench.process_usage import cpu_seconds, resident_kib
from gradegap.store import wire
from gradegap.store.channel import LinkChannel
from gradegap.store.errors import RequestFailedError
from gradegap.store.records import KeyUpdate
from tests.support.cluster import SECRET, Cluster
from tests.support.node_environment import EndpointServer, NodeEnvironment, free_port, wait_for

QUICK = "--quick" in sys.argv
MEASURE_S = 3.0 if QUICK else 8.0
LEADER_KILLS = 8 if QUICK else 30
KEY_COUNT = 20_000 if QUICK else 100_000


class PrintedResults(dict[str, Any]):
    """Results that are printed as soon as they are set, so that an interrupted run has printed some."""

    def __setitem__(self, key: str, value: Any) -> None:
        super().__setitem__(key, value)
        print(f"{key}: {json.dumps(value)}", flush=True)


def machine_floor(folder: Path) -> dict[str, Any]:
    """Measures an append of 200 bytes with fsync, and a round trip between the sockets of two threads."""
    fsyncs, round_trips = new_histogram(), new_histogram()
    fd = os.open(folder / "floor", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    end = time.perf_counter() + MEASURE_S / 2
    while time.perf_counter() < end:
        began = time.perf_counter_ns()
        os.write(fd, b"x" * 200)
        os.fsync(fd)
        fsyncs.record_value((time.perf_counter_ns() - began) // 1000)
    os.close(fd)
    listener = socket.create_server(("127.0.0.1", 0))

    def echo() -> None:
        sock, _ = listener.accept()
        while data := sock.recv(4096):
            sock.sendall(data)

    threading.Thread(target=echo, daemon=True).start()
    sock = socket.create_connection(listener.getsockname())
    end = time.perf_counter() + MEASURE_S / 4
    while time.perf_counter() < end:
        began = time.perf_counter_ns()
        sock.sendall(b"x" * 200)
        sock.recv(4096)
        round_trips.record_value((time.perf_counter_ns() - began) // 1000)
    sock.close()
    return {
        "fsync_a_second": round(fsyncs.get_total_count() / (MEASURE_S / 2)),
        "fsync": percentiles(fsyncs),
        "round_trip": percentiles(round_trips),
    }


class Writer(asyncio.Protocol):
    """Writes keys over a link one at a time: each write is sent after the previous one was committed."""

    def __init__(self, number: int, histogram: HdrHistogram, until: float) -> None:
        self.channel = LinkChannel.open(SECRET, "client", is_dialer=True)
        self.number, self.histogram, self.until = number, histogram, until
        self.serial = 0
        self.began = 0
        self.failures = 0
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the handshake of the link."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(self.channel.begin())

    def data_received(self, data: bytes) -> None:
        """Records the latency of each response, and writes the next key."""
        was_authenticated = self.channel.authenticated
        responses, reply = self.channel.receive(data)
        self.transport.write(reply)
        if self.channel.authenticated and not was_authenticated:
            self.next()
        for response in responses:
            assert isinstance(response, wire.Response)
            if response.outcome == "ok":
                self.histogram.record_value((time.perf_counter_ns() - self.began) // 1000)
            else:
                self.failures += 1
            self.next()

    def next(self) -> None:
        """Writes the next key, or completes `done` once the measuring time has passed."""
        if time.perf_counter() > self.until:
            if not self.done.done():
                self.done.set_result(None)
            return
        self.serial += 1
        self.began = time.perf_counter_ns()
        update = KeyUpdate(f"bench/{self.number}/{self.serial % 50}", "x" * 100)
        self.transport.write(self.channel.send(wire.Request(self.serial, wire.Transaction((update,)), 10.0)))


async def commits(address: str, writers: int) -> dict[str, Any]:
    """Measures commits per second and their latency with `writers` concurrent writers."""
    histogram = new_histogram()
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    until = time.perf_counter() + MEASURE_S
    writers_started = []
    for k in range(writers):
        _, writer = await loop.create_connection(lambda k=k: Writer(k, histogram, until), host, int(port))  # type: ignore[misc]
        writers_started.append(writer)
    for writer in writers_started:
        await writer.done
        writer.transport.close()
    failures = sum(writer.failures for writer in writers_started)
    return {"a_second": round(histogram.get_total_count() / MEASURE_S), "refused": failures} | percentiles(
        histogram
    )


def time_without_leader(cluster: Cluster) -> dict[str, Any]:
    """Measures the time from kill -9 of the leader until another member commits a write."""
    elapsed = []
    for _ in range(LEADER_KILLS):
        leader = wait_for(cluster.leader, 15.0)
        wait_for(cluster.has_equal_states, 15.0)
        remaining_members = cluster.others(leader)
        clients = [cluster.member_client(name, 10.0) for name in remaining_members]
        cluster.kill(leader)
        began = time.monotonic()
        clients[0].set("bench/again", 1)
        elapsed.append(time.monotonic() - began)
        for client in clients:
            client.close()
        cluster.start(leader)
    elapsed.sort()
    return {
        "kills": LEADER_KILLS,
        "median_s": round(statistics.median(elapsed), 3),
        "p99_s": round(elapsed[min(len(elapsed) - 1, int(len(elapsed) * 0.99))], 3),
        "most_s": round(elapsed[-1], 3),
    }


def many_keys(folder: Path) -> dict[str, Any]:
    """Measures the start of a single member with many small keys, and its memory with and without them."""
    cluster = Cluster(folder, 1, relayed=False)
    try:
        cluster.start_all()
        empty_kib = resident_kib(cluster.processes["n1"].pid)
        with cluster.member_client("n1", 30.0) as client:
            for k in range(0, KEY_COUNT, 100):
                client.request(
                    wire.Transaction(tuple(KeyUpdate(f"key/{i:08}", i) for i in range(k, k + 100)))
                )
        filled_kib = resident_kib(cluster.processes["n1"].pid)
        cluster.processes["n1"].terminate()
        cluster.processes["n1"].wait(10)
        began = time.monotonic()
        cluster.start("n1")
        wait_for(lambda: has_keys(cluster, "n1"), 30.0)
        elapsed = time.monotonic() - began
        restarted_kib = resident_kib(cluster.processes["n1"].pid)
    finally:
        cluster.stop()
    return {
        "keys": KEY_COUNT,
        "start_s": round(elapsed, 2),
        "memory_mb": round(filled_kib / 1024),
        "memory_after_start_mb": round(restarted_kib / 1024),
        "memory_empty_mb": round(empty_kib / 1024),
    }


def has_keys(cluster: Cluster, name: str) -> bool:
    """Returns whether a member serves the keys that were written."""
    with contextlib.suppress(RequestFailedError), cluster.member_client(name, 1.0) as client:
        return bool(client.value("key/00000007") == 7)
    return False


def serve_cost(folder: Path, with_store: bool) -> float:
    """Returns the CPU seconds per second of a node while clients connect and disconnect.

    With `with_store`, a store member runs in the node's process.
    """
    endpoint_servers = [EndpointServer("a"), EndpointServer("b")]
    folder.mkdir()
    operator = None
    if with_store:
        operator = f'[store]\nname = "n0"\nlisten = "127.0.0.1:{free_port()}"\ndata = "{folder / "data"}"\n'
    environment = NodeEnvironment(folder, endpoint_servers, operator)
    try:
        wait_for(environment.is_ready, 15.0)
        time.sleep(1.0)
        before, began = cpu_seconds(environment.process.pid), time.monotonic()
        rng = random.Random(1)
        served = 0
        while time.monotonic() - began < MEASURE_S * 2:
            client = environment.client()
            served += client.open_request(f"c=live,d=1500,g={rng.randrange(99)}").startswith("UP")
            client.sock.close()
            time.sleep(0.005)
        return (cpu_seconds(environment.process.pid) - before) / (time.monotonic() - began)
    finally:
        environment.process.kill()
        environment.process.wait()
        environment.discovery.server.shutdown()


def main() -> None:
    """Runs all measurements and prints each result as soon as it is known."""
    results = PrintedResults()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        results["floor"] = machine_floor(folder)
        (folder / "three").mkdir()
        cluster = Cluster(folder / "three", relayed=False)
        try:
            cluster.start_all()
            leader = cluster.leader()
            for writers in (1, 16, 256):
                results[f"commits, {writers} writers"] = asyncio.run(
                    commits(cluster.listen_addresses[leader], writers)
                )
            results["without a leader"] = time_without_leader(cluster)
        finally:
            cluster.stop()
        (folder / "keys").mkdir()
        results["many keys"] = many_keys(folder / "keys")
        first_plain = serve_cost(folder / "plain", False)
        with_leases = serve_cost(folder / "leased", True)
        second_plain = serve_cost(folder / "plain2", False)
        results["a node that serves, CPU"] = {
            "plain": round((first_plain + second_plain) / 2, 4),
            "with its member and leases": round(with_leases, 4),
            "more_percent_of_a_core": round((with_leases - (first_plain + second_plain) / 2) * 100, 2),
        }
    fsync = results["floor"]["fsync_a_second"]
    results["commits to fsyncs of the floor"] = {
        str(n): round(results[f"commits, {n} writers"]["a_second"] / fsync, 2) for n in (1, 16, 256)
    }


if __name__ == "__main__":
    main()
