"""What a tool may watch of the decisions on one request, step by step; `gradegap explain` does."""

from __future__ import annotations

from typing import Protocol

from gradegap.balancing.model import Endpoint, Request


class DecisionObserver(Protocol):
    """Called after each step, and before a draw; it must change nothing that it is given."""

    def draw_started(self, request: Request) -> None:
        """A pair of candidates is about to be drawn."""

    def endpoint_drawn(self, request: Request, endpoint: Endpoint | None) -> None:
        """One candidate was drawn; None: there is no other."""

    def pair_compared(self, request: Request, beta: float, older_age: float) -> None:
        """The candidates are compared with this probability; the older report has this age in seconds."""

    def headroom_checked(self, request: Request, endpoint: Endpoint, has_headroom: bool) -> None:
        """An endpoint was found to have headroom for the request, or not."""

    def request_forwarded(self, request: Request, endpoint: Endpoint) -> None:
        """An attempt was sent."""

    def request_postponed(self, request: Request) -> None:
        """Nothing may be sent now."""

    def request_answered(self, request: Request) -> None:
        """The request got its final answer."""
