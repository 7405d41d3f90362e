"""Whether what clients, nodes and servers logged of resumable sessions keeps the rules.

    python -m gradegap.verification.sessions LOG [LOG ...]

A log is one JSON object a line, each a `Record`; the order of a file is the order in which its writer saw
things. Servers log through the save store that they share, so theirs is one file in one order. Nodes' own
logs are read as they are (`from_node`). Each request's text must be its own: by it a client's request is
found again at the servers, which know sessions and not clients. docs/design/resume.md has the formats.

The rules, each with the word that a violation begins with:

- `final`: each request that was asked has exactly one final answer, or its client was given a reason why not;
- `order`: a client's answers come in the order of its requests, and none is passed over;
- `twice`: no request ran twice, at whichever servers;
- `lost`: what was answered has run, and its answer is the one that running it gave;
- `sequence`: a session's requests ran in the order that they were asked in, without a gap;
- `fence`: nothing ran under a generation of a session that a later one had taken over from;
- `life`: each generation but the first was given by one node, once, and claimed at the servers at most once,
  later ones later.
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
    """One thing that a client, node or server saw.

    `asked`, `answered` and `failed` are a client's, with its `who`, the `number` of its request and the
    `text` asked, answered or failed with; `given` is a node's: it claimed generation `epoch` of `session`;
    `claimed` and `ran` are a server's, the latter with the request's `text` and its `answer`.
    """

    what: RecordKind
    who: str
    number: int = 0
    text: str = ""
    answer: str = ""
    session: str = ""
    epoch: int = 0


class _Execution(msgspec.Struct):
    """A request that a server ran."""

    record: Record
    times: int = 1


def violations(records: Iterable[Record]) -> Iterator[str]:
    """Each violation of a rule, with what caused it; nothing for logs that keep them."""
    clients: dict[str, list[Record]] = defaultdict(list)
    given: list[Record] = []
    stored: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        match record.what:
            case "asked" | "answered" | "failed":
                clients[record.who].append(record)
            case "given":
                given.append(record)
            case "claimed" | "ran":
                stored[record.session].append(record)
    ran: dict[str, _Execution] = {}
    for session, seen in stored.items():
        yield from _check_session(session, seen, ran)
    yield from _check_generations(given, stored)
    askers: dict[str, str] = {}  # by text
    for who, seen in clients.items():
        yield from _check_client(who, seen, ran, askers)


def _check_session(session: str, seen: list[Record], ran: dict[str, _Execution]) -> Iterator[str]:
    """One session's part of the save store's log."""
    epoch = last = 0
    for record in seen:
        if record.what == "claimed":
            if record.epoch <= epoch:
                yield f"life: {record.who} claimed life {record.epoch} of {session} when {epoch} was in force"
            epoch = max(epoch, record.epoch)
            continue
        if record.epoch != epoch:
            yield (
                f"fence: {record.who} ran {record.text!r} under life {record.epoch} of {session}, "
                f"{epoch} is in force"
            )
        known = ran.get(record.text)
        if known is not None:
            known.times += 1
            yield f"twice: {record.text!r} ran at {known.record.who} and at {record.who}"
            continue
        ran[record.text] = _Execution(record)
        if record.number != last + 1:
            yield f"sequence: request {record.number} of {session} ran after {last}, at {record.who}"
        last = record.number


def _check_generations(given: list[Record], stored: dict[str, list[Record]]) -> Iterator[str]:
    """Generations that nodes gave, beside those that servers claimed."""
    givers: dict[tuple[str, int], str] = {}
    for record in given:
        generation = record.session, record.epoch
        if generation in givers:
            yield (
                f"life: {record.epoch} of {record.session} was given by {givers[generation]} "
                f"and by {record.who}"
            )
        givers[generation] = record.who
    for session, seen in stored.items():
        for record in seen:
            if record.what == "claimed" and record.epoch > 1 and (session, record.epoch) not in givers:
                yield f"life: {record.who} claimed life {record.epoch} of {session}, which no node gave"


def _check_client(
    who: str, seen: list[Record], ran: dict[str, _Execution], askers: dict[str, str]
) -> Iterator[str]:
    """One client's log beside what ran."""
    asked: dict[int, str] = {}
    ended: dict[int, str] = {}
    answered = 0
    for record in seen:
        name = f"request {record.number} of {who}"
        if record.what == "asked":
            if record.text in askers:
                raise ValueError(
                    f"{name} and one of {askers[record.text]} have one text, and can't be told apart"
                )
            askers[record.text] = who
            asked[record.number] = record.text
            continue
        if record.number not in asked:
            yield f"final: {name} was never asked, and was {record.what}"
            continue
        if record.number in ended:
            yield f"final: {name} was {ended[record.number]}, and then {record.what}"
            continue
        ended[record.number] = record.what
        if record.what == "failed":
            continue
        if record.number != answered + 1:
            yield f"order: {name} was answered after {answered}"
        answered = max(answered, record.number)
        execution = ran.get(asked[record.number])
        if execution is None:
            yield f"lost: {name} was answered, and ran nowhere"
        elif execution.record.answer != record.text:
            yield f"lost: {name} was answered {record.text!r}, where it gave {execution.record.answer!r}"
        elif execution.record.number != record.number:
            yield f"sequence: {name} ran as number {execution.record.number}"
    for number in asked.keys() - ended.keys():
        yield f"final: request {number} of {who} has no answer"


def from_node(name: str, log: str) -> Iterator[Record]:
    """The generations that a node's log says it gave."""
    for line in log.splitlines():
        if 'event="life of a session given"' in line:
            fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
            yield Record("given", name, session=fields["session"], epoch=int(fields["epoch"]))


def main(paths: list[str]) -> int:
    """Check the logs at these paths; the exit code."""
    records: list[Record] = []
    try:
        for path in paths:
            text = Path(path).read_bytes()
            records += [msgspec.json.decode(line, type=Record) for line in text.splitlines()]
        found = list(violations(records))
    except (OSError, ValueError) as error:
        print(f"the logs can't be read: {error}", file=sys.stderr)
        return 2
    print("\n".join(found) if found else f"{len(records)} records keep the rules")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
