"""Commands, modules, files and counters that README.md, the on-call and the operators' pages name exist."""

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
VARIADIC_COMMANDS = frozenset({"gradegap capture merge"})
RECORDING = "tests/captures/rolling_deploy.ggc"

LINE = re.compile(r"(?:[A-Z_]+=\S+ )*(?:(?:\S*/)?python -m )?gradegap(?: (?P<arguments>.*))?")
FENCED = re.compile(r"```(?:shell|text)?\n(.*?)```", re.S)
INDENTED = re.compile(r"^ {4,}\S.*", re.M)
CODE = re.compile(r"`([^`\n]+(?:\n[^`\n]+)?)`")
COUNTER = re.compile(r"[a-z][a-z0-9]*(?:_[a-z0-9]+)*(?:_(?:[A-Z]+|\.\.\.))?(?:=\d+)?")
SAVE_SERVERS_REASONS = frozenset({"fenced"})  # reasons in an `X` line, docs/design/resume.md
COUNTER_COLUMNS = frozenset({"counter", "what shows", "name"})
COMMANDS_HEADER = "`python -m gradegap ...`"
LOG_EVENT = re.compile(r"[a-z]+(?:,? [a-z]+)+")


def _code_in_columns(page: Path, is_wanted: Callable[[str], bool]) -> Iterator[str]:
    """Texts in backticks from the table columns of a page whose header is wanted."""
    columns: list[int] | None = None
    for line in page.read_text().splitlines():
        if not line.strip().startswith("|"):
            columns = None
            continue
        cells = re.split(r"(?<!\\)\|", line.strip())[1:-1]
        if columns is None:
            columns = [column for column, cell in enumerate(cells) if is_wanted(cell.strip())]
        for column in columns:
            yield from CODE.findall(cells[column])


def _split_alternatives(text: str) -> Iterator[str]:
    """Split a command line with alternatives: `config schema|diff REV` stands for two commands."""
    group = text.split()[0]
    for index, alternative in enumerate(text.replace("\\|", "|").split("|")):
        yield alternative.strip() if index == 0 else f"{group} {alternative.strip()}"


def _command_lines(page: Path) -> Iterator[tuple[str, bool]]:
    """Command lines on a page, and whether each is from a code block and so complete."""
    text = page.read_text()
    blocks = [line for block in FENCED.findall(text) for line in block.splitlines()]
    for line in blocks + INDENTED.findall(text):
        found = LINE.fullmatch(line.partition("  #")[0].strip())
        if found and found["arguments"]:
            yield found["arguments"], True
    in_tables = {
        " ".join(code.split()) for code in _code_in_columns(page, lambda header: header == COMMANDS_HEADER)
    }
    for code in CODE.findall(text):
        bare = " ".join(code.split())
        found = LINE.fullmatch(bare)
        arguments = (found["arguments"] or "...") if found else bare
        if arguments in {"...", COMMANDS_HEADER} or arguments.startswith("--"):
            continue
        if found or bare in in_tables or (" " in bare and bare.split()[0] in GROUPS):
            yield from ((each, False) for each in _split_alternatives(arguments))


COMMAND_LINES = [
    pytest.param(arguments, is_complete, id=f"{page.stem}: {arguments}")
    for page in [*PAGES, *sorted((ROOT / "deploy").glob("*.toml"))]
    for arguments, is_complete in dict.fromkeys(_command_lines(page))
]


def _command_of(tokens: list[str]) -> tuple[str, list[str]]:
    """Split tokens into the longest command that they begin with, and the remaining tokens."""
    path = "gradegap"
    while tokens and f"{path} {tokens[0]}" in COMMANDS:
        path, tokens = f"{path} {tokens[0]}", tokens[1:]
    return path, tokens


def _is_placeholder(value: str) -> bool:
    return value.isupper()


@pytest.mark.parametrize(("arguments", "is_complete"), COMMAND_LINES)
def test_command_line_on_page_is_valid(arguments: str, is_complete: bool) -> None:
    path, remaining_tokens = _command_of(shlex.split(arguments.replace("[", "").replace("]", "")))
    assert path != "gradegap", "no such command"
    options = {
        name: described for names, described in COMMANDS[path]["options"].items() for name in names.split()
    }
    given_options: set[str] = set()
    positional: list[str] = []
    tokens = iter(remaining_tokens)
    for token in tokens:
        if not token.startswith("--"):
            positional.append(token)
            continue
        assert token in options, f"{path} has no {token}"
        given_options.add(token)
        if options[token]["type"] != "bool":
            value = next(tokens)
            assert not value.startswith("--"), f"{token} takes a value"
            if options[token]["type"] in {"int", "float"} and not _is_placeholder(value):
                float(value)
    described = COMMANDS[path]["arguments"]
    assert len(positional) <= len(described) or path in VARIADIC_COMMANDS
    if is_complete:
        assert len(positional) >= sum(each["required"] for each in described)
        required = {name for name, each in options.items() if each["required"]}
        assert required <= given_options


def test_pages_show_commands() -> None:
    assert len(COMMAND_LINES) > 30


