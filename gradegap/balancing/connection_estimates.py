"""What the list's live weights tell of a server, between two of its own reports. It decides nothing.

Where settings say that weights are live, a weight is the server's size over (1 + connections held for each
core), renewed every second or less, late, and the same for every proxy. A proxy that knows a server's size
and cores reads from it how many connections all proxies together have put there, without a probe. Sizes come
with the first list, where the weight is that of an empty server; cores are told nowhere, and are learned from
reports that say how many connections there are.
"""

from __future__ import annotations

LEAST_BUSY = 0.5  # connections for each core from which a weight says how many cores there are
LEAST_HELD = 4.0  # connections that a report must count for it
LEARN = 0.2  # part of a new report in what is known
CORES = (0.5, 64.0)  # what is learned is kept within; guards against a size that was never seen


def held(size: float, weight: float, cores: float) -> float:
    """Connections held by a server of this size (its weight when empty) that now weighs `weight`."""
    return max(0.0, cores * (size / max(weight, 1e-9) - 1.0))


def cores(known: float, size: float, weight: float, count: float | None) -> float:
    """What is known of a server's cores (0: nothing) after a report of `count` beside this weight."""
    busy = size / max(weight, 1e-9) - 1.0
    if count is None or count < LEAST_HELD or busy < LEAST_BUSY:
        return known
    seen = min(CORES[1], max(CORES[0], count / busy))
    return known + LEARN * (seen - known) if known else seen
