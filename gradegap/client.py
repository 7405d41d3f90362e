"""A client of gradegap's nodes: a resumable session that continues when its server or node fails.

    session = await Session.open(["127.0.0.1:5000"], class_name="live", key="7f3a")
    answer = await session.request(b"claim 17")
    await session.close()

Every request gets exactly one final answer, also when the session migrates, as long as both sides support
`resume/1` (docs/design/resume.md). If the session ends early, `SessionEndedError` gives the reason; it is
then unknown whether the requests without an answer were executed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
from collections.abc import Callable, Sequence
from typing import Literal

from gradegap.resume import lines
from gradegap.resume.errors import LineError, WindowFullError
from gradegap.resume.lines import Acknowledgement, Answer, NewToken, SessionEnded
from gradegap.resume.window import ClientWindow

CONNECT_TIMEOUT_S = 1.0  # added to the attempt timeout for connecting to a node
BACKOFF_MIN_S = 0.02  # first delay between two connection attempts; it doubles after each attempt
BACKOFF_MAX_S = 0.5  # upper limit of that delay

RequestEvent = Literal["asked", "answered", "failed"]
RequestObserver = Callable[[RequestEvent, int, bytes], None]
"""Called with the event, the request's number, and the text of the request, its answer or the failure."""


class SessionEndedError(Exception):
    """The session can't continue; `reason` is a reason of the protocol or one of this library.

    The reasons of this library are: `closed`, the user closed the session; `gave_up`, no node placed the
    session within the placement timeout; `plain`, the node or the server does not support resume/1;
    `position` and `broken`, the other side violated the protocol.
    """

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason


