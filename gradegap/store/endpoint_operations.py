"""Operators' calls about endpoints, as writes to the store by whichever way the node has."""

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
"""Sends a request to the store; the callback gets one response within so many seconds."""


class EndpointOperations:
    """Takes endpoints out of use and back, for every node that decides by the store."""

    def __init__(
        self,
        committed: CommittedState,
        node: str,
        send: SendRequest,
        describe_remedy: Callable[[], str] = lambda: "",
    ) -> None:
        """`describe_remedy` is added to the text of a failure."""
        self.committed, self.node, self.send = committed, node, send
        self.describe_remedy = describe_remedy

    def disable(self, endpoint: str, done: ResultCallback) -> None:
        """Succeeds once it is committed and no node decides without it."""
        self._write(self.committed.disabled_by_operator(endpoint, self.node), done)

    def enable(self, endpoint: str, done: ResultCallback) -> None:
        """Succeeds once it is committed and in force at every node that decides."""
        self._write(self.committed.enabled_by_operator(endpoint), done)

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
    """Count and log that a node may decide by committed state from now on, or no more."""
    metrics.count("store_fresh_again" if fresh else "store_stale")
    if fresh:
        log.info("lease obtained", **fields)
    else:
        log.warning(
            "lease expired", new_requests="rejected" if when_stale == "refuse" else "served", **fields
        )
