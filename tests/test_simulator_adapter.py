"""The adapter as a process: batches in, replies out, plain messages on what is malformed."""

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

BEGIN = (
    "begin\tSeed=7\tBounds.MaxAttempts=3\tBounds.Probes=true\tLanes.count=1\tLanes.0.AimNs=500000000"
    "\tLanes.0.HardLimitNs=2000000000\tLanes.0.Name=live\tLanes.0.Points=2.0\tMembershipMode=pushed"
    "\tReplicasOfMe=3\tTelemetry.Fields=x0,concurrent\tTelemetry.Source=on_probe\tUnknown.Key=9"
    "\tFamilyInfo.TenantQuotaConnections=null"
)
START = [
    "batch\tTNs=1000000000",
    "to\tWho=4",
    BEGIN,
    "sheet\tRef=3\tMembersList=2",
    "server\tServer=10.0.0.1:80\tSite=z\tPhase=1\tShare=1",
    "server\tServer=10.0.0.2:80\tSite=z\tPhase=1\tShare=1\tNew=field",
    "backends_changed\tKind=1\tSerial=1\tRef=3",
    "flush",
]
DEMAND = "demand\tTid=5\tService=live\tDeadlineNs=4000000000\tX=1"
ASK = ["batch\tTNs=2000000000", "to\tWho=4", DEMAND, "flush"]


def run(lines: list[str]) -> subprocess.CompletedProcess[str]:
    text = "".join(line + "\n" for line in lines)
    command = [sys.executable, "-m", "gradegap.simulator_adapter"]
    return subprocess.run(command, input=text, capture_output=True, text=True, cwd=ROOT, timeout=60)


def test_a_request_goes_its_way_through_the_real_process() -> None:
    first = run(START + ASK)
    assert first.returncode == 0 and first.stderr == ""
    replies = first.stdout.split("end\n")
    assert replies[0] == ""
    assert replies[1].startswith("as\tWho=4\nsample\tServer=10.0.0.")
    probed = re.findall(r"sample\tServer=(\S+)", replies[1])
    answers = [
        f"probe_done\tStateCode=10\tSpentNs=10\tServer={s}\tServerStats=x0:0.{k + 1},concurrent:3"
        for k, s in enumerate(probed)
    ]
    more = ["batch\tTNs=2010000000", "to\tWho=4", *answers, "later_event\tA=1", "flush"]
    second = run(START + ASK + more)
    assert f"as\tWho=4\nroute\tTid=5\tServer={probed[0]}\tTimeoutNs=1490000000\nend\n" in second.stdout


def test_empty_batches_and_end_of_input() -> None:
    done = run(["batch\tTNs=1", "flush", "batch\tTNs=2", "flush"])
    assert (done.returncode, done.stdout, done.stderr) == (0, "end\nend\n", "")


@pytest.mark.parametrize(
    ("lines", "named"),
    [
        (["nonsense"], "nonsense"),
        (["batch\tTNs=x", "flush"], "TNs=x"),
        ([*START[:1], "to\tWho=one", "flush"], "Who=one"),
        ([*START, "batch\tTNs=2", "demand\tTid=1", "flush"], "demand"),
        ([*START, "batch\tTNs=2", "to\tWho=4", "demand\tTid=1", "flush"], "demand"),
        ([*START, "batch\tTNs=2", "to\tWho=9", "reminder\tCtx=look", "flush"], "9"),
        ([*START, "batch\tTNs=2", "to\tWho=4", "backends_changed\tKind=7\tRef=3", "flush"], "Kind=7"),
        (["batch\tTNs=2", "to\tWho=4"], "input ended"),
        (["batch\tTNs=2", "sheet\tRef=1\tMembersList=3", "flush"], "fewer entries"),
    ],
)
def test_malformed_input_ends_in_a_plain_message(lines: list[str], named: str) -> None:
    done = run(lines)
    assert done.returncode not in (0, None)
    assert "malformed" in done.stderr and named in done.stderr
    assert "Traceback" not in done.stderr


def test_an_exception_in_the_decisions_becomes_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: Balancer, now: float, event: Event) -> list[Action]:
        raise RuntimeError("lost\tmy way")

    host = InstanceHost()
    lines = iter(START[1:])
    monkeypatch.setattr(Balancer, "handle", broken)
    reply = host.answer_batch(START[0], lines)
    assert reply[0] == "as\tWho=4"
    assert re.fullmatch(
        r"fault\tBodyText=RuntimeError at test_simulator_adapter.py:\d+: lost my way", reply[1]
    )


def test_impossible_settings_become_a_fault() -> None:
    host = InstanceHost()
    lines = iter(["to\tWho=1", "begin\tSeed=1\tLanes.count=0", "flush"])
    reply = host.answer_batch("batch\tTNs=1", lines)
    assert "ValueError" in reply[1] and "no class" in reply[1]


def test_a_sheet_number_used_again_in_one_batch_is_read_in_order() -> None:
    host = InstanceHost()
    two = [line.replace("Who=4", "Who=5") for line in START[1:-1]]
    two[3] = two[3].replace("10.0.0.1", "10.0.0.9")
    host.answer_batch(START[0], iter(START[1:-1] + two + ["flush"]))
    assert "10.0.0.1:80" in host.instances["4"].endpoints
    assert "10.0.0.9:80" in host.instances["5"].endpoints


def imported_from(line: str) -> str:
    """The module that a line imports from; empty for any other line."""
    found = re.match(r"\s*(?:from|import) ([\w.]+)", line)
    return found[1] if found else ""


def test_the_decisions_are_in_named_modules_without_io() -> None:
    """The deploy file names each of them, none is long, and none knows a clock, a socket or a file."""
    deployed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    modules = sorted((ROOT / "gradegap" / "balancing").glob("*.py"))
    assert deployed["policy"] == [str(module.relative_to(ROOT)) for module in modules]
    for module in modules:
        lines = module.read_text().splitlines()
        assert len(lines) <= 400, module
        assert max(map(len, lines)) <= 110
        imported = {name for line in lines if (name := imported_from(line))}
        assert not imported & {"asyncio", "io", "os", "pathlib", "select", "socket", "subprocess", "time"}
        assert all(name.split(".")[1:2] == ["balancing"] for name in imported if name.startswith("gradegap"))
