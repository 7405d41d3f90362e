"""A ring of servers that all proxies read alike, as a sorted list of points. It decides nothing.

Consistent hashing (Karger et al., STOC 1997): each server stands at `POINTS` places, a key's walk begins at
its own place and goes upwards. What joins or leaves changes the walks that pass its points and no others, and
proxies that share no more than the list of servers agree on every key's order.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from hashlib import blake2b

POINTS = 16  # places of a server; more spread a leaver's keys more evenly, and cost more to keep
Ring = list[tuple[int, str]]  # (place in 0 to 2**64 - 1, server), sorted


def _place(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def _points(name: str) -> Ring:
    return [(_place(f"{name}#{i}"), name) for i in range(POINTS)]


def add(ring: Ring, name: str) -> None:
    for point in _points(name):
        insort(ring, point)


def remove(ring: Ring, name: str) -> None:
    """Take out a server that is on the ring."""
    for point in _points(name):
        del ring[bisect_left(ring, point)]


def order(ring: Ring, key: str, most: int) -> list[str]:
    """The first `most` servers (fewer where there are fewer) on the key's walk, nearest first."""
    start = bisect_right(ring, (_place(key), ""))
    names: dict[str, None] = {}
    for k in range(start, start + len(ring)):
        names[ring[k % len(ring)][1]] = None
        if len(names) >= most:
            break
    return list(names)
