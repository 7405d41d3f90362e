"""The QUIC conformance suite against a node process, and against a node with defects injected."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from conformance.quic.case import Case, Target
from conformance.quic.cases import CASES
from conformance.quic.suite import Outcome, run
from tests.support.node_environment import ROOT, EndpointServer
from tests.support.quic_harness import running_quic_node


def test_node_passes_all_cases(tmp_path: Path) -> None:
    with running_quic_node(tmp_path, [EndpointServer("a")], "retry_from = 1000") as (node, port):
        command = [sys.executable, "-m", "gradegap", "conformance", "quic", f"127.0.0.1:{port}", "--json"]
        completed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=120)
        results = msgspec.json.decode(completed.stdout)
        assert len(results) == len(CASES) > 40
        assert [result for result in results if result["outcome"] != "pass"] == [], completed.stdout
        assert completed.returncode == 0
        assert "Traceback" not in node.log.read_text()


def case_about(words: str) -> Case:
    """Return the only case whose requirement contains the given words."""
    (case,) = [case for case in CASES if words in case.requirement]
    return case


@pytest.mark.parametrize(
    ("defect", "words"),
    [
        (
            "import gradegap.quic.routing as r; r.MIN_INITIAL_DATAGRAM_LENGTH = 0",
            "a datagram of an unsupported version",
        ),
        ("import gradegap.quic.routing as r; r.MIN_RESET_TRIGGER_LENGTH = 0", "a stateless reset is shorter"),
        (
            "import gradegap.quic.stateless as s; s.StatelessResponder.negotiate = lambda *a: None",
            "is answered with the supported ones",
        ),
        (
            "import gradegap.quic.tokens as t; t.AddressTokens.validate = lambda *a: b'12345678'",
            "is ignored like a missing one",
        ),
        (
            "import gradegap.quic.channel as c; c.QuicConnectionChannel.receive = "
            "lambda s, d, a, plain=c.QuicConnectionChannel.receive: a == s.address and plain(s, d, a)",
            "with a new connection id is served",
        ),
    ],
)
def test_suite_fails_a_node_with_an_injected_defect(tmp_path: Path, defect: str, words: str) -> None:
    (tmp_path / "lib").mkdir()
    (tmp_path / "lib" / "sitecustomize.py").write_text(defect)
    previous_path = os.environ.get("PYTHONPATH")
    os.environ["PYTHONPATH"] = f"{tmp_path / 'lib'}:{ROOT}"
    try:
        with running_quic_node(tmp_path, [EndpointServer("a")]) as (_, port):
            (result,) = run(Target(("127.0.0.1", port), "gradegap/1"), [case_about(words)])
            assert result.outcome is Outcome.FAIL, result
    finally:
        if previous_path is None:
            del os.environ["PYTHONPATH"]
        else:
            os.environ["PYTHONPATH"] = previous_path
