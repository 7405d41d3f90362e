"""Writes the tables of docs/CAPACITY.md from the committed results, between their markers.

python -m bench.scale.page            # writes
python -m bench.scale.page --check    # fails where page and results differ
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer

from bench.scale import full_size, reached_limits, roles, target, verdicts
from bench.scale.fit import Linear
from bench.scale.results_file import RESULTS, Measurement
from bench.scale.slope_book import MissingResultError, SlopeBook, figure, in_bytes, share

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
_TABLE = re.compile(r"(<!-- table: ([a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL)

app = typer.Typer(add_completion=False, help=__doc__)


class PageError(Exception):
    """The page has a table marker that can't be filled."""


def table(head: list[str], rows: list[list[str]]) -> str:
    """Returns a Markdown table; a `|` in a cell becomes `/`."""
    lines = [head, ["---"] * len(head), *rows]
    return "".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |\n" for line in lines)


def _points(each: Measurement) -> str:
    return "; ".join(
        f"{figure(point.size)}: {figure(point.median)} "
        f"({figure(point.low)} to {figure(point.high)}; {point.repeats})"
        for point in each.points
    )


def _fit(each: Measurement) -> str:
    if isinstance(each.fit, Linear):
        line = f"{figure(each.fit.offset)} + {each.fit.slope:.3g} × size (± {each.fit.slope_error:.2g})"
        off = figure(each.fit.largest_residual)
    else:
        before, last = each.points[-2:]
        step = math.log(last.median / before.median) / math.log(last.size / before.size)
        line = f"{each.fit.factor:.3g} × size^{each.fit.exponent:.2f}, ^{step:.2f} over the last step"
        off = share(each.fit.largest_residual)
    return f"{line}; R² {each.fit.r2:.3f}; off by {off} at most"


def slopes_table(book: SlopeBook, part: str) -> str:
    """Returns the table of one run of the microbenchmarks.

    Raises:
        MissingResultError: no result of `part` is committed.
    """
    run = book.runs.get(part)
    if run is None:
        raise MissingResultError(f"there is no results/slopes-{part}.json")
    rows = [
        [f"`{each.name}`", f"{each.how}; {each.unit} over {each.size}", _points(each), _fit(each)]
        for each in run.measurements
    ]
    head = ["Name", "What, unit, size", "Size: median (lowest to highest; repeats)", "Fit"]
    note = f" {run.note}." if run.note else ""
    heading = f"Revision {run.program}, seed {run.seed}, Python {run.python}, {run.cores} cores.{note}\n\n"
    return heading + table(head, rows)


def _module(names: str) -> str:
    return ", ".join(f"`{name}`" if name.endswith(".py") else name for name in names.split(", "))


def role_table(book: SlopeBook, role: str) -> str:
    """Returns the table of the figures of one role."""
    rows = [
        [row.moment, row.quantity, row.value, row.derivation, _module(row.module)]
        for row in roles.ROLES[role](book)
    ]
    return table(["Moment", "What", "Figure", "Worked out", "Carried by"], rows)


def limits_table(book: SlopeBook) -> str:
    """Returns the table of all limits, the limit reached first at the top."""
    rows = [
        [
            str(place),
            limit.what,
            share(limit.target_share),
            limit.reached_at,
            limit.derivation,
            _module(limit.module),
        ]
        for place, limit in enumerate(reached_limits.reached_limits(book), 1)
    ]
    return table(["", "Limit", "Met at this part of the target", "That is", "Worked out", "Module"], rows)


def full_size_table(folder: Path) -> str:
    """Returns the table of all committed runs of hollow nodes."""
    rows = []
    for name, run in full_size.control_runs(folder).items():
        busiest = full_size.busiest_machine_share(run)
        level = run.level_again_s or {}
        rows.append(
            [
                f"`{name}`",
                f"{run.nodes:,} nodes, {run.servers:,} servers, {run.control_machines} machines, "
                f"{run.mechanism}, fault: {run.fault}, {figure(run.seconds)} s, {full_size.clock(run)}, "
                f"day faster {figure(run.acceleration)} times",
                f"{figure(run.in_force_s['p50'])}, {figure(run.in_force_s['p99'])}, "
                f"{figure(run.in_force_s['max'])} s of {run.changes} changes",
                str(run.missing),
                f"{in_bytes(run.control_bytes_per_node_s['mean'])}, "
                f"{in_bytes(run.control_bytes_per_node_s['max'])}",
                f"{share(run.node_core_share['mean'])}, {share(run.node_core_share['max'])}",
                in_bytes(full_size.node_memory(run)),
                share(busiest) if busiest is not None else "not measured",
                f"{figure(float(level['max']))} s" if "max" in level else "-",
            ]
        )
    head = ["Run", "What", "In force: p50, p99, largest", "Missing", "Bytes/s a node: mean, largest"]
    head += ["Core a node: mean, largest", "Memory of a node's control side"]
    head += ["Busiest control machine, of a core", "Level again after the fault, largest"]
    if full_size.ordinary_day(full_size.control_runs(folder)) is None:
        rows.append([full_size.NOT_RUN, "1,600 nodes over subscriptions, no fault", *["-"] * 7])
    return table(head, rows)


