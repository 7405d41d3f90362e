"""How much a subscription sent and received, by kind of message."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class MessageVolume:
    """Messages of one kind, and their bytes with framing."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """One more message, of `size` bytes."""
        self.messages += 1
        self.bytes += size


@dataclass(slots=True)
class Traffic:
    """What a subscription sent and received, by kind of message; handshakes are of the kind `Handshake`."""

    sent: dict[str, MessageVolume] = field(default_factory=dict)
    received: dict[str, MessageVolume] = field(default_factory=dict)

    @property
    def bytes_sent(self) -> int:
        """All bytes sent."""
        return sum(volume.bytes for volume in self.sent.values())

    @property
    def bytes_received(self) -> int:
        """All bytes received."""
        return sum(volume.bytes for volume in self.received.values())

    def count_sent(self, kind: str, size: int) -> None:
        """One message of this kind was sent, of `size` bytes with framing."""
        self.sent.setdefault(kind, MessageVolume()).add(size)

    def count_received(self, kind: str, size: int) -> None:
        """One message of this kind came, of `size` bytes with framing."""
        self.received.setdefault(kind, MessageVolume()).add(size)
