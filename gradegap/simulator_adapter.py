"""Runs many balancers on the simulator's wire; decides nothing.

Lines of tab-separated `name=value` fields. A batch of events comes on standard input, from `batch` to
`flush`, and one reply for each goes to standard output, ended by `end`. The instances of one process share
only the numbered endpoint lists (`sheet`), sent once for all of them. Times on the wire are in ns, here in s.
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
from gradegap.balancing.settings_reader import SECONDS_PER_NANOSECOND, Fields, parse_report, read

RESULTS = {str(int(result)): result for result in AttemptResult}
LIST_KINDS = {str(int(kind)): kind for kind in EndpointListKind}
PHASES = {str(int(phase)): phase for phase in EndpointPhase}
NS_PER_S = 1e9
LOAD_UNIT = 1e-6  # of a load that a connection is said to make
MS = 1e-3  # s
SHOWN_OF_LINE = 200  # characters of a malformed line that its error shows
EXIT_MALFORMED = 2

TOPIC_LOAD, TOPIC_MESSAGE_DELAY = "1", "2"  # of a status note


class MalformedInputError(ValueError):
    """Input that breaks the wire's rules: the simulator and this adapter are of different versions."""


def _parse_fields(line: str) -> Fields:
    return dict([part.split("=", 1) for part in line.split("\t")[1:]])


def _parse_request(fields: Fields) -> RequestArrived:
    get = fields.get
    return RequestArrived(
        int(fields["Tid"]),
        fields["Service"],
        int(fields["DeadlineNs"]) * SECONDS_PER_NANOSECOND,
        get("Tenant", ""),
        get("RouteKey", ""),
        get("TeamId", ""),
        float(get("WorkNs", 0)) * SECONDS_PER_NANOSECOND,
        get("Retry") == "1",
        get("MidFlow") == "1",
        get("Reconnect") == "1",
    )


def _parse_inherited(fields: Fields) -> ConnectionInherited:
    return ConnectionInherited(_parse_request(fields), fields["Server"])


def _parse_established(fields: Fields) -> ConnectionEstablished:
    return ConnectionEstablished(
        int(fields["Tid"]),
        int(fields["Go"]),
        fields["Server"],
        int(fields["SpentNs"]) * SECONDS_PER_NANOSECOND,
    )


def _parse_observation(fields: Fields) -> ConnectionObserved:
    value = float(fields["Value"])
    request_id, endpoint = int(fields["Tid"]), fields["Server"]
    if fields["Topic"] == TOPIC_LOAD:
        return ConnectionObserved(request_id, endpoint, load=value * LOAD_UNIT)
    if fields["Topic"] == TOPIC_MESSAGE_DELAY:
        return ConnectionObserved(request_id, endpoint, message_delay=value * MS)
    return ConnectionObserved(request_id, endpoint)


def _parse_attempt_end(fields: Fields) -> AttemptEnded:
    return AttemptEnded(
        int(fields["Tid"]),
        int(fields["Go"]),
        fields["Server"],
        RESULTS[fields["StateCode"]],
        int(fields.get("SpentNs", 0)) * SECONDS_PER_NANOSECOND,
        fields.get("Settled") == "1",
        parse_report(fields.get("ServerStats")),
    )


def _parse_health_check_end(fields: Fields) -> HealthCheckEnded:
    return HealthCheckEnded(
        fields["Server"],
        RESULTS[fields["StateCode"]],
        int(fields.get("SpentNs", 0)) * SECONDS_PER_NANOSECOND,
        parse_report(fields.get("ServerStats")),
    )


PARSERS: dict[str, Callable[[Fields], Event]] = {
    "demand": _parse_request,
    "inherited": _parse_inherited,
    "under_way": _parse_established,
    "status_note": _parse_observation,
    "report_back": _parse_attempt_end,
    "timed_out_client": lambda fields: ClientDisconnected(int(fields["Tid"])),
    "reminder": lambda fields: TimerFired(fields["Ctx"]),
    "probe_done": _parse_health_check_end,
}


def _parse_entry(line: str) -> EndpointEntry:
    fields = _parse_fields(line)
    return EndpointEntry(
        fields["Server"],
        fields.get("Site", ""),
        int(fields.get("Cluster", 0)),
        PHASES[fields["Phase"]],
        float(fields.get("Share", 1)),
        int(fields.get("BootTimeNs", 0)) * SECONDS_PER_NANOSECOND,
    )


def _ns(seconds: float) -> int:
    return round(seconds * NS_PER_S)


def _format_forward(action: Forward) -> str:
    return f"route\tTid={action.request_id}\tServer={action.endpoint}\tTimeoutNs={_ns(action.timeout)}"


def _format_reject(action: Reject) -> str:
    after = f"\tRetryAfterNs={_ns(action.retry_after)}" if action.retry_after > 0 else ""
    return f"push_back\tTid={action.request_id}{after}"


FORMATTERS: dict[type, Callable[[Any], str]] = {
    Forward: _format_forward,
    Reject: _format_reject,
    Fail: lambda action: f"error\tTid={action.request_id}",
    Migrate: lambda action: f"migrate\tTid={action.request_id}",
    SetTimer: lambda action: f"wake_at\tWaitNs={_ns(action.delay)}\tCtx={action.token}",
    CheckHealth: lambda action: f"sample\tServer={action.endpoint}",
    WatchEndpoints: lambda action: "subscribe\tWant=1",
    LogMessage: lambda action: "print\tBodyText=" + " ".join(action.text.split()),
}


