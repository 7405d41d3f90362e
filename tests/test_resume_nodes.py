"""Tokens at several nodes with a replicated store, across a hot restart, and across a key rotation."""

from __future__ import annotations

import asyncio
import threading
import time
from pathlib import Path

import msgspec

from gradegap.client import Session
from gradegap.resume.token import KEY_RING_KEY, KeyRing, TokenPayload, open_token
from gradegap.resume.token_renewal import TokenRenewals
from gradegap.store.member_client import MemberClient
from gradegap.verification.sessions import Record, from_node, violations
from tests.support.node_environment import Client, NodeEnvironment, running_node, wait_for
from tests.support.resume_servers import ResumableEndpointServer, SaveStore
from tests.support.store_nodes import StoreNodes, nodes
from tests.test_hot_restart import running_successor
from tests.test_resume import RESUME_TABLE, open_resumable, return_with_token, run, token_of

__all__ = ["nodes"]


def start_nodes(nodes: StoreNodes) -> tuple[SaveStore, list[ResumableEndpointServer]]:
    store = SaveStore()
    servers = [ResumableEndpointServer(name, store) for name in "ab"]
    nodes.endpoint_servers = list(servers)
    nodes.start_all(RESUME_TABLE)
    with MemberClient(nodes.listen_addresses["n1"], b"", 10.0) as member_client:
        member_client.set(KEY_RING_KEY, msgspec.to_builtins(KeyRing().rotated(1)))
    return store, servers


def open_session(node: NodeEnvironment) -> tuple[Client, str]:
    """Returns the client of a new resumable session and its token.

    Retries until the node has received the key ring, which happens a moment after it is written.
    """
    while True:
        client = node.client()
        if ",t=" in (response := open_resumable(client)):
            return client, token_of(response)


