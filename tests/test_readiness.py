"""Thirty processes restarted together are ready in time, whatever discovery does meanwhile."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from tests.support.deployments import ON_REQUEST, PUSHED, LoadReportingServer, NodeProcess
from tests.support.node_environment import wait_for
from tests.support.silent_discovery import SerializedDiscovery, SilentDiscovery

PROCESSES = 30
READY_IN = 10.0  # s in which nine in ten have to be ready


@pytest.mark.parametrize("trouble", ["down", "silent", "asked in turn"])
def test_thirty_processes_started_together_are_ready_in_time(tmp_path: Path, trouble: str) -> None:
    server = LoadReportingServer("a")
    server.report()
    settings = PUSHED
    d = SilentDiscovery([server.entry])
    if trouble == "down":
        d.listener.close()
    elif trouble == "silent":
        d.fall_silent("unread", 10_000)
    else:
        settings, d = ON_REQUEST, SerializedDiscovery([server.entry], service_time_s=0.2, max_wait_s=2.0)
    began = time.monotonic()
    nodes = [NodeProcess(tmp_path, k, settings, d, wait=False) for k in range(PROCESSES)]
    try:
        ready: set[int] = set()

        def most() -> bool:
            ready.update(k for k, node in enumerate(nodes) if k not in ready and node.is_ready())
            return len(ready) >= 0.9 * PROCESSES

        wait_for(most, READY_IN - (time.monotonic() - began))
        wait_for(lambda: most() and len(ready) == PROCESSES, 30.0)
    finally:
        for node in nodes:
            node.process.kill()
            node.process.wait()
