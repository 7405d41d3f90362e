"""Each step of a hot restart forced: the test is the successor, and so says when each message is answered."""

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
PATIENCE = 3.0  # s that the node may take to send its next message
HELD = 0.3  # s in which what was handed out must stay as it is


class Successor:
    """Follows a node over its Unix socket, message by message."""

    def __init__(self, folder: Path) -> None:
        (path,) = folder.glob("*.sock")
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.sock.settimeout(PATIENCE)
        self.sock.connect(str(path))
        self.decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
        self.fds: dict[int, list[int]] = {}  # of each session, by its serial
        self.offer = self.until(Offer)
        self.until(StateComplete)

    def next(self) -> Message:
        body, fds, _, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES, MAX_MESSAGE_DESCRIPTORS)
        if not body:
            raise EOFError
        message = self.decoder.decode(body)
        if isinstance(message, IdleSession | EstablishedSession):
            self.fds[message.serial] = list(fds)
        else:
            close_descriptors(list(fds))
        return message

    def until(self, kind: type[Expected]) -> Expected:
        end = time.time() + PATIENCE
        while time.time() < end:
            if isinstance(message := self.next(), kind):
                return message
        raise TimeoutError(kind.__name__)

    def send(self, message: Message) -> None:
        self.sock.send(msgspec.msgpack.encode(message))

    def take(self, message: IdleSession | EstablishedSession, good: bool) -> list[int]:
        """Answer for a session; its descriptors, which are closed where it was not accepted."""
        fds = self.fds.pop(message.serial)
        if not good:
            close_descriptors(fds)
        self.send(SessionResult(message.serial, good))
        return fds

    def die(self) -> None:
        for fds in self.fds.values():
            close_descriptors(fds)
        self.fds.clear()
        self.sock.close()


def next_successor(folder: Path) -> Successor | None:
    """None while the node still takes the one before for alive."""
    try:
        return Successor(folder)
    except (EOFError, OSError):
        return None


@contextmanager
def followed(
    tmp_path: Path, endpoint_servers: list[EndpointServer]
) -> Iterator[tuple[NodeEnvironment, str, Successor]]:
    with served(tmp_path, endpoint_servers) as (w, admin_address):
        successor = Successor(tmp_path)
        try:
            yield w, admin_address, successor
        finally:
            successor.die()


def echoes(client: Client, line: str) -> bool:
    client.send(line)
    return client.read_line() == line


def establish(w: NodeEnvironment, client: Client) -> None:
    assert client.open_request().startswith("UP")


def test_a_successor_that_dies_before_it_is_ready_changes_nothing(tmp_path: Path) -> None:
    with followed(tmp_path, [EndpointServer("a")]) as (w, _, successor):
        client = w.client()
        establish(w, client)
        successor.die()
        assert echoes(client, "here") and w.client().open_request() == "UP a"
        again = wait_for(lambda: next_successor(tmp_path))
        again.send(SuccessorReady())
        assert again.until(EstablishedSession).endpoint == "s-a"
        again.die()
        assert echoes(client, "still here")


@pytest.mark.parametrize("how", ["died", "rejected"])
def test_a_session_that_was_not_accepted_goes_on_with_what_was_sent_meanwhile(
    tmp_path: Path, how: str
) -> None:
    a = EndpointServer("a")
    with followed(tmp_path, [a]) as (w, _, successor):
        client = w.client()
        establish(w, client)
        successor.send(SuccessorReady())
        given = successor.until(EstablishedSession)
        client.send("said in between")
        assert client.receives_nothing(HELD)  # neither process may pass it on before the other has let go
        if how == "rejected":
            successor.take(given, good=False)
            successor.until(EstablishedSession)  # it is offered again
        successor.die()
        assert client.read_line() == "said in between"
        assert echoes(client, "after")
        assert int(w.counters()["sessions_taken_back"]) >= (2 if how == "rejected" else 1)


def test_a_request_on_an_idle_connection_in_between_is_answered_once(tmp_path: Path) -> None:
    a = EndpointServer("a")
    with followed(tmp_path, [a]) as (w, _, successor):
        client = w.client()
        client.send("PING")
        assert client.read_line() == "PONG"
        successor.send(SuccessorReady())
        successor.until(IdleSession)
        client.send("OPEN one 7f3a c=live,d=1500,g=1")
        assert client.receives_nothing(HELD) and not a.open_lines
        successor.die()
        assert client.read_line() == "UP a" and len(a.open_lines) == 1
        assert echoes(client, "here")


