"""The node's budget of file descriptors: how many are open, and who is evicted when they run short.

Established sessions, attempts, health checks and discovery come first. Connections that have been answered,
then those without a request are closed for them, first whose last activity is the oldest: so a
client that checks on and on whether the node is ready outlasts a crowd that sends nothing. They are dismissed
a little before the budget is used up, and closed when it is.
"""

from __future__ import annotations

import resource
import socket
from enum import IntEnum
from itertools import count
from typing import Protocol

from gradegap.metrics import Metrics

PROCESS_RESERVE = 32
"""Descriptors for the process itself, its listeners, discovery, the store's peers and some health checks."""

DIAL_RESERVE_DIVISOR = 16
"""One part in so many is kept from new clients, for attempts and health checks."""

DISMISSAL_MARGIN_DIVISOR = 32
"""Connections are dismissed while one part in so many is free, before any has to be closed."""


class EvictionRank(IntEnum):
    """How far a connection that may be evicted has come; the answered ones go first."""

    ANSWERED = 0
    PINGED = 1
    UNOPENED = 2


class Evictable(Protocol):
    """A client's connection, as the budget sees it."""

    def dismiss(self) -> None:
        """Answer that there is no capacity; a `set_rank` as answered follows."""

    def evict(self) -> None:
        """Close at once; `on_closed` follows."""


class DescriptorBudget:
    """How many descriptors the process may use, and who holds them."""

    def __init__(self, limit: int, metrics: Metrics) -> None:
        self.limit = limit
        self.metrics = metrics
        self.held_count = 0
        self.reserved = PROCESS_RESERVE
        self.held_by_other_process = 0
        """What another process of this node holds: both have one limit."""
        self.ranked: tuple[dict[Evictable, int], ...] = tuple({} for _ in EvictionRank)
        """By rank, each connection with the number of its last activity, the oldest first."""
        self.activity_numbers = count()
        metrics.gauge("sockets", lambda: f"{self.held_count}/{self.limit}")

    def reserve(self, count: int) -> None:
        """Keep some more that only their owner uses, so that no client's flood shuts them out."""
        self.reserved += count

    def owned_count(self) -> int:
        """What this process holds, its reserve included."""
        return self.held_count + self.reserved

    def on_taken_back(self, channel: Evictable, pinged: bool) -> None:
        """A connection that was to go on in another process stays in this one."""
        self.set_rank(channel, EvictionRank.PINGED if pinged else EvictionRank.UNOPENED)

    def on_accepted(self, channel: Evictable) -> None:
        """A client has connected.

        Guards against clients that connect and send nothing: they would take the descriptors that requests
        need.
        """
        self.held_count += 1
        self.set_rank(channel, EvictionRank.UNOPENED)
        available = self._available() - self.limit // DIAL_RESERVE_DIVISOR
        # Guards against a close in the very moment in which a client sends its request: it is dismissed while
        # there still are descriptors, and what it has sent meanwhile is read and dropped.
        lingering = len(self.ranked[EvictionRank.ANSWERED])
        if self.held_count - lingering > available - self.limit // DISMISSAL_MARGIN_DIVISOR:
            rank, oldest = self._oldest(EvictionRank.PINGED, EvictionRank.UNOPENED)
            if oldest is not None and oldest is not channel:
                self.metrics.count(f"evicted_{rank.name.lower()}")
                oldest.dismiss()
        self._evict_beyond(available)

    def set_rank(self, channel: Evictable, rank: EvictionRank | None) -> None:
        """How far a connection has come; None: it is in use and stays."""
        for connections in self.ranked:
            connections.pop(channel, None)
        if rank is not None:
            self.ranked[rank][channel] = next(self.activity_numbers)

    def on_closed(self, channel: Evictable) -> None:
        """A client's connection has ended."""
        self.held_count -= 1
        self.set_rank(channel, None)

    def open_socket(self, family: int) -> DialedSocket:
        """A TCP socket to dial with; the oldest evictable connection is closed for it where none is free."""
        self._evict_beyond(self._available())
        return DialedSocket(self, family)

    def _available(self) -> int:
        return self.limit - self.reserved - self.held_by_other_process

    def _evict_beyond(self, available: int) -> None:
        if self.held_count <= available:
            return
        rank, channel = self._oldest(EvictionRank.ANSWERED)
        if channel is None:
            rank, channel = self._oldest(EvictionRank.PINGED, EvictionRank.UNOPENED)
        if channel is not None:
            self.set_rank(channel, None)
            self.metrics.count(f"evicted_{rank.name.lower()}")
            channel.evict()

    def _oldest(self, *ranks: EvictionRank) -> tuple[EvictionRank, Evictable | None]:
        """Of connections with these ranks, the one whose last activity is the oldest."""
        oldest = [
            (*next(iter(connections.items())), rank) for rank in ranks if (connections := self.ranked[rank])
        ]
        if not oldest:
            return ranks[0], None
        channel, _, rank = min(oldest, key=lambda found: found[1])
        return rank, channel


class DialedSocket(socket.socket):
    """A TCP socket of the node's own, in the budget from its opening to its close, whoever closes it."""

    owner: DescriptorBudget | None = None

    def __init__(self, owner: DescriptorBudget, family: int, fileno: int | None = None) -> None:
        super().__init__(family, socket.SOCK_STREAM, fileno=fileno)
        self.owner = owner
        owner.held_count += 1

    def _release(self) -> None:
        if self.owner is not None:
            self.owner.held_count -= 1
            self.owner = None

    def close(self) -> None:
        """Close, and leave the budget."""
        self._release()
        super().close()

    def detach(self) -> int:
        """Leave the budget, open: how uvloop lets go of a socket whose transport it closes."""
        self._release()
        return super().detach()


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the process's soft limit to `wanted`, as far as its hard limit allows; how many can be used then.

    Zero or less: as many as the soft limit has.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return min(wanted, soft) if wanted > 0 else soft
