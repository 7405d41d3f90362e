"""Each role's figures at the target, worked out of slopes: in the ordinary hour and at the worst moments."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bench.scale import target as t
from bench.scale.slope_book import SlopeBook, figure, in_bytes, share
from gradegap.balancing.grouping import RING_CANDIDATES
from gradegap.balancing.health_checks import (
    HEALTH_CHECK_INTERVAL_FULL_S,
    HEALTH_CHECK_INTERVAL_IDLE_S,
    HEALTH_CHECKS_PER_REQUEST,
)
from gradegap.discovery.watch_schedule import POLLED_WAIT_BOUNDS_S
from gradegap.observer.limits import Limits
from gradegap.store.machine import MAX_KEYS

PROBE_BYTES = len(b"STATS\r\n") + len(b"PONG x0=0.123456,inflight=12345\r\n")
RETURN_BYTES = (
    len(b"MOVE\r\n") + len(b"OPEN 0123456789abcdef key c=live,d=1500,again=1\r\n") + len(b"UP save-00000\r\n")
)
US = 1e-6


GONE = (  # what may go, or come back, at once, and how many nodes it has
    ("one of the 220 that are restarted", 1.0),
    (f"a rack of {t.RACK_NODES}", float(t.RACK_NODES)),
    ("a zone", t.NODES_PER_ZONE),
    ("the largest zone (twice the mean, assumed)", t.SKEW * t.NODES_PER_ZONE),
    ("a region", t.NODES_PER_REGION),
)


@dataclass(frozen=True)
class Row:
    """One figure of a role."""

    moment: str
    quantity: str
    value: str
    worked_out: str
    mechanism: str


def renewals_per_s() -> float:
    """Of one node: the period is drawn from a part of its length up to all of it."""
    limits = Limits()
    return 1.0 / (limits.renew_interval_s * (1.0 - limits.jitter / 2))


def probes_per_s(servers: float, arrivals: float, period: float) -> float:
    """What looks want, each server that holds a node's connections in turn, and what requests pay for."""
    return min(servers / period, HEALTH_CHECKS_PER_REQUEST * arrivals)


def returning(nodes_gone: float) -> float:
    """Clients that come to each node that is left when so many nodes have gone."""
    return nodes_gone * t.CONNECTIONS_PER_NODE / (t.NODES - nodes_gone)


