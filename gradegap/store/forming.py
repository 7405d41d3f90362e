"""How a new cluster comes about, and why a member that lost its disk never begins one. No I/O.

A member whose folder is new belongs to no cluster. One is begun only when every peer of the operator's file
was met and none belongs to one either; then the member with the smallest name says who is in it. If any of
them belongs to a cluster, this one asks to be taken in, under its new identity.
"""

from __future__ import annotations

import secrets

from gradegap.operator_file import StoreSettings
from gradegap.raft.types import Config, Member
from gradegap.store.wire import Hello


class Forming:
    def __init__(self, settings: StoreSettings, me: Member) -> None:
        self.me = me
        self.peers = {p.name: p.address for p in settings.peers if p.name != me.name}
        self.seen: dict[str, Hello] = {}

    def alone(self) -> tuple[str, Config] | None:
        """A cluster of one, where no peers are listed."""
        return None if self.peers else (secrets.token_hex(8), Config((self.me,)))

    def met(self, hello: Hello) -> None:
        if hello.name in self.peers:
            self.seen[hello.name] = hello

    def waits_for(self, hello: Hello | None) -> bool:
        """Whether a peer was without a cluster when it was last asked, and is not to be told of one here."""
        return hello is not None and not hello.cluster and self.form() is None

    def form(self) -> tuple[str, Config] | None:
        """The new cluster, where it is this member that begins it."""
        if not self.peers or self.seen.keys() != self.peers.keys():
            return None
        if any(h.cluster for h in self.seen.values()) or self.me.name > min(self.peers):
            return None
        others = [Member(h.id, name, self.peers[name]) for name, h in sorted(self.seen.items())]
        return secrets.token_hex(8), Config((self.me, *others))
