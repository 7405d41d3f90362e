"""What a client session needs of its channel, and of the part that resumes sessions."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

LINGER_S = 1.0
"""For a client to close its side of a connection that has its last line."""


class CloseReason(Enum):
    """Why a session closes its channel: what its last line said, or that there is none."""

    REJECTED = "rejected"
    FAILED = "failed"
    INVALID_LINE = "invalid_line"
    MIGRATED = "migrated"
    SERVED = "served"
    RESET = "reset"


class Channel(Protocol):
    """What carries a session's lines to and from its client."""

    def write(self, data: bytes) -> None:
        """Send to the client."""
        ...

    def close(self, reason: CloseReason) -> None:
        """Close once the client has all that was written; harmless the second time."""
        ...

    def pause(self) -> None:
        """Stop reading from the client."""
        ...

    def resume(self) -> None:
        """Read on."""
        ...

    def is_disconnected(self) -> bool:
        """Whether the client's end has come, be it read or not."""
        ...

    def on_ping(self) -> None:
        """The client has sent `PING`, and no request yet."""
        ...

    def on_request(self) -> None:
        """The client has sent its request: the channel is in use from now on."""
        ...


class RelayOutput(Protocol):
    """What a relay makes of a session's lines."""

    to_client: bytes
    to_endpoint: bytes
    read_client: bool
    """Whether the client may be read on."""
    end_reason: str
    """The reason why the session has ended; empty while it goes on."""
    other_lines: list[bytes]
    """The endpoint's lines that are the protocol's, and no part of the extension."""


class Relay(Protocol):
    """What a resumable session's lines pass through, both ways."""

    def from_client(self, data: bytes) -> RelayOutput:
        """What the client has sent."""
        ...

    def from_endpoint(self, data: bytes, number: int) -> RelayOutput:
        """What the endpoint with this number has sent."""
        ...

    @property
    def endpoint_number(self) -> int:
        """Number of the endpoint whose lines count."""
        ...

    @property
    def awaits_answer(self) -> bool:
        """Whether a request of the client's waits for its answer."""
        ...


class InPlaceMigration(Protocol):
    """A session on its way to another endpoint, its client's connection established."""

    def stop(self) -> None:
        """The client has disconnected: give the move up."""
        ...