def data_side(book: SlopeBook) -> list[Row]:
    """A node's data side: connections and lines."""
    memory = book.at("connection_memory", t.CONNECTIONS_PER_NODE)
    lines = book.at("share_by_lines", t.LINES_PER_NODE)
    idle = book.at("idle_share", t.CONNECTIONS_PER_NODE)
    opened = book.at("open_by_connections", t.CONNECTIONS_PER_NODE)
    arrivals = book.at("module_request_by_sessions", t.CONNECTIONS_PER_NODE)
    grouped = book.at("module_grouped_request_by_servers", t.SERVERS)
    grouped_2 = book.at("module_grouped_request_by_servers", t.SERVERS_2)
    empty_2 = book.at("module_request_by_empty_servers", t.SERVERS_2)
    collect = book.at("node_collection", t.CONNECTIONS_PER_NODE)
    listed = book.at("stop_list", t.SERVERS)
    listed_2 = book.at("list_replaced", t.SERVERS_2)
    late = book.at("line_late_by_lines", t.LINES_PER_NODE)
    by_size = book.get("line_by_bytes").fit
    larger = by_size.at(t.LINE_BYTES_2) / by_size.at(t.LINE_BYTES)
    passing = "downstream/session.py, upstream/connection.py"
    per_s = t.LINES_PER_NODE * t.LINE_BYTES
    fullest = book.at("connection_memory", t.SKEW * t.CONNECTIONS_PER_NODE)
    ordinary = [
        Row("ordinary hour", "state, memory", in_bytes(memory.value), memory.how, passing),
        Row(
            "ordinary hour",
            "descriptors",
            figure(2 * t.CONNECTIONS_PER_NODE),
            "two a connection, and at most one a server for probes",
            "transport/descriptors.py",
        ),
        Row(
            "ordinary hour",
            "lines",
            f"{figure(t.LINES_PER_NODE)}/s in, as many out; {in_bytes(per_s)}/s each way",
            f"12 M/s over {t.NODES:,} nodes, {t.LINE_BYTES} bytes a line assumed; "
            f"{in_bytes(t.LINES_PER_NODE * t.LINE_BYTES_2)}/s at "
            f"{t.LINE_BYTES_2}; heads of TCP and IP add {t.TCP_IP} bytes a line",
            passing,
        ),
        Row(
            "ordinary hour",
            "processor, lines",
            f"{share(lines.value / 100)} of a core",
            f"{lines.how}; {larger:.2f} times as much for lines of {t.LINE_BYTES_2} bytes",
            passing,
        ),
        Row("ordinary hour", "99 in 100 lines within", f"{figure(late.value)} ms", late.how, passing),
        Row(
            "ordinary hour",
            "processor, sessions at rest",
            f"{share(idle.value / 100)} of a core",
            f"{idle.how}; a tick of the clock is 0.33% in the 3 s that were measured",
            "proxy/proxy.py",
        ),
        Row(
            "ordinary hour",
            "processor, connections that come",
            f"{share(opened.value * US * t.ARRIVALS_PER_NODE)} of a core",
            f"{opened.how}; {figure(t.ARRIVALS_PER_NODE)}/s by a mean life of an hour, assumed; "
            f"{share(opened.value * US * t.ARRIVALS_PER_NODE_2)} at ten minutes",
            "proxy/proxy.py, balancing/selection.py",
        ),
        Row(
            "ordinary hour",
            "of it in the module",
            f"{figure(arrivals.value)} µs a request, {figure(grouped.value)} µs one of a group",
            f"{arrivals.how}; {grouped.how}; with {t.SERVERS_2:,} servers {figure(grouped_2.value)} µs, "
            f"and {figure(empty_2.value)} µs where they hold hardly any connections",
            "balancing/selection.py",
        ),
        Row(
            "ordinary hour",
            "a full collection of garbage",
            f"{figure(collect.value)} ms",
            collect.how,
            "the interpreter",
        ),
        Row(
            "worst: a list in which all are new",
            f"loop stands, {t.SERVERS} servers",
            f"{figure(listed.value)} ms",
            listed.how,
            "discovery/http_discovery.py, balancing/endpoint_registry.py",
        ),
        Row(
            "worst: a list in which all are new",
            f"loop stands, {t.SERVERS_2} servers",
            f"{figure(listed_2.value)} ms",
            listed_2.how,
            "discovery/http_discovery.py, balancing/endpoint_registry.py",
        ),
        Row(
            "skew: the fullest node, twice the mean assumed",
            "state, memory",
            in_bytes(fullest.value),
            fullest.how,
            passing,
        ),
        Row(
            "skew: the fullest node, twice the mean assumed",
            "processor, lines",
            f"{share(book.at('share_by_lines', t.SKEW * t.LINES_PER_NODE).value / 100)} of a core",
            book.at("share_by_lines", t.SKEW * t.LINES_PER_NODE).how,
            passing,
        ),
    ]
    return ordinary + [
        Row(
            f"worst: {what} goes",
            "connections that come",
            f"{figure(returning(nodes))} to each other node, "
            f"{figure(returning(nodes) * opened.value * US)} s of a core",
            f"{figure(nodes)} × {figure(t.CONNECTIONS_PER_NODE)} / {figure(t.NODES - nodes)}, at "
            f"{figure(opened.value)} µs; "
            f"within {figure(t.RETURN_S)} s, "
            f"{figure(returning(nodes) * opened.value * US / t.RETURN_S)} cores",
            "proxy/proxy.py, balancing/selection.py, client.py",
        )
        for what, nodes in GONE
    ]


