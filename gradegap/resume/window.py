"""What each side holds of a session, so that every request gets exactly one final answer. No I/O.

Numbers run from 1 without gaps. `seen` is up to where the client has answers, `executed` up to where requests
have run. Requests after `executed` may be sent again; those up to it must not run again, and their answers
are kept by the endpoint until they are seen.
"""

from __future__ import annotations

from gradegap.resume.errors import LineError, WindowFullError
from gradegap.resume.lines import Answer, Request

MAX_UNANSWERED = 64  # requests without an answer, and answers that are not acknowledged
MAX_HELD_ANSWERS = 4 * MAX_UNANSWERED  # that an endpoint keeps for a client that acknowledges none
ACKNOWLEDGE_EVERY = 16  # answers, a client acknowledges what it has seen


class ClientWindow:
    """The client's side."""

    def __init__(self) -> None:
        self.last = 0  # the number of the latest request
        self.seen = 0  # up to where the client has answers
        self.acknowledged = 0  # up to where the endpoint knows what was seen
        self.unanswered: dict[int, Request] = {}

    def request(self, text: bytes) -> Request:
        """The next request; `WindowFullError` where too many have no answer yet."""
        if len(self.unanswered) >= MAX_UNANSWERED:
            raise WindowFullError(f"window: {MAX_UNANSWERED} requests have no answer")
        self.last += 1
        made = self.unanswered[self.last] = Request(self.last, text)
        return made

    def answer(self, answer: Answer) -> bool:
        """Whether this answer is the final one to be delivered; one that was seen is none.

        Raises:
            LineError: where the other side breaks the order, or answers what was not requested.
        """
        if answer.number <= self.seen:
            return False  # sent again, as nobody knew that it had arrived
        if answer.number != self.seen + 1 or answer.number not in self.unanswered:
            raise LineError(f"order: answer {answer.number} after {self.seen}")
        self.seen = answer.number
        del self.unanswered[answer.number]
        return True

    def to_acknowledge(self) -> int | None:
        """What to acknowledge now; None where it is not due."""
        if self.seen - self.acknowledged >= ACKNOWLEDGE_EVERY or (
            self.seen > self.acknowledged and not self.unanswered
        ):
            self.acknowledged = self.seen
            return self.seen
        return None

    def resume(self, executed: int) -> list[Request]:
        """What is to be sent again to an endpoint at which requests up to `executed` have run."""
        if not self.seen <= executed <= self.last:
            raise LineError(
                f"position: the server is at {executed}, this client between {self.seen} and {self.last}"
            )
        return [r for n, r in sorted(self.unanswered.items()) if n > executed]


class NodeWindow:
    """What a node keeps of a session that it relays, to migrate it in place.

    Requests are kept as the lines that they came in, with their CRLF.
    """

    __slots__ = ("acknowledged", "answered", "last", "unanswered", "unanswered_bytes")

    def __init__(self, seen: int = 0, executed: int = 0) -> None:
        self.last = executed  # the latest request that passed
        self.answered = seen  # the latest answer that passed
        self.acknowledged = seen
        self.unanswered: dict[int, bytes] = {}  # requests that passed, as lines
        self.unanswered_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether the client is not to be read on: TCP's flow control holds it back."""
        return len(self.unanswered) >= MAX_UNANSWERED

    def request(self, number: int, raw: bytes) -> bool:
        """Whether it goes on to the endpoint; one that passed before does not. `LineError` for a gap."""
        if number <= self.last:
            return False
        if number != self.last + 1:
            raise LineError(f"order: request {number} after {self.last}")
        if self.is_full:
            raise LineError("window: more requests without an answer than were agreed on")
        self.last = number
        self.unanswered[number] = raw
        self.unanswered_bytes += len(raw)
        return True

    def answer(self, number: int) -> bool:
        """Whether it goes on to the client: each once, in order."""
        if number <= self.answered:
            return False
        if number != self.answered + 1 or number > self.last:
            raise LineError(f"order: answer {number} after {self.answered}")
        self.answered = number
        held = self.unanswered.pop(number, None)
        if held is not None:
            self.unanswered_bytes -= len(held)
        return True

    def acknowledge(self, seen: int) -> None:
        """The client has seen answers up to here; it can't have seen what did not pass."""
        if not self.acknowledged <= seen <= self.answered:
            raise LineError(
                f"position: the client says {seen}, between {self.acknowledged} and {self.answered} passed"
            )
        self.acknowledged = seen

    def unexecuted(self, executed: int) -> list[bytes]:
        """What is to be sent to the next endpoint, which proved that requests up to `executed` ran.

        Their answers, and no others, come from it of its own accord.
        """
        if not self.answered <= executed <= self.last:
            raise LineError(f"position: the server is at {executed}, {self.answered} to {self.last} passed")
        return [raw for n, raw in sorted(self.unanswered.items()) if n > executed]


class ServerWindow:
    """A save server's side; its state is stored in the shared save store with what requests did."""

    def __init__(self, executed: int = 0, answers: dict[int, bytes] | None = None) -> None:
        self.executed = executed
        self.answers = dict(answers or {})  # not acknowledged, by number

    def request(self, request: Request) -> Answer | None:
        """None where the request is to run; the answer it had, where it ran before."""
        if request.number <= self.executed:
            held = self.answers.get(request.number)
            if held is None:
                raise LineError(f"position: request {request.number} was answered, and its answer seen")
            return Answer(request.number, held)
        if request.number != self.executed + 1:
            raise LineError(f"order: request {request.number} after {self.executed}")
        if len(self.answers) >= MAX_HELD_ANSWERS:
            # Guards memory against a client that acknowledges nothing.
            raise LineError("window: too many answers are not acknowledged")
        return None

    def record_answer(self, number: int, text: bytes) -> Answer:
        """A request has run, and this is its one answer."""
        if number != self.executed + 1:
            raise ValueError(f"request {number} ran after {self.executed}")
        self.executed = number
        self.answers[number] = text
        return Answer(number, text)

    def acknowledge(self, seen: int) -> None:
        """The client has seen answers up to here: they are dropped."""
        if seen > self.executed:
            raise LineError(f"position: the client says {seen}, {self.executed} requests ran")
        for number in [n for n in self.answers if n <= seen]:
            del self.answers[number]

    def resume(self, seen: int) -> list[Answer]:
        """What is to be sent again to a client, or a node, that has the answers up to `seen`.

        They are kept: a node that has passed an answer may die before the client has it, and only the
        client's own acknowledgement says that it has.
        """
        if seen > self.executed:
            raise LineError(f"position: the client says {seen}, {self.executed} requests ran")
        if seen < self.executed and seen + 1 not in self.answers:
            raise LineError(f"position: the answers after {seen} are acknowledged already")
        return [Answer(n, text) for n, text in sorted(self.answers.items()) if n > seen]
