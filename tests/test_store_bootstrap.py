"""How the first members form a cluster."""

from __future__ import annotations

from gradegap.raft import Member
from gradegap.store import wire
from gradegap.store.bootstrap import Bootstrap
from gradegap.store.settings import Peer, StoreSettings


def hello(name: str, cluster: str = "") -> wire.Hello:
    return wire.Hello(1, "member", b"n" * 16, f"id-{name}", name, "x", cluster)


def test_a_cluster_is_formed_by_one_member_that_met_all_peers_without_one() -> None:
    peers = tuple(Peer(n, f"127.0.0.1:{k}") for k, n in enumerate(("a", "b", "c"), 1))
    made = {n: Bootstrap(StoreSettings(n, "l", peers), Member(f"id-{n}", n, "l")) for n in "abc"}
    for n, forming in made.items():
        for other in set("abc") - {n}:
            assert forming.form_cluster() is None
            forming.peer_authenticated(hello(other))
    assert made["b"].form_cluster() is None and made["c"].form_cluster() is None
    formed = made["a"].form_cluster()
    assert formed is not None and {m.id for m in formed[1].members} == {"id-a", "id-b", "id-c"}
    made["a"].peer_authenticated(
        hello("c", "theirs")
    )  # one of them belongs to a cluster: this one lost its disk
    assert made["a"].form_cluster() is None and made["a"].form_single_member() is None