def control_side(book: SlopeBook) -> list[Row]:
    """A node's control side: list, reports, configuration, view."""
    rate = renewals_per_s()
    renewal = book.get("renewal_bytes").points[0]
    frame = renewal.median / renewal.size
    spent = book.at("subscriber_renewal", 1)
    delta = book.at("delta_bytes", 1)
    burst = book.at("delta_bytes", 50)
    fixed = book.at("list_bytes_delta", 0)
    changed = book.at("list_bytes_delta", 1)
    whole, whole_2 = book.at("list_bytes_full", t.SERVERS), book.at("list_bytes_full", t.SERVERS_2)
    snapshot, snapshot_2 = book.at("snapshot_bytes", t.KEYS), book.at("snapshot_bytes", t.KEYS_2)
    gossip = book.at("gossip_bytes", t.SERVERS)
    probe = book.at("probe", t.SERVERS)
    started, started_2 = book.at("list_first", t.SERVERS), book.at("list_first", t.SERVERS_2)
    wait = 10.0
    probes = probes_per_s(t.SERVERS, t.ARRIVALS_PER_NODE, HEALTH_CHECK_INTERVAL_IDLE_S)
    probes_2 = probes_per_s(t.SERVERS, t.ARRIVALS_PER_NODE_2, HEALTH_CHECK_INTERVAL_FULL_S)
    changes = t.CHANGES_PER_DAY / t.DAY_S * (delta.value + frame)
    told = t.LIST_CHANGES_PER_DAY / t.DAY_S * changed.value
    told_2 = t.LIST_CHANGES_PER_DAY_2 / t.DAY_S * changed.value
    observer = "observer/subscriber.py"
    return [
        Row(
            "ordinary hour",
            "renewals of the lease",
            f"{figure(rate)}/s, {in_bytes(rate * frame)}/s both ways",
            f"{figure(frame)} bytes with the heartbeat; {in_bytes(rate * (frame + 4 * t.TCP_IP))}/s "
            "with heads of TCP and IP and acknowledgements",
            observer,
        ),
        Row(
            "ordinary hour",
            "processor, renewals",
            f"{share(rate * spent.value * US)} of a core",
            f"{spent.how}; without the socket",
            observer,
        ),
        Row(
            "ordinary hour",
            "changes of configuration",
            f"{in_bytes(changes)}/s",
            f"1,200 a day × ({figure(delta.value)} + {figure(frame)}) bytes, the acknowledgement with it",
            observer,
        ),
        Row(
            "ordinary hour",
            "the list, asked",
            f"{in_bytes(fixed.value / wait + told)}/s",
            f"{figure(fixed.value)} bytes a call each {figure(wait)} s, and "
            f"{t.LIST_CHANGES_PER_DAY:,} servers told anew a day, assumed; "
            f"{in_bytes(fixed.value / wait + told_2)}/s at {t.LIST_CHANGES_PER_DAY_2:,}",
            "discovery/http_discovery.py, discovery/watch_schedule.py",
        ),
        Row(
            "ordinary hour",
            "probes",
            f"{figure(probes)}/s, {in_bytes(probes * PROBE_BYTES)}/s both ways",
            f"{PROBE_BYTES} bytes a probe; each of {t.SERVERS} servers each "
            f"{HEALTH_CHECK_INTERVAL_IDLE_S:g} s, at most "
            f"{HEALTH_CHECKS_PER_REQUEST:g} a request; {figure(probes_2)}/s, "
            f"{in_bytes(probes_2 * PROBE_BYTES)}/s, with a life of ten minutes and full servers",
            "balancing/health_checks.py, upstream/connection.py",
        ),
        Row(
            "ordinary hour",
            "processor, probes",
            f"{share(probes * probe.value * US)} of a core",
            f"{probe.how}; {share(probes_2 * probe.value * US)} with a life of ten minutes and full servers",
            "proxy/proxy.py, upstream/connection.py",
        ),
        Row(
            "ordinary hour",
            "gossip, where nodes are members of the store",
            f"{in_bytes(gossip.value * (t.NODES - 1))}/s out, as much in",
            f"{gossip.how}, to each of {t.NODES - 1:,} siblings each second",
            "store/gossip.py",
        ),
        Row(
            "ordinary hour",
            "memory of a process without connections",
            in_bytes(book.at("connection_memory", 0).value),
            f"{book.at('connection_memory', 0).how}; with one server and no subscription, the runs at "
            "full size "
            "have both",
            "node.py",
        ),
        Row(
            "worst: the node starts",
            "processor, the list",
            f"{figure(started.value)} ms",
            f"{started.how}; {figure(started_2.value)} ms with {t.SERVERS_2:,} servers",
            "discovery/http_discovery.py, balancing/endpoint_registry.py",
        ),
        Row(
            "worst: the node starts",
            "list and snapshot",
            f"{in_bytes(whole.value + snapshot.value)}",
            f"{whole.how}; {snapshot.how}; {in_bytes(whole_2.value + snapshot_2.value)} with "
            f"{t.SERVERS_2:,} servers and {t.KEYS_2:,} keys",
            f"discovery/http_discovery.py, {observer}",
        ),
        Row("worst: 50 changes at once", "delta", in_bytes(burst.value), burst.how, observer),
        Row(
            "worst: a region cut off for an hour",
            "changes missed",
            f"{figure(t.CHANGES_PER_DAY / 24)}, one delta of {in_bytes(burst.value)}",
            "1,200 a day for an hour, coalesced by key",
            observer,
        ),
    ]


