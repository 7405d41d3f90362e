"""What README.md, the on-call page and the operators' pages name: commands, modules, files, counters."""

from __future__ import annotations

import ast
import importlib.util
import re
import shlex
import subprocess
import sys
from collections.abc import Callable, Iterator
from functools import cache
from pathlib import Path
from typing import Any

import pytest

from tests.compatibility import source_scan, surface

ROOT = Path(__file__).resolve().parent.parent
PAGES = [ROOT / "README.md", ROOT / "docs" / "oncall.md", *sorted((ROOT / "docs" / "operators").glob("*.md"))]
COMMANDS: dict[str, Any] = surface.commands()
GROUPS = frozenset(path.split()[1] for path in COMMANDS if " " in path)
TAKE_MANY = frozenset({"gradegap capture merge"})
RECORDING = "tests/captures/rolling_deploy.ggc"

LINE = re.compile(r"(?:[A-Z_]+=\S+ )*(?:(?:\S*/)?python -m )?gradegap(?: (?P<arguments>.*))?")
FENCED = re.compile(r"```(?:shell|text)?\n(.*?)```", re.S)
INDENTED = re.compile(r"^ {4,}\S.*", re.M)
CODE = re.compile(r"`([^`\n]+(?:\n[^`\n]+)?)`")
COUNTER = re.compile(r"[a-z][a-z0-9]*(?:_[a-z0-9]+)*(?:_(?:[A-Z]+|\.\.\.))?(?:=\d+)?")
SAVE_SERVERS_REASONS = frozenset({"fenced"})  # of an `X` line, docs/design/resume.md
COUNTER_COLUMNS = frozenset({"counter", "what shows", "name"})
COMMANDS_HEADER = "`python -m gradegap ...`"
LOG_EVENT = re.compile(r"[a-z]+(?:,? [a-z]+)+")


def _in_columns(page: Path, is_wanted: Callable[[str], bool]) -> Iterator[str]:
    """What a page's tables have in backticks, in the columns whose header is wanted."""
    columns: list[int] | None = None
    for line in page.read_text().splitlines():
        if not line.strip().startswith("|"):
            columns = None
            continue
        cells = re.split(r"(?<!\\)\|", line.strip())[1:-1]
        if columns is None:
            columns = [k for k, cell in enumerate(cells) if is_wanted(cell.strip())]
        for k in columns:
            yield from CODE.findall(cells[k])


def _in_full(text: str) -> Iterator[str]:
    """Each command line of one that gives alternatives: `config schema|diff REV` names two of one group."""
    group = text.split()[0]
    for k, alternative in enumerate(text.replace("\\|", "|").split("|")):
        yield alternative.strip() if k == 0 else f"{group} {alternative.strip()}"


def _lines(page: Path) -> Iterator[tuple[str, bool]]:
    """Arguments of the program on a page, and whether they stand in a block, so whole."""
    text = page.read_text()
    blocks = [line for block in FENCED.findall(text) for line in block.splitlines()]
    for line in blocks + INDENTED.findall(text):
        found = LINE.fullmatch(line.partition("  #")[0].strip())
        if found and found["arguments"]:
            yield found["arguments"], True
    in_tables = {
        " ".join(code.split()) for code in _in_columns(page, lambda header: header == COMMANDS_HEADER)
    }
    for code in CODE.findall(text):
        bare = " ".join(code.split())
        found = LINE.fullmatch(bare)
        arguments = (found["arguments"] or "...") if found else bare
        if arguments in {"...", COMMANDS_HEADER} or arguments.startswith("--"):
            continue
        if found or bare in in_tables or (" " in bare and bare.split()[0] in GROUPS):
            yield from ((each, False) for each in _in_full(arguments))


FOUND = [
    pytest.param(arguments, whole, id=f"{page.stem}: {arguments}")
    for page in [*PAGES, *sorted((ROOT / "deploy").glob("*.toml"))]
    for arguments, whole in dict.fromkeys(_lines(page))
]


def _command_of(tokens: list[str]) -> tuple[str, list[str]]:
    """The longest command that the tokens begin with, and what follows."""
    path = "gradegap"
    while tokens and f"{path} {tokens[0]}" in COMMANDS:
        path, tokens = f"{path} {tokens[0]}", tokens[1:]
    return path, tokens


