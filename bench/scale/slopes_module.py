"""Costs of the balancer, of the endpoint list and of gossip, over numbers of servers, sessions and groups."""

from __future__ import annotations

import asyncio
import gc
import json
import time
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, cast

from bench.scale.fit import Point, point
from bench.scale.results_file import Measurement, measured
from gradegap.balancing.actions import Action, CheckHealth, Forward
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    Event,
    HealthCheckEnded,
    RequestArrived,
)
from gradegap.discovery.http_discovery import HttpDiscovery, PollConnection
from gradegap.metrics import Metrics
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.ports import HealthCheckDone
from gradegap.proxy.proxy import Proxy
from gradegap.proxy.request import Attempt, ConnectPort
from gradegap.store.channel import LinkChannel
from gradegap.store.gossip import GossipExchange
from gradegap.store.wire import Gossip
from gradegap.transport.dialer import Dialer
from tests.support.balancer_driver import settings

SERVERS = (60, 600, 6_000)
SESSIONS = (600, 6_000, 62_500)
GROUPS = (60, 600, 6_000)
GROUPED_SESSIONS = 6_000
COLLECTED = (6_000, 20_000, 62_500)
GOSSIP_SERVERS = (60, 200, 600)
# Bounds between which servers report the number of their connections: loaded servers, and nearly empty ones.
LOADED_CONNECTIONS, EMPTY_CONNECTIONS = (10.0, 60.0), (0.0, 2.0)
REQUESTS = 400  # number of requests that are timed in one repeat
REPEATS = 5
SESSION_COUNT = 1_000  # number of open sessions while requests are timed over servers
MICROSECONDS = 1e6


def server_name(number: int) -> str:
    """Returns a server's name, with the length of the names at our sites."""
    return f"save-{number:05d}"


def entries(count: int) -> tuple[EndpointEntry, ...]:
    """Returns entries of ready servers in 16 zones."""
    return tuple(EndpointEntry(server_name(k), f"zone-{k % 16:02d}", weight=1.0) for k in range(count))


class LoadedBalancer:
    """A balancer whose health checks are answered at once and whose requests are all established."""

    def __init__(
        self, servers: int, seed: int, groups: int = 0, connections: tuple[float, float] = LOADED_CONNECTIONS
    ) -> None:
        """`connections`: bounds between which servers report the number of their connections."""
        self.rng = Random(seed)
        self.groups, self.connections = groups, connections
        self.balancer = Balancer(settings(proxy_count=1, connection_groups=groups > 0), seed)
        self.now = 100.0
        self.next_id = 0
        self.ids: list[tuple[int, str]] = []
        self.handle(EndpointList(EndpointListKind.CACHED, entries(servers)))
        for entry in entries(servers):
            self.handle(self.report(entry.name))

    def handle(self, event: Event) -> list[Action]:
        """Passes one event to the balancer."""
        return self.balancer.handle(self.now, event)

    def report(self, server: str) -> HealthCheckEnded:
        """Returns a health check result of a server with free capacity."""
        report = {"x0": self.rng.uniform(0.05, 0.1), "inflight": self.rng.uniform(*self.connections)}
        return HealthCheckEnded(server, AttemptResult.OK, 0.001, report)

    def request(self) -> None:
        """Handles one request from its arrival to its established connection, health checks included."""
        self.next_id += 1
        group_name = f"group-{self.rng.randrange(self.groups)}" if self.groups else ""
        pending = self.handle(RequestArrived(self.next_id, "live", self.now + 2.0, group=group_name))
        while pending:
            action = pending.pop(0)
            if isinstance(action, CheckHealth):
                pending += self.handle(self.report(action.endpoint))
            elif isinstance(action, Forward):
                self.handle(ConnectionEstablished(action.request_id, 0, action.endpoint, 0.01))
                self.ids.append((action.request_id, action.endpoint))

    def end(self) -> None:
        """Ends the oldest session."""
        request_id, server = self.ids.pop(0)
        self.handle(AttemptEnded(request_id, 0, server, AttemptResult.OK, 1.0, True))

    def open_sessions(self, count: int) -> None:
        """Handles requests until `count` sessions are open."""
        while len(self.ids) < count:
            self.now += 0.01
            self.request()

    def timed(self) -> float:
        """Returns the µs of processor time for one established request and the end of another session."""
        session_count = len(self.ids)
        began = time.process_time()
        for _ in range(REQUESTS):
            self.now += 0.01
            self.request()
            self.end()
        spent = time.process_time() - began
        if len(self.ids) != session_count:
            raise RuntimeError(f"{session_count - len(self.ids)} of {REQUESTS} requests were rejected")
        return spent / REQUESTS * MICROSECONDS


