"""The share of the target size at which each limit is reached, which shows the limit reached first."""

from __future__ import annotations

from dataclasses import dataclass

from bench.scale import target
from bench.scale.rates import HEALTH_CHECK_BYTES, S_PER_US, health_checks_per_s, reconnecting_clients
from bench.scale.slope_book import SlopeBook, figure
from bench.scale.slow_start_bound import FAILING_FACTOR, FAILING_PROCESSES, TEST, slow_start_bound
from gradegap.balancing.health_checks import HEALTH_CHECK_INTERVAL_IDLE_S
from gradegap.node.admin_operations import MAX_DISABLED_ENDPOINTS
from gradegap.observer.limits import Limits
from gradegap.store.leases import MAX_LEASE_HOLDERS
from gradegap.store.links import MAX_ACCEPTED_LINKS
from gradegap.store.machine import MAX_KEYS
from gradegap.store.watches import MAX_WATCHES

DESCRIPTORS = 20_000  # hard limit per process on the machine of the runs


@dataclass(frozen=True)
class ReachedLimit:
    """A limit, and the size at which it is reached."""

    target_share: float  # share of the target at which the limit is reached; above 1: not reached
    what: str
    reached_at: str
    derivation: str
    module: str


def reached_limits(book: SlopeBook) -> list[ReachedLimit]:
    """Returns all limits in ascending order of `target_share`."""
    return sorted(
        [*_member_limits(book), *_configuration_limits(), *_node_limits(book)],
        key=lambda limit: limit.target_share,
    )


def _member_limits(book: SlopeBook) -> list[ReachedLimit]:
    """Returns the limits that apply to nodes that are members of the store."""
    gossip = book.at("gossip_bytes", target.SERVERS)
    siblings = target.CONTROL_BYTES_PER_S / gossip.value
    return [
        ReachedLimit(
            siblings / (target.NODES - 1),
            "gossip of members within 3 KB/s",
            f"{figure(siblings)} siblings",
            f"{gossip.derivation}; one word a second to each",
            "store/gossip.py",
        ),
        ReachedLimit(
            MAX_LEASE_HOLDERS / target.NODES,
            "leases for nodes that are members",
            f"{MAX_LEASE_HOLDERS} nodes",
            "a fixed bound",
            "store/leases.py",
        ),
        ReachedLimit(
            MAX_WATCHES / target.NODES,
            "watches",
            f"{MAX_WATCHES:,} nodes",
            "a fixed bound",
            "store/watches.py",
        ),
        ReachedLimit(
            MAX_ACCEPTED_LINKS / target.NODES,
            "links",
            f"{MAX_ACCEPTED_LINKS:,} nodes",
            "a fixed bound",
            "store/links.py",
        ),
    ]


def _configuration_limits() -> list[ReachedLimit]:
    """Returns the limits of stored keys, subscriptions and endpoints disabled by operators."""
    subscribers = Limits().max_subscribers
    return [
        ReachedLimit(
            MAX_DISABLED_ENDPOINTS / (target.SERVERS / target.REGIONS),
            "servers of a region taken out by hand at once",
            f"{MAX_DISABLED_ENDPOINTS} of {figure(target.SERVERS / target.REGIONS)}",
            f"a fixed bound; {target.SERVERS} servers assumed",
            "node.py",
        ),
        ReachedLimit(
            subscribers * target.CONTROL_MACHINES / target.NODES,
            "subscriptions",
            f"{subscribers:,} at each control machine",
            "a fixed bound; one machine alone takes all nodes",
            "observer/limits.py",
        ),
        ReachedLimit(
            MAX_KEYS / target.KEYS,
            "keys of the store",
            f"{MAX_KEYS:,}",
            f"a fixed bound; {target.KEYS:,} assumed",
            "store/machine.py",
        ),
    ]


