"""What a capture tells of the world behind it, whatever the module decided then. No I/O.

Lists, arrivals and clients' own ends are nobody's decision and hold for every module. What a server would
have said to an attempt that was not made is not in the record; what it said to others, a little before or
after, is. Each answer says how far in time the nearest word of that server was.
"""

from __future__ import annotations

import statistics
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from gradegap import interface as api
from gradegap.capture.replay import Gap, Item, Settings, State, Step

RETURN = 0.4  # s from a MOVE or a break to the client's return, where the record shows none
PROBE_WAIT = 0.25  # s until a probe counts as unanswered, as in the core


class Word(NamedTuple):
    """What a server was heard to say, or not to."""

    at: float
    result: api.Result
    spent: float
    report: Mapping[str, float] | None
    held: int  # connections that this node had there
    probe: bool


@dataclass(slots=True)
class Client:
    """One that came of its own accord."""

    request: api.Request
    at: float
    first: str = ""  # the server that its first attempt went to, in the record
    lasts: float | None = None  # clock at which it ended its connection itself, or gave up; None: it did not
    times: int = 1  # that it came in all, for one connection


@dataclass(slots=True)
class Evidence:
    start: dict[str, Any] = field(default_factory=dict)
    began: float = 0.0
    ended: float = 0.0
    lists: list[tuple[float, api.ServerList]] = field(default_factory=list)
    others: list[tuple[float, Any]] = field(default_factory=list)  # that the node leaves, or stays
    adopted: list[tuple[float, api.Settings]] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)
    inherited: list[tuple[float, api.Inherited]] = field(default_factory=list)
    words: dict[str, list[Word]] = field(default_factory=lambda: defaultdict(list))
    breaks: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    returns: float = RETURN
    up_takes: float = 0.005  # s that an attempt which stands takes
    gaps: list[str] = field(default_factory=list)

    def nearest(self, server: str, at: float) -> Word | None:
        """The word of that server that is nearest in time; an attempt's own wins over a probe's as near."""
        said = self.words.get(server)
        if not said:
            return None
        k = bisect_left(said, at, key=lambda w: w.at)
        near = said[max(0, k - 2) : k + 2]
        return min(near, key=lambda w: abs(w.at - at) + (0.05 if w.probe else 0.0))

    def last_report(self, server: str, at: float) -> Word | None:
        """The nearest word with a report."""
        said = self.words.get(server, [])
        k = bisect_left(said, at, key=lambda w: w.at)
        found = None
        for w in (*said[max(0, k - 12) : k][::-1], *said[k : k + 12]):
            if w.report is not None and (found is None or abs(w.at - at) < abs(found.at - at)):
                found = w
        return found


def gathered(source: Iterable[Item]) -> Evidence:
    """All that the record is evidence of. What comes behind a gap is left out: it began unseen."""
    e = Evidence()
    asked: dict[str, Client] = {}  # clients' keys, with who came by them first
    by_id: dict[int, Client] = {}
    out: dict[int, tuple[str, float]] = {}
    standing: dict[int, str] = {}
    moved: set[int] = set()
    left_at: dict[str, float] = {}  # clients' keys, with when they were moved or broke
    held: dict[str, int] = defaultdict(int)
    probing: dict[str, float] = {}
    delays: list[float] = []
    takes: list[float] = []
    for item in source:
        match item:
            case State():
                e.start = e.start or item.start
                e.began = e.began or item.at
            case Gap(why):
                e.gaps.append(why)
                break
            case Settings():
                e.adopted.append((item.at, item.settings))
            case Step(at=at, event=event, actions=actions):
                e.began = e.began or at
                e.ended = at
                match event:
                    case api.ServerList():
                        e.lists.append((at, event))
                    case api.Leaving() | api.Returned():
                        e.others.append((at, event))
                    case api.Inherited():
                        e.inherited.append((at, event))
                        standing[event.request.id] = event.server
                        held[event.server] += 1
                    case api.Request():
                        before = asked.get(event.key) if event.key else None
                        if before is not None and (event.retry or event.reconnect):
                            before.times += 1
                            before.lasts = None
                            by_id[event.id] = before
                            if (gone := left_at.pop(event.key, None)) is not None:
                                delays.append(at - gone)
                        else:
                            made = by_id[event.id] = Client(event, at)
                            e.clients.append(made)
                            if event.key:
                                asked[event.key] = made
                    case api.Established():
                        sent = out.pop(event.id, (event.server, at))
                        standing[event.id] = event.server
                        word = Word(sent[1], api.Result.OK, event.spent, None, held[event.server], False)
                        e.words[event.server].append(word)
                        held[event.server] += 1
                        takes.append(event.spent)
                    case api.Outcome():
                        _ended(e, at, event, out, standing, moved, held, by_id, left_at)
                    case api.ProbeResult():
                        sent_at = probing.pop(event.server, at)
                        if event.result is not api.Result.FULL:  # the core's word, not the server's
                            word = Word(
                                sent_at, event.result, event.spent, event.report, held[event.server], True
                            )
                            e.words[event.server].append(word)
                    case _:
                        pass
                for a in actions:
                    match a:
                        case api.Send():
                            out[a.id] = (a.server, at)
                            client = by_id.get(a.id)
                            if client is not None and not client.first:
                                client.first = a.server
                        case api.Move():
                            moved.add(a.id)
                        case api.Refuse() | api.Fail():
                            # Unless it comes again, this was its last word.
                            if (turned := by_id.get(a.id)) is not None:
                                turned.lasts = at
                        case api.Probe():
                            probing[a.server] = at
                        case _:
                            pass
    for said in e.words.values():
        said.sort(key=lambda w: w.at)
    if delays:
        e.returns = statistics.median(delays)
    if takes:
        e.up_takes = statistics.median(takes)
    return e


def _ended(
    e: Evidence,
    at: float,
    event: api.Outcome,
    out: dict[int, tuple[str, float]],
    standing: dict[int, str],
    moved: set[int],
    held: dict[str, int],
    by_id: dict[int, Client],
    left_at: dict[str, float],
) -> None:
    server = standing.pop(event.id, None)
    if server is None:
        sent = out.pop(event.id, (event.server, at))
        if event.result not in (api.Result.MOOT, api.Result.CANCELLED):  # these are the node's own
            word = Word(sent[1], event.result, event.spent, event.report, held[event.server], False)
            e.words[event.server].append(word)
        return
    held[server] -= 1
    client = by_id.get(event.id)
    if event.result is api.Result.RESET and event.id not in moved:
        e.breaks[server].append(at)
    if client is None:
        return
    if event.id in moved or event.result is api.Result.RESET:
        left_at[client.request.key] = at
    else:
        client.lasts = at
