"""Slopes of the decision module and of the list of servers, over servers and over sessions."""

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
MANY_HELD, FEW_HELD = (10.0, 60.0), (0.0, 2.0)
REQUESTS = 400  # timed in one repeat
REPEATS = 5
STANDING = 1_000  # sessions beside which requests are timed over servers
MICROSECONDS = 1e6


def server_name(number: int) -> str:
    """A server's name as long as those of our sites."""
    return f"save-{number:05d}"


def entries(count: int) -> tuple[EndpointEntry, ...]:
    """Ready servers of 16 zones."""
    return tuple(EndpointEntry(server_name(k), f"zone-{k % 16:02d}", weight=1.0) for k in range(count))


class Standing:
    """One module whose probes are answered at once and whose requests stand."""

    def __init__(
        self, servers: int, seed: int, groups: int = 0, held: tuple[float, float] = MANY_HELD
    ) -> None:
        """`held`: between what bounds servers report the connections that they hold."""
        self.rng = Random(seed)
        self.groups, self.held = groups, held
        self.balancer = Balancer(settings(proxy_count=1, connection_groups=groups > 0), seed)
        self.now = 100.0
        self.next_id = 0
        self.ids: list[tuple[int, str]] = []
        self.handle(EndpointList(EndpointListKind.CACHED, entries(servers)))
        for entry in entries(servers):
            self.handle(self.report(entry.name))

    def handle(self, event: Event) -> list[Action]:
        """One event to the module."""
        return self.balancer.handle(self.now, event)

    def report(self, server: str) -> HealthCheckEnded:
        """A probe's answer from a server with room."""
        report = {"x0": self.rng.uniform(0.05, 0.1), "inflight": self.rng.uniform(*self.held)}
        return HealthCheckEnded(server, AttemptResult.OK, 0.001, report)

    def request(self) -> None:
        """One request from its arrival to its connection's standing, probes included."""
        self.next_id += 1
        team = f"group-{self.rng.randrange(self.groups)}" if self.groups else ""
        todo = self.handle(RequestArrived(self.next_id, "live", self.now + 2.0, group=team))
        while todo:
            action = todo.pop(0)
            if isinstance(action, CheckHealth):
                todo += self.handle(self.report(action.endpoint))
            elif isinstance(action, Forward):
                self.handle(ConnectionEstablished(action.request_id, 0, action.endpoint, 0.01))
                self.ids.append((action.request_id, action.endpoint))

    def end(self) -> None:
        """The oldest session ends."""
        ident, server = self.ids.pop(0)
        self.handle(AttemptEnded(ident, 0, server, AttemptResult.OK, 1.0, True))

    def hold(self, count: int) -> None:
        """So many sessions stand."""
        while len(self.ids) < count:
            self.now += 0.01
            self.request()

    def timed(self) -> float:
        """µs of processor time a request that stands, with the end of another."""
        standing = len(self.ids)
        began = time.process_time()
        for _ in range(REQUESTS):
            self.now += 0.01
            self.request()
            self.end()
        spent = time.process_time() - began
        if len(self.ids) != standing:
            raise RuntimeError(f"{standing - len(self.ids)} of {REQUESTS} requests were refused")
        return spent / REQUESTS * MICROSECONDS


