"""Nodes that are members of a store, each behind a relay, with operations that inject faults."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest

from gradegap.store.errors import RequestFailedError
from gradegap.store.member_client import MemberClient
from tests.support.node_environment import EndpointServer, NodeEnvironment, free_port, wait_for
from tests.support.relay import Relay
from tests.test_admin_api import call as plain_call


def call(console: str, path: str) -> int:
    """Calls the admin API, with time for an answer that waits for every node that holds a lease."""
    return plain_call(console, path, most=3.0)


class StoreNodes:
    """Three nodes, each with a store member in its process and a relay in front of the member."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.endpoint_servers = [EndpointServer("a"), EndpointServer("b")]
        self.relay = Relay()
        self.names = ["n1", "n2", "n3"]
        self.listen_addresses = {member: f"127.0.0.1:{free_port()}" for member in self.names}
        self.consoles = {member: f"127.0.0.1:{free_port()}" for member in self.names}
        for member in self.names:
            self.relay.add_route(member, self.listen_addresses[member])
        self.relay.start()
        self.environments: dict[str, NodeEnvironment] = {}

    def operator_config(self, name: str, more: str = "") -> str:
        peer_tables = ", ".join(
            f'{{name = "{peer}", address = "{self.relay.addresses[peer]}"}}'
            for peer in self.names
            if peer != name
        )
        return (
            f'[store]\nname = "{name}"\nlisten = "{self.listen_addresses[name]}"\npeers = [{peer_tables}]\n'
            f'advertise = "{self.relay.addresses[name]}"\ndata = "{self.folder / name / "data"}"\n{more}'
        )

    def start(self, name: str, more: str = "", place: str = "", **config: Any) -> NodeEnvironment:
        folder = self.folder / (place or name)
        folder.mkdir(exist_ok=True)
        config = {"name": name, "console": self.consoles[name]} | config
        env = {"TMPDIR": str(self.folder / name)}
        environment = NodeEnvironment(
            folder, self.endpoint_servers, self.operator_config(name, more), env, **config
        )
        self.stack.callback(self.stop_node, environment)
        if not place:
            self.environments[name] = environment
        return environment

    def stop_node(self, environment: NodeEnvironment) -> None:
        environment.process.kill()
        environment.process.wait()
        environment.discovery.server.shutdown()
        assert "Traceback" not in environment.log.read_text(), environment.log.read_text()

    def start_all(self, more: str = "") -> None:
        for name in self.names:
            self.start(name, more)
        for name in self.names:
            wait_for(self.environments[name].is_ready, 20.0)

    def member_client(self, name: str) -> MemberClient:
        return MemberClient(self.listen_addresses[name])

    def leader(self) -> str:
        for name in self.names:
            try:
                with self.member_client(name) as client:
                    if client.status()["role"] == "leader":
                        return name
            except RequestFailedError:
                pass
        return ""

    def others(self, name: str) -> list[str]:
        return [member for member in self.names if member != name]

    def isolate(self, name: str) -> None:
        self.relay.partition({name}, set(self.others(name)))

    def open_answers(self, name: str, times: int = 8) -> set[str]:
        return {
            self.environments[name].client().open_request(f"c=live,d=900,g={number}")
            for number in range(times)
        }


@pytest.fixture
def nodes(tmp_path: Path) -> Iterator[StoreNodes]:
    with ExitStack() as stack:
        environment = StoreNodes(tmp_path, stack)
        yield environment
    environment.relay.stop()
