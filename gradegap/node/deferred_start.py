"""Parts that need a port or folder that the predecessor may still hold."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from gradegap.errors import ConfigurationError
from gradegap.metrics import Metrics

log = structlog.get_logger()

RETRY_INTERVAL_S = 0.1  # between two attempts at what the predecessor still holds


class DeferredStart:
    """Starts parts at once, or as soon as the predecessor has left. Owns the tasks that wait for that."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics,
        is_leaving: Callable[[], bool],
        has_predecessor: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._metrics = metrics
        self._is_leaving = is_leaving
        self._has_predecessor = has_predecessor
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, start_part: Callable[[], Awaitable[None]], following: bool) -> None:
        """Start a part; where that fails and this process follows another, try again until that one has left.

        Raises:
            ConfigurationError: where it fails and there is nobody to wait for.
        """
        try:
            await start_part()
        except ConfigurationError as error:
            if not following:
                raise
            log.info("start waits for predecessor", error=str(error))
            self._tasks.append(self._loop.create_task(self._retry(start_part)))

    async def _retry(self, start_part: Callable[[], Awaitable[None]]) -> None:
        while not self._is_leaving():
            is_last = not self._has_predecessor()
            await asyncio.sleep(RETRY_INTERVAL_S)
            try:
                await start_part()
            except ConfigurationError as error:
                if is_last:
                    self._metrics.count("ports_not_free")
                    log.error("part not started", error=str(error))
                    return
            else:
                return
