"""Short scale run: 60 hollow nodes subscribe at three control machines, and the leader is killed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tests.support.node_environment import ROOT

RUN_TIMEOUT_S = 180.0  # allows for a machine that is busy with other tests
NODES = 60
RUN = """
mechanism = "observer"
servers = 40
control_machines = 3
processes = 3
seconds = 8.0
warm_s = 0.5
settle_s = 1.0
acceleration = 150.0
fault = "machine-killed"
fault_at = 0.2
seed = 36
"""
# Limits for 1,600 nodes. The short run does not prove them at that size, but must stay within them.
IN_FORCE_S = 10.0
LEVEL_AGAIN_S = 10.0
BYTES_PER_S = 3000.0
CORE_SHARE = 0.011
PROCESS_BYTES = 256 * 1024 * 1024


@pytest.fixture(scope="module")
def result(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Any]:
    folder = tmp_path_factory.mktemp("scale")
    run_file, result_file = folder / "run.toml", folder / "out.json"
    run_file.write_text(RUN)
    command = [sys.executable, "-m", "bench.scale", "control", "--run", str(run_file)]
    command += ["--nodes", str(NODES), "--json", str(result_file)]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=RUN_TIMEOUT_S)
    assert done.returncode == 0, done.stderr
    found: dict[str, Any] = msgspec.json.decode(Path(result_file).read_bytes())
    return found


def test_changes_with_leader_killed_are_in_force_at_every_node(result: dict[str, Any]) -> None:
    """Includes the changes proposed while the store had no leader."""
    assert result["changes"] >= 5
    assert result["changes_not_acknowledged"] == 0
    assert result["missing"] == 0
    assert result["in_force_s"]["max"] <= IN_FORCE_S


def test_nodes_of_killed_machine_reach_current_revision_in_time(result: dict[str, Any]) -> None:
    again = result["level_again_s"]
    assert again["moved"] > 0, "the killed machine served no node"
    assert again["never"] == 0
    assert again["max"] <= LEVEL_AGAIN_S


def test_control_side_of_node_stays_within_resource_limits(result: dict[str, Any]) -> None:
    assert 0.0 < result["control_bytes_per_node_s"]["max"] <= BYTES_PER_S
    assert 0.0 < result["node_core_share"]["mean"] <= CORE_SHARE
    assert 0.0 < result["node_control_bytes"]["process_of_one"] <= PROCESS_BYTES


def test_result_has_fields_read_by_other_modules(result: dict[str, Any]) -> None:
    assert (result["nodes"], result["servers"], result["control_machines"]) == (NODES, 40, 3)
    assert result["in_force_s"].keys() == {"p50", "p99", "max"}
    assert result["control_bytes_per_node_s"].keys() == {"mean", "max"}
    assert result["node_core_share"].keys() == {"mean", "max"}
    assert "mean" in result["node_control_bytes"]
    kinds = result["bytes_per_node_s_by_kind"]
    assert {"Renew", "discovery"} <= kinds["sent"].keys()
    assert {"Heartbeat", "Delta", "discovery"} <= kinds["received"].keys()
