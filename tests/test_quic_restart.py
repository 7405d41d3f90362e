"""Sessions over QUIC while one process of a node takes over from another."""

from __future__ import annotations

import signal
import time
from pathlib import Path

from gradegap.quic.listener import CloseCode
from tests.support.node_environment import EndpointServer, wait_for
from tests.support.quic_harness import QuicClient, running_quic_node


def test_a_second_process_takes_the_port_and_no_session_is_reset(tmp_path: Path) -> None:
    """Sessions can't pass, as their keys are the library's own: the first keeps them and hears of them."""
    a = EndpointServer("a")
    with running_quic_node(tmp_path, [a]) as (w, port):
        old = [QuicClient(port) for _ in range(6)]
        assert {c.open_request(ident=f"old{k}") for k, c in enumerate(old)} == {"UP a"}
        (tmp_path / "second").mkdir()
        with running_quic_node(tmp_path / "second", [a], at=port, listen=w.address) as (n, _):
            wait_for(lambda: "port taken over" in n.log.read_text())
            for k, c in enumerate(old):
                if k % 2:
                    c.change_address()  # to a new address, in the middle of it
                c.send(f"still here {k}\r\n".encode())
                assert c.read_line() == f"still here {k}"
            new = QuicClient(port)
            assert new.open_request() == "UP a" and n.counters()["quic_handshakes"] == "1"
            assert int(n.counters()["quic_forwarded"]) >= 6 and "quic_resets" not in n.counters()
            assert w.counters()["quic_handshakes"] == "6"
            w.process.terminate()
            for c in old:
                assert c.read_line(4.0) == "MOVE" and c.close_code() is CloseCode.MOVED
            assert w.process.wait(5) == 0
            new.send(b"and on\r\n")
            assert new.read_line() == "and on"
            assert QuicClient(port).open_request() == "UP a"


def test_a_first_process_reads_its_port_again_where_the_second_has_died(tmp_path: Path) -> None:
    a = EndpointServer("a")
    with running_quic_node(tmp_path, [a]) as (w, port):
        old = QuicClient(port)
        assert old.open_request() == "UP a"
        (tmp_path / "second").mkdir()
        with running_quic_node(tmp_path / "second", [a], at=port, listen=w.address) as (n, _):
            wait_for(lambda: "port taken over" in n.log.read_text())
            lost = QuicClient(port)
            assert lost.open_request() == "UP a"
            n.process.kill()
            n.process.wait()
            n.process.returncode = 0
            wait_for(lambda: w.counters().get("hot_restarts_undone") == "1")
            old.send(b"still here\r\n")
            assert old.read_line() == "still here"
            assert QuicClient(port).open_request() == "UP a"
            # What the second held is lost, and its client is told so: it need not wait for its idle time.
            lost.send(b"anybody?\r\n")
            lost.run_until(lambda: lost.got_stateless_reset)
            assert w.counters()["quic_resets"] >= "1"


def test_a_second_process_that_a_stopped_one_was_before_goes_on_without_it(tmp_path: Path) -> None:
    a = EndpointServer("a")
    with running_quic_node(tmp_path, [a]) as (w, port):
        old = QuicClient(port)
        assert old.open_request() == "UP a"
        (tmp_path / "second").mkdir()
        with running_quic_node(tmp_path / "second", [a], at=port, listen=w.address) as (n, _):
            wait_for(lambda: "port taken over" in n.log.read_text())
            w.process.send_signal(signal.SIGSTOP)
            for _ in range(20):
                old.send(b"x" * 1000 + b"\r\n")
                old.step(0.0)
            assert QuicClient(port).open_request() == "UP a"
            w.process.send_signal(signal.SIGCONT)
            assert old.read_line(10.0) == "x" * 1000
            w.process.kill()
            w.process.wait()
            w.process.returncode = 0
            old.send(b"anybody?\r\n")
            old.run_until(lambda: old.got_stateless_reset)


def test_a_node_started_anew_resets_what_it_no_longer_knows(tmp_path: Path) -> None:
    """Without a store the ring is new, too: then nothing is proven, and nobody is reset by a guess."""
    a = EndpointServer("a")
    with running_quic_node(tmp_path, [a]) as (w, port):
        old = QuicClient(port)
        assert old.open_request() == "UP a"
        w.process.kill()
        w.process.wait()
        w.process.returncode = 0
        (tmp_path / "again").mkdir()
        with running_quic_node(tmp_path / "again", [a], at=port) as (n, _):
            old.send(b"anybody?\r\n")
            end = time.monotonic() + 1.0
            while time.monotonic() < end:
                old.step(0.02)
            assert old.closed is None
            assert any(name.startswith("quic_dropped_") or name == "quic_resets" for name in n.counters())
