"""Checker of the logs that clients, nodes and servers write about resumable sessions.

    python -m gradegap.verification.sessions LOG [LOG ...]

A log has one JSON object per line, each a `Record`. The records of a file are in the order in which their
writer observed the events. Servers log through the save store that they share, so their records are in one
file and one order. The nodes' own logs are read in their own format (`from_node`). The text of each request
must be unique: it identifies the request of a client at the servers, which know sessions but not clients.
docs/design/resume.md describes the formats.

The rules, each with the word that begins the message of a violation:

- `final`: each request has exactly one final answer, or its client received a reason for its failure;
- `order`: a client receives its answers in the order of its requests, without a gap;
- `twice`: no request ran twice, on one server or on several;
- `lost`: each answered request ran, and the answer is the result of that run;
- `sequence`: the requests of a session ran in the order in which the client sent them, without a gap;
- `fence`: no request ran under a generation of a session that a later generation had replaced;
- `life`: each generation except the first was granted once, by one node, and claimed at the servers at most
  once; generations were claimed in ascending order.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Literal

import msgspec

RecordKind = Literal["asked", "answered", "failed", "given", "claimed", "ran"]


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """An event that a client, node or server observed. `who` is the name of the observer.

    Clients record `asked`, `answered` and `failed`, with the `number` of the request and the `text` of the
    request, the answer or the failure. Nodes record `given`: the node granted generation `epoch` of
    `session`. Servers record `claimed` and `ran`, the latter with the request's `text` and its `answer`.
    """

    what: RecordKind
    who: str
    number: int = 0
    text: str = ""
    answer: str = ""
    session: str = ""
    epoch: int = 0


class _Execution(msgspec.Struct):
    """The first run of a request, and the number of its runs."""

    record: Record
    times: int = 1


def violations(records: Iterable[Record]) -> Iterator[str]:
    """Yields a message for each violation of a rule.

    Raises:
        ValueError: Two requests have the same text.
    """
    clients: dict[str, list[Record]] = defaultdict(list)
    granted: list[Record] = []
    server_records: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        match record.what:
            case "asked" | "answered" | "failed":
                clients[record.who].append(record)
            case "given":
                granted.append(record)
            case "claimed" | "ran":
                server_records[record.session].append(record)
    executions: dict[str, _Execution] = {}
    for session, own_records in server_records.items():
        yield from _check_session(session, own_records, executions)
    yield from _check_generations(granted, server_records)
    client_by_text: dict[str, str] = {}  # text of a request to the name of its client
    for who, own_records in clients.items():
        yield from _check_client(who, own_records, executions, client_by_text)


def _check_session(session: str, records: list[Record], executions: dict[str, _Execution]) -> Iterator[str]:
    """Check the servers' records of one session, and add its runs to `executions`."""
    epoch = last_number = 0
    for record in records:
        if record.what == "claimed":
            if record.epoch <= epoch:
                yield (
                    f"life: {record.who} claimed generation {record.epoch} of {session}, {epoch} is in force"
                )
            epoch = max(epoch, record.epoch)
            continue
        if record.epoch != epoch:
            yield (
                f"fence: {record.who} ran {record.text!r} under generation {record.epoch} of {session}, "
                f"{epoch} is in force"
            )
        earlier = executions.get(record.text)
        if earlier is not None:
            earlier.times += 1
            yield f"twice: {record.text!r} ran at {earlier.record.who} and at {record.who}"
            continue
        executions[record.text] = _Execution(record)
        if record.number != last_number + 1:
            yield f"sequence: request {record.number} of {session} ran after {last_number}, at {record.who}"
        last_number = record.number


def _check_generations(granted: list[Record], server_records: dict[str, list[Record]]) -> Iterator[str]:
    """Check the generations that nodes granted against those that were claimed at servers."""
    grantors: dict[tuple[str, int], str] = {}
    for record in granted:
        generation = record.session, record.epoch
        if generation in grantors:
            yield (
                f"life: generation {record.epoch} of {record.session} was granted by {grantors[generation]} "
                f"and by {record.who}"
            )
        grantors[generation] = record.who
    for session, records in server_records.items():
        for record in records:
            if record.what == "claimed" and record.epoch > 1 and (session, record.epoch) not in grantors:
                yield (
                    f"life: {record.who} claimed generation {record.epoch} of {session}, "
                    "which no node granted"
                )


def _check_client(
    who: str, records: list[Record], executions: dict[str, _Execution], client_by_text: dict[str, str]
) -> Iterator[str]:
    """Check the log of one client against the runs of its requests."""
    requests: dict[int, str] = {}
    outcomes: dict[int, str] = {}
    last_answered = 0
    for record in records:
        name = f"request {record.number} of {who}"
        if record.what == "asked":
            if record.text in client_by_text:
                raise ValueError(
                    f"{name} and one of {client_by_text[record.text]} "
                    f"have the same text {record.text!r}, expected unique texts"
                )
            client_by_text[record.text] = who
            requests[record.number] = record.text
            continue
        if record.number not in requests:
            yield f"final: {name} was {record.what} but never asked"
            continue
        if record.number in outcomes:
            yield f"final: {name} was {outcomes[record.number]}, and then {record.what}"
            continue
        outcomes[record.number] = record.what
        if record.what == "failed":
            continue
        if record.number != last_answered + 1:
            yield f"order: {name} was answered after {last_answered}"
        last_answered = max(last_answered, record.number)
        execution = executions.get(requests[record.number])
        if execution is None:
            yield f"lost: {name} was answered but did not run"
        elif execution.record.answer != record.text:
            yield f"lost: {name} was answered {record.text!r}, its run returned {execution.record.answer!r}"
        elif execution.record.number != record.number:
            yield f"sequence: {name} ran as number {execution.record.number}"
    for number in requests.keys() - outcomes.keys():
        yield f"final: request {number} of {who} has no answer"


def from_node(name: str, log: str) -> Iterator[Record]:
    """Yields a record for each generation that a node granted according to its log."""
    for line in log.splitlines():
        if 'event="life of a session given"' in line:
            fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
            yield Record("given", name, session=fields["session"], epoch=int(fields["epoch"]))


def main(paths: list[str]) -> int:
    """Check the logs at `paths` and print the violations.

    Returns 0 if there are none, 1 if there are any, and 2 if the logs cannot be read.
    """
    records: list[Record] = []
    try:
        for path in paths:
            text = Path(path).read_bytes()
            records += [msgspec.json.decode(line, type=Record) for line in text.splitlines()]
        found = list(violations(records))
    except (OSError, ValueError) as error:
        print(f"cannot read the logs: {error}", file=sys.stderr)
        return 2
    print("\n".join(found) if found else f"{len(records)} records keep the rules")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
