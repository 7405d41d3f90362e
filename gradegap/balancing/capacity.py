"""How many connections fill a server, learned from the load reports of all of them. It decides nothing."""

from __future__ import annotations

import math
from collections.abc import Sequence
from statistics import median_low
from typing import Protocol

from gradegap.balancing.settings import Settings

LOOK_EVERY = 0.25  # s between two looks at what is known of the servers
SURE_FROM = 3.0  # connections from which a report says what one adds: a group's cost hides it in fewer
SMALLEST = 1e-9  # of a size or a load, which lists and reports may give as 0


class Server(Protocol):
    """What is read of a server here."""

    size: float
    started_at: float
    load_per_connection: float  # what one connection adds to its load over its present capacity; 0: not known
    last_report: tuple[float | None, float | None]  # its last report: load, and connections


class Capacity:
    """What one connection adds to the load of a server, as far as it follows from the servers' sizes.

    The lower middle of what servers report is taken. A server that hangs reports many times its load, which
    the mean of few servers would follow, and one that holds few connections reports too much for each.
    """

    __slots__ = ("cold_count", "looked_at", "mean_size", "per_size")

    def __init__(self) -> None:
        self.looked_at = -math.inf
        self.per_size = 0.0  # what a connection adds to the load of a server of size 1; 0: not known
        self.mean_size = 0.0  # of the ready servers
        self.cold_count = 0  # of them

    def look(self, now: float, ready: Sequence[Server], settings: Settings) -> None:
        """Looks at what is known of the servers, unless it did so just now.

        Servers that hold a few connections tell it surely, then any warm ones. Where those tell nothing, the
        others do: what a connection adds is then overestimated.
        """
        if now - self.looked_at < LOOK_EVERY or not ready:
            return
        self.looked_at = now
        self.mean_size = sum(server.size for server in ready) / len(ready)
        warm = [server for server in ready if not is_cold(server, now, settings)]
        self.cold_count = len(ready) - len(warm)
        sure = [server for server in warm if (server.last_report[1] or 0.0) >= SURE_FROM]
        told = _units(sure) or _units(warm)
        if not told and not self.per_size:
            told = _units(ready)
        if told:
            self.per_size = median_low(told)

    def unit(self, size: float) -> float:
        """Returns what one connection adds to the load of a warm server of this size; 0: not known."""
        return self.per_size / max(size, SMALLEST)

    def filled_by(self) -> float:
        """Returns how many connections fill a warm server of the mean size; 0: not known."""
        return self.mean_size / self.per_size if self.per_size > SMALLEST else 0.0

    def present_share(self, server: Server, now: float, settings: Settings) -> float:
        """Returns what a cold server surely bears now, of an even share.

        That is its capacity by the slowest ramp there may be, and less where it is smaller than the others. A
        larger one gets no more for it: sizes may be rough.
        """
        grown = max(0.0, now - server.started_at) / settings.slow_start_time
        capacity = settings.slow_start_share + (1.0 - settings.slow_start_share) * grown
        return capacity * min(1.0, server.size / self.mean_size) if self.mean_size > 0.0 else capacity


def _units(servers: Sequence[Server]) -> list[float]:
    return [
        server.load_per_connection * server.size for server in servers if server.load_per_connection > 0.0
    ]


def is_cold(server: Server, now: float, settings: Settings) -> bool:
    """Returns whether a server may still be cold; a start ahead of our clock counts as one just now."""
    return server.started_at > 0.0 and now - server.started_at < settings.slow_start_time
