"""The graceful shutdown of a node.

After SIGTERM, new clients are still accepted for a short time, all requests are answered, and all
connections are migrated.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from gradegap.balancing.settings import Settings
from gradegap.hot_restart import HotRestart
from gradegap.node.client_listener import ClientListener
from gradegap.node.lifecycle import Lifecycle
from gradegap.node.quic_part import QuicPart
from gradegap.proxy.proxy import Proxy

log = structlog.get_logger()

KILL_MARGIN_S = 0.7  # time from the last deadline of an accepted request to the earliest SIGKILL
MAX_DEADLINE_S = 3.0  # `kill_time` assumes at most this as the longest request deadline
# The steps of a shutdown are due at times between SIGTERM and the earliest SIGKILL. Each is due at the later
# of two times: `..._MARGIN_S` before the SIGKILL, and when the fraction `..._RATIO` of the time from SIGTERM
# to SIGKILL has passed.
# First step: the balancer has migrated the established connections.
MIGRATION_MARGIN_S, MIGRATION_RATIO = 1.1, 0.4
# Second step: the remaining connections are migrated and the remaining requests answered.
FINAL_MARGIN_S, FINAL_RATIO = 0.7, 0.6
# Time before the earliest SIGKILL at which the process ends, even if connections are still open.
END_MARGIN_S = 0.2
# Time after SIGTERM during which new clients are accepted, unless a successor accepts them.
MIN_ACCEPT_TIME_S = 0.7
EMPTY_CHECK_INTERVAL_S = 0.05  # time between two checks whether all clients have disconnected
# Sent to clients that are still idle at the end of the process, so that they retry at another node.
IDLE_RETRY_AFTER_S = 0.3


def kill_time(settings: Settings) -> float:
    """Return the time in seconds from SIGTERM until the platform may kill the process.

    By that time, all accepted requests must be answered.
    """
    longest_deadline_s = max(each.time_limit for each in settings.classes.values())
    return min(MAX_DEADLINE_S, longest_deadline_s) + KILL_MARGIN_S


class GracefulShutdown:
    """Runs the steps from SIGTERM to the end of the process."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        proxy: Proxy,
        listener: ClientListener,
        quic: QuicPart,
        hot_restart: HotRestart,
        close: Callable[[], None],
    ) -> None:
        """`close` ends the node at once, even if connections are still open; it is idempotent."""
        self._lifecycle = lifecycle
        self._proxy = proxy
        self._listener = listener
        self._quic = quic
        self._hot_restart = hot_restart
        self._close = close
        self._loop = proxy.loop

    def begin(self) -> None:
        """Start the shutdown; later calls have no effect."""
        if self._lifecycle.is_shutting_down:
            return
        log.info("shutdown started", requests=len(self._proxy.requests))
        self._lifecycle.begin_shutdown()
        kill_after_s = kill_time(self._proxy.settings)
        self._proxy.begin_shutdown(max(kill_after_s - MIGRATION_MARGIN_S, kill_after_s * MIGRATION_RATIO))
        # During a hot restart, the successor accepts the new clients.
        accept_time_s = 0.0 if self._hot_restart.is_handing_over else MIN_ACCEPT_TIME_S
        self._loop.call_later(accept_time_s, self._end_when_empty)
        final_s = max(kill_after_s - FINAL_MARGIN_S, kill_after_s * FINAL_RATIO)
        self._loop.call_later(final_s, self._finish_remaining)
        self._loop.call_later(kill_after_s - END_MARGIN_S, self._close)

    def _finish_remaining(self) -> None:
        """Migrate all connections that are still established, and answer all waiting requests.

        Guards against a successor that hangs: sessions in transfer to it are taken back, and migrated here.
        """
        self._hot_restart.close()
        self._proxy.migrate_all()
        self._proxy.answer_all()

    def _end_when_empty(self, was_empty: bool = False) -> None:
        """End the process if no client was connected at this check and at the one before."""
        if not self._hot_restart.is_handing_over:
            # Guards against a request that arrives while its connection is being closed: idle connections are
            # rejected before the close, so a client that has just written a request gets an answer to it.
            self._listener.reject_idle(min(IDLE_RETRY_AFTER_S, self._proxy.settings.max_retry_after))
        is_empty = not (self._proxy.requests or self._listener.channels or self._quic.is_answering())
        if is_empty and was_empty:
            self._close()
        else:
            self._loop.call_later(EMPTY_CHECK_INTERVAL_S, self._end_when_empty, is_empty)
