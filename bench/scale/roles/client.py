"""Figures of a client that reconnects after its node is lost."""

from __future__ import annotations

from bench.scale import target
from bench.scale.rates import NODE_LOSSES, RECONNECT_BYTES, S_PER_US, reconnecting_clients
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure


def rows(book: SlopeBook) -> list[Row]:
    """Returns the figures of a client that reconnects."""
    opened = book.at("open_by_connections", target.CONNECTIONS_PER_NODE)
    found = [
        Row(
            "any",
            "bytes and lines",
            f"{RECONNECT_BYTES} B, 3 lines",
            "MOVE, OPEN, UP",
            "downstream/session.py",
        )
    ]
    for what, nodes in NODE_LOSSES:
        cores = reconnecting_clients(nodes) * opened.value * S_PER_US
        found.append(
            Row(
                f"worst: {what} goes",
                "the last is placed after, by one core",
                f"{figure(max(target.RECONNECT_S, cores))} s",
                f"{figure(reconnecting_clients(nodes))} at each node × {figure(opened.value)} µs, come "
                f"within "
                f"{figure(target.RECONNECT_S)} s",
                "proxy/proxy.py",
            )
        )
    return found
