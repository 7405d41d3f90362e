"""Whether what clients, nodes and servers logged of resumable sessions keeps the rules.

    python -m gradegap.verification.sessions LOG [LOG ...]

A log is one JSON object a line, each a `Record`; the order of a file is the order in which its writer saw
things. Servers log through the save store that they share, so theirs is one file in one order. Nodes' own
logs are read as they are (`from_node`). Each request's text must be its own: by it a client's request is
found again at the servers, which know sessions and not clients. docs/design/resume.md has the formats.

The rules, each with the word that a violation begins with:

- `final`: each request that was asked has exactly one final answer, or its client was told why it has none;
- `order`: a client's answers come in the order of its requests, and none is passed over;
- `twice`: no request ran twice, at whichever servers;
- `lost`: what was answered has run, and its answer is the one that running it gave;
- `sequence`: a session's requests ran in the order that they were asked in, without a gap;
- `fence`: nothing ran under a life of a session that a later one had taken over from;
- `life`: each life but the first was given by one node, once, and claimed at the servers at most once, later
  ones later.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Literal

import msgspec

What = Literal["asked", "answered", "failed", "given", "claimed", "ran"]


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that somebody saw.

    `asked`, `answered` and `failed` are a client's, with its `who`, the `number` of its request and the
    `text` asked, answered or told; `given` is a node's: it claimed life `epoch` of `session` for it;
    `claimed` and `ran` are a server's, the latter with the request's `text` and its `answer`.
    """

    what: What
    who: str
    number: int = 0
    text: str = ""
    answer: str = ""
    session: str = ""
    epoch: int = 0


class _Ran(msgspec.Struct):
    """What is known of one request at the servers."""

    record: Record
    times: int = 1


def violations(records: Iterable[Record]) -> Iterator[str]:
    """Each rule that is broken, with what broke it; nothing for logs that keep them."""
    clients: dict[str, list[Record]] = defaultdict(list)
    given: list[Record] = []
    stored: dict[str, list[Record]] = defaultdict(list)
    for r in records:
        match r.what:
            case "asked" | "answered" | "failed":
                clients[r.who].append(r)
            case "given":
                given.append(r)
            case "claimed" | "ran":
                stored[r.session].append(r)
    ran: dict[str, _Ran] = {}
    for session, seen in stored.items():
        yield from _at_servers(session, seen, ran)
    yield from _lives(given, stored)
    texts: dict[str, str] = {}
    for who, seen in clients.items():
        yield from _at_client(who, seen, ran, texts)


def _at_servers(session: str, seen: list[Record], ran: dict[str, _Ran]) -> Iterator[str]:
    """One session's part of the save store's log."""
    epoch = last = 0
    for r in seen:
        if r.what == "claimed":
            if r.epoch <= epoch:
                yield f"life: {r.who} claimed life {r.epoch} of {session} when {epoch} was in force"
            epoch = max(epoch, r.epoch)
            continue
        if r.epoch != epoch:
            yield f"fence: {r.who} ran {r.text!r} under life {r.epoch} of {session}, {epoch} is in force"
        known = ran.get(r.text)
        if known is not None:
            known.times += 1
            yield f"twice: {r.text!r} ran at {known.record.who} and at {r.who}"
            continue
        ran[r.text] = _Ran(r)
        if r.number != last + 1:
            yield f"sequence: request {r.number} of {session} ran after {last}, at {r.who}"
        last = r.number


def _lives(given: list[Record], stored: dict[str, list[Record]]) -> Iterator[str]:
    """Lives that nodes gave, beside those that servers claimed."""
    by: dict[tuple[str, int], str] = {}
    for r in given:
        life = r.session, r.epoch
        if life in by:
            yield f"life: {r.epoch} of {r.session} was given by {by[life]} and by {r.who}"
        by[life] = r.who
    for session, seen in stored.items():
        for r in seen:
            if r.what == "claimed" and r.epoch > 1 and (session, r.epoch) not in by:
                yield f"life: {r.who} claimed life {r.epoch} of {session}, which no node gave"


def _at_client(who: str, seen: list[Record], ran: dict[str, _Ran], texts: dict[str, str]) -> Iterator[str]:
    """One client's log beside what ran."""
    asked: dict[int, str] = {}
    ended: dict[int, str] = {}
    answered = 0
    for r in seen:
        name = f"request {r.number} of {who}"
        if r.what == "asked":
            if r.text in texts:
                raise ValueError(f"{name} and one of {texts[r.text]} have one text, and can't be told apart")
            texts[r.text] = who
            asked[r.number] = r.text
            continue
        if r.number not in asked:
            yield f"final: {name} was never asked, and was {r.what}"
            continue
        if r.number in ended:
            yield f"final: {name} was {ended[r.number]}, and then {r.what}"
            continue
        ended[r.number] = r.what
        if r.what == "failed":
            continue
        if r.number != answered + 1:
            yield f"order: {name} was answered after {answered}"
        answered = max(answered, r.number)
        found = ran.get(asked[r.number])
        if found is None:
            yield f"lost: {name} was answered, and ran nowhere"
        elif found.record.answer != r.text:
            yield f"lost: {name} was answered {r.text!r}, where it gave {found.record.answer!r}"
        elif found.record.number != r.number:
            yield f"sequence: {name} ran as number {found.record.number}"
    for number in asked.keys() - ended.keys():
        yield f"final: request {number} of {who} has no answer"


def from_node(name: str, log: str) -> Iterator[Record]:
    """The lives that a node's log says it gave."""
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
