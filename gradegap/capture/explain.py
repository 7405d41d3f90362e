"""Why a req went where it went: its decisions replayed under watch, in words and figures.

The module runs as it is; a class made from its own `Balancer` notes what its steps were given and gave, so
nothing is recorded at the node that a replay can find out.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from enum import Enum
from types import ModuleType
from typing import Any

from gradegap.balancing.actions import LogMessage
from gradegap.capture import records
from gradegap.capture.replay import Gap, Item, SettingsChange, State, Step, begin

WATCHED = ("_draw", "_pick", "_decide", "_has_room", "beta", "_send", "_wait", "_give_up")


def watched(module: ModuleType, note: Callable[[str, tuple[Any, ...], Any], None]) -> type:
    """The module's `Balancer` with its inner steps told to `note`, as far as it has them."""

    def told(name: str) -> Callable[..., Any]:
        plain = getattr(module.Balancer, name)

        def step(self: Any, *args: Any) -> Any:
            if name == "_draw":
                note(name, args, None)  # before what it leads to
                return plain(self, *args)
            given = plain(self, *args)
            note(name, args, given)
            return given

        return step

    return type("Balancer", (module.Balancer,), {n: told(n) for n in WATCHED if hasattr(module.Balancer, n)})


def figure(balancer: Any, server: Any, req: Any) -> str:
    """A server that was drawn, with the load that it is taken to have."""
    if server is None:
        return "nobody"
    held = balancer._figure(server, req) if hasattr(balancer, "_figure") else server.load
    load = "no figure" if held is None else f"{held:.4f}"
    age = f" {balancer.now - server.seen_at:.3f} s old" if server.seen_at > 0 else ""
    return f"{server.name} ({load}{age})"


class Watch:
    """What the steps of one req said."""

    def __init__(self, req: int) -> None:
        self.req = req
        self.balancer: Any = None
        self.lines: list[str] = []
        self.current: Any = None  # the req that is being decided on

    def note(self, name: str, args: Any, given: Any) -> None:
        """One step of the module: the method, what it was given and what it gave."""
        first: Any = args[0] if args else None
        if hasattr(first, "deadline"):
            self.current = first
        if getattr(self.current, "id", None) != self.req:
            return
        r, b = self.current, self.balancer
        match name:
            case "_draw":
                self.lines.append("draws a pair" if not r.tried else "draws another pair")
            case "_pick":
                self.lines.append(f"  drew {figure(b, given, r)}")
            case "beta":
                self.lines.append(
                    f"  compares with probability {given:.4f}, the older figure {args[0]:.3f} s old"
                )
            case "_has_room":
                self.lines.append(f"  {first.name} {'has room' if given else 'has no room'}")
            case "_decide":
                pass  # what it came to is told by what follows
            case "_send":
                self.lines.append(f"  kept {args[1].name}, attempt {r.attempts}")
            case "_wait":
                self.lines.append("  nothing may be sent to now")
            case "_give_up":
                self.lines.append("  given up")


def explain(source: Iterable[Item], module: ModuleType, req: int) -> Iterator[str]:
    """A req's way, a line each; nothing where the capture does not have it."""
    watch = Watch(req)
    cls = watched(module, watch.note)
    balancer: Any = None
    began = 0.0
    for item in source:
        match item:
            case State():
                if balancer is None:
                    balancer = begin(module, item)
                    balancer.__class__ = cls
                    watch.balancer = balancer
            case Gap(why):
                if began:
                    yield f"here the record has a gap: {why}"
                balancer = None
            case SettingsChange():
                if balancer is not None:
                    balancer.adopt(item.settings)
            case Step():
                if balancer is None:
                    continue
                watch.lines, watch.current = [], None
                did = balancer.handle(item.at, item.event)
                if watch.lines or _concerns(req, item.event, did):
                    began = began or item.at
                    yield from _step_lines(item, did, watch, began)


def _concerns(req: int, event: Any, actions: Iterable[Any]) -> bool:
    """Whether an event or what answered it names the req."""
    return req in records.names(event) or any(getattr(a, "request_id", None) == req for a in actions)


def _step_lines(step: Step, actions: Iterable[Any], watch: Watch, began: float) -> Iterator[str]:
    """One step in words: the event, what the module did by it, and its actions."""
    yield f"{step.at - began:9.4f} s  {told(step.event)}"
    yield from (f"             {line}" for line in watch.lines)
    for action in actions:
        if getattr(action, "request_id", watch.req) == watch.req and not isinstance(action, LogMessage):
            yield f"             -> {told(action)}"


def told(value: Any) -> str:
    """An event or action in one line."""

    def shown(v: Any) -> Any:
        return v.name.lower() if isinstance(v, Enum) else round(v, 4) if isinstance(v, float) else v

    fields = zip(value._fields, value, strict=True)
    said = [f"{name}={shown(v)}" for name, v in fields if v not in (None, "", False)]
    return f"{records.stored_name(value)} {' '.join(said)}"[:400]
