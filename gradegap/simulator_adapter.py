"""Runs the balancers of many proxies for the simulator, over standard input and output. No decision logic.

Protocol: lines of tab-separated `name=value` fields. A batch of events on standard input starts with `batch`
and ends with `flush`. The reply to each batch on standard output ends with `end`. The instances of one
process share only the numbered endpoint lists (`sheet`), which are sent once for all instances. Times are in
nanoseconds in the protocol and in seconds in this program.
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
LOAD_PER_MICRO_LOAD = 1e-6  # the protocol encodes loads of connections in millionths
SECONDS_PER_MILLISECOND = 1e-3
MAX_QUOTED_LINE_LENGTH = 200  # characters of a malformed line that its error message quotes
EXIT_MALFORMED = 2

TOPIC_LOAD, TOPIC_MESSAGE_DELAY = "1", "2"  # topics of a `status_note` line


class MalformedInputError(ValueError):
    """Input that violates the protocol: the simulator and this adapter have incompatible versions."""


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
        return ConnectionObserved(request_id, endpoint, load=value * LOAD_PER_MICRO_LOAD)
    if fields["Topic"] == TOPIC_MESSAGE_DELAY:
        return ConnectionObserved(request_id, endpoint, message_delay=value * SECONDS_PER_MILLISECOND)
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
    """Returns the line that reports an exception in a balancer: its type, place and text."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename.rsplit('/', 1)[-1]}:{frames[-1].lineno}" if frames else "?"
    text = " ".join(f"{type(error).__name__} at {place}: {error}".split())
    return f"fault\tBodyText={text}"


class InstanceHost:
    """All balancers of one process by instance number, and the endpoint lists that they share."""

    def __init__(self) -> None:
        self.instances: dict[str, Balancer] = {}
        self.endpoint_lists: dict[str, tuple[EndpointEntry, ...]] = {}
        self._line = ""  # the input line that is being parsed

    def answer_batch(self, first: str, lines: Iterator[str]) -> list[str]:
        """Handles one batch and returns the lines of the reply.

        Args:
            first: The first line of the batch.
            lines: The following lines of the input.

        Raises:
            MalformedInputError: The input violates the protocol.
        """
        self._line = first
        try:
            return self._answer_batch(first, lines)
        except MalformedInputError as error:
            raise self._malformed(str(error)) from None
        except KeyError as error:
            raise self._malformed(f"missing field or unknown value {error}") from None
        except (ValueError, IndexError) as error:
            raise self._malformed(str(error)) from None

    def _malformed(self, reason: str) -> MalformedInputError:
        return MalformedInputError(f"{reason} in line {self._line[:MAX_QUOTED_LINE_LENGTH]!r}")

    def _answer_batch(self, first: str, lines: Iterator[str]) -> list[str]:
        if first.split("\t", maxsplit=1)[0] != "batch":
            raise MalformedInputError("a batch must start with 'batch'")
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
        raise MalformedInputError("input ended within a batch")

    def _read_endpoint_list(self, line: str, lines: Iterator[str]) -> None:
        fields = _parse_fields(line)
        entries = []
        for _ in range(int(fields["MembersList"])):
            raw = next(lines, None)
            if raw is None:
                raise MalformedInputError("input ended within a batch")
            self._line = raw.rstrip("\r\n")
            if self._line.split("\t", 1)[0] != "server":
                raise MalformedInputError("a sheet has fewer entries than its MembersList field announces")
            entries.append(_parse_entry(self._line))
        self.endpoint_lists[fields["Ref"]] = tuple(entries)

    def _handle_event(self, instance: str | None, name: str, line: str, now: float) -> list[str]:
        """Passes one event to an instance and returns the lines of its actions."""
        if instance is None:
            raise MalformedInputError("an event must follow a 'to' line that names its instance")
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
            raise MalformedInputError(f"instance {instance} has not been started by a 'begin' line")
        try:
            return [FORMATTERS[type(action)](action) for action in balancer.handle(now, event)]
        except Exception as error:  # a fault of one balancer must not stop the others
            return [_format_fault(error)]

    def _begin(self, instance: str, line: str) -> list[str]:
        fields = _parse_fields(line)
        seed, settings = int(fields["Seed"]), read(fields)
        self.instances.pop(instance, None)
        try:
            self.instances[instance] = Balancer(Settings(**settings), seed)
        except Exception as error:  # invalid settings
            return [_format_fault(error)]
        return []

    def _parse_event(self, name: str, line: str) -> Event | None:
        """Returns the event of a line; None for an event of a later version of the protocol."""
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
    """Answers batches until the input ends.

    Malformed input ends the process with exit status 2 and one line on standard error.
    """
    host = InstanceHost()
    lines = iter(source.readline, "")
    try:
        for first in lines:
            reply = host.answer_batch(first.rstrip("\r\n"), lines)
            reply.append("end\n")
            sink.write("\n".join(reply))
            sink.flush()
    except UnicodeDecodeError as error:
        _exit_malformed(f"input is not valid UTF-8: {error}")
    except MalformedInputError as error:
        _exit_malformed(str(error))


def main() -> None:
    """Serves the simulator on standard input and output."""
    gc.disable()  # a collection would delay a random instance; instances have few reference cycles
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    serve(sys.stdin, sys.stdout)


if __name__ == "__main__":
    main()
