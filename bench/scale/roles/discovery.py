"""Discovery, as nodes call it."""

from __future__ import annotations

from bench.scale import target as t
from bench.scale.rates import GONE
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure, in_bytes
from gradegap.discovery.watch_schedule import POLLED_WAIT_BOUNDS_S


def rows(book: SlopeBook) -> list[Row]:
    """Discovery as it is asked."""
    fixed, changed = book.at("list_bytes_delta", 0), book.at("list_bytes_delta", 1)
    whole, whole_2 = book.at("list_bytes_full", t.SERVERS), book.at("list_bytes_full", t.SERVERS_2)
    clock = "discovery/watch_schedule.py"
    calls = t.NODES / 10.0
    found = [
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
        found.append(
            Row(
                f"worst: {what} starts, or discovery changes over there",
                "whole lists",
                f"{in_bytes(nodes * whole.value)} within a second",
                f"{figure(nodes)} × {in_bytes(whole.value)}; {in_bytes(nodes * whole_2.value)} with "
                f"{t.SERVERS_2:,} servers; spread over 1 s at most",
                clock,
            )
        )
    return found
