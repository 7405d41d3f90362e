"""Figures of a node's control side: endpoint list, health checks, configuration and gossip."""

from __future__ import annotations

from bench.scale import target
from bench.scale.rates import HEALTH_CHECK_BYTES, S_PER_US, health_checks_per_s, lease_renewals_per_s
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure, in_bytes, share
from gradegap.balancing.health_checks import (
    HEALTH_CHECK_INTERVAL_FULL_S,
    HEALTH_CHECK_INTERVAL_IDLE_S,
    HEALTH_CHECKS_PER_REQUEST,
)


def rows(book: SlopeBook) -> list[Row]:
    """Returns the figures of the control side of a node."""
    return [
        *_subscription(book),
        *_endpoint_list(book),
        *_health_checks(book),
        *_membership(book),
        *_start(book),
        *_bursts(book),
    ]


def _subscription(book: SlopeBook) -> list[Row]:
    """Returns the figures of the lease and of configuration changes in the ordinary hour."""
    rate = lease_renewals_per_s()
    renewal = book.get("renewal_bytes").points[0]
    frame = renewal.median / renewal.size
    spent = book.at("subscriber_renewal", 1)
    delta = book.at("delta_bytes", 1)
    changes = target.CHANGES_PER_DAY / target.DAY_S * (delta.value + frame)
    observer = "observer/subscriber.py"
    return [
        Row(
            "ordinary hour",
            "renewals of the lease",
            f"{figure(rate)}/s, {in_bytes(rate * frame)}/s both ways",
            f"{figure(frame)} bytes with the heartbeat; "
            f"{in_bytes(rate * (frame + 4 * target.TCP_IP_HEADER_BYTES))}/s "
            "with heads of TCP and IP and acknowledgements",
            observer,
        ),
        Row(
            "ordinary hour",
            "processor, renewals",
            f"{share(rate * spent.value * S_PER_US)} of a core",
            f"{spent.derivation}; without the socket",
            observer,
        ),
        Row(
            "ordinary hour",
            "changes of configuration",
            f"{in_bytes(changes)}/s",
            f"1,200 a day × ({figure(delta.value)} + {figure(frame)}) bytes, the acknowledgement with it",
            observer,
        ),
    ]


def _endpoint_list(book: SlopeBook) -> list[Row]:
    """Returns the figures of watch calls in the ordinary hour."""
    fixed = book.at("list_bytes_delta", 0)
    changed = book.at("list_bytes_delta", 1)
    wait = 10.0
    told = target.LIST_CHANGES_PER_DAY / target.DAY_S * changed.value
    told_2 = target.LIST_CHANGES_PER_DAY_2 / target.DAY_S * changed.value
    return [
        Row(
            "ordinary hour",
            "the list, asked",
            f"{in_bytes(fixed.value / wait + told)}/s",
            f"{figure(fixed.value)} bytes a call each {figure(wait)} s, and "
            f"{target.LIST_CHANGES_PER_DAY:,} servers told anew a day, assumed; "
            f"{in_bytes(fixed.value / wait + told_2)}/s at {target.LIST_CHANGES_PER_DAY_2:,}",
            "discovery/http_discovery.py, discovery/watch_schedule.py",
        ),
    ]


def _health_checks(book: SlopeBook) -> list[Row]:
    """Returns the figures of health checks in the ordinary hour."""
    probe = book.at("probe", target.SERVERS)
    probes = health_checks_per_s(target.SERVERS, target.ARRIVALS_PER_NODE, HEALTH_CHECK_INTERVAL_IDLE_S)
    probes_2 = health_checks_per_s(target.SERVERS, target.ARRIVALS_PER_NODE_2, HEALTH_CHECK_INTERVAL_FULL_S)
    return [
        Row(
            "ordinary hour",
            "probes",
            f"{figure(probes)}/s, {in_bytes(probes * HEALTH_CHECK_BYTES)}/s both ways",
            f"{HEALTH_CHECK_BYTES} bytes a probe; each of {target.SERVERS} servers each "
            f"{HEALTH_CHECK_INTERVAL_IDLE_S:g} s, at most "
            f"{HEALTH_CHECKS_PER_REQUEST:g} a request; {figure(probes_2)}/s, "
            f"{in_bytes(probes_2 * HEALTH_CHECK_BYTES)}/s, with a life of ten minutes and full servers",
            "balancing/health_checks.py, upstream/connection.py",
        ),
        Row(
            "ordinary hour",
            "processor, probes",
            f"{share(probes * probe.value * S_PER_US)} of a core",
            f"{probe.derivation}; {share(probes_2 * probe.value * S_PER_US)} with a life of ten minutes "
            f"and full servers",
            "proxy/proxy.py, upstream/connection.py",
        ),
    ]


def _membership(book: SlopeBook) -> list[Row]:
    """Returns the gossip of a node that is a member of the store, and the memory of an idle process."""
    gossip = book.at("gossip_bytes", target.SERVERS)
    return [
        Row(
            "ordinary hour",
            "gossip, where nodes are members of the store",
            f"{in_bytes(gossip.value * (target.NODES - 1))}/s out, as much in",
            f"{gossip.derivation}, to each of {target.NODES - 1:,} siblings each second",
            "store/gossip.py",
        ),
        Row(
            "ordinary hour",
            "memory of a process without connections",
            in_bytes(book.at("connection_memory", 0).value),
            f"{book.at('connection_memory', 0).derivation}; with one server and no subscription, the runs at "
            "full size "
            "have both",
            "node.py",
        ),
    ]


def _start(book: SlopeBook) -> list[Row]:
    """Returns the cost of a node's first endpoint list and snapshot."""
    whole = book.at("list_bytes_full", target.SERVERS)
    whole_2 = book.at("list_bytes_full", target.SERVERS_2)
    snapshot = book.at("snapshot_bytes", target.KEYS)
    snapshot_2 = book.at("snapshot_bytes", target.KEYS_2)
    started = book.at("list_first", target.SERVERS)
    started_2 = book.at("list_first", target.SERVERS_2)
    observer = "observer/subscriber.py"
    return [
        Row(
            "worst: the node starts",
            "processor, the list",
            f"{figure(started.value)} ms",
            f"{started.derivation}; {figure(started_2.value)} ms with {target.SERVERS_2:,} servers",
            "discovery/http_discovery.py, balancing/endpoint_registry.py",
        ),
        Row(
            "worst: the node starts",
            "list and snapshot",
            f"{in_bytes(whole.value + snapshot.value)}",
            f"{whole.derivation}; {snapshot.derivation}; {in_bytes(whole_2.value + snapshot_2.value)} with "
            f"{target.SERVERS_2:,} servers and {target.KEYS_2:,} keys",
            f"discovery/http_discovery.py, {observer}",
        ),
    ]


def _bursts(book: SlopeBook) -> list[Row]:
    """Returns the size of a burst of configuration changes and of the changes of an hour."""
    burst = book.at("delta_bytes", 50)
    observer = "observer/subscriber.py"
    return [
        Row("worst: 50 changes at once", "delta", in_bytes(burst.value), burst.derivation, observer),
        Row(
            "worst: a region cut off for an hour",
            "changes missed",
            f"{figure(target.CHANGES_PER_DAY / 24)}, one delta of {in_bytes(burst.value)}",
            "1,200 a day for an hour, coalesced by key",
            observer,
        ),
    ]
