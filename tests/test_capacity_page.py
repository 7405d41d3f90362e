"""docs/CAPACITY.md and the committed results of bench/scale agree."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import pytest
from typer.testing import CliRunner

from bench.scale import page, reached_limits, verdict, verdicts
from bench.scale.fit import Linear, Power, linear, power
from bench.scale.full_size import NOT_RUN, control_runs, ordinary_day
from bench.scale.results_file import RESULTS, read
from bench.scale.slope_book import MissingResultError, SlopeBook
from bench.scale.slow_start_bound import SlowStartBound, slow_start_bound

LINES_OF_THE_LETTER = [
    "1,600 nodes",
    "100 million connections",
    "800,000 groups",
    "850,000",
    "12 million lines",
    "220 ms",
    "7 regions with 16 zones",
    "1,200 changes a day",
    "1.1% of a core",
    "256 MB",
    "3 KB",
    "6 control machines",
    "2 machines fail",
    "220 restarted",
    "a rack or switch",
    "a zone",
    "regions lose each other",
    "1,600 processes",
    "half of the memory",
    "what runs today",
]
ORDINARY_DAY = {
    "nodes": 1600,
    "servers": 600,
    "in_force_s": {"p50": 0.02, "p99": 0.31, "max": 0.62},
    "missing": 0,
    "control_bytes_per_node_s": {"mean": 412.0, "max": 633.0},
    "node_core_share": {"mean": 0.0021, "max": 0.0034},
    "node_control_bytes": {"mean": 90_000.0},
    "control_machines": 6,
}


@pytest.fixture
def results(tmp_path: Path) -> Path:
    """A copy of the committed slopes, without runs of hollow nodes."""
    folder = tmp_path / "results"
    folder.mkdir()
    for path in RESULTS.glob("slopes-*.json"):
        shutil.copy(path, folder)
    return folder


def test_the_page_is_what_the_results_give() -> None:
    done = CliRunner().invoke(page.app, ["--check"])
    assert done.exit_code == 0, done.output


def test_a_page_with_another_figure_is_refused_and_left_as_it_is(tmp_path: Path) -> None:
    changed = tmp_path / "CAPACITY.md"
    text = page.PAGE.read_text()
    line = next(line for line in text.splitlines() if line.startswith("| `connection_memory`"))
    changed.write_text(text.replace(line, line.replace("connections", "sessions", 1)))
    done = CliRunner().invoke(page.app, ["--check", "--page", str(changed)])
    assert done.exit_code == 1
    assert changed.read_text() != text
    assert CliRunner().invoke(page.app, ["--page", str(changed)]).exit_code == 0
    assert changed.read_text() == text


def test_results_that_change_change_the_page(results: Path) -> None:
    path = results / "slopes-connections.json"
    run = json.loads(path.read_text())
    memory = next(m for m in run["measurements"] if m["name"] == "connection_memory")
    memory["fit"]["slope"] *= 1.01
    path.write_text(json.dumps(run))
    made = page.tables(results)
    assert page.tables()["data-side"]() != made["data-side"]()
    assert page.tables()["slopes-store"]() == made["slopes-store"]()


@pytest.mark.parametrize(
    "text",
    [
        "<!-- table: nothing-like-it -->\n<!-- end -->",
        "<!-- table: limits -->\n",
        "<!-- table: Limits -->\n<!-- end -->",
    ],
)
def test_a_marker_that_cannot_be_filled_is_one_clear_error(text: str, tmp_path: Path) -> None:
    path = tmp_path / "CAPACITY.md"
    path.write_text(text)
    done = CliRunner().invoke(page.app, ["--page", str(path)])
    assert done.exit_code == 2
    assert path.read_text() == text
    with pytest.raises(page.PageError):
        page.fill_tables(text, page.tables())


def test_a_figure_without_a_run_is_an_error_and_not_a_gap(results: Path) -> None:
    (results / "slopes-store.json").unlink()
    with pytest.raises(MissingResultError, match="slopes-store"):
        page.tables(results)["slopes-store"]()
    with pytest.raises(MissingResultError):
        page.tables(results)["control-machine"]()


def test_full_size_runs_are_taken_where_they_are_and_said_not_to_be_where_not(results: Path) -> None:
    assert NOT_RUN in page.tables(results)["full-size"]()
    assert verdict.NOT_RUN in page.tables(results)["verdicts"]()
    (results / "control-1600.json").write_text(json.dumps(ORDINARY_DAY))
    (results / "control-60.json").write_text(json.dumps({**ORDINARY_DAY, "nodes": 60}))
    assert list(control_runs(results)) == ["control-60", "control-1600"]
    said = page.tables(results)["full-size"]()
    assert NOT_RUN not in said
    assert "`control-1600`" in said
    assert "0.62 s" in page.tables(results)["verdicts"]()


@pytest.mark.parametrize("other", [{"nodes": 400}, {"fault": "rack"}, {"mechanism": "members"}])
def test_only_a_whole_run_without_a_fault_is_the_ordinary_day(
    results: Path, other: dict[str, object]
) -> None:
    (results / "control-1600.json").write_text(json.dumps(ORDINARY_DAY | other))
    assert ordinary_day(control_runs(results)) is None


def test_a_limit_that_is_passed_is_told_with_its_factor(results: Path) -> None:
    passed = ORDINARY_DAY | {"control_bytes_per_node_s": {"mean": 5_000.0, "max": 6_000.0}, "missing": 3}
    (results / "control-1600.json").write_text(json.dumps(passed))
    told = {v.requirement: v.verdict for v in verdicts.verdicts(SlopeBook(results), control_runs(results))}
    assert told["control within 3 KB a second"].startswith("does not hold, by 2 times")
    assert told["1,200 changes a day, in force within 10 s"].startswith("does not hold: 3 missing;")


def test_changes_that_are_in_force_late_are_told_against_the_limit_and_the_aim(results: Path) -> None:
    late = ORDINARY_DAY | {"in_force_s": {"p50": 0.2, "p99": 6.5, "max": 8.3}}
    (results / "control-1600.json").write_text(json.dumps(late))
    told = {v.requirement: v.verdict for v in verdicts.verdicts(SlopeBook(results), control_runs(results))}
    said = told["1,200 changes a day, in force within 10 s"]
    assert said == "run at full size; 99 in 100 within 1 s, our own aim: does not hold, by 6.5 times"


def test_no_line_of_the_letter_is_left_out() -> None:
    lines = [v.requirement for v in verdicts.verdicts(SlopeBook(), control_runs())]
    assert [each for each in LINES_OF_THE_LETTER if not any(each in line for line in lines)] == []


def test_cold_servers_are_told_as_their_test_and_the_known_red_list_have_them(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    played = tmp_path / "tests" / "test_cold_ramp.py"
    played.write_text("PROCESSES = (30, 200)  # 31600 1.1600")
    assert slow_start_bound(tmp_path) == SlowStartBound(False, 200)
    played.write_text("PROCESSES = (30, 1_600)")
    (tmp_path / "KNOWN-RED.txt").write_text("tests/test_node.py::test_it | a cause | issue 1\n")
    assert slow_start_bound(tmp_path) == SlowStartBound(False, 1600)
    (tmp_path / "KNOWN-RED.txt").write_text("tests/test_cold_ramp.py::test_it | a cause | issue 1\n")
    assert slow_start_bound(tmp_path) == SlowStartBound(True, 1600)


def test_what_breaks_first_stands_first() -> None:
    parts = [limit.target_share for limit in reached_limits.reached_limits(SlopeBook())]
    assert parts == sorted(parts)
    assert parts[0] < 1.0


def test_each_slope_has_three_sizes_and_is_named_once() -> None:
    names: list[str] = []
    for path in sorted(RESULTS.glob("slopes-*.json")):
        run = read(path)
        names += [m.name for m in run.measurements]
        for each in run.measurements:
            assert len({p.size for p in each.points}) >= 3, each.name
            again = power(each.points) if isinstance(each.fit, Power) else linear(each.points)
            assert again == each.fit, f"{each.name}: its fit is not that of its points"
    assert len(names) == len(set(names))


def test_a_value_beyond_the_largest_measured_says_so(results: Path) -> None:
    book = SlopeBook(results)
    assert "times beyond the largest measured" in book.at("connection_memory", 62_500).derivation
    assert "beyond" not in book.at("connection_memory", 1_500).derivation
    fit = book.get("connection_memory").fit
    assert isinstance(fit, Linear)
    assert book.size_at("connection_memory", fit.at(777)) == pytest.approx(777)