def _is_placeholder(value: str) -> bool:
    return value.isupper()


@pytest.mark.parametrize(("arguments", "whole"), FOUND)
def test_a_command_line_of_a_page_is_one_of_the_program(arguments: str, whole: bool) -> None:
    path, rest = _command_of(shlex.split(arguments.replace("[", "").replace("]", "")))
    assert path != "gradegap", "no such command"
    options = {
        name: described for names, described in COMMANDS[path]["options"].items() for name in names.split()
    }
    given: set[str] = set()
    positional: list[str] = []
    tokens = iter(rest)
    for token in tokens:
        if not token.startswith("--"):
            positional.append(token)
            continue
        assert token in options, f"{path} has no {token}"
        given.add(token)
        if options[token]["type"] != "bool":
            value = next(tokens)
            assert not value.startswith("--"), f"{token} takes a value"
            if options[token]["type"] in {"int", "float"} and not _is_placeholder(value):
                float(value)
    described = COMMANDS[path]["arguments"]
    assert len(positional) <= len(described) or path in TAKE_MANY
    if whole:
        assert len(positional) >= sum(each["required"] for each in described)
        required = {name for name, each in options.items() if each["required"]}
        assert required <= given


def test_pages_show_commands() -> None:
    assert len(FOUND) > 30


# Commands that need no node, so are run; and what stands for a page's placeholders.
RUN = re.compile(r"version|check --.*|config schema|(?:explain|whatif|replay|capture \w+) .*")
SAMPLES = {
    "config.json": "tests/compatibility/files/config.json",
    "KEY": "tests/compatibility/files/config.json",  # any file of 16 bytes or more
    "FILE": RECORDING,
    "REQ": "9",
    "N": "9",
    "ID": "s-1",
    "CLOCK": "1796198108.67",  # the start of the recording
}
FROM_TO = {"--from": "1", "--to": "5"}  # of `capture cut`, in s
SAME_DECISIONS = """
from gradegap.balancing.balancer import Balancer as Original

class Balancer(Original):
    pass
"""
NO_DECISIONS = SAME_DECISIONS.replace("pass", "def handle(self, now, event):\n        return []")


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "gradegap", *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=120,
        check=False,
    )


@pytest.fixture
def candidate(tmp_path: Path) -> Path:
    """A file for `--module` that decides as the program does."""
    path = tmp_path / "candidate.py"
    path.write_text(SAME_DECISIONS)
    return path


@pytest.mark.parametrize(
    "arguments",
    sorted({arguments for page in PAGES for arguments, _ in _lines(page) if RUN.fullmatch(arguments)}),
)
def test_a_command_that_needs_no_node_runs_as_its_page_shows_it(
    arguments: str, candidate: Path, tmp_path: Path
) -> None:
    tokens = shlex.split(arguments.replace("[", "").replace("]", ""))
    filled, before = [], ""
    for token in tokens:
        if before == "--out":
            filled.append(str(tmp_path / token))
        elif token == "S":
            filled.append(FROM_TO[before])
        else:
            filled.append(str(candidate) if token == candidate.name else SAMPLES.get(token, token))
        before = token
    done = run(*filled)
    assert (done.returncode, done.stderr) == (0, "")
    assert done.stdout or "--out" in filled
    assert "--out" not in filled or Path(filled[filled.index("--out") + 1]).stat().st_size


def test_a_replay_exits_with_1_at_the_first_other_decision_and_shows_it(candidate: Path) -> None:
    candidate.write_text(NO_DECISIONS)
    done = run("replay", RECORDING, "--module", str(candidate))
    assert done.returncode == 1
    assert "recorded: " in done.stdout
    assert "replayed: nothing" in done.stdout


def test_a_configuration_that_can_t_be_used_is_one_line_and_an_exit_that_is_not_zero() -> None:
    done = run("check", "--config", "Makefile")
    assert done.returncode != 0
    assert done.stderr.count("\n") == 1


