"""A consistent hash ring of endpoints as a sorted list of points. No decision logic.

Consistent hashing (Karger et al., STOC 1997): each endpoint has `POINTS_PER_ENDPOINT` points on the ring. The
endpoints of a key are those of the points after the key's hash, in ascending order. An endpoint that joins or
leaves changes the order only for keys whose traversal passes its points, and proxies that share nothing but
the endpoint list agree on the order for every key.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from hashlib import blake2b

POINTS_PER_ENDPOINT = 16
"""Number of points of one endpoint on the ring.

More points would spread the keys of an endpoint that leaves more evenly, but make updates more expensive.
"""

Ring = list[tuple[int, str]]
"""Sorted pairs of a point, 0 to 2**64 - 1, and the name of its endpoint."""


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def _points(name: str) -> Ring:
    return [(_hash(f"{name}#{index}"), name) for index in range(POINTS_PER_ENDPOINT)]


def add(ring: Ring, name: str) -> None:
    """Adds an endpoint to the ring."""
    for point in _points(name):
        insort(ring, point)


def remove(ring: Ring, name: str) -> None:
    """Removes an endpoint from the ring; it must be on the ring."""
    for point in _points(name):
        del ring[bisect_left(ring, point)]


def order(ring: Ring, key: str, limit: int) -> list[str]:
    """Returns the first endpoints after the key's hash, in ring order, at most `limit` of them."""
    start = bisect_right(ring, (_hash(key), ""))
    names: dict[str, None] = {}
    for position in range(start, start + len(ring)):
        names[ring[position % len(ring)][1]] = None
        if len(names) >= limit:
            break
    return list(names)
