"""Explains why a request was placed on its endpoint, by a replay with an observer.

The node does not record the intermediate steps of a decision, because a replay reproduces them: the decision
module takes the same decisions as in the node and reports their steps to an observer
(`gradegap.balancing.observer`).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from types import ModuleType

from gradegap.balancing.actions import Action, LogMessage
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import Event
from gradegap.balancing.model import Endpoint, Request
from gradegap.capture import records
from gradegap.capture.description import in_one_line
from gradegap.capture.recording import Gap, Item, SettingsChange, State, Step
from gradegap.capture.replay import begin
from gradegap.capture.schema import BALANCER, ENDPOINT, REQUEST


def _describe_endpoint(balancer: Balancer, endpoint: Endpoint | None, request: Request) -> str:
    """Describes an endpoint that was drawn, with its estimated load and the age of its report."""
    if endpoint is None:
        return "nobody"
    load = balancer.load_estimates.comparable_load(endpoint, request)
    shown = "no load known" if load is None else f"{load:.4f}"
    seen_at = ENDPOINT.get(endpoint, "report_changed_at")
    age = f" {BALANCER.get(balancer, 'now') - seen_at:.3f} s old" if seen_at > 0 else ""
    return f"{ENDPOINT.get(endpoint, 'name')} ({shown}{age})"


class _Observation:
    """A `DecisionObserver` that collects the decision steps of one request as lines of text."""

    def __init__(self, request_id: int) -> None:
        self.request_id = request_id
        self.balancer: Balancer | None = None
        self.lines: list[str] = []

    def draw_started(self, request: Request) -> None:
        """Called before a pair of candidates is drawn."""
        again = bool(REQUEST.get(request, "attempted_endpoints"))
        self._add(request, "draws another pair" if again else "draws a pair")

    def endpoint_drawn(self, request: Request, endpoint: Endpoint | None) -> None:
        """Called after one candidate was drawn."""
        if self.balancer is not None and self._is_observed(request):
            self._add(request, f"  drew {_describe_endpoint(self.balancer, endpoint, request)}")

    def pair_compared(self, request: Request, beta: float, older_age: float) -> None:
        """Called before the candidates are compared, with probability `beta`; `older_age` is in s."""
        line = f"  compares with probability {beta:.4f}, the older load is {older_age:.3f} s old"
        self._add(request, line)

    def headroom_checked(self, request: Request, endpoint: Endpoint, has_headroom: bool) -> None:
        """Called after a check whether an endpoint has room for the request."""
        name = ENDPOINT.get(endpoint, "name")
        self._add(request, f"  {name} {'has room' if has_headroom else 'has no room'}")

    def request_forwarded(self, request: Request, endpoint: Endpoint) -> None:
        """Called after an attempt was sent."""
        name, attempt = ENDPOINT.get(endpoint, "name"), REQUEST.get(request, "attempts")
        self._add(request, f"  kept {name}, attempt {attempt}")

    def request_postponed(self, request: Request) -> None:
        """Called when no attempt may be sent at present."""
        self._add(request, "  no endpoint may receive an attempt now")

    def request_answered(self, request: Request) -> None:
        """Called after the request got its final answer."""
        self._add(request, "  given up")

    def _is_observed(self, request: Request) -> bool:
        return bool(REQUEST.get(request, "id") == self.request_id)

    def _add(self, request: Request, line: str) -> None:
        if self._is_observed(request):
            self.lines.append(line)


def explain(source: Iterable[Item], module: ModuleType, request_id: int) -> Iterator[str]:
    """Yields the decisions about a request as lines of text; none if the recording lacks the request.

    Raises `BadStateError` for a recorded state that does not fit the module.
    """
    observation = _Observation(request_id)
    balancer: Balancer | None = None
    began_at = 0.0
    for item in source:
        match item:
            case State():
                if balancer is None:
                    balancer = observation.balancer = begin(module, item)
                    balancer.observe(observation)
            case Gap(reason):
                if began_at:
                    yield f"the recording has a gap here: {reason}"
                balancer = None
            case SettingsChange():
                if balancer is not None:
                    balancer.adopt(item.settings)
            case Step():
                if balancer is None:
                    continue
                observation.lines = []
                actions = balancer.handle(item.at, item.event)
                if observation.lines or _concerns(request_id, item.event, actions):
                    began_at = began_at or item.at
                    yield from _step_lines(item, actions, observation, began_at)


def _concerns(request_id: int, event: Event, actions: Iterable[Action]) -> bool:
    """Whether the event, or one of the actions returned for it, names the request."""
    return any(request_id in records.names(record) for record in (event, *actions))


def _step_lines(
    step: Step, actions: Iterable[Action], observation: _Observation, began_at: float
) -> Iterator[str]:
    """Describes one step: the event, the decision steps and the actions.

    Actions that name no request (timers, health checks) are shown, since the request that is explained may
    have caused them.
    """
    yield f"{step.at - began_at:9.4f} s  {in_one_line(step.event)}"
    yield from (f"             {line}" for line in observation.lines)
    for action in actions:
        request_id = getattr(action, "request_id", observation.request_id)
        if request_id == observation.request_id and not isinstance(action, LogMessage):
            yield f"             -> {in_one_line(action)}"
