"""The messages that two processes of one node exchange during a hot restart.

Each message is one MessagePack map in one packet of a Unix socket (`link`). The tags and the encoded field
names are the format between versions and never change, so they may differ from the attributes' names. Times
are node time (Unix time on a clock that does not jump), in seconds.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from gradegap.proxy.request import ConnectionRequest


class AdminOperation(StrEnum):
    """An operation requested by operators, which takes effect in both processes; sent in `AdminCommand`."""

    DISABLE_ENDPOINT = "out"
    ENABLE_ENDPOINT = "back"
    START_DRAIN = "drain"
    STOP_DRAIN = "stay"


class Offer(msgspec.Struct, tag="offer"):
    """The first message of a predecessor, sent with its listening socket for clients."""

    # Endpoint -> time at which it was disabled.
    disabled_endpoints: dict[str, float] = msgspec.field(name="out")
    descriptor_count: int = msgspec.field(name="sockets")  # descriptors that the predecessor has open
    sealing_keys: bytes = msgspec.field(name="ring", default=b"")
    """Keys that seal the tokens of resumable sessions; empty if a store holds them."""


class EndpointState(msgspec.Struct, tag="known"):
    """One endpoint: its entry in the endpoint list, when its drain began, and its last load report."""

    id: str
    address: str
    zone: str
    cell: int
    phase: int
    weight: float
    started_at: float
    drain_notified_at: float | None = msgspec.field(name="told_at", default=None)  # None: not draining
    report: dict[str, float] | None = None
    report_at: float = 0.0


class EndpointBatch(msgspec.Struct, tag="listed"):
    """Some endpoints of the predecessor's endpoint list, which is sent in several messages."""

    endpoints: list[EndpointState] = msgspec.field(name="backends")


class StateComplete(msgspec.Struct, tag="begin"):
    """The predecessor has sent all state that a successor needs to start."""


class SuccessorReady(msgspec.Struct, tag="ready"):
    """The successor accepts clients, so the predecessor stops accepting."""


class IdleSession(msgspec.Struct, tag="door"):
    """A connection without a request, sent with the socket of its client."""

    serial: int
    buffer: bytes  # received bytes of an incomplete first line
    pinged: bool = msgspec.field(name="idle")  # whether its client has sent PING
    first_line_timeout_s: float = msgspec.field(name="left")  # remaining time for the first line


class EstablishedSession(msgspec.Struct, tag="standing"):
    """An established connection, sent with the sockets of its client and its endpoint, in this order."""

    serial: int
    request: ConnectionRequest = msgspec.field(name="ask")
    opening_before_wait: bytes = msgspec.field(name="before")
    opening_after_wait: bytes = msgspec.field(name="after")
    endpoint: str = msgspec.field(name="backend")
    # Start of a line from the endpoint; the rest of the line was not received yet.
    partial_line: bytes = msgspec.field(name="part")
    last_response_at: float = msgspec.field(name="heard_at")
    # Time since which a line of the client has been unanswered; None if the endpoint has answered all of
    # them.
    unanswered_since: float | None = msgspec.field(name="asked_at")
    # The `AttemptResult` with which the endpoint announced the end of the connection; None if it announced
    # none.
    announced_result: int | None = msgspec.field(name="said")
    report: dict[str, float] | None


class SessionResult(msgspec.Struct, tag="taken"):
    """Tells whether the successor serves a session sent to it; if not, the predecessor continues it."""

    serial: int
    accepted: bool = msgspec.field(name="good")


class AdminCommand(msgspec.Struct, tag="order"):
    """An operation requested through the admin API of the sender, which the receiver applies as well."""

    serial: int
    operation: str = msgspec.field(name="what")  # an `AdminOperation`; a later version may send other values
    # Endpoint to disable or enable; empty for operations on the whole node.
    endpoint: str = msgspec.field(name="server")


class AdminCommandDone(msgspec.Struct, tag="obeyed"):
    """Confirms that the sender has applied the `AdminCommand` with this serial."""

    serial: int


class DescriptorCount(msgspec.Struct, tag="held"):
    """The number of descriptors that the sender has open; both processes share one limit."""

    count: int = msgspec.field(name="sockets")


class StoreLease(msgspec.Struct, tag="lease"):
    """The remaining lease time of the predecessor, which has left the store, and the disabled endpoints."""

    remaining_s: float = msgspec.field(name="left")
    # Endpoint -> time at which it was disabled.
    disabled_endpoints: dict[str, float] = msgspec.field(name="out")


class QuicPort(msgspec.Struct, tag="port"):
    """Transfers the port of the QUIC listener to the successor; sent with the sockets of the port."""

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
