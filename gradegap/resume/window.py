"""Windows of unanswered requests, which ensure that each request gets exactly one final answer. No I/O.

The client, the node and the server each keep a window. Requests are numbered from 1 without gaps. The client
has the answers up to number `seen`; the server has executed the requests up to number `executed`. Requests
after `executed` may be sent again. Those up to `executed` must not be executed again; the endpoint keeps
their answers until the client has acknowledged them.
"""

from __future__ import annotations

from gradegap.resume.errors import LineError, WindowFullError
from gradegap.resume.lines import Answer, Request

MAX_UNANSWERED = 64  # limit of requests of a session that have no answer yet
MAX_HELD_ANSWERS = 4 * MAX_UNANSWERED  # limit of unacknowledged answers that an endpoint keeps
ACKNOWLEDGE_INTERVAL_COUNT = 16  # number of received answers after which a client acknowledges them


class ClientWindow:
    """The client's window of requests without an answer."""

    def __init__(self) -> None:
        self.last_request = 0  # the number of the latest request
        self.seen = 0  # the client has received the answers up to this number
        self.acknowledged = 0  # the client has acknowledged the answers up to this number
        self.unanswered: dict[int, Request] = {}

    def request(self, text: bytes) -> Request:
        """Return the next request, numbered, and add it to the window.

        Raises:
            WindowFullError: if `MAX_UNANSWERED` requests have no answer yet.
        """
        if len(self.unanswered) >= MAX_UNANSWERED:
            raise WindowFullError(f"window: {MAX_UNANSWERED} requests have no answer yet")
        self.last_request += 1
        new_request = self.unanswered[self.last_request] = Request(self.last_request, text)
        return new_request

    def answer(self, answer: Answer) -> bool:
        """Record an answer; return whether to deliver it, which is False for a repeated answer.

        Raises:
            LineError: if the answer is out of order or its request was not sent.
        """
        if answer.number <= self.seen:
            return False  # sent again because the sender did not know that it had arrived
        if answer.number != self.seen + 1 or answer.number not in self.unanswered:
            raise LineError(f"order: got answer {answer.number} after answer {self.seen}")
        self.seen = answer.number
        del self.unanswered[answer.number]
        return True

    def to_acknowledge(self) -> int | None:
        """Return the number of the answer to acknowledge now, or None if no acknowledgement is due."""
        if self.seen - self.acknowledged >= ACKNOWLEDGE_INTERVAL_COUNT or (
            self.seen > self.acknowledged and not self.unanswered
        ):
            self.acknowledged = self.seen
            return self.seen
        return None

    def resume(self, executed: int) -> list[Request]:
        """Return the requests to send again to an endpoint that has executed requests up to `executed`.

        Raises:
            LineError: if `executed` is not between the last answer received and the last request sent.
        """
        if not self.seen <= executed <= self.last_request:
            raise LineError(
                f"position: the server has executed {executed} requests, "
                f"expected between {self.seen} and {self.last_request}"
            )
        return [r for n, r in sorted(self.unanswered.items()) if n > executed]


