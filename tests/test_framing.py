"""Parsers of first lines and load reports, and the scanner for line ends."""

from __future__ import annotations

import pytest

from gradegap.downstream import framing
from gradegap.transport.lines import InvalidLineError
from gradegap.upstream.answers import parse_load_report


def test_first_line_is_forwarded_unchanged_except_for_its_wait() -> None:
    line = b"OPEN 9b1f 7f3a c=chat,d=2000,g=5c0f,r=1,again=1,h=12.5,x=d=7\r\n"
    opening = framing.parse_opening(line)
    assert opening.with_wait(0.7315) == line.replace(b"d=2000", b"d=731")
    request = opening.request
    assert (request.class_name, request.wait, request.key, request.group) == ("chat", 2.0, "7f3a", "5c0f")
    assert request.retry and request.reconnect and request.inherited_from == ""


@pytest.mark.parametrize("fields", ["d=%s,c=chat", "c=chat,x=d=7,d=%s,dd=9", "z=d=1,c=chat,g=,n=-4.5e3,d=%s"])
@pytest.mark.parametrize("wait", ["2000", "1999.5", "2e3", "0002000"])
def test_wait_of_any_form_is_replaced_and_all_else_is_kept(fields: str, wait: str) -> None:
    """The wait is replaced even if it is not a plain integer; values under unknown names are kept."""
    opening = framing.parse_opening(f"OPEN 1 2 {fields % wait}\r\n".encode())
    assert opening.with_wait(0.25) == f"OPEN 1 2 {fields % 250}\r\n".encode()
    assert opening.request.wait == float(wait) / 1000


def test_inherited_connection_may_wait_for_hours() -> None:
    """Waits over an hour are valid; if they were rejected, every inherited connection would be lost."""
    request = framing.parse_opening(b"OPEN 1 2 c=chat,d=4294967,at=s-1\r\n").request
    assert framing.parse_opening(b"OPEN 1 2 c=chat,d=4294967295,at=s-1\r\n").request.inherited_from == "s-1"
    assert request.inherited_from == "s-1" and request.wait == 4294.967


@pytest.mark.parametrize(
    "line",
    [
        b"GET / HTTP/1.1\r\n",
        b"OPEN 1 2\r\n",
        b"OPEN 1 2 d=5\r\n",
        b"OPEN 1 2 c=chat,d=soon\r\n",
        b"OPEN 1 2 c=chat,d=-4\r\n",
        b"OPEN 1 2 c=chat,d=nan\r\n",
        b"OPEN 1 2 c=chat,junk\r\n",
        b"OPEN 1 \xff c=chat\r\n",
        b"\r\n",
        # Numbers that float() accepts but no save server does. They must not be forwarded, changed or not.
        *(b"OPEN 1 2 c=chat,d=" + wait + b"\r\n" for wait in (b"", b"+5", b"1_000", b" 5", b"inf", b"1e999")),
        *(b"OPEN 1 2 c=chat,d=" + wait + b"\r\n" for wait in (b"9" * 15, b"9" * 400, "\u0665".encode())),
        *(b"OPEN 1 2 c=chat,d=5,h=" + load + b"\r\n" for load in (b"nan", b"-1", b"1e30", b"")),
        b"OPEN 1 2 c=chat,d=5,d=2000\r\n",
        b"OPEN 1 2 c=chat,c=other,d=5\r\n",
        b"OPEN 1 2 c=chat\r\n",
        b"OPEN  2 c=chat,d=5\r\n",
        b"OPEN 2 c=chat,d=5\r\n",
        b"OPEN 1\x00 2 c=chat,d=5\r\n",
        b"OPEN 1 2 c=chat,d=5,g=a\tb\r\n",
        b"OPEN 1 2 c=chat,d=5\n",
        b"OPEN 1 2 c=chat,d=5\r\r\n",
    ],
)
def test_invalid_first_line_raises_an_error(line: bytes) -> None:
    with pytest.raises(InvalidLineError):
        framing.parse_opening(line)


def test_load_report_uses_the_balancers_names_and_skips_invalid_numbers() -> None:
    report = parse_load_report("x0=0.61,concurrent=7,pace=high,odd,a=nan,b=-1,c=inf,d=1_0,e=")
    assert report == {"x0": 0.61, "inflight": 7.0}
    assert parse_load_report("") is None


def test_line_scanner_joins_lines_across_fragments() -> None:
    lines: list[bytes] = []
    scanner = framing.LineScanner(lines.append)
    for fragment in (b"LO", b"AD 5\r", b"\nBYE\r\nPA"):
        scanner.feed(fragment)
    assert lines == [b"LOAD 5", b"BYE"] and not scanner.at_line_end
    scanner.feed(b"RT\r\n")
    assert scanner.at_line_end
