"""A save server, as nodes load it."""

from __future__ import annotations

from bench.scale import target as t
from bench.scale.rates import GONE, probes_per_s
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure, in_bytes
from gradegap.balancing.health_checks import HEALTH_CHECK_INTERVAL_IDLE_S


def rows(book: SlopeBook) -> list[Row]:
    """A save server, as nodes load it."""
    return [
        *_ordinary_hour(),
        *_worst(),
    ]


def _ordinary_hour() -> list[Row]:
    """Connections, lines, dials and health checks."""
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
    ]


def _worst() -> list[Row]:
    """Its own restart, and connections that are opened again after nodes are lost."""
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
                figure(nodes * t.CONNECTIONS_PER_NODE / t.SERVERS),
                f"{figure(nodes)} nodes × {figure(t.CONNECTIONS_PER_NODE)} / {t.SERVERS}, "
                f"beside the {figure(t.CONNECTIONS_PER_SERVER)} that stand",
                "balancing/selection.py",
            )
            for what, nodes in GONE
        ],
    ]