def assumptions_table() -> str:
    """Returns the table of figures not given by operations: the assumed value and a second value."""
    rows = [
        ["save servers", f"{target.SERVERS}", f"{target.SERVERS_2:,}"],
        [
            "connections of a save server",
            figure(target.CONNECTIONS_PER_SERVER),
            figure(target.CONNECTIONS / target.SERVERS_2),
        ],
        [
            "groups that begin at a save server",
            figure(target.GROUPS / target.SERVERS),
            figure(target.GROUPS / target.SERVERS_2),
        ],
        [
            "lines/s of a save server",
            figure(target.LINES_PER_S / target.SERVERS),
            figure(target.LINES_PER_S / target.SERVERS_2),
        ],
        ["bytes of a line", str(target.LINE_BYTES), str(target.LINE_BYTES_2)],
        ["mean life of a connection", "1 hour", "10 minutes"],
        ["arrivals/s of a node", figure(target.ARRIVALS_PER_NODE), figure(target.ARRIVALS_PER_NODE_2)],
        ["keys of configuration, some 50 bytes each", f"{target.KEYS:,}", f"{target.KEYS_2:,}"],
        [
            "servers that the list tells anew a day",
            f"{target.LIST_CHANGES_PER_DAY:,}",
            f"{target.LIST_CHANGES_PER_DAY_2:,}",
        ],
        ["round trip between regions", f"{target.REGION_RTT_MS:g} ms", f"{target.REGION_RTT_MS_2:g} ms"],
        ["the fullest node, and the largest zone, over the mean", f"{target.SKEW:g}", "4"],
        ["nodes of a rack", str(target.RACK_NODES), "80"],
    ]
    return table(["What", "Assumed", "Second value"], rows)


def tables(folder: Path = RESULTS) -> dict[str, Callable[[], str]]:
    """Returns the function that renders each table, by table name."""
    book = SlopeBook(folder)
    writers: dict[str, Callable[[], str]] = {
        "assumptions": assumptions_table,
        "full-size": lambda: full_size_table(folder),
        "limits": lambda: limits_table(book),
        "verdicts": lambda: table(
            ["Line of the letter", "Verdict", "Figure"],
            [
                [entry.requirement, entry.verdict, entry.figure]
                for entry in verdicts.verdicts(book, full_size.control_runs(folder))
            ],
        ),
    }
    for part in ("module", "list", "store", "observer", "connections", "lines", "stops", "probes"):
        writers[f"slopes-{part}"] = lambda part=part: slopes_table(book, part)  # type: ignore[misc]
    for role in roles.ROLES:
        writers[role] = lambda role=role: role_table(book, role)  # type: ignore[misc]
    return writers


def fill_tables(page: str, writers: dict[str, Callable[[], str]]) -> str:
    """Returns the page with each table rendered from the results.

    Raises:
        PageError: a marker names an unknown table, has no end, or can't be parsed.
    """

    def fill(match: re.Match[str]) -> str:
        name = match[2]
        if name not in writers:
            raise PageError(f"no table is called {name!r}; there are {', '.join(sorted(writers))}")
        return f"{match[1]}{writers[name]()}{match[3]}"

    if page.count("<!-- table: ") != len(_TABLE.findall(page)):
        raise PageError("a table's marker has no `<!-- end -->`, or a name that can't be read")
    return _TABLE.sub(fill, page)


@app.callback(invoke_without_command=True)
def page(
    check: Annotated[bool, typer.Option("--check", help="Fail where the page differs.")] = False,
    path: Annotated[Path, typer.Option("--page", help="The page.")] = PAGE,
) -> None:
    """Writes the page's tables, or checks them."""
    try:
        old = path.read_text()
        new = fill_tables(old, tables())
    except (OSError, PageError, MissingResultError) as error:
        typer.echo(f"{path.name}: {error}", err=True)
        raise typer.Exit(2) from None
    if new == old:
        return
    if check:
        typer.echo(
            f"{path.name} differs from bench/scale/results: run `python -m bench.scale.page`", err=True
        )
        raise typer.Exit(1)
    path.write_text(new)


if __name__ == "__main__":
    app()
