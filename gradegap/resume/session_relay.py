"""A node's part in a resumable session: bytes from both sides in, bytes for both sides out. No I/O.

It passes whole lines, remembers what has no answer, and changes from one server to the next between two
lines. What comes from a server that it has left is not heard any more. Other lines of the protocol (`LOAD`,
`BYE`) pass as they are.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from gradegap.resume import lines
from gradegap.resume.errors import LineError
from gradegap.resume.lines import LONGEST, Answer, NewToken, Over, Request, Seen
from gradegap.resume.window import NodeWindow


class RelayState(enum.Enum):
    PASSING = "passing"  # both ways
    HELD = "held"  # a next server is dialed: the client's lines wait, answers still pass
    OVER = "over"  # nothing passes any more


@dataclass(slots=True)
class RelayOutput:
    """What is to be written, and whether the client may be read on."""

    to_client: bytes = b""
    to_server: bytes = b""
    read_client: bool = True
    over: str = ""  # the reason, where the session has ended by somebody's fault
    others: list[bytes] = field(default_factory=list)  # the server's lines that are no part of the extension


def tidy(data: bytes) -> bool:
    """Whether all its lines end in CRLF, and nothing else in it looks like an end."""
    return data.count(b"\n") == data.count(b"\r") == data.count(b"\r\n")


class SessionRelay:
    """One session, from `UP` on. `seen` and `executed` are where it stood then.

    Lines that come whole and in turn go on as the bytes that they came in; whatever else comes is read line
    by line.
    """

    __slots__ = ("client_part", "line", "server_part", "state", "waiting", "window")

    def __init__(self, seen: int = 0, executed: int = 0) -> None:
        self.window = NodeWindow(seen, executed)
        self.state = RelayState.PASSING
        self.line = 0  # which server is heard: counted up at each change
        self.client_part = b""  # of a line whose end has not come
        self.server_part = b""
        self.waiting: list[bytes] = []  # whole lines of the client's, while held or while the window is full

    @property
    def asks(self) -> bool:
        """Whether a request waits for its answer: only then is a silent server silent."""
        return bool(self.window.waiting)

    @property
    def position(self) -> int:
        """Answers up to here have passed to the client."""
        return self.window.answered

    def from_client(self, data: bytes) -> RelayOutput:
        if self.state is RelayState.OVER:
            return RelayOutput(read_client=False)
        if self.client_part:
            data, self.client_part = self.client_part + data, b""
        at = self._in_turn(data) if self.state is RelayState.PASSING and not self.waiting else 0
        if at == len(data):
            return RelayOutput(to_server=data)
        whole, self.client_part = self._split(data[at:])
        if len(self.client_part) >= LONGEST:
            return self._over(LineError("long: a line without an end"))
        self.waiting += whole
        out = self._pass_client()
        out.to_server = data[:at] + out.to_server
        return out

    def _in_turn(self, data: bytes) -> int:
        """How many bytes of what the client says may go on as they came: the next requests, and what it has
        seen.
        """
        window, at = self.window, 0
        if not tidy(data):
            return 0
        while (end := data.find(b"\r\n", at) + 2) > 1:
            raw = data[at:end]
            number = window.last + 1
            if raw.startswith(b"Q %d " % number):
                if len(raw) > LONGEST or window.full:
                    break
                window.request(number, raw)
            elif raw.startswith(b"K ") and raw[2:-2].isdigit() and len(raw) < 20:
                seen = int(raw[2:-2])
                if raw != b"K %d\r\n" % seen or not window.acked <= seen <= window.answered:
                    break
                window.acked = seen
            else:
                break
            at = end
        return at

    def _split(self, data: bytes) -> tuple[list[bytes], bytes]:
        *whole, part = data.split(b"\n")
        return [line.removesuffix(b"\r") for line in whole], part

    def _pass_client(self) -> RelayOutput:
        """What may go to the server now: in order, and none that would be more than the window holds."""
        out = RelayOutput()
        try:
            while self.waiting and self.state is RelayState.PASSING:
                raw = self.waiting[0]
                line = lines.decode(raw)
                if isinstance(line, Request) and line.number > self.window.last and self.window.full:
                    break
                self.waiting.pop(0)
                match line:
                    case Request():
                        if self.window.request(line.number, raw + b"\r\n"):
                            out.to_server += raw + b"\r\n"
                    case Seen(n):
                        self.window.acknowledge(n)
                        out.to_server += lines.encode(line)
                    case None:
                        out.to_server += raw + b"\r\n"
                    case _:
                        raise LineError("malformed: a line that only a server sends")
        except LineError as error:
            return self._over(error, out)
        out.read_client = not self.waiting
        return out

    def from_server(self, data: bytes, line: int) -> RelayOutput:
        """`line` is the server's that it came from, as `line` was when it was made."""
        if self.state is RelayState.OVER or line != self.line:
            return RelayOutput()  # guards against late words of a server that was left
        if self.server_part:
            data, self.server_part = self.server_part + data, b""
        at = self._answers_in_turn(data)
        if at == len(data) and not self.waiting:
            return RelayOutput(to_client=data)
        whole, self.server_part = self._split(data[at:])
        if len(self.server_part) >= LONGEST:
            return self._over(LineError("long: a line without an end"))
        out = RelayOutput(to_client=data[:at])
        try:
            for raw in whole:
                match found := lines.decode(raw):
                    case Answer(n):
                        if self.window.answer(n):
                            out.to_client += lines.encode(found)
                    case Over(reason):
                        out.to_client += lines.encode(found)
                        self.state = RelayState.OVER
                        out.over = reason
                        return out
                    case None:
                        out.others.append(raw)
                        out.to_client += raw + b"\r\n"
                    case _:
                        raise LineError("malformed: a line that only a client or node sends")
        except LineError as error:
            return self._over(error, out)
        more = self._pass_client()
        out.to_server, out.read_client, out.over = more.to_server, more.read_client, more.over
        out.to_client += more.to_client
        return out

    def _answers_in_turn(self, data: bytes) -> int:
        """How many bytes of what the server says may go on as they came: the next answers."""
        window, at = self.window, 0
        if not tidy(data):
            return 0
        while (end := data.find(b"\r\n", at) + 2) > 1:
            number = window.answered + 1
            if number > window.last or end - at > LONGEST or not data.startswith(b"A %d " % number, at):
                break
            window.answer(number)
            at = end
        return at

    def _over(self, error: LineError, out: RelayOutput | None = None) -> RelayOutput:
        """Whoever broke the rules: the session can't be trusted to be in step any more."""
        reason = str(error).split(":")[0]
        self.state = RelayState.OVER
        out = out or RelayOutput()
        out.to_client += lines.encode(Over(reason))
        out.read_client, out.over = False, reason
        return out

    # The change of servers

    def hold(self) -> None:
        """A next server is being dialed: what the client says waits for it. Answers still pass."""
        if self.state is RelayState.PASSING:
            self.state = RelayState.HELD

    def release(self) -> RelayOutput:
        """No server took it before its epoch was claimed anywhere: on as before, with the same one."""
        if self.state is RelayState.HELD:
            self.state = RelayState.PASSING
        return self._pass_client()

    def changed(self, executed: int) -> RelayOutput:
        """The next server is up and has proven that requests up to `executed` have run. What the client says
        goes there from now on; half a line of the old server's is forgotten, as its answer comes whole again.
        """
        if self.state is RelayState.OVER:
            return RelayOutput(read_client=False)
        try:
            again = self.window.switch(executed)
        except LineError as error:
            return self._over(error)
        self.line += 1
        self.server_part = b""
        self.state = RelayState.PASSING
        sent = b"".join(again)
        if self.window.acked:
            sent = lines.encode(Seen(self.window.acked)) + sent
        out = self._pass_client()
        out.to_server = sent + out.to_server
        return out

    def token(self, token: str) -> bytes:
        """The line that gives the client a new token, between two of its lines."""
        return lines.encode(NewToken(token))
