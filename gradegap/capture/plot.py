"""A capture as a picture: `pip install gradegap[plot]`. Not imported by a node."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from gradegap import interface as api
from gradegap.capture.replay import Item, Step

BIN = 0.25  # s


def series(source: Iterable[Item]) -> dict[str, Any]:
    """What is drawn, by time in s from the first step: reqs, draws and answers a bin, what stands and the
    load told by each server. No I/O and no picture yet."""
    began: float | None = None
    rates: dict[str, Counter[int]] = defaultdict(Counter)
    loads: dict[str, list[tuple[float, float]]] = defaultdict(list)
    held: dict[str, list[tuple[float, int]]] = defaultdict(list)
    count: Counter[str] = Counter()
    standing: dict[int, str] = {}
    end = 0.0

    def stands(ident: int, server: str, at: float) -> None:
        standing[ident] = server
        count[server] += 1
        held[server].append((at, count[server]))

    for item in source:
        if not isinstance(item, Step):
            continue
        began = item.at if began is None else began
        at = end = item.at - began
        k = int(at / BIN)
        match item.event:
            case api.Request():
                rates["reqs"][k] += 1
            case api.Established(id=ident, server=server):
                rates["stood"][k] += 1
                stands(ident, server, at)
            case api.Inherited(request=request, server=server):
                stands(request.id, server, at)
            case api.Outcome(id=ident):
                if (server := standing.pop(ident, "")) != "":
                    count[server] -= 1
                    held[server].append((at, count[server]))
            case api.ProbeResult(server=server, report=report) if report is not None:
                value = report.get("x0", report.get("inflight"))
                if value is not None:
                    loads[server].append((at, value))
            case _:
                pass
        for a in item.actions:
            match a:
                case api.Send():
                    rates["draws"][k] += 1
                case api.Refuse() | api.Fail():
                    rates["refused or failed"][k] += 1
                case api.Move():
                    rates["moved"][k] += 1
                case _:
                    pass
    return {"end": end, "rates": dict(rates), "loads": dict(loads), "held": dict(held)}


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
        for server, points in sorted(found[name].items()):
            axis.step([t for t, _ in points], [v for _, v in points], where="post", label=server, linewidth=1)
        axis.set_ylabel(label)
        if 0 < len(found[name]) <= 16:
            axis.legend(loc="upper right", fontsize="x-small", ncols=4)
    loads.set_xlabel("s")
    figure.suptitle(title)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