def control_machine(book: SlopeBook) -> list[Row]:
    """A control machine: a member of the store and a publisher."""
    rate = renewals_per_s()
    limits = Limits()
    renewal = book.get("renewal_bytes").points[0]
    frame = renewal.median / renewal.size
    subscribers = t.NODES / t.CONTROL_MACHINES
    spent = book.at("publisher_renewal", subscribers)
    held = book.at("publisher_memory", subscribers)
    state, state_2 = book.at("store_state_bytes", t.KEYS), book.at("store_state_bytes", MAX_KEYS)
    one, burst = book.at("publisher_delta", 1), book.at("publisher_delta", 50)
    snapshot, size = book.at("publisher_snapshot", t.KEYS), book.at("snapshot_bytes", t.KEYS)
    lease, lease_all = book.at("lease_renewal", t.CONTROL_MACHINES), book.at("lease_renewal", t.NODES)
    seen_all = book.at("lease_write_seen", t.NODES)
    applied = book.at("store_apply_by_keys", t.KEYS)
    serve, leader = "observer/publisher.py", "store/leases.py"
    rows = [
        Row(
            "ordinary hour",
            "state",
            in_bytes(state.value),
            f"{state.how}; {in_bytes(state_2.value)} with all {MAX_KEYS:,} keys that it takes",
            "store/machine.py",
        ),
        Row(
            "ordinary hour",
            "subscriptions",
            f"{figure(subscribers)}, {in_bytes(held.value)}",
            held.how,
            serve,
        ),
        Row(
            "ordinary hour",
            "renewals",
            f"{figure(subscribers * rate)}/s, {in_bytes(subscribers * rate * frame)}/s both ways",
            f"{t.NODES:,} / {t.CONTROL_MACHINES} × {figure(rate)}/s × {figure(frame)} bytes",
            serve,
        ),
        Row(
            "ordinary hour",
            "processor, renewals",
            f"{share(subscribers * rate * spent.value * US)} of a core",
            f"{spent.how}; without sockets",
            serve,
        ),
        Row(
            "ordinary hour",
            "processor, a change",
            f"{figure(subscribers * one.value / 1e3)} ms and {figure(applied.value)} µs to apply it",
            f"{one.how}; {applied.how}",
            f"{serve}, store/machine.py",
        ),
        Row(
            "ordinary hour",
            "leader: leases of six machines",
            f"{figure(t.CONTROL_MACHINES / 0.3 * lease.value * US * 100)}% of a core",
            lease.how,
            leader,
        ),
        Row(
            "before: 1,600 holders at the leader",
            "renewals and a write that all have seen",
            f"{share(t.NODES / 0.3 * lease_all.value * US)} of a core, {figure(seen_all.value)} ms a write",
            f"{lease_all.how}; {seen_all.how}; 256 holders at most are taken",
            leader,
        ),
        Row(
            "worst: 50 changes at once",
            "processor",
            f"{figure(subscribers * burst.value / 1e3)} ms",
            burst.how,
            serve,
        ),
    ]
    healed = t.NODES_PER_REGION * book.at("publisher_delta", t.CHANGES_PER_DAY / 24).value / 1e3
    healed_bytes = t.NODES_PER_REGION * book.at("delta_bytes", t.CHANGES_PER_DAY / 24).value
    rows.append(
        Row(
            "worst: a region that was cut off for an hour comes back, all at one machine",
            "deltas of what it missed",
            f"{in_bytes(healed_bytes)}, {figure(healed)} ms of a core",
            f"{figure(t.NODES_PER_REGION)} × one delta of {figure(t.CHANGES_PER_DAY / 24)} keys; "
            "admitted as below",
            serve,
        )
    )
    moments = [
        (
            "a control machine dies",
            t.NODES / t.CONTROL_MACHINES / (t.CONTROL_MACHINES - 1),
            t.NODES / (t.CONTROL_MACHINES - 1),
        ),
        (
            "two have died",
            t.NODES / (t.CONTROL_MACHINES - 1) / (t.CONTROL_MACHINES - 2),
            t.NODES / (t.CONTROL_MACHINES - 2),
        ),
        ("one of the 220 is restarted", 1.0, subscribers),
        (f"a rack of {t.RACK_NODES} comes back, all at one machine", float(t.RACK_NODES), subscribers),
        ("a zone's nodes start at once", t.NODES_PER_ZONE, t.NODES_PER_ZONE),
        ("a region's nodes start at once, all at one machine", t.NODES_PER_REGION, t.NODES_PER_REGION),
        ("all nodes start at once", subscribers, subscribers),
    ]
    for what, new, total in moments:
        waited = max(0.0, new - limits.subscribe_burst) / limits.subscribe_rate
        rows.append(
            Row(
                f"worst: {what}",
                "new subscriptions",
                f"{figure(new)} at a machine, admitted within {figure(waited)} s; "
                f"{in_bytes(new * size.value)}, {figure(new * snapshot.value / 1e3)} s of a core",
                f"{limits.subscribe_burst} at once, then {limits.subscribe_rate:g}/s; a snapshot "
                f"each: {size.how}; {figure(total)} stand then",
                "observer/admission.py, observer/snapshots.py",
            )
        )
    return rows


