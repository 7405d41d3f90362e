"""What the operator sets for a member of the store."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec


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
