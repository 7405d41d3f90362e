"""First lines, load reports and line ends as the protocol has them."""

from __future__ import annotations

import pytest

from gradegap.downstream import framing
from gradegap.transport.lines import InvalidLineError
from gradegap.upstream.answers import parse_load_report


def test_a_first_line_is_forwarded_unchanged_but_for_its_wait() -> None:
    line = b"OPEN 9b1f 7f3a c=chat,d=2000,g=5c0f,r=1,again=1,h=12.5,x=d=7\r\n"
    opening = framing.parse_opening(line)
    assert opening.with_wait(0.7315) == line.replace(b"d=2000", b"d=731")
    request = opening.request
    assert (request.class_name, request.wait, request.key, request.group) == ("chat", 2.0, "7f3a", "5c0f")
    assert request.retry and request.reconnect and request.inherited_from == ""


@pytest.mark.parametrize("fields", ["d=%s,c=chat", "c=chat,x=d=7,d=%s,dd=9", "z=d=1,c=chat,g=,n=-4.5e3,d=%s"])
@pytest.mark.parametrize("wait", ["2000", "1999.5", "2e3", "0002000"])
def test_whatever_its_form_only_the_wait_is_written_anew(fields: str, wait: str) -> None:
    """A wait that was not plain once went on as the client had it; names that are not known are kept."""
    opening = framing.parse_opening(f"OPEN 1 2 {fields % wait}\r\n".encode())
    assert opening.with_wait(0.25) == f"OPEN 1 2 {fields % 250}\r\n".encode()
    assert opening.request.wait == float(wait) / 1000


def test_connections_from_before_the_run_may_wait_for_hours() -> None:
    """Waits over an hour were once read as bad lines, and every such connection was lost."""
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
        # What float() takes and no save server does; each once went on to one, some with another wait.
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
def test_bad_first_lines_raise_an_error(line: bytes) -> None:
    with pytest.raises(InvalidLineError):
        framing.parse_opening(line)


def test_load_reports_are_read_under_the_balancers_names_and_what_is_no_number_is_skipped() -> None:
    report = parse_load_report("x0=0.61,concurrent=7,pace=high,odd,a=nan,b=-1,c=inf,d=1_0,e=")
    assert report == {"x0": 0.61, "inflight": 7.0}
    assert parse_load_report("") is None


def test_lines_are_found_however_they_are_cut() -> None:
    seen: list[bytes] = []
    scanner = framing.LineScanner(seen.append)
    for piece in (b"LO", b"AD 5\r", b"\nBYE\r\nPA"):
        scanner.feed(piece)
    assert seen == [b"LOAD 5", b"BYE"] and not scanner.at_line_end
    scanner.feed(b"RT\r\n")
    assert scanner.at_line_end
