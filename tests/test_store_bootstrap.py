"""The first members of a store form one cluster."""

from __future__ import annotations

from gradegap.raft import Member
from gradegap.store import wire
from gradegap.store.bootstrap import Bootstrap
from gradegap.store.settings import Peer, StoreSettings


def hello(name: str, cluster: str = "") -> wire.Hello:
    return wire.Hello(1, "member", b"n" * 16, f"id-{name}", name, "x", cluster)


def test_cluster_is_formed_by_first_member_linked_to_all_peers_without_a_cluster() -> None:
    peers = tuple(Peer(name, f"127.0.0.1:{port}") for port, name in enumerate(("a", "b", "c"), 1))
    bootstraps = {
        name: Bootstrap(StoreSettings(name, "l", peers), Member(f"id-{name}", name, "l")) for name in "abc"
    }
    for name, bootstrap in bootstraps.items():
        for other in set("abc") - {name}:
            assert bootstrap.form_cluster() is None
            bootstrap.peer_authenticated(hello(other))
    assert bootstraps["b"].form_cluster() is None and bootstraps["c"].form_cluster() is None
    formed = bootstraps["a"].form_cluster()
    assert formed is not None and {member.id for member in formed[1].members} == {"id-a", "id-b", "id-c"}
    # A peer belongs to a cluster: this member lost its disk, and must not form a second one.
    bootstraps["a"].peer_authenticated(hello("c", "theirs"))
    assert bootstraps["a"].form_cluster() is None and bootstraps["a"].form_single_member() is None