# Commands that need no node and are therefore run, and values for the placeholders on the pages.
RUNNABLE = re.compile(r"version|check --.*|config schema|(?:explain|whatif|replay|capture \w+) .*")
SAMPLES = {
    "config.json": "tests/compatibility/files/config.json",
    "KEY": "tests/compatibility/files/config.json",  # any file of at least 16 bytes
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
    """A file for `--module` whose decisions are those of the program."""
    path = tmp_path / "candidate.py"
    path.write_text(SAME_DECISIONS)
    return path


@pytest.mark.parametrize(
    "arguments",
    sorted(
        {
            arguments
            for page in PAGES
            for arguments, _ in _command_lines(page)
            if RUNNABLE.fullmatch(arguments)
        }
    ),
)
def test_command_that_needs_no_node_runs_as_shown_on_its_page(
    arguments: str, candidate: Path, tmp_path: Path
) -> None:
    tokens = shlex.split(arguments.replace("[", "").replace("]", ""))
    filled_tokens, previous_token = [], ""
    for token in tokens:
        if previous_token == "--out":
            filled_tokens.append(str(tmp_path / token))
        elif token == "S":
            filled_tokens.append(FROM_TO[previous_token])
        else:
            filled_tokens.append(str(candidate) if token == candidate.name else SAMPLES.get(token, token))
        previous_token = token
    process = run(*filled_tokens)
    assert (process.returncode, process.stderr) == (0, "")
    assert process.stdout or "--out" in filled_tokens
    assert (
        "--out" not in filled_tokens or Path(filled_tokens[filled_tokens.index("--out") + 1]).stat().st_size
    )


def test_replay_with_different_decision_prints_it_and_exits_with_1(candidate: Path) -> None:
    candidate.write_text(NO_DECISIONS)
    process = run("replay", RECORDING, "--module", str(candidate))
    assert process.returncode == 1
    assert "recorded: " in process.stdout
    assert "replayed: nothing" in process.stdout


def test_check_of_invalid_configuration_prints_one_line_and_fails() -> None:
    process = run("check", "--config", "Makefile")
    assert process.returncode != 0
    assert process.stderr.count("\n") == 1


def test_command_with_unreachable_member_exits_with_2() -> None:
    process = run("store", "status", "--node", "127.0.0.1:1")
    assert (process.returncode, process.stderr.count("\n")) == (2, 1)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_modules_and_files_named_on_page_exist(page: Path) -> None:
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
def test_links_on_page_point_to_existing_files(page: Path) -> None:
    paths = re.findall(r"\]\(([^)#:]+)\)", page.read_text())
    assert paths
    for path in paths:
        assert (page.parent / path).exists(), path


@cache
def _endings() -> frozenset[str]:
    """Possible endings of composed counter names: strings of the source and names of enum members."""
    trees = [ast.parse(path.read_text()) for path in (ROOT / "gradegap").rglob("*.py")]
    nodes = [node for tree in trees for node in ast.walk(tree)]
    texts = {node.value for node in nodes if isinstance(node, ast.Constant) and isinstance(node.value, str)}
    members = {
        target.id.lower()
        for node in nodes
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name)
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
    cells = _code_in_columns(page, COUNTER_COLUMNS.__contains__)
    return (name for name in cells if COUNTER.fullmatch(name))


TABLE_COUNTERS = [
    pytest.param(name, id=f"{page.stem}: {name}")
    for page in PAGES
    for name in dict.fromkeys(_counters_in_tables(page))
    if page.stem != "README"  # its one table of names has QUIC's codes
]


@pytest.mark.parametrize("name", TABLE_COUNTERS)
def test_counter_in_table_of_page_exists_in_code(name: str) -> None:
    assert _is_counted(name)


def test_pages_have_counters_in_tables() -> None:
    assert len(TABLE_COUNTERS) > 60


def test_unknown_counter_is_detected() -> None:
    assert not _is_counted("handovers_begun")
    assert not _is_counted("answered_nonsense")
    assert _is_counted("answered_refused")


QUOTED_LOG_EVENTS = [
    pytest.param(event, id=f"{page.stem}: {event}")
    for page in PAGES
    for event in dict.fromkeys(" ".join(code.split()) for code in CODE.findall(page.read_text()))
    if LOG_EVENT.fullmatch(event) and event.split()[0] not in GROUPS | {"gradegap", "make"}
]


@pytest.mark.parametrize("event", QUOTED_LOG_EVENTS)
def test_log_event_quoted_on_page_exists_in_source(event: str) -> None:
    assert event in _endings()


def test_pages_quote_log_events() -> None:
    assert len(QUOTED_LOG_EVENTS) > 10


ADMIN_CALLS = [
    pytest.param(method.strip() or "GET", path, id=f"{page.stem}: {method}{path}")
    for page in PAGES
    for method, path in re.findall(r"(PUT |GET )?(?:http://\$C)?(/control/[\w/-]+)`", page.read_text())
]


@pytest.mark.parametrize(("method", "path"), ADMIN_CALLS)
def test_admin_api_call_on_page_has_a_route(method: str, path: str) -> None:
    routed_call = surface.admin_call(method, path)
    assert routed_call[0] in surface.OPERATIONS.values()
    assert routed_call[1:] == (["ID"] if "/ID/" in path else [])


def test_pages_show_calls_of_the_admin_api() -> None:
    assert len(ADMIN_CALLS) > 6
