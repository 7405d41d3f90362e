"""What operators can ask of a node by the admin API, and the results that they get."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol


@dataclass(slots=True, frozen=True)
class AdminResult:
    """The result of a call, as its answer gives it."""

    status: HTTPStatus
    text: str


DONE = AdminResult(HTTPStatus.OK, "done")

ResultCallback = Callable[[AdminResult], None]


class AdminOperations(Protocol):
    """A node's operations. Each calls `done` once, and with 200 only when the change is in force."""

    def report_ready(self, done: ResultCallback) -> None:
        """Whether the node takes clients."""
        ...

    def report_configuration(self, done: ResultCallback) -> None:
        """Which committed revision the node decides by."""
        ...

    def report_in_force(self, done: ResultCallback) -> None:
        """Whether all nodes decide by the revision that this one has."""
        ...

    def disable_endpoint(self, endpoint: str, done: ResultCallback) -> None:
        """Forward nothing more to an endpoint, whatever discovery says of it."""
        ...

    def enable_endpoint(self, endpoint: str, done: ResultCallback) -> None:
        """End what `disable_endpoint` began."""
        ...

    def start_draining(self, done: ResultCallback) -> None:
        """Take the node out of service: its clients are migrated."""
        ...

    def stop_draining(self, done: ResultCallback) -> None:
        """Put the node back in service."""
        ...
