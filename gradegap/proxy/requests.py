"""All requests of a proxy, and their final answers.

Invariant: each request gets exactly one final answer, by its deadline, whatever the balancer decides and even
if it decides nothing. Answers are given only through `RequestTable.answer`; a timer at the deadline gives
the answer that is still missing.
"""

from __future__ import annotations

from collections.abc import Callable

from gradegap.proxy.context import ProxyContext
from gradegap.proxy.request import (
    Answer,
    ConnectionRequest,
    InvalidRequestError,
    Request,
    RequestHandlers,
    RequestState,
    SessionPort,
)


class RequestTable:
    """The requests by id, from their first line to the end of their connection."""

    def __init__(self, context: ProxyContext) -> None:
        self.context = context
        self.by_id: dict[int, Request] = {}
        self.connection_ids: set[str] = set()  # the ids that clients chose for their open connections
        self.next_id = 1
        # Returns None if decisions may be made now, else the time in s after which a rejected client may
        # retry.
        self.admission_gate: Callable[[], float | None] | None = None

    def open(
        self, handlers: RequestHandlers, session: SessionPort, connection_request: ConnectionRequest
    ) -> tuple[Request, float]:
        """Create a request; return it with the time that it may take, in s.

        Raises:
            InvalidRequestError: The class is unknown, or the connection id belongs to an open request.
        """
        context = self.context
        traffic_class = context.settings.classes.get(connection_request.class_name)
        if traffic_class is None:
            raise InvalidRequestError(f"unknown class {connection_request.class_name!r}")
        if self.is_open(connection_request):
            # Guards against two connections with one id: an endpoint could serve only one of them.
            raise InvalidRequestError(f"connection id {connection_request.id!r} belongs to an open request")
        context.metrics.count("taken")
        wait = traffic_class.time_limit if connection_request.wait is None else connection_request.wait
        deadline = context.now() + wait
        request = Request(
            handlers, self.next_id, connection_request, session, deadline, context.settings.max_attempts
        )
        self.enter(request)
        return request, wait

    def is_open(self, connection_request: ConnectionRequest) -> bool:
        """Return whether a request with the same connection id is open."""
        return connection_request.id in self.connection_ids

    def enter(self, request: Request) -> None:
        """Add a request whose id is `next_id`."""
        self.next_id += 1
        self.by_id[request.id] = request
        if request.connection_request.id:
            self.connection_ids.add(request.connection_request.id)

    def answer(self, request: Request, answer: Answer) -> None:
        """Record the final answer of a request: its state, its deadline timer and its counter."""
        served = answer is Answer.SERVED
        request.transition(RequestState.ESTABLISHED if served else RequestState.ENDED)
        request.cancel_deadline()
        self.context.metrics.count(f"answered_{answer.value}")

    def reject(self, request: Request, retry_after: float) -> None:
        """Answer that the request had no effect, and that the client may retry in `retry_after` s."""
        self.answer(request, Answer.REJECTED)
        request.session.reject(retry_after)

    def fail(self, request: Request) -> None:
        """Answer that the request failed; whether it had an effect is unknown."""
        self.answer(request, Answer.FAILED)
        request.session.fail()

    def reject_if_gated(self, request: Request) -> bool:
        """Reject the request if the gate is closed; return whether it was rejected.

        Guards against decisions that are based on state that other processes may have replaced.
        """
        wait = self.admission_gate() if self.admission_gate is not None else None
        if wait is None:
            return False
        self.context.metrics.count("refused_stale")
        self.reject(request, min(wait, self.context.settings.max_retry_after))
        self.drop(request)
        return True

    def drop(self, request: Request) -> None:
        """Remove a request; a repeated call has no effect."""
        request.cancel_deadline()
        if self.by_id.pop(request.id, None) is not None:
            self.connection_ids.discard(request.connection_request.id)
