"""A consistent hash ring of endpoints that all proxies read alike, as a sorted list of points.

It decides nothing. Consistent hashing (Karger et al., STOC 1997): each endpoint has `POINTS_PER_ENDPOINT`
places, a key's walk begins at its own place and goes upwards. What joins or leaves changes the walks that
pass its points and no others, and proxies that share no more than the endpoint list agree on every key's
order.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from hashlib import blake2b

POINTS_PER_ENDPOINT = 16
"""Places of an endpoint; more would spread the keys of one that leaves more evenly, and cost more to keep."""

Ring = list[tuple[int, str]]
"""Places in 0 to 2**64 - 1 with the endpoint of each, sorted."""


def _place(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def _points(name: str) -> Ring:
    return [(_place(f"{name}#{i}"), name) for i in range(POINTS_PER_ENDPOINT)]


def add(ring: Ring, name: str) -> None:
    """Puts an endpoint on the ring."""
    for point in _points(name):
        insort(ring, point)


def remove(ring: Ring, name: str) -> None:
    """Takes an endpoint off the ring, which must be on it."""
    for point in _points(name):
        del ring[bisect_left(ring, point)]


def order(ring: Ring, key: str, most: int) -> list[str]:
    """Returns the first `most` endpoints (fewer where there are fewer) on the key's walk, nearest first."""
    start = bisect_right(ring, (_place(key), ""))
    names: dict[str, None] = {}
    for position in range(start, start + len(ring)):
        names[ring[position % len(ring)][1]] = None
        if len(names) >= most:
            break
    return list(names)
