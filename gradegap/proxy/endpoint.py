"""One endpoint as this node knows it, and how long after a drain notice something may still begin there."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gradegap.balancing.events import EndpointEntry, EndpointPhase
from gradegap.balancing.settings import Settings

NEVER = -1e9  # a clock time before all others
MIN_MESSAGE_DELAY_UNKNOWN_S = 9.0  # longer than any delay that is measured
DRAIN_GRACE_MARGIN_S = 0.1  # before a drain grace ends, by which an attempt still connecting is cancelled
DRAIN_GRACE_MARGIN_MAX_PART = 0.4  # of a short grace, the most that the margin takes


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint; kept for good, also after it left the list. Times are those of the proxy's clock, in s."""

    id: str
    address: str = ""
    phase: EndpointPhase = EndpointPhase.REMOVED  # as the balancer knows it
    started_at: float = 0.0  # Unix time
    entry: EndpointEntry | None = None  # the last from discovery, whatever an operator laid over it
    drain_notified_at: float = NEVER  # when this node learned that it drains or is removed
    report: Mapping[str, float] | None = None  # its last load report, and when that came
    report_at: float = NEVER
    report_from_peer: bool = False  # the report was another node's
    # When a health check of this node's own was last left unanswered, while none was answered since.
    unanswered_at: float = NEVER
    min_message_delay: float = MIN_MESSAGE_DELAY_UNKNOWN_S  # s, there and back
    slow_message_reported_at: float = NEVER

    @property
    def draining(self) -> bool:
        """Whether this node knows that it drains or is removed: it takes nothing new."""
        return self.drain_notified_at != NEVER

    def within_drain_grace(self, now: float, settings: Settings) -> bool:
        """Whether something that belongs there may still begin."""
        notified_at = self.drain_notified_at
        return notified_at == NEVER or now < notified_at + drain_send_window_s(settings)

    def forget_process(self) -> None:
        """Another process runs under this id from now on: drop what was measured of the one before."""
        self.min_message_delay = MIN_MESSAGE_DELAY_UNKNOWN_S
        self.report = None


def drain_send_window_s(settings: Settings) -> float:
    """Time after the notice that an endpoint drains in which something may still begin there, in s."""
    grace = settings.drain_grace
    return grace - min(DRAIN_GRACE_MARGIN_S, DRAIN_GRACE_MARGIN_MAX_PART * grace)
