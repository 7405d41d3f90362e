"""A client of gradegap's nodes: a resumable session that goes on when its server or node goes away.

    session = await Session.open(["127.0.0.1:5000"], class_name="live", key="7f3a")
    answer = await session.request(b"claim 17")
    await session.close()

Every request gets exactly one final answer, whatever moves meanwhile, as long as both sides know `resume/1`
(docs/design/resume.md). Otherwise `SessionEndedError` says why: nobody can then say what became of requests.
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
from gradegap.resume.lines import Answer, NewToken, Over, Seen
from gradegap.resume.window import ClientWindow

CONNECT_TIMEOUT_S = 1.0  # to a node, beside the time that the node may take
BACKOFF_MIN_S = 0.02  # between two tries to be placed again
BACKOFF_MAX_S = 0.5

RequestEvent = Literal["asked", "answered", "failed"]
RequestObserver = Callable[[RequestEvent, int, bytes], None]  # with the request's number, and a text


class SessionEndedError(Exception):
    """The session can't go on; `reason` is one word of the protocol, or of this library.

    Of this library: `closed` by its user; `gave_up`, no node could place it in time; `plain`, the node or the
    server doesn't know resume/1; `position` and `broken`, the other side broke the protocol.
    """

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason


class Session:
    """One resumable session; `Session.open` makes it, and owns the task that reads its connection."""

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
        self.receipt = ""  # what the server that holds the session now gave with its UP
        self.reconnects = 0
        self._window = ClientWindow()
        self._window_open = asyncio.Event()
        self._answers: dict[int, asyncio.Future[bytes]] = {}
        self._token = ""
        self._retry_key = secrets.token_hex(16)  # by which a node knows that a further try is this client's
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

        A node may take `attempt_timeout` s for each try. After `placement_timeout` s without a place, and
        where the server can't resume, this raises `SessionEndedError`. `observer` is called for each request
        as it is asked, answered or failed: for a log that can be checked.
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
        """Send a request, and return its one final answer; raises `SessionEndedError` if there is none.

        Waits while the window is full, until the server has answered.
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
        self._observe("asked", request.number, text)
        self._write(lines.encode(request))
        return await future

    async def close(self) -> None:
        """End the session: requests without an answer fail with `SessionEndedError`."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self._end(SessionEndedError("closed"))

    def _observe(self, event: RequestEvent, number: int, text: bytes) -> None:
        if self.observer is not None:
            self.observer(event, number, text)

    def _write(self, data: bytes) -> None:
        if self._writer is not None and not self._writer.is_closing():
            self._writer.write(data)

    # Placing it, the first time and again

    async def _place(self) -> None:
        """Connect by any node; raises `SessionEndedError` if one says that it can't go on, or time is up."""
        loop = asyncio.get_running_loop()
        deadline, pause = loop.time() + self.placement_timeout, BACKOFF_MIN_S
        failure = "no node could be reached"
        while loop.time() < deadline:
            node = random.choice(self.nodes)
            try:
                # Not wait_for, which loses a cancellation that comes with the answer: `close` then waited on.
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
        """Try one node; empty once the session is established there, else the node's answer."""
        host, _, port = node.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        established = False
        try:
            writer.write(self._first_line())
            answer = (await reader.readuntil(b"\n")).decode().rstrip("\r\n")
            word, _, rest = answer.partition(" ")
            if word == "X":
                raise SessionEndedError(rest, "said by the node")
            if word != "UP":
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
        """Read the rest of an UP, and send again what the server has not run."""
        self.receipt, _, agreed = confirmation.partition(" ")
        values = dict(pair.partition("=")[::2] for pair in agreed.split(","))
        if "t" not in values or not values.get("rs", "").isdecimal():
            raise SessionEndedError("plain", "the node or the server does not know resume/1")
        self._token = values["t"]
        unexecuted = self._window.resume(int(values["rs"]))
        self._window.acknowledged = self._window.seen
        if self._window.seen:
            writer.write(lines.encode(Seen(self._window.seen)))
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
        """Read lines until the connection ends, or the node says to come again."""
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
            case Over(reason):
                raise SessionEndedError(reason, "said by the node or server")
            case _:
                pass  # a line of the protocol that is no part of this

    def _handle_answer(self, answer: Answer) -> None:
        if self._window.answer(answer):
            self._observe("answered", answer.number, answer.text)
            self._window_open.set()
            future = self._answers.pop(answer.number, None)
            if future is not None and not future.done():
                future.set_result(answer.text)
        if (seen := self._window.to_acknowledge()) is not None:
            self._write(lines.encode(Seen(seen)))

    def _end(self, error: SessionEndedError) -> None:
        self._ended = error
        self._window_open.set()
        if self._writer is not None:
            self._writer.close()
        for number, future in self._answers.items():
            self._observe("failed", number, error.reason.encode())
            if not future.done():
                future.set_exception(error)
        self._answers.clear()


def _retry_after(answer: str) -> float:
    """The pause that a rejection names, in s; 0 for none."""
    milliseconds = answer.removeprefix("BUSY ")
    return int(milliseconds) / 1000 if milliseconds != answer and milliseconds.isdecimal() else 0.0
