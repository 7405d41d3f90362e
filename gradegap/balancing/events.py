"""Events, which the decisions are made on, and the values that they consist of.

All times are seconds as floats: clock times where a field ends in `_at`, lengths otherwise.
Nothing in this file decides anything.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple


class EndpointPhase(IntEnum):
    """The phase of an endpoint's life, as discovery says."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """What an `EndpointList` is."""

    FAILED = 0  # a call to discovery failed, or the watch broke
    CACHED = 1  # the whole list as this proxy last held it
    DELTA = 2  # changed entries only
    FULL = 4  # the whole list


class AttemptResult(IntEnum):
    """How an attempt or a health check ended."""

    OK = 10
    ERROR = 20  # the endpoint answered with an error; may have run
    FULL = 30  # rejected unseen; never ran
    TIMEOUT = 40  # may have run
    CONNECT_FAILED = 50  # never ran
    RESET = 60  # may have run
    CANCELLED = 70  # may have run
    NOT_SENT = 80  # never sent


NEVER_RAN = frozenset({AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT})


class EndpointEntry(NamedTuple):
    """One endpoint of the endpoint list."""

    name: str
    zone: str = ""
    cell: int = 0
    phase: EndpointPhase = EndpointPhase.READY
    weight: float = 1.0
    started_at: float = 0.0  # latest start; 0: long ago
    stops_within: float = 0.0  # s that it stays once it is draining; 0: not known


class EndpointList(NamedTuple):
    """The endpoint list, whole or in part, or that it could not be had."""

    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...] = ()


class RequestArrived(NamedTuple):
    """A client asks for a connection."""

    request_id: int
    class_name: str
    deadline_at: float
    tenant: str = ""
    key: str = ""
    group: str = ""  # connections of one group share work on an endpoint
    load: float = 0.0  # expected load; 0: not known
    retry: bool = False
    mid_flow: bool = False
    reconnect: bool = False


class ConnectionInherited(NamedTuple):
    """A connection that was established through this proxy before it started: its attempt 0."""

    request: RequestArrived
    endpoint: str


class ConnectionEstablished(NamedTuple):
    """The endpoint has taken the connection."""

    request_id: int
    attempt: int
    endpoint: str
    elapsed: float  # s since the attempt began


class ConnectionObserved(NamedTuple):
    """What was seen of an established connection: its load now, or how long a message takes."""

    request_id: int
    endpoint: str
    load: float | None = None
    message_delay: float | None = None  # s


class AttemptEnded(NamedTuple):
    """The one outcome of an attempt, or the end of its connection."""

    request_id: int
    attempt: int
    endpoint: str
    result: AttemptResult
    elapsed: float  # s since the attempt began
    settled: bool  # the client has its final answer
    report: Mapping[str, float] | None = None


class ClientDisconnected(NamedTuple):
    """The client has closed its connection."""

    request_id: int


class TimerFired(NamedTuple):
    """A timer that `SetTimer` set is due."""

    token: str


class HealthCheckEnded(NamedTuple):
    """What a health check came to, with the load report that it brought."""

    endpoint: str
    result: AttemptResult
    elapsed: float  # s
    report: Mapping[str, float] | None = None


class ProxyDraining(NamedTuple):
    """This proxy is about to stop: all its connections must be migrated by then."""

    deadline_at: float
    process_ends: bool = False  # its process ends as well: what is not forwarded by now never will be


class ProxyResumed(NamedTuple):
    """This proxy stays after all: `ProxyDraining` is taken back."""


Event = (
    EndpointList
    | RequestArrived
    | ConnectionInherited
    | ConnectionEstablished
    | ConnectionObserved
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | ProxyDraining
    | ProxyResumed
)
