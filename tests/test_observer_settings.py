"""The operator's tables for subscriptions, and the modules imported without them."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gradegap.errors import OperatorFileError
from gradegap.node.operator_file import load_operator
from tests.support.node_environment import ROOT, SETTINGS


def load_settings(tmp_path: Path, text: str) -> Any:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    return load_operator(str(path))


MEMBER = '[store]\nname = "n1"\nlisten = "127.0.0.1:7400"\n'
OBSERVER = '[observer]\nmachines = [{ name = "c1", address = "127.0.0.1:7500" }]\n'


@pytest.mark.parametrize(
    ("text", "expected_message"),
    [
        (MEMBER + 'publish = "10.0.0.1:7500"\n', "store.publish must be a loopback address with a port"),
        (MEMBER + 'publish = "127.0.0.1:7400"\n', "store.publish must have a port of its own"),
        (MEMBER + OBSERVER, "[observer] and [store] exclude each other"),
        ("[observer]\nmachines = []\n", "$.observer.machines"),
        (OBSERVER + "bytes_per_s = 10\n", "$.observer.bytes_per_s"),
        (OBSERVER + 'when_stale = "hope"\n', "$.observer.when_stale"),
        (
            OBSERVER.replace("127.0.0.1", "10.0.0.1"),
            "observer.machines: the address of c1 must be a loopback address",
        ),
        (OBSERVER.replace('"c1"', '"c 1"'), "observer.machines: not a name of 1 to 64 letters"),
        (
            '[observer]\nmachines = [{ name = "c1", address = "127.0.0.1:1" }, '
            '{ name = "c1", address = "127.0.0.1:2" }]\n',
            "two machines have the same name",
        ),
    ],
)
def test_invalid_table_is_reported_in_one_line_naming_the_key(
    tmp_path: Path, text: str, expected_message: str
) -> None:
    with pytest.raises(OperatorFileError) as error:
        load_settings(tmp_path, text)
    assert expected_message in str(error.value) and "\n" not in str(error.value)


def test_observer_package_is_not_imported_without_its_tables() -> None:
    program = (
        "import sys, gradegap.node.process, gradegap.cli\n"
        "import gradegap.commands.store_server, gradegap.store.embedded\n"
        "assert not [name for name in sys.modules if name.startswith('gradegap.observer')]\n"
    )
    completed = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, cwd=ROOT)
    assert completed.returncode == 0, completed.stderr


def test_check_command_prints_the_machines_of_a_subscription(tmp_path: Path) -> None:
    config = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
    (tmp_path / "config.json").write_text(msgspec.json.encode(config).decode())
    (tmp_path / "operator.toml").write_text(OBSERVER)
    command = [sys.executable, "-m", "gradegap", "check", "--config", str(tmp_path / "config.json")]
    command += ["--operator", str(tmp_path / "operator.toml")]
    completed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    assert completed.returncode == 0 and "subscribes at c1" in completed.stdout.splitlines(), completed
