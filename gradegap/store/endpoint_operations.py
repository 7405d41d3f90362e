"""Operator requests about endpoints, carried out as writes to the store."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Literal

import structlog

from gradegap.admin.operations import DONE, AdminResult, ResultCallback
from gradegap.metrics import Metrics
from gradegap.store import wire
from gradegap.store.committed_state import ADMIN_CALL_TIMEOUT_S, CommittedState
from gradegap.store.records import KeyUpdate

log = structlog.get_logger()

SendRequest = Callable[[wire.RequestBody, Callable[[wire.Response], None], float], None]
"""Sends a request to the store. The callback gets one response within the timeout (s, last argument)."""


class EndpointOperations:
    """Disables and enables endpoints at every node that decides by the store."""

    def __init__(
        self,
        committed: CommittedState,
        node: str,
        send: SendRequest,
        describe_remedy: Callable[[], str] = lambda: "",
    ) -> None:
        """`describe_remedy` returns text that is appended to the error message of a failure."""
        self.committed, self.node, self.send = committed, node, send
        self.describe_remedy = describe_remedy

    def disable(self, endpoint: str, done: ResultCallback) -> None:
        """Disable an endpoint; succeeds once committed and in force at every node that decides."""
        self._write(self.committed.disable_update(endpoint, self.node), done)

    def enable(self, endpoint: str, done: ResultCallback) -> None:
        """Enable an endpoint; succeeds once committed and in force at every node that decides."""
        self._write(self.committed.enable_update(endpoint), done)

    def _write(self, update: KeyUpdate, done: ResultCallback) -> None:
        def finish(response: wire.Response) -> None:
            if response.outcome == "ok":
                done(DONE)
            else:
                text = f"{response.text}{self.describe_remedy()}"
                done(AdminResult(HTTPStatus.SERVICE_UNAVAILABLE, text))

        self.send(wire.Transaction((update,), author="console"), finish, ADMIN_CALL_TIMEOUT_S)


def report_lease_change(
    metrics: Metrics, fresh: bool, when_stale: Literal["refuse", "serve"], **fields: object
) -> None:
    """Count and log that a node has obtained a lease, or that its lease has expired."""
    metrics.count("store_fresh_again" if fresh else "store_stale")
    if fresh:
        log.info("lease obtained", **fields)
    else:
        log.warning(
            "lease expired", new_requests="rejected" if when_stale == "refuse" else "served", **fields
        )
