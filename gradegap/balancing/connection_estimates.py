"""Connection counts inferred from live weights in the endpoint list. No decision logic.

If the settings say that weights are live, a weight is

    size / (1 + connections / cores)

where the size is the weight of the endpoint without connections. Discovery updates the weight at least once
per second, with a delay, and all proxies get the same value. From an endpoint's size, cores and weight, a
proxy infers how many connections all proxies together have on it, between two load reports and without a
health check. Sizes are read from the first list, whose weights are those of empty endpoints. Cores are not
given anywhere; they are learned from load reports that include the number of connections.
"""

from __future__ import annotations

MIN_CONNECTIONS_PER_CORE = 0.5
"""Number of connections per core below which a weight differs too little from the size to infer the cores."""

MIN_CONNECTION_COUNT = 4.0
"""Number of reported connections below which a report is not used to learn the cores."""

CORES_GAIN = 0.2
"""Weight of a new sample in the exponential moving average of the cores."""

MIN_CORE_COUNT = 0.5
MAX_CORE_COUNT = 64.0
"""Upper bound of the learned cores. They are wrong if the weight of the empty endpoint was never seen."""


def connections(size: float, weight: float, cores: float) -> float:
    """Returns the number of connections of an endpoint with this size and this current weight."""
    return max(0.0, cores * (size / max(weight, 1e-9) - 1.0))


def cores(known: float, size: float, weight: float, count: float | None) -> float:
    """Returns the updated estimate of an endpoint's cores after a load report.

    Args:
        known: The estimate so far; 0: none.
        size: The weight of the endpoint without connections.
        weight: The current weight.
        count: The reported number of connections; None: not reported.
    """
    connections_per_core = size / max(weight, 1e-9) - 1.0
    if count is None or count < MIN_CONNECTION_COUNT or connections_per_core < MIN_CONNECTIONS_PER_CORE:
        return known
    sample = min(MAX_CORE_COUNT, max(MIN_CORE_COUNT, count / connections_per_core))
    return known + CORES_GAIN * (sample - known) if known else sample
