"""The suite against the real front, and against one that planted mistakes are in."""

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


def test_the_front_keeps_every_case(tmp_path: Path) -> None:
    with running_quic_node(tmp_path, [EndpointServer("a")], "retry_from = 1000") as (w, port):
        line = [sys.executable, "-m", "gradegap", "conformance", "quic", f"127.0.0.1:{port}", "--json"]
        done = subprocess.run(line, capture_output=True, text=True, cwd=ROOT, timeout=120)
        found = msgspec.json.decode(done.stdout)
        assert len(found) == len(CASES) > 40
        assert [r for r in found if r["outcome"] != "pass"] == [], done.stdout
        assert done.returncode == 0
        assert "Traceback" not in w.log.read_text()


def chosen(word: str) -> Case:
    (found,) = [c for c in CASES if word in c.requirement]
    return found


@pytest.mark.parametrize(
    ("planted", "word"),
    [
        (
            "import gradegap.quic.routing as r; r.MIN_INITIAL_DATAGRAM_LENGTH = 0",
            "a small datagram of another version",
        ),
        ("import gradegap.quic.routing as r; r.MIN_RESET_TRIGGER_LENGTH = 0", "a reset is shorter"),
        (
            "import gradegap.quic.stateless as s; s.StatelessResponder.negotiate = lambda *a: None",
            "is answered with those",
        ),
        (
            "import gradegap.quic.tokens as t; t.AddressTokens.validate = lambda *a: b'12345678'",
            "is taken as none",
        ),
        (
            "import gradegap.quic.channel as c; c.QuicConnectionChannel.receive = "
            "lambda s, d, a, plain=c.QuicConnectionChannel.receive: a == s.address and plain(s, d, a)",
            "with a new id, goes on",
        ),
    ],
)
def test_the_suite_finds_what_is_planted(tmp_path: Path, planted: str, word: str) -> None:
    (tmp_path / "lib").mkdir()
    (tmp_path / "lib" / "sitecustomize.py").write_text(planted)
    before = os.environ.get("PYTHONPATH")
    os.environ["PYTHONPATH"] = f"{tmp_path / 'lib'}:{ROOT}"
    try:
        with running_quic_node(tmp_path, [EndpointServer("a")]) as (_, port):
            (result,) = run(Target(("127.0.0.1", port), "gradegap/1"), [chosen(word)])
            assert result.outcome is Outcome.FAIL, result
    finally:
        if before is None:
            del os.environ["PYTHONPATH"]
        else:
            os.environ["PYTHONPATH"] = before
