"""A node's relay of a resumable session's lines between the client and its endpoint. No I/O.

The relay takes bytes from either side and returns the bytes to send to both sides. It forwards complete
lines, keeps the requests that have no answer, and can switch to another endpoint between two lines.
Data from an endpoint that the session has left is dropped. Other lines of the protocol (`LOAD`, `BYE`) are
forwarded unchanged.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from gradegap.resume import lines
from gradegap.resume.errors import LineError
from gradegap.resume.lines import MAX_LINE_BYTES, Acknowledgement, Answer, NewToken, Request, SessionEnded
from gradegap.resume.window import NodeWindow


class RelayState(enum.Enum):
    """State of a relay. `ENDED` is final."""

    PASSING = "passing"  # lines are forwarded in both directions
    HELD = "held"  # switching endpoints: client lines are queued, answers are still forwarded
    ENDED = "over"  # nothing is forwarded any more


@dataclass(slots=True)
class RelayOutput:
    """The bytes to write, and whether to continue reading from the client."""

    to_client: bytes = b""
    to_endpoint: bytes = b""
    read_client: bool = True
    end_reason: str = ""  # reason for which the session has ended; empty while it has not
    other_lines: list[bytes] = field(default_factory=list)  # the endpoint's lines outside the extension


def has_clean_line_ends(data: bytes) -> bool:
    """Return whether each CR and each LF in the data belongs to a CRLF."""
    return data.count(b"\n") == data.count(b"\r") == data.count(b"\r\n")


class SessionRelay:
    """Relays the lines of one session that follow the endpoint's `UP` line.

    When the endpoint sends its `UP` line, the client has the answers up to number `seen`, and the endpoint
    has executed the requests up to number `executed`. Complete lines in the expected order are forwarded as
    received, without decoding each one; all other data is decoded line by line.
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
        # Number of switches so far; data from an endpoint that was selected at a lower number is dropped.
        self.endpoint_number = 0
        self.client_remainder = b""  # start of a line that is not complete yet
        self.endpoint_remainder = b""
        self.waiting_lines: list[bytes] = []  # client lines that can't be forwarded yet

    @property
    def awaits_answer(self) -> bool:
        """Whether a request has no answer yet; only then can an endpoint count as unresponsive."""
        return bool(self.window.unanswered)

    @property
    def position(self) -> int:
        """Number of the last answer that was forwarded to the client."""
        return self.window.last_answered

    def from_client(self, data: bytes) -> RelayOutput:
        """Process data from the client."""
        if self.state is RelayState.ENDED:
            return RelayOutput(read_client=False)
        if self.client_remainder:
            data, self.client_remainder = self.client_remainder + data, b""
        offset = (
            self._client_lines_in_order(data)
            if self.state is RelayState.PASSING and not self.waiting_lines
            else 0
        )
        if offset == len(data):
            return RelayOutput(to_endpoint=data)
        complete_lines, self.client_remainder = self._split_lines(data[offset:])
        if len(self.client_remainder) >= MAX_LINE_BYTES:
            return self._end_session(LineError("long: a line without an end"))
        self.waiting_lines += complete_lines
        output = self._forward_client_lines()
        output.to_endpoint = data[:offset] + output.to_endpoint
        return output

    def _client_lines_in_order(self, data: bytes) -> int:
        """Return the length in bytes of the prefix that can be forwarded as received.

        The prefix consists of the next requests in order and of valid acknowledgements.
        """
        window, offset = self.window, 0
        if not has_clean_line_ends(data):
            return 0
        while (end := data.find(b"\r\n", offset) + 2) > 1:
            raw = data[offset:end]
            number = window.last_request + 1
            if raw.startswith(b"Q %d " % number):
                if len(raw) > MAX_LINE_BYTES or window.is_full:
                    break
                window.request(number, raw)
            elif raw.startswith(b"K ") and raw[2:-2].isdigit() and len(raw) < 20:
                seen = int(raw[2:-2])
                if raw != b"K %d\r\n" % seen or not window.acknowledged <= seen <= window.last_answered:
                    break
                window.acknowledged = seen
            else:
                break
            offset = end
        return offset

    def _split_lines(self, data: bytes) -> tuple[list[bytes], bytes]:
        *complete_lines, remainder = data.split(b"\n")
        return [line.removesuffix(b"\r") for line in complete_lines], remainder

    def _forward_client_lines(self) -> RelayOutput:
        """Forward the queued client lines in order, as far as the relay's state and the window allow."""
        output = RelayOutput()
        try:
            while self.waiting_lines and self.state is RelayState.PASSING:
                raw = self.waiting_lines[0]
                line = lines.decode(raw)
                if (
                    isinstance(line, Request)
                    and line.number > self.window.last_request
                    and self.window.is_full
                ):
                    break
                self.waiting_lines.pop(0)
                match line:
                    case Request():
                        if self.window.request(line.number, raw + b"\r\n"):
                            output.to_endpoint += raw + b"\r\n"
                    case Acknowledgement(number):
                        self.window.acknowledge(number)
                        output.to_endpoint += lines.encode(line)
                    case None:
                        output.to_endpoint += raw + b"\r\n"
                    case _:
                        raise LineError("malformed: the client sent a line that only servers send")
        except LineError as error:
            return self._end_session(error, output)
        output.read_client = not self.waiting_lines
        return output

    def from_endpoint(self, data: bytes, number: int) -> RelayOutput:
        """Process data from the endpoint that was selected when `endpoint_number` was `number`."""
        if self.state is RelayState.ENDED or number != self.endpoint_number:
            return RelayOutput()  # late data from an endpoint that the session has left
        if self.endpoint_remainder:
            data, self.endpoint_remainder = self.endpoint_remainder + data, b""
        offset = self._answers_in_order(data)
        if offset == len(data) and not self.waiting_lines:
            return RelayOutput(to_client=data)
        complete_lines, self.endpoint_remainder = self._split_lines(data[offset:])
        if len(self.endpoint_remainder) >= MAX_LINE_BYTES:
            return self._end_session(LineError("long: a line without an end"))
        output = RelayOutput(to_client=data[:offset])
        try:
            for raw in complete_lines:
                match line := lines.decode(raw):
                    case Answer(answer_number):
                        if self.window.answer(answer_number):
                            output.to_client += lines.encode(line)
                    case SessionEnded(reason):
                        output.to_client += lines.encode(line)
                        self.state = RelayState.ENDED
                        output.end_reason = reason
                        return output
                    case None:
                        output.other_lines.append(raw)
                        output.to_client += raw + b"\r\n"
                    case _:
                        raise LineError("malformed: the server sent a line that only clients or nodes send")
        except LineError as error:
            return self._end_session(error, output)
        client_output = self._forward_client_lines()
        output.to_endpoint, output.read_client, output.end_reason = (
            client_output.to_endpoint,
            client_output.read_client,
            client_output.end_reason,
        )
        output.to_client += client_output.to_client
        return output

    def _answers_in_order(self, data: bytes) -> int:
        """Return the length in bytes of the prefix that consists of the next answers in order.

        These bytes can be forwarded as received.
        """
        window, offset = self.window, 0
        if not has_clean_line_ends(data):
            return 0
        while (end := data.find(b"\r\n", offset) + 2) > 1:
            number = window.last_answered + 1
            if (
                number > window.last_request
                or end - offset > MAX_LINE_BYTES
                or not data.startswith(b"A %d " % number, offset)
            ):
                break
            window.answer(number)
            offset = end
        return offset

    def _end_session(self, error: LineError, output: RelayOutput | None = None) -> RelayOutput:
        """End the session after a protocol violation, as the positions of both sides may no longer match."""
        self.state = RelayState.ENDED
        output = output or RelayOutput()
        output.to_client += lines.encode(SessionEnded(error.reason))
        output.read_client, output.end_reason = False, error.reason
        return output

    # Switching endpoints

    def hold_client(self) -> None:
        """Queue client lines until the switch to another endpoint. Answers are still forwarded."""
        if self.state is RelayState.PASSING:
            self.state = RelayState.HELD

    def release_client(self) -> RelayOutput:
        """Stop queueing client lines, and forward them to the current endpoint again.

        To be called only if no endpoint has claimed the next generation of the session.
        """
        if self.state is RelayState.HELD:
            self.state = RelayState.PASSING
        return self._forward_client_lines()

    def switch_endpoint(self, executed: int) -> RelayOutput:
        """Switch to a new endpoint that has accepted the session and executed the requests up to `executed`.

        Client lines are forwarded to the new endpoint from now on. An incomplete line from the previous
        endpoint is dropped, because the new endpoint sends that answer again in full.
        """
        if self.state is RelayState.ENDED:
            return RelayOutput(read_client=False)
        try:
            unexecuted = self.window.unexecuted(executed)
        except LineError as error:
            return self._end_session(error)
        self.endpoint_number += 1
        self.endpoint_remainder = b""
        self.state = RelayState.PASSING
        resent = b"".join(unexecuted)
        if self.window.acknowledged:
            resent = lines.encode(Acknowledgement(self.window.acknowledged)) + resent
        output = self._forward_client_lines()
        output.to_endpoint = resent + output.to_endpoint
        return output

    def token(self, token: str) -> bytes:
        """Return the line that gives the client a new token; it may be sent between any two lines."""
        return lines.encode(NewToken(token))
