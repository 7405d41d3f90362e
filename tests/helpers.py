"""A small driver: one balancer, its clock, and shorthand for the events it is fed."""

from __future__ import annotations

from typing import Any

from gradegap import interface as api
from gradegap.choice import Balancer

CLASS = api.ClassSettings("live", aim=0.5, limit=2.0, worth=1.0)


def settings(**changes: Any) -> api.Settings:
    base: dict[str, Any] = {
        "classes": {"live": CLASS},
        "balancers": 10,
        "max_attempts": 3,
        "max_retry_after": 2.0,
        "reports": api.Reports.PROBE,
        "report_fields": ("x0", "inflight"),
        "cold_share": 0.3,
        "cold_time": 10.0,
        "drain_grace": 1.0,
    }
    return api.Settings(**(base | changes))


class Driver:
    """Feeds events to one balancer and keeps what it did."""

    def __init__(self, servers: int = 6, seed: int = 1, **changes: Any) -> None:
        self.set = settings(**changes)
        self.balancer = Balancer(self.set, seed)
        self.now = 100.0
        self.log: list[tuple[float, api.Action]] = []
        self.next_id = 0
        self.probes = 0
        entries = tuple(api.ServerEntry(f"s{i}", zone="a" if i % 2 else "b") for i in range(servers))
        self.feed(api.ServerList(api.ListKind.CACHED, entries))

    def feed(self, event: api.Event, after: float = 0.0) -> list[api.Action]:
        self.now += after
        actions = self.balancer.handle(self.now, event)
        self.log += [(self.now, a) for a in actions]
        return actions

    def request(self, after: float = 0.0, **changes: Any) -> list[api.Action]:
        self.next_id += 1
        self.now += after
        fields: dict[str, Any] = {"id": self.next_id, "cls": "live", "deadline_at": self.now + 2.0} | changes
        return self.feed(api.Request(**fields))

    def probed(self, server: str, x0: float, inflight: float = 5.0) -> list[api.Action]:
        self.probes += 1  # reports are never quite the same twice
        report = {"x0": x0 * (1.0 + 1e-9 * self.probes), "inflight": inflight}
        return self.feed(api.ProbeResult(server, api.Result.OK, 0.001, report))

    def answer_probes(self, actions: list[api.Action], x0: Any, inflight: float = 5.0) -> list[api.Action]:
        """Answer every probe, and those that follow, with the load `x0` gives; all other actions."""
        rest: list[api.Action] = []
        todo = list(actions)
        while todo:
            action = todo.pop(0)
            if isinstance(action, api.Probe):
                todo += self.probed(action.server, x0(action.server) if callable(x0) else x0, inflight)
            else:
                rest.append(action)
        return rest

    def outcome(self, send: api.Send, result: api.Result, settled: bool = False) -> list[api.Action]:
        return self.feed(api.Outcome(send.id, 0, send.server, result, 0.01, settled))

    def stand(self, send: api.Send) -> list[api.Action]:
        return self.feed(api.Established(send.id, 0, send.server, 0.01))

    def set_phase(self, server: str, phase: api.Phase, started_at: float = 0.0) -> None:
        entry = api.ServerEntry(server, phase=phase, started_at=started_at)
        self.feed(api.ServerList(api.ListKind.DELTA, (entry,)))


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def finals(actions: list[api.Action]) -> list[api.Action]:
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]
