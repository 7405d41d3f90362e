"""Voters and learners, regions, and the cluster's length of leases: settings, forming and promotion."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from gradegap.errors import OperatorFileError
from gradegap.node.operator_file import load_operator
from gradegap.raft import ClusterConfiguration, Member
from gradegap.store import wire
from gradegap.store.bootstrap import Bootstrap, promotable
from gradegap.store.channel import LinkChannel
from gradegap.store.errors import LinkError, RequestFailedError
from gradegap.store.settings import Peer, StoreSettings
from tests.support.cluster import Cluster
from tests.support.node_environment import wait_for

SECRET = b"0123456789abcdef of a test"
MEMBER = '[store]\nname = "n1"\nlisten = "127.0.0.1:7400"\n'


def settings_of(tmp_path: Path, text: str) -> Any:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    return load_operator(str(path))


@pytest.mark.parametrize(
    ("text", "said"),
    [
        (MEMBER + "voters = 0\n", "$.store.voters"),
        (MEMBER + "lease_s = 0.1\n", "$.store.lease_s"),
    ],
)
def test_a_setting_out_of_bounds_is_one_line_that_names_the_key(tmp_path: Path, text: str, said: str) -> None:
    with pytest.raises(OperatorFileError) as error:
        settings_of(tmp_path, text)
    assert said in str(error.value) and "\n" not in str(error.value)


def regions(*named: str, voters: int = 5) -> str:
    """An operator's file of n1, with members n1 to nN in these regions."""
    peers = ", ".join(
        f'{{ name = "n{k}", address = "127.0.0.1:{7400 + k}", region = "{region}" }}'
        for k, region in enumerate(named, 1)
        if k > 1
    )
    return f'{MEMBER}region = "{named[0]}"\nvoters = {voters}\npeers = [{peers}]\n'


def test_no_region_may_hold_a_majority_of_the_voters(tmp_path: Path) -> None:
    with pytest.raises(OperatorFileError, match="region a holds 3 of the 5 voters") as error:
        settings_of(tmp_path, regions("a", "a", "b", "c", "a", "b"))
    assert "spread them over more regions" in str(error.value)
    for fit in (("a", "b", "c", "a", "b", "c"), ("a", "a", "a"), ("", "", "")):
        assert settings_of(tmp_path, regions(*fit)).store is not None
    # The sixth is a learner, and counts for nothing.
    assert settings_of(tmp_path, regions("a", "b", "a", "b", "c", "a")).store is not None


def member(name: str, voter: bool = True) -> Member:
    return Member(f"id-{name}", name, f"127.0.0.1:{7400 + int(name[1:])}", voter)


def store_of(names: list[str], voters: int = 5, regions: str = "") -> StoreSettings:
    named = [
        Peer(n, member(n).address, region) for n, region in zip(names, regions or [""] * 9, strict=False)
    ]
    return StoreSettings("n1", "127.0.0.1:7401", tuple(named[1:]), voters=voters, region=named[0].region)


def test_a_new_cluster_has_so_many_voters_and_the_rest_as_learners() -> None:
    names = [f"n{k}" for k in range(1, 7)]
    forming = Bootstrap(store_of(list(reversed(names[1:]))[:0] + names), member("n1"))
    for name in names[1:]:
        forming.met(wire.Hello(1, "member", b"", f"id-{name}", name))
    formed = forming.form()
    assert formed is not None
    assert {m.name: m.voter for m in formed[1].members} == {n: n != "n6" for n in names}


def test_a_learner_is_promoted_while_voters_are_missing_and_not_beyond() -> None:
    names = [f"n{k}" for k in range(1, 7)]
    five = ClusterConfiguration(tuple(member(n, n != "n6") for n in names))
    settings = store_of(names)
    assert promotable(five, settings) == []
    assert [m.name for m in promotable(five.without_member("id-n2"), settings)] == ["n6"]


def test_a_learner_is_not_promoted_where_its_region_would_hold_a_majority() -> None:
    names = [f"n{k}" for k in range(1, 8)]
    settings = store_of(names, regions="abcabac")
    config = ClusterConfiguration(tuple(member(n, n not in ("n6", "n7")) for n in names)).without_member(
        "id-n2"
    )
    assert [m.name for m in promotable(config, settings)] == ["n7"]  # n6 would be the third of region a


def test_members_with_leases_of_different_length_reject_each_other() -> None:
    me, other = member("n1"), member("n2")
    dialer = LinkChannel.open(SECRET, "member", True, me, lease_s=1.0)
    acceptor = LinkChannel.open(SECRET, "member", False, other, lease_s=3.0)
    _, hello = acceptor.receive(dialer.begin())
    _, proof = dialer.receive(hello)
    with pytest.raises(LinkError, match=r"lease: the other member has lease_s = 1, this one 3"):
        acceptor.receive(proof)


def test_a_hello_of_a_member_that_knows_no_lease_s_is_read_as_the_default() -> None:
    class OldHello(msgspec.Struct, frozen=True, tag="hello"):
        version: int
        kind: str
        nonce: bytes
        id: str = ""
        name: str = ""
        address: str = ""
        cluster: str = ""

    raw = msgspec.msgpack.encode(OldHello(1, "member", b"x" * 16, "id", "n9", "127.0.0.1:1"))
    assert msgspec.msgpack.decode(raw, type=wire.Hello).lease_s == 1.0
    new = msgspec.msgpack.encode(wire.Hello(1, "member", b"x" * 16, lease_s=1.0))
    assert msgspec.msgpack.decode(new, type=OldHello).version == 1


class FewVoters(Cluster):
    """Members of a cluster that wants three voters."""

    def write_config(self, name: str, names: list[str] | None = None, more: str = "") -> Path:
        return super().write_config(name, names, more + "voters = 3\n")


def voters(c: Cluster, name: str) -> set[str]:
    try:
        return {m["name"] for m in c.status(name)["members"] if m["voter"]}
    except RequestFailedError:
        return set()


def test_a_learner_takes_the_place_of_a_removed_voter(tmp_path: Path) -> None:
    c = FewVoters(tmp_path, 4)
    try:
        c.start_all()
        wait_for(lambda: all(voters(c, name) == {"n1", "n2", "n3"} for name in c.names), 15.0)
        gone = c.others(c.leader(["n1", "n2", "n3"]))[0]
        left = [name for name in c.names if name != gone]
        assert c.cli("store", "remove", gone, "--node", c.listen_addresses["n4"]).returncode == 0
        wait_for(lambda: all(voters(c, name) == set(left) for name in left), 15.0)
        # It counts for the quorum: two of the three are enough, and it is one of them.
        c.kill(next(name for name in left if name != "n4" and name != c.leader(left)))
        with c.member_client("n4", 10.0) as r:
            assert r.set("k", 1) > 0
    finally:
        c.stop()
