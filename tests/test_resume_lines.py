"""Encoding and decoding of the lines of the resume extension."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gradegap.resume import lines
from gradegap.resume.errors import LineError
from gradegap.resume.lines import Acknowledgement, Answer, NewToken, Request, SessionEnded

TEXT = st.binary(max_size=60).filter(lambda data: b"\r" not in data and b"\n" not in data)
NUMBER = st.integers(1, lines.NUMBER_LIMIT - 1)
LINES = st.one_of(
    st.builds(Request, NUMBER, TEXT),
    st.builds(Answer, NUMBER, TEXT),
    st.builds(Acknowledgement, st.integers(0, lines.NUMBER_LIMIT - 1)),
    st.builds(NewToken, st.text("abcXYZ019-_", min_size=1, max_size=400)),
    st.builds(SessionEnded, st.sampled_from(["claimed", "fenced", "expired"])),
)


@settings(max_examples=200, deadline=None)
@given(LINES)
def test_encoded_line_decodes_to_itself(line: lines.Line) -> None:
    assert lines.decode(lines.encode(line)[:-2]) == line


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (b"Q 0 x", "malformed"),
        (b"Q 01 x", "malformed"),
        (b"Q -1 x", "malformed"),
        (b"Q 1", "malformed"),
        (b"K 1 x", "malformed"),
        (b"Q 99999999999999999 x", "malformed"),
        (b"A x y", "malformed"),
        (b"T a b", "malformed"),
        (b"T " + b"x" * 401, "malformed"),
        (b"Q 1 " + b"x" * 4096, "long"),
    ],
)
def test_invalid_line_is_rejected(raw: bytes, reason: str) -> None:
    with pytest.raises(LineError, match=f"^{reason}"):
        lines.decode(raw)


def test_lines_of_the_base_protocol_decode_to_none() -> None:
    assert [lines.decode(raw) for raw in (b"LOAD 3.5", b"BYE", b"MOVE", b"", b"Quit")] == [None] * 5
