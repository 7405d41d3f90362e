"""The replicated store: versions alone, then real nodes that converge, part and meet again."""

from __future__ import annotations

import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import pytest

from gradegap.store.sync import Digest, Entries, RemoteStore, decode, encode
from gradegap.store.versioned import LATEST, BadEntry, Entry, Store
from tests.world import ROOT, Backend, Client, World, free_port, wait_for, world


def exchange(a: Store, b: Store) -> None:
    b.merge(a.newer_than(b.digest()))
    a.merge(b.newer_than(a.digest()))


def test_concurrent_writes_end_the_same_everywhere() -> None:
    a, b, c = Store("a"), Store("b"), Store("c")
    for k, store in enumerate((a, b, c)):
        store.set("config/x", k)
    c.set("config/x", "last")  # the later clock wins, whatever the order of exchanges
    for one, two in ((a, b), (b, c), (a, c), (a, b)):
        exchange(one, two)
    assert [s.get("config/x") for s in (a, b, c)] == ["last"] * 3
    a.set("config/y", 1)
    b.set("config/y", 2)  # same clock: the writer's name breaks the tie
    exchange(a, b)
    assert a.get("config/y") == b.get("config/y")


def test_a_deleted_key_stays_deleted_when_a_peer_comes_back_with_it() -> None:
    a, b = Store("a"), Store("b")
    a.set("config/x", 1)
    exchange(a, b)
    a.delete("config/x")
    exchange(b, a)
    assert a.items() == b.items() == {}


def test_a_node_corrects_what_peers_kept_of_its_earlier_life() -> None:
    old, peer, new = Store("n0"), Store("n1"), Store("n0")
    for _ in range(5):
        old.own("node/n0", "leaving")
    exchange(old, peer)
    new.own("node/n0", "ready")
    exchange(new, peer)
    exchange(new, peer)
    assert new.get("node/n0") == peer.get("node/n0") == "ready"


def test_seeds_lose_to_anything_written() -> None:
    a, b = Store("a"), Store("b")
    a.seed("config/x", "first")
    b.set("config/x", "written")
    exchange(a, b)
    assert a.get("config/x") == "written"


@pytest.mark.parametrize(
    "entry",
    [
        Entry("", 1, "w"),
        Entry("k" * 300, 1, "w"),
        Entry("k", -1, "w"),
        Entry("k", LATEST, "w"),
        Entry("k", 1, ""),
        Entry("k", 1, "w", "v" * 20_000),
    ],
)
def test_entries_out_of_range_are_not_taken(entry: Entry) -> None:
    store = Store("a")
    with pytest.raises(BadEntry):
        store.merge([entry])
    assert not store.entries and store.clock == 0


def test_frames_are_read_however_they_are_cut() -> None:
    whole = encode(Entries([Entry("k", 1, "w", {"a": [1, None]})]))
    buffer = bytearray()
    for k in range(len(whole) - 1):
        buffer += whole[k : k + 1]
        assert decode(buffer) is None
    buffer += whole[-1:] + whole
    assert decode(buffer) == decode(buffer) == Entries([Entry("k", 1, "w", {"a": [1, None]})])


