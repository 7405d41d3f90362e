"""Measurements of a run: bytes by kind of message, processor time, memory, and distributions of times."""

from __future__ import annotations

import asyncio
import os
import re
import subprocess
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, cast

import msgspec
from hdrh.histogram import HdrHistogram

from gradegap.store import wire
from gradegap.store.channel import CHECKSUM_BYTES, LENGTH_BYTES, LinkChannel
from gradegap.transport.descriptors import DescriptorBudget
from gradegap.transport.dialer import Dialer
from gradegap.upstream.health_checks import HealthCheckConnection

LONGEST_RECORDED_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
HANDSHAKE = "handshake"
NOT_COUNTED = (
    "bytes are those of the application, framing and sums included; TCP and IP headers, acknowledgements and "
    "retransmissions are not counted"
)


class Traffic:
    """Bytes that one node sent and received in the measured window, by kind of message."""

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()

    def clear(self) -> None:
        """Resets all counts at the start of a window."""
        self.sent.clear()
        self.received.clear()

    def total(self) -> int:
        """Returns the bytes of both directions together."""
        return self.sent.total() + self.received.total()


class CountedChannel(LinkChannel):
    """One end of a link that counts sent and received bytes by the type of the message."""

    traffic: Traffic

    def begin(self) -> bytes:
        """Returns the first bytes of the handshake, and counts them."""
        return self._counted(HANDSHAKE, super().begin())

    def send(self, message: Any) -> bytes:
        """Returns a message as a frame, and counts its bytes."""
        return self._counted(kind_of(message), super().send(message))

    def _counted(self, kind: str, data: bytes) -> bytes:
        self.traffic.sent[kind] += len(data)
        return data

    def receive(self, data: bytes) -> tuple[list[wire.LinkMessage], bytes]:
        """Returns the messages that are complete, and counts their bytes."""
        self.sizes: list[int] = []
        messages, reply = super().receive(data)
        if reply:
            self.traffic.sent[HANDSHAKE] += len(reply)
        first = len(self.sizes) - len(messages)
        self.traffic.received[HANDSHAKE] += sum(self.sizes[:first])
        for message, size in zip(messages, self.sizes[first:], strict=True):
            self.traffic.received[kind_of(message)] += size
        return messages, reply

    def _take_frame(self) -> bytes | None:
        header_bytes = LENGTH_BYTES + (CHECKSUM_BYTES if self.authenticated else 0)
        body = super()._take_frame()
        if body is not None:
            self.sizes.append(header_bytes + len(body))
        return body


def kind_of(message: Any) -> str:
    """Returns the kind under which a message is counted."""
    if isinstance(message, wire.RaftMessage):
        return f"raft.{type(message.message).__name__}"
    return type(message).__name__


class CountedTransport:
    """A transport that counts written bytes and delegates all other calls to the wrapped transport."""

    def __init__(self, transport: asyncio.Transport, traffic: Traffic, kind: str) -> None:
        self._transport, self._traffic, self._kind = transport, traffic, kind

    def write(self, data: bytes) -> None:
        """Writes the data and counts its bytes."""
        self._traffic.sent[self._kind] += len(data)
        self._transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class CountedProtocol(asyncio.Protocol):
    """A protocol that counts received bytes and delegates all callbacks to the wrapped protocol."""

    def __init__(self, inner: asyncio.Protocol, traffic: Traffic, kind: str) -> None:
        self.inner, self.traffic, self.kind = inner, traffic, kind

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes the transport on to the wrapped protocol, with its writes counted."""
        counted = CountedTransport(cast(asyncio.Transport, transport), self.traffic, self.kind)
        self.inner.connection_made(cast(asyncio.BaseTransport, counted))

    def data_received(self, data: bytes) -> None:
        """Counts the received bytes and passes them on."""
        self.traffic.received[self.kind] += len(data)
        self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        """Passes the end of the peer's data on."""
        return self.inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes the end of the connection on."""
        self.inner.connection_lost(exc)


class CountedDialer(Dialer):
    """A node's dialer that counts the bytes of discovery and of health checks separately."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, descriptors: DescriptorBudget, traffic: Traffic
    ) -> None:
        super().__init__(loop, descriptors)
        self.traffic = traffic

    def dial(
        self, address: str, wait: float, protocol: asyncio.Protocol, failed: Callable[[], None]
    ) -> Callable[[], None]:
        """Connects, and counts the bytes of the connection under its kind."""
        kind = "probe" if isinstance(protocol, HealthCheckConnection) else "discovery"
        return super().dial(address, wait, CountedProtocol(protocol, self.traffic, kind), failed)


