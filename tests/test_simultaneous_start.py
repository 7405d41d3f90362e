"""Thirty node processes that start at the same time are ready in time, even if discovery fails."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from tests.support.deployments import ON_REQUEST, PUSHED, LoadReportingServer, NodeProcess
from tests.support.node_environment import wait_for
from tests.support.silent_discovery import SerializedDiscovery, SilentDiscovery

PROCESS_COUNT = 30
READY_TIMEOUT_S = 10.0  # limits the time until nine in ten processes are ready


@pytest.mark.parametrize("discovery_state", ["down", "silent", "asked in turn"])
def test_processes_started_together_are_ready_in_time(tmp_path: Path, discovery_state: str) -> None:
    server = LoadReportingServer("a")
    server.report()
    settings = PUSHED
    discovery = SilentDiscovery([server.entry])
    if discovery_state == "down":
        discovery.listener.close()
    elif discovery_state == "silent":
        discovery.fall_silent("unread", 10_000)
    else:
        settings, discovery = (
            ON_REQUEST,
            SerializedDiscovery([server.entry], service_time_s=0.2, max_wait_s=2.0),
        )
    started_at = time.monotonic()
    nodes = [NodeProcess(tmp_path, index, settings, discovery, wait=False) for index in range(PROCESS_COUNT)]
    try:
        ready: set[int] = set()

        def most_are_ready() -> bool:
            ready.update(index for index, node in enumerate(nodes) if index not in ready and node.is_ready())
            return len(ready) >= 0.9 * PROCESS_COUNT

        wait_for(most_are_ready, READY_TIMEOUT_S - (time.monotonic() - started_at))
        wait_for(lambda: most_are_ready() and len(ready) == PROCESS_COUNT, 30.0)
    finally:
        for node in nodes:
            node.process.kill()
            node.process.wait()