@pytest.mark.parametrize("accepted", [True, False])
def test_an_idle_connection_whose_client_leaves_as_it_passes_is_not_kept(
    tmp_path: Path, accepted: bool
) -> None:
    with followed(tmp_path, [EndpointServer("a")]) as (w, _, successor):
        client = w.client()
        client.send("PING")
        assert client.read_line() == "PONG"
        successor.send(SuccessorReady())
        given = successor.until(IdleSession)
        client.file.close()
        client.sock.close()
        if accepted:
            (fd,) = successor.take(given, good=True)
            assert os.read(fd, 1) == b""  # its end is the successor's to read
            os.close(fd)
        else:
            successor.die()
        wait_for(lambda: w.counters()["open_sessions"] == "0")


def test_an_answer_that_comes_after_the_hot_restart_began_is_given_and_then_passed(tmp_path: Path) -> None:
    a = EndpointServer("a")
    a.open_answers_allowed.clear()
    with followed(tmp_path, [a]) as (w, _, successor):
        client = w.client()
        client.send("OPEN one 7f3a c=live,d=1500,g=1")
        wait_for(lambda: a.open_lines)
        successor.send(SuccessorReady())
        wait_for(lambda: w.counters().get("hot_restarts") == "1")
        a.open_answers_allowed.set()
        assert client.read_line() == "UP a"
        given = successor.until(EstablishedSession)
        client_fd, server_fd = successor.take(given, good=True)
        wait_for(lambda: w.counters()["open_sessions"] == "0")
        # Both sockets live on in the successor, and the first has cut neither.
        with socket.socket(fileno=client_fd) as here, socket.socket(fileno=server_fd) as there:
            here.settimeout(PATIENCE)
            there.settimeout(PATIENCE)
            there.sendall(b"here\r\n")
            here.sendall(there.recv(100))
            assert client.read_line() == "here"


def test_a_drain_while_a_session_is_on_its_way_migrates_it_once_it_is_back(tmp_path: Path) -> None:
    a = EndpointServer("a")
    with followed(tmp_path, [a]) as (w, admin_address, successor):
        client = w.client()
        establish(w, client)
        successor.send(SuccessorReady())
        successor.until(EstablishedSession)
        call(admin_address, "save-servers/s-a/offline")
        successor.die()
        began = time.monotonic()
        assert client.read_line() == "MOVE"
        assert time.monotonic() - began < 4.0 + SCHEDULING_SLACK_S


@pytest.mark.parametrize("answer", ["accepted", "died", "none"])
def test_a_stop_while_a_session_is_on_its_way_cuts_nobody_off(tmp_path: Path, answer: str) -> None:
    """A successor that hung kept what was on its way to it: the first ended, and its clients were cut off
    without MOVE."""
    a = EndpointServer("a")
    with followed(tmp_path, [a]) as (w, _, successor):
        client = w.client()
        establish(w, client)
        successor.send(SuccessorReady())
        given = successor.until(EstablishedSession)
        w.process.send_signal(signal.SIGTERM)
        wait_for(lambda: "event=leaving" in w.log.read_text())
        if answer == "accepted":
            fds = successor.take(given, good=True)
            assert w.process.wait(6) == 0
            assert client.receives_nothing(HELD)
            close_descriptors(fds)
        else:
            if answer == "died":
                successor.die()
            assert client.read_line() == "MOVE"
            assert w.process.wait(6) == 0


def test_a_server_that_ends_a_session_on_its_way_ends_it_once_it_is_back(tmp_path: Path) -> None:
    a = EndpointServer("a")
    with followed(tmp_path, [a]) as (w, _, successor):
        client = w.client()
        establish(w, client)
        successor.send(SuccessorReady())
        successor.until(EstablishedSession)
        a.established[-1].sendall(b"BYE\r\n")
        a.established[-1].shutdown(socket.SHUT_RDWR)
        assert client.receives_nothing(HELD)
        successor.die()
        assert [client.read_line(), client.read_line()] == ["BYE", ""]


def test_a_message_that_can_not_be_read_ends_the_hot_restart_and_keeps_the_sessions(tmp_path: Path) -> None:
    with followed(tmp_path, [EndpointServer("a")]) as (w, _, successor):
        client = w.client()
        establish(w, client)
        successor.send(SuccessorReady())
        successor.until(EstablishedSession)
        successor.sock.send(b"\xc1 no message")
        assert echoes(client, "here")
        wait_for(lambda: w.counters().get("hot_restarts_undone") == "1")
        assert w.client().open_request() == "UP a"