def _format_fault(error: Exception) -> str:
    """The line for an error in a balancer: its type, place and text."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename.rsplit('/', 1)[-1]}:{frames[-1].lineno}" if frames else "?"
    text = " ".join(f"{type(error).__name__} at {place}: {error}".split())
    return f"fault\tBodyText={text}"


class InstanceHost:
    """All balancers of one process, by the simulator's numbers, and the endpoint lists that they share."""

    def __init__(self) -> None:
        self.instances: dict[str, Balancer] = {}
        self.endpoint_lists: dict[str, tuple[EndpointEntry, ...]] = {}
        self._line = ""  # the one that is being read

    def answer_batch(self, first: str, lines: Iterator[str]) -> list[str]:
        """Read one batch, from its first line on; the lines of the reply. Raises `MalformedInputError`."""
        self._line = first
        try:
            return self._answer_batch(first, lines)
        except MalformedInputError as error:
            raise self._malformed(str(error)) from None
        except KeyError as error:
            raise self._malformed(f"missing or unknown {error}") from None
        except (ValueError, IndexError) as error:
            raise self._malformed(str(error)) from None

    def _malformed(self, reason: str) -> MalformedInputError:
        return MalformedInputError(f"{reason} in line {self._line[:SHOWN_OF_LINE]!r}")

    def _answer_batch(self, first: str, lines: Iterator[str]) -> list[str]:
        if first.split("\t", maxsplit=1)[0] != "batch":
            raise MalformedInputError("a batch must begin with 'batch'")
        now = int(_parse_fields(first)["TNs"]) * SECONDS_PER_NANOSECOND
        reply: list[str] = []
        instance: str | None = None
        answered_as: str | None = None
        for raw in lines:
            self._line = line = raw.rstrip("\r\n")
            name = line.split("\t", 1)[0]
            if name == "flush":
                return reply
            if name == "to":
                instance = str(int(_parse_fields(line)["Who"]))
            elif name == "sheet":
                self._read_endpoint_list(line, lines)
            else:
                actions = self._handle_event(instance, name, line, now)
                if actions and instance != answered_as:
                    reply.append(f"as\tWho={instance}")
                    answered_as = instance
                reply += actions
        raise MalformedInputError("input ended inside a batch")

    def _read_endpoint_list(self, line: str, lines: Iterator[str]) -> None:
        fields = _parse_fields(line)
        entries = []
        for _ in range(int(fields["MembersList"])):
            raw = next(lines, None)
            if raw is None:
                raise MalformedInputError("input ended inside a batch")
            self._line = raw.rstrip("\r\n")
            if self._line.split("\t", 1)[0] != "server":
                raise MalformedInputError("a sheet holds fewer entries than it says")
            entries.append(_parse_entry(self._line))
        self.endpoint_lists[fields["Ref"]] = tuple(entries)

    def _handle_event(self, instance: str | None, name: str, line: str, now: float) -> list[str]:
        """One event to one instance; the lines of its actions."""
        if instance is None:
            raise MalformedInputError("an event before any 'to' line")
        if name == "begin":
            return self._begin(instance, line)
        if name == "destroy":
            self.instances.pop(instance, None)
            return []
        event = self._parse_event(name, line)
        if event is None:
            return []
        balancer = self.instances.get(instance)
        if balancer is None:
            raise MalformedInputError(f"instance {instance} has not begun")
        try:
            return [FORMATTERS[type(action)](action) for action in balancer.handle(now, event)]
        except Exception as error:  # whatever goes wrong in one balancer, the others go on
            return [_format_fault(error)]

    def _begin(self, instance: str, line: str) -> list[str]:
        fields = _parse_fields(line)
        seed, settings = int(fields["Seed"]), read(fields)
        self.instances.pop(instance, None)
        try:
            self.instances[instance] = Balancer(Settings(**settings), seed)
        except Exception as error:  # settings that a balancer can't work with
            return [_format_fault(error)]
        return []

    def _parse_event(self, name: str, line: str) -> Event | None:
        """The event of a line; None for one of a later version of the wire."""
        parse = PARSERS.get(name)
        if parse is not None:
            return parse(_parse_fields(line))
        if name != "backends_changed":
            return None
        fields = _parse_fields(line)
        kind = LIST_KINDS[fields["Kind"]]
        entries = () if kind is EndpointListKind.FAILED else self.endpoint_lists[fields["Ref"]]
        return EndpointList(kind, entries)


def _exit_malformed(reason: str) -> NoReturn:
    sys.stderr.write(f"simulator adapter: malformed input: {reason}\n")
    sys.stderr.flush()
    raise SystemExit(EXIT_MALFORMED)


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends; malformed input ends the process with status 2 and one line."""
    host = InstanceHost()
    lines = iter(source.readline, "")
    try:
        for first in lines:
            reply = host.answer_batch(first.rstrip("\r\n"), lines)
            reply.append("end\n")
            sink.write("\n".join(reply))
            sink.flush()
    except UnicodeDecodeError as error:
        _exit_malformed(f"not UTF-8: {error}")
    except MalformedInputError as error:
        _exit_malformed(str(error))


def main() -> None:
    """Serve the simulator on standard input and output."""
    gc.disable()  # instances hold few cycles, and a collection would be charged to whoever it hits
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    serve(sys.stdin, sys.stdout)


if __name__ == "__main__":
    main()
