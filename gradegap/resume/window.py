"""What each side holds of a session, so that every request gets exactly one final answer. No I/O.

Numbers run from 1 without gaps. `seen` is up to where the client has answers, `executed` up to where requests
have run. Requests after `executed` may be sent again; those up to it must not run again, and their answers
are held by the server until they are seen.
"""

from __future__ import annotations

from gradegap.resume.errors import LineError, WindowFullError
from gradegap.resume.lines import Answer, Request

MAX_UNANSWERED = 64  # requests without an answer, and answers that are not acknowledged
MAX_HELD_ANSWERS = 4 * MAX_UNANSWERED  # answers that a server holds for a client that acknowledges none
ACKNOWLEDGE_EVERY = 16  # answers after which a client says what it has seen


class ClientWindow:
    """The client's side."""

    def __init__(self) -> None:
        self.last = 0  # the number of the latest request
        self.seen = 0
        self.told = 0  # up to where the server was told
        self.waiting: dict[int, Request] = {}

    def request(self, text: bytes) -> Request:
        """The next request; `WindowFullError` where too many have no answer yet."""
        if len(self.waiting) >= MAX_UNANSWERED:
            raise WindowFullError(f"window: {MAX_UNANSWERED} requests have no answer")
        self.last += 1
        made = self.waiting[self.last] = Request(self.last, text)
        return made

    def answer(self, answer: Answer) -> bool:
        """Whether this answer is the final one to be delivered; one that was seen is none. `LineError` where
        the other side breaks the order or answers what was not asked."""
        if answer.number <= self.seen:
            return False  # sent again, as nobody knew that it had come
        if answer.number != self.seen + 1 or answer.number not in self.waiting:
            raise LineError(f"order: answer {answer.number} after {self.seen}")
        self.seen = answer.number
        del self.waiting[answer.number]
        return True

    def to_acknowledge(self) -> int | None:
        """Up to where the server is to be told now, if it is."""
        if self.seen - self.told >= ACKNOWLEDGE_EVERY or (self.seen > self.told and not self.waiting):
            self.told = self.seen
            return self.seen
        return None

    def resume(self, executed: int) -> list[Request]:
        """What is to be sent again to a server at which requests up to `executed` have run."""
        if not self.seen <= executed <= self.last:
            raise LineError(
                f"position: the server is at {executed}, this client between {self.seen} and {self.last}"
            )
        return [r for n, r in sorted(self.waiting.items()) if n > executed]


class NodeWindow:
    """What a node holds of a session that passes, to change its server in place: requests as the lines that
    they came in, with their CRLF."""

    __slots__ = ("acked", "answered", "last", "size", "waiting")

    def __init__(self, seen: int = 0, executed: int = 0) -> None:
        self.last = executed  # the latest request that passed
        self.answered = seen  # the latest answer that passed
        self.acked = seen
        self.waiting: dict[int, bytes] = {}  # requests that passed and have no answer
        self.size = 0  # bytes of these

    @property
    def full(self) -> bool:
        """Whether the client is not to be read on: its TCP holds it back."""
        return len(self.waiting) >= MAX_UNANSWERED

    def request(self, number: int, raw: bytes) -> bool:
        """Whether it goes on to the server; one that passed before does not. `LineError` for a gap."""
        if number <= self.last:
            return False
        if number != self.last + 1:
            raise LineError(f"order: request {number} after {self.last}")
        if self.full:
            raise LineError("window: more requests without an answer than were agreed on")
        self.last = number
        self.waiting[number] = raw
        self.size += len(raw)
        return True

    def answer(self, number: int) -> bool:
        """Whether it goes on to the client: each once, in order."""
        if number <= self.answered:
            return False
        if number != self.answered + 1 or number > self.last:
            raise LineError(f"order: answer {number} after {self.answered}")
        self.answered = number
        held = self.waiting.pop(number, None)
        if held is not None:
            self.size -= len(held)
        return True

    def acknowledge(self, seen: int) -> None:
        """The client's word. Guards against one that lies: it can't have seen what did not pass."""
        if not self.acked <= seen <= self.answered:
            raise LineError(
                f"position: the client says {seen}, between {self.acked} and {self.answered} passed"
            )
        self.acked = seen

    def switch(self, executed: int) -> list[bytes]:
        """The next server proved that requests up to `executed` ran: what is to be sent to it. Their
        answers, and no others, come from it of its own accord."""
        if not self.answered <= executed <= self.last:
            raise LineError(f"position: the server is at {executed}, {self.answered} to {self.last} passed")
        return [raw for n, raw in sorted(self.waiting.items()) if n > executed]


class ServerWindow:
    """A save server's side; what it holds is kept in the shared save store with what requests did."""

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

    def ran(self, number: int, text: bytes) -> Answer:
        """A request has run, and this is its one answer."""
        if number != self.executed + 1:
            raise ValueError(f"request {number} ran after {self.executed}")
        self.executed = number
        self.answers[number] = text
        return Answer(number, text)

    def acknowledge(self, seen: int) -> None:
        if seen > self.executed:
            raise LineError(f"position: the client says {seen}, {self.executed} requests ran")
        for number in [n for n in self.answers if n <= seen]:
            del self.answers[number]

    def resume(self, seen: int) -> list[Answer]:
        """What is to be sent again to a client, or a node, that has the answers up to `seen`. They are held
        on: a node that has passed an answer may die before the client has it, and only the client's own
        word (`acknowledge`) says that it has."""
        if seen > self.executed:
            raise LineError(f"position: the client says {seen}, {self.executed} requests ran")
        if seen < self.executed and seen + 1 not in self.answers:
            raise LineError(f"position: the answers after {seen} are acknowledged already")
        return [Answer(n, text) for n, text in sorted(self.answers.items()) if n > seen]
