"""Figures of the load that nodes put on a save server."""

from __future__ import annotations

from bench.scale import target
from bench.scale.rates import NODE_LOSSES, health_checks_per_s
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure, in_bytes
from gradegap.balancing.health_checks import HEALTH_CHECK_INTERVAL_IDLE_S


def rows(book: SlopeBook) -> list[Row]:
    """Returns the figures of a save server."""
    return [
        *_ordinary_hour(),
        *_worst(),
    ]


def _ordinary_hour() -> list[Row]:
    """Returns the figures of connections, lines, dials and health checks in the ordinary hour."""
    of_a_node = health_checks_per_s(target.SERVERS, target.ARRIVALS_PER_NODE, HEALTH_CHECK_INTERVAL_IDLE_S)
    of_a_node_2 = health_checks_per_s(
        target.SERVERS_2, target.ARRIVALS_PER_NODE, HEALTH_CHECK_INTERVAL_IDLE_S
    )
    health_checks = target.NODES * of_a_node / target.SERVERS
    health_checks_2 = target.NODES * of_a_node_2 / target.SERVERS_2
    dials = target.CONNECTIONS / target.CONNECTION_LIFETIME_S / target.SERVERS
    lines = target.LINES_PER_S / target.SERVERS
    return [
        Row(
            "ordinary hour",
            "connections",
            figure(target.CONNECTIONS_PER_SERVER),
            f"100 M / {target.SERVERS} assumed; {figure(target.CONNECTIONS / target.SERVERS_2)} with "
            f"{target.SERVERS_2:,}",
            "balancing/selection.py",
        ),
        Row(
            "ordinary hour",
            "lines",
            f"{figure(lines)}/s, {in_bytes(lines * target.LINE_BYTES)}/s",
            f"12 M/s / {target.SERVERS}",
            "upstream/connection.py",
        ),
        Row(
            "ordinary hour",
            "dials",
            f"{figure(dials)}/s",
            f"100 M connections of an hour; "
            f"{figure(target.CONNECTIONS / target.CONNECTION_LIFETIME_S_2 / target.SERVERS)}/s of "
            "ten minutes",
            "upstream/connection.py",
        ),
        Row(
            "ordinary hour",
            "probes",
            f"{figure(health_checks)}/s on {target.NODES:,} connections",
            f"each node {figure(of_a_node)}/s over its servers; "
            f"{figure(health_checks_2)}/s with {target.SERVERS_2:,} servers",
            "balancing/health_checks.py, upstream/connection.py",
        ),
    ]


def _worst() -> list[Row]:
    """Returns the figures of the server's own restart and of connections reopened after a loss of nodes."""
    return [
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
                figure(nodes * target.CONNECTIONS_PER_NODE / target.SERVERS),
                f"{figure(nodes)} nodes × {figure(target.CONNECTIONS_PER_NODE)} / {target.SERVERS}, "
                f"beside the {figure(target.CONNECTIONS_PER_SERVER)} that stand",
                "balancing/selection.py",
            )
            for what, nodes in NODE_LOSSES
        ],
    ]
