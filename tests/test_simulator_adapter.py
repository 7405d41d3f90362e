"""Tests of the simulator adapter as a process: batches, replies, and messages on malformed input."""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from gradegap.balancing.actions import Action
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import Event
from gradegap.simulator_adapter import InstanceHost

ROOT = Path(__file__).resolve().parent.parent

BEGIN_LINE = (
    "begin\tSeed=7\tBounds.MaxAttempts=3\tBounds.Probes=true\tLanes.count=1\tLanes.0.AimNs=500000000"
    "\tLanes.0.HardLimitNs=2000000000\tLanes.0.Name=live\tLanes.0.Points=2.0\tMembershipMode=pushed"
    "\tReplicasOfMe=3\tTelemetry.Fields=x0,concurrent\tTelemetry.Source=on_probe\tUnknown.Key=9"
    "\tFamilyInfo.TenantQuotaConnections=null"
)
START_BATCH = [
    "batch\tTNs=1000000000",
    "to\tWho=4",
    BEGIN_LINE,
    "sheet\tRef=3\tMembersList=2",
    "server\tServer=10.0.0.1:80\tSite=z\tPhase=1\tShare=1",
    "server\tServer=10.0.0.2:80\tSite=z\tPhase=1\tShare=1\tNew=field",
    "backends_changed\tKind=1\tSerial=1\tRef=3",
    "flush",
]
REQUEST_LINE = "demand\tTid=5\tService=live\tDeadlineNs=4000000000\tX=1"
REQUEST_BATCH = ["batch\tTNs=2000000000", "to\tWho=4", REQUEST_LINE, "flush"]


def run_adapter(lines: list[str]) -> subprocess.CompletedProcess[str]:
    text = "".join(line + "\n" for line in lines)
    command = [sys.executable, "-m", "gradegap.simulator_adapter"]
    return subprocess.run(command, input=text, capture_output=True, text=True, cwd=ROOT, timeout=60)


def test_request_is_checked_and_forwarded_by_the_process() -> None:
    first_run = run_adapter(START_BATCH + REQUEST_BATCH)
    assert first_run.returncode == 0 and first_run.stderr == ""
    replies = first_run.stdout.split("end\n")
    assert replies[0] == ""
    assert replies[1].startswith("as\tWho=4\nsample\tServer=10.0.0.")
    checked_endpoints = re.findall(r"sample\tServer=(\S+)", replies[1])
    answers = [
        f"probe_done\tStateCode=10\tSpentNs=10\tServer={endpoint}\tServerStats=x0:0.{index + 1},concurrent:3"
        for index, endpoint in enumerate(checked_endpoints)
    ]
    health_check_batch = ["batch\tTNs=2010000000", "to\tWho=4", *answers, "later_event\tA=1", "flush"]
    second_run = run_adapter(START_BATCH + REQUEST_BATCH + health_check_batch)
    assert (
        f"as\tWho=4\nroute\tTid=5\tServer={checked_endpoints[0]}\tTimeoutNs=1490000000\nend\n"
        in second_run.stdout
    )


def test_empty_batches_are_answered_until_the_input_ends() -> None:
    completed = run_adapter(["batch\tTNs=1", "flush", "batch\tTNs=2", "flush"])
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, "end\nend\n", "")


@pytest.mark.parametrize(
    ("lines", "quoted"),
    [
        (["nonsense"], "nonsense"),
        (["batch\tTNs=x", "flush"], "TNs=x"),
        ([*START_BATCH[:1], "to\tWho=one", "flush"], "Who=one"),
        ([*START_BATCH, "batch\tTNs=2", "demand\tTid=1", "flush"], "demand"),
        ([*START_BATCH, "batch\tTNs=2", "to\tWho=4", "demand\tTid=1", "flush"], "demand"),
        ([*START_BATCH, "batch\tTNs=2", "to\tWho=9", "reminder\tCtx=look", "flush"], "9"),
        ([*START_BATCH, "batch\tTNs=2", "to\tWho=4", "backends_changed\tKind=7\tRef=3", "flush"], "Kind=7"),
        (["batch\tTNs=2", "to\tWho=4"], "input ended"),
        (["batch\tTNs=2", "sheet\tRef=1\tMembersList=3", "flush"], "fewer entries"),
    ],
)
def test_malformed_input_ends_the_process_with_a_message_that_quotes_it(
    lines: list[str], quoted: str
) -> None:
    completed = run_adapter(lines)
    assert completed.returncode not in (0, None)
    assert "malformed" in completed.stderr and quoted in completed.stderr
    assert "Traceback" not in completed.stderr


def test_exception_in_a_balancer_is_reported_as_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: Balancer, now: float, event: Event) -> list[Action]:
        raise RuntimeError("lost\tmy way")

    host = InstanceHost()
    lines = iter(START_BATCH[1:])
    monkeypatch.setattr(Balancer, "handle", broken)
    reply = host.answer_batch(START_BATCH[0], lines)
    assert reply[0] == "as\tWho=4"
    assert re.fullmatch(
        r"fault\tBodyText=RuntimeError at test_simulator_adapter.py:\d+: lost my way", reply[1]
    )


def test_invalid_settings_are_reported_as_a_fault() -> None:
    host = InstanceHost()
    lines = iter(["to\tWho=1", "begin\tSeed=1\tLanes.count=0", "flush"])
    reply = host.answer_batch("batch\tTNs=1", lines)
    assert "ValueError" in reply[1] and "no class" in reply[1]


def test_endpoint_list_number_reused_in_a_batch_replaces_the_earlier_list() -> None:
    host = InstanceHost()
    second_instance = [line.replace("Who=4", "Who=5") for line in START_BATCH[1:-1]]
    second_instance[3] = second_instance[3].replace("10.0.0.1", "10.0.0.9")
    host.answer_batch(START_BATCH[0], iter(START_BATCH[1:-1] + second_instance + ["flush"]))
    assert "10.0.0.1:80" in host.instances["4"].endpoints
    assert "10.0.0.9:80" in host.instances["5"].endpoints


def imported_module(line: str) -> str:
    """Returns the module that a line imports from; empty for any other line."""
    found = re.match(r"\s*(?:from|import) ([\w.]+)", line)
    return found[1] if found else ""


def test_decision_modules_are_deployed_short_and_without_io() -> None:
    """The deploy file lists each module, none is long, and none uses a clock, a socket or a file."""
    deployed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    modules = sorted((ROOT / "gradegap" / "balancing").glob("*.py"))
    assert deployed["policy"] == [str(module.relative_to(ROOT)) for module in modules]
    for module in modules:
        lines = module.read_text().splitlines()
        assert len(lines) <= 400, module
        assert max(map(len, lines)) <= 110
        imported = {name for line in lines if (name := imported_module(line))}
        assert not imported & {"asyncio", "io", "os", "pathlib", "select", "socket", "subprocess", "time"}
        assert all(name.split(".")[1:2] == ["balancing"] for name in imported if name.startswith("gradegap"))
