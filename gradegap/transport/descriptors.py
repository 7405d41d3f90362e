"""The node's descriptors: how many are open, and who makes way when they run short.

Standing sessions, fetches, probes and discovery come first. Connections that have been answered, then those
that have not said what they want are closed for them, first whose last word is the oldest: so a front that
asks on and on whether the node is well outlasts a crowd that says nothing. They are told a little before
there is no room, and closed when there is none.
"""

from __future__ import annotations

import resource
import socket
from enum import IntEnum
from itertools import count
from typing import Protocol

from gradegap.metrics import Metrics

BASE = 32  # for the process itself, its listeners, discovery, the store's peers and some probes
DIALS = 16  # one part in so many is kept from new clients, for fetches and probes
TOLD = 32  # one part in so many are told that they make way before they have to


class Rank(IntEnum):
    """What a connection that may make way has come to; the answered ones go first."""

    ANSWERED = 0
    PINGED = 1
    UNOPENED = 2


class Evictable(Protocol):
    def dismiss(self) -> None:
        """Say that it has to make way; a `rank` as answered follows."""

    def evict(self) -> None:
        """Close at once; `release` follows."""


class Descriptors:
    def __init__(self, limit: int, metrics: Metrics) -> None:
        self.limit = limit
        self.metrics = metrics
        self.held = 0
        self.base = BASE
        self.beside = 0  # what another process of this node holds: both have one limit
        # Each with the number of its last word. The oldest is the first, in a dictionary's own order.
        self.ranks: tuple[dict[Evictable, int], ...] = tuple({} for _ in Rank)
        self.words = count()
        metrics.gauge("sockets", lambda: f"{self.held}/{self.limit}")

    def reserve(self, count: int) -> None:
        """Some more that only their owner uses, so that no client's flood shuts them out."""
        self.base += count

    def own(self) -> int:
        """What this process holds, its reserve included."""
        return self.held + self.base

    def accepted_again(self, channel: Evictable, pinged: bool) -> None:
        self.rank(channel, Rank.PINGED if pinged else Rank.UNOPENED)

    def accepted(self, channel: Evictable) -> None:
        """A client has connected. Guards against clients that connect and say nothing: they would take
        the descriptors that those who ask need."""
        self.held += 1
        self.rank(channel, Rank.UNOPENED)
        most = self.limit - self.base - self.beside - self.limit // DIALS
        # Guards against a close in the very moment in which a client asks: it is told while there still is
        # room, and what it has sent meanwhile is read away.
        if self.held - len(self.ranks[Rank.ANSWERED]) > most - self.limit // TOLD:
            rank, oldest = self._oldest(Rank.PINGED, Rank.UNOPENED)
            if oldest is not None and oldest is not channel:
                self.metrics.count(f"evicted_{rank.name.lower()}")
                oldest.dismiss()
        self._make_way(most)

    def rank(self, channel: Evictable, rank: Rank | None) -> None:
        """What a channel has come to; None: it is in use and stays."""
        for each in self.ranks:
            each.pop(channel, None)
        if rank is not None:
            self.ranks[rank][channel] = next(self.words)

    def released(self, channel: Evictable) -> None:
        self.held -= 1
        self.rank(channel, None)

    def dialed(self, family: int) -> DialedSocket:
        """A socket to dial with."""
        self._make_way(self.limit - self.base - self.beside)
        return DialedSocket(self, family)

    def _make_way(self, most: int) -> None:
        if self.held <= most:
            return
        rank, channel = self._oldest(Rank.ANSWERED)
        if channel is None:
            rank, channel = self._oldest(Rank.PINGED, Rank.UNOPENED)
        if channel is not None:
            self.rank(channel, None)
            self.metrics.count(f"evicted_{rank.name.lower()}")
            channel.evict()

    def _oldest(self, *ranks: Rank) -> tuple[Rank, Evictable | None]:
        """Of these, whose last word is the oldest."""
        first = [(*next(iter(held.items())), rank) for rank in ranks if (held := self.ranks[rank])]
        if not first:
            return ranks[0], None
        channel, _, rank = min(first, key=lambda each: each[1])
        return rank, channel


class DialedSocket(socket.socket):
    """A TCP socket of the node's own, counted from its making to its close, whoever closes it."""

    owner: Descriptors | None = None

    def __init__(self, owner: Descriptors, family: int, fileno: int | None = None) -> None:
        super().__init__(family, socket.SOCK_STREAM, fileno=fileno)
        self.owner = owner
        owner.held += 1

    def _release(self) -> None:
        if self.owner is not None:
            self.owner.held -= 1
            self.owner = None

    def close(self) -> None:
        self._release()
        super().close()

    def detach(self) -> int:
        # How uvloop lets go of a socket whose transport it closes.
        self._release()
        return super().detach()


def raise_descriptor_limit(wanted: int) -> int:
    """As many descriptors as are wanted, where the system gives them; what there are then to use."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return min(wanted, soft) if wanted > 0 else soft