def _cold_servers() -> ReachedLimit:
    bound = slow_start_bound()
    what, module = "cold servers kept from being pushed over", "balancing/slow_start.py"
    if bound.is_known_to_fail:
        failed = f"{TEST} fails at {FAILING_PROCESSES} processes, by {FAILING_FACTOR} times"
        return ReachedLimit(
            FAILING_PROCESSES / target.NODES, what, f"up to {FAILING_PROCESSES} processes", failed, module
        )
    held = f"{TEST} holds at {bound.process_count:,} processes"
    return ReachedLimit(bound.process_count / target.NODES, what, "not met where it was played", held, module)


def _node_limits(book: SlopeBook) -> list[ReachedLimit]:
    """Returns the limits that apply to a single node."""
    return [_cold_servers(), *_connection_limits(book), *_loop_limits(book)]


def _connection_limits(book: SlopeBook) -> list[ReachedLimit]:
    """Returns the limits of descriptors, of clients that reconnect, and of health checks."""
    opened = book.at("open_by_connections", target.CONNECTIONS_PER_NODE)
    zone = target.RECONNECT_S / (reconnecting_clients(target.NODES_PER_ZONE) * opened.value * S_PER_US)
    region = target.RECONNECT_S / (reconnecting_clients(target.NODES_PER_REGION) * opened.value * S_PER_US)
    probes = (
        health_checks_per_s(target.SERVERS, target.ARRIVALS_PER_NODE, HEALTH_CHECK_INTERVAL_IDLE_S)
        * HEALTH_CHECK_BYTES
    )
    health_checks = "balancing/health_checks.py"
    proxy = "proxy/proxy.py, balancing/selection.py"
    return [
        ReachedLimit(
            DESCRIPTORS / (2 * target.CONNECTIONS_PER_NODE),
            "descriptors of one process",
            f"{figure(DESCRIPTORS / 2)} connections",
            f"two a connection; the hard limit here is {DESCRIPTORS:,}, a setting of the machine",
            "transport/descriptors.py",
        ),
        ReachedLimit(
            region,
            "a region's clients placed within a second",
            f"{figure(region * target.CONNECTIONS_PER_NODE)} connections a node",
            f"{figure(reconnecting_clients(target.NODES_PER_REGION))} at each node; {opened.derivation}; "
            f"one core",
            proxy,
        ),
        ReachedLimit(
            zone,
            "a zone's clients placed within a second",
            f"{figure(zone * target.CONNECTIONS_PER_NODE)} connections a node",
            f"{figure(reconnecting_clients(target.NODES_PER_ZONE))} at each node; {opened.derivation}; "
            f"one core",
            proxy,
        ),
        ReachedLimit(
            target.CONTROL_BYTES_PER_S / probes,
            "probes within 3 KB/s",
            f"{figure(target.CONTROL_BYTES_PER_S / HEALTH_CHECK_BYTES)} probes/s",
            f"{HEALTH_CHECK_BYTES} bytes a probe, {figure(probes / HEALTH_CHECK_BYTES)}/s at the target; "
            f"nothing "
            "else counted",
            health_checks,
        ),
    ]


def _loop_limits(book: SlopeBook) -> list[ReachedLimit]:
    """Returns the limits of operations that delay the event loop or saturate its core."""
    listed = book.size_at("stop_list", target.LINE_LATENCY_LIMIT_MS)
    collected = book.size_at("node_collection", target.LINE_LATENCY_LIMIT_MS)
    lines = book.size_at("share_by_lines", 100.0)
    return [
        ReachedLimit(
            collected / target.CONNECTIONS_PER_NODE,
            "a full collection of garbage within 220 ms",
            f"{figure(collected)} connections",
            f"{book.at('node_collection', target.CONNECTIONS_PER_NODE).derivation} at the target",
            "the interpreter",
        ),
        ReachedLimit(
            listed / target.SERVERS,
            "a list in which all are new within 220 ms",
            f"{figure(listed)} servers",
            f"{book.at('stop_list', target.SERVERS).derivation}; {target.SERVERS} servers assumed",
            "discovery/http_discovery.py, balancing/endpoint_registry.py",
        ),
        ReachedLimit(
            lines / target.LINES_PER_NODE,
            "lines that one core passes",
            f"{figure(lines)} lines/s a node",
            book.at("share_by_lines", target.LINES_PER_NODE).derivation,
            "upstream/connection.py",
        ),
    ]
