"""A member that starts with the folder of an earlier version, asked by the commands of this one."""

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
    """A running member with a copy of the folder; the options by which commands reach it."""
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
    """Until the member leads its cluster of one voter."""
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end and process.poll() is None:
        done = run("store", "status", *options)
        if done.returncode == 0 and json.loads(done.stdout).get("role") == "leader":
            return
        time.sleep(0.1)
    pytest.fail(f"no leader: {log.read_text()}")


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """A command of the program."""
    line = [sys.executable, "-m", "gradegap", *arguments]
    return subprocess.run(line, capture_output=True, text=True, cwd=ROOT, timeout=30)


def lasting(value: Any) -> Any:
    """An answer without the figures that differ from run to run; their names stay."""
    if isinstance(value, dict):
        return {name: None if name in VOLATILE else lasting(each) for name, each in value.items()}
    return [lasting(each) for each in value] if isinstance(value, list) else value


@pytest.mark.parametrize("entry", COMMANDS, ids=lambda entry: " ".join(entry["command"]))
def test_a_command_answers_as_it_did_of_the_same_folder(member: list[str], entry: dict[str, Any]) -> None:
    done = run(*entry["command"], *member)
    assert done.returncode == 0, done.stderr
    answers = [lasting(json.loads(line)) for line in done.stdout.splitlines()]
    assert exact(answers) == exact(entry["answers"])