def test_concurrent_returns_to_two_nodes_accept_the_token_once(nodes: StoreNodes) -> None:
    store, _ = start_nodes(nodes)
    for round_number in range(8):
        client, token = open_session(nodes.environments["n1"])
        client.send(f"Q 1 turn-{round_number}")
        assert client.read_line() == f"A 1 done turn-{round_number}"
        client.sock.close()
        target_nodes = [nodes.environments[name] for name in ("n2", "n3")]
        responses = ["", ""]
        barrier = threading.Barrier(2)

        def return_client(index: int, token: str = token) -> None:
            barrier.wait()  # noqa: B023
            # The secret allows a retry after BUSY, when the reservation may have been made.
            secret = f"{index + 10}" * 16
            responses[index] = return_with_token(target_nodes[index], f",rh=1,rt={token},ra={secret}")[1]  # noqa: B023

        threads = [threading.Thread(target=return_client, args=(index,)) for index in (0, 1)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(15.0)
        accepted = [response for response in responses if response.startswith("UP ")]
        assert len(accepted) == 1 and "X claimed" in responses, responses
        # A later attempt is rejected as well.
        assert return_with_token(nodes.environments["n1"], f",rh=1,rt={token}")[1] == "X claimed"
    log = [
        record for name in nodes.names for record in from_node(name, nodes.environments[name].log.read_text())
    ]
    assert len(log) == 8 and not list(violations([*log, *store.log]))


def test_session_without_quorum_returns_once_quorum_is_restored(nodes: StoreNodes) -> None:
    store, (server_a, server_b) = start_nodes(nodes)
    node = nodes.environments["n1"]
    open_session(node)

    async def main() -> None:
        session = await Session.open([node.address], key="k", placement_timeout=30.0)
        assert await session.request(b"before") == b"done before"
        nodes.isolate("n1")
        await asyncio.to_thread(wait_for, lambda: not node.is_ready())  # its lease has expired
        failed_server = server_a if session.receipt == "a" else server_b
        await asyncio.to_thread(failed_server.kill)
        pending_request = asyncio.create_task(session.request(b"during"))
        await asyncio.to_thread(wait_for, lambda: int(node.counters().get("resume_not_claimed", 0)) > 0, 10.0)
        assert not pending_request.done()  # without a quorum no generation can be reserved
        nodes.relay.heal()
        assert await pending_request == b"done during"
        assert session.reconnects >= 1
        await session.close()

    run(main())
    (executed,) = (requests for requests in store.effects.values() if b"before" in requests)
    assert executed == [b"before", b"during"]


def test_node_killed_after_reservation_loses_no_session(nodes: StoreNodes) -> None:
    store, servers = start_nodes(nodes)
    client, token = open_session(nodes.environments["n1"])
    client.send("Q 1 x")
    assert client.read_line() == "A 1 done x"
    client.sock.close()
    for server in servers:
        server.failure_point = "silent"
    # Another client's key: the token is rejected.
    nodes.environments["n1"].client().send(f"OPEN m k c=live,d=9,rs=1,rh=1,rt={token}")
    lost_client = nodes.environments["n1"].client()
    return_fields = f",rh=1,rt={token},ra={'5e' * 16}"
    lost_client.send(f"OPEN lost 7f3a c=live,d=1500,g=1,rs=1{return_fields}")
    wait_for(lambda: store.log[-1].what == "claimed" and store.log[-1].epoch == 2)
    nodes.environments["n1"].process.kill()
    for server in servers:
        server.failure_point = ""
    for wrong_fields in (f",rh=1,rt={token}", f",rh=1,rt={token},ra={'aa' * 16}"):

        def is_rejected(more_fields: str = wrong_fields) -> bool:
            return open_resumable(nodes.environments["n2"].client(), more_fields) == "X claimed"

        wait_for(is_rejected, 10.0)
    # The client may have to retry, as the killed node may have been the store's leader.
    returned_client, response = return_with_token(nodes.environments["n3"], return_fields)
    assert token_of(response) != token
    returned_client.send("Q 2 y")
    assert returned_client.read_line() == "A 2 done y"
    log = [
        record for name in nodes.names for record in from_node(name, nodes.environments[name].log.read_text())
    ]
    assert not list(violations([*log, *store.log]))
    assert not any("5e5e" in nodes.environments[name].log.read_text() for name in nodes.names)


def test_concurrent_migration_and_return_leave_one_generation(nodes: StoreNodes) -> None:
    """The node migrates a session in place while its client, on another network by now, returns elsewhere."""
    store, (server_a, server_b) = start_nodes(nodes)
    node, other_node = nodes.environments["n1"], nodes.environments["n2"]
    outcomes = set()
    for round_number in range(6):
        client, token = open_session(node)
        client.send(f"Q 1 turn-{round_number}")
        assert client.read_line() == f"A 1 done turn-{round_number}"
        drained_server = server_a if store.log[-1].who == "a" else server_b
        drain_thread = threading.Thread(
            target=node.discovery.announce, args=(drained_server,), kwargs={"state": "Terminating"}
        )
        drain_thread.start()
        time.sleep(0.01 * round_number)  # varies whether the migration or the return is first
        returned_client, response = return_with_token(other_node, f",rh=1,rt={token},ra={'5e' * 16}")
        drain_thread.join(5.0)
        if response == "X claimed":  # migrated in place: the first connection continues
            outcomes.add("in place")
            current_client = client
        else:
            token_of(response)
            outcomes.add("by return")
            current_client = returned_client
        current_client.send(f"K 1\r\nQ 2 more-{round_number}".encode() + b"\r\n")
        while (line := current_client.read_line()).startswith("T "):
            pass
        assert line == f"A 2 done more-{round_number}"
        for each_client in (client, returned_client):
            each_client.sock.close()
        node.discovery.announce(drained_server, state="Ready")
    log = [
        record for name in nodes.names for record in from_node(name, nodes.environments[name].log.read_text())
    ]
    assert not list(violations([*log, *store.log])) and outcomes


def test_session_returns_to_successor_after_hot_restart(tmp_path: Path) -> None:
    """Guards against a local key ring that is not passed on: each token would have an unknown key."""
    store = SaveStore()
    server_a = ResumableEndpointServer("a", store)

    async def main(node: NodeEnvironment) -> None:
        sessions = [
            await Session.open([node.address], key=f"k{index}", placement_timeout=20.0) for index in range(10)
        ]
        for index, session in enumerate(sessions):
            assert await session.request(b"one-%d" % index) == b"done one-%d" % index
        with running_successor(node, operator=RESUME_TABLE) as (successor, _):
            await asyncio.to_thread(wait_for, lambda: "successor accepts clients" in node.log.read_text())
            pending_requests = [
                asyncio.create_task(session.request(b"two-%d" % index))
                for index, session in enumerate(sessions)
            ]
            node.process.terminate()
            for index, task in enumerate(pending_requests):
                assert await task == b"done two-%d" % index
            assert await asyncio.to_thread(node.process.wait, 5) == 0
            for index, session in enumerate(sessions):
                assert await session.request(b"three-%d" % index) == b"done three-%d" % index
                assert session.reconnects == 1
                await session.close()
            assert successor.counters()["resume_returns"] == "10"

    with running_node(tmp_path, [server_a], RESUME_TABLE, env={"TMPDIR": str(tmp_path)}) as node:
        run(main(node))
    assert sorted(store.effects.values()) == sorted(
        [b"one-%d" % index, b"two-%d" % index, b"three-%d" % index] for index in range(10)
    )


def test_key_rotation_renews_tokens_of_established_sessions(nodes: StoreNodes) -> None:
    start_nodes(nodes)
    client, token = open_session(nodes.environments["n1"])

    def rotate() -> KeyRing:
        with MemberClient(nodes.listen_addresses["n2"], b"", 10.0) as member_client:
            item = member_client.get(KEY_RING_KEY)
            assert item is not None
            ring = msgspec.convert(item.value, KeyRing)
            member_client.set(KEY_RING_KEY, msgspec.to_builtins(ring.rotated(2)))
            return ring

    old_ring = rotate()
    token_line = client.read_line()
    assert token_line.startswith("T ") and token_line[2:] != token
    with MemberClient(nodes.listen_addresses["n1"]) as member_client:
        item = member_client.get(KEY_RING_KEY)
        assert item is not None
        ring, cluster = msgspec.convert(item.value, KeyRing), member_client.status()["cluster"]
        new_ring = ring.retired(old_ring.keys[0].id)
        member_client.set(KEY_RING_KEY, msgspec.to_builtins(new_ring))
    payload: TokenPayload = open_token(new_ring, cluster, token_line[2:], time.time())
    assert payload.generation == 1 and payload.client == "7f3a"
    client.sock.close()
    wait_for(
        lambda: open_resumable(nodes.environments["n3"].client(), f",rh=0,rt={token}") == "X retired_key"
    )
    assert token_of(return_with_token(nodes.environments["n2"], f",rh=0,rt={token_line[2:]}")[1])


def test_session_returns_after_successive_failures_of_migration_targets(tmp_path: Path) -> None:
    """Each server fails after claiming the session; the client returns and continues at the remaining one."""
    store = SaveStore()
    servers = [ResumableEndpointServer(name, store) for name in "abcd"]
    client_records: list[Record] = []

    def record_event(event: str, number: int, text: bytes) -> None:
        client_records.append(Record(event, "k", number, text.decode()))  # type: ignore[arg-type]

    async def main(node: NodeEnvironment) -> None:
        session = await Session.open([node.address], key="k", placement_timeout=20.0, observer=record_event)
        assert await session.request(b"one") == b"done one"
        failed_server = next(server for server in servers if server.name == session.receipt)
        remaining_servers = [server for server in servers if server is not failed_server]
        for server in remaining_servers:
            server.failure_point = "claimed"
        await asyncio.to_thread(failed_server.kill)
        pending_request = asyncio.create_task(session.request(b"two"))
        await asyncio.to_thread(
            wait_for, lambda: sum(len(server.open_lines) for server in remaining_servers) >= 2, 10.0
        )
        remaining_servers[0].failure_point = ""
        assert await pending_request == b"done two"
        assert session.reconnects >= 1
        await session.close()

    with running_node(tmp_path, list(servers), RESUME_TABLE) as node:
        run(main(node))
        log = list(from_node("n0", node.log.read_text()))
    assert not list(violations([*client_records, *log, *store.log]))


def test_tokens_are_renewed_at_half_lifetime_and_after_key_rotation() -> None:
    renewals: TokenRenewals[str] = TokenRenewals(600.0)
    for index in range(5):
        renewals.record(f"s{index}", float(index), "k1")
    assert renewals.due(300.0 - 0.5, "k1", 10) == []
    assert renewals.due(302.0, "k1", 10) == ["s0", "s1", "s2"]
    assert renewals.due(302.0, "k1", 2) == ["s0", "s1"]
    renewals.record("s0", 302.0, "k1")
    renewals.forget("s1")
    assert renewals.due(302.0, "k1", 10) == ["s2"]
    assert renewals.due(302.0, "k2", 10) == ["s2", "s3", "s4", "s0"]
    renewals.record("s2", 303.0, "k2")
    assert renewals.due(303.0, "k2", 10) == ["s3", "s4", "s0"]
