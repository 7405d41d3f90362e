"""Malformed input from discovery and in the configuration: one clear error, a counter, and no lost state."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.node_environment import ROOT, EndpointServer, running_node, wait_for
from tests.test_misbehaving_clients import memory_mb

DEEP_NESTING = b"[" * 200_000
LISTS = {
    "nested without end": b'{"version":9,"full":true,"servers":[' + DEEP_NESTING,
    "an entry nested without end": b'{"version":9,"full":true,"servers":[{"id":' + DEEP_NESTING + b"]}",
    "a strange field nested without end": b'{"version":9,"full":true,"other":' + DEEP_NESTING,
    "binary": bytes(range(256)) * 40,
    "cut short": b'{"version":9,"full":true,"servers":[{"id":"s-',
    "a version that is none": b'{"version":"9","full":true,"servers":[]}',
    "a version out of range": b'{"version":1e400,"full":true,"servers":[]}',
    "another thing": b'["version",9]',
}


@pytest.mark.parametrize("body", LISTS.values(), ids=list(LISTS))
def test_malformed_endpoint_list_is_rejected_and_the_last_one_kept(tmp_path: Path, body: bytes) -> None:
    """Unbounded nesting raises another exception in the parser than malformed JSON does. It must cause the
    same clear error, not a traceback and a call that is counted as ended by discovery."""
    endpoint = EndpointServer("a")
    with running_node(tmp_path, [endpoint]) as node:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        node.discovery.raw_answers.append(head + body)
        node.discovery.announce(endpoint, weight=0.5)
        wait_for(lambda: node.counters().get("lists_malformed") == "1")
        assert node.counters()["lists_refused_malformed"] == "1"
        assert node.log.read_text().count('event="endpoint list rejected"') == 1
        assert node.client().open_request() == "UP a"
        # The watch continues.
        wait_for(lambda: f"index={node.discovery.version}&" in node.discovery.calls[-1][1])


@pytest.mark.parametrize("part", ["head", "body", "chunk"])
def test_endless_discovery_answer_is_rejected_at_a_size_limit(tmp_path: Path, part: str) -> None:
    endpoint = EndpointServer("a")
    with running_node(tmp_path, [endpoint]) as node:
        memory_before_mb = memory_mb(node)
        head = {
            "head": b"HTTP/1.1 200 OK\r\nX-Pad: ",
            "body": b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
            "chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
        }[part]
        node.discovery.raw_answers.append(head + b"x" * 40_000_000)
        node.discovery.announce(endpoint, weight=0.5)
        rejections = ("lists_refused_too_large", "lists_refused_not_http")
        wait_for(lambda: any(name in node.counters() for name in rejections))
        assert node.client().open_request() == "UP a"
        assert memory_mb(node) - memory_before_mb < 40


CONFIGS = {
    "nested": DEEP_NESTING,
    "nested settings": b'{"name":"n0","settings":{"a":' + DEEP_NESTING,
    "binary": b"\xff\x00" * 500,
}


@pytest.mark.parametrize("text", CONFIGS.values(), ids=list(CONFIGS))
def test_malformed_configuration_is_rejected_by_reload_and_start(tmp_path: Path, text: bytes) -> None:
    endpoint = EndpointServer("a")
    with running_node(tmp_path, [endpoint]) as node:
        valid_config = node.config.read_bytes()
        node.config.write_bytes(text)
        node.process.send_signal(signal.SIGHUP)
        wait_for(lambda: node.counters().get("reloads_failed") == "1")
        assert node.client().open_request() == "UP a"
        node.config.write_bytes(json.dumps(json.loads(valid_config)).encode())
        node.process.send_signal(signal.SIGHUP)
        wait_for(lambda: node.counters().get("reloads") == "1")
        path = tmp_path / "bad.json"
        path.write_bytes(text)
        command = [sys.executable, "-m", "gradegap", "serve", "--config", str(path)]
        completed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=20)
        assert completed.returncode != 0 and completed.stderr.count("\n") == 1
