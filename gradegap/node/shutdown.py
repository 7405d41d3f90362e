"""A node's graceful shutdown: clients still come for a while, all are answered, all connections migrate."""

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

KILL_MARGIN_S = 0.7  # from the longest deadline after SIGTERM to the earliest SIGKILL
MAX_DEADLINE_S = 3.0  # that the longest deadline counts for there
# Each step ends so long before the kill, or at that part of the time until it, whichever is later.
MIGRATION_MARGIN_S, MIGRATION_PART = 1.1, 0.4  # the balancer has migrated what is established
FINAL_MARGIN_S, FINAL_PART = 0.7, 0.6  # whatever is left is migrated or answered
END_MARGIN_S = 0.2  # the process ends, whatever is left
MIN_ACCEPT_TIME_S = 0.7  # from SIGTERM, during which clients may still come
EMPTY_CHECK_INTERVAL_S = 0.05  # between two looks whether the last client has left
IDLE_RETRY_AFTER_S = 0.3  # after which a client that was idle here until the end may come again, elsewhere


def kill_time(settings: Settings) -> float:
    """S from SIGTERM after which the platform may kill the process; what was accepted is answered by then."""
    longest_deadline_s = max(each.time_limit for each in settings.classes.values())
    return min(MAX_DEADLINE_S, longest_deadline_s) + KILL_MARGIN_S


class GracefulShutdown:
    """The steps from SIGTERM to the end of the process."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        proxy: Proxy,
        listener: ClientListener,
        quic: QuicPart,
        hot_restart: HotRestart,
        close: Callable[[], None],
    ) -> None:
        """`close` ends the node at once, whatever is left; more than one call of it does no harm."""
        self._lifecycle = lifecycle
        self._proxy = proxy
        self._listener = listener
        self._quic = quic
        self._hot_restart = hot_restart
        self._close = close
        self._loop = proxy.loop

    def begin(self) -> None:
        """Leave; only the first call has an effect."""
        if self._lifecycle.is_leaving:
            return
        log.info("leaving", requests=len(self._proxy.requests))
        self._lifecycle.begin_leaving()
        killed_at_s = kill_time(self._proxy.settings)
        self._proxy.begin_shutdown(max(killed_at_s - MIGRATION_MARGIN_S, killed_at_s * MIGRATION_PART))
        # The successor accepts what still comes.
        accept_time_s = 0.0 if self._hot_restart.is_handing_over else MIN_ACCEPT_TIME_S
        self._loop.call_later(accept_time_s, self._end_when_empty)
        final_s = max(killed_at_s - FINAL_MARGIN_S, killed_at_s * FINAL_PART)
        self._loop.call_later(final_s, self._finish_all)
        self._loop.call_later(killed_at_s - END_MARGIN_S, self._close)

    def _finish_all(self) -> None:
        """Nothing is established, and no request waits, from here on.

        Guards against a successor that hangs: a session on its way to it is taken back, and migrated here.
        """
        self._hot_restart.close()
        self._proxy.migrate_all()
        self._proxy.answer_all()

    def _end_when_empty(self, was_empty: bool = False) -> None:
        """End once the last client has left, and none has come since the look before."""
        if not self._hot_restart.is_handing_over:
            # Guards against a request that comes to a connection as it is closed: each idle one is rejected
            # first, so that whatever its client has written meanwhile has its answer.
            self._listener.end_idle(min(IDLE_RETRY_AFTER_S, self._proxy.settings.max_retry_after))
        is_empty = not (self._proxy.requests or self._listener.channels or self._quic.is_answering())
        if is_empty and was_empty:
            self._close()
        else:
            self._loop.call_later(EMPTY_CHECK_INTERVAL_S, self._end_when_empty, is_empty)
