"""Tests a member that starts with the folder of an earlier version, through the commands of this version."""

from __future__ import annotations

import json
import os
import shutil
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.compatibility.fixtures import FILES, exact, load
from tests.support.node_environment import ROOT

START_TIMEOUT_S = 20.0
VOLATILE = frozenset(
    {"term", "silent_ms", "held_lease_ms", "lease_ms", "commit", "applied", "last_index", "leases"}
)
COMMANDS: list[dict[str, Any]] = load("store-commands.json")


@pytest.fixture(scope="module")
def member(tmp_path_factory: pytest.TempPathFactory) -> Iterator[list[str]]:
    """Runs a member with a copy of the folder; gives the options with which commands reach it."""
    folder = tmp_path_factory.mktemp("member")
    shutil.copytree(FILES / "store", folder / "store")
    (folder / "secret").write_text("0123456789abcdef0123\n")
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    (folder / "operator.toml").write_text(
        f'[store]\nname = "n1"\nlisten = "{address}"\ndata = "{folder}/store"\nsecret = "{folder}/secret"\n'
    )
    serve = [sys.executable, "-m", "gradegap", "store", "serve", "--operator", str(folder / "operator.toml")]
    with (folder / "log").open("wb") as log:
        process = subprocess.Popen(serve, cwd=ROOT, stdout=log, stderr=log, env=dict(os.environ))
    options = ["--node", address, "--secret", str(folder / "secret"), "--json"]
    try:
        wait_for_leader(options, process, folder / "log")
        yield options
    finally:
        process.terminate()
        process.wait(10)


def wait_for_leader(options: list[str], process: subprocess.Popen[bytes], log: Path) -> None:
    """Waits until the member is the leader of its cluster of one voter."""
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end and process.poll() is None:
        completed = run("store", "status", *options)
        if completed.returncode == 0 and json.loads(completed.stdout).get("role") == "leader":
            return
        time.sleep(0.1)
    pytest.fail(f"no leader within {START_TIMEOUT_S} s: {log.read_text()}")


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs a command of the program."""
    command = [sys.executable, "-m", "gradegap", *arguments]
    return subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=30)


def without_volatile(value: Any) -> Any:
    """Returns an answer with the values that differ between runs replaced by None."""
    if isinstance(value, dict):
        return {name: None if name in VOLATILE else without_volatile(each) for name, each in value.items()}
    return [without_volatile(each) for each in value] if isinstance(value, list) else value


@pytest.mark.parametrize("entry", COMMANDS, ids=lambda entry: " ".join(entry["command"]))
def test_command_gives_the_same_answer_for_the_same_folder(member: list[str], entry: dict[str, Any]) -> None:
    completed = run(*entry["command"], *member)
    assert completed.returncode == 0, completed.stderr
    answers = [without_volatile(json.loads(command)) for command in completed.stdout.splitlines()]
    assert exact(answers) == exact(entry["answers"])
