"""Voters and learners, regions, and the lease duration of a cluster: settings, forming and promotion."""

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
MEMBER_TABLE = '[store]\nname = "n1"\nlisten = "127.0.0.1:7400"\n'


def load_operator_text(tmp_path: Path, text: str) -> Any:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    return load_operator(str(path))


@pytest.mark.parametrize(
    ("text", "message_part"),
    [
        (MEMBER_TABLE + "voters = 0\n", "$.store.voters"),
        (MEMBER_TABLE + "lease_s = 0.1\n", "$.store.lease_s"),
    ],
)
def test_setting_out_of_bounds_is_reported_in_one_line_with_its_key(
    tmp_path: Path, text: str, message_part: str
) -> None:
    with pytest.raises(OperatorFileError) as error:
        load_operator_text(tmp_path, text)
    assert message_part in str(error.value) and "\n" not in str(error.value)


def regions(*region_names: str, voters: int = 5) -> str:
    """The operator's file of n1, for members n1, n2, ... in the given regions."""
    peers = ", ".join(
        f'{{ name = "n{number}", address = "127.0.0.1:{7400 + number}", region = "{region}" }}'
        for number, region in enumerate(region_names, 1)
        if number > 1
    )
    return f'{MEMBER_TABLE}region = "{region_names[0]}"\nvoters = {voters}\npeers = [{peers}]\n'


def test_region_with_majority_of_voters_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(OperatorFileError, match="region a holds 3 of the 5 voters") as error:
        load_operator_text(tmp_path, regions("a", "a", "b", "c", "a", "b"))
    assert "spread them over more regions" in str(error.value)
    for region_names in (("a", "b", "c", "a", "b", "c"), ("a", "a", "a"), ("", "", "")):
        assert load_operator_text(tmp_path, regions(*region_names)).store is not None
    # The sixth member is a learner, which doesn't count towards the majority of its region.
    assert load_operator_text(tmp_path, regions("a", "b", "a", "b", "c", "a")).store is not None


def member(name: str, voter: bool = True) -> Member:
    return Member(f"id-{name}", name, f"127.0.0.1:{7400 + int(name[1:])}", voter)


def store_settings(names: list[str], voters: int = 5, regions: str = "") -> StoreSettings:
    peers = [
        Peer(member_name, member(member_name).address, region)
        for member_name, region in zip(names, regions or [""] * 9, strict=False)
    ]
    return StoreSettings("n1", "127.0.0.1:7401", tuple(peers[1:]), voters=voters, region=peers[0].region)


def test_new_cluster_has_configured_voters_and_other_members_as_learners() -> None:
    names = [f"n{number}" for number in range(1, 7)]
    bootstrap = Bootstrap(store_settings(list(reversed(names[1:]))[:0] + names), member("n1"))
    for name in names[1:]:
        bootstrap.peer_authenticated(wire.Hello(1, "member", b"", f"id-{name}", name))
    formed = bootstrap.form_cluster()
    assert formed is not None
    assert {each.name: each.voter for each in formed[1].members} == {
        member_name: member_name != "n6" for member_name in names
    }


def test_learner_is_promotable_only_while_voters_are_missing() -> None:
    names = [f"n{number}" for number in range(1, 7)]
    five_voters = ClusterConfiguration(
        tuple(member(member_name, member_name != "n6") for member_name in names)
    )
    settings = store_settings(names)
    assert promotable(five_voters, settings) == []
    assert [each.name for each in promotable(five_voters.without_member("id-n2"), settings)] == ["n6"]


def test_learner_is_not_promotable_if_its_region_would_hold_a_majority() -> None:
    names = [f"n{number}" for number in range(1, 8)]
    settings = store_settings(names, regions="abcabac")
    config = ClusterConfiguration(
        tuple(member(member_name, member_name not in ("n6", "n7")) for member_name in names)
    ).without_member("id-n2")
    assert [each.name for each in promotable(config, settings)] == ["n7"]  # n6 would be the third of region a


def test_members_with_different_lease_s_reject_each_other() -> None:
    dialing, accepting = member("n1"), member("n2")
    dialer = LinkChannel.open(SECRET, "member", True, dialing, lease_s=1.0)
    acceptor = LinkChannel.open(SECRET, "member", False, accepting, lease_s=3.0)
    _, hello = acceptor.receive(dialer.begin())
    _, proof = dialer.receive(hello)
    with pytest.raises(LinkError, match=r"lease: the other member has lease_s = 1, this one 3"):
        acceptor.receive(proof)


def test_hello_without_lease_s_is_read_with_the_default() -> None:
    class HelloWithoutLease(msgspec.Struct, frozen=True, tag="hello"):
        version: int
        kind: str
        nonce: bytes
        id: str = ""
        name: str = ""
        address: str = ""
        cluster: str = ""

    raw = msgspec.msgpack.encode(HelloWithoutLease(1, "member", b"x" * 16, "id", "n9", "127.0.0.1:1"))
    assert msgspec.msgpack.decode(raw, type=wire.Hello).lease_s == 1.0
    current = msgspec.msgpack.encode(wire.Hello(1, "member", b"x" * 16, lease_s=1.0))
    assert msgspec.msgpack.decode(current, type=HelloWithoutLease).version == 1


class ThreeVoterCluster(Cluster):
    """A cluster whose settings ask for three voters."""

    def write_config(self, name: str, names: list[str] | None = None, more: str = "") -> Path:
        return super().write_config(name, names, more + "voters = 3\n")


def voters(store_cluster: Cluster, name: str) -> set[str]:
    try:
        return {each["name"] for each in store_cluster.status(name)["members"] if each["voter"]}
    except RequestFailedError:
        return set()


def test_learner_is_promoted_after_a_voter_is_removed(tmp_path: Path) -> None:
    store_cluster = ThreeVoterCluster(tmp_path, 4)
    try:
        store_cluster.start_all()
        wait_for(
            lambda: all(voters(store_cluster, name) == {"n1", "n2", "n3"} for name in store_cluster.names),
            15.0,
        )
        removed = store_cluster.others(store_cluster.leader(["n1", "n2", "n3"]))[0]
        remaining = [name for name in store_cluster.names if name != removed]
        assert (
            store_cluster.cli(
                "store", "remove", removed, "--node", store_cluster.listen_addresses["n4"]
            ).returncode
            == 0
        )
        wait_for(lambda: all(voters(store_cluster, name) == set(remaining) for name in remaining), 15.0)
        # The promoted learner counts for the quorum: a write needs it as one of two running voters of three.
        store_cluster.kill(
            next(name for name in remaining if name != "n4" and name != store_cluster.leader(remaining))
        )
        with store_cluster.member_client("n4", 10.0) as client:
            assert client.set("k", 1) > 0
    finally:
        store_cluster.stop()
