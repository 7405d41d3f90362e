"""Operations of a node that the admin API offers to operators, and their results."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol


@dataclass(slots=True, frozen=True)
class AdminResult:
    """Status and text of the answer to a call."""

    status: HTTPStatus
    text: str


DONE = AdminResult(HTTPStatus.OK, "done")

ResultCallback = Callable[[AdminResult], None]


class AdminOperations(Protocol):
    """A node's operations.

    Each operation calls `done` once; the status is 200 only if the change is in force.
    """

    def report_ready(self, done: ResultCallback) -> None:
        """Report whether the node accepts clients."""
        ...

    def report_configuration(self, done: ResultCallback) -> None:
        """Report the committed revision of the configuration that the node applies."""
        ...

    def report_in_force(self, done: ResultCallback) -> None:
        """Report whether all nodes apply the revision of the configuration that this node has."""
        ...

    def disable_endpoint(self, endpoint: str, done: ResultCallback) -> None:
        """Forward no new request to an endpoint, whatever state discovery reports for it."""
        ...

    def enable_endpoint(self, endpoint: str, done: ResultCallback) -> None:
        """Revert `disable_endpoint`."""
        ...

    def start_draining(self, done: ResultCallback) -> None:
        """Take the node out of service and migrate its clients."""
        ...

    def stop_draining(self, done: ResultCallback) -> None:
        """Put the node back in service."""
        ...
