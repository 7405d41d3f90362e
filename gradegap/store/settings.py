"""Operator settings of a member of the store."""

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
    """The `[store]` table: this member of the replicated store, and the initial members."""

    name: str
    listen: str
    peers: tuple[Peer, ...] = ()  # the other initial members; the list may also contain this member
    advertise: str = ""  # address at which other members reach this one; empty: `listen`
    data: str = ""  # persistent data folder; empty: in `$TMPDIR`, and the member restarts empty
    # treatment of new requests while the node has no valid lease
    when_stale: Literal["refuse", "serve"] = "refuse"
    secret: str = ""  # path of the file with the cluster's secret, the same at all members
    publish: str = ""  # address at which subscriptions are accepted; empty: this member serves none
    # maximum number of voters; further members are learners
    voters: Annotated[int, msgspec.Meta(ge=1, le=9)] = 5
    region: str = ""
    lease_s: Annotated[float, msgspec.Meta(ge=0.3, le=30.0)] = (
        1.0  # lease length (s), the same at all members
    )

    @property
    def regions(self) -> dict[str, str]:
        """The region of each member by name; empty if none is set."""
        return {peer.name: peer.region for peer in self.peers} | {self.name: self.region}

    @property
    def first_voters(self) -> list[str]:
        """The names of the initial voters, the first ones by name.

        Every member gets the same result, in whichever order its file lists the peers.
        """
        return sorted({self.name, *(peer.name for peer in self.peers)})[: self.voters]

    def check(self) -> None:
        """Check names, addresses and constraints between settings.

        Raises:
            OperatorFileError: A setting is invalid; the text names the first one.
        """
        check_name(self.name, "store.name is")
        check_loopback(self.listen, "store.listen")
        if self.advertise:
            check_loopback(self.advertise, "store.advertise")
        self._check_peers()
        if self.publish:
            check_loopback(self.publish, "store.publish")
            if self.publish in (self.listen, self.advertise):
                raise OperatorFileError(
                    "store.publish must have a port of its own, other than that of store.listen"
                )
        self._check_regions()

    def _check_peers(self) -> None:
        for peer in self.peers:
            check_name(peer.name, "store.peers:")
            check_loopback(peer.address, f"store.peers: the address of {peer.name}")
            if (peer.name == self.name) != (peer.address in (self.listen, self.advertise)):
                raise OperatorFileError(
                    f"store.peers: {peer.name} at {peer.address} must match this member in both name and "
                    "address, or in neither"
                )
        if has_duplicates(peer.name for peer in self.peers):
            raise OperatorFileError("store.peers: two peers have the same name")
        if has_duplicates(peer.address for peer in self.peers):
            raise OperatorFileError("store.peers: two peers have the same address")

    def _check_regions(self) -> None:
        """Reject a majority of voters in one of several regions: its loss would stop the cluster."""
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
    """Detect a `[store]` table in the format of an earlier version, for a more specific error message.

    Raises:
        OperatorFileError: The table has the old format; the text gives the new one.
    """
    if not isinstance(table, dict):
        return
    if any(isinstance(peer, str) for peer in table.get("peers", ()) or ()):
        raise OperatorFileError(
            'store.peers has the format of an earlier version; write peers = [{ name = "n2", address = '
            '"127.0.0.1:7401" }, ...], and a name for this member: name = "n1"'
        )
    if "name" not in table:
        raise OperatorFileError('store has no name; write name = "n1", one for each member of the cluster')
