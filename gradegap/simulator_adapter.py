"""Hosts many instances of the decisions on the simulator's wire; decides nothing.

Batches of events come on standard input, one reply a batch goes to standard output. Instances
share only the numbered `sheet` lists, which the wire sends once for all of them.
"""

from __future__ import annotations

import gc
import sys
import traceback
from collections.abc import Callable, Iterator
from typing import Any, NoReturn, TextIO

from gradegap.balancing.actions import (
    CheckHealth,
    Fail,
    Forward,
    LogMessage,
    Migrate,
    Reject,
    SetTimer,
    WatchEndpoints,
)
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    ConnectionObserved,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    Event,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from gradegap.balancing.settings import Settings
from gradegap.balancing.settings_reader import NS, Fields, read, report

RESULTS = {str(int(r)): r for r in AttemptResult}
KINDS = {str(int(k)): k for k in EndpointListKind}
PHASES = {str(int(p)): p for p in EndpointPhase}


class Malformed(Exception):
    """A line of the wire that cannot be read."""


def _request(f: Fields) -> RequestArrived:
    get = f.get
    return RequestArrived(
        int(f["Tid"]),
        f["Service"],
        int(f["DeadlineNs"]) * NS,
        get("Tenant", ""),
        get("RouteKey", ""),
        get("TeamId", ""),
        float(get("WorkNs", 0)) * NS,
        get("Retry") == "1",
        get("MidFlow") == "1",
        get("Reconnect") == "1",
    )


def _note(f: Fields) -> ConnectionObserved:
    value = float(f["Value"])
    if f["Topic"] == "1":
        return ConnectionObserved(int(f["Tid"]), f["Server"], load=value * 1e-6)
    if f["Topic"] == "2":
        return ConnectionObserved(int(f["Tid"]), f["Server"], message_delay=value * 1e-3)
    return ConnectionObserved(int(f["Tid"]), f["Server"])


READERS: dict[str, Callable[[Fields], Event]] = {
    "demand": _request,
    "inherited": lambda f: ConnectionInherited(_request(f), f["Server"]),
    "under_way": lambda f: ConnectionEstablished(
        int(f["Tid"]), int(f["Go"]), f["Server"], int(f["SpentNs"]) * NS
    ),
    "status_note": _note,
    "report_back": lambda f: AttemptEnded(
        int(f["Tid"]),
        int(f["Go"]),
        f["Server"],
        RESULTS[f["StateCode"]],
        int(f.get("SpentNs", 0)) * NS,
        f.get("Settled") == "1",
        report(f.get("ServerStats")),
    ),
    "timed_out_client": lambda f: ClientDisconnected(int(f["Tid"])),
    "reminder": lambda f: TimerFired(f["Ctx"]),
    "probe_done": lambda f: HealthCheckEnded(
        f["Server"], RESULTS[f["StateCode"]], int(f.get("SpentNs", 0)) * NS, report(f.get("ServerStats"))
    ),
}


def _entry(line: str) -> EndpointEntry:
    f = _fields(line)
    return EndpointEntry(
        f["Server"],
        f.get("Site", ""),
        int(f.get("Cluster", 0)),
        PHASES[f["Phase"]],
        float(f.get("Share", 1)),
        int(f.get("BootTimeNs", 0)) * NS,
    )


def _fields(line: str) -> Fields:
    return dict([part.split("=", 1) for part in line.split("\t")[1:]])


def _ns(seconds: float) -> int:
    return round(seconds * 1e9)


def _refuse(a: Any) -> str:
    after = f"\tRetryAfterNs={_ns(a.retry_after)}" if a.retry_after > 0 else ""
    return f"push_back\tTid={a.request_id}{after}"


WRITERS: dict[type, Callable[[Any], str]] = {
    Forward: lambda a: f"route\tTid={a.request_id}\tServer={a.endpoint}\tTimeoutNs={_ns(a.timeout)}",
    Reject: _refuse,
    Fail: lambda a: f"error\tTid={a.request_id}",
    Migrate: lambda a: f"migrate\tTid={a.request_id}",
    SetTimer: lambda a: f"wake_at\tWaitNs={_ns(a.delay)}\tCtx={a.token}",
    CheckHealth: lambda a: f"sample\tServer={a.endpoint}",
    WatchEndpoints: lambda a: "subscribe\tWant=1",
    LogMessage: lambda a: "print\tBodyText=" + " ".join(a.text.split()),
}


