"""A node under a seccomp filter that denies fork, exec, io_uring, splice, sendfile and IPv6.

The fleet bench starts nodes under the same restrictions. `tests/support/seccomp_filter.py` installs the
filter in the node's own process, and no process connects to its Unix sockets. The node must start, serve,
shut down on SIGTERM and exit as usual. The test enables a hot restart socket and a recording, because these
parts of a node could fork or wait on a Unix socket.
"""

from __future__ import annotations

import platform
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.node_environment import ROOT, EndpointServer, running_node, wait_for

pytestmark = pytest.mark.skipif(platform.machine() != "x86_64", reason="the filter is written for x86_64")
LAUNCHER = [str(ROOT / "tests" / "support" / "seccomp_filter.py")]


def test_node_under_seccomp_filter_serves_and_exits(tmp_path: Path) -> None:
    # The server reports no load. With a report of a load of 0.05 at 40 connections, capacity for 450
    # connections at each of three nodes would not be certain, and whether a health check reads the report
    # before the last client's request depends on the machine's speed.
    server = EndpointServer("a", load="x0=0.0,inflight=0")
    operator = f'[capture]\nfolder = "{tmp_path / "capture"}"\nstate_s = 1.0\n'
    environment_variables = {"TMPDIR": str(tmp_path)}  # enables the hot restart socket
    with running_node(tmp_path, [server], operator, environment_variables, launcher=LAUNCHER) as node:
        # Each client sends its request at once: a client that is silent for 2.5 s is answered ERR.
        clients, answers = [], set()
        for _ in range(450):  # more than a recording captures in place, so that it tries to fork
            clients.append(node.client())
            answers.add(clients[-1].open_request())
        assert answers == {"UP a"}
        wait_for(lambda: "fork refused" in node.log.read_text(), 10.0)
        bytes_before = int(node.counters().get("capture_bytes", 0))
        # A state is recorded without a fork.
        wait_for(lambda: int(node.counters().get("capture_bytes", 0)) > bytes_before + 10_000, 10.0)
        assert node.counters()["capture_forks_refused"] == "1"
        client = node.client()
        assert client.open_request() == "UP a"
        node.process.send_signal(signal.SIGTERM)
        assert [client.read_line(), client.read_line()] == ["MOVE", ""]
        assert node.process.wait(5) == 0  # `running_node` checks that the log has no traceback


def test_seccomp_filter_denies_fork_exec_and_splice_but_not_threads() -> None:
    """Checks the filter itself: it denies a fork, the start of a program and a splice, and allows threads."""
    program = (
        "import os, sys, threading, subprocess; sys.path.insert(0, sys.argv[1])\n"
        "from tests.support import seccomp_filter; seccomp_filter.install()\n"
        "t = threading.Thread(target=print); t.start(); t.join(); r, w = os.pipe()\n"
        "for call in (os.fork, lambda: subprocess.run(['true']), lambda: os.splice(r, w, 1)):\n"
        "    try: call(); print('made')\n"
        "    except OSError as e: print(e.errno)\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", program, str(ROOT)], capture_output=True, text=True, timeout=30
    )
    assert completed.stdout.split() == ["38", "38", "22"], completed.stderr