def requests_over_servers(seed: int) -> list[Measurement]:
    """A request beside a fixed number of sessions: plain, of groups, and to servers that hold hardly any."""
    how = f"module alone: request, its probes, established, and another's end; {STANDING} sessions"
    kinds: list[tuple[str, str, int, tuple[float, float]]] = [
        ("module_request_by_servers", how, 0, MANY_HELD),
        ("module_grouped_request_by_servers", f"{how} in {STANDING // 10} groups", STANDING // 10, MANY_HELD),
        ("module_request_by_empty_servers", f"{how}, servers report 2 connections at most", 0, FEW_HELD),
    ]
    made = []
    for name, text, groups, held in kinds:
        points = []
        for servers in SERVERS:
            module = Standing(servers, seed, groups, held)
            module.hold(STANDING)
            points.append(point(servers, [module.timed() for _ in range(REPEATS)]))
        made.append(measured(name, "µs", "servers", text, points))
    return made


def requests_over_sessions(seed: int) -> list[Measurement]:
    """A request, and a collection of garbage, beside ever more sessions."""
    times, collections = [], []
    for sessions in SESSIONS:
        module = Standing(600, seed)
        module.hold(sessions)
        times.append(point(sessions, [module.timed() for _ in range(REPEATS)]))
    for sessions in COLLECTED:
        module = Standing(60, seed)
        module.hold(sessions)
        collections.append(point(sessions, [collection() for _ in range(REPEATS)]))
    how = "module alone with 600 servers: request, its probes, established, and another's end"
    collected = "gc.collect of all generations, module alone with 60 servers and so many sessions"
    return [
        measured("module_request_by_sessions", "µs", "sessions", how, times),
        measured("module_collection_by_sessions", "ms", "sessions", collected, collections),
    ]


def requests_over_groups(seed: int) -> Measurement:
    """A request of a group, by how many groups there are."""
    points = []
    for groups in GROUPS:
        module = Standing(600, seed, groups)
        module.hold(GROUPED_SESSIONS)
        points.append(point(groups, [module.timed() for _ in range(REPEATS)]))
    how = f"module alone with 600 servers and {GROUPED_SESSIONS} sessions in so many groups: as above"
    return measured("module_request_by_groups", "µs", "groups", how, points)


def collection() -> float:
    """Milliseconds of one full collection."""
    began = time.process_time()
    gc.collect()
    return (time.process_time() - began) * 1e3


class NoBackends:
    """A backend port that reaches nobody."""

    def connect(self, session: Any, backend: Endpoint, wait: float, attempt: Attempt) -> ConnectPort:
        """Nothing is fetched without requests."""
        raise AssertionError("nothing is fetched here")

    def check_health(self, backend: Endpoint, wait: float, done: HealthCheckDone) -> None:
        """Left unanswered."""

    def close_health_check(self, backend: Endpoint) -> None:
        """There is nothing to forget."""


def listed(number: int, life: int = 0) -> dict[str, object]:
    """A server as discovery lists it."""
    name = f"{server_name(number)}-{life}" if life else server_name(number)
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7443"
    zone = f"zone-{number % 16:02d}"
    return {"id": name, "addr": address, "zone": zone, "kind": "save", "cell": 0, "state": "Ready"} | {
        "weight": 1.0,
        "started_ms": 1764633600000.0,
    }


def answer(numbers: range, version: int, full: bool, life: int = 0) -> bytes:
    """The body of discovery's answer."""
    servers = [listed(k, life) for k in numbers]
    return json.dumps({"version": version, "full": full, "servers": servers}).encode()


class ListReader:
    """A real core with a real reader of lists, and no sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop, seed: int) -> None:
        metrics = Metrics()
        self.proxy = Proxy(settings(proxy_count=1600), seed, NoBackends(), metrics, loop)
        self.discovery = HttpDiscovery(self.proxy, cast(Dialer, None), "127.0.0.1:1", metrics)

    def take(self, body: bytes, whole: bool) -> float:
        """Milliseconds of processor time from an answer's bytes to the module's knowing it."""
        schedule = self.discovery.schedule
        if whole:
            schedule.version = None
        poll = schedule.next_poll(self.proxy.loop.time() - schedule.wait_s)
        connection = PollConnection(self.discovery)
        began = time.process_time()
        reason = self.discovery.accept(connection, poll, body)
        spent = (time.process_time() - began) * 1e3
        if reason:
            raise ValueError(f"the list was rejected: {reason}")
        return spent


def lists(seed: int) -> list[Measurement]:
    """Discovery's answers read and taken, whole and in part."""
    loop = asyncio.new_event_loop()
    taken: dict[str, list[Point]] = {"first": [], "again": [], "replaced": [], "delta": []}
    for servers in SERVERS:
        every = range(servers)
        times: dict[str, list[float]] = {name: [] for name in taken}
        for k in range(REPEATS):
            reader = ListReader(loop, seed + k)
            times["first"].append(reader.take(answer(every, 1, True), True))
            times["again"].append(reader.take(answer(every, 2, True), True))
            times["delta"].append(reader.take(answer(range(1), 3, False), False))
            times["replaced"].append(reader.take(answer(every, 4, True, life=1), True))
        for name, values in times.items():
            taken[name].append(point(servers, values))
    loop.close()
    texts: Mapping[str, str] = {
        "first": "a full list to a node that knew none, from its bytes to the module's knowing it",
        "again": "the same full list once more",
        "replaced": "a full list in which each server is another",
        "delta": "a delta of one server, where so many are known",
    }
    made = [
        measured(f"list_{n}", "ms", "servers", texts[n], p, "linear" if n == "delta" else "power")
        for n, p in taken.items()
    ]
    return [*made, *list_bytes()]


def list_bytes() -> list[Measurement]:
    """Of discovery's answers over HTTP, heads of both sides included."""
    request = b"GET /registry/instances?index=1&wait=5000 HTTP/1.1\r\nHost: 127.0.0.1:8500\r\n\r\n"
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1234567\r\n\r\n"
    fixed = len(request) + len(head)
    whole = [point(n, [fixed + len(answer(range(n), 1, True))]) for n in SERVERS]
    changed = [point(n, [fixed + len(answer(range(n), 1, False))]) for n in (1, 10, 100)]
    return [
        measured("list_bytes_full", "bytes", "servers", "a full list over HTTP, with both heads", whole),
        measured(
            "list_bytes_delta", "bytes", "servers", "a delta of so many servers, with both heads", changed
        ),
    ]


def proven_pair() -> tuple[LinkChannel, LinkChannel]:
    """Two ends of a link of the store, proven."""
    dialer = LinkChannel.open(b"secret", "member", True)
    acceptor = LinkChannel.open(b"secret", "member", False)
    to_acceptor, to_dialer = dialer.begin(), b""
    while not (dialer.authenticated and acceptor.authenticated):
        _, to_dialer = acceptor.receive(to_acceptor)
        _, to_acceptor = dialer.receive(to_dialer)
    return dialer, acceptor


def gossips(seed: int) -> list[Measurement]:
    """What one node tells one sibling each second, in bytes and in processor time of both."""
    loop = asyncio.new_event_loop()
    sizes, telling, hearing = [], [], []
    for servers in GOSSIP_SERVERS:
        reader, other = ListReader(loop, seed), ListReader(loop, seed + 1)
        rng = Random(seed)
        for each in (reader, other):
            each.take(answer(range(servers), 1, True), True)
        for backend in reader.proxy.endpoints.values():
            backend.report = {"x0": rng.uniform(0.05, 0.9), "inflight": float(rng.randrange(60))}
            backend.report_at = reader.proxy.now()
        tells = GossipExchange("node-0001", reader.proxy, Metrics(), lambda: True)
        receiver = GossipExchange("node-0002", other.proxy, Metrics(), lambda: True)
        dialer, acceptor = proven_pair()
        out, taken, frames = [], [], []
        for _ in range(REPEATS):
            began = time.process_time()
            frame = dialer.send(tells.message({"ready": True, "sessions": 62_500}))
            out.append((time.process_time() - began) * 1e3)
            frames.append(float(len(frame)))
            began = time.process_time()
            messages, _ = acceptor.receive(frame)
            for message in messages:
                receiver.receive(cast(Gossip, message))
            taken.append((time.process_time() - began) * 1e3)
        sizes.append(point(servers, frames))
        telling.append(point(servers, out))
        hearing.append(point(servers, taken))
    loop.close()
    how = "store/gossip.py: what one node tells one sibling each second"
    return [
        measured("gossip_bytes", "bytes", "servers", how, sizes),
        measured("gossip_tell", "ms", "servers", f"{how}; processor time to make it", telling),
        measured("gossip_hear", "ms", "servers", f"{how}; processor time to take it", hearing),
    ]


def module_part(seed: int) -> list[Measurement]:
    """The module alone."""
    return [*requests_over_servers(seed), *requests_over_sessions(seed), requests_over_groups(seed)]


def list_part(seed: int) -> list[Measurement]:
    """The list of servers, and gossip about them."""
    return [*lists(seed), *gossips(seed)]


PARTS: dict[str, Callable[[int], list[Measurement]]] = {"module": module_part, "list": list_part}
