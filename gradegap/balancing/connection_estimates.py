"""What the list's live weights say of an endpoint, between two of its own reports. It decides nothing.

Where settings say that weights are live, a weight is the endpoint's size over (1 + connections for each
core), renewed every second or less, late, and the same for every proxy. A proxy that knows an endpoint's size
and cores reads from it how many connections all proxies together have put there, without a health check.
Sizes come with the first list, where the weight is that of an empty endpoint; cores are given nowhere, and
are learned from reports that say how many connections there are.
"""

from __future__ import annotations

LEAST_CONNECTIONS_PER_CORE = 0.5
"""Connections for each core from which a weight says how many cores there are."""

LEAST_CONNECTIONS = 4.0
"""Connections that a report must count for that."""

CORES_GAIN = 0.2
"""Weight of a new report in the cores that are known."""

LEAST_CORES = 0.5
MOST_CORES = 64.0
"""Bounds of the cores that are learned: a size may never have been seen."""


def connections(size: float, weight: float, cores: float) -> float:
    """Returns the connections of an endpoint of this size (its weight when empty) and this weight now."""
    return max(0.0, cores * (size / max(weight, 1e-9) - 1.0))


def cores(known: float, size: float, weight: float, count: float | None) -> float:
    """Returns what is known of an endpoint's cores (0: nothing) after a report of `count` connections."""
    per_core = size / max(weight, 1e-9) - 1.0
    if count is None or count < LEAST_CONNECTIONS or per_core < LEAST_CONNECTIONS_PER_CORE:
        return known
    seen = min(MOST_CORES, max(LEAST_CORES, count / per_core))
    return known + CORES_GAIN * (seen - known) if known else seen
