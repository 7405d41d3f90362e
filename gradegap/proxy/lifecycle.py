"""The course of a request: its arrival, the balancer's answer, its client's end, its deadline, migration.

Invariants: a request that has its final answer is not answered again; one that the balancer leaves without an
answer fails at its deadline; a client that disconnected gets no answer.
"""

from __future__ import annotations

from gradegap.balancing.actions import Fail, Migrate, Reject
from gradegap.balancing.events import AttemptResult, ClientDisconnected
from gradegap.proxy.attempts import Attempts
from gradegap.proxy.context import ProxyContext
from gradegap.proxy.inherited import InheritedConnections
from gradegap.proxy.request import (
    ConnectionRequest,
    Request,
    RequestHandlers,
    RequestState,
    SessionPort,
)
from gradegap.proxy.requests import RequestTable


class RequestLifecycle:
    """Takes requests from arrival to their end."""

    def __init__(
        self,
        context: ProxyContext,
        requests: RequestTable,
        attempts: Attempts,
        inherited: InheritedConnections,
    ) -> None:
        self.context = context
        self.requests = requests
        self.attempts = attempts
        self.inherited = inherited

    def open(
        self, handlers: RequestHandlers, session: SessionPort, connection_request: ConnectionRequest
    ) -> Request:
        """A client session's request; raises `InvalidRequestError`."""
        request, wait = self.requests.open(handlers, session, connection_request)
        # Guards against a balancer that never answers: the answer is given here, still within the slack.
        request.deadline_timer = self.context.loop.call_later(max(0.0, wait), self.on_deadline, request)
        if connection_request.inherited_from:
            self.inherited.connect(request)
        elif not self.requests.reject_if_gated(request):
            self.context.feed(request.arrival())
        return request

    def on_disconnect(self, request: Request) -> None:
        """The client has disconnected."""
        if request.id not in self.requests.by_id:
            return
        attempt = request.attempt
        if request.established:
            if attempt is not None:
                self.attempts.cancel(attempt)
            return
        if not request.pending:
            return
        request.transition(RequestState.ENDED)
        self.context.metrics.count("client_gone")
        request.cancel_deadline()
        self._feed_disconnect(request)
        if attempt is not None:
            self.attempts.cancel(attempt)
        else:
            self.requests.drop(request)

    def on_deadline(self, request: Request) -> None:
        """Its time is up: end its attempt, and answer for the balancer if that does not."""
        if not request.pending:
            return
        if request.attempt is not None:
            self.attempts.time_out(request.attempt)
        if request.pending:
            self.context.metrics.count("overdue")
            self.requests.fail(request)
            self._feed_disconnect(request)
            self.requests.drop(request)

    def _feed_disconnect(self, request: Request) -> None:
        """The balancer doesn't know an inherited connection that is not established."""
        if not request.connection_request.inherited_from:
            self.context.feed(ClientDisconnected(request.id))

    def reject(self, action: Reject) -> None:
        """Carry out the balancer's answer."""
        request = self.requests.by_id.get(action.request_id)
        if request is not None and request.pending:
            self.requests.reject(request, action.retry_after)
            self._finish(request)

    def fail(self, action: Fail) -> None:
        """Carry out the balancer's answer."""
        request = self.requests.by_id.get(action.request_id)
        if request is not None and request.pending:
            self.requests.fail(request)
            self._finish(request)

    def _finish(self, request: Request) -> None:
        if request.attempt is None:
            self.requests.drop(request)
        else:
            request.attempt.cancel_connection()
            self.context.loop.call_soon(request.attempt.on_ended, AttemptResult.CANCELLED)

    def migrate_by_id(self, action: Migrate) -> None:
        """Carry out the balancer's decision."""
        request = self.requests.by_id.get(action.request_id)
        if request is not None:
            self.migrate(request)

    def migrate(self, request: Request) -> None:
        """End an established connection politely: its session sends the client away between two lines."""
        attempt = request.attempt
        if request.state is RequestState.ESTABLISHED and attempt is not None:
            request.transition(RequestState.MIGRATING)
            self.context.metrics.count("moved")
            request.session.migrate()
            self.context.loop.call_soon(attempt.on_ended, AttemptResult.CANCELLED)

    def migrate_all(self) -> None:
        """End all established connections."""
        for request in list(self.requests.by_id.values()):
            self.migrate(request)

    def answer_all(self) -> None:
        """Answer all requests that have no answer yet, as if their time were up.

        Guards against requests that outlive this process: a class may wait longer than the platform does
        between SIGTERM and SIGKILL.
        """
        for request in list(self.requests.by_id.values()):
            if request.pending:
                self.on_deadline(request)
