"""All requests of a proxy, and their final answers.

Invariant: each request has exactly one final answer, in time, whatever the balancer says or leaves unsaid.
The answer is given only through `RequestTable.answer`, and a timer at its deadline guards it.
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
    """Requests by id, from their first line to the end of their connection."""

    def __init__(self, context: ProxyContext) -> None:
        self.context = context
        self.by_id: dict[int, Request] = {}
        self.connection_ids: set[str] = set()  # clients' names for these
        self.next_id = 1
        # None where a decision may be made now; else the s after which a rejected client may come again.
        self.admission_gate: Callable[[], float | None] | None = None

    def open(
        self, handlers: RequestHandlers, session: SessionPort, connection_request: ConnectionRequest
    ) -> tuple[Request, float]:
        """Enter a request, with the time in s that it may take; raises `InvalidRequestError`."""
        context = self.context
        traffic_class = context.settings.classes.get(connection_request.class_name)
        if traffic_class is None:
            raise InvalidRequestError("unknown class")
        if self.is_open(connection_request):
            # Guards against two connections under one id, of which an endpoint could serve but one.
            raise InvalidRequestError("the id of another client's request")
        context.metrics.count("taken")
        wait = traffic_class.time_limit if connection_request.wait is None else connection_request.wait
        deadline = context.now() + wait
        request = Request(
            handlers, self.next_id, connection_request, session, deadline, context.settings.max_attempts
        )
        self.enter(request)
        return request, wait

    def is_open(self, connection_request: ConnectionRequest) -> bool:
        """Whether a request under the same connection id is open."""
        return connection_request.id in self.connection_ids

    def enter(self, request: Request) -> None:
        """Add a request that has the next id."""
        self.next_id += 1
        self.by_id[request.id] = request
        if request.connection_request.id:
            self.connection_ids.add(request.connection_request.id)

    def answer(self, request: Request, answer: Answer) -> None:
        """The final answer is being given."""
        served = answer is Answer.SERVED
        request.transition(RequestState.ESTABLISHED if served else RequestState.ENDED)
        request.cancel_deadline()
        self.context.metrics.count(f"answered_{answer.value}")

    def reject(self, request: Request, retry_after: float) -> None:
        """Answer that nothing was done, and when to come again, in s."""
        self.answer(request, Answer.REJECTED)
        request.session.reject(retry_after)

    def fail(self, request: Request) -> None:
        """Answer that promises nothing."""
        self.answer(request, Answer.FAILED)
        request.session.fail()

    def reject_if_gated(self, request: Request) -> bool:
        """Reject at once what could only be decided by state that others may have replaced."""
        wait = self.admission_gate() if self.admission_gate is not None else None
        if wait is None:
            return False
        self.context.metrics.count("refused_stale")
        self.reject(request, min(wait, self.context.settings.max_retry_after))
        self.drop(request)
        return True

    def drop(self, request: Request) -> None:
        """Nothing of it is left; harmless where it was dropped before."""
        request.cancel_deadline()
        if self.by_id.pop(request.id, None) is not None:
            self.connection_ids.discard(request.connection_request.id)
