"""QUIC sessions while one process of a node takes over the port from another."""

from __future__ import annotations

import signal
import time
from pathlib import Path

from gradegap.quic.listener import CloseCode
from tests.support.node_environment import EndpointServer, wait_for
from tests.support.quic_harness import QuicClient, running_quic_node


def test_successor_takes_port_and_forwards_datagrams_of_predecessor_sessions(tmp_path: Path) -> None:
    """QUIC sessions can't be transferred, since aioquic keeps their keys: the first process keeps them."""
    endpoint_server = EndpointServer("a")
    with running_quic_node(tmp_path, [endpoint_server]) as (first, port):
        old_clients = [QuicClient(port) for _ in range(6)]
        assert {client.open_request(ident=f"old{k}") for k, client in enumerate(old_clients)} == {"UP a"}
        (tmp_path / "second").mkdir()
        with running_quic_node(tmp_path / "second", [endpoint_server], at=port, listen=first.address) as (
            second,
            _,
        ):
            wait_for(lambda: "port taken over" in second.log.read_text())
            for k, client in enumerate(old_clients):
                if k % 2:
                    client.change_address()  # during the takeover
                client.send(f"still here {k}\r\n".encode())
                assert client.read_line() == f"still here {k}"
            new_client = QuicClient(port)
            assert new_client.open_request() == "UP a" and second.counters()["quic_handshakes"] == "1"
            assert int(second.counters()["quic_forwarded"]) >= 6 and "quic_resets" not in second.counters()
            assert first.counters()["quic_handshakes"] == "6"
            first.process.terminate()
            for client in old_clients:
                assert client.read_line(4.0) == "MOVE" and client.close_code() is CloseCode.MOVED
            assert first.process.wait(5) == 0
            new_client.send(b"and on\r\n")
            assert new_client.read_line() == "and on"
            assert QuicClient(port).open_request() == "UP a"


def test_predecessor_reads_port_again_after_successor_is_killed(tmp_path: Path) -> None:
    endpoint_server = EndpointServer("a")
    with running_quic_node(tmp_path, [endpoint_server]) as (first, port):
        old_client = QuicClient(port)
        assert old_client.open_request() == "UP a"
        (tmp_path / "second").mkdir()
        with running_quic_node(tmp_path / "second", [endpoint_server], at=port, listen=first.address) as (
            second,
            _,
        ):
            wait_for(lambda: "port taken over" in second.log.read_text())
            lost_client = QuicClient(port)
            assert lost_client.open_request() == "UP a"
            second.process.kill()
            second.process.wait()
            second.process.returncode = 0
            wait_for(lambda: first.counters().get("hot_restarts_undone") == "1")
            old_client.send(b"still here\r\n")
            assert old_client.read_line() == "still here"
            assert QuicClient(port).open_request() == "UP a"
            # The second process's session is lost; a stateless reset spares its client the idle timeout.
            lost_client.send(b"anybody?\r\n")
            lost_client.run_until(lambda: lost_client.got_stateless_reset)
            assert first.counters()["quic_resets"] >= "1"


def test_successor_serves_while_predecessor_is_stopped_and_resets_its_sessions_after_its_death(
    tmp_path: Path,
) -> None:
    endpoint_server = EndpointServer("a")
    with running_quic_node(tmp_path, [endpoint_server]) as (first, port):
        old_client = QuicClient(port)
        assert old_client.open_request() == "UP a"
        (tmp_path / "second").mkdir()
        with running_quic_node(tmp_path / "second", [endpoint_server], at=port, listen=first.address) as (
            second,
            _,
        ):
            wait_for(lambda: "port taken over" in second.log.read_text())
            first.process.send_signal(signal.SIGSTOP)
            for _ in range(20):
                old_client.send(b"x" * 1000 + b"\r\n")
                old_client.step(0.0)
            assert QuicClient(port).open_request() == "UP a"
            first.process.send_signal(signal.SIGCONT)
            assert old_client.read_line(10.0) == "x" * 1000
            first.process.kill()
            first.process.wait()
            first.process.returncode = 0
            old_client.send(b"anybody?\r\n")
            old_client.run_until(lambda: old_client.got_stateless_reset)


def test_restarted_node_without_store_does_not_end_unknown_connections(tmp_path: Path) -> None:
    """Without a store the key ring is new after a restart, so no reset token can match the client's."""
    endpoint_server = EndpointServer("a")
    with running_quic_node(tmp_path, [endpoint_server]) as (first, port):
        old_client = QuicClient(port)
        assert old_client.open_request() == "UP a"
        first.process.kill()
        first.process.wait()
        first.process.returncode = 0
        (tmp_path / "again").mkdir()
        with running_quic_node(tmp_path / "again", [endpoint_server], at=port) as (second, _):
            old_client.send(b"anybody?\r\n")
            deadline = time.monotonic() + 1.0
            while time.monotonic() < deadline:
                old_client.step(0.02)
            assert old_client.closed is None
            assert any(
                name.startswith("quic_dropped_") or name == "quic_resets" for name in second.counters()
            )
