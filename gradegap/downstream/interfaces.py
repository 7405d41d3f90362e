"""Interfaces between a client session and its channel, and between a session and session resumption."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

LINGER_S = 1.0
"""Time for a client to close its side of the connection after its last line was sent."""


class CloseReason(Enum):
    """The reason why a session closes its channel. The reason determines the last line, if there is one."""

    REJECTED = "rejected"
    FAILED = "failed"
    INVALID_LINE = "invalid_line"
    MIGRATED = "migrated"
    SERVED = "served"
    RESET = "reset"


class Channel(Protocol):
    """Transport of a session's lines to and from its client."""

    def write(self, data: bytes) -> None:
        """Send data to the client."""
        ...

    def close(self, reason: CloseReason) -> None:
        """Close after the client has received all written data; repeated calls have no effect."""
        ...

    def pause(self) -> None:
        """Stop reading from the client."""
        ...

    def resume(self) -> None:
        """Continue to read from the client."""
        ...

    def is_disconnected(self) -> bool:
        """Return whether the client has closed its connection, even if that was not read yet."""
        ...

    def on_ping(self) -> None:
        """Handle that the client has sent `PING`, but no request yet."""
        ...

    def on_request(self) -> None:
        """Handle that the client has sent its request: the channel is in use from now on."""
        ...


class RelayOutput(Protocol):
    """The output of a relay for some input lines."""

    to_client: bytes
    to_endpoint: bytes
    read_client: bool
    """Whether to continue reading from the client."""
    end_reason: str
    """The reason why the session has ended; empty while it has not."""
    other_lines: list[bytes]
    """The endpoint's lines that belong to the base protocol and not to the session extension."""


class Relay(Protocol):
    """Relay of a resumable session's lines in both directions."""

    def from_client(self, data: bytes) -> RelayOutput:
        """Process data from the client."""
        ...

    def from_endpoint(self, data: bytes, number: int) -> RelayOutput:
        """Process data from the endpoint with this number."""
        ...

    @property
    def endpoint_number(self) -> int:
        """Number of switches to another endpoint so far; data of an endpoint selected earlier is ignored."""
        ...

    @property
    def awaits_answer(self) -> bool:
        """Whether a request line of the client has no answer yet."""
        ...


class InPlaceMigration(Protocol):
    """Migration of a session to another endpoint, during which its client stays connected."""

    def stop(self) -> None:
        """Cancel the migration, because the client has disconnected."""
        ...