def requests_over_servers(seed: int) -> list[Measurement]:
    """Measures a request with a fixed number of sessions, over servers.

    Three cases: without groups, with groups, and with servers that report hardly any connections.
    """
    how = f"module alone: request, its probes, established, and another's end; {SESSION_COUNT} sessions"
    cases: list[tuple[str, str, int, tuple[float, float]]] = [
        ("module_request_by_servers", how, 0, LOADED_CONNECTIONS),
        (
            "module_grouped_request_by_servers",
            f"{how} in {SESSION_COUNT // 10} groups",
            SESSION_COUNT // 10,
            LOADED_CONNECTIONS,
        ),
        (
            "module_request_by_empty_servers",
            f"{how}, servers report 2 connections at most",
            0,
            EMPTY_CONNECTIONS,
        ),
    ]
    measurements = []
    for name, text, groups, connections in cases:
        points = []
        for servers in SERVERS:
            module = LoadedBalancer(servers, seed, groups, connections)
            module.open_sessions(SESSION_COUNT)
            points.append(point(servers, [module.timed() for _ in range(REPEATS)]))
        measurements.append(measured(name, "µs", "servers", text, points))
    return measurements


def requests_over_sessions(seed: int) -> list[Measurement]:
    """Measures a request, and a garbage collection, over the number of open sessions."""
    times, collections = [], []
    for sessions in SESSIONS:
        module = LoadedBalancer(600, seed)
        module.open_sessions(sessions)
        times.append(point(sessions, [module.timed() for _ in range(REPEATS)]))
    for sessions in COLLECTED:
        module = LoadedBalancer(60, seed)
        module.open_sessions(sessions)
        collections.append(point(sessions, [collection() for _ in range(REPEATS)]))
    how = "module alone with 600 servers: request, its probes, established, and another's end"
    collected = "gc.collect of all generations, module alone with 60 servers and so many sessions"
    return [
        measured("module_request_by_sessions", "µs", "sessions", how, times),
        measured("module_collection_by_sessions", "ms", "sessions", collected, collections),
    ]


def requests_over_groups(seed: int) -> Measurement:
    """Measures a request with a group, over the number of groups."""
    points = []
    for groups in GROUPS:
        module = LoadedBalancer(600, seed, groups)
        module.open_sessions(GROUPED_SESSIONS)
        points.append(point(groups, [module.timed() for _ in range(REPEATS)]))
    how = f"module alone with 600 servers and {GROUPED_SESSIONS} sessions in so many groups: as above"
    return measured("module_request_by_groups", "µs", "groups", how, points)


def collection() -> float:
    """Returns the milliseconds of one full garbage collection."""
    began = time.process_time()
    gc.collect()
    return (time.process_time() - began) * 1e3


class UnusedUpstream:
    """An upstream that opens no connections and sends no health checks."""

    def connect(self, session: Any, backend: Endpoint, wait: float, attempt: Attempt) -> ConnectPort:
        """Fails, because the benchmark sends no requests."""
        raise AssertionError("unexpected connection to an endpoint")

    def check_health(self, backend: Endpoint, wait: float, done: HealthCheckDone) -> None:
        """Leaves the health check unanswered."""

    def close_health_check(self, backend: Endpoint) -> None:
        """Does nothing, because no health check connection is open."""


def registry_entry(number: int, generation: int = 0) -> dict[str, object]:
    """Returns a server as discovery lists it; another `generation` gives the server another id."""
    name = f"{server_name(number)}-{generation}" if generation else server_name(number)
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7443"
    zone = f"zone-{number % 16:02d}"
    return {"id": name, "addr": address, "zone": zone, "kind": "save", "cell": 0, "state": "Ready"} | {
        "weight": 1.0,
        "started_ms": 1764633600000.0,
    }


def discovery_body(numbers: range, version: int, full: bool, generation: int = 0) -> bytes:
    """Returns the body of discovery's response."""
    servers = [registry_entry(k, generation) for k in numbers]
    return json.dumps({"version": version, "full": full, "servers": servers}).encode()


