"""The operator's tables for subscriptions, and what is imported without them."""

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


def settings_of(tmp_path: Path, text: str) -> Any:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    return load_operator(str(path))


MEMBER = '[store]\nname = "n1"\nlisten = "127.0.0.1:7400"\n'
OBSERVER = '[observer]\nmachines = [{ name = "c1", address = "127.0.0.1:7500" }]\n'


@pytest.mark.parametrize(
    ("text", "said"),
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
def test_a_table_that_can_t_be_used_is_one_line_that_names_the_key(
    tmp_path: Path, text: str, said: str
) -> None:
    with pytest.raises(OperatorFileError) as error:
        settings_of(tmp_path, text)
    assert said in str(error.value) and "\n" not in str(error.value)


def test_nothing_of_subscriptions_is_imported_without_their_tables() -> None:
    program = (
        "import sys, gradegap.node.process, gradegap.cli\n"
        "import gradegap.commands.store_server, gradegap.store.embedded\n"
        "assert not [name for name in sys.modules if name.startswith('gradegap.observer')]\n"
    )
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 0, done.stderr


def test_check_says_where_a_node_subscribes(tmp_path: Path) -> None:
    config = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
    (tmp_path / "config.json").write_text(msgspec.json.encode(config).decode())
    (tmp_path / "operator.toml").write_text(OBSERVER)
    line = [sys.executable, "-m", "gradegap", "check", "--config", str(tmp_path / "config.json")]
    line += ["--operator", str(tmp_path / "operator.toml")]
    done = subprocess.run(line, capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 0 and "subscribes at c1" in done.stdout.splitlines(), done
