"""Requests and attempts, and the interfaces (ports) of the network code that serves each of them.

`Request` and `Attempt` are also the handles through which the network code reports events: a client session
reports to its `Request`, a connection to an endpoint reports to its `Attempt`. Both pass the events on to the
handlers of the proxy.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from gradegap.balancing.events import AttemptResult, RequestArrived
from gradegap.proxy.endpoint import Endpoint

Report = Mapping[str, float]


class ConnectionRequest(msgspec.Struct, frozen=True):
    """The content of a client's first line. A hot restart transfers it under the names given by `name`."""

    class_name: str = msgspec.field(name="cls")
    wait: float | None = (
        None  # seconds the client waits for its connection; None: the time limit of its class
    )
    key: str = ""
    group: str = msgspec.field(default="", name="team")
    load: float = 0.0  # expected load of the connection; 0 if unknown
    retry: bool = False
    reconnect: bool = False
    inherited_from: str = msgspec.field(
        default="", name="at"
    )  # endpoint to which an inherited connection was established before the run; empty for others
    id: str = ""  # chosen by the client, unique among all open connections; empty if it chose none
    tenant: str = ""


class InvalidRequestError(ValueError):
    """A connection request is invalid: its class is unknown, or its connection id is in use."""


class SessionPort(Protocol):
    """The client session that made a request, as the proxy sees it."""

    def is_disconnected(self) -> bool:
        """Return whether the client has closed its connection, even if the loop has not read that yet."""

    def on_established(self) -> None:
        """Start to relay the client's data to the endpoint, which has confirmed the connection."""

    def reject(self, retry_after: float) -> None:
        """Answer that the request had no effect; the client may retry in `retry_after` s (0: unknown)."""

    def fail(self) -> None:
        """Answer that the request failed; whether it had an effect is unknown."""

    def migrate(self) -> None:
        """Tell the client of an established connection to reconnect; sent between two lines."""

    def on_endpoint_closed(self) -> None:
        """Handle the end of an established connection on the endpoint's side."""


class ConnectPort(Protocol):
    """The network connection of one attempt."""

    @property
    def sent(self) -> bool:
        """Whether the first line was written to the endpoint."""

    def cancel(self) -> None:
        """Close the connection; it reports nothing further to its attempt."""


class RequestStateError(RuntimeError):
    """A request was to enter a state that cannot follow its present one: a bug of the proxy."""


class RequestState(Enum):
    """State of a request, from its first line to the end of its connection."""

    PENDING = "pending"  # no final answer has been given
    ESTABLISHED = "established"  # an endpoint confirmed the connection
    MIGRATING = "migrating"  # established, and the client was told to reconnect
    ENDED = "ended"  # rejected, failed, client disconnected, or connection closed


TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.PENDING: frozenset({RequestState.ESTABLISHED, RequestState.ENDED}),
    RequestState.ESTABLISHED: frozenset({RequestState.MIGRATING, RequestState.ENDED}),
    RequestState.MIGRATING: frozenset({RequestState.ENDED}),
    RequestState.ENDED: frozenset(),
}


class Answer(Enum):
    """The final answer of a request. The counter of each answer is named after its value."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class RequestHandlers:
    """The proxy's handlers of the events that requests and attempts report."""

    now: Callable[[], float]
    client_disconnected: Callable[[Request], None]
    line_answered: Callable[[Request], None]
    may_send: Callable[[Attempt], bool]
    attempt_established: Callable[[Attempt], None]
    attempt_ended: Callable[[Attempt, AttemptResult, Report | None], None]
    attempt_sent: Callable[[Attempt], None]
    load_reported: Callable[[Attempt, float], None]


@dataclass(slots=True, eq=False)
class Request:
    """A client's request, from its first line to its connection's end.

    Times are in s on the proxy's clock.
    """

    handlers: RequestHandlers
    id: int
    connection_request: ConnectionRequest
    session: SessionPort
    deadline: float
    max_attempts: int = 1  # like the deadline, taken from the settings in force when the request arrived
    attempt_count: int = 0
    attempt: Attempt | None = None  # the attempt in progress or established
    state: RequestState = RequestState.PENDING
    deadline_timer: asyncio.TimerHandle | None = None
    last_response_at: float = 0.0  # once established: when the endpoint last sent data
    unanswered_since: float | None = None  # once established: arrival of the oldest unanswered line

    @property
    def pending(self) -> bool:
        """Whether the request has no final answer yet."""
        return self.state is RequestState.PENDING

    @property
    def established(self) -> bool:
        """Whether the client is connected to an endpoint."""
        return self.state is RequestState.ESTABLISHED or self.state is RequestState.MIGRATING

    def transition(self, state: RequestState) -> None:
        """Enter a state.

        Raises:
            RequestStateError: `TRANSITIONS` does not allow `state` after the present state.
        """
        if state not in TRANSITIONS[self.state]:
            raise RequestStateError(
                f"request {self.id}: invalid transition from {self.state.value} to {state.value}"
            )
        self.state = state

    def arrival(self) -> RequestArrived:
        """Return the event that tells the balancer of this request."""
        fields = self.connection_request
        return RequestArrived(
            self.id,
            fields.class_name,
            self.deadline,
            fields.tenant,
            fields.key,
            fields.group,
            fields.load,
            fields.retry,
            False,
            fields.reconnect,
        )

    def on_disconnect(self) -> None:
        """Handle a disconnect of the client."""
        self.handlers.client_disconnected(self)

    def on_client_line(self) -> None:
        """Record that a line of the client was forwarded over the established connection."""
        if self.unanswered_since is None:
            self.unanswered_since = self.handlers.now()

    def on_endpoint_data(self, line: bool = True) -> None:
        """Record data from the endpoint; `line` tells whether the data contain the end of a line."""
        self.last_response_at = self.handlers.now()
        if line:
            self.handlers.line_answered(self)

    def cancel_deadline(self) -> None:
        """Cancel the deadline timer, because the final answer was given."""
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to establish a request's connection at one endpoint.

    The network connection reports its events here. Invariant: events after the attempt's end are ignored.
    """

    request: Request
    endpoint: Endpoint
    number: int
    started_at: float
    timeout: float  # s, counted from `started_at`
    send_by: float = math.inf  # clock time after which the first line must not be written
    active: bool = True  # whether the attempt has not ended
    connection: ConnectPort | None = None
    timer: asyncio.TimerHandle | None = None

    def time_left(self) -> float:
        """Return the time until the attempt times out, in s."""
        return self.timeout - (self.request.handlers.now() - self.started_at)

    def may_send(self) -> bool:
        """Return whether the first line may be written to the connection; if not, the attempt has ended."""
        return self.active and self.request.handlers.may_send(self)

    def on_sent(self) -> None:
        """Record that the first line was written."""
        self.request.handlers.attempt_sent(self)

    def on_established(self) -> None:
        """Handle the endpoint's confirmation of the connection."""
        if self.active:
            self.request.handlers.attempt_established(self)

    def on_ended(self, result: AttemptResult, report: Report | None = None) -> None:
        """Handle the connection's end or a failed connect; `report` is the load report sent with the end."""
        if self.active:
            self.request.handlers.attempt_ended(self, result, report)

    def on_load(self, value: float) -> None:
        """Handle the load that the endpoint reported for the established connection."""
        if self.active:
            self.request.handlers.load_reported(self, value)

    def cancel_connection(self) -> None:
        """Close the attempt's connection, if there is one."""
        if self.connection is not None:
            self.connection.cancel()
