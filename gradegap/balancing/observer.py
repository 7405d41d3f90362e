"""The interface of an observer of decision steps, which `gradegap explain` implements."""

from __future__ import annotations

from typing import Protocol

from gradegap.balancing.model import Endpoint, Request


class DecisionObserver(Protocol):
    """Called after each step of a decision, and before a draw. It must not modify its arguments."""

    def draw_started(self, request: Request) -> None:
        """A pair of candidates is about to be drawn for the request."""

    def endpoint_drawn(self, request: Request, endpoint: Endpoint | None) -> None:
        """A candidate was drawn; None: no further candidate is available."""

    def pair_compared(self, request: Request, beta: float, older_age: float) -> None:
        """The candidates are compared with probability `beta`.

        Args:
            request: The request.
            beta: The probability of the comparison, 0 to 1.
            older_age: Age in seconds of the older of the two load reports.
        """

    def headroom_checked(self, request: Request, endpoint: Endpoint, has_headroom: bool) -> None:
        """Admission control found that the endpoint has headroom for the request or that it has none."""

    def request_forwarded(self, request: Request, endpoint: Endpoint) -> None:
        """An attempt of the request was sent to the endpoint."""

    def request_postponed(self, request: Request) -> None:
        """No attempt may be sent now; the request waits or is given up."""

    def request_answered(self, request: Request) -> None:
        """The request received its final answer."""
