"""What the operator sets for a member of the store."""

from __future__ import annotations

from collections import Counter
from typing import Annotated, Any, Literal

import msgspec

from gradegap.errors import OperatorFileError
from gradegap.setting_checks import check_loopback, check_name, has_duplicates


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Another member of the store."""

    name: str
    address: str
    region: str = ""


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[store]` table: this member of the replicated store, and the members it begins with."""

    name: str
    listen: str
    peers: tuple[Peer, ...] = ()  # this member may be among them
    advertise: str = ""  # where the others reach this member, if not at `listen`
    data: str = ""  # a folder that lasts; none: `$TMPDIR`, and the member comes back empty
    when_stale: Literal["refuse", "serve"] = "refuse"  # what a node does without a lease
    secret: str = ""  # a file with the cluster's secret, the same for all
    publish: str = ""  # where nodes subscribe; none: this member serves no subscriptions
    voters: Annotated[int, msgspec.Meta(ge=1, le=9)] = 5  # at most; further members are learners in reserve
    region: str = ""
    lease_s: Annotated[float, msgspec.Meta(ge=0.3, le=30.0)] = 1.0  # the same at all members

    @property
    def regions(self) -> dict[str, str]:
        """The region of each member by its name; empty where none is named."""
        return {p.name: p.region for p in self.peers} | {self.name: self.region}

    @property
    def first_voters(self) -> list[str]:
        """The names of the voters of a new cluster: the same at each member, whatever its file's order."""
        return sorted({self.name, *(p.name for p in self.peers)})[: self.voters]

    def check(self) -> None:
        """What single keys don't show.

        Raises:
            OperatorFileError: for the first setting that can't be used.
        """
        check_name(self.name, "store.name is")
        check_loopback(self.listen, "store.listen")
        if self.advertise:
            check_loopback(self.advertise, "store.advertise")
        self._check_peers()
        if self.publish:
            check_loopback(self.publish, "store.publish")
            if self.publish in (self.listen, self.advertise):
                raise OperatorFileError("store.publish is a port of its own, not that of store.listen")
        self._check_regions()

    def _check_peers(self) -> None:
        for peer in self.peers:
            check_name(peer.name, "store.peers:")
            check_loopback(peer.address, f"store.peers: the address of {peer.name}")
            if (peer.name == self.name) != (peer.address in (self.listen, self.advertise)):
                raise OperatorFileError(
                    f"store.peers: {peer.name} at {peer.address} is and is not this member"
                )
        if has_duplicates(peer.name for peer in self.peers):
            raise OperatorFileError("store.peers: two peers have the same name")
        if has_duplicates(peer.address for peer in self.peers):
            raise OperatorFileError("store.peers: two peers have the same address")

    def _check_regions(self) -> None:
        """Guards against a cluster that the loss of one region ends, where there are several."""
        regions = self.regions
        if len({region for region in regions.values() if region}) < 2:
            return
        voters = self.first_voters
        voters_by_region = Counter(regions[name] for name in voters if regions[name])
        region, count = voters_by_region.most_common(1)[0]
        if count > len(voters) // 2:
            raise OperatorFileError(
                f"store.peers: region {region} holds {count} of the {len(voters)} voters "
                f"({', '.join(voters)}), a majority; voters are the first {self.voters} members by name: "
                "spread them over more regions"
            )


def check_store_table_form(table: Any) -> None:
    """Guards against a `[store]` table of an earlier version, which would only be called unreadable.

    Raises:
        OperatorFileError: saying what to write instead.
    """
    if not isinstance(table, dict):
        return
    if any(isinstance(peer, str) for peer in table.get("peers", ()) or ()):
        raise OperatorFileError(
            'store.peers has the form of an earlier version; write peers = [{ name = "n2", address = '
            '"127.0.0.1:7401" }, ...], and a name for this member: name = "n1"'
        )
    if "name" not in table:
        raise OperatorFileError('store has no name; write name = "n1", one for each member of the cluster')
