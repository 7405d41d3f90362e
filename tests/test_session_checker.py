"""Checker of session logs: it reports each kind of violation, and nothing for a log without violations."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from gradegap.verification.sessions import Record, from_node, main, violations


def valid_log() -> list[Record]:
    """Returns the log of two clients without violations.

    Each session moves to another server in generation 2 and is granted generation 3. The last request fails.
    """
    log = []
    for who in ("p", "q"):
        log += [Record("claimed", "a", session=f"s{who}", epoch=1)]
        for number in range(1, 6):
            log.append(Record("asked", who, number, f"{who}{number}"))
            server = "a" if number < 3 else "b"
            if number == 3:
                log.append(Record("given", "n1", session=f"s{who}", epoch=2))
                log.append(Record("claimed", "b", session=f"s{who}", epoch=2))
            epoch = 1 if number < 3 else 2
            log.append(
                Record("ran", server, number, f"{who}{number}", f"done {who}{number}", f"s{who}", epoch)
            )
            if number == 4:
                log.append(Record("given", "n2", session=f"s{who}", epoch=3))
            log.append(Record("answered", who, number, f"done {who}{number}"))
        log += [Record("asked", who, 6, f"{who}6"), Record("failed", who, 6, "closed")]
    return log


def position_of(log: list[Record], what: str, who: str, number: int = 0) -> int:
    return next(
        position
        for position, record in enumerate(log)
        if (record.what, record.who, record.number) == (what, who, number)
    )


def change(log: list[Record], position: int, **values: object) -> None:
    log[position] = msgspec.structs.replace(log[position], **values)


def swap(log: list[Record], first: int, second: int) -> None:
    log[first], log[second] = log[second], log[first]


VIOLATIONS: dict[str, tuple[str, Callable[[list[Record]], object]]] = {
    "an answer is lost": (
        "final: request 5 of p has no",
        lambda log: log.pop(position_of(log, "answered", "p", 5)),
    ),
    "an answer comes twice": ("final", lambda log: log.append(log[position_of(log, "answered", "p", 2)])),
    "an answer after giving up": ("final", lambda log: log.append(Record("answered", "p", 6, "done p6"))),
    "an answer without a request": ("final", lambda log: log.append(Record("answered", "p", 9, "done p9"))),
    "answers out of order": (
        "order",
        lambda log: swap(log, position_of(log, "answered", "p", 2), position_of(log, "answered", "p", 3)),
    ),
    "an answer is skipped": (
        "order",
        lambda log: change(log, position_of(log, "answered", "q", 2), what="failed"),
    ),
    "a request runs twice": (
        "twice",
        lambda log: log.append(Record("ran", "b", 6, "p2", "done p2", "sp", 2)),
    ),
    "a request runs again in another session": (
        "twice",
        lambda log: log.extend(
            [Record("claimed", "c", session="sx", epoch=1), Record("ran", "c", 1, "p1", "done p1", "sx", 1)]
        ),
    ),
    "an answer of a request that did not run": ("lost", lambda log: log.pop(position_of(log, "ran", "b", 5))),
    "another request's answer": (
        "lost",
        lambda log: change(log, position_of(log, "answered", "p", 4), text="done p3"),
    ),
    "a request is skipped": ("sequence", lambda log: log.pop(position_of(log, "ran", "b", 4))),
    "a server runs a request under a replaced generation": (
        "fence",
        lambda log: change(log, position_of(log, "ran", "b", 4), epoch=1),
    ),
    "a generation is granted twice": (
        "life",
        lambda log: log.append(Record("given", "n3", session="sp", epoch=2)),
    ),
    "a generation that no node granted": ("life", lambda log: log.pop(position_of(log, "given", "n1"))),
    "a generation is claimed twice": (
        "life",
        lambda log: log.append(Record("claimed", "c", session="sp", epoch=2)),
    ),
}


def test_log_without_violations_reports_nothing() -> None:
    assert list(violations(valid_log())) == []


@pytest.mark.parametrize("name", VIOLATIONS)
def test_log_with_violation_reports_its_rule(name: str) -> None:
    rule, insert_violation = VIOLATIONS[name]
    log = valid_log()
    insert_violation(log)
    found = list(violations(log))
    assert found and any(violation.startswith(rule) for violation in found), found


def test_requests_with_same_text_raise_value_error() -> None:
    with pytest.raises(ValueError, match="same text"):
        list(violations([Record("asked", "p", 1, "x"), Record("asked", "q", 1, "x")]))


def test_main_prints_violations_and_returns_exit_code(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = valid_log()
    path = tmp_path / "log"
    path.write_bytes(b"\n".join(msgspec.json.encode(record) for record in log))
    assert main([str(path)]) == 0 and "keep the rules" in capsys.readouterr().out
    log.pop(position_of(log, "answered", "p", 5))
    path.write_bytes(b"\n".join(msgspec.json.encode(record) for record in log))
    assert main([str(path)]) == 1 and "final: request 5" in capsys.readouterr().out
    path.write_text("{")
    assert main([str(path)]) == 2 and capsys.readouterr().err.count("\n") == 1


def test_from_node_reads_granted_generations() -> None:
    line = 'timestamp=2026-01-01 level=info event="life of a session given" session=ab12 epoch=3 how=return'
    (found,) = from_node("n1", f"event=listening\n{line}\n")
    assert (found.who, found.session, found.epoch) == ("n1", "ab12", 3)
