"""The node as the fleet bench starts it: fork, programs, io_uring, splice, sendfile and IPv6 refused.

The refusals are made by `tests/support/seccomp_filter.py`, a seccomp filter on the node's own process; nobody
comes to its Unix sockets. The node must start, serve, be replaced by SIGTERM and end as usual, with a
socket for its hot restart and a capture asked for, which are the parts of it that could fork or wait on a
Unix socket.
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


def test_a_node_under_the_fleets_filter_serves_and_ends(tmp_path: Path) -> None:
    # It reports no load: one of 40 connections at 0.05 leaves three nodes' 450 no certain room once a probe
    # shows it, and whether a probe comes before the last client asks is the machine's speed.
    b = EndpointServer("a", load="x0=0.0,inflight=0")
    capture = f'[capture]\nfolder = "{tmp_path / "capture"}"\nstate_s = 1.0\n'
    env = {"TMPDIR": str(tmp_path)}  # the hot restart's socket is made, and nobody comes to it
    with running_node(tmp_path, [b], capture, env, launcher=LAUNCHER) as w:
        # Each asks as soon as it is connected: one that is silent for 2.5 s is answered ERR.
        clients, answers = [], set()
        for _ in range(450):  # more than a state walked in place: one would be forked
            clients.append(w.client())
            answers.add(clients[-1].open_request())
        assert answers == {"UP a"}
        wait_for(lambda: "fork refused" in w.log.read_text(), 10.0)
        before = int(w.counters().get("capture_bytes", 0))
        wait_for(
            lambda: int(w.counters().get("capture_bytes", 0)) > before + 10_000, 10.0
        )  # a state, in place
        assert w.counters()["capture_forks_refused"] == "1"
        c = w.client()
        assert c.open_request() == "UP a"
        w.process.send_signal(signal.SIGTERM)
        assert [c.read_line(), c.read_line()] == ["MOVE", ""]
        assert w.process.wait(5) == 0  # and the world has no traceback in its log


def test_the_filter_refuses_what_the_page_says() -> None:
    """The stand-in itself: a planted fork, program or splice under it is refused, threads are not."""
    probe = (
        "import os, sys, threading, subprocess; sys.path.insert(0, sys.argv[1])\n"
        "from tests.support import seccomp_filter; seccomp_filter.install()\n"
        "t = threading.Thread(target=print); t.start(); t.join(); r, w = os.pipe()\n"
        "for call in (os.fork, lambda: subprocess.run(['true']), lambda: os.splice(r, w, 1)):\n"
        "    try: call(); print('made')\n"
        "    except OSError as e: print(e.errno)\n"
    )
    out = subprocess.run([sys.executable, "-c", probe, str(ROOT)], capture_output=True, text=True, timeout=30)
    assert out.stdout.split() == ["38", "38", "22"], out.stderr
