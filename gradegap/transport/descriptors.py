"""The node's budget of file descriptors: counts open ones, and evicts connections when they run short.

Established sessions, attempts, health checks and discovery have priority. To free descriptors for them,
answered connections are closed first, then connections without a request; of each kind, those with the oldest
activity first. So a client that repeatedly checks whether the node is ready outlasts many clients that send
nothing. Connections without a request are dismissed shortly before the budget is exhausted, and closed when
it is.
"""

from __future__ import annotations

import resource
import socket
from enum import IntEnum
from itertools import count
from typing import Protocol

from gradegap.metrics import Metrics

PROCESS_RESERVE = 32
"""Descriptors reserved for the process, its listeners, discovery, store members and some health checks."""

DIAL_RESERVE_DIVISOR = 16
"""Divisor of the limit that gives the number of descriptors reserved for attempts and health checks.

They are not used for new clients.
"""

DISMISSAL_MARGIN_DIVISOR = 32
"""Divisor of the limit that gives the number of free descriptors below which dismissals start.

They start before connections have to be closed.
"""


class EvictionRank(IntEnum):
    """Progress of a connection that may be evicted; answered connections are evicted first."""

    ANSWERED = 0
    PINGED = 1
    UNOPENED = 2


class Evictable(Protocol):
    """A client connection, as the budget sees it."""

    def dismiss(self) -> None:
        """Answer that there is no capacity; the connection then calls `set_rank` with `ANSWERED`."""

    def evict(self) -> None:
        """Close at once; the connection then calls `on_closed`."""


class DescriptorBudget:
    """The number of descriptors that the process may use, and the connections that hold them."""

    def __init__(self, limit: int, metrics: Metrics) -> None:
        self.limit = limit
        self.metrics = metrics
        self.held_count = 0
        self.reserved = PROCESS_RESERVE
        self.held_by_other_process = 0
        """Descriptors held by another process of this node, with which this process shares the limit."""
        self.ranked: tuple[dict[Evictable, int], ...] = tuple({} for _ in EvictionRank)
        """For each rank, its connections with the sequence number of their last activity, oldest first."""
        self.activity_numbers = count()
        metrics.gauge("sockets", lambda: f"{self.held_count}/{self.limit}")

    def reserve(self, count: int) -> None:
        """Reserve `count` more descriptors for the caller, so that a flood of clients cannot use them up."""
        self.reserved += count

    def owned_count(self) -> int:
        """Return the number of descriptors that this process holds, including its reserve."""
        return self.held_count + self.reserved

    def on_taken_back(self, channel: Evictable, pinged: bool) -> None:
        """Rank a connection again that was to be transferred to another process but stays in this one."""
        self.set_rank(channel, EvictionRank.PINGED if pinged else EvictionRank.UNOPENED)

    def on_accepted(self, channel: Evictable) -> None:
        """Count a new client connection, and evict others if necessary.

        Guards against clients that connect and send nothing: they would use up the descriptors that requests
        need.
        """
        self.held_count += 1
        self.set_rank(channel, EvictionRank.UNOPENED)
        available = self._available() - self.limit // DIAL_RESERVE_DIVISOR
        # Guards against closing a connection just as its client sends a request: it is dismissed while
        # descriptors are left, and data that the client sends meanwhile are read and dropped.
        lingering_count = len(self.ranked[EvictionRank.ANSWERED])
        if self.held_count - lingering_count > available - self.limit // DISMISSAL_MARGIN_DIVISOR:
            rank, oldest = self._oldest(EvictionRank.PINGED, EvictionRank.UNOPENED)
            if oldest is not None and oldest is not channel:
                self.metrics.count(f"evicted_{rank.name.lower()}")
                oldest.dismiss()
        self._evict_beyond(available)

    def set_rank(self, channel: Evictable, rank: EvictionRank | None) -> None:
        """Set the rank of a connection after activity; None: it is in use and must not be evicted."""
        for connections in self.ranked:
            connections.pop(channel, None)
        if rank is not None:
            self.ranked[rank][channel] = next(self.activity_numbers)

    def on_closed(self, channel: Evictable) -> None:
        """Remove a client connection that has ended."""
        self.held_count -= 1
        self.set_rank(channel, None)

    def open_socket(self, family: int) -> DialedSocket:
        """Return a TCP socket to dial with; if no descriptor is free, evict a connection for it."""
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
        """Return the connection of these ranks whose last activity is the oldest, with its rank."""
        oldest = [
            (*next(iter(connections.items())), rank) for rank in ranks if (connections := self.ranked[rank])
        ]
        if not oldest:
            return ranks[0], None
        channel, _, rank = min(oldest, key=lambda candidate: candidate[1])
        return rank, channel


class DialedSocket(socket.socket):
    """An outgoing TCP socket. It counts against the budget from its creation until any code closes it."""

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
        """Close the socket, and remove it from the budget."""
        self._release()
        super().close()

    def detach(self) -> int:
        """Remove the open socket from the budget; uvloop detaches a socket when it closes its transport."""
        self._release()
        return super().detach()


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the process's soft limit of descriptors to `wanted`, as far as the hard limit allows.

    Returns the number of descriptors that the process may use: at most `wanted`, or the soft limit if
    `wanted` is zero or less.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return min(wanted, soft) if wanted > 0 else soft
