"""Nodes that are members of a store, each behind a relay, with what a test does to them."""

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
    """A call whose yes waits for every node that holds a lease."""
    return plain_call(console, path, most=3.0)


class StoreNodes:
    """Three nodes, each with a member of the store in its process, behind a relay."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.endpoint_servers = [EndpointServer("a"), EndpointServer("b")]
        self.relay = Relay()
        self.names = ["n1", "n2", "n3"]
        self.listen_addresses = {n: f"127.0.0.1:{free_port()}" for n in self.names}
        self.consoles = {n: f"127.0.0.1:{free_port()}" for n in self.names}
        for n in self.names:
            self.relay.add_route(n, self.listen_addresses[n])
        self.relay.start()
        self.environments: dict[str, NodeEnvironment] = {}

    def operator_config(self, name: str, more: str = "") -> str:
        listed = ", ".join(
            f'{{name = "{p}", address = "{self.relay.addresses[p]}"}}' for p in self.names if p != name
        )
        return (
            f'[store]\nname = "{name}"\nlisten = "{self.listen_addresses[name]}"\npeers = [{listed}]\n'
            f'advertise = "{self.relay.addresses[name]}"\ndata = "{self.folder / name / "data"}"\n{more}'
        )

    def start(self, name: str, more: str = "", place: str = "", **config: Any) -> NodeEnvironment:
        folder = self.folder / (place or name)
        folder.mkdir(exist_ok=True)
        config = {"name": name, "console": self.consoles[name]} | config
        env = {"TMPDIR": str(self.folder / name)}
        made = NodeEnvironment(folder, self.endpoint_servers, self.operator_config(name, more), env, **config)
        self.stack.callback(self.stop_node, made)
        if not place:
            self.environments[name] = made
        return made

    def stop_node(self, made: NodeEnvironment) -> None:
        made.process.kill()
        made.process.wait()
        made.discovery.server.shutdown()
        assert "Traceback" not in made.log.read_text(), made.log.read_text()

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
                with self.member_client(name) as r:
                    if r.status()["role"] == "leader":
                        return name
            except RequestFailedError:
                pass
        return ""

    def others(self, name: str) -> list[str]:
        return [n for n in self.names if n != name]

    def isolate(self, name: str) -> None:
        self.relay.partition({name}, set(self.others(name)))

    def open_answers(self, name: str, times: int = 8) -> set[str]:
        return {self.environments[name].client().open_request(f"c=live,d=900,g={k}") for k in range(times)}


@pytest.fixture
def nodes(tmp_path: Path) -> Iterator[StoreNodes]:
    with ExitStack() as stack:
        made = StoreNodes(tmp_path, stack)
        yield made
    made.relay.stop()
