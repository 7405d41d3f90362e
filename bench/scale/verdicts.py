"""Verdicts on all requirements of operations, from slopes and from runs at full size."""

from __future__ import annotations

from bench.scale import target
from bench.scale.control_verdicts import control_verdicts
from bench.scale.full_size import ControlResult, ordinary_day
from bench.scale.rates import (
    S_PER_US,
    reconnecting_clients,
)
from bench.scale.slope_book import SlopeBook, figure, in_bytes, share
from bench.scale.slow_start_bound import FAILING_FACTOR, FAILING_PROCESSES, TEST, slow_start_bound
from bench.scale.verdict import BY_SLOPE, FULL_SIZE, NOT_HELD, NOT_OURS, NOT_RUN, Verdict, held
from gradegap.balancing.grouping import RING_CANDIDATE_COUNT
from gradegap.observer.limits import Limits
from gradegap.store.leases import MAX_LEASE_HOLDERS

LATE_LINE_SHARE = 0.01  # share of lines that may exceed the latency limit
# CPython starts a full collection when the objects promoted to the oldest generation since the last
# full collection exceed this ratio of all objects in that generation.
FULL_COLLECTION_GROWTH = 0.25


def delayed_line_share(collection_ms: float, arrivals: float) -> float:
    """Returns the share of lines that a full collection delays beyond the latency limit.

    `collection_ms` is the length of a full collection, `arrivals` the new connections per second.
    """
    period_s = FULL_COLLECTION_GROWTH * target.CONNECTIONS_PER_NODE / arrivals
    return max(0.0, collection_ms - target.LINE_LATENCY_LIMIT_MS) / 1e3 / period_s


def verdicts(book: SlopeBook, runs: dict[str, ControlResult]) -> list[Verdict]:
    """Returns all verdicts in the order in which operations listed the requirements."""
    return [*_size(book, runs), *control_verdicts(book, runs), *_faults(book, runs), *_rest()]


def _size(book: SlopeBook, runs: dict[str, ControlResult]) -> list[Verdict]:
    """Verdicts on the size of the deployment: counts, lines and zones."""
    return [*_counts(book, runs), *_lines(book), *_zones()]


def _counts(book: SlopeBook, runs: dict[str, ControlResult]) -> list[Verdict]:
    """Verdicts on the number of nodes, connections and groups."""
    memory = book.at("connection_memory", target.CONNECTIONS_PER_NODE)
    members = target.LARGEST_GROUP / target.NODES
    servers = target.LARGEST_GROUP / target.CONNECTIONS_PER_SERVER
    servers_2 = target.LARGEST_GROUP / (target.CONNECTIONS / target.SERVERS_2)
    return [
        Verdict(
            "1,600 nodes",
            FULL_SIZE if ordinary_day(runs) else BY_SLOPE,
            f"over subscriptions, {Limits().max_subscribers:,} of which a control machine takes; as "
            "members of the "
            f"store {MAX_LEASE_HOLDERS} hold a lease at most: "
            f"short by {figure(target.NODES / MAX_LEASE_HOLDERS)} times",
        ),
        Verdict(
            "100 million connections",
            BY_SLOPE,
            f"{figure(target.CONNECTIONS_PER_NODE)} a node take {in_bytes(memory.value)} and "
            f"{figure(2 * target.CONNECTIONS_PER_NODE)} descriptors, which the machine has to allow; "
            f"{memory.derivation}. "
            "At full size not run: one machine has no room for a node's connections and their other ends",
        ),
        Verdict(
            "800,000 groups",
            BY_SLOPE,
            f"{book.at('module_request_by_groups', target.CONNECTIONS_PER_NODE).derivation}; no other "
            f"state of a node "
            "grows with groups than the names of those it holds",
        ),
        Verdict(
            "the largest group, 850,000",
            "holds by slope at a node; does not hold at servers where they are many",
            f"{figure(members)} members a node; {figure(servers)} servers full of it with {target.SERVERS}, "
            f"{figure(servers_2)} with {target.SERVERS_2:,}, where the walk names {RING_CANDIDATE_COUNT}: "
            f"short by {figure(servers_2 / RING_CANDIDATE_COUNT)} times, and the rest is drawn from the "
            "whole list. "
            "Its coming back at once was not run",
        ),
    ]