class ListReader:
    """A real proxy with the real discovery client, without sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop, seed: int) -> None:
        metrics = Metrics()
        self.proxy = Proxy(settings(proxy_count=1600), seed, UnusedUpstream(), metrics, loop)
        self.discovery = HttpDiscovery(self.proxy, cast(Dialer, None), "127.0.0.1:1", metrics)

    def apply(self, body: bytes, is_full: bool) -> float:
        """Returns the milliseconds of processor time to read a list and apply it to the balancer."""
        schedule = self.discovery.schedule
        if is_full:
            schedule.version = None
        poll = schedule.next_poll(self.proxy.loop.time() - schedule.wait_s)
        connection = PollConnection(self.discovery)
        began = time.process_time()
        reason = self.discovery.accept(connection, poll, body)
        spent = (time.process_time() - began) * 1e3
        if reason:
            raise ValueError(f"endpoint list rejected: {reason}")
        return spent


def lists(seed: int) -> list[Measurement]:
    """Measures the reading and applying of discovery's full lists and deltas."""
    loop = asyncio.new_event_loop()
    taken: dict[str, list[Point]] = {"first": [], "again": [], "replaced": [], "delta": []}
    for servers in SERVERS:
        all_numbers = range(servers)
        times: dict[str, list[float]] = {name: [] for name in taken}
        for k in range(REPEATS):
            reader = ListReader(loop, seed + k)
            times["first"].append(reader.apply(discovery_body(all_numbers, 1, True), True))
            times["again"].append(reader.apply(discovery_body(all_numbers, 2, True), True))
            times["delta"].append(reader.apply(discovery_body(range(1), 3, False), False))
            times["replaced"].append(reader.apply(discovery_body(all_numbers, 4, True, generation=1), True))
        for name, values in times.items():
            taken[name].append(point(servers, values))
    loop.close()
    texts: Mapping[str, str] = {
        "first": "a full list to a node that knew none, from its bytes to the module's knowing it",
        "again": "the same full list once more",
        "replaced": "a full list in which each server is another",
        "delta": "a delta of one server, where so many are known",
    }
    measurements = [
        measured(f"list_{n}", "ms", "servers", texts[n], p, "linear" if n == "delta" else "power")
        for n, p in taken.items()
    ]
    return [*measurements, *list_bytes()]


def list_bytes() -> list[Measurement]:
    """Measures the bytes of discovery's responses over HTTP, request and response headers included."""
    request = b"GET /registry/instances?index=1&wait=5000 HTTP/1.1\r\nHost: 127.0.0.1:8500\r\n\r\n"
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1234567\r\n\r\n"
    fixed = len(request) + len(head)
    full = [point(n, [fixed + len(discovery_body(range(n), 1, True))]) for n in SERVERS]
    changed = [point(n, [fixed + len(discovery_body(range(n), 1, False))]) for n in (1, 10, 100)]
    return [
        measured("list_bytes_full", "bytes", "servers", "a full list over HTTP, with both heads", full),
        measured(
            "list_bytes_delta", "bytes", "servers", "a delta of so many servers, with both heads", changed
        ),
    ]


def authenticated_pair() -> tuple[LinkChannel, LinkChannel]:
    """Returns the two ends of an authenticated link of the store."""
    dialer = LinkChannel.open(b"secret", "member", True)
    acceptor = LinkChannel.open(b"secret", "member", False)
    to_acceptor, to_dialer = dialer.begin(), b""
    while not (dialer.authenticated and acceptor.authenticated):
        _, to_dialer = acceptor.receive(to_acceptor)
        _, to_acceptor = dialer.receive(to_dialer)
    return dialer, acceptor


def gossips(seed: int) -> list[Measurement]:
    """Measures one gossip message per sibling and second, in bytes and in processor time of both nodes."""
    loop = asyncio.new_event_loop()
    sizes, sending, receiving = [], [], []
    for servers in GOSSIP_SERVERS:
        reader, other = ListReader(loop, seed), ListReader(loop, seed + 1)
        rng = Random(seed)
        for list_reader in (reader, other):
            list_reader.apply(discovery_body(range(servers), 1, True), True)
        for backend in reader.proxy.endpoints.values():
            backend.report = {"x0": rng.uniform(0.05, 0.9), "inflight": float(rng.randrange(60))}
            backend.report_at = reader.proxy.now()
        sender = GossipExchange("node-0001", reader.proxy, Metrics(), lambda: True)
        receiver = GossipExchange("node-0002", other.proxy, Metrics(), lambda: True)
        dialer, acceptor = authenticated_pair()
        send_times, receive_times, frames = [], [], []
        for _ in range(REPEATS):
            began = time.process_time()
            frame = dialer.send(sender.message({"ready": True, "sessions": 62_500}))
            send_times.append((time.process_time() - began) * 1e3)
            frames.append(float(len(frame)))
            began = time.process_time()
            messages, _ = acceptor.receive(frame)
            for message in messages:
                receiver.receive(cast(Gossip, message))
            receive_times.append((time.process_time() - began) * 1e3)
        sizes.append(point(servers, frames))
        sending.append(point(servers, send_times))
        receiving.append(point(servers, receive_times))
    loop.close()
    how = "store/gossip.py: what one node tells one sibling each second"
    return [
        measured("gossip_bytes", "bytes", "servers", how, sizes),
        measured("gossip_tell", "ms", "servers", f"{how}; processor time to make it", sending),
        measured("gossip_hear", "ms", "servers", f"{how}; processor time to take it", receiving),
    ]


def module_part(seed: int) -> list[Measurement]:
    """Measures the balancer alone."""
    return [*requests_over_servers(seed), *requests_over_sessions(seed), requests_over_groups(seed)]


def list_part(seed: int) -> list[Measurement]:
    """Measures endpoint lists, and gossip about their load."""
    return [*lists(seed), *gossips(seed)]


PARTS: dict[str, Callable[[int], list[Measurement]]] = {"module": module_part, "list": list_part}
