"""The backend port: dials save servers, carries one attempt on each connection, and probes."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import Callable
from typing import Any, cast

from gradegap.balancing.events import AttemptResult
from gradegap.downstream.framing import LONGEST, figure, parse_report
from gradegap.downstream.session import ClientSession
from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.ports import HealthCheckDone
from gradegap.proxy.request import Attempt
from gradegap.transport.descriptors import DescriptorBudget, raise_descriptor_limit
from gradegap.transport.dialer import Dialer
from gradegap.transport.sockets import (
    WRITE_BUFFER_HIGH_BYTES,
    Pausable,
    close_now,
    no_delay,
    reset_connection,
)

PROBE_IDLE = 20.0  # s until an idle probe connection is closed
_UP = re.compile(rb"UP [!-~][ -~]*")
END_WAIT = 0.9  # s that a backend may take to end its side once the client has ended its own


class Fetch(Pausable):
    """One attempt on its own connection: the first line out, the answer in, then lines both ways."""

    def __init__(self, session: ClientSession, attempt: Attempt, wait: float) -> None:
        self.session = session
        self.attempt = attempt
        self.wait = wait
        self.stop: Callable[[], None] | None = None
        self.sent = False
        self.up = False
        self.over = False
        self.said: AttemptResult | None = None  # what the backend's last word makes of its end
        self.report: dict[str, float] | None = None
        self.buffer = b""
        self.eof_sent = False

    def dial_failed(self) -> None:
        self._finish(AttemptResult.CONNECT_FAILED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Guards against a first line for an attempt given up while it was connecting, or as of now.
        fit = not self.over and self.session.opening is not None
        if not (fit and (self.attempt.active if self.up else self.attempt.may_send())):
            self.transport.close() if self.up else self.transport.abort()
            return
        assert self.session.opening is not None
        self.transport.set_write_buffer_limits(WRITE_BUFFER_HIGH_BYTES)
        no_delay(self.transport)
        if self.up:
            return  # taken over: it stands already
        left = self.attempt.time_left()
        self.sent = True
        self.attempt.on_sent()
        self.transport.write(self.session.opening.with_wait(left))

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        if self.up:
            self.session.passed(data)
            return
        self.buffer += data
        end = self.buffer.find(b"\n")
        if end < 0:
            if len(self.buffer) >= LONGEST:
                self._answer(AttemptResult.ERROR)
            return
        word = self.buffer[:end].rstrip(b"\r")
        # Guards against half an answer, or noise, taken for the receipt that a server gives.
        self.up = end < LONGEST and _UP.fullmatch(word) is not None
        if self.up:
            self.session.join(self, self.buffer)
            self.buffer = b""
            self.attempt.on_established()
        else:
            self._read_word(word)
            self._answer(self.said or AttemptResult.ERROR)

    def saw(self, line: bytes) -> None:
        """A line that went by on a standing connection."""
        if line.startswith(b"LOAD "):
            with contextlib.suppress(ValueError):
                self.attempt.on_load(figure(line[5:].decode()) * 1e-6)
        else:
            self.said = None
            self._read_word(line)

    def _read_word(self, line: bytes) -> None:
        word, _, rest = line.decode("utf-8", "replace").partition(" ")
        if word in ("BYE", "ERR", "BUSY", "MOVE"):
            words = {
                "BYE": AttemptResult.OK,
                "ERR": AttemptResult.ERROR,
                "BUSY": AttemptResult.FULL,
                "MOVE": AttemptResult.CANCELLED,
            }
            self.said = words[word]
            self.report = parse_report(rest)

    def _answer(self, result: AttemptResult) -> None:
        """An answer other than UP."""
        if result is AttemptResult.OK:
            result = AttemptResult.ERROR  # ended before it stood
        transport = self.transport
        self._finish(result, self.report)
        if transport is not None:
            transport.close()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.over:
            return
        if not self.up:
            self._finish(AttemptResult.RESET if self.sent else AttemptResult.CONNECT_FAILED)
            return
        self.session.reset = exc is not None
        if self.session.moving:
            self.session.on_endpoint_closed()  # the line that it was to be moved behind never ends
        if self.said is not None:
            self._finish(self.said, self.report)
        elif self.eof_sent:
            self._finish(AttemptResult.CANCELLED)
        else:
            self._finish(AttemptResult.RESET)

    def _finish(self, result: AttemptResult, report: dict[str, float] | None = None) -> None:
        if not self.over:
            self.over = True
            self.attempt.on_ended(result, report)

    def cancel(self) -> None:
        """Give the attempt up by closing its connection."""
        self.over = True
        if self.stop is not None:
            self.stop()
        if self.transport is not None:
            close_now(self.transport)

    # The pipe of a standing session

    def at_rest(self) -> bool:
        """Whether nothing is on its way out, and both sides are open: another process can take over."""
        t = self.transport
        rests = t is not None and not t.is_closing() and t.get_write_buffer_size() == 0
        return rests and not self.over and not self.paused and not self.eof_sent

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.over and not self.eof_sent:
            self.transport.write(data)

    def write_eof(self) -> None:
        transport = self.transport
        if transport is None or self.eof_sent:
            return
        self.eof_sent = True
        if not transport.is_closing():
            transport.write_eof()
        self.session.proxy.loop.call_later(END_WAIT, close_now, transport)

    def reset(self) -> None:
        if self.transport is not None:
            reset_connection(self.transport)

    def pause_writing(self) -> None:
        self.session.channel.pause()

    def resume_writing(self) -> None:
        self.session.channel.resume()


class Prober(asyncio.Protocol):
    """A connection that carries probes to one backend; kept while it answers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, gone: Callable[[Prober], None]) -> None:
        self.loop = loop
        self.gone = gone
        self.transport: asyncio.Transport | None = None
        self.stop: Callable[[], None] | None = None
        self.waiting: HealthCheckDone | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.idle: asyncio.TimerHandle | None = None
        self.asked = False
        self.buffer = b""

    def ask(self, wait: float, done: HealthCheckDone) -> None:
        self.buffer = b""  # what came unasked answers nothing
        self.waiting = done
        self.asked = False
        self.timer = self.loop.call_later(wait, self._late)
        if self.idle is not None:
            self.idle.cancel()
        self._write()

    def _write(self) -> None:
        if self.transport is not None and self.waiting is not None:
            self.asked = True
            self.transport.write(b"STATS\r\n")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        no_delay(self.transport)
        if self.waiting is None:
            self.close()
        else:
            self._write()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(b"\n")
        if end < 0 and len(self.buffer) < LONGEST:
            return
        if self.waiting is None or not 0 <= end < LONGEST:
            # Guards against lines without end, and against a word too many taken for the next answer.
            self.close()
            self._over(AttemptResult.ERROR)
            return
        word, _, rest = self.buffer[:end].rstrip(b"\r").decode("utf-8", "replace").partition(" ")
        self.buffer = self.buffer[end + 1 :]
        if word == "PONG":
            self._over(AttemptResult.OK, parse_report(rest))
        else:
            self._over(AttemptResult.FULL if word == "BUSY" else AttemptResult.ERROR)

    def _over(self, result: AttemptResult, report: dict[str, float] | None = None) -> None:
        done, self.waiting = self.waiting, None
        if self.timer is not None:
            self.timer.cancel()
        if done is not None:
            self.idle = self.loop.call_later(PROBE_IDLE, self.close)
            done(result, report)

    def _late(self) -> None:
        # Guards against a late answer taken for the next one's: this connection is not used again.
        result = AttemptResult.TIMEOUT if self.asked else AttemptResult.CONNECT_FAILED
        self.close()
        self._over(result)

    def dial_failed(self) -> None:
        self.gone(self)
        self._over(AttemptResult.CONNECT_FAILED)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.gone(self)
        self._over(AttemptResult.RESET if self.asked else AttemptResult.CONNECT_FAILED)

    def close(self) -> None:
        self.gone(self)
        if self.idle is not None:
            self.idle.cancel()
        if self.stop is not None:
            self.stop()
        if self.transport is not None:
            self.transport.abort()