def test_a_call_that_can_t_be_made_exits_with_2() -> None:
    done = run("store", "status", "--node", "127.0.0.1:1")
    assert (done.returncode, done.stderr.count("\n")) == (2, 1)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_modules_and_files_that_a_page_names_exist(page: Path) -> None:
    text = page.read_text()
    for module in re.findall(r"python\s+-m\s+([\w.]+)", text):
        assert importlib.util.find_spec(module), module
    for path in re.findall(r"`((?:gradegap|bench|deploy|docs|tests)/[\w./*-]+)`", text):
        assert any(ROOT.glob(path.rstrip("/"))), path
    for path in re.findall(r"`(test_[\w*]+\.py)`", text):
        assert any((ROOT / "tests").glob(path)), path
    for name in re.findall(r"`(gradegap(?:\.\w+)+)`", text):
        package, _, last = name.rpartition(".")
        assert hasattr(importlib.import_module(package), last) or importlib.util.find_spec(name), name


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_links_of_a_page_lead_to_files(page: Path) -> None:
    paths = re.findall(r"\]\(([^)#:]+)\)", page.read_text())
    assert paths
    for path in paths:
        assert (page.parent / path).exists(), path


@cache
def _endings() -> frozenset[str]:
    """What may end a counter's name that is put together: texts of the source, and names of enums."""
    trees = [ast.parse(path.read_text()) for path in (ROOT / "gradegap").rglob("*.py")]
    nodes = [node for tree in trees for node in ast.walk(tree)]
    texts = {n.value for n in nodes if isinstance(n, ast.Constant) and isinstance(n.value, str)}
    members = {
        t.id.lower() for n in nodes if isinstance(n, ast.Assign) for t in n.targets if isinstance(t, ast.Name)
    }
    return frozenset(texts | members | SAVE_SERVERS_REASONS)


def _is_counted(name: str) -> bool:
    name = name.partition("=")[0]
    if name in source_scan.counters():
        return True
    for counter in source_scan.counters():
        beginning = counter.removesuffix("{}")
        if counter.endswith("{}") and name.startswith(beginning):
            ending = name.removeprefix(beginning)
            if ending.isupper() or ending == "..." or ending in _endings():
                return True
    return False


def _counters_in_tables(page: Path) -> Iterator[str]:
    cells = _in_columns(page, COUNTER_COLUMNS.__contains__)
    return (name for name in cells if COUNTER.fullmatch(name))


TABLED = [
    pytest.param(name, id=f"{page.stem}: {name}")
    for page in PAGES
    for name in dict.fromkeys(_counters_in_tables(page))
    if page.stem != "README"  # its one table of names has QUIC's codes
]


@pytest.mark.parametrize("name", TABLED)
def test_a_counter_in_a_page_s_table_is_one_that_the_code_counts(name: str) -> None:
    assert _is_counted(name)


def test_pages_have_counters_in_tables() -> None:
    assert len(TABLED) > 60


def test_what_the_code_does_not_count_is_found() -> None:
    assert not _is_counted("handovers_begun")
    assert not _is_counted("answered_nonsense")
    assert _is_counted("answered_refused")


LOGGED = [
    pytest.param(event, id=f"{page.stem}: {event}")
    for page in PAGES
    for event in dict.fromkeys(" ".join(code.split()) for code in CODE.findall(page.read_text()))
    if LOG_EVENT.fullmatch(event) and event.split()[0] not in GROUPS | {"gradegap", "make"}
]


@pytest.mark.parametrize("event", LOGGED)
def test_a_log_event_that_a_page_quotes_is_a_text_of_the_source(event: str) -> None:
    assert event in _endings()


def test_pages_quote_log_events() -> None:
    assert len(LOGGED) > 10


CALLS = [
    pytest.param(method.strip() or "GET", path, id=f"{page.stem}: {method}{path}")
    for page in PAGES
    for method, path in re.findall(r"(PUT |GET )?(?:http://\$C)?(/control/[\w/-]+)`", page.read_text())
]


@pytest.mark.parametrize(("method", "path"), CALLS)
def test_a_call_of_the_admin_api_on_a_page_has_a_route(method: str, path: str) -> None:
    called = surface.admin_call(method, path)
    assert called[0] in surface.OPERATIONS.values()
    assert called[1:] == (["ID"] if "/ID/" in path else [])


def test_pages_show_calls_of_the_admin_api() -> None:
    assert len(CALLS) > 6
