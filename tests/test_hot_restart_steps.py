"""The steps of a hot restart: the test acts as the successor and controls when it answers messages."""

from __future__ import annotations

import os
import signal
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

import msgspec
import pytest

from gradegap.hot_restart.link import MAX_MESSAGE_BYTES, MAX_MESSAGE_DESCRIPTORS, close_descriptors
from gradegap.hot_restart.messages import (
    EstablishedSession,
    IdleSession,
    Message,
    Offer,
    SessionResult,
    StateComplete,
    SuccessorReady,
)
from tests.support.node_environment import (
    SCHEDULING_SLACK_S,
    Client,
    EndpointServer,
    NodeEnvironment,
    wait_for,
)
from tests.test_admin_api import call, served

Expected = TypeVar("Expected", bound=msgspec.Struct)
MESSAGE_TIMEOUT_S = 3.0  # limits how long the node may take to send its next message
OBSERVATION_TIME_S = 0.3  # time during which a session in transfer must stay unchanged


class FakeSuccessor:
    """Follows a node over its Unix socket, message by message."""

    def __init__(self, folder: Path) -> None:
        (path,) = folder.glob("*.sock")
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.sock.settimeout(MESSAGE_TIMEOUT_S)
        self.sock.connect(str(path))
        self.decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
        self.descriptors: dict[int, list[int]] = {}  # of sessions, by serial
        self.offer = self.receive_until(Offer)
        self.receive_until(StateComplete)

    def receive(self) -> Message:
        body, descriptors, _, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES, MAX_MESSAGE_DESCRIPTORS)
        if not body:
            raise EOFError
        message = self.decoder.decode(body)
        if isinstance(message, IdleSession | EstablishedSession):
            self.descriptors[message.serial] = list(descriptors)
        else:
            close_descriptors(list(descriptors))
        return message

    def receive_until(self, message_type: type[Expected]) -> Expected:
        deadline = time.time() + MESSAGE_TIMEOUT_S
        while time.time() < deadline:
            if isinstance(message := self.receive(), message_type):
                return message
        raise TimeoutError(message_type.__name__)

    def send(self, message: Message) -> None:
        self.sock.send(msgspec.msgpack.encode(message))

    def answer_session(self, message: IdleSession | EstablishedSession, is_accepted: bool) -> list[int]:
        """Answer a session; returns its descriptors, which are closed if it is not accepted."""
        descriptors = self.descriptors.pop(message.serial)
        if not is_accepted:
            close_descriptors(descriptors)
        self.send(SessionResult(message.serial, is_accepted))
        return descriptors

    def stop(self) -> None:
        for descriptors in self.descriptors.values():
            close_descriptors(descriptors)
        self.descriptors.clear()
        self.sock.close()


def try_to_follow(folder: Path) -> FakeSuccessor | None:
    """A new successor; None while the node still considers the previous one alive."""
    try:
        return FakeSuccessor(folder)
    except (EOFError, OSError):
        return None


@contextmanager
def node_with_successor(
    tmp_path: Path, endpoint_servers: list[EndpointServer]
) -> Iterator[tuple[NodeEnvironment, str, FakeSuccessor]]:
    with served(tmp_path, endpoint_servers) as (node, admin_address):
        successor = FakeSuccessor(tmp_path)
        try:
            yield node, admin_address, successor
        finally:
            successor.stop()


def receives_echo(client: Client, line: str) -> bool:
    client.send(line)
    return client.read_line() == line


def establish(node: NodeEnvironment, client: Client) -> None:
    assert client.open_request().startswith("UP")


def test_successor_death_before_readiness_has_no_effect(tmp_path: Path) -> None:
    with node_with_successor(tmp_path, [EndpointServer("a")]) as (node, _, successor):
        client = node.client()
        establish(node, client)
        successor.stop()
        assert receives_echo(client, "here") and node.client().open_request() == "UP a"
        next_one = wait_for(lambda: try_to_follow(tmp_path))
        next_one.send(SuccessorReady())
        assert next_one.receive_until(EstablishedSession).endpoint == "s-a"
        next_one.stop()
        assert receives_echo(client, "still here")


@pytest.mark.parametrize("failure", ["died", "rejected"])
def test_session_not_accepted_continues_with_data_sent_meanwhile(tmp_path: Path, failure: str) -> None:
    server = EndpointServer("a")
    with node_with_successor(tmp_path, [server]) as (node, _, successor):
        client = node.client()
        establish(node, client)
        successor.send(SuccessorReady())
        sent_session = successor.receive_until(EstablishedSession)
        client.send("said in between")
        # Data is not forwarded until one process owns the session.
        assert client.receives_nothing(OBSERVATION_TIME_S)
        if failure == "rejected":
            successor.answer_session(sent_session, is_accepted=False)
            successor.receive_until(EstablishedSession)  # the session is sent again
        successor.stop()
        assert client.read_line() == "said in between"
        assert receives_echo(client, "after")
        assert int(node.counters()["sessions_taken_back"]) >= (2 if failure == "rejected" else 1)


