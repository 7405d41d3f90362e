"""The checker of resumable sessions' logs finds each kind of violation that is planted, and nothing else."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from gradegap.verification.sessions import Record, from_node, main, violations


def sound() -> list[Record]:
    """Two clients, of whom one moves in place and comes back by its token; a request is asked again."""
    log = []
    for who in ("p", "q"):
        log += [Record("claimed", "a", session=f"s{who}", epoch=1)]
        for n in range(1, 6):
            log.append(Record("asked", who, n, f"{who}{n}"))
            server = "a" if n < 3 else "b"
            if n == 3:
                log.append(Record("given", "n1", session=f"s{who}", epoch=2))
                log.append(Record("claimed", "b", session=f"s{who}", epoch=2))
            epoch = 1 if n < 3 else 2
            log.append(Record("ran", server, n, f"{who}{n}", f"done {who}{n}", f"s{who}", epoch))
            if n == 4:
                log.append(Record("given", "n2", session=f"s{who}", epoch=3))
            log.append(Record("answered", who, n, f"done {who}{n}"))
        log += [Record("asked", who, 6, f"{who}6"), Record("failed", who, 6, "closed")]
    return log


def at(log: list[Record], what: str, who: str, number: int = 0) -> int:
    return next(k for k, r in enumerate(log) if (r.what, r.who, r.number) == (what, who, number))


def change(log: list[Record], k: int, **values: object) -> None:
    log[k] = msgspec.structs.replace(log[k], **values)


def swap(log: list[Record], j: int, k: int) -> None:
    log[j], log[k] = log[k], log[j]


PLANTED: dict[str, tuple[str, Callable[[list[Record]], object]]] = {
    "an answer is lost": ("final: request 5 of p has no", lambda g: g.pop(at(g, "answered", "p", 5))),
    "an answer comes twice": ("final", lambda g: g.append(g[at(g, "answered", "p", 2)])),
    "an answer after giving up": ("final", lambda g: g.append(Record("answered", "p", 6, "done p6"))),
    "an answer to nothing": ("final", lambda g: g.append(Record("answered", "p", 9, "done p9"))),
    "answers out of order": (
        "order",
        lambda g: swap(g, at(g, "answered", "p", 2), at(g, "answered", "p", 3)),
    ),
    "an answer is passed over": ("order", lambda g: change(g, at(g, "answered", "q", 2), what="failed")),
    "a request runs twice": (
        "twice",
        lambda g: g.append(Record("ran", "b", 6, "p2", "done p2", "sp", 2)),
    ),
    "it runs twice in another session": (
        "twice",
        lambda g: g.extend(
            [Record("claimed", "c", session="sx", epoch=1), Record("ran", "c", 1, "p1", "done p1", "sx", 1)]
        ),
    ),
    "an answer of nobody's": ("lost", lambda g: g.pop(at(g, "ran", "b", 5))),
    "another request's answer": ("lost", lambda g: change(g, at(g, "answered", "p", 4), text="done p3")),
    "a request is left out": ("sequence", lambda g: g.pop(at(g, "ran", "b", 4))),
    "a fenced server writes": ("fence", lambda g: change(g, at(g, "ran", "b", 4), epoch=1)),
    "one life is given twice": ("life", lambda g: g.append(Record("given", "n3", session="sp", epoch=2))),
    "a life that nobody gave": ("life", lambda g: g.pop(at(g, "given", "n1"))),
    "a life is claimed twice": ("life", lambda g: g.append(Record("claimed", "c", session="sp", epoch=2))),
}


def test_logs_that_keep_the_rules_are_said_to() -> None:
    assert list(violations(sound())) == []


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_violation_is_found(name: str) -> None:
    rule, plant = PLANTED[name]
    log = sound()
    plant(log)
    found = list(violations(log))
    assert found and any(v.startswith(rule) for v in found), found


def test_two_requests_of_one_text_can_t_be_told_apart() -> None:
    with pytest.raises(ValueError, match="one text"):
        list(violations([Record("asked", "p", 1, "x"), Record("asked", "q", 1, "x")]))


def test_files_are_read_and_what_is_broken_is_printed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = sound()
    path = tmp_path / "log"
    path.write_bytes(b"\n".join(msgspec.json.encode(r) for r in log))
    assert main([str(path)]) == 0 and "keep the rules" in capsys.readouterr().out
    log.pop(at(log, "answered", "p", 5))
    path.write_bytes(b"\n".join(msgspec.json.encode(r) for r in log))
    assert main([str(path)]) == 1 and "final: request 5" in capsys.readouterr().out
    path.write_text("{")
    assert main([str(path)]) == 2 and capsys.readouterr().err.count("\n") == 1


def test_a_node_s_own_log_says_which_lives_it_gave() -> None:
    line = 'timestamp=2026-01-01 level=info event="life of a session given" session=ab12 epoch=3 how=return'
    (found,) = from_node("n1", f"event=listening\n{line}\n")
    assert (found.who, found.session, found.epoch) == ("n1", "ab12", 3)
