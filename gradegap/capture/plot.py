"""Draws charts of a recording; needs `pip install gradegap[plot]`. Not imported by a node."""

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

BIN_S = 0.25  # width of the bins in which events are counted
MAX_LEGEND_ENDPOINTS = 16
REQUESTS, FORWARDED, ESTABLISHED = "requests", "forwarded", "established"
REJECTED, MIGRATED = "rejected or failed", "migrated"
RATES = (REQUESTS, FORWARDED, ESTABLISHED, REJECTED, MIGRATED)


@dataclass(slots=True)
class Series:
    """The data of the charts; times in s from the first step."""

    end: float = 0.0  # time of the last step
    # Event counts by bin number, for each name in `RATES`.
    counts: dict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    # Times and values by endpoint: its reported loads, and the number of this node's connections to it.
    loads: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    connections: dict[str, list[tuple[float, int]]] = field(default_factory=lambda: defaultdict(list))


def series(source: Iterable[Item]) -> Series:
    """Computes the data of the charts from a recording; no I/O."""
    builder = _SeriesBuilder()
    for item in source:
        if isinstance(item, Step):
            builder.step(item)
    return builder.data


class _SeriesBuilder:
    """Computes the data of the charts step by step."""

    def __init__(self) -> None:
        self.data = Series()
        self.began_at: float | None = None
        self.established: dict[int, str] = {}  # endpoint of each established connection, by request id
        self.held: Counter[str] = Counter()  # number of connections, by endpoint

    def step(self, step: Step) -> None:
        self.began_at = step.at if self.began_at is None else self.began_at
        self.data.end = step.at - self.began_at
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
                    self.data.loads[event.endpoint].append((self.data.end, load))
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
        self.data.counts[name][int(self.data.end / BIN_S)] += 1

    def _establish(self, request_id: int, endpoint: str) -> None:
        self.established[request_id] = endpoint
        self._hold(endpoint, 1)

    def _hold(self, endpoint: str, change: int) -> None:
        self.held[endpoint] += change
        self.data.connections[endpoint].append((self.data.end, self.held[endpoint]))


def draw(source: Iterable[Item], path: str, title: str) -> None:
    """Writes the charts to `path`, whose extension gives the image format.

    Raises `ModuleNotFoundError` if matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    data = series(source)
    figure, (rates, connections, loads) = pyplot.subplots(
        3, 1, figsize=(11, 10), sharex=True, layout="constrained"
    )
    _draw_rates(rates, data)
    _draw_endpoints(connections, data.connections, "connections of this node")
    _draw_endpoints(loads, data.loads, "reported load")
    loads.set_xlabel("s")
    figure.suptitle(title)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _draw_rates(axes: Axes, data: Series) -> None:
    bins = range(int(data.end / BIN_S) + 1)
    for name in RATES:
        counts = data.counts.get(name, Counter())
        rates = [counts[bin_number] / BIN_S for bin_number in bins]
        axes.plot([bin_number * BIN_S for bin_number in bins], rates, label=name, linewidth=1.2)
    axes.set_ylabel("a second")
    axes.legend(loc="upper right", fontsize="small")


def _draw_endpoints(axes: Axes, points: Mapping[str, list[tuple[float, Any]]], label: str) -> None:
    for endpoint, series_points in sorted(points.items()):
        times, values = [time for time, _ in series_points], [value for _, value in series_points]
        axes.step(times, values, where="post", label=endpoint, linewidth=1)
    axes.set_ylabel(label)
    if 0 < len(points) <= MAX_LEGEND_ENDPOINTS:
        axes.legend(loc="upper right", fontsize="x-small", ncols=4)
