"""A node as a process, and a save server that restarts under its id while a request is out at it."""

from __future__ import annotations

import copy
import time
from pathlib import Path
from typing import Any

from tests.support.node_environment import (
    SETTINGS,
    Client,
    EndpointServer,
    NodeEnvironment,
    running_node,
    wait_for,
)

GROUP_COUNT = 7
REQUEST_COUNT_AFTER = 40


def settings_with_groups() -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    settings["FamilyInfo"]["Groups"] = True
    return settings


def has_answer(client: Client, server: EndpointServer) -> bool:
    """Waits until `server` or another one has the client's request; only the others answer."""
    wait_for(lambda: server.open_lines or not client.receives_nothing(0.0))
    return not server.open_lines


def client_waiting_at(node: NodeEnvironment, server: EndpointServer) -> Client:
    """Returns a client whose request was forwarded to `server`, which does not answer requests now."""
    for index in range(200):
        client = node.client()
        client.send(f"OPEN {index:016x} 7f3a c=live,d=1500,g={index % GROUP_COUNT:016x}")
        if not has_answer(client, server):
            return client
    raise AssertionError(f"no request was forwarded to {server.name}")


def test_requests_are_answered_after_a_save_server_restarted_behind_the_list(tmp_path: Path) -> None:
    # Guards against a node that closes all new connections without an answer: the end of a request that was
    # out during the restart removed the restarted server from the registry.
    servers = [EndpointServer(name) for name in "abc"]
    restarted = servers[0]
    with running_node(tmp_path, servers, settings=settings_with_groups()) as node:
        restarted.open_answers_allowed.clear()
        client = client_waiting_at(node, restarted)
        node.discovery.announce(restarted, state="Gone")
        node.discovery.announce(restarted, started_ms=time.time() * 1000)
        restarted.open_answers_allowed.set()
        assert client.read_line() == "UP a"
        client.sock.close()
        client.file.close()
        wait_for(lambda: restarted.connection_ends)
        answers = [
            node.client().open_request(f"c=live,d=1500,g={index % GROUP_COUNT:016x}")
            for index in range(REQUEST_COUNT_AFTER)
        ]
        assert [answer[:3] for answer in answers] == ["UP "] * REQUEST_COUNT_AFTER
