"""Six recorded days: failure of a quarter of the endpoints, unresponsive endpoints, a rolling deploy, a load
peak, a drain under load, and a discovery partition. `bench/captures.py` recorded them on loopback.

The tests check rules and figures of service, not a sequence of decisions, so a better module passes as well.
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
# The lowest ratio of clients that must get a connection, by recording.
MIN_SERVED_SHARE = {
    "quarter_dies": 0.95,
    "silent": 0.95,
    "rolling_deploy": 0.95,
    "jump": 0.90,
    "drain_under_load": 0.95,
    "parted_discovery": 0.95,
}
# How far the ratio may be below the recorded one.
MAX_SHARE_LOSS = 0.04


def simulate(name: str, module: object = gradegap.balancing.balancer, *assignments: str) -> WhatIfResult:
    data = (FOLDER / f"{name}.ggc").read_bytes()
    return whatif(recording.read(data), module, assignments)  # type: ignore[arg-type]


@pytest.mark.parametrize("name", MIN_SERVED_SHARE)
def test_module_on_recorded_day_keeps_rules_and_serves_clients(name: str) -> None:
    result = simulate(name)
    assert not result.violations and not result.gaps
    assert result.recorded.violations == 0
    assert result.played.requests > 150
    assert result.played.served_share >= max(
        MIN_SERVED_SHARE[name], result.recorded.served_share - MAX_SHARE_LOSS
    ), result
    assert result.played.wait_p99 < 1.5
    near_ratio = result.answers["near"] / result.answers.total()
    assert near_ratio > 0.9, result.answers  # otherwise the model decides the result, not the recording


def test_hundred_replays_of_node_recording_give_one_digest() -> None:
    items = list(recording.read((FOLDER / "rolling_deploy.ggc").read_bytes()))
    module = gradegap.balancing.balancer
    reports = [replay.replay(items, module, until_differs=False) for _ in range(100)]
    assert len({report.digest for report in reports}) == 1
    assert reports[0].steps == 1000 and not reports[0].gaps


# Recorded by a module with another algorithm, whose states do not fit this program's module.
OLDER_RECORDINGS = ("drain_under_load", "jump", "parted_discovery", "quarter_dies", "silent")


def test_recording_of_this_algorithm_is_replayed_completely() -> None:
    process = run_gradegap("replay", str(FOLDER / "rolling_deploy.ggc"))
    assert process.returncode == 0 and process.stdout.count("\n") == 1, process.stdout
    assert process.stdout.startswith("1000 steps, ")
    assert {"rolling_deploy", *OLDER_RECORDINGS} == MIN_SERVED_SHARE.keys()


@pytest.mark.parametrize("name", OLDER_RECORDINGS)
def test_recording_of_another_algorithm_is_rejected_with_both_versions(name: str) -> None:
    path = FOLDER / f"{name}.ggc"
    present = decision_module.digest_of(decision_module.in_force())[:12]
    message = (
        "recorded by version 0.2.0 (decisions af06a3bfd027), whose algorithm is not that of "
        f"version {VERSION} (decisions {present}): its Balancer differs in "
    )
    process = run_gradegap("replay", str(path))
    assert process.returncode == 1
    gaps = [output_line for output_line in process.stdout.splitlines() if output_line.startswith("gap: ")]
    assert len(gaps) == 1 and gaps[0].startswith(f"gap: {message}"), process.stdout
    assert process.stderr == "gradegap: nothing could be replayed\n"
    (request,) = next(
        records.names(item.event)
        for item in recording.read(path.read_bytes())
        if isinstance(item, recording.Step) and isinstance(item.event, RequestArrived)
    )
    process = run_gradegap("explain", str(path), str(request))
    assert process.returncode == 2 and process.stderr.startswith(f"gradegap: {message}")
    assert process.stderr.count("\n") == 1


def test_state_of_later_version_ends_replay_with_one_line(tmp_path: Path) -> None:
    parts = [frames.MAGIC]
    for frame in frames.read(workload_recording(22, 40, 1)):
        assert not isinstance(frame, Damage)
        body = frame.body | {"version": 3} if frame.kind is FrameKind.STATE else frame.body
        parts.append(
            frames.pack(
                frame.kind, body, frame.record_count, frame.first_number, frame.first_at, frame.last_at
            )
        )
    path = tmp_path / "later.ggc"
    path.write_bytes(b"".join(parts))
    for arguments in (("replay", str(path)), ("explain", str(path), "1")):
        process = run_gradegap(*arguments)
        assert process.returncode == 2, process.stdout
        assert process.stderr == "gradegap: state has format 3; this program reads formats up to 2\n"


def test_draining_endpoint_loses_clients_before_removal() -> None:
    result = simulate("drain_under_load")
    assert result.recorded.broken == 0 and result.played.migrated >= 3
    without_grace = simulate(
        "drain_under_load", gradegap.balancing.balancer, "drain_grace=0.0"
    )  # no new requests are forwarded to it
    assert (
        not without_grace.violations
        and without_grace.played.served_share >= result.played.served_share - MAX_SHARE_LOSS
    )


def test_dead_endpoints_receive_few_attempts() -> None:
    for name in ("quarter_dies", "parted_discovery"):
        result = simulate(name)
        assert result.played.attempts < 1.25 * result.played.established + result.played.rejected, (
            name,
            result.played,
        )


def test_module_without_ejection_serves_worse(tmp_path: Path) -> None:
    """The mutant never ejects failing endpoints, and makes one attempt for each request."""
    mutant_module = mutant(tmp_path, "EJECTION_FAILURES = 2", "EJECTION_FAILURES = 10**9")
    mutated, original = simulate("quarter_dies", mutant_module, "max_attempts=1"), simulate("quarter_dies")
    assert mutated.played.served_share < original.played.served_share - 0.01
    assert mutated.first_other is not None


def test_ignored_drain_wastes_attempts_and_broken_rules_are_reported(tmp_path: Path) -> None:
    """The mutant treats draining endpoints as ready ones."""
    old = "self._set_phase(endpoint, entry.phase)"
    phase = "EndpointPhase.READY if entry.phase is EndpointPhase.DRAINING else entry.phase"
    new = f"self._set_phase(endpoint, {phase})"
    result = simulate("drain_under_load", mutant(tmp_path, old, new))
    # The proxy does not send these attempts (`NOT_SENT`), so no rule is broken, but attempts are wasted.
    original = simulate("drain_under_load").played
    assert result.played.attempts - result.played.established > original.attempts - original.established
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
    violations = " ".join(evaluation.violations)
    for phrase in ("an attempt in flight", "two answers", "after its grace", "after its answer", "no answer"):
        assert phrase in violations, evaluation.violations


def test_whatif_with_other_settings_reports_modelled_answers(tmp_path: Path) -> None:
    result = simulate("jump", gradegap.balancing.balancer, "max_attempts=1", "drain_grace=0.5")
    assert result.played.attempts <= result.recorded.attempts * 1.1
    for assignment in ("max_attempts=0", "max_attempts=x", "nothing=1", "classes=1", "drain_grace"):
        with pytest.raises(BadWhatIfError):
            changed(settings(), [assignment])
    with pytest.raises(BadWhatIfError, match="no state"):
        whatif([], gradegap.balancing.balancer)
    # A recording without answers of endpoints: all answers are modelled, and reported as such.
    data = workload_recording(21, 400, 2)
    parts = [frames.MAGIC]
    for frame in frames.read(data):
        assert not isinstance(frame, Damage)
        body = frame.body
        if frame.kind is FrameKind.STEPS:
            body = [row for row in body if row[3][0] not in ("ProbeResult", "Established", "Outcome")]
        parts.append(
            frames.pack(
                frame.kind, body, frame.record_count, frame.first_number, frame.first_at, frame.last_at
            )
        )
    without_answers = whatif(recording.read(b"".join(parts)), gradegap.balancing.balancer)
    assert without_answers.answers["modelled"] == without_answers.answers.total() > 0
    assert without_answers.observed_until is not None and without_answers.observed_until < 1010.0


def test_whatif_command_prints_json_and_rejects_unknown_setting() -> None:
    def run_whatif(*arguments: str) -> subprocess.CompletedProcess[str]:
        command_line = [sys.executable, "-m", "gradegap", "whatif", str(FOLDER / "jump.ggc"), *arguments]
        return subprocess.run(command_line, capture_output=True, text=True, cwd=ROOT, timeout=60)

    process = run_whatif("--json")
    assert process.returncode == 0, process.stderr
    assert msgspec.json.decode(process.stdout)["played"]["violations"] == 0
    assert "answers of endpoints" in run_whatif("--set", "max_attempts=2").stdout
    rejected = run_whatif("--set", "nonsense=1")
    assert rejected.returncode == 2 and rejected.stderr.count("\n") == 1
