"""Six captured days: a quarter of the servers dying, silent servers, a rolling deploy, a jump, a drain under
load, a parted discovery. `bench/captures.py` made them on loopback.

They hold the module to rules and figures and not to one sequence of decisions: a better module may pass.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

import gradegap.balancing.balancer
from gradegap import VERSION
from gradegap.balancing.actions import Fail, Forward, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    RequestArrived,
    TimerFired,
)
from gradegap.capture import decision_module, frames, recording, records, replay
from gradegap.capture.errors import BadWhatIfError
from gradegap.capture.evaluation import Evaluation
from gradegap.capture.frames import Damage, FrameKind
from gradegap.capture.simulation import WhatIfResult
from gradegap.capture.whatif import changed, whatif
from tests.support.balancer_driver import settings
from tests.support.mutants import mutant
from tests.support.node_environment import ROOT
from tests.support.recorded_workload import run_gradegap, workload_recording

FOLDER = Path(__file__).parent / "captures"
# Of the clients that asked, the part that must get a connection; and how far it may be behind the record's.
DAYS = {
    "quarter_dies": 0.95,
    "silent": 0.95,
    "rolling_deploy": 0.95,
    "jump": 0.90,
    "drain_under_load": 0.95,
    "parted_discovery": 0.95,
}
BEHIND = 0.04


def played(name: str, module: object = gradegap.balancing.balancer, *wishes: str) -> WhatIfResult:
    data = (FOLDER / f"{name}.ggc").read_bytes()
    return whatif(recording.read(data), module, wishes)  # type: ignore[arg-type]


@pytest.mark.parametrize("name", DAYS)
def test_the_module_serves_a_captured_day_by_the_rules(name: str) -> None:
    found = played(name)
    assert not found.violations and not found.gaps
    assert found.recorded.violations == 0
    assert found.played.requests > 150
    assert found.played.served_share >= max(DAYS[name], found.recorded.served_share - BEHIND), found
    assert found.played.wait_p99 < 1.5
    near = found.answers["near"] / found.answers.total()
    assert near > 0.9, found.answers  # else it is a model's day, and no captured one


def test_a_hundred_replays_of_a_real_node_s_day_give_one_digest() -> None:
    items = list(recording.read((FOLDER / "rolling_deploy.ggc").read_bytes()))
    module = gradegap.balancing.balancer
    found = [replay.replay(items, module, until_differs=False) for _ in range(100)]
    assert len({each.digest for each in found}) == 1
    assert found[0].steps == 1000 and not found[0].gaps


# Recorded by a module of another algorithm, in whose states this program's can't be.
OLDER = ("drain_under_load", "jump", "parted_discovery", "quarter_dies", "silent")


def test_a_captured_day_of_this_algorithm_is_replayed_whole() -> None:
    done = run_gradegap("replay", str(FOLDER / "rolling_deploy.ggc"))
    assert done.returncode == 0 and done.stdout.count("\n") == 1, done.stdout
    assert done.stdout.startswith("1000 steps, ")
    assert {"rolling_deploy", *OLDER} == DAYS.keys()


@pytest.mark.parametrize("name", OLDER)
def test_a_captured_day_of_another_algorithm_says_which_versions_are_at_odds(name: str) -> None:
    path = FOLDER / f"{name}.ggc"
    present = decision_module.digest_of(decision_module.in_force())[:12]
    line = (
        "recorded by version 0.2.0 (decisions af06a3bfd027), whose algorithm is not that of "
        f"version {VERSION} (decisions {present}): its Balancer differs in "
    )
    done = run_gradegap("replay", str(path))
    assert done.returncode == 1
    gaps = [said for said in done.stdout.splitlines() if said.startswith("gap: ")]
    assert len(gaps) == 1 and gaps[0].startswith(f"gap: {line}"), done.stdout
    assert done.stderr == "gradegap: nothing could be replayed\n"
    (request,) = next(
        records.names(item.event)
        for item in recording.read(path.read_bytes())
        if isinstance(item, recording.Step) and isinstance(item.event, RequestArrived)
    )
    done = run_gradegap("explain", str(path), str(request))
    assert done.returncode == 2 and done.stderr.startswith(f"gradegap: {line}")
    assert done.stderr.count("\n") == 1


def test_a_state_of_a_later_version_ends_a_replay_in_one_line(tmp_path: Path) -> None:
    made = [frames.MAGIC]
    for f in frames.read(workload_recording(22, 40, 1)):
        assert not isinstance(f, Damage)
        body = f.body | {"version": 3} if f.kind is FrameKind.STATE else f.body
        made.append(frames.pack(f.kind, body, f.record_count, f.first_number, f.first_at, f.last_at))
    path = tmp_path / "later.ggc"
    path.write_bytes(b"".join(made))
    for words in (("replay", str(path)), ("explain", str(path), "1")):
        done = run_gradegap(*words)
        assert done.returncode == 2, done.stdout
        assert done.stderr == "gradegap: state has format 3; this program reads formats up to 2\n"


def test_clients_leave_a_server_that_drains_before_it_is_gone() -> None:
    found = played("drain_under_load")
    assert found.recorded.broken == 0 and found.played.migrated >= 3
    still = played(
        "drain_under_load", gradegap.balancing.balancer, "drain_grace=0.0"
    )  # nothing new goes there at all
    assert not still.violations and still.played.served_share >= found.played.served_share - BEHIND


def test_few_attempts_are_spent_on_servers_that_are_dead() -> None:
    for name in ("quarter_dies", "parted_discovery"):
        found = played(name)
        assert found.played.attempts < 1.25 * found.played.established + found.played.rejected, (
            name,
            found.played,
        )


def test_a_module_that_goes_on_with_the_dead_is_shown_to_serve_worse(tmp_path: Path) -> None:
    """Planted: it draws from servers that fail as from any other, and tries once."""
    other = mutant(tmp_path, "EJECTION_FAILURES = 2", "EJECTION_FAILURES = 10**9")
    worse, plain = played("quarter_dies", other, "max_attempts=1"), played("quarter_dies")
    assert worse.played.served_share < plain.played.served_share - 0.01
    assert worse.first_other is not None


def test_a_module_that_breaks_the_rules_is_caught(tmp_path: Path) -> None:
    """Planted: a drain is forgotten."""
    old = "self._set_phase(endpoint, entry.phase)"
    phase = "EndpointPhase.READY if entry.phase is EndpointPhase.DRAINING else entry.phase"
    new = f"self._set_phase(endpoint, {phase})"
    found = played("drain_under_load", mutant(tmp_path, old, new))
    # The core lets none of it out (MOOT), so no rule is broken; attempts are spent for nothing instead.
    plain = played("drain_under_load").played
    assert found.played.attempts - found.played.established > plain.attempts - plain.established
    evaluation = Evaluation(settings())
    evaluation.observe(1.0, EndpointList(EndpointListKind.FULL, (EndpointEntry("a"), EndpointEntry("b"))), [])
    evaluation.observe(1.0, RequestArrived(1, "live", 3.0), [Forward(1, "a", 0.5), Forward(1, "b", 0.5)])
    evaluation.observe(1.1, ConnectionEstablished(1, 0, "a", 0.1), [Reject(1)])
    evaluation.observe(1.2, RequestArrived(2, "live", 1.5), [])
    evaluation.observe(
        1.2, EndpointList(EndpointListKind.DELTA, (EndpointEntry("b", phase=EndpointPhase.DRAINING),)), []
    )
    evaluation.observe(1.3, RequestArrived(3, "live", 9.0), [])
    evaluation.observe(4.0, TimerFired("x"), [Forward(3, "b", 0.5)])
    evaluation.observe(4.1, AttemptEnded(3, 0, "b", AttemptResult.RESET, 0.1, False), [Fail(3)])
    evaluation.observe(4.2, TimerFired("x"), [Fail(3), Forward(3, "a", 0.2)])
    evaluation.finish()
    told = " ".join(evaluation.violations)
    for word in ("an attempt in flight", "two answers", "after its grace", "after its answer", "no answer"):
        assert word in told, evaluation.violations


def test_what_another_setting_would_have_done_and_where_the_record_ends(tmp_path: Path) -> None:
    found = played("jump", gradegap.balancing.balancer, "max_attempts=1", "drain_grace=0.5")
    assert found.played.attempts <= found.recorded.attempts * 1.1
    for wish in ("max_attempts=0", "max_attempts=x", "nothing=1", "classes=1", "drain_grace"):
        with pytest.raises(BadWhatIfError):
            changed(settings(), [wish])
    with pytest.raises(BadWhatIfError, match="no state"):
        whatif([], gradegap.balancing.balancer)
    # Servers that the record never heard of: their answers are the model's, and said to be.
    day = workload_recording(21, 400, 2)
    cut = [frames.MAGIC]
    for f in frames.read(day):
        assert not isinstance(f, Damage)
        body = f.body
        if f.kind is FrameKind.STEPS:
            body = [r for r in body if r[3][0] not in ("ProbeResult", "Established", "Outcome")]
        cut.append(frames.pack(f.kind, body, f.record_count, f.first_number, f.first_at, f.last_at))
    unheard = whatif(recording.read(b"".join(cut)), gradegap.balancing.balancer)
    assert unheard.answers["modelled"] == unheard.answers.total() > 0
    assert unheard.observed_until is not None and unheard.observed_until < 1010.0


def test_whatif_on_the_command_line() -> None:
    def said(*words: str) -> subprocess.CompletedProcess[str]:
        line = [sys.executable, "-m", "gradegap", "whatif", str(FOLDER / "jump.ggc"), *words]
        return subprocess.run(line, capture_output=True, text=True, cwd=ROOT, timeout=60)

    done = said("--json")
    assert done.returncode == 0, done.stderr
    assert msgspec.json.decode(done.stdout)["played"]["violations"] == 0
    assert "answers of endpoints" in said("--set", "max_attempts=2").stdout
    wrong = said("--set", "nonsense=1")
    assert wrong.returncode == 2 and wrong.stderr.count("\n") == 1
