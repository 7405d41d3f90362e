"""DNS-SD discovery of a running node, with a DNS server of the test on loopback."""

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


class DnsServer:
    """A DNS server over UDP and TCP that answers from `records` and logs each query."""

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
        """Bind one port for UDP and TCP; returns None if its TCP side is in use."""
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp.bind(("127.0.0.1", 0))
        try:
            return udp, socket.create_server(udp.getsockname())
        except OSError:
            udp.close()
            return None

    def set_instance(self, server: EndpointServer, txt: str = '"state=Ready" "zone=z" "weight=1"') -> None:
        name, port = f"s-{server.name}.{SERVICE}", server.address.rpartition(":")[2]
        ptr = self.records.setdefault((SERVICE, "PTR"), [])
        if name not in ptr:
            ptr.append(name)
        self.records[name, "SRV"] = [f"0 0 {port} {server.name}.prairie.example."]
        self.records[name, "TXT"] = [txt]
        self.records[f"{server.name}.prairie.example.", "A"] = ["127.0.0.1"]

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
                file = sock.makefile("rb")  # blocks until the whole query has arrived
                size = int.from_bytes(file.read(2), "big")
                answer = self.answer(file.read(size), True) or b""
                sock.sendall(len(answer).to_bytes(2, "big") + answer)


@pytest.fixture
def dns_server() -> DnsServer:
    return DnsServer()


def operator(dns_server: DnsServer) -> str:
    return f'[dnssd]\nserver = "127.0.0.1:{dns_server.port}"\nservice = "{SERVICE}"\n'


def open_answers(environment: NodeEnvironment, request_count: int = 8) -> set[str]:
    # A node answers some requests of a fast series with BUSY; these are no endpoint's answers.
    time.sleep(0.1)
    return {
        answer
        for answer in (environment.client().open_request() for _ in range(request_count))
        if not answer.startswith("BUSY")
    }


def test_changed_records_add_remove_and_drain_endpoints(tmp_path: Path, dns_server: DnsServer) -> None:
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    dns_server.set_instance(server_a)
    with running_node(tmp_path, [], operator(dns_server)) as environment:
        assert open_answers(environment) == {"UP a"}
        dns_server.set_instance(server_b)
        wait_for(lambda: "UP b" in open_answers(environment))
        dns_server.set_instance(server_a, '"state=Terminating"')
        wait_for(lambda: open_answers(environment) == {"UP b"})
        dns_server.records[SERVICE, "PTR"].remove(f"s-b.{SERVICE}")
        dns_server.set_instance(server_a, '"state=Ready" "started_ms=1"')
        wait_for(lambda: open_answers(environment) == {"UP a"})


@pytest.mark.parametrize("mode", ["silent", "garbage", "failing"])
def test_failed_lookups_are_counted_and_last_list_stays_in_use(
    tmp_path: Path, dns_server: DnsServer, mode: str
) -> None:
    server_a = EndpointServer("a")
    dns_server.set_instance(server_a)
    with running_node(tmp_path, [], operator(dns_server)) as environment:
        dns_server.mode = mode
        wait_for(lambda: int(environment.counters().get("dns_failures", 0)) >= 2, 10.0)
        assert open_answers(environment) == {"UP a"}
        dns_server.mode = "answer"
        server_b = EndpointServer("b")
        dns_server.set_instance(server_b)
        wait_for(lambda: "UP b" in open_answers(environment), 10.0)


def test_truncated_udp_answer_is_queried_again_over_tcp(tmp_path: Path, dns_server: DnsServer) -> None:
    dns_server.set_instance(EndpointServer("a"))
    dns_server.mode = "truncated"
    with running_node(tmp_path, [], operator(dns_server)) as environment:
        assert open_answers(environment) == {"UP a"}


def test_invalid_record_leaves_its_instance_unchanged(tmp_path: Path, dns_server: DnsServer) -> None:
    server_a, server_b = EndpointServer("a"), EndpointServer("b")
    dns_server.set_instance(server_a)
    with running_node(tmp_path, [], operator(dns_server)) as environment:
        dns_server.set_instance(server_a, '"state=Asleep" "weight=heavy"')
        dns_server.set_instance(server_b, '"weight=1"')  # no valid entry so far: the instance is left out
        wait_for(lambda: int(environment.counters().get("dns_bad_instances", 0)) >= 2)
        assert open_answers(environment) == {"UP a"}


def test_cached_records_are_not_queried_again_within_their_time_to_live(
    tmp_path: Path, dns_server: DnsServer
) -> None:
    dns_server.ttl = 3
    dns_server.set_instance(EndpointServer("a"))
    with running_node(tmp_path, [], operator(dns_server)):
        wait_for(lambda: [kind for _, _, kind in dns_server.queries].count("PTR") == 3, 12.0)
    query_times = [queried_at for queried_at, _, kind in dns_server.queries if kind == "PTR"]
    assert all(later - earlier >= 2.9 for earlier, later in itertools.pairwise(query_times))


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
def test_txt_pairs_are_parsed_as_rfc_6763_requires(strings: tuple[bytes, ...], entry: EndpointEntry) -> None:
    assert read_entry("s", read_txt(strings)) == entry


@pytest.mark.parametrize(
    "text", ["", "state=", "state=Ready;weight=0", "state=Ready;weight=nan", "state=Ready;started_ms=x"]
)
def test_invalid_txt_record_raises_error(text: str) -> None:
    with pytest.raises(InvalidEndpointError):
        read_entry("s", read_txt(tuple(text.encode().split(b";"))))
