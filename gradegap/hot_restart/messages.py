"""What two processes of one node send each other during a hot restart.

Each message is one MessagePack map in one packet of a Unix socket (`link`). Tags and encoded names are the
format between versions and never change; the attributes carry today's terms. Times are node time (Unix time
on a clock that does not jump), in seconds.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from gradegap.proxy.request import ConnectionRequest


class AdminOperation(StrEnum):
    """An operator's call that takes effect in both processes, as `AdminCommand` carries it."""

    DISABLE_ENDPOINT = "out"
    ENABLE_ENDPOINT = "back"
    START_DRAIN = "drain"
    STOP_DRAIN = "stay"


class Offer(msgspec.Struct, tag="offer"):
    """The first message of a predecessor; its listening socket comes along."""

    disabled_endpoints: dict[str, float] = msgspec.field(name="out")  # name to when an operator disabled it
    descriptor_count: int = msgspec.field(name="sockets")  # held by the predecessor
    sealing_keys: bytes = msgspec.field(name="ring", default=b"")
    """What seals tokens of resumable sessions, where no store holds it; empty otherwise."""


class EndpointState(msgspec.Struct, tag="known"):
    """One endpoint: its entry in the endpoint list, since when it drains, and its last load report."""

    id: str
    address: str
    zone: str
    cell: int
    phase: int
    weight: float
    started_at: float
    drain_notified_at: float | None = msgspec.field(name="told_at", default=None)  # None: it does not drain
    report: dict[str, float] | None = None
    report_at: float = 0.0


class EndpointBatch(msgspec.Struct, tag="listed"):
    """A part of the predecessor's endpoint list."""

    endpoints: list[EndpointState] = msgspec.field(name="backends")


class StateComplete(msgspec.Struct, tag="begin"):
    """The predecessor has sent all that a successor needs to start."""


class SuccessorReady(msgspec.Struct, tag="ready"):
    """The successor accepts clients; the predecessor stops doing so."""


class IdleSession(msgspec.Struct, tag="door"):
    """An idle connection; its client's socket comes along."""

    serial: int
    buffer: bytes  # the beginning of a first line
    pinged: bool = msgspec.field(name="idle")  # its client has said PING
    first_line_timeout_s: float = msgspec.field(name="left")  # what is left of it


class EstablishedSession(msgspec.Struct, tag="standing"):
    """An established connection; its client's and its endpoint's sockets come along, in this order."""

    serial: int
    request: ConnectionRequest = msgspec.field(name="ask")
    opening_before_wait: bytes = msgspec.field(name="before")
    opening_after_wait: bytes = msgspec.field(name="after")
    endpoint: str = msgspec.field(name="backend")
    partial_line: bytes = msgspec.field(name="part")  # from the endpoint; its end is still to come
    last_response_at: float = msgspec.field(name="heard_at")
    unanswered_since: float | None = msgspec.field(name="asked_at")  # None: no line of the client's waits
    announced_result: int | None = msgspec.field(name="said")  # an `AttemptResult`; None: no end announced
    report: dict[str, float] | None


class SessionResult(msgspec.Struct, tag="taken"):
    """Whether the successor serves a session that was sent to it; otherwise the predecessor goes on."""

    serial: int
    accepted: bool = msgspec.field(name="good")


class AdminCommand(msgspec.Struct, tag="order"):
    """A call at the other process's admin API, to take effect here too."""

    serial: int
    operation: str = msgspec.field(name="what")  # an `AdminOperation`; a later version may send others
    endpoint: str = msgspec.field(name="server")  # empty where the operation concerns the node


class AdminCommandDone(msgspec.Struct, tag="obeyed"):
    """The command with this serial has taken effect."""

    serial: int


class DescriptorCount(msgspec.Struct, tag="held"):
    """How many descriptors this process holds: both processes share one limit."""

    count: int = msgspec.field(name="sockets")


class StoreLease(msgspec.Struct, tag="lease"):
    """How long the predecessor could still decide by the store, which it has left."""

    remaining_s: float = msgspec.field(name="left")
    disabled_endpoints: dict[str, float] = msgspec.field(name="out")  # name to when an operator disabled it


class QuicPort(msgspec.Struct, tag="port"):
    """The QUIC front's port goes to the successor; its sockets come along."""

    state: bytes = msgspec.field(name="told")  # `gradegap.quic.listener.PortTransfer`, encoded


Message = (
    QuicPort
    | StoreLease
    | Offer
    | EndpointBatch
    | StateComplete
    | SuccessorReady
    | IdleSession
    | EstablishedSession
    | SessionResult
    | AdminCommand
    | AdminCommandDone
    | DescriptorCount
)
