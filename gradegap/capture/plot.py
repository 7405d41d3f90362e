"""A recording as a picture: `pip install gradegap[plot]`. Not imported by a node."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from gradegap.balancing.actions import Action, Fail, Forward, Migrate, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    ConnectionEstablished,
    ConnectionInherited,
    Event,
    HealthCheckEnded,
    RequestArrived,
)
from gradegap.capture.recording import Item, Step

if TYPE_CHECKING:
    from matplotlib.axes import Axes

BIN_S = 0.25  # width of what is counted together
MAX_LEGEND_ENDPOINTS = 16
REQUESTS, FORWARDED, ESTABLISHED = "requests", "forwarded", "established"
REJECTED, MIGRATED = "rejected or failed", "migrated"
RATES = (REQUESTS, FORWARDED, ESTABLISHED, REJECTED, MIGRATED)


@dataclass(slots=True)
class Series:
    """What is drawn, by time in s from the first step."""

    end: float = 0.0  # time of the last step
    # Counts by bin, of each of `RATES`.
    counts: dict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    # Times and values by endpoint: its load reports, and this node's connections there.
    loads: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    connections: dict[str, list[tuple[float, int]]] = field(default_factory=lambda: defaultdict(list))


def series(source: Iterable[Item]) -> Series:
    """Count what a recording says; no I/O and no picture yet."""
    counter = _Counter()
    for item in source:
        if isinstance(item, Step):
            counter.step(item)
    return counter.found


class _Counter:
    """Counts what is drawn, step by step."""

    def __init__(self) -> None:
        self.found = Series()
        self.began_at: float | None = None
        self.established: dict[int, str] = {}  # endpoints of connections, by request
        self.held: Counter[str] = Counter()  # connections, by endpoint

    def step(self, step: Step) -> None:
        self.began_at = step.at if self.began_at is None else self.began_at
        self.found.end = step.at - self.began_at
        self._event(step.event)
        for action in step.actions:
            self._action(action)

    def _event(self, event: Event) -> None:
        match event:
            case RequestArrived():
                self._count(REQUESTS)
            case ConnectionEstablished():
                self._count(ESTABLISHED)
                self._establish(event.request_id, event.endpoint)
            case ConnectionInherited():
                self._establish(event.request.request_id, event.endpoint)
            case AttemptEnded():
                if (endpoint := self.established.pop(event.request_id, None)) is not None:
                    self._hold(endpoint, -1)
            case HealthCheckEnded() if event.report is not None:
                load = event.report.get("x0", event.report.get("inflight"))
                if load is not None:
                    self.found.loads[event.endpoint].append((self.found.end, load))
            case _:
                pass

    def _action(self, action: Action) -> None:
        match action:
            case Forward():
                self._count(FORWARDED)
            case Reject() | Fail():
                self._count(REJECTED)
            case Migrate():
                self._count(MIGRATED)
            case _:
                pass

    def _count(self, name: str) -> None:
        self.found.counts[name][int(self.found.end / BIN_S)] += 1

    def _establish(self, request_id: int, endpoint: str) -> None:
        self.established[request_id] = endpoint
        self._hold(endpoint, 1)

    def _hold(self, endpoint: str, change: int) -> None:
        self.held[endpoint] += change
        self.found.connections[endpoint].append((self.found.end, self.held[endpoint]))


def draw(source: Iterable[Item], path: str, title: str) -> None:
    """Write the picture; its ending says of which kind. `ModuleNotFoundError` without matplotlib."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    found = series(source)
    figure, (rates, connections, loads) = pyplot.subplots(
        3, 1, figsize=(11, 10), sharex=True, layout="constrained"
    )
    _draw_rates(rates, found)
    _draw_endpoints(connections, found.connections, "connections of this node")
    _draw_endpoints(loads, found.loads, "reported load")
    loads.set_xlabel("s")
    figure.suptitle(title)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _draw_rates(axes: Axes, found: Series) -> None:
    bins = range(int(found.end / BIN_S) + 1)
    for name in RATES:
        counts = found.counts.get(name, Counter())
        rates = [counts[k] / BIN_S for k in bins]
        axes.plot([k * BIN_S for k in bins], rates, label=name, linewidth=1.2)
    axes.set_ylabel("a second")
    axes.legend(loc="upper right", fontsize="small")


def _draw_endpoints(axes: Axes, points: Mapping[str, list[tuple[float, Any]]], label: str) -> None:
    for endpoint, held in sorted(points.items()):
        times, values = [t for t, _ in held], [v for _, v in held]
        axes.step(times, values, where="post", label=endpoint, linewidth=1)
    axes.set_ylabel(label)
    if 0 < len(points) <= MAX_LEGEND_ENDPOINTS:
        axes.legend(loc="upper right", fontsize="x-small", ncols=4)