def _lines(book: SlopeBook) -> list[Verdict]:
    """Verdicts on the rate of lines and on their latency."""
    collect = book.at("node_collection", target.CONNECTIONS_PER_NODE)
    lines = book.at("share_by_lines", target.LINES_PER_NODE).value / 100
    late = book.at("line_late_by_lines", target.LINES_PER_NODE)
    listed = book.at("stop_list", target.SERVERS)
    listed_2 = book.at("list_replaced", target.SERVERS_2)
    stop = max(collect.value, listed.value)
    late_share = delayed_line_share(collect.value, target.ARRIVALS_PER_NODE)
    late_share_2 = delayed_line_share(collect.value, target.ARRIVALS_PER_NODE_2)
    return [
        Verdict(
            "12 million lines a second",
            BY_SLOPE if lines <= 1.0 else f"{NOT_HELD}, by {figure(lines)} times, with one process a node",
            f"{figure(target.LINES_PER_NODE)} a node: {share(lines)} of a core; a machine of 8 cores carries "
            f"{figure(8 * 0.6 / lines)} such nodes with its cores at 60%",
        ),
        Verdict(
            "within 220 ms for 99 in 100",
            f"{held(late_share, LATE_LINE_SHARE, BY_SLOPE)}; with connections of ten minutes: "
            f"{held(late_share_2, LATE_LINE_SHARE, BY_SLOPE)}",
            f"{figure(late.value)} ms on loopback without collections: {late.derivation}. Full collections "
            "hold back "
            f"{share(late_share)} of lines, {share(late_share_2)} with connections of ten minutes; "
            "between regions a round trip of "
            f"{target.REGION_RTT_MS_2:g} ms alone would break it, and is not a node's matter",
        ),
        Verdict(
            "the loop's longest stop against 220 ms",
            held(stop, target.LINE_LATENCY_LIMIT_MS, BY_SLOPE),
            f"a full collection {figure(collect.value)} ms ({collect.derivation}); a list in which all "
            f"{target.SERVERS} "
            f"are new {figure(listed.value)} ms, {figure(listed_2.value)} ms with "
            f"{target.SERVERS_2:,} servers",
        ),
    ]


def _zones() -> list[Verdict]:
    """Verdicts on regions and zones."""
    return [
        Verdict(
            "7 regions with 16 zones",
            BY_SLOPE,
            "a node knows its region (observer/selection.py) and its zone (balancing/selection.py); no cost "
            "grows with their number. Zones as discovery names them are not held against machines",
        ),
    ]


def _fault_run(runs: dict[str, ControlResult], fault: str) -> str:
    """Describes the result of the largest committed run with the given fault."""
    found = [(name, run) for name, run in runs.items() if run.fault == fault and run.mechanism == "observer"]
    if not found:
        return f"no run with the fault {fault!r} is committed"
    name, run = found[-1]
    level = run.level_again_s or {}
    again = f"level again within {figure(float(level['max']))} s, " if "max" in level else ""
    return f"`{name}`, {run.nodes:,} nodes: {again}{run.missing} changes missing"


def _fault_verdict(runs: dict[str, ControlResult], fault: str) -> str:
    found = [run for run in runs.values() if run.fault == fault and run.mechanism == "observer"]
    if not found:
        return NOT_RUN
    run = found[-1]
    if run.missing:
        return f"{NOT_HELD}: {run.missing} missing"
    level = float((run.level_again_s or {}).get("max", 0.0))
    return held(
        level, target.IN_FORCE_S, FULL_SIZE if run.nodes >= target.NODES else f"run with {run.nodes:,} nodes"
    )


