"""A node's part in a resumable session: bytes from both sides in, bytes for both sides out. No I/O.

It passes whole lines, remembers what has no answer, and changes from one endpoint to the next between two
lines. What comes from an endpoint that it has left is dropped. Other lines of the protocol (`LOAD`, `BYE`)
pass as they are.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from gradegap.resume import lines
from gradegap.resume.errors import LineError
from gradegap.resume.lines import MAX_LINE_BYTES, Answer, NewToken, Over, Request, Seen
from gradegap.resume.window import NodeWindow


class RelayState(enum.Enum):
    """What the relay does with lines; an ended session stays so."""

    PASSING = "passing"  # both ways
    HELD = "held"  # the next endpoint is dialed: the client's lines wait, answers still pass
    OVER = "over"  # nothing passes any more


@dataclass(slots=True)
class RelayOutput:
    """What is to be written, and whether the client may be read on."""

    to_client: bytes = b""
    to_endpoint: bytes = b""
    read_client: bool = True
    end_reason: str = ""  # where the session has ended by somebody's fault
    other_lines: list[bytes] = field(default_factory=list)  # the endpoint's, no part of the extension


def has_clean_line_ends(data: bytes) -> bool:
    """Whether all its lines end in CRLF, and nothing else in it looks like an end."""
    return data.count(b"\n") == data.count(b"\r") == data.count(b"\r\n")


class SessionRelay:
    """One session, from `UP` on. `seen` and `executed` are its positions then.

    Lines that come whole and in turn go on as the bytes that they came in; whatever else comes is read line
    by line.
    """

    __slots__ = (
        "client_remainder",
        "endpoint_number",
        "endpoint_remainder",
        "state",
        "waiting_lines",
        "window",
    )

    def __init__(self, seen: int = 0, executed: int = 0) -> None:
        self.window = NodeWindow(seen, executed)
        self.state = RelayState.PASSING
        self.endpoint_number = 0  # whose lines count: one more at each change
        self.client_remainder = b""  # of a line whose end has not come
        self.endpoint_remainder = b""
        self.waiting_lines: list[bytes] = []  # the client's, while held or the window is full

    @property
    def awaits_answer(self) -> bool:
        """Whether a request waits for its answer: only then may an endpoint be called unresponsive."""
        return bool(self.window.unanswered)

    @property
    def position(self) -> int:
        """Answers up to here have passed to the client."""
        return self.window.answered

    def from_client(self, data: bytes) -> RelayOutput:
        """What the client has sent."""
        if self.state is RelayState.OVER:
            return RelayOutput(read_client=False)
        if self.client_remainder:
            data, self.client_remainder = self.client_remainder + data, b""
        at = (
            self._client_lines_in_order(data)
            if self.state is RelayState.PASSING and not self.waiting_lines
            else 0
        )
        if at == len(data):
            return RelayOutput(to_endpoint=data)
        whole, self.client_remainder = self._split(data[at:])
        if len(self.client_remainder) >= MAX_LINE_BYTES:
            return self._end_session(LineError("long: a line without an end"))
        self.waiting_lines += whole
        out = self._pass_client()
        out.to_endpoint = data[:at] + out.to_endpoint
        return out

    def _client_lines_in_order(self, data: bytes) -> int:
        """How many bytes of the client's may go on as they came: the next requests and acknowledgements."""
        window, at = self.window, 0
        if not has_clean_line_ends(data):
            return 0
        while (end := data.find(b"\r\n", at) + 2) > 1:
            raw = data[at:end]
            number = window.last + 1
            if raw.startswith(b"Q %d " % number):
                if len(raw) > MAX_LINE_BYTES or window.is_full:
                    break
                window.request(number, raw)
            elif raw.startswith(b"K ") and raw[2:-2].isdigit() and len(raw) < 20:
                seen = int(raw[2:-2])
                if raw != b"K %d\r\n" % seen or not window.acknowledged <= seen <= window.answered:
                    break
                window.acknowledged = seen
            else:
                break
            at = end
        return at

    def _split(self, data: bytes) -> tuple[list[bytes], bytes]:
        *whole, part = data.split(b"\n")
        return [line.removesuffix(b"\r") for line in whole], part

    def _pass_client(self) -> RelayOutput:
        """What may go to the endpoint now: in order, and no more than the window holds."""
        out = RelayOutput()
        try:
            while self.waiting_lines and self.state is RelayState.PASSING:
                raw = self.waiting_lines[0]
                line = lines.decode(raw)
                if isinstance(line, Request) and line.number > self.window.last and self.window.is_full:
                    break
                self.waiting_lines.pop(0)
                match line:
                    case Request():
                        if self.window.request(line.number, raw + b"\r\n"):
                            out.to_endpoint += raw + b"\r\n"
                    case Seen(n):
                        self.window.acknowledge(n)
                        out.to_endpoint += lines.encode(line)
                    case None:
                        out.to_endpoint += raw + b"\r\n"
                    case _:
                        raise LineError("malformed: a line that only a server sends")
        except LineError as error:
            return self._end_session(error, out)
        out.read_client = not self.waiting_lines
        return out

    def from_endpoint(self, data: bytes, number: int) -> RelayOutput:
        """What the endpoint with this number has sent: `endpoint_number` as it was when it was chosen."""
        if self.state is RelayState.OVER or number != self.endpoint_number:
            return RelayOutput()  # guards against late lines of an endpoint that was left
        if self.endpoint_remainder:
            data, self.endpoint_remainder = self.endpoint_remainder + data, b""
        at = self._answers_in_order(data)
        if at == len(data) and not self.waiting_lines:
            return RelayOutput(to_client=data)
        whole, self.endpoint_remainder = self._split(data[at:])
        if len(self.endpoint_remainder) >= MAX_LINE_BYTES:
            return self._end_session(LineError("long: a line without an end"))
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
                        out.end_reason = reason
                        return out
                    case None:
                        out.other_lines.append(raw)
                        out.to_client += raw + b"\r\n"
                    case _:
                        raise LineError("malformed: a line that only a client or node sends")
        except LineError as error:
            return self._end_session(error, out)
        more = self._pass_client()
        out.to_endpoint, out.read_client, out.end_reason = more.to_endpoint, more.read_client, more.end_reason
        out.to_client += more.to_client
        return out

    def _answers_in_order(self, data: bytes) -> int:
        """How many bytes of the endpoint's may go on as they came: the next answers."""
        window, at = self.window, 0
        if not has_clean_line_ends(data):
            return 0
        while (end := data.find(b"\r\n", at) + 2) > 1:
            number = window.answered + 1
            if (
                number > window.last
                or end - at > MAX_LINE_BYTES
                or not data.startswith(b"A %d " % number, at)
            ):
                break
            window.answer(number)
            at = end
        return at

    def _end_session(self, error: LineError, out: RelayOutput | None = None) -> RelayOutput:
        """Somebody broke the protocol: the session can't be trusted to be in step any more."""
        self.state = RelayState.OVER
        out = out or RelayOutput()
        out.to_client += lines.encode(Over(error.reason))
        out.read_client, out.end_reason = False, error.reason
        return out

    # The change of endpoints

    def hold_client(self) -> None:
        """The next endpoint is being dialed: what the client sends waits for it. Answers still pass."""
        if self.state is RelayState.PASSING:
            self.state = RelayState.HELD

    def release_client(self) -> RelayOutput:
        """No endpoint took it before its generation was claimed anywhere: on as before, with the same one."""
        if self.state is RelayState.HELD:
            self.state = RelayState.PASSING
        return self._pass_client()

    def switch_endpoint(self, executed: int) -> RelayOutput:
        """The next endpoint is established and has proven that requests up to `executed` have run.

        What the client sends goes there from now on; half a line of the endpoint before is dropped, as that
        answer comes complete again.
        """
        if self.state is RelayState.OVER:
            return RelayOutput(read_client=False)
        try:
            unexecuted = self.window.unexecuted(executed)
        except LineError as error:
            return self._end_session(error)
        self.endpoint_number += 1
        self.endpoint_remainder = b""
        self.state = RelayState.PASSING
        sent = b"".join(unexecuted)
        if self.window.acknowledged:
            sent = lines.encode(Seen(self.window.acknowledged)) + sent
        out = self._pass_client()
        out.to_endpoint = sent + out.to_endpoint
        return out

    def token(self, token: str) -> bytes:
        """The line that gives the client a new token, between two of its lines."""
        return lines.encode(NewToken(token))
