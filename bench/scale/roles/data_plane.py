"""A node's connections and lines."""

from __future__ import annotations

from bench.scale import target as t
from bench.scale.rates import GONE, US, returning
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure, in_bytes, share


def rows(book: SlopeBook) -> list[Row]:
    """A node's connections and lines."""
    return [
        *_connections(book),
        *_arrivals(book),
        *_long_pauses(book),
        *_fullest_node(book),
        *_returning(book),
    ]


def _connections(book: SlopeBook) -> list[Row]:
    """Its established connections and their lines, in the ordinary hour."""
    memory = book.at("connection_memory", t.CONNECTIONS_PER_NODE)
    lines = book.at("share_by_lines", t.LINES_PER_NODE)
    idle = book.at("idle_share", t.CONNECTIONS_PER_NODE)
    late = book.at("line_late_by_lines", t.LINES_PER_NODE)
    by_size = book.get("line_by_bytes").fit
    larger = by_size.at(t.LINE_BYTES_2) / by_size.at(t.LINE_BYTES)
    passing = "downstream/session.py, upstream/connection.py"
    per_s = t.LINES_PER_NODE * t.LINE_BYTES
    return [
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
    ]


def _arrivals(book: SlopeBook) -> list[Row]:
    """Connections that are opened, in the ordinary hour."""
    opened = book.at("open_by_connections", t.CONNECTIONS_PER_NODE)
    arrivals = book.at("module_request_by_sessions", t.CONNECTIONS_PER_NODE)
    grouped = book.at("module_grouped_request_by_servers", t.SERVERS)
    grouped_2 = book.at("module_grouped_request_by_servers", t.SERVERS_2)
    empty_2 = book.at("module_request_by_empty_servers", t.SERVERS_2)
    collect = book.at("node_collection", t.CONNECTIONS_PER_NODE)
    return [
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
    ]


def _long_pauses(book: SlopeBook) -> list[Row]:
    """What delays every line of a node for once."""
    listed = book.at("stop_list", t.SERVERS)
    listed_2 = book.at("list_replaced", t.SERVERS_2)
    return [
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
    ]


def _fullest_node(book: SlopeBook) -> list[Row]:
    """A node with `SKEW` times the mean of connections."""
    passing = "downstream/session.py, upstream/connection.py"
    fullest = book.at("connection_memory", t.SKEW * t.CONNECTIONS_PER_NODE)
    return [
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


def _returning(book: SlopeBook) -> list[Row]:
    """The clients of lost nodes, at each node that is left."""
    opened = book.at("open_by_connections", t.CONNECTIONS_PER_NODE)
    return [
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