# Times


class Times(msgspec.Struct):
    """Percentiles, maximum and number of values of a distribution in seconds."""

    p50: float
    p99: float
    max: float
    count: int


def times(values: Iterable[float]) -> Times:
    """Returns the distribution of times in seconds.

    The percentiles come from an HdrHistogram with three significant digits; the maximum is exact.
    """
    histogram = HdrHistogram(1, LONGEST_RECORDED_US, SIGNIFICANT_DIGITS)
    largest = 0.0
    for value in values:
        histogram.record_value(min(LONGEST_RECORDED_US, max(1, int(value * 1e6))))
        largest = max(largest, value)
    if not histogram.get_total_count():
        return Times(0.0, 0.0, 0.0, 0)
    p50, p99 = (histogram.get_value_at_percentile(p) / 1e6 for p in (50, 99))
    return Times(round(p50, 6), round(p99, 6), round(largest, 6), histogram.get_total_count())


# Processes


class Usage(msgspec.Struct):
    """Resources that a process has used up to a point in time."""

    at: float  # seconds, on the clock of the caller
    processor_s: float
    resident_bytes: int


def usage(pid: int, now: float) -> Usage:
    """Reads the resources that a running process has used from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    processor = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return Usage(now, processor, int(fields[21]) * PAGE_BYTES)


def machine_busy_s() -> float:
    """Returns the processor seconds that all processes of this machine have used since it started."""
    fields = [int(field) for field in Path("/proc/stat").read_text().splitlines()[0].split()[1:9]]
    user, nice, system, _idle, _waiting, interrupts, soft_interrupts, _stolen = fields
    return (user + nice + system + interrupts + soft_interrupts) / TICKS_PER_S


class SocketBytes(msgspec.Struct):
    """Bytes of one open connection since it was opened."""

    pid: int
    local_port: int
    peer_port: int
    sent: int
    received: int


def open_sockets() -> list[SocketBytes]:
    """Returns all connections of processes that this user may inspect, with the bytes of TCP payload."""
    command = ["ss", "-tniHp", "state", "established"]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    return list(parse_sockets(result.stdout))


def parse_sockets(text: str) -> Iterable[SocketBytes]:
    """Parses the output of `ss`: each connection is a line of addresses and an indented one of statistics."""
    socket_id: tuple[int, int, int] | None = None  # pid, local port and peer port
    for line in text.splitlines():
        if not line[:1].isspace():
            addresses = re.findall(r"\S+:(\d+)(?=\s)", line + " ")
            pid = re.search(r"pid=(\d+)", line)
            socket_id = (
                (int(pid[1]), int(addresses[0]), int(addresses[1])) if pid and len(addresses) > 1 else None
            )
        elif socket_id is not None:
            sent, received = re.search(r"bytes_sent:(\d+)", line), re.search(r"bytes_received:(\d+)", line)
            yield SocketBytes(*socket_id, int(sent[1]) if sent else 0, int(received[1]) if received else 0)
            socket_id = None


def spread(values: Iterable[float], digits: int = 6) -> dict[str, float]:
    """Returns the mean and the maximum, or zeros if there are no values."""
    known = list(values)
    if not known:
        return {"mean": 0.0, "max": 0.0}
    return {"mean": round(sum(known) / len(known), digits), "max": round(max(known), digits)}