class Trio:
    """Three nodes whose stores list each other."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.backend = Backend("a")
        self.ports = [free_port() for _ in range(3)]
        self.nodes: list[World | None] = [None] * 3

    def address(self, k: int) -> str:
        return f"127.0.0.1:{self.ports[k]}"

    def start(self, k: int, peers: list[int]) -> World:
        place = self.folder / f"n{k}"
        place.mkdir(exist_ok=True)
        listed = ", ".join(f'"{self.address(p)}"' for p in peers)
        operator = f'[store]\nlisten = "{self.address(k)}"\npeers = [{listed}]\n'
        node = self.stack.enter_context(world(place, [self.backend], operator, name=f"n{k}"))
        self.nodes[k] = node
        return node

    @contextmanager
    def remote(self, k: int) -> Iterator[RemoteStore]:
        made = RemoteStore(self.address(k))
        yield made
        made.close()

    def value(self, k: int, key: str) -> Any:
        with self.remote(k) as remote:
            return remote.store.get(key)

    def write(self, k: int, key: str, value: Any) -> None:
        with self.remote(k) as remote:
            remote.store.set(key, value)
            remote.write()


@pytest.fixture
def trio(tmp_path: Path) -> Iterator[Trio]:
    with ExitStack() as stack:
        yield Trio(tmp_path, stack)


def test_nodes_converge_part_and_rejoin(trio: Trio) -> None:
    # n0 and n2 reach each other through n1 alone: with n1 away they are parted.
    for k, peers in enumerate(([1], [0, 2], [1])):
        trio.start(k, peers)
    trio.write(0, "config/motd", "hello")
    for k in range(3):
        wait_for(lambda k=k: trio.value(k, "config/motd") == "hello")  # type: ignore[misc]
        wait_for(lambda k=k: trio.value(k, "node/n2") is not None)  # type: ignore[misc]
    n1 = trio.nodes[1]
    assert n1 is not None
    n1.process.terminate()
    assert n1.process.wait(5) == 0
    assert trio.value(0, "node/n1")["state"] == "leaving"
    trio.write(0, "config/left", 1)
    trio.write(2, "config/right", 2)
    trio.write(0, "config/both", "a")
    trio.write(2, "config/both", "b")
    assert trio.value(2, "config/left") is None and trio.value(0, "config/right") is None
    trio.start(1, [0, 2])  # back, with nothing of its own: it lives in memory
    for k in range(3):
        wait_for(lambda k=k: trio.value(k, "config/left") == 1)  # type: ignore[misc]
        wait_for(lambda k=k: trio.value(k, "config/right") == 2)  # type: ignore[misc]
        wait_for(lambda k=k: trio.value(k, "node/n1")["state"] == "ready")  # type: ignore[misc]
    assert len({trio.value(k, "config/both") for k in range(3)}) == 1


@pytest.mark.parametrize(
    "raw",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00\x00\x00\x05junk!",
        b"\x7f\xff\xff\xff",
        encode(Entries([Entry("config/good", 1, "w", 1), Entry("config/bad", LATEST, "w", 1)])),
        b"\x00\x00\x00\x02\x81\xa1",
    ],
)
def test_bad_frames_end_their_link_and_nothing_else(trio: Trio, raw: bytes) -> None:
    node = trio.start(0, [])
    with socket.create_connection(("127.0.0.1", trio.ports[0]), timeout=5) as sock:
        sock.sendall(raw)
        try:
            while sock.recv(65536):
                pass
        except ConnectionResetError:
            pass
    assert node.counters()["store_bad_frames"] == "1"
    assert trio.value(0, "node/n0")["state"] == "ready"
    assert trio.value(0, "config/good") is None
    assert node.client().ask() == "UP a"


def test_the_command_line_writes_configuration_that_takes_effect(trio: Trio) -> None:
    node = trio.start(0, [])

    def command(*words: str) -> subprocess.CompletedProcess[str]:
        line = [sys.executable, "-m", "gradegap", "store", *words, "--node", trio.address(0)]
        return subprocess.run(line, capture_output=True, text=True, cwd=ROOT, timeout=20)

    assert command("list", "config/").stdout == 'config/log_level "info"\n'
    assert command("set", "config/log_level", "loud").returncode == 0
    wait_for(lambda: node.counters().get("config_ignored") == "1")
    assert command("set", "config/extra", '{"a": 1}').returncode == 0
    assert 'config/extra {"a":1}\n' in command("list").stdout
    assert command("delete", "config/extra").returncode == 0
    assert "extra" not in command("list").stdout
    assert command("set", "config/log_level", "error").returncode == 0
    node.process.terminate()
    node.process.wait(5)
    assert "event=leaving" not in node.log.read_text()
    gone = command("list")
    assert gone.returncode == 2 and gone.stderr.count("\n") == 1


def test_a_digest_of_an_unknown_peer_gets_all_entries(trio: Trio) -> None:
    trio.start(0, [])
    with socket.create_connection(("127.0.0.1", trio.ports[0]), timeout=5) as sock:
        sock.sendall(encode(Digest({})))
        buffer = bytearray()
        frames: list[object] = []
        while not any(isinstance(f, Entries) for f in frames):
            buffer += sock.recv(65536)
            while (frame := decode(buffer)) is not None:
                frames.append(frame)
    keys = {e.key for f in frames if isinstance(f, Entries) for e in f.entries}
    assert keys == {"config/log_level", "node/n0"}


def test_a_peer_that_says_nothing_loses_its_link(trio: Trio) -> None:
    node = trio.start(0, [])
    held = [Client(trio.address(0)) for _ in range(3)]
    held[1].send(b"\0\0")  # half a frame
    wait_for(lambda: node.counters().get("store_silent") == "3", 5.0 + 3.0)
    assert node.counters()["store_links"] == "0"
    with trio.remote(0) as remote:  # others are served
        assert remote.store.get("config/log_level") == "info"
