"""What can't be read, from discovery and in the configuration: one clear error, counted, nothing lost."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.node_environment import ROOT, EndpointServer, running_node, wait_for
from tests.test_rude import memory_mb

DEEP = b"[" * 200_000
LISTS = {
    "nested without end": b'{"version":9,"full":true,"servers":[' + DEEP,
    "an entry nested without end": b'{"version":9,"full":true,"servers":[{"id":' + DEEP + b"]}",
    "a strange field nested without end": b'{"version":9,"full":true,"other":' + DEEP,
    "binary": bytes(range(256)) * 40,
    "cut short": b'{"version":9,"full":true,"servers":[{"id":"s-',
    "a version that is none": b'{"version":"9","full":true,"servers":[]}',
    "a version out of range": b'{"version":1e400,"full":true,"servers":[]}',
    "another thing": b'["version",9]',
}


@pytest.mark.parametrize("body", LISTS.values(), ids=list(LISTS))
def test_a_list_that_cannot_be_read_is_rejected_and_the_last_one_kept(tmp_path: Path, body: bytes) -> None:
    """Nesting without end is no malformed JSON to the parser, but an error of its own: it went past the one
    clear error, as a traceback, and the call was counted as ended by discovery."""
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        w.discovery.raw_answers.append(head + body)
        w.discovery.announce(b, weight=0.5)
        wait_for(lambda: w.counters().get("lists_malformed") == "1")
        assert w.counters()["lists_refused_malformed"] == "1"
        assert w.log.read_text().count('event="endpoint list rejected"') == 1
        assert w.client().open_request() == "UP a"
        wait_for(lambda: f"index={w.discovery.version}&" in w.discovery.calls[-1][1])  # and the watch goes on


@pytest.mark.parametrize("part", ["head", "body", "chunk"])
def test_an_answer_without_end_is_ended_at_a_bound(tmp_path: Path, part: str) -> None:
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        before = memory_mb(w)
        head = {
            "head": b"HTTP/1.1 200 OK\r\nX-Pad: ",
            "body": b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
            "chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
        }[part]
        w.discovery.raw_answers.append(head + b"x" * 40_000_000)
        w.discovery.announce(b, weight=0.5)
        rejections = ("lists_refused_too_large", "lists_refused_not_http")
        wait_for(lambda: any(name in w.counters() for name in rejections))
        assert w.client().open_request() == "UP a"
        assert memory_mb(w) - before < 40


CONFIGS = {
    "nested": DEEP,
    "nested settings": b'{"name":"n0","settings":{"a":' + DEEP,
    "binary": b"\xff\x00" * 500,
}


@pytest.mark.parametrize("text", CONFIGS.values(), ids=list(CONFIGS))
def test_a_configuration_that_cannot_be_read_changes_nothing_and_starts_nothing(
    tmp_path: Path, text: bytes
) -> None:
    b = EndpointServer("a")
    with running_node(tmp_path, [b]) as w:
        good = w.config.read_bytes()
        w.config.write_bytes(text)
        w.process.send_signal(signal.SIGHUP)
        wait_for(lambda: w.counters().get("reloads_failed") == "1")
        assert w.client().open_request() == "UP a"
        w.config.write_bytes(json.dumps(json.loads(good)).encode())
        w.process.send_signal(signal.SIGHUP)
        wait_for(lambda: w.counters().get("reloads") == "1")
        path = tmp_path / "bad.json"
        path.write_bytes(text)
        command = [sys.executable, "-m", "gradegap", "serve", "--config", str(path)]
        done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=20)
        assert done.returncode != 0 and done.stderr.count("\n") == 1
