"""Counts of the messages and bytes that a subscription sent and received, by kind of message."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class MessageVolume:
    """The number of messages of one kind, and their size with framing."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """Count one message of `size` bytes."""
        self.messages += 1
        self.bytes += size


@dataclass(slots=True)
class Traffic:
    """Messages that a subscription sent and received, by kind; handshakes have the kind `Handshake`."""

    sent: dict[str, MessageVolume] = field(default_factory=dict)
    received: dict[str, MessageVolume] = field(default_factory=dict)

    @property
    def bytes_sent(self) -> int:
        """The bytes sent, of all kinds of messages."""
        return sum(volume.bytes for volume in self.sent.values())

    @property
    def bytes_received(self) -> int:
        """The bytes received, of all kinds of messages."""
        return sum(volume.bytes for volume in self.received.values())

    def count_sent(self, kind: str, size: int) -> None:
        """Count a sent message of this kind, of `size` bytes with framing."""
        self.sent.setdefault(kind, MessageVolume()).add(size)

    def count_received(self, kind: str, size: int) -> None:
        """Count a received message of this kind, of `size` bytes with framing."""
        self.received.setdefault(kind, MessageVolume()).add(size)