def discovery(book: SlopeBook) -> list[Row]:
    """Discovery as it is asked."""
    fixed, changed = book.at("list_bytes_delta", 0), book.at("list_bytes_delta", 1)
    whole, whole_2 = book.at("list_bytes_full", t.SERVERS), book.at("list_bytes_full", t.SERVERS_2)
    clock = "discovery/watch_schedule.py"
    calls = t.NODES / 10.0
    rows = [
        Row(
            "ordinary hour",
            "calls",
            f"{figure(calls)}/s, {in_bytes(calls * fixed.value)}/s",
            f"{t.NODES:,} nodes, a call each 10 s; {fixed.how}; at most each {POLLED_WAIT_BOUNDS_S[0]:g} s",
            clock,
        ),
        Row(
            "ordinary hour",
            "a server told anew",
            f"{in_bytes(t.NODES * changed.value)}, {figure(t.NODES)} answers",
            changed.how,
            clock,
        ),
    ]
    for what, nodes in (*GONE, ("every node", float(t.NODES))):
        rows.append(
            Row(
                f"worst: {what} starts, or discovery changes over there",
                "whole lists",
                f"{in_bytes(nodes * whole.value)} within a second",
                f"{figure(nodes)} × {in_bytes(whole.value)}; {in_bytes(nodes * whole_2.value)} with "
                f"{t.SERVERS_2:,} servers; spread over 1 s at most",
                clock,
            )
        )
    return rows


def save_server(book: SlopeBook) -> list[Row]:
    """A save server as nodes load it."""
    probes = t.NODES * probes_per_s(t.SERVERS, t.ARRIVALS_PER_NODE, HEALTH_CHECK_INTERVAL_IDLE_S) / t.SERVERS
    probes_2 = (
        t.NODES * probes_per_s(t.SERVERS_2, t.ARRIVALS_PER_NODE, HEALTH_CHECK_INTERVAL_IDLE_S) / t.SERVERS_2
    )
    dials = t.CONNECTIONS / t.SESSION_S / t.SERVERS
    lines = t.LINES_PER_S / t.SERVERS
    return [
        Row(
            "ordinary hour",
            "connections",
            figure(t.CONNECTIONS_PER_SERVER),
            f"100 M / {t.SERVERS} assumed; {figure(t.CONNECTIONS / t.SERVERS_2)} with {t.SERVERS_2:,}",
            "balancing/selection.py",
        ),
        Row(
            "ordinary hour",
            "lines",
            f"{figure(lines)}/s, {in_bytes(lines * t.LINE_BYTES)}/s",
            f"12 M/s / {t.SERVERS}",
            "upstream/connection.py",
        ),
        Row(
            "ordinary hour",
            "dials",
            f"{figure(dials)}/s",
            f"100 M connections of an hour; {figure(t.CONNECTIONS / t.SESSION_S_2 / t.SERVERS)}/s of "
            "ten minutes",
            "upstream/connection.py",
        ),
        Row(
            "ordinary hour",
            "probes",
            f"{figure(probes)}/s on {t.NODES:,} connections",
            "each node "
            f"{figure(probes_per_s(t.SERVERS, t.ARRIVALS_PER_NODE, HEALTH_CHECK_INTERVAL_IDLE_S))}/s "
            "over its "
            f"servers; {figure(probes_2)}/s with {t.SERVERS_2:,} servers",
            "balancing/health_checks.py, upstream/connection.py",
        ),
        Row(
            "worst: it has started anew",
            "what all nodes send it",
            "see the verdict on cold servers",
            "its fall multiple times what it can do",
            "balancing/slow_start.py",
        ),
        *[
            Row(
                f"worst: {what} goes",
                "connections that are made anew",
                figure(nodes * t.CONNECTIONS_PER_NODE / t.SERVERS),
                f"{figure(nodes)} nodes × {figure(t.CONNECTIONS_PER_NODE)} / {t.SERVERS}, "
                f"beside the {figure(t.CONNECTIONS_PER_SERVER)} that stand",
                "balancing/selection.py",
            )
            for what, nodes in GONE
        ],
    ]


