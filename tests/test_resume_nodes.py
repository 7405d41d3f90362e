"""Tokens at several nodes with a replicated store, at a node that is replaced, and over a change of keys."""

from __future__ import annotations

import asyncio
import threading
import time
from pathlib import Path

import msgspec

from gradegap.client import Session
from gradegap.resume.token import KEY_RING_KEY, KeyRing, Place, open_token
from gradegap.resume.token_renewal import TokenRenewals
from gradegap.store.member_client import MemberClient
from gradegap.verification.sessions import Record, from_node, violations
from tests.support.node_environment import Client, NodeEnvironment, running_node, wait_for
from tests.support.resume_servers import ResumableEndpointServer, SaveStore
from tests.support.store_nodes import StoreNodes, nodes
from tests.test_hot_restart import running_successor
from tests.test_resume import ON, returned, run, token_of
from tests.test_resume import opened as opening

__all__ = ["nodes"]


def started(nodes: StoreNodes) -> tuple[SaveStore, list[ResumableEndpointServer]]:
    store = SaveStore()
    servers = [ResumableEndpointServer(n, store) for n in "ab"]
    nodes.endpoint_servers = list(servers)
    nodes.start_all(ON)
    with MemberClient(nodes.listen_addresses["n1"], b"", 10.0) as r:
        r.set(KEY_RING_KEY, msgspec.to_builtins(KeyRing().rotated(1)))
    return store, servers


def begun(w: NodeEnvironment) -> tuple[Client, str]:
    """A resumable session; the ring comes to a node a moment after it was written."""
    while True:
        c = w.client()
        if ",t=" in (said := opening(c)):
            return c, token_of(said)


def test_of_two_nodes_that_get_one_token_at_one_moment_one_goes_on(nodes: StoreNodes) -> None:
    store, _ = started(nodes)
    for turn in range(8):
        c, token = begun(nodes.environments["n1"])
        c.send(f"Q 1 turn-{turn}")
        assert c.read_line() == f"A 1 done turn-{turn}"
        c.sock.close()
        ends = [nodes.environments[n] for n in ("n2", "n3")]
        told = ["", ""]
        gate = threading.Barrier(2)

        def come(k: int, token: str = token) -> None:
            gate.wait()  # noqa: B023
            secret = f"{k + 10}" * 16  # for who is told BUSY, and can't know whether its claim stands
            told[k] = returned(ends[k], f",rh=1,rt={token},ra={secret}")[1]  # noqa: B023

        threads = [threading.Thread(target=come, args=(k,)) for k in (0, 1)]
        for t in threads:
            t.start()
        for t in threads:
            t.join(15.0)
        won = [said for said in told if said.startswith("UP ")]
        assert len(won) == 1 and "X claimed" in told, told
        assert returned(nodes.environments["n1"], f",rh=1,rt={token}")[1] == "X claimed"  # nor a second later
    log = [r for n in nodes.names for r in from_node(n, nodes.environments[n].log.read_text())]
    assert len(log) == 8 and not list(violations([*log, *store.log]))


def test_a_move_without_a_quorum_ends_in_a_return_once_there_is_one(nodes: StoreNodes) -> None:
    store, (a, b) = started(nodes)
    w = nodes.environments["n1"]
    begun(w)

    async def main() -> None:
        session = await Session.open([w.address], key="k", placement_timeout=30.0)
        assert await session.request(b"before") == b"done before"
        nodes.isolate("n1")
        await asyncio.to_thread(wait_for, lambda: not w.is_ready())  # its lease is over
        leaves = a if session.receipt == "a" else b
        await asyncio.to_thread(leaves.kill)
        waiting = asyncio.create_task(session.request(b"during"))
        await asyncio.to_thread(wait_for, lambda: int(w.counters().get("resume_not_claimed", 0)) > 0, 10.0)
        assert not waiting.done()  # nobody can say whose the session is
        nodes.relay.heal()
        assert await waiting == b"done during"
        assert session.reconnects >= 1
        await session.close()

    run(main())
    (ran,) = (r for r in store.effects.values() if b"before" in r)
    assert ran == [b"before", b"during"]