def test_request_on_idle_connection_in_transfer_is_answered_once(tmp_path: Path) -> None:
    server = EndpointServer("a")
    with node_with_successor(tmp_path, [server]) as (node, _, successor):
        client = node.client()
        client.send("PING")
        assert client.read_line() == "PONG"
        successor.send(SuccessorReady())
        successor.receive_until(IdleSession)
        client.send("OPEN one 7f3a c=live,d=1500,g=1")
        assert client.receives_nothing(OBSERVATION_TIME_S) and not server.open_lines
        successor.stop()
        assert client.read_line() == "UP a" and len(server.open_lines) == 1
        assert receives_echo(client, "here")


@pytest.mark.parametrize("accepted", [True, False])
def test_idle_connection_closed_by_client_in_transfer_is_released(tmp_path: Path, accepted: bool) -> None:
    with node_with_successor(tmp_path, [EndpointServer("a")]) as (node, _, successor):
        client = node.client()
        client.send("PING")
        assert client.read_line() == "PONG"
        successor.send(SuccessorReady())
        sent_session = successor.receive_until(IdleSession)
        client.file.close()
        client.sock.close()
        if accepted:
            (descriptor,) = successor.answer_session(sent_session, is_accepted=True)
            assert os.read(descriptor, 1) == b""  # the successor reads the end of the connection
            os.close(descriptor)
        else:
            successor.stop()
        wait_for(lambda: node.counters()["open_sessions"] == "0")


def test_session_established_during_hot_restart_is_answered_and_transferred(tmp_path: Path) -> None:
    server = EndpointServer("a")
    server.open_answers_allowed.clear()
    with node_with_successor(tmp_path, [server]) as (node, _, successor):
        client = node.client()
        client.send("OPEN one 7f3a c=live,d=1500,g=1")
        wait_for(lambda: server.open_lines)
        successor.send(SuccessorReady())
        wait_for(lambda: node.counters().get("hot_restarts") == "1")
        server.open_answers_allowed.set()
        assert client.read_line() == "UP a"
        sent_session = successor.receive_until(EstablishedSession)
        client_descriptor, server_descriptor = successor.answer_session(sent_session, is_accepted=True)
        wait_for(lambda: node.counters()["open_sessions"] == "0")
        # The predecessor has closed neither connection: the successor can use both sockets.
        with (
            socket.socket(fileno=client_descriptor) as client_side,
            socket.socket(fileno=server_descriptor) as server_side,
        ):
            client_side.settimeout(MESSAGE_TIMEOUT_S)
            server_side.settimeout(MESSAGE_TIMEOUT_S)
            server_side.sendall(b"here\r\n")
            client_side.sendall(server_side.recv(100))
            assert client.read_line() == "here"


def test_drain_during_transfer_migrates_session_once_taken_back(tmp_path: Path) -> None:
    server = EndpointServer("a")
    with node_with_successor(tmp_path, [server]) as (node, admin_address, successor):
        client = node.client()
        establish(node, client)
        successor.send(SuccessorReady())
        successor.receive_until(EstablishedSession)
        call(admin_address, "save-servers/s-a/offline")
        successor.stop()
        started_at = time.monotonic()
        assert client.read_line() == "MOVE"
        assert time.monotonic() - started_at < 4.0 + SCHEDULING_SLACK_S


@pytest.mark.parametrize("successor_action", ["accepted", "died", "none"])
def test_shutdown_during_transfer_disconnects_no_client(tmp_path: Path, successor_action: str) -> None:
    """Guards against a successor that hangs with sessions in transfer: if the predecessor exits, clients of
    these sessions are disconnected without MOVE."""
    server = EndpointServer("a")
    with node_with_successor(tmp_path, [server]) as (node, _, successor):
        client = node.client()
        establish(node, client)
        successor.send(SuccessorReady())
        sent_session = successor.receive_until(EstablishedSession)
        node.process.send_signal(signal.SIGTERM)
        wait_for(lambda: 'event="shutdown started"' in node.log.read_text())
        if successor_action == "accepted":
            descriptors = successor.answer_session(sent_session, is_accepted=True)
            assert node.process.wait(6) == 0
            assert client.receives_nothing(OBSERVATION_TIME_S)
            close_descriptors(descriptors)
        else:
            if successor_action == "died":
                successor.stop()
            assert client.read_line() == "MOVE"
            assert node.process.wait(6) == 0


def test_endpoint_close_during_transfer_ends_session_once_taken_back(tmp_path: Path) -> None:
    server = EndpointServer("a")
    with node_with_successor(tmp_path, [server]) as (node, _, successor):
        client = node.client()
        establish(node, client)
        successor.send(SuccessorReady())
        successor.receive_until(EstablishedSession)
        server.established[-1].sendall(b"BYE\r\n")
        server.established[-1].shutdown(socket.SHUT_RDWR)
        assert client.receives_nothing(OBSERVATION_TIME_S)
        successor.stop()
        assert [client.read_line(), client.read_line()] == ["BYE", ""]


def test_malformed_message_ends_hot_restart_and_keeps_sessions(tmp_path: Path) -> None:
    with node_with_successor(tmp_path, [EndpointServer("a")]) as (node, _, successor):
        client = node.client()
        establish(node, client)
        successor.send(SuccessorReady())
        successor.receive_until(EstablishedSession)
        successor.sock.send(b"\xc1 no message")
        assert receives_echo(client, "here")
        wait_for(lambda: node.counters().get("hot_restarts_undone") == "1")
        assert node.client().open_request() == "UP a"
