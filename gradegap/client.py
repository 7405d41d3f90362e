"""A client of gradegap's nodes: opens a session, asks, and goes on elsewhere when its server or node leaves.

    session = await Session.open(["127.0.0.1:5000"], cls_name="live", key="7f3a")
    answer = await session.ask(b"claim 17")
    await session.close()

Every request gets exactly one final answer, whatever moves meanwhile, as long as both sides know `resume/1`
(docs/design/resume.md). Otherwise `SessionOver` says why: nobody can then say what became of what was asked.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
from collections.abc import Callable, Sequence

from gradegap.resume import lines
from gradegap.resume.lines import Answer, BadLine, NewToken, Over, Seen
from gradegap.resume.window import ClientWindow, Full

CONNECT_WAIT = 1.0  # s
AGAIN = (0.02, 0.5)  # s between two tries to come back: at first, and at the most


Note = Callable[[str, int, bytes], None]  # "asked", "answered" or "failed"; the request's number; a text


class SessionOver(Exception):
    """The session can't go on; `reason` is one word of the protocol, or of this library."""

    def __init__(self, reason: str, text: str = "") -> None:
        super().__init__(f"{reason}: {text}" if text else reason)
        self.reason = reason


class Session:
    """One resumable session. `open` makes it."""

    def __init__(
        self,
        nodes: Sequence[str],
        cls: str,
        key: str,
        group: str,
        wait: float,
        give_up: float,
        note: Note | None = None,
    ) -> None:
        self.nodes, self.cls, self.key, self.group = list(nodes), cls, key, group
        self.wait, self.give_up, self.note = wait, give_up, note
        self.window = ClientWindow()
        self.answers: dict[int, asyncio.Future[bytes]] = {}
        self.room = asyncio.Event()
        self.token = ""
        self.retry = secrets.token_hex(16)  # by which a node knows that a next try is this client's
        self.receipt = ""
        self.returns = 0
        self.over: SessionOver | None = None
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None
        self.closing = False

    @classmethod
    async def open(
        cls,
        nodes: Sequence[str],
        *,
        cls_name: str = "live",
        key: str = "",
        group: str = "",
        wait: float = 1.5,
        give_up: float = 10.0,
        note: Note | None = None,
    ) -> Session:
        """A session at one of `nodes` (host:port). `wait` is how long, in s, a node may take for each try;
        after `give_up` s without a place it raises `SessionOver`, and where the server can't resume. `note`
        is told of each request as it is asked, answered or failed: for a log that can be checked."""
        made = Session(nodes, cls_name, key or secrets.token_hex(4), group, wait, give_up, note)
        await made._come()
        made.task = asyncio.create_task(made._run())
        return made

    async def ask(self, text: bytes) -> bytes:
        """The one final answer to a request; `SessionOver` where there will be none. Waits for room in the
        window, which the server's answers make."""
        while True:
            if self.over is not None:
                raise self.over
            try:
                request = self.window.request(text)
                break
            except Full:
                self.room.clear()
                await self.room.wait()
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.answers[request.number] = future
        self._note("asked", request.number, text)
        self._write(lines.write(request))
        return await future

    async def close(self) -> None:
        """End it: what is asked and not answered fails with `SessionOver`."""
        self.closing = True
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        self._end(SessionOver("closed"))

    def _note(self, what: str, number: int, text: bytes) -> None:
        if self.note is not None:
            self.note(what, number, text)

    def _write(self, data: bytes) -> None:
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(data)

    # Coming, and coming back

    async def _come(self) -> None:
        """To any node; `SessionOver` where one says that it can't go on, or time is up."""
        loop = asyncio.get_running_loop()
        end, pause = loop.time() + self.give_up, AGAIN[0]
        why = "no node could be reached"
        while loop.time() < end:
            node = random.choice(self.nodes)
            try:
                # Not wait_for, which loses a cancellation that comes with the answer: `close` then waited on.
                async with asyncio.timeout(self.wait + CONNECT_WAIT):
                    why = await self._try(node)
                if not why:
                    return
                if why.startswith("BUSY ") and why[5:].isdecimal():
                    pause = max(pause, int(why[5:]) / 1000)
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                why = f"{node}: {error or 'no answer'}"
            await asyncio.sleep(min(pause, max(0.0, end - loop.time())) * random.uniform(0.5, 1.0))
            pause = min(pause * 2, AGAIN[1])
        raise SessionOver("gave_up", why)

    async def _try(self, node: str) -> str:
        """Empty once it stands; else what the node said."""
        host, _, port = node.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        good = False
        try:
            fields = f"c={self.cls},d={round(self.wait * 1000)},rs=1,ra={self.retry}"
            fields += f",g={self.group}" if self.group else ""
            if self.token:
                fields += f",again=1,rh={self.window.seen},rt={self.token}"
            writer.write(f"OPEN {secrets.token_hex(8)} {self.key} {fields}\r\n".encode())
            said = (await reader.readuntil(b"\n")).decode().rstrip("\r\n")
            word, _, rest = said.partition(" ")
            if word == "X":
                raise SessionOver(rest, "said by the node")
            if word != "UP":
                return said
            self.receipt, _, agreed = rest.partition(" ")
            values = dict(pair.partition("=")[::2] for pair in agreed.split(","))
            if "t" not in values or not values.get("rs", "").isdecimal():
                raise SessionOver("plain", "the node or the server does not know resume/1")
            self.token = values["t"]
            again = self.window.resume(int(values["rs"]))
            self.window.told = self.window.seen
            if self.window.seen:
                writer.write(lines.write(Seen(self.window.seen)))
            for request in again:
                writer.write(lines.write(request))
            self.reader, self.writer, good = reader, writer, True
            return ""
        except BadLine as error:
            raise SessionOver("position", str(error)) from None
        finally:
            if not good:
                writer.close()

    async def _run(self) -> None:
        try:
            while True:
                await self._read()
                if self.writer is not None:
                    self.writer.close()
                self.returns += 1
                await self._come()
        except SessionOver as error:
            self._end(error)

    async def _read(self) -> None:
        """Until the connection ends, or the node says to move."""
        assert self.reader is not None
        while True:
            try:
                raw = (await self.reader.readuntil(b"\n")).rstrip(b"\r\n")
            except (OSError, asyncio.IncompleteReadError):
                return
            if raw == b"MOVE":
                return
            try:
                self._line(lines.read(raw))
            except BadLine as error:
                raise SessionOver("broken", str(error)) from None

    def _line(self, line: lines.Line | None) -> None:
        match line:
            case Answer():
                if self.window.answer(line):
                    self._note("answered", line.number, line.text)
                    self.room.set()
                    future = self.answers.pop(line.number, None)
                    if future is not None and not future.done():
                        future.set_result(line.text)
                if (seen := self.window.to_acknowledge()) is not None:
                    self._write(lines.write(Seen(seen)))
            case NewToken(token):
                self.token = token
            case Over(reason):
                raise SessionOver(reason, "said by the node or server")
            case _:
                pass  # a line of the protocol that is no part of this

    def _end(self, error: SessionOver) -> None:
        self.over = error
        self.room.set()
        if self.writer is not None:
            self.writer.close()
        for number, future in self.answers.items():
            self._note("failed", number, error.reason.encode())
            if not future.done():
                future.set_exception(error)
        self.answers.clear()
