"""The largest group, beside the mean one."""

from __future__ import annotations

from bench.scale import target as t
from bench.scale.rates import US
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure
from gradegap.balancing.grouping import RING_CANDIDATES


def rows(book: SlopeBook) -> list[Row]:
    """The largest group, beside the mean one."""
    return [
        *_members(book),
        *_return(book),
        *_lines_and_groups(book),
    ]


def _members(book: SlopeBook) -> list[Row]:
    """Where the members of the largest group are."""
    members = t.LARGEST_GROUP / t.NODES
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
    ]


def _return(book: SlopeBook) -> list[Row]:
    """The largest group comes back at once."""
    opened = book.at("open_by_connections", t.CONNECTIONS_PER_NODE)
    members = t.LARGEST_GROUP / t.NODES
    return [
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
    ]


def _lines_and_groups(book: SlopeBook) -> list[Row]:
    """A line to all of a group; the mean group; a node's groups."""
    members = t.LARGEST_GROUP / t.NODES
    by_groups = book.at("module_request_by_groups", t.CONNECTIONS_PER_NODE)
    return [
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