class Backends:
    """The core's backend port over TCP."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connect_wait: float, descriptors: DescriptorBudget
    ) -> None:
        self.loop = loop
        self.dialer = Dialer(loop, descriptors)
        self.connect_wait = connect_wait
        self.probers: dict[str, Prober] = {}

    def connect(self, session: Any, backend: Endpoint, wait: float, attempt: Attempt) -> Fetch:
        fetch = Fetch(session, attempt, wait)
        limit = min(wait, self.connect_wait)
        fetch.stop = self.dialer.dial(backend.address, limit, fetch, fetch.dial_failed)
        return fetch

    def check_health(self, backend: Endpoint, wait: float, done: HealthCheckDone) -> None:
        prober = self.probers.get(backend.id)
        if prober is not None and prober.waiting is not None:
            self.loop.call_soon(done, AttemptResult.FULL, None)
            return
        if prober is None:
            prober = Prober(self.loop, lambda p: self._gone(backend.id, p))
            self.probers[backend.id] = prober
            prober.ask(wait, done)
            limit = min(wait, self.connect_wait)
            prober.stop = self.dialer.dial(backend.address, limit, prober, prober.dial_failed)
        else:
            prober.ask(wait, done)

    def _gone(self, name: str, prober: Prober) -> None:
        if self.probers.get(name) is prober:
            del self.probers[name]

    def close_health_check(self, backend: Endpoint) -> None:
        prober = self.probers.get(backend.id)
        if prober is not None:
            prober.close()
            self.loop.call_soon(prober._over, AttemptResult.RESET)


__all__ = ["Backends", "Dialer", "Fetch", "Prober", "raise_descriptor_limit"]
