"""One endpoint as this node knows it, and the time after a drain notice in which it can be connected to."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gradegap.balancing.events import EndpointEntry, EndpointPhase
from gradegap.balancing.settings import Settings

NEVER = -1e9
"""A time before any reading of the clock: the event has not happened."""

MIN_MESSAGE_DELAY_UNKNOWN_S = 9.0
"""Initial minimum of the message delay. It exceeds every delay that is measured."""

DRAIN_GRACE_MARGIN_S = 0.1
"""Safety margin: nothing is sent to a draining endpoint in this last part of its drain grace."""

DRAIN_GRACE_MARGIN_MAX_RATIO = 0.4
"""Upper limit of the margin as a fraction of the drain grace, so that a short grace leaves time to send."""


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint; kept after it has left the endpoint list. Times are in s on the proxy's clock."""

    id: str
    address: str = ""
    phase: EndpointPhase = EndpointPhase.REMOVED  # as last reported to the balancer
    started_at: float = 0.0  # start time of its process, Unix time in s
    entry: EndpointEntry | None = None  # last entry from discovery, before operator overrides
    drain_notified_at: float = NEVER  # when this node learned that the endpoint drains or is removed
    report: Mapping[str, float] | None = None  # last load report
    report_at: float = NEVER  # when the last load report arrived
    report_from_peer: bool = False  # whether another node received the report and passed it on
    # When a health check sent by this node last timed out; `NEVER` again once one is answered.
    unanswered_at: float = NEVER
    min_message_delay: float = MIN_MESSAGE_DELAY_UNKNOWN_S  # lowest round-trip time, in s
    slow_message_reported_at: float = NEVER

    @property
    def draining(self) -> bool:
        """Whether this node knows that the endpoint drains or is removed; it gets no new connections."""
        return self.drain_notified_at != NEVER

    def within_drain_grace(self, now: float, settings: Settings) -> bool:
        """Return whether connections that a draining endpoint still accepts may be started at `now`.

        These are inherited connections, whose state the endpoint already has, and those for health checks.
        Always true for an endpoint that does not drain.
        """
        notified_at = self.drain_notified_at
        return notified_at == NEVER or now < notified_at + drain_send_window_s(settings)

    def forget_process(self) -> None:
        """Drop the measurements of the previous process, because another process now runs under this id."""
        self.min_message_delay = MIN_MESSAGE_DELAY_UNKNOWN_S
        self.report = None


def drain_send_window_s(settings: Settings) -> float:
    """Return the time after an endpoint's drain notice in which connections to it may be started, in s."""
    grace = settings.drain_grace
    return grace - min(DRAIN_GRACE_MARGIN_S, DRAIN_GRACE_MARGIN_MAX_RATIO * grace)
