"""Microbenchmarks that measure costs over a size; the capacity page extrapolates from their fits.

    python -m bench.scale.slopes run --part list --json bench/scale/results/slopes-list.json

Each part takes less than two minutes. Results are medians of repeated measurements at three or more sizes,
with the spread of the repeats and a least-squares fit.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import structlog
import typer

from bench.scale import results_file, slopes_data, slopes_module, slopes_observer, slopes_probes, slopes_store
from bench.scale.results_file import Measurement

log = structlog.get_logger()
app = typer.Typer(add_completion=False, help=__doc__)
PARTS: dict[str, Callable[[int], list[Measurement]]] = {
    **slopes_module.PARTS,
    **slopes_store.PARTS,
    **slopes_observer.PARTS,
    **slopes_probes.PARTS,
    **slopes_data.PARTS,
}


def _log_fit(measurement: Measurement) -> None:
    points = ", ".join(f"{p.size:g}: {p.median:.4g}" for p in measurement.points)
    log.info(measurement.name, unit=measurement.unit, points=points, fit=measurement.fit)


@app.command()
def run(
    json: Annotated[Path, typer.Option(help="File to which the results are written.")],
    part: Annotated[str, typer.Option(help=f"One of {', '.join(PARTS)}.")],
    seed: Annotated[int, typer.Option(help="Seed of all random values.")] = 1,
    note: Annotated[str, typer.Option(help="Remark on the run, stored with the results.")] = "",
) -> None:
    """Measures one part and writes its points and fits."""
    if part not in PARTS:
        raise typer.BadParameter(
            f"{part!r} is not a part; expected one of {', '.join(PARTS)}", param_hint="--part"
        )
    if not json.parent.is_dir():
        raise typer.BadParameter(f"directory not found: {json.parent}", param_hint="--json")
    measurements = PARTS[part](seed)
    results_file.write(json, part, seed, measurements, note)
    for measurement in measurements:
        _log_fit(measurement)


@app.command()
def parts() -> None:
    """Prints the names of the parts."""
    typer.echo("\n".join(PARTS))


if __name__ == "__main__":
    app()
