"""Figures of the largest group, compared with the mean group."""

from __future__ import annotations

from bench.scale import target
from bench.scale.rates import S_PER_US
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure
from gradegap.balancing.grouping import RING_CANDIDATE_COUNT


def rows(book: SlopeBook) -> list[Row]:
    """Returns the figures of the largest group and of the mean group."""
    return [
        *_members(book),
        *_return(book),
        *_lines_and_groups(book),
    ]


def _members(book: SlopeBook) -> list[Row]:
    """Returns the distribution of the largest group's members over nodes and servers."""
    members = target.LARGEST_GROUP / target.NODES
    return [
        Row(
            "the group of 850,000",
            "nodes",
            f"all {target.NODES:,}, {figure(members)} members on each",
            "clients choose nodes without regard to groups",
            "none: not a node's choice",
        ),
        Row(
            "the group of 850,000",
            "servers",
            f"{figure(target.LARGEST_GROUP / target.CONNECTIONS_PER_SERVER)} servers full of it; "
            f"{figure(target.LARGEST_GROUP / (target.CONNECTIONS / target.SERVERS_2))} with "
            f"{target.SERVERS_2:,}",
            f"at the mean of {figure(target.CONNECTIONS_PER_SERVER)} connections a server; draws walk "
            f"{RING_CANDIDATE_COUNT} servers of the ring and then the whole list",
            "balancing/grouping.py, balancing/hash_ring.py",
        ),
    ]


def _return(book: SlopeBook) -> list[Row]:
    """Returns the load when all members of the largest group reconnect at once."""
    opened = book.at("open_by_connections", target.CONNECTIONS_PER_NODE)
    members = target.LARGEST_GROUP / target.NODES
    return [
        Row(
            "the group of 850,000",
            "its coming back at once, at a node",
            f"{figure(members)} requests, {figure(members * opened.value * S_PER_US)} s of a core",
            opened.derivation,
            "proxy/proxy.py",
        ),
        Row(
            "the group of 850,000",
            "its coming back at once, at servers",
            f"{figure(target.LARGEST_GROUP / RING_CANDIDATE_COUNT)} at each of {RING_CANDIDATE_COUNT}",
            f"all nodes walk the same {RING_CANDIDATE_COUNT} servers first",
            "balancing/grouping.py, balancing/hash_ring.py",
        ),
    ]


def _lines_and_groups(book: SlopeBook) -> list[Row]:
    """Returns the figures of a line to a whole group, of the mean group, and of a node's groups."""
    members = target.LARGEST_GROUP / target.NODES
    by_groups = book.at("module_request_by_groups", target.CONNECTIONS_PER_NODE)
    return [
        Row(
            "a line to the whole group",
            "lines",
            f"{figure(target.LARGEST_GROUP)} at once, {figure(members)} a node",
            f"{figure(target.LARGEST_GROUP / target.LINES_PER_S * 1e3)} ms of the whole fleet's rate",
            "upstream/connection.py",
        ),
        Row(
            "the mean group",
            "members, nodes",
            f"{figure(target.CONNECTIONS / target.GROUPS)} members on as many nodes at most",
            "100 M / 800,000",
            "balancing/grouping.py",
        ),
        Row(
            "groups of a node",
            "the module's request",
            f"{figure(by_groups.value)} µs",
            by_groups.derivation,
            "balancing/selection.py",
        ),
    ]
