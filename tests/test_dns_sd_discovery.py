"""DNS-SD discovery of the real program, against a stand-in that answers DNS on loopback."""

from __future__ import annotations

import itertools
import socket
import threading
import time
from pathlib import Path

import dns.flags
import dns.message
import dns.rcode
import dns.rrset
import pytest

from gradegap.balancing.events import EndpointEntry, EndpointPhase
from gradegap.discovery.dns_sd_discovery import read_entry, read_txt
from gradegap.discovery.errors import InvalidEndpointError
from tests.support.node_environment import EndpointServer, NodeEnvironment, running_node, wait_for

SERVICE = "_saves._tcp.prairie.example."


class Answerer:
    """A DNS server over UDP and TCP that answers from `records`, and notes each query."""

    def __init__(self, ttl: int = 1) -> None:
        self.ttl = ttl
        self.records: dict[tuple[str, str], list[str]] = {}
        self.queries: list[tuple[float, str, str]] = []
        self.mode = "answer"
        self.sock, self.listener = wait_for(self._sockets)
        self.port = int(self.sock.getsockname()[1])
        threading.Thread(target=self._udp, daemon=True).start()
        threading.Thread(target=self._tcp, daemon=True).start()

    def _sockets(self) -> tuple[socket.socket, socket.socket] | None:
        """One port for UDP and TCP; None where TCP has it already."""
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp.bind(("127.0.0.1", 0))
        try:
            return udp, socket.create_server(udp.getsockname())
        except OSError:
            udp.close()
            return None

    def instance(self, b: EndpointServer, txt: str = '"state=Ready" "zone=z" "weight=1"') -> None:
        name, port = f"s-{b.name}.{SERVICE}", b.address.rpartition(":")[2]
        ptr = self.records.setdefault((SERVICE, "PTR"), [])
        if name not in ptr:
            ptr.append(name)
        self.records[name, "SRV"] = [f"0 0 {port} {b.name}.prairie.example."]
        self.records[name, "TXT"] = [txt]
        self.records[f"{b.name}.prairie.example.", "A"] = ["127.0.0.1"]

    def answer(self, wire: bytes, over_tcp: bool) -> bytes | None:
        query = dns.message.from_wire(wire)
        question = query.question[0]
        name, kind = question.name.to_text(), question.rdtype.name
        self.queries.append((time.time(), name, kind))
        reply = dns.message.make_response(query)
        if self.mode == "silent":
            return None
        if self.mode == "garbage":
            return wire[:2] + b"\xff" * 20
        if self.mode == "failing":
            reply.set_rcode(dns.rcode.SERVFAIL)
        elif self.mode == "truncated" and not over_tcp:
            reply.flags |= dns.flags.TC
        elif (name, kind) in self.records:
            reply.answer.append(
                dns.rrset.from_text_list(name, self.ttl, "IN", kind, self.records[name, kind])
            )
        else:
            reply.set_rcode(dns.rcode.NXDOMAIN)
        return reply.to_wire()

    def _udp(self) -> None:
        while True:
            wire, address = self.sock.recvfrom(4096)
            if (answer := self.answer(wire, False)) is not None:
                self.sock.sendto(answer, address)

    def _tcp(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            with sock:
                file = sock.makefile("rb")  # reads whole: a query may come in pieces
                size = int.from_bytes(file.read(2), "big")
                answer = self.answer(file.read(size), True) or b""
                sock.sendall(len(answer).to_bytes(2, "big") + answer)


@pytest.fixture
def answerer() -> Answerer:
    return Answerer()


def operator(answerer: Answerer) -> str:
    return f'[dnssd]\nserver = "127.0.0.1:{answerer.port}"\nservice = "{SERVICE}"\n'


def served_by(w: NodeEnvironment, times: int = 8) -> set[str]:
    # A crowd that comes as fast as it can is partly told to come back later: that is no backend's answer.
    time.sleep(0.1)
    return {said for said in (w.client().open_request() for _ in range(times)) if not said.startswith("BUSY")}


def test_endpoints_come_go_and_drain_as_their_records_have_it(tmp_path: Path, answerer: Answerer) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    answerer.instance(a)
    with running_node(tmp_path, [], operator(answerer)) as w:
        assert served_by(w) == {"UP a"}
        answerer.instance(b)
        wait_for(lambda: "UP b" in served_by(w))
        answerer.instance(a, '"state=Terminating"')
        wait_for(lambda: served_by(w) == {"UP b"})
        answerer.records[SERVICE, "PTR"].remove(f"s-b.{SERVICE}")
        answerer.instance(a, '"state=Ready" "started_ms=1"')
        wait_for(lambda: served_by(w) == {"UP a"})


@pytest.mark.parametrize("mode", ["silent", "garbage", "failing"])
def test_failures_are_counted_and_the_last_list_is_kept(
    tmp_path: Path, answerer: Answerer, mode: str
) -> None:
    a = EndpointServer("a")
    answerer.instance(a)
    with running_node(tmp_path, [], operator(answerer)) as w:
        answerer.mode = mode
        wait_for(lambda: int(w.counters().get("dns_failures", 0)) >= 2, 10.0)
        assert served_by(w) == {"UP a"}
        answerer.mode = "answer"
        b = EndpointServer("b")
        answerer.instance(b)
        wait_for(lambda: "UP b" in served_by(w), 10.0)


def test_an_answer_too_long_for_udp_is_queried_again_over_tcp(tmp_path: Path, answerer: Answerer) -> None:
    answerer.instance(EndpointServer("a"))
    answerer.mode = "truncated"
    with running_node(tmp_path, [], operator(answerer)) as w:
        assert served_by(w) == {"UP a"}


def test_a_bad_record_leaves_its_instance_as_it_was(tmp_path: Path, answerer: Answerer) -> None:
    a, b = EndpointServer("a"), EndpointServer("b")
    answerer.instance(a)
    with running_node(tmp_path, [], operator(answerer)) as w:
        answerer.instance(a, '"state=Asleep" "weight=heavy"')
        answerer.instance(b, '"weight=1"')  # never seen well: it is left out
        wait_for(lambda: int(w.counters().get("dns_bad_instances", 0)) >= 2)
        assert served_by(w) == {"UP a"}


def test_records_are_not_queried_again_within_their_time_to_live(tmp_path: Path, answerer: Answerer) -> None:
    answerer.ttl = 3
    answerer.instance(EndpointServer("a"))
    with running_node(tmp_path, [], operator(answerer)):
        wait_for(lambda: [kind for _, _, kind in answerer.queries].count("PTR") == 3, 12.0)
    queried = [at for at, _, kind in answerer.queries if kind == "PTR"]
    assert all(later - earlier >= 2.9 for earlier, later in itertools.pairwise(queried))


@pytest.mark.parametrize(
    ("strings", "entry"),
    [
        ((b"state=Ready",), EndpointEntry("s")),
        (
            (b"STATE=Terminating", b"zone=x", b"weight=1.5", b"started_ms=2500", b"odd", b"state=Gone"),
            EndpointEntry("s", "x", 0, EndpointPhase.DRAINING, 1.5, 2.5),
        ),
    ],
)
def test_txt_pairs_are_read_as_the_rfc_says(strings: tuple[bytes, ...], entry: EndpointEntry) -> None:
    assert read_entry("s", read_txt(strings)) == entry


@pytest.mark.parametrize(
    "text", ["", "state=", "state=Ready;weight=0", "state=Ready;weight=nan", "state=Ready;started_ms=x"]
)
def test_a_bad_txt_record_raises_an_error(text: str) -> None:
    with pytest.raises(InvalidEndpointError):
        read_entry("s", read_txt(tuple(text.encode().split(b";"))))
