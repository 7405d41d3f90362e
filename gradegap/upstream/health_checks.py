"""Health checks of endpoints, over connections that are kept open as long as the endpoint answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from gradegap.balancing.events import AttemptResult
from gradegap.proxy.ports import HealthCheckDone
from gradegap.transport.lines import LINE_MAX_BYTES
from gradegap.transport.sockets import no_delay
from gradegap.upstream.answers import parse_load_report

IDLE_TIMEOUT_S = 20.0
"""Time without a health check after which a connection is closed."""

REQUEST = b"STATS\r\n"


class HealthCheckConnection(asyncio.Protocol):
    """A connection for the health checks of one endpoint, of which one at a time is in progress."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_closed: Callable[[HealthCheckConnection], None]
    ) -> None:
        self.loop = loop
        self.on_closed = on_closed
        self.transport: asyncio.Transport | None = None
        self.stop_dial: Callable[[], None] | None = None
        self.pending: HealthCheckDone | None = None
        """Callback for the result of the health check in progress; None if there is none."""
        self.timer: asyncio.TimerHandle | None = None
        self.idle_timer: asyncio.TimerHandle | None = None
        self.sent = False
        self.buffer = b""

    def check(self, timeout: float, done: HealthCheckDone) -> None:
        """Request the endpoint's load report; `done` is called once, within `timeout` s."""
        self.buffer = b""  # data received before the request is sent are not its answer
        self.pending = done
        self.sent = False
        self.timer = self.loop.call_later(timeout, self._on_timeout)
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self._send()

    def _send(self) -> None:
        if self.transport is not None and self.pending is not None:
            self.sent = True
            self.transport.write(REQUEST)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the health check that is waiting for the connection."""
        self.transport = cast(asyncio.Transport, transport)
        no_delay(self.transport)
        if self.pending is None:
            self.close()
        else:
            self._send()

    def data_received(self, data: bytes) -> None:
        """Read data up to the end of one answer."""
        self.buffer += data
        end = self.buffer.find(b"\n")
        if end < 0 and len(self.buffer) < LINE_MAX_BYTES:
            return
        if self.pending is None or not 0 <= end < LINE_MAX_BYTES:
            # Guards against endless lines, and against taking an unrequested line for the next answer.
            self.close()
            self._finish(AttemptResult.ERROR)
            return
        word, _, rest = self.buffer[:end].rstrip(b"\r").decode("utf-8", "replace").partition(" ")
        self.buffer = self.buffer[end + 1 :]
        if word == "PONG":
            self._finish(AttemptResult.OK, parse_load_report(rest))
        else:
            self._finish(AttemptResult.FULL if word == "BUSY" else AttemptResult.ERROR)

    def _finish(self, result: AttemptResult, report: dict[str, float] | None = None) -> None:
        done, self.pending = self.pending, None
        if self.timer is not None:
            self.timer.cancel()
        if done is not None:
            self.idle_timer = self.loop.call_later(IDLE_TIMEOUT_S, self.close)
            done(result, report)

    def _on_timeout(self) -> None:
        # The connection is not used again: a late answer would be taken for that of the next health check.
        result = AttemptResult.TIMEOUT if self.sent else AttemptResult.CONNECT_FAILED
        self.close()
        self._finish(result)

    def connect_failed(self) -> None:
        """End the health check, because the dialer could not connect within the timeout."""
        self.on_closed(self)
        self._finish(AttemptResult.CONNECT_FAILED)

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, which ends the health check in progress."""
        self.transport = None
        self.on_closed(self)
        self._finish(AttemptResult.RESET if self.sent else AttemptResult.CONNECT_FAILED)

    def cancel(self) -> None:
        """Close; the health check in progress ends in the loop's next iteration."""
        self.close()
        self.loop.call_soon(self._finish, AttemptResult.RESET)

    def close(self) -> None:
        """Close the connection at once."""
        self.on_closed(self)
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if self.stop_dial is not None:
            self.stop_dial()
        if self.transport is not None:
            self.transport.abort()