def _returns(book: SlopeBook, nodes: float) -> str:
    opened = book.at("open_by_connections", target.CONNECTIONS_PER_NODE).value * S_PER_US
    come = reconnecting_clients(nodes)
    return f"clients: {figure(come)} come to each other node, {figure(come * opened)} s of a core"


def _faults(book: SlopeBook, runs: dict[str, ControlResult]) -> list[Verdict]:
    opened = book.at("open_by_connections", target.CONNECTIONS_PER_NODE).value * S_PER_US
    zone = reconnecting_clients(target.NODES_PER_ZONE) * opened / target.RECONNECT_S
    region = reconnecting_clients(target.NODES_PER_REGION) * opened / target.RECONNECT_S
    admitted = (target.NODES_PER_REGION - Limits().subscribe_burst) / Limits().subscribe_rate
    return [
        Verdict(
            "2 machines fail a day",
            f"nodes: {BY_SLOPE}; a control machine: {_fault_verdict(runs, 'machine-killed')}",
            f"{_returns(book, 1)}; control: {_fault_run(runs, 'machine-killed')}; two: "
            f"{_fault_run(runs, 'two-killed')}",
        ),
        Verdict(
            "220 restarted or replaced a day",
            f"clients: {BY_SLOPE}; control, a tenth at once: {_fault_verdict(runs, 'restart-tenth')}",
            f"{_returns(book, 1)} each time; {_fault_run(runs, 'restart-tenth')}",
        ),
        Verdict(
            "a rack or switch every month or two",
            f"clients: {BY_SLOPE}; control: {_fault_verdict(runs, 'rack')}",
            f"{target.RACK_NODES} nodes assumed; {_returns(book, target.RACK_NODES)}; "
            f"{_fault_run(runs, 'rack')}",
        ),
        Verdict(
            "a zone a few times a year",
            f"clients within a second: {held(zone, 1.0, BY_SLOPE)}; control: {BY_SLOPE}",
            f"{_returns(book, target.NODES_PER_ZONE)}; the largest zone, twice the mean: "
            f"{_returns(book, target.SKEW * target.NODES_PER_ZONE)}. Where they come over more than a "
            f"second, it holds",
        ),
        Verdict(
            "regions lose each other for an hour",
            f"control: {_fault_verdict(runs, 'region')}; its clients elsewhere within a second: "
            f"{held(region, 1.0, BY_SLOPE)}",
            f"{_fault_run(runs, 'region')}; at healing {figure(target.CHANGES_PER_DAY / 24)} changes in "
            "one delta, "
            f"admitted within {figure(max(0.0, admitted))} s were all at one machine; "
            f"{_returns(book, target.NODES_PER_REGION)}",
        ),
    ]


def _cold_servers() -> Verdict:
    bound = slow_start_bound()
    line = "a cold server is not pushed over, at 1,600 processes"
    if bound.is_known_to_fail:
        failed = f"{NOT_HELD}, by {FAILING_FACTOR} times at {FAILING_PROCESSES} processes"
        return Verdict(line, failed, f"`{TEST}` is in `KNOWN-RED.txt`; modules alone, with told time")
    size = FULL_SIZE if bound.process_count >= target.NODES else f"run with {bound.process_count:,} processes"
    return Verdict(line, size, f"`{TEST}`: modules alone, with told time and without sockets")


def _rest() -> list[Verdict]:
    return [
        _cold_servers(),
        Verdict(
            "half of the memory, a few hundred processes",
            "kept by the runs",
            "hollow nodes share 40 processes at most; `bench/scale/settings.py` bounds it",
        ),
        Verdict("what runs today comes first", "see the journal and README", "gates of the standing runs"),
        Verdict(
            "how many clients come, from where, to which node",
            NOT_OURS,
            "names and addresses that clients use are given out by others; a node can only refuse or move",
        ),
    ]
