"""A capture as a picture: `pip install gradegap[plot]`. Not imported by a node."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from gradegap.balancing.actions import Fail, Forward, Migrate, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    ConnectionEstablished,
    ConnectionInherited,
    HealthCheckEnded,
    RequestArrived,
)
from gradegap.capture.recording import Item, Step

BIN = 0.25  # s


def series(source: Iterable[Item]) -> dict[str, Any]:
    """What is drawn, by time in s from the first step; no I/O and no picture yet.

    Requests, draws and answers a bin, what stands, and the load told by each server.
    """
    found = _Series()
    for item in source:
        if isinstance(item, Step):
            found.see(item)
    return {
        "end": found.at,
        "rates": dict(found.rates),
        "loads": dict(found.loads),
        "held": dict(found.held),
    }


class _Series:
    """Counts what is drawn, step by step."""

    def __init__(self) -> None:
        self.began: float | None = None
        self.at = 0.0  # of the present step, s from the first one
        self.rates: dict[str, Counter[int]] = defaultdict(Counter)
        self.loads: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.held: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.count: Counter[str] = Counter()
        self.standing: dict[int, str] = {}

    def see(self, step: Step) -> None:
        self.began = step.at if self.began is None else self.began
        self.at = step.at - self.began
        self._see_event(step.event)
        for action in step.actions:
            self._see_action(action)

    def _see_event(self, event: Any) -> None:
        match event:
            case RequestArrived():
                self._rate("reqs")
            case ConnectionEstablished(request_id=ident, endpoint=endpoint):
                self._rate("stood")
                self._stands(ident, endpoint)
            case ConnectionInherited(request=request, endpoint=endpoint):
                self._stands(request.request_id, endpoint)
            case AttemptEnded(request_id=ident):
                if (endpoint := self.standing.pop(ident, "")) != "":
                    self._held(endpoint, -1)
            case HealthCheckEnded(endpoint=endpoint, report=report) if report is not None:
                value = report.get("x0", report.get("inflight"))
                if value is not None:
                    self.loads[endpoint].append((self.at, value))
            case _:
                pass

    def _see_action(self, action: Any) -> None:
        match action:
            case Forward():
                self._rate("draws")
            case Reject() | Fail():
                self._rate("refused or failed")
            case Migrate():
                self._rate("moved")
            case _:
                pass

    def _rate(self, name: str) -> None:
        self.rates[name][int(self.at / BIN)] += 1

    def _stands(self, ident: int, endpoint: str) -> None:
        self.standing[ident] = endpoint
        self._held(endpoint, 1)

    def _held(self, endpoint: str, change: int) -> None:
        self.count[endpoint] += change
        self.held[endpoint].append((self.at, self.count[endpoint]))


def draw(source: Iterable[Item], path: str, title: str) -> None:
    """Write the picture; its ending says of which kind. `ModuleNotFoundError` without matplotlib."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    found = series(source)
    figure, (rates, held, loads) = pyplot.subplots(3, 1, figsize=(11, 10), sharex=True, layout="constrained")
    bins = range(int(found["end"] / BIN) + 1)
    for name in ("reqs", "draws", "stood", "refused or failed", "moved"):
        counts = found["rates"].get(name, {})
        rates.plot([k * BIN for k in bins], [counts.get(k, 0) / BIN for k in bins], label=name, linewidth=1.2)
    rates.set_ylabel("a second")
    rates.legend(loc="upper right", fontsize="small")
    for axis, name, label in ((held, "held", "connections of this node"), (loads, "loads", "load as told")):
        for endpoint, points in sorted(found[name].items()):
            axis.step(
                [t for t, _ in points], [v for _, v in points], where="post", label=endpoint, linewidth=1
            )
        axis.set_ylabel(label)
        if 0 < len(found[name]) <= 16:
            axis.legend(loc="upper right", fontsize="x-small", ncols=4)
    loads.set_xlabel("s")
    figure.suptitle(title)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