class Session:
    """One resumable session, created by `Session.open`. It owns the task that reads its connection."""

    def __init__(
        self,
        nodes: Sequence[str],
        class_name: str,
        key: str,
        group: str,
        attempt_timeout: float,
        placement_timeout: float,
        observer: RequestObserver | None = None,
    ) -> None:
        self.nodes = list(nodes)
        self.class_name = class_name
        self.key = key
        self.group = group
        self.attempt_timeout = attempt_timeout
        self.placement_timeout = placement_timeout
        self.observer = observer
        self.receipt = ""  # first field of the UP line that the current server sent
        self.reconnects = 0
        self._window = ClientWindow()
        self._window_open = asyncio.Event()
        self._answers: dict[int, asyncio.Future[bytes]] = {}
        self._token = ""
        self._retry_key = secrets.token_hex(16)  # proves to a node that a retry comes from this client
        self._ended: SessionEndedError | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    @classmethod
    async def open(
        cls,
        nodes: Sequence[str],
        *,
        class_name: str = "live",
        key: str = "",
        group: str = "",
        attempt_timeout: float = 1.5,
        placement_timeout: float = 10.0,
        observer: RequestObserver | None = None,
    ) -> Session:
        """Open a session at one of `nodes` (host:port).

        A node has `attempt_timeout` seconds to answer each attempt. `observer` is called when a request is
        sent, is answered or fails, so that a log of all requests can be verified.

        Raises:
            SessionEndedError: if no node places the session within `placement_timeout` seconds, or the node
                or the server does not support resumption.
        """
        session = Session(
            nodes,
            class_name,
            key or secrets.token_hex(4),
            group,
            attempt_timeout,
            placement_timeout,
            observer,
        )
        await session._place()
        session._task = asyncio.create_task(session._run())
        return session

    async def request(self, text: bytes) -> bytes:
        """Send a request and return its final answer.

        Waits while the window is full, until the server has answered a request.

        Raises:
            SessionEndedError: if the session ends before the answer is received.
        """
        while True:
            if self._ended is not None:
                raise self._ended
            try:
                request = self._window.request(text)
                break
            except WindowFullError:
                self._window_open.clear()
                await self._window_open.wait()
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._answers[request.number] = future
        self._notify_observer("asked", request.number, text)
        self._write(lines.encode(request))
        return await future

    async def close(self) -> None:
        """End the session; requests without an answer fail with `SessionEndedError`."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self._end(SessionEndedError("closed"))

    def _notify_observer(self, event: RequestEvent, number: int, text: bytes) -> None:
        if self.observer is not None:
            self.observer(event, number, text)

    def _write(self, data: bytes) -> None:
        if self._writer is not None and not self._writer.is_closing():
            self._writer.write(data)

    # Connecting and reconnecting

    async def _place(self) -> None:
        """Connect to one of the nodes, trying them until one places the session.

        Raises:
            SessionEndedError: if a node reports that the session can't continue, or no node places the
                session within `placement_timeout` seconds.
        """
        loop = asyncio.get_running_loop()
        deadline, pause = loop.time() + self.placement_timeout, BACKOFF_MIN_S
        failure = "no node could be reached"
        while loop.time() < deadline:
            node = random.choice(self.nodes)
            try:
                # asyncio.wait_for can lose a cancellation that arrives together with the answer; `close`
                # would then wait forever.
                async with asyncio.timeout(self.attempt_timeout + CONNECT_TIMEOUT_S):
                    failure = await self._connect(node)
                if not failure:
                    return
                pause = max(pause, _retry_after(failure))
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                failure = f"{node}: {error or 'no answer'}"
            remaining = max(0.0, deadline - loop.time())
            await asyncio.sleep(min(pause, remaining) * random.uniform(0.5, 1.0))
            pause = min(pause * 2, BACKOFF_MAX_S)
        raise SessionEndedError("gave_up", failure)

    async def _connect(self, node: str) -> str:
        """Try one node; return an empty string if it establishes the session, or else the node's answer."""
        host, _, port = node.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        established = False
        try:
            writer.write(self._first_line())
            answer = (await reader.readuntil(b"\n")).decode().rstrip("\r\n")
            response, _, rest = answer.partition(" ")
            if response == "X":
                raise SessionEndedError(rest, "sent by the node")
            if response != "UP":
                return answer
            self._resume(rest, writer)
            self._reader, self._writer, established = reader, writer, True
        except LineError as error:
            raise SessionEndedError("position", str(error)) from None
        else:
            return ""
        finally:
            if not established:
                writer.close()

    def _first_line(self) -> bytes:
        fields = f"c={self.class_name},d={round(self.attempt_timeout * 1000)},rs=1,ra={self._retry_key}"
        fields += f",g={self.group}" if self.group else ""
        if self._token:
            fields += f",again=1,rh={self._window.seen},rt={self._token}"
        return f"OPEN {secrets.token_hex(8)} {self.key} {fields}\r\n".encode()

    def _resume(self, confirmation: str, writer: asyncio.StreamWriter) -> None:
        """Parse the rest of an UP line, and resend the requests that the server has not executed."""
        self.receipt, _, parameters = confirmation.partition(" ")
        values = dict(pair.partition("=")[::2] for pair in parameters.split(","))
        if "t" not in values or not values.get("rs", "").isdecimal():
            raise SessionEndedError("plain", "the node or the server does not support resume/1")
        self._token = values["t"]
        unexecuted = self._window.resume(int(values["rs"]))
        self._window.acknowledged = self._window.seen
        if self._window.seen:
            writer.write(lines.encode(Acknowledgement(self._window.seen)))
        for request in unexecuted:
            writer.write(lines.encode(request))

    async def _run(self) -> None:
        try:
            while True:
                await self._read()
                if self._writer is not None:
                    self._writer.close()
                self.reconnects += 1
                await self._place()
        except SessionEndedError as error:
            self._end(error)

    async def _read(self) -> None:
        """Read lines until the connection ends or the node sends MOVE."""
        assert self._reader is not None
        while True:
            try:
                raw = (await self._reader.readuntil(b"\n")).rstrip(b"\r\n")
            except (OSError, asyncio.IncompleteReadError):
                return
            if raw == b"MOVE":
                return
            try:
                self._handle_line(lines.decode(raw))
            except LineError as error:
                raise SessionEndedError("broken", str(error)) from None

    def _handle_line(self, line: lines.Line | None) -> None:
        match line:
            case Answer():
                self._handle_answer(line)
            case NewToken(token):
                self._token = token
            case SessionEnded(reason):
                raise SessionEndedError(reason, "sent by the node or the server")
            case _:
                pass  # a line of the base protocol

    def _handle_answer(self, answer: Answer) -> None:
        if self._window.answer(answer):
            self._notify_observer("answered", answer.number, answer.text)
            self._window_open.set()
            future = self._answers.pop(answer.number, None)
            if future is not None and not future.done():
                future.set_result(answer.text)
        if (seen := self._window.to_acknowledge()) is not None:
            self._write(lines.encode(Acknowledgement(seen)))

    def _end(self, error: SessionEndedError) -> None:
        self._ended = error
        self._window_open.set()
        if self._writer is not None:
            self._writer.close()
        for number, future in self._answers.items():
            self._notify_observer("failed", number, error.reason.encode())
            if not future.done():
                future.set_exception(error)
        self._answers.clear()


def _retry_after(answer: str) -> float:
    """Return the retry delay in seconds that a rejection gives, or 0 if it gives none."""
    milliseconds = answer.removeprefix("BUSY ")
    return int(milliseconds) / 1000 if milliseconds != answer and milliseconds.isdecimal() else 0.0
