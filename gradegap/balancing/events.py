"""The events that a `Balancer` handles, and the types of their fields.

All times are in seconds, as floats. A field that ends in `_at` is a point on the balancer's clock; any other
time is a duration. This module contains no decision logic.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple


class EndpointPhase(IntEnum):
    """The lifecycle phase of an endpoint, as reported by discovery."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """How the entries of an `EndpointList` relate to the list that the proxy already has."""

    FAILED = 0  # a discovery call failed or the watch was lost; there are no entries
    CACHED = 1  # the complete list, from this proxy's cache
    DELTA = 2  # only the entries that changed
    FULL = 4  # the complete list, from discovery


class AttemptResult(IntEnum):
    """The result of an attempt or a health check.

    It tells whether the endpoint may have executed the request; a retry depends on that.
    """

    OK = 10
    ERROR = 20  # the endpoint answered with an error; the request may have run
    FULL = 30  # the endpoint was full and rejected it unread; the request never ran
    TIMEOUT = 40  # no answer within the timeout; the request may have run
    CONNECT_FAILED = 50  # no connection was established; the request never ran
    RESET = 60  # the connection was reset; the request may have run
    CANCELLED = 70  # the attempt was cancelled; the request may have run
    NOT_SENT = 80  # the proxy sent nothing; the request never ran


NEVER_RAN = frozenset({AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT})
"""Results after which the endpoint certainly has not executed the request."""


class EndpointEntry(NamedTuple):
    """One endpoint in the endpoint list."""

    name: str
    zone: str = ""
    cell: int = 0
    phase: EndpointPhase = EndpointPhase.READY
    weight: float = 1.0
    started_at: float = 0.0  # when its process last started; 0: unknown, treated as long ago
    stops_within: float = 0.0  # seconds between the start of draining and the stop; 0: unknown


class EndpointList(NamedTuple):
    """The complete endpoint list, a change to it, or the failure to get it."""

    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...] = ()


class RequestArrived(NamedTuple):
    """A client requests a connection."""

    request_id: int
    class_name: str
    deadline_at: float
    tenant: str = ""
    key: str = ""
    group: str = ""  # connections of one group share work when they are on the same endpoint
    load: float = 0.0  # expected load; 0: unknown
    retry: bool = False  # the client repeats an earlier request
    mid_flow: bool = False
    reconnect: bool = False  # the client had an established connection before


class ConnectionInherited(NamedTuple):
    """A connection taken over from this proxy's predecessor; it counts as attempt 0 of the request."""

    request: RequestArrived
    endpoint: str


class ConnectionEstablished(NamedTuple):
    """The endpoint accepted the connection of an attempt."""

    request_id: int
    attempt: int
    endpoint: str
    elapsed: float  # seconds since the attempt started


class ConnectionObserved(NamedTuple):
    """A measurement on an established connection: its current load, or its message delay."""

    request_id: int
    endpoint: str
    load: float | None = None
    message_delay: float | None = None  # delay of one message in seconds


class AttemptEnded(NamedTuple):
    """An attempt failed, or the connection that it established has ended; the only result of the attempt."""

    request_id: int
    attempt: int
    endpoint: str
    result: AttemptResult
    elapsed: float  # seconds since the attempt started
    settled: bool  # the client has its final answer, so no retry may follow
    report: Mapping[str, float] | None = None  # load report in the endpoint's answer


class ClientDisconnected(NamedTuple):
    """The client closed its connection to this proxy."""

    request_id: int


class TimerFired(NamedTuple):
    """A timer that a `SetTimer` action requested has expired."""

    token: str


class HealthCheckEnded(NamedTuple):
    """The result of a health check, with the load report from its response."""

    endpoint: str
    result: AttemptResult
    elapsed: float  # seconds since the health check was sent
    report: Mapping[str, float] | None = None


class ProxyDraining(NamedTuple):
    """This proxy is about to stop: all its connections must be migrated before the deadline."""

    deadline_at: float
    process_ends: bool = False  # the process exits too: no further request is forwarded


class ProxyResumed(NamedTuple):
    """Cancels `ProxyDraining`: this proxy keeps running."""


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
