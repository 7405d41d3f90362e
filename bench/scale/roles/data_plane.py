"""Figures of a node's data side: connections and lines."""

from __future__ import annotations

from bench.scale import target
from bench.scale.rates import NODE_LOSSES, S_PER_US, reconnecting_clients
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure, in_bytes, share


def rows(book: SlopeBook) -> list[Row]:
    """Returns the figures of the data side of a node."""
    return [
        *_connections(book),
        *_arrivals(book),
        *_long_pauses(book),
        *_fullest_node(book),
        *_returning(book),
    ]


def _connections(book: SlopeBook) -> list[Row]:
    """Returns the figures of established connections and their lines in the ordinary hour."""
    memory = book.at("connection_memory", target.CONNECTIONS_PER_NODE)
    lines = book.at("share_by_lines", target.LINES_PER_NODE)
    idle = book.at("idle_share", target.CONNECTIONS_PER_NODE)
    late = book.at("line_late_by_lines", target.LINES_PER_NODE)
    by_size = book.get("line_by_bytes").fit
    larger = by_size.at(target.LINE_BYTES_2) / by_size.at(target.LINE_BYTES)
    passing = "downstream/session.py, upstream/connection.py"
    per_s = target.LINES_PER_NODE * target.LINE_BYTES
    return [
        Row("ordinary hour", "state, memory", in_bytes(memory.value), memory.derivation, passing),
        Row(
            "ordinary hour",
            "descriptors",
            figure(2 * target.CONNECTIONS_PER_NODE),
            "two a connection, and at most one a server for probes",
            "transport/descriptors.py",
        ),
        Row(
            "ordinary hour",
            "lines",
            f"{figure(target.LINES_PER_NODE)}/s in, as many out; {in_bytes(per_s)}/s each way",
            f"12 M/s over {target.NODES:,} nodes, {target.LINE_BYTES} bytes a line assumed; "
            f"{in_bytes(target.LINES_PER_NODE * target.LINE_BYTES_2)}/s at "
            f"{target.LINE_BYTES_2}; heads of TCP and IP add {target.TCP_IP_HEADER_BYTES} bytes a line",
            passing,
        ),
        Row(
            "ordinary hour",
            "processor, lines",
            f"{share(lines.value / 100)} of a core",
            f"{lines.derivation}; {larger:.2f} times as much for lines of {target.LINE_BYTES_2} bytes",
            passing,
        ),
        Row("ordinary hour", "99 in 100 lines within", f"{figure(late.value)} ms", late.derivation, passing),
        Row(
            "ordinary hour",
            "processor, sessions at rest",
            f"{share(idle.value / 100)} of a core",
            f"{idle.derivation}; a tick of the clock is 0.33% in the 3 s that were measured",
            "proxy/proxy.py",
        ),
    ]


def _arrivals(book: SlopeBook) -> list[Row]:
    """Returns the figures of newly opened connections in the ordinary hour."""
    opened = book.at("open_by_connections", target.CONNECTIONS_PER_NODE)
    arrivals = book.at("module_request_by_sessions", target.CONNECTIONS_PER_NODE)
    grouped = book.at("module_grouped_request_by_servers", target.SERVERS)
    grouped_2 = book.at("module_grouped_request_by_servers", target.SERVERS_2)
    empty_2 = book.at("module_request_by_empty_servers", target.SERVERS_2)
    collect = book.at("node_collection", target.CONNECTIONS_PER_NODE)
    return [
        Row(
            "ordinary hour",
            "processor, connections that come",
            f"{share(opened.value * S_PER_US * target.ARRIVALS_PER_NODE)} of a core",
            f"{opened.derivation}; {figure(target.ARRIVALS_PER_NODE)}/s by a mean life of an hour, assumed; "
            f"{share(opened.value * S_PER_US * target.ARRIVALS_PER_NODE_2)} at ten minutes",
            "proxy/proxy.py, balancing/selection.py",
        ),
        Row(
            "ordinary hour",
            "of it in the module",
            f"{figure(arrivals.value)} µs a request, {figure(grouped.value)} µs one of a group",
            f"{arrivals.derivation}; {grouped.derivation}; with {target.SERVERS_2:,} servers "
            f"{figure(grouped_2.value)} µs, "
            f"and {figure(empty_2.value)} µs where they hold hardly any connections",
            "balancing/selection.py",
        ),
        Row(
            "ordinary hour",
            "a full collection of garbage",
            f"{figure(collect.value)} ms",
            collect.derivation,
            "the interpreter",
        ),
    ]


def _long_pauses(book: SlopeBook) -> list[Row]:
    """Returns the pauses of the event loop that delay all lines of a node."""
    listed = book.at("stop_list", target.SERVERS)
    listed_2 = book.at("list_replaced", target.SERVERS_2)
    return [
        Row(
            "worst: a list in which all are new",
            f"loop stands, {target.SERVERS} servers",
            f"{figure(listed.value)} ms",
            listed.derivation,
            "discovery/http_discovery.py, balancing/endpoint_registry.py",
        ),
        Row(
            "worst: a list in which all are new",
            f"loop stands, {target.SERVERS_2} servers",
            f"{figure(listed_2.value)} ms",
            listed_2.derivation,
            "discovery/http_discovery.py, balancing/endpoint_registry.py",
        ),
    ]


def _fullest_node(book: SlopeBook) -> list[Row]:
    """Returns the figures of a node with `SKEW` times the mean number of connections."""
    passing = "downstream/session.py, upstream/connection.py"
    fullest = book.at("connection_memory", target.SKEW * target.CONNECTIONS_PER_NODE)
    return [
        Row(
            "skew: the fullest node, twice the mean assumed",
            "state, memory",
            in_bytes(fullest.value),
            fullest.derivation,
            passing,
        ),
        Row(
            "skew: the fullest node, twice the mean assumed",
            "processor, lines",
            f"{share(book.at('share_by_lines', target.SKEW * target.LINES_PER_NODE).value / 100)} of a core",
            book.at("share_by_lines", target.SKEW * target.LINES_PER_NODE).derivation,
            passing,
        ),
    ]


def _returning(book: SlopeBook) -> list[Row]:
    """Returns the load of the clients of lost nodes on each remaining node."""
    opened = book.at("open_by_connections", target.CONNECTIONS_PER_NODE)
    return [
        Row(
            f"worst: {what} goes",
            "connections that come",
            f"{figure(reconnecting_clients(nodes))} to each other node, "
            f"{figure(reconnecting_clients(nodes) * opened.value * S_PER_US)} s of a core",
            f"{figure(nodes)} × {figure(target.CONNECTIONS_PER_NODE)} / {figure(target.NODES - nodes)}, at "
            f"{figure(opened.value)} µs; "
            f"within {figure(target.RECONNECT_S)} s, "
            f"{figure(reconnecting_clients(nodes) * opened.value * S_PER_US / target.RECONNECT_S)} cores",
            "proxy/proxy.py, balancing/selection.py, client.py",
        )
        for what, nodes in NODE_LOSSES
    ]