def client(book: SlopeBook) -> list[Row]:
    """A client that comes again."""
    opened = book.at("open_by_connections", t.CONNECTIONS_PER_NODE)
    rows = [
        Row("any", "bytes and lines", f"{RETURN_BYTES} B, 3 lines", "MOVE, OPEN, UP", "downstream/session.py")
    ]
    for what, nodes in GONE:
        cores = returning(nodes) * opened.value * US
        rows.append(
            Row(
                f"worst: {what} goes",
                "the last is placed after, by one core",
                f"{figure(max(t.RETURN_S, cores))} s",
                f"{figure(returning(nodes))} at each node × {figure(opened.value)} µs, come within "
                f"{figure(t.RETURN_S)} s",
                "proxy/proxy.py",
            )
        )
    return rows


def skew(book: SlopeBook) -> list[Row]:
    """The largest group."""
    opened = book.at("open_by_connections", t.CONNECTIONS_PER_NODE)
    members = t.LARGEST_GROUP / t.NODES
    by_groups = book.at("module_request_by_groups", t.CONNECTIONS_PER_NODE)
    return [
        Row(
            "the group of 850,000",
            "nodes",
            f"all {t.NODES:,}, {figure(members)} members on each",
            "clients choose nodes without regard to groups",
            "none: not a node's choice",
        ),
        Row(
            "the group of 850,000",
            "servers",
            f"{figure(t.LARGEST_GROUP / t.CONNECTIONS_PER_SERVER)} servers full of it; "
            f"{figure(t.LARGEST_GROUP / (t.CONNECTIONS / t.SERVERS_2))} with {t.SERVERS_2:,}",
            f"at the mean of {figure(t.CONNECTIONS_PER_SERVER)} connections a server; draws walk "
            f"{RING_CANDIDATES} servers of the ring and then the whole list",
            "balancing/grouping.py, balancing/hash_ring.py",
        ),
        Row(
            "the group of 850,000",
            "its coming back at once, at a node",
            f"{figure(members)} requests, {figure(members * opened.value * US)} s of a core",
            opened.how,
            "proxy/proxy.py",
        ),
        Row(
            "the group of 850,000",
            "its coming back at once, at servers",
            f"{figure(t.LARGEST_GROUP / RING_CANDIDATES)} at each of {RING_CANDIDATES}",
            f"all nodes walk the same {RING_CANDIDATES} servers first",
            "balancing/grouping.py, balancing/hash_ring.py",
        ),
        Row(
            "a line to the whole group",
            "lines",
            f"{figure(t.LARGEST_GROUP)} at once, {figure(members)} a node",
            f"{figure(t.LARGEST_GROUP / t.LINES_PER_S * 1e3)} ms of the whole fleet's rate",
            "upstream/connection.py",
        ),
        Row(
            "the mean group",
            "members, nodes",
            f"{figure(t.CONNECTIONS / t.GROUPS)} members on as many nodes at most",
            "100 M / 800,000",
            "balancing/grouping.py",
        ),
        Row(
            "groups of a node",
            "the module's request",
            f"{figure(by_groups.value)} µs",
            by_groups.how,
            "balancing/selection.py",
        ),
    ]


ROLES: dict[str, Callable[[SlopeBook], list[Row]]] = {
    "data-side": data_side,
    "control-side": control_side,
    "control-machine": control_machine,
    "discovery": discovery,
    "save-server": save_server,
    "client": client,
    "skew": skew,
}
