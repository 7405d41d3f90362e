"""Figures of the load that nodes put on discovery."""

from __future__ import annotations

from bench.scale import target
from bench.scale.rates import NODE_LOSSES
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure, in_bytes
from gradegap.discovery.watch_schedule import POLLED_WAIT_BOUNDS_S


def rows(book: SlopeBook) -> list[Row]:
    """Returns the figures of discovery: calls, changed servers and full lists."""
    fixed, changed = book.at("list_bytes_delta", 0), book.at("list_bytes_delta", 1)
    whole, whole_2 = book.at("list_bytes_full", target.SERVERS), book.at("list_bytes_full", target.SERVERS_2)
    clock = "discovery/watch_schedule.py"
    calls = target.NODES / 10.0
    found = [
        Row(
            "ordinary hour",
            "calls",
            f"{figure(calls)}/s, {in_bytes(calls * fixed.value)}/s",
            f"{target.NODES:,} nodes, a call each 10 s; {fixed.derivation}; at most each "
            f"{POLLED_WAIT_BOUNDS_S[0]:g} s",
            clock,
        ),
        Row(
            "ordinary hour",
            "a server told anew",
            f"{in_bytes(target.NODES * changed.value)}, {figure(target.NODES)} answers",
            changed.derivation,
            clock,
        ),
    ]
    for what, nodes in (*NODE_LOSSES, ("every node", float(target.NODES))):
        found.append(
            Row(
                f"worst: {what} starts, or discovery changes over there",
                "whole lists",
                f"{in_bytes(nodes * whole.value)} within a second",
                f"{figure(nodes)} × {in_bytes(whole.value)}; {in_bytes(nodes * whole_2.value)} with "
                f"{target.SERVERS_2:,} servers; spread over 1 s at most",
                clock,
            )
        )
    return found
