"""A client that comes again after its node is lost."""

from __future__ import annotations

from bench.scale import target as t
from bench.scale.rates import GONE, RETURN_BYTES, US, returning
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure


def rows(book: SlopeBook) -> list[Row]:
    """A client that comes again."""
    opened = book.at("open_by_connections", t.CONNECTIONS_PER_NODE)
    found = [
        Row("any", "bytes and lines", f"{RETURN_BYTES} B, 3 lines", "MOVE, OPEN, UP", "downstream/session.py")
    ]
    for what, nodes in GONE:
        cores = returning(nodes) * opened.value * US
        found.append(
            Row(
                f"worst: {what} goes",
                "the last is placed after, by one core",
                f"{figure(max(t.RETURN_S, cores))} s",
                f"{figure(returning(nodes))} at each node × {figure(opened.value)} µs, come within "
                f"{figure(t.RETURN_S)} s",
                "proxy/proxy.py",
            )
        )
    return found
