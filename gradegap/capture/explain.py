"""Why a request was placed where it was: its decisions replayed under observation, in words and figures.

Nothing is recorded at the node that a replay can find out. The module runs as it is; a class made from its
own `Balancer` notes what some of its steps were given and what they returned.

The steps are private methods of `Balancer` today (`OBSERVED_STEPS`), so a split or a rename there breaks this
module. Once decisions are components, they should offer this in their place, and nothing else:

    class DecisionObserver(Protocol):                # gradegap/balancing/observer.py
        def pair_drawn(self, request, first, second) -> None: ...       # selection
        def endpoint_drawn(self, request, endpoint, load) -> None: ...  # selection; endpoint may be None
        def pair_compared(self, request, beta, age) -> None: ...        # two choices
        def headroom_checked(self, request, endpoint, has_headroom) -> None: ...  # admission
        def request_forwarded(self, request, endpoint) -> None: ...     # attempts
        def request_postponed(self, request) -> None: ...               # nothing may be sent to now
        def request_answered(self, request) -> None: ...                # rejected or failed

    class Balancer:
        observer: DecisionObserver | None = None

with one `if self.observer is not None` at each place, which costs the hot path an attribute read. The
observer only looks: it draws nothing at random and changes nothing. `explain` then sets it after loading a
state, and `_observed_class`, `OBSERVED_STEPS` and the change of the class go.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from types import ModuleType
from typing import Any

from gradegap.balancing.actions import LogMessage
from gradegap.capture import records
from gradegap.capture.description import in_one_line
from gradegap.capture.recording import Gap, Item, SettingsChange, State, Step
from gradegap.capture.replay import begin
from gradegap.capture.schema import BALANCER, ENDPOINT, REQUEST

OBSERVED_STEPS = ("_draw", "_pick", "_decide", "_has_room", "beta", "_send", "_wait", "_give_up")


def _observed_class(module: ModuleType, note: Callable[[str, tuple[Any, ...], Any], None]) -> type:
    """The module's `Balancer`, whose steps are reported to `note` with their arguments and results."""

    def observed(name: str) -> Callable[..., Any]:
        plain = getattr(module.Balancer, name)

        def step(self: Any, *arguments: Any) -> Any:
            if name == "_draw":
                note(name, arguments, None)  # before the steps that it leads to
                return plain(self, *arguments)
            result = plain(self, *arguments)
            note(name, arguments, result)
            return result

        return step

    steps = {name: observed(name) for name in OBSERVED_STEPS if hasattr(module.Balancer, name)}
    return type("Balancer", (module.Balancer,), steps)


def _described(balancer: Any, endpoint: Any, request: Any) -> str:
    """An endpoint that was drawn, with the load that it is taken to have."""
    if endpoint is None:
        return "nobody"
    load = balancer.load_estimates.comparable_load(endpoint, request)
    shown = "no load known" if load is None else f"{load:.4f}"
    seen_at = ENDPOINT.get(endpoint, "report_changed_at")
    age = f" {BALANCER.get(balancer, 'now') - seen_at:.3f} s old" if seen_at > 0 else ""
    return f"{ENDPOINT.get(endpoint, 'name')} ({shown}{age})"


class _Observation:
    """The lines that the steps of one request come to."""

    def __init__(self, request_id: int) -> None:
        self.request_id = request_id
        self.balancer: Any = None
        self.lines: list[str] = []
        self.current: Any = None  # the request that is being decided on

    def note(self, name: str, arguments: tuple[Any, ...], result: Any) -> None:
        """One step of the module: the method, what it was given and what it returned."""
        if arguments and type(arguments[0]).__name__ == REQUEST.cls.__name__:
            self.current = arguments[0]
        if self.current is None or REQUEST.get(self.current, "id") != self.request_id:
            return
        if (line := self._line(name, arguments, result)) is not None:
            self.lines.append(line)

    def _line(self, name: str, arguments: tuple[Any, ...], result: Any) -> str | None:
        request = self.current
        match name:
            case "_draw":
                again = bool(REQUEST.get(request, "attempted_endpoints"))
                return "draws another pair" if again else "draws a pair"
            case "_pick":
                return f"  drew {_described(self.balancer, result, request)}"
            case "beta":
                return f"  compares with probability {result:.4f}, the older figure {arguments[0]:.3f} s old"
            case "_has_room":
                name = ENDPOINT.get(arguments[0], "name")
                return f"  {name} {'has room' if result else 'has no room'}"
            case "_send":
                name, attempt = ENDPOINT.get(arguments[1], "name"), REQUEST.get(request, "attempts")
                return f"  kept {name}, attempt {attempt}"
            case "_wait":
                return "  nothing may be sent to now"
            case "_give_up":
                return "  given up"
            case _:
                return None  # what it came to is shown by what follows


def explain(source: Iterable[Item], module: ModuleType, request_id: int) -> Iterator[str]:
    """A request's way, a line each; nothing where the recording does not have it.

    Raises `BadStateError` for a recorded state that does not fit the module.
    """
    observation = _Observation(request_id)
    observed_class = _observed_class(module, observation.note)
    balancer: Any = None
    began_at = 0.0
    for item in source:
        match item:
            case State():
                if balancer is None:
                    balancer = observation.balancer = begin(module, item)
                    balancer.__class__ = observed_class
            case Gap(reason):
                if began_at:
                    yield f"here the record has a gap: {reason}"
                balancer = None
            case SettingsChange():
                if balancer is not None:
                    balancer.adopt(item.settings)
            case Step():
                if balancer is None:
                    continue
                observation.lines, observation.current = [], None
                actions = balancer.handle(item.at, item.event)
                if observation.lines or _concerns(request_id, item.event, actions):
                    began_at = began_at or item.at
                    yield from _step_lines(item, actions, observation, began_at)


def _concerns(request_id: int, event: Any, actions: Iterable[Any]) -> bool:
    """Whether an event or an action that answered it names the request."""
    return any(request_id in records.names(each) for each in (event, *actions))


def _step_lines(
    step: Step, actions: Iterable[Any], observation: _Observation, began_at: float
) -> Iterator[str]:
    """One step in words: the event, what the module did by it, and its actions.

    Actions that name no request (timers, health checks) are shown, since they may be this request's.
    """
    yield f"{step.at - began_at:9.4f} s  {in_one_line(step.event)}"
    yield from (f"             {line}" for line in observation.lines)
    for action in actions:
        request_id = getattr(action, "request_id", observation.request_id)
        if request_id == observation.request_id and not isinstance(action, LogMessage):
            yield f"             -> {in_one_line(action)}"