class NodeWindow:
    """The node's window of a session that it relays; its requests are sent again at an in-place migration.

    Requests are kept as the lines in which they were received, including CRLF.
    """

    __slots__ = ("acknowledged", "last_answered", "last_request", "unanswered", "unanswered_bytes")

    def __init__(self, seen: int = 0, executed: int = 0) -> None:
        self.last_request = executed  # number of the last request sent to the endpoint
        self.last_answered = seen  # number of the last answer sent to the client
        self.acknowledged = seen
        self.unanswered: dict[int, bytes] = {}  # request lines without an answer, by number
        self.unanswered_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether to stop reading from the client, so that TCP flow control limits it."""
        return len(self.unanswered) >= MAX_UNANSWERED

    def request(self, number: int, raw: bytes) -> bool:
        """Record a request line; return whether to forward it, which is False for a repeated request.

        Raises:
            LineError: if a request number is skipped or the window is full.
        """
        if number <= self.last_request:
            return False
        if number != self.last_request + 1:
            raise LineError(f"order: got request {number} after request {self.last_request}")
        if self.is_full:
            raise LineError(f"window: more than {MAX_UNANSWERED} requests have no answer")
        self.last_request = number
        self.unanswered[number] = raw
        self.unanswered_bytes += len(raw)
        return True

    def answer(self, number: int) -> bool:
        """Record an answer; return whether to forward it, which is False for a repeated answer.

        Raises:
            LineError: if the answer is out of order or its request was not sent.
        """
        if number <= self.last_answered:
            return False
        if number != self.last_answered + 1 or number > self.last_request:
            raise LineError(f"order: got answer {number} after answer {self.last_answered}")
        self.last_answered = number
        held = self.unanswered.pop(number, None)
        if held is not None:
            self.unanswered_bytes -= len(held)
        return True

    def acknowledge(self, seen: int) -> None:
        """Record that the client has received the answers up to number `seen`.

        Raises:
            LineError: if `seen` is below the last acknowledgement or above the last forwarded answer.
        """
        if not self.acknowledged <= seen <= self.last_answered:
            raise LineError(
                f"position: the client acknowledged {seen}, "
                f"expected between {self.acknowledged} and {self.last_answered}"
            )
        self.acknowledged = seen

    def unexecuted(self, executed: int) -> list[bytes]:
        """Return the request lines to send to a new endpoint that has executed the requests up to `executed`.

        The endpoint itself sends the answers that are missing for the requests up to `executed`.

        Raises:
            LineError: if `executed` is not between the last answer and the last request that were forwarded.
        """
        if not self.last_answered <= executed <= self.last_request:
            raise LineError(
                f"position: the server has executed {executed} requests, "
                f"expected between {self.last_answered} and {self.last_request}"
            )
        return [raw for n, raw in sorted(self.unanswered.items()) if n > executed]


class ServerWindow:
    """A save server's window, which is written to the shared save store together with requests' effects."""

    def __init__(self, executed: int = 0, answers: dict[int, bytes] | None = None) -> None:
        self.executed = executed
        self.answers = dict(answers or {})  # unacknowledged answers by number

    def request(self, request: Request) -> Answer | None:
        """Return the stored answer if the request was executed before, or None if it is to be executed now.

        Raises:
            LineError: if the answer was acknowledged already, a request number is skipped, or the client has
                left `MAX_HELD_ANSWERS` answers unacknowledged.
        """
        if request.number <= self.executed:
            held = self.answers.get(request.number)
            if held is None:
                raise LineError(f"position: the answer to request {request.number} was acknowledged already")
            return Answer(request.number, held)
        if request.number != self.executed + 1:
            raise LineError(f"order: got request {request.number} after request {self.executed}")
        if len(self.answers) >= MAX_HELD_ANSWERS:
            # Limits the memory that a client without acknowledgements can take.
            raise LineError(f"window: {MAX_HELD_ANSWERS} answers are not acknowledged")
        return None

    def record_answer(self, number: int, text: bytes) -> Answer:
        """Record that a request was executed with this answer.

        Raises:
            ValueError: if the request is not the next one.
        """
        if number != self.executed + 1:
            raise ValueError(f"request {number} was executed after request {self.executed}")
        self.executed = number
        self.answers[number] = text
        return Answer(number, text)

    def acknowledge(self, seen: int) -> None:
        """Drop the answers up to number `seen`, which the client has received.

        Raises:
            LineError: if `seen` is beyond the last executed request.
        """
        if seen > self.executed:
            raise LineError(
                f"position: the client has seen {seen} answers, only {self.executed} requests were executed"
            )
        for number in [n for n in self.answers if n <= seen]:
            del self.answers[number]

    def resume(self, seen: int) -> list[Answer]:
        """Return the answers to send again to a client, or a node, that has the answers up to `seen`.

        The answers stay in the window: a node that forwarded an answer may be killed before the client
        receives it, so only the client's own acknowledgement proves that it was received.

        Raises:
            LineError: if `seen` is beyond the last executed request, or the next answer is not kept any more.
        """
        if seen > self.executed:
            raise LineError(
                f"position: the client has seen {seen} answers, only {self.executed} requests were executed"
            )
        if seen < self.executed and seen + 1 not in self.answers:
            raise LineError(f"position: answer {seen + 1} was acknowledged already")
        return [Answer(n, text) for n, text in sorted(self.answers.items()) if n > seen]