def test_a_node_killed_between_the_claim_and_its_answer_loses_no_session(nodes: StoreNodes) -> None:
    store, servers = started(nodes)
    c, token = begun(nodes.environments["n1"])
    c.send("Q 1 x")
    assert c.read_line() == "A 1 done x"
    c.sock.close()
    for s in servers:
        s.failure_point = "silent"
    nodes.environments["n1"].client().send(
        f"OPEN m k c=live,d=9,rs=1,rh=1,rt={token}"
    )  # another's: it gets nowhere
    lost = nodes.environments["n1"].client()
    mine = f",rh=1,rt={token},ra={'5e' * 16}"
    lost.send(f"OPEN lost 7f3a c=live,d=1500,g=1,rs=1{mine}")
    wait_for(lambda: store.log[-1].what == "claimed" and store.log[-1].epoch == 2)
    nodes.environments["n1"].process.kill()
    for s in servers:
        s.failure_point = ""
    for wrong in (f",rh=1,rt={token}", f",rh=1,rt={token},ra={'aa' * 16}"):

        def refused(more: str = wrong) -> bool:
            return opening(nodes.environments["n2"].client(), more) == "X claimed"

        wait_for(refused, 10.0)
    again, said = returned(nodes.environments["n3"], mine)  # the killed one may have led the store
    assert token_of(said) != token
    again.send("Q 2 y")
    assert again.read_line() == "A 2 done y"
    log = [r for n in nodes.names for r in from_node(n, nodes.environments[n].log.read_text())]
    assert not list(violations([*log, *store.log]))
    assert not any("5e5e" in nodes.environments[n].log.read_text() for n in nodes.names)


def test_both_ways_of_move_at_one_moment_leave_one_life(nodes: StoreNodes) -> None:
    """The node moves a session in place while its client, on another network by now, returns elsewhere."""
    store, (a, b) = started(nodes)
    w, other = nodes.environments["n1"], nodes.environments["n2"]
    seen = set()
    for turn in range(6):
        c, token = begun(w)
        c.send(f"Q 1 turn-{turn}")
        assert c.read_line() == f"A 1 done turn-{turn}"
        leaves = a if store.log[-1].who == "a" else b
        drains = threading.Thread(
            target=w.discovery.announce, args=(leaves,), kwargs={"state": "Terminating"}
        )
        drains.start()
        time.sleep(0.01 * turn)  # not waited for: which of them is first is what varies
        again, said = returned(other, f",rh=1,rt={token},ra={'5e' * 16}")
        drains.join(5.0)
        if said == "X claimed":  # it was moved in place: the line that stood goes on
            seen.add("in place")
            goes_on = c
        else:
            token_of(said)
            seen.add("by return")
            goes_on = again
        goes_on.send(f"K 1\r\nQ 2 more-{turn}".encode() + b"\r\n")
        while (line := goes_on.read_line()).startswith("T "):
            pass
        assert line == f"A 2 done more-{turn}"
        for end in (c, again):
            end.sock.close()
        w.discovery.announce(leaves, state="Ready")
    log = [r for n in nodes.names for r in from_node(n, nodes.environments[n].log.read_text())]
    assert not list(violations([*log, *store.log])) and seen


def test_a_session_returns_to_the_process_that_replaced_its_node_s(tmp_path: Path) -> None:
    """Without a store the ring was the first process's own: every token was of an unknown key."""
    store = SaveStore()
    a = ResumableEndpointServer("a", store)

    async def main(w: NodeEnvironment) -> None:
        sessions = [await Session.open([w.address], key=f"k{k}", placement_timeout=20.0) for k in range(10)]
        for k, s in enumerate(sessions):
            assert await s.request(b"one-%d" % k) == b"done one-%d" % k
        with running_successor(w, operator=ON) as (n, _):
            await asyncio.to_thread(wait_for, lambda: "successor accepts clients" in w.log.read_text())
            asks = [asyncio.create_task(s.request(b"two-%d" % k)) for k, s in enumerate(sessions)]
            w.process.terminate()
            for k, task in enumerate(asks):
                assert await task == b"done two-%d" % k
            assert await asyncio.to_thread(w.process.wait, 5) == 0
            for k, s in enumerate(sessions):
                assert await s.request(b"three-%d" % k) == b"done three-%d" % k
                assert s.reconnects == 1
                await s.close()
            assert n.counters()["resume_returns"] == "10"

    with running_node(tmp_path, [a], ON, env={"TMPDIR": str(tmp_path)}) as w:
        run(main(w))
    assert sorted(store.effects.values()) == sorted(
        [b"one-%d" % k, b"two-%d" % k, b"three-%d" % k] for k in range(10)
    )


