"""At which part of the target each limit is met: what breaks first."""

from __future__ import annotations

from dataclasses import dataclass

from bench.scale import target as t
from bench.scale.cold_bound import RED_AT, RED_FACTOR, TEST, cold_bound
from bench.scale.rates import PROBE_BYTES, US, probes_per_s, returning
from bench.scale.slope_book import SlopeBook, figure
from gradegap.balancing.health_checks import HEALTH_CHECK_INTERVAL_IDLE_S
from gradegap.node.admin_operations import MAX_DISABLED_ENDPOINTS
from gradegap.observer.limits import Limits
from gradegap.store.leases import MAX_LEASE_HOLDERS
from gradegap.store.links import MAX_ACCEPTED_LINKS
from gradegap.store.machine import MAX_KEYS
from gradegap.store.watches import MAX_WATCHES

DESCRIPTORS = 20_000  # hard limit of a process where the runs were made


@dataclass(frozen=True)
class Met:
    """A limit, and where it is met."""

    part: float  # of the target; over 1: beyond it
    what: str
    met_at: str
    worked_out: str
    mechanism: str


def limits_met(book: SlopeBook) -> list[Met]:
    """Smallest first."""
    return sorted([*_store_limits(book), *_node_limits(book)], key=lambda each: each.part)


def _store_limits(book: SlopeBook) -> list[Met]:
    gossip = book.at("gossip_bytes", t.SERVERS)
    siblings = t.CONTROL_BYTES_PER_S / gossip.value
    subscribers = Limits().max_subscribers
    return [
        Met(
            siblings / (t.NODES - 1),
            "gossip of members within 3 KB/s",
            f"{figure(siblings)} siblings",
            f"{gossip.how}; one word a second to each",
            "store/gossip.py",
        ),
        Met(
            MAX_LEASE_HOLDERS / t.NODES,
            "leases for nodes that are members",
            f"{MAX_LEASE_HOLDERS} nodes",
            "a fixed bound",
            "store/leases.py",
        ),
        Met(MAX_WATCHES / t.NODES, "watches", f"{MAX_WATCHES:,} nodes", "a fixed bound", "store/watches.py"),
        Met(
            MAX_ACCEPTED_LINKS / t.NODES,
            "links",
            f"{MAX_ACCEPTED_LINKS:,} nodes",
            "a fixed bound",
            "store/links.py",
        ),
        Met(
            MAX_DISABLED_ENDPOINTS / (t.SERVERS / t.REGIONS),
            "servers of a region taken out by hand at once",
            f"{MAX_DISABLED_ENDPOINTS} of {figure(t.SERVERS / t.REGIONS)}",
            f"a fixed bound; {t.SERVERS} servers assumed",
            "node.py",
        ),
        Met(
            subscribers * t.CONTROL_MACHINES / t.NODES,
            "subscriptions",
            f"{subscribers:,} at each control machine",
            "a fixed bound; one machine alone takes all nodes",
            "observer/limits.py",
        ),
        Met(
            MAX_KEYS / t.KEYS,
            "keys of the store",
            f"{MAX_KEYS:,}",
            f"a fixed bound; {t.KEYS:,} assumed",
            "store/machine.py",
        ),
    ]


def _cold_servers() -> Met:
    bound = cold_bound()
    what, module = "cold servers kept from being pushed over", "balancing/slow_start.py"
    if bound.red:
        failed = f"{TEST} fails at {RED_AT} processes, by {RED_FACTOR} times"
        return Met(RED_AT / t.NODES, what, f"up to {RED_AT} processes", failed, module)
    held = f"{TEST} holds at {bound.played:,} processes"
    return Met(bound.played / t.NODES, what, "not met where it was played", held, module)


def _node_limits(book: SlopeBook) -> list[Met]:
    listed = book.size_at("stop_list", t.LATE_MS)
    collected = book.size_at("node_collection", t.LATE_MS)
    lines = book.size_at("share_by_lines", 100.0)
    opened = book.at("open_by_connections", t.CONNECTIONS_PER_NODE)
    zone = t.RETURN_S / (returning(t.NODES_PER_ZONE) * opened.value * US)
    region = t.RETURN_S / (returning(t.NODES_PER_REGION) * opened.value * US)
    probes = probes_per_s(t.SERVERS, t.ARRIVALS_PER_NODE, HEALTH_CHECK_INTERVAL_IDLE_S) * PROBE_BYTES
    health_checks, proxy = "balancing/health_checks.py", "proxy/proxy.py, balancing/selection.py"
    return [
        _cold_servers(),
        Met(
            DESCRIPTORS / (2 * t.CONNECTIONS_PER_NODE),
            "descriptors of one process",
            f"{figure(DESCRIPTORS / 2)} connections",
            f"two a connection; the hard limit here is {DESCRIPTORS:,}, a setting of the machine",
            "transport/descriptors.py",
        ),
        Met(
            region,
            "a region's clients placed within a second",
            f"{figure(region * t.CONNECTIONS_PER_NODE)} connections a node",
            f"{figure(returning(t.NODES_PER_REGION))} at each node; {opened.how}; one core",
            proxy,
        ),
        Met(
            zone,
            "a zone's clients placed within a second",
            f"{figure(zone * t.CONNECTIONS_PER_NODE)} connections a node",
            f"{figure(returning(t.NODES_PER_ZONE))} at each node; {opened.how}; one core",
            proxy,
        ),
        Met(
            t.CONTROL_BYTES_PER_S / probes,
            "probes within 3 KB/s",
            f"{figure(t.CONTROL_BYTES_PER_S / PROBE_BYTES)} probes/s",
            f"{PROBE_BYTES} bytes a probe, {figure(probes / PROBE_BYTES)}/s at the target; nothing "
            "else counted",
            health_checks,
        ),
        Met(
            collected / t.CONNECTIONS_PER_NODE,
            "a full collection of garbage within 220 ms",
            f"{figure(collected)} connections",
            f"{book.at('node_collection', t.CONNECTIONS_PER_NODE).how} at the target",
            "the interpreter",
        ),
        Met(
            listed / t.SERVERS,
            "a list in which all are new within 220 ms",
            f"{figure(listed)} servers",
            f"{book.at('stop_list', t.SERVERS).how}; {t.SERVERS} servers assumed",
            "discovery/http_discovery.py, balancing/endpoint_registry.py",
        ),
        Met(
            lines / t.LINES_PER_NODE,
            "lines that one core passes",
            f"{figure(lines)} lines/s a node",
            book.at("share_by_lines", t.LINES_PER_NODE).how,
            "upstream/connection.py",
        ),
    ]
