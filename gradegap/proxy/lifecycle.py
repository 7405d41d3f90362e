"""The course of a request: arrival, the balancer's answer, client disconnect, deadline, migration.

Invariants: a request is answered at most once; a request that the balancer does not answer fails at its
deadline, or at once if the balancer failed to decide on it; a client that disconnected gets no answer.
"""

from __future__ import annotations

from gradegap.balancing.actions import Fail, Migrate, Reject
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Event,
    RequestArrived,
)
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
    """Handles requests from their arrival to their end."""

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
        """Open the request of a client session.

        Raises:
            InvalidRequestError: The class is unknown, or the connection id belongs to an open request.
        """
        request, wait = self.requests.open(handlers, session, connection_request)
        # Guards against a balancer that never answers: the request then fails at its deadline, within the
        # slack that the protocol allows for answers.
        request.deadline_timer = self.context.loop.call_later(max(0.0, wait), self.on_deadline, request)
        if connection_request.inherited_from:
            self.inherited.connect(request)
        elif not self.requests.reject_if_gated(request):
            self.context.feed(request.arrival())
        return request

    def on_disconnect(self, request: Request) -> None:
        """Handle a disconnect of the client."""
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
        """Handle the deadline: end the attempt, then fail the request if the balancer has not answered it."""
        if not request.pending:
            return
        if request.attempt is not None:
            self.attempts.time_out(request.attempt)
        if request.pending:
            self.context.metrics.count("overdue")
            self._fail_undecided(request)

    def on_decision_failed(self, event: Event) -> None:
        """Fail the request of an event that the balancer failed to handle, unless an attempt is in progress.

        Guards against a client that waits until its deadline for a decision that will not come.
        """
        if not isinstance(event, RequestArrived | AttemptEnded):
            return
        request = self.requests.by_id.get(event.request_id)
        if request is not None and request.pending and request.attempt is None:
            self._fail_undecided(request)

    def _fail_undecided(self, request: Request) -> None:
        """Fail a request that the balancer has not answered, and end it for the balancer too."""
        self.requests.fail(request)
        self._feed_disconnect(request)
        self.requests.drop(request)

    def _feed_disconnect(self, request: Request) -> None:
        """Tell the balancer of a disconnect, except for inherited requests, which it does not know."""
        if not request.connection_request.inherited_from:
            self.context.feed(ClientDisconnected(request.id))

    def reject(self, action: Reject) -> None:
        """Carry out the balancer's decision to reject a request."""
        request = self.requests.by_id.get(action.request_id)
        if request is not None and request.pending:
            self.requests.reject(request, action.retry_after)
            self._finish(request)

    def fail(self, action: Fail) -> None:
        """Carry out the balancer's decision to fail a request."""
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
        """Carry out the balancer's decision to migrate a connection."""
        request = self.requests.by_id.get(action.request_id)
        if request is not None:
            self.migrate(request)

    def migrate(self, request: Request) -> None:
        """End an established connection gracefully: between two lines its client is told to reconnect."""
        attempt = request.attempt
        if request.state is RequestState.ESTABLISHED and attempt is not None:
            request.transition(RequestState.MIGRATING)
            self.context.metrics.count("moved")
            request.session.migrate()
            self.context.loop.call_soon(attempt.on_ended, AttemptResult.CANCELLED)

    def migrate_all(self) -> None:
        """Migrate all established connections."""
        for request in list(self.requests.by_id.values()):
            self.migrate(request)

    def answer_all(self) -> None:
        """Answer all requests that have no answer yet, as at their deadline.

        Guards against requests that outlast this process: the wait of a class may exceed the time that the
        platform leaves between SIGTERM and SIGKILL.
        """
        for request in list(self.requests.by_id.values()):
            if request.pending:
                self.on_deadline(request)