def test_a_new_key_gives_standing_sessions_new_tokens(nodes: StoreNodes) -> None:
    started(nodes)
    c, token = begun(nodes.environments["n1"])

    def rotate() -> KeyRing:
        with MemberClient(nodes.listen_addresses["n2"], b"", 10.0) as r:
            item = r.get(KEY_RING_KEY)
            assert item is not None
            ring = msgspec.convert(item.value, KeyRing)
            r.set(KEY_RING_KEY, msgspec.to_builtins(ring.rotated(2)))
            return ring

    old = rotate()
    told = c.read_line()
    assert told.startswith("T ") and told[2:] != token
    with MemberClient(nodes.listen_addresses["n1"]) as r:
        item = r.get(KEY_RING_KEY)
        assert item is not None
        ring, cluster = msgspec.convert(item.value, KeyRing), r.status()["cluster"]
        now = ring.retired(old.keys[0].id)
        r.set(KEY_RING_KEY, msgspec.to_builtins(now))
    place: Place = open_token(now, cluster, told[2:], time.time())
    assert place.generation == 1 and place.client == "7f3a"
    c.sock.close()
    wait_for(lambda: opening(nodes.environments["n3"].client(), f",rh=0,rt={token}") == "X retired_key")
    assert token_of(returned(nodes.environments["n2"], f",rh=0,rt={told[2:]}")[1])


def test_targets_that_die_one_after_the_other_while_a_session_moves(tmp_path: Path) -> None:
    """Each has claimed the session before it dies; it goes on at the one that is left, by return."""
    store = SaveStore()
    servers = [ResumableEndpointServer(n, store) for n in "abcd"]
    clients: list[Record] = []

    def note(what: str, number: int, text: bytes) -> None:
        clients.append(Record(what, "k", number, text.decode()))  # type: ignore[arg-type]

    async def main(w: NodeEnvironment) -> None:
        session = await Session.open([w.address], key="k", placement_timeout=20.0, observer=note)
        assert await session.request(b"one") == b"done one"
        leaves = next(s for s in servers if s.name == session.receipt)
        left = [s for s in servers if s is not leaves]
        for s in left:
            s.failure_point = "claimed"
        await asyncio.to_thread(leaves.kill)
        waiting = asyncio.create_task(session.request(b"two"))
        await asyncio.to_thread(wait_for, lambda: sum(len(s.open_lines) for s in left) >= 2, 10.0)
        left[0].failure_point = ""
        assert await waiting == b"done two"
        assert session.reconnects >= 1
        await session.close()

    with running_node(tmp_path, list(servers), ON) as w:
        run(main(w))
        log = list(from_node("n0", w.log.read_text()))
    assert not list(violations([*clients, *log, *store.log]))


def test_tokens_are_renewed_at_half_their_life_and_when_the_key_changes() -> None:
    renewals: TokenRenewals[str] = TokenRenewals(600.0)
    for k in range(5):
        renewals.record(f"s{k}", float(k), "k1")
    assert renewals.due(300.0 - 0.5, "k1", 10) == []
    assert renewals.due(302.0, "k1", 10) == ["s0", "s1", "s2"]
    assert renewals.due(302.0, "k1", 2) == ["s0", "s1"]
    renewals.record("s0", 302.0, "k1")
    renewals.forget("s1")
    assert renewals.due(302.0, "k1", 10) == ["s2"]
    assert renewals.due(302.0, "k2", 10) == ["s2", "s3", "s4", "s0"]
    renewals.record("s2", 303.0, "k2")
    assert renewals.due(303.0, "k2", 10) == ["s3", "s4", "s0"]
