"""Resumable sessions on running nodes: migration, return, failures, invalid tokens and missing support."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gradegap.client import Session, SessionEndedError
from gradegap.resume.token import KEY_RING_KEY, KeyRing
from gradegap.store.member_client import MemberClient
from tests.support.node_environment import (
    SCHEDULING_SLACK_S,
    Client,
    EndpointServer,
    NodeEnvironment,
    free_port,
    new_request_id,
    running_node,
    wait_for,
)
from tests.support.quic_harness import QuicClient, running_quic_node
from tests.support.resume_servers import ResumableEndpointServer, SaveStore

RESUME_TABLE = "[resume]\n"


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(coroutine, 40.0))


def open_resumable(client: Client, more_fields: str = "", key: str = "7f3a") -> str:
    client.send(f"OPEN {new_request_id()} {key} c=live,d=1500,g=1,rs=1{more_fields}")
    return client.read_line()


def return_with_token(node: NodeEnvironment, more_fields: str, timeout_s: float = 10.0) -> tuple[Client, str]:
    """Returns a client that has returned, and the node's response to it.

    The client retries while the response is `BUSY`, for example because a member has no lease for a moment.
    """
    deadline = time.monotonic() + timeout_s
    while (response := open_resumable(client := node.client(), more_fields)).startswith("BUSY "):
        assert time.monotonic() < deadline, response
        client.sock.close()
        time.sleep(int(response[5:]) / 1000)
    return client, response


def token_of(response: str) -> str:
    match = re.fullmatch(r"UP \S+ rs=\d+,w=64,t=(\S+)", response)
    assert match is not None, response
    return match[1]


def test_session_migrated_in_place_gets_all_answers_in_order(tmp_path: Path) -> None:
    store = SaveStore()
    server_a, server_b = ResumableEndpointServer("a", store), ResumableEndpointServer("b", store)

    async def main(node: NodeEnvironment) -> None:
        session = await Session.open([node.address], key="7f3a")
        requests = [b"r%d" % index for index in range(200)]
        for index in range(0, 200, 10):
            answers = await asyncio.gather(
                *(session.request(request) for request in requests[index : index + 10])
            )
            assert answers == [b"done " + request for request in requests[index : index + 10]]
            if index == 100:
                drained_server = server_a if session.receipt == "a" else server_b
                await asyncio.to_thread(node.discovery.announce, drained_server, state="Terminating")
        (executed,) = store.effects.values()
        assert executed == requests
        next_server = server_b if drained_server is server_a else server_a
        await asyncio.to_thread(wait_for, lambda: len(next_server.open_lines) == 1)
        assert await session.request(b"last") == b"done last"
        assert session.reconnects == 0  # migrated in place: the client's connection stayed open
        await session.close()

    with running_node(tmp_path, [server_a, server_b], RESUME_TABLE) as node:
        run(main(node))
        counters = node.counters()
        assert counters["resume_in_place"] == "1" and "resume_returns" not in counters


@pytest.mark.parametrize("failure_point", ["before", "after"])
def test_server_failure_with_unanswered_requests_executes_each_once(
    tmp_path: Path, failure_point: str
) -> None:
    store = SaveStore()
    servers = [ResumableEndpointServer("a", store), ResumableEndpointServer("b", store)]
    endpoint_servers: list[EndpointServer] = [*servers]

    async def main(node: NodeEnvironment) -> None:
        session = await Session.open([node.address])
        assert await session.request(b"first") == b"done first"
        for round_number in range(4):
            for server in servers:
                server.failure_point = failure_point
            requests = [b"%d-%d" % (round_number, k) for k in range(5)]
            assert await asyncio.gather(*(session.request(request) for request in requests)) == [
                b"done " + request for request in requests
            ]
        for server in servers:
            server.failure_point = ""
        (executed,) = store.effects.values()
        assert executed == [b"first", *(b"%d-%d" % (t, k) for t in range(4) for k in range(5))]
        assert session.reconnects == 0
        await session.close()

    with running_node(tmp_path, endpoint_servers, RESUME_TABLE) as node:
        run(main(node))


def test_session_returns_to_restarted_node(tmp_path: Path) -> None:
    """With a store the token is valid at every node; a local key ring would be lost with its node."""
    store = SaveStore()
    server_a = ResumableEndpointServer("a", store)
    ports = [free_port(), free_port()]

    def operator_config(folder: Path, index: int) -> str:
        return (
            f'[resume]\n[store]\nname = "n{index}"\nlisten = "127.0.0.1:{ports[index]}"\n'
            f'data = "{folder / "data"}"\nwhen_stale = "serve"\n'
        )

    async def main(node: NodeEnvironment) -> None:
        with MemberClient(f"127.0.0.1:{ports[0]}") as member_client:
            member_client.set(KEY_RING_KEY, msgspec.to_builtins(KeyRing().rotated(1)))
        session = await Session.open([node.address], placement_timeout=20.0)
        assert await session.request(b"one") == b"done one"
        node.process.kill()
        node.process.wait()
        pending_request = asyncio.create_task(session.request(b"two"))
        await asyncio.sleep(0.1)
        restarted_node = await asyncio.to_thread(restart_node)
        assert await pending_request == b"done two"
        (executed,) = store.effects.values()
        assert executed == [b"one", b"two"]
        await session.close()
        node.process = restarted_node.process

    def restart_node() -> NodeEnvironment:
        folder = tmp_path / "again"
        folder.mkdir()
        new_node = NodeEnvironment(folder, [server_a], operator_config(tmp_path, 0), listen=node.address)
        wait_for(new_node.is_ready, 15.0)
        return new_node

    with running_node(tmp_path, [server_a], operator_config(tmp_path, 0)) as node:
        run(main(node))


def test_token_is_accepted_once(tmp_path: Path) -> None:
    server_a = ResumableEndpointServer("a", SaveStore())
    with running_node(tmp_path, [server_a], RESUME_TABLE) as node:
        first_client = node.client()
        token = token_of(open_resumable(first_client))
        first_client.send("Q 1 x")
        assert first_client.read_line() == "A 1 done x"
        second_client, third_client = node.client(), node.client()
        new_token = token_of(open_resumable(second_client, f",rh=1,rt={token}"))
        assert new_token != token
        assert open_resumable(third_client, f",rh=1,rt={token}") == "X claimed"
        # A later attempt is rejected as well.
        assert open_resumable(node.client(), f",rh=1,rt={token}") == "X claimed"
        second_client.send("Q 2 y")
        assert second_client.read_line() == "A 2 done y"
        first_client.send("Q 2 z")  # under the previous generation
        assert first_client.read_line() in ("X fenced", "")
        assert server_a.store.effects[next(iter(server_a.store.effects))] == [b"x", b"y"]
        counters = node.counters()
        assert counters["resume_refused_claimed"] == "2"
        assert token not in node.log.read_text() and new_token not in node.log.read_text()


@pytest.mark.parametrize(
    ("alter_token", "key", "reason"),
    [
        (lambda t: t[:-4], "7f3a", "forged"),
        (lambda t: t[:20], "7f3a", "malformed"),
        (lambda t: t[:-4] + ("AAAA" if t[-4:] != "AAAA" else "BBBB"), "7f3a", "forged"),
        (lambda t: "x" * 401, "7f3a", "long"),
        (lambda t: "%%%", "7f3a", "malformed"),
        (lambda t: t, "other", "stranger"),
    ],
)
def test_invalid_token_is_rejected_without_reaching_a_server(
    tmp_path: Path, alter_token: Any, key: str, reason: str
) -> None:
    server_a = ResumableEndpointServer("a", SaveStore())
    with running_node(tmp_path, [server_a], RESUME_TABLE) as node:
        token = token_of(open_resumable(node.client()))
        open_count = len(server_a.open_lines)
        client, started_at = node.client(), time.monotonic()
        assert (
            open_resumable(client, f",rh=0,rt={alter_token(token)}", key) == f"X {reason}"
            and client.read_line() == ""
        )
        assert time.monotonic() - started_at < 1.0 and len(server_a.open_lines) == open_count
        assert node.counters()[f"resume_refused_{reason}"] == "1"


def test_client_with_wrong_position_is_rejected(tmp_path: Path) -> None:
    with running_node(tmp_path, [ResumableEndpointServer("a", SaveStore())], RESUME_TABLE) as node:
        client = node.client()
        token = token_of(open_resumable(client))
        client.send("Q 1 x")
        assert client.read_line() == "A 1 done x"
        # No server has executed that many requests.
        assert open_resumable(node.client(), f",rh=9,rt={token}") == "X server"
        other_client = node.client()
        token_of(open_resumable(other_client, key="8888"))
        other_client.send("K 5")
        assert other_client.read_line() == "X position"


@pytest.mark.parametrize("node_supports", [True, False])
@pytest.mark.parametrize("server_supports", [True, False])
@pytest.mark.parametrize("client_offers", [True, False])
def test_session_without_support_on_all_sides_uses_plain_lines(
    tmp_path: Path, node_supports: bool, server_supports: bool, client_offers: bool
) -> None:
    server_a = ResumableEndpointServer("a", SaveStore(), server_supports)
    with running_node(tmp_path, [server_a], RESUME_TABLE if node_supports else None) as node:
        client = node.client()
        response = open_resumable(client) if client_offers else client.open_request("c=live,d=1500,g=1")
        if node_supports and server_supports and client_offers:
            token_of(response)
            return
        assert response == "UP a"
        client.send("hello")
        assert client.read_line() == "hello"
        (first_line,) = server_a.open_lines
        assert ("rn=" in first_line) is (node_supports and client_offers) and (
            "rs=1" in first_line
        ) is client_offers


def test_session_name_from_client_is_rejected(tmp_path: Path) -> None:
    server_a = ResumableEndpointServer("a", SaveStore())
    with running_node(tmp_path, [server_a], RESUME_TABLE) as node:
        assert node.client().open_request("c=live,d=1500,rs=1,rn=somebody.7") == "ERR"
        assert node.client().open_request("c=live,d=1500,rn=somebody.7") == "ERR" and not server_a.open_lines


def test_server_without_support_cannot_continue_a_session(tmp_path: Path) -> None:
    store = SaveStore()
    server_a, plain_server = ResumableEndpointServer("a", store), EndpointServer("b")

    async def main(node: NodeEnvironment) -> None:
        session = await Session.open([node.address])
        assert await session.request(b"x") == b"done x"
        await asyncio.to_thread(node.discovery.announce, plain_server)
        await asyncio.to_thread(node.discovery.announce, server_a, state="Terminating")
        with pytest.raises(SessionEndedError) as error:
            while True:
                await session.request(b"y")
                await asyncio.sleep(0.01)
        assert error.value.reason == "server"

    with running_node(tmp_path, [server_a], RESUME_TABLE) as node:
        run(main(node))


def test_frozen_server_that_continues_is_fenced(tmp_path: Path) -> None:
    store = SaveStore()
    server_a, server_b = ResumableEndpointServer("a", store), ResumableEndpointServer("b", store)
    with running_node(tmp_path, [server_a, server_b], RESUME_TABLE) as node:
        client = node.client()
        response = open_resumable(client)
        token, frozen_server = token_of(response), server_a if response.startswith("UP a") else server_b
        frozen_server.processing_allowed.clear()
        client.send("Q 1 late")
        client.sock.close()
        returned_client = node.client()
        while (return_response := open_resumable(returned_client, f",rh=0,rt={token}")).startswith("BUSY"):
            returned_client = node.client()
        token_of(return_response)
        if return_response.startswith(f"UP {frozen_server.name}"):
            frozen_server.processing_allowed.set()
        returned_client.send("Q 1 late")
        assert returned_client.read_line() == "A 1 done late"
        frozen_server.processing_allowed.set()
        wait_for(
            lambda: (
                store.fenced_writes >= 1
                or not frozen_server.processing_allowed.is_set()
                or return_response.startswith(f"UP {frozen_server.name}")
            )
        )
        (executed,) = store.effects.values()
        assert executed == [b"late"]


def test_client_with_full_window_gets_all_answers_in_order(tmp_path: Path) -> None:
    server_a = ResumableEndpointServer("a", SaveStore())
    with running_node(tmp_path, [server_a], RESUME_TABLE) as node:
        client = node.client()
        token_of(open_resumable(client))
        server_a.processing_allowed.clear()
        for number in range(1, 120):
            client.send(f"Q {number} x")
        server_a.processing_allowed.set()
        assert [client.read_line() for _ in range(119)] == [f"A {number} done x" for number in range(1, 120)]


def test_drain_under_load_migrates_sessions_in_place_without_pause(tmp_path: Path) -> None:
    store = SaveStore()
    server_a, server_b = ResumableEndpointServer("a", store), ResumableEndpointServer("b", store)
    gaps: list[float] = []

    async def player(node: NodeEnvironment, number: int, stop_event: asyncio.Event) -> Session:
        session = await Session.open([node.address], key=f"k{number}", placement_timeout=20.0)
        requests: list[bytes] = []
        answered_at = time.monotonic()
        while not stop_event.is_set():
            requests.append(b"%d-%d" % (number, len(requests)))
            assert await session.request(requests[-1]) == b"done " + requests[-1]
            gaps.append(time.monotonic() - answered_at)
            answered_at = time.monotonic()
            await asyncio.sleep(0.02)
        (executed,) = (request for request in store.effects.values() if request[0] == requests[0])
        assert executed == requests
        return session

    async def main(node: NodeEnvironment) -> None:
        stop_event = asyncio.Event()
        players = [asyncio.create_task(player(node, index, stop_event)) for index in range(40)]
        await asyncio.to_thread(wait_for, lambda: len(store.effects) == 40, 20.0)
        open_count = len(server_a.open_lines)
        await asyncio.to_thread(node.discovery.announce, server_a, state="Terminating")
        await asyncio.to_thread(
            wait_for, lambda: len(server_b.open_lines) + len(server_a.open_lines) >= 40 + open_count, 15.0
        )
        await asyncio.sleep(0.2)
        stop_event.set()
        sessions = await asyncio.gather(*players)
        for session in sessions:
            await session.close()

    with running_node(tmp_path, [server_a, server_b], RESUME_TABLE) as node:
        run(main(node))
        counters = node.counters()
        assert int(counters["resume_in_place"]) > 0
        assert "resume_over_order" not in counters and "resume_over_position" not in counters
    # A migration by return takes 150 ms and more; bench/resume.py measures it separately.
    assert sorted(gaps)[int(len(gaps) * 0.99)] < 0.15 + SCHEDULING_SLACK_S


def test_session_without_next_server_returns_with_new_token(tmp_path: Path) -> None:
    store = SaveStore()
    server_a, plain_server = ResumableEndpointServer("a", store), EndpointServer("b")
    with running_node(tmp_path, [server_a], RESUME_TABLE) as node:
        client = node.client()
        token = token_of(open_resumable(client))
        client.send("Q 1 x")
        assert client.read_line() == "A 1 done x"
        node.discovery.announce(plain_server)  # a server without the extension
        node.discovery.announce(server_a, state="Terminating")
        token_line = client.read_line()
        assert token_line.startswith("T ") and token_line[2:] != token
        assert [client.read_line(), client.read_line()] == ["MOVE", ""]
        assert open_resumable(node.client(), f",rh=1,rt={token}") == "X claimed"
        node.discovery.announce(server_a, state="Ready")
        node.discovery.announce(plain_server, state="Gone")
        returned_client = node.client()
        wait_for(lambda: not open_resumable(node.client(), key="else").startswith("BUSY"))
        assert token_of(open_resumable(returned_client, f",rh=1,rt={token_line[2:]}"))
        returned_client.send("Q 2 y")
        assert returned_client.read_line() == "A 2 done y"
        assert node.counters()["resume_in_place_server"] == "1"


def test_client_disconnect_during_migration_releases_all_connections(tmp_path: Path) -> None:
    store = SaveStore()
    server_a, silent_server = ResumableEndpointServer("a", store), EndpointServer("b", "silence")
    with running_node(tmp_path, [server_a], RESUME_TABLE) as node:
        client = node.client()
        token_of(open_resumable(client))
        node.discovery.announce(silent_server)
        node.discovery.announce(server_a, state="Terminating")
        wait_for(lambda: silent_server.open_lines)
        client.sock.close()
        wait_for(lambda: silent_server.connection_ends, 3.0)
        wait_for(lambda: node.counters()["reqs"] == "0")


def test_quic_client_with_changed_address_is_migrated_in_place(tmp_path: Path) -> None:
    store = SaveStore()
    server_a, server_b = ResumableEndpointServer("a", store), ResumableEndpointServer("b", store)
    with running_quic_node(tmp_path, [server_a, server_b], RESUME_TABLE) as (node, port):
        client = QuicClient(port)
        response = client.open_request("c=live,d=1500,g=1,rs=1")
        token_of(response)
        drained_server, next_server = (
            (server_a, server_b) if response.startswith("UP a") else (server_b, server_a)
        )
        other_lines, number = [], 0

        def send_request() -> None:
            nonlocal number
            number += 1
            client.send(b"K %d\r\nQ %d r%d\r\n" % (number - 1, number, number))
            while not (line := client.read_line()).startswith("A "):
                other_lines.append(line)
            assert line == f"A {number} done r{number}"

        send_request()
        node.discovery.announce(drained_server, state="Terminating")
        client.change_address()
        while not next_server.open_lines:
            send_request()
        client.change_address()
        send_request()
        (executed,) = store.effects.values()
        assert executed == [b"r%d" % request_number for request_number in range(1, number + 1)]
        assert all(line.startswith("T ") for line in other_lines) and client.closed is None
        counters = node.counters()
        assert counters["resume_in_place"] == "1" and int(counters["quic_migrations"]) >= 1


def test_client_without_acknowledgements_is_ended_with_reason_window(tmp_path: Path) -> None:
    server_a = ResumableEndpointServer("a", SaveStore())
    with running_node(tmp_path, [server_a], RESUME_TABLE) as node:
        client = node.client()
        token_of(open_resumable(client))
        for number in range(1, 258):
            client.send(f"Q {number} x")
            assert client.read_line() == (f"A {number} done x" if number <= 256 else "X window")
        assert client.read_line() == "" and len(server_a.open_lines) == 1


def test_request_that_crashes_every_server_stops_migrating(tmp_path: Path) -> None:
    """Guards against endless migration: without a limit, the session changes servers 300 times per second."""
    store = SaveStore()
    servers: list[EndpointServer] = [ResumableEndpointServer("a", store), ResumableEndpointServer("b", store)]
    with running_node(tmp_path, servers, RESUME_TABLE) as node:
        client = node.client()
        token_of(open_resumable(client))
        for server in servers:
            assert isinstance(server, ResumableEndpointServer)
            server.failure_point = "always"
        client.send("Q 1 x")
        line = "T "
        with contextlib.suppress(ConnectionResetError):  # the last server's reset is passed on
            while line.startswith("T "):
                line = client.read_line()
            assert line in ("", "MOVE")
        assert sum(len(server.open_lines) for server in servers) <= 6
        counters = node.counters()
        assert int(counters["resume_in_place"]) <= 4