def _fault(error: Exception) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename.rsplit('/', 1)[-1]}:{frames[-1].lineno}" if frames else "?"
    text = " ".join(f"{type(error).__name__} at {place}: {error}".split())
    return f"fault\tBodyText={text}"


class Host:
    """All instances of one process."""

    def __init__(self) -> None:
        self.instances: dict[str, Balancer] = {}
        self.sheets: dict[str, tuple[EndpointEntry, ...]] = {}

    def event(self, who: str | None, name: str, line: str, now: float) -> list[str]:
        """One event to one instance; the lines of its actions."""
        if who is None:
            raise Malformed("an event before any 'to' line")
        if name == "begin":
            f = _fields(line)
            seed, known = int(f["Seed"]), read(f)
            self.instances.pop(who, None)
            try:
                self.instances[who] = Balancer(Settings(**known), seed)
            except Exception as error:  # settings that the decisions cannot work with
                return [_fault(error)]
            return []
        if name == "destroy":
            self.instances.pop(who, None)
            return []
        if name != "backends_changed" and name not in READERS:
            return []  # an event of a later wire
        event: Event
        f = _fields(line)
        if name == "backends_changed":
            kind = KINDS[f["Kind"]]
            event = EndpointList(kind, () if kind is EndpointListKind.FAILED else self.sheets[f["Ref"]])
        else:
            event = READERS[name](f)
        instance = self.instances.get(who)
        if instance is None:
            raise Malformed(f"instance {who} has not begun")
        try:
            return [WRITERS[type(a)](a) for a in instance.handle(now, event)]
        except Exception as error:
            return [_fault(error)]

    def batch(self, first: str, lines: Iterator[str]) -> list[str]:
        """One batch, from its first line on; the lines of the reply."""
        reply: list[str] = []
        line = first
        try:
            head = first.split("\t")
            if head[0] != "batch":
                raise Malformed("a batch must begin with 'batch'")
            now = int(_fields(first)["TNs"]) * NS
            who: str | None = None
            spoke: str | None = None
            for line in lines:
                line = line.rstrip("\r\n")
                name = line.split("\t", 1)[0]
                if name == "flush":
                    return reply
                if name == "to":
                    who = str(int(_fields(line)["Who"]))
                elif name == "sheet":
                    f = _fields(line)
                    entries = []
                    for _ in range(int(f["MembersList"])):
                        line = next(lines).rstrip("\r\n")
                        if line.split("\t", 1)[0] != "server":
                            raise Malformed("a sheet holds fewer entries than it says")
                        entries.append(_entry(line))
                    self.sheets[f["Ref"]] = tuple(entries)
                else:
                    said = self.event(who, name, line, now)
                    if said:
                        if who != spoke:
                            reply.append(f"as\tWho={who}")
                            spoke = who
                        reply += said
            raise Malformed("input ended inside a batch")
        except StopIteration:
            raise Malformed("input ended inside a batch") from None
        except Malformed as error:
            raise Malformed(f"{error} in line {line[:200]!r}") from None
        except KeyError as error:
            raise Malformed(f"missing or unknown {error} in line {line[:200]!r}") from None
        except (ValueError, IndexError) as error:
            raise Malformed(f"{error} in line {line[:200]!r}") from None


def _die(text: str) -> NoReturn:
    sys.stderr.write(f"wirehost: {text}\n")
    sys.stderr.flush()
    raise SystemExit(2)


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    lines = iter(source.readline, "")
    try:
        for first in lines:
            reply = host.batch(first.rstrip("\r\n"), lines)
            reply.append("end\n")
            sink.write("\n".join(reply))
            sink.flush()
    except Malformed as error:
        _die(f"malformed input: {error}")
    except UnicodeDecodeError as error:
        _die(f"malformed input: not UTF-8: {error}")


def main() -> None:
    gc.disable()  # instances hold few cycles, and a sweep would be charged to whoever it hits
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    serve(sys.stdin, sys.stdout)


if __name__ == "__main__":
    main()
