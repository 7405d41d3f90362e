"""Starts parts of a node that need a port or folder which the predecessor may still use."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from gradegap.errors import ConfigurationError
from gradegap.metrics import Metrics

log = structlog.get_logger()

# Time between two attempts to start a part whose port or folder the predecessor still uses.
RETRY_INTERVAL_S = 0.1


class DeferredStart:
    """Starts parts at once, or as soon as the predecessor has released their port or folder.

    Owns the tasks that retry.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics,
        is_shutting_down: Callable[[], bool],
        has_predecessor: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._metrics = metrics
        self._is_shutting_down = is_shutting_down
        self._has_predecessor = has_predecessor
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, start_part: Callable[[], Awaitable[None]], following: bool) -> None:
        """Start a part; if that fails and this process follows a predecessor, retry in the background.

        Retries end when the part has started, when this process shuts down, or when an attempt fails that
        began after the predecessor had ended.

        Raises:
            ConfigurationError: if the start fails and this process does not follow a predecessor.
        """
        try:
            await start_part()
        except ConfigurationError as error:
            if not following:
                raise
            log.info("part start deferred until predecessor ends", error=str(error))
            self._tasks.append(self._loop.create_task(self._retry(start_part)))

    async def _retry(self, start_part: Callable[[], Awaitable[None]]) -> None:
        while not self._is_shutting_down():
            is_last = not self._has_predecessor()
            await asyncio.sleep(RETRY_INTERVAL_S)
            try:
                await start_part()
            except ConfigurationError as error:
                if is_last:
                    self._metrics.count("ports_not_free")
                    log.error("part start failed", error=str(error))
                    return
            else:
                return
