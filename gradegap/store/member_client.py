"""A member reached from a command line or a test: one question at a time, over a blocking socket."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from typing import Any

from gradegap.store import wire
from gradegap.store.channel import LinkChannel
from gradegap.store.errors import RequestFailedError
from gradegap.store.records import Compare, Event, Item, KeyUpdate
from gradegap.transport.addresses import split_address

RESPONSE_MARGIN_S = 1.0  # s that an answer may take beyond the time that the member was given


class MemberClient:
    """A link to one member. `wait` is how long, in seconds, it may try; writes are applied at most once."""

    def __init__(self, address: str, secret: bytes = b"", wait: float = 5.0) -> None:
        self.address, self.wait = address, wait
        self.channel = LinkChannel.open(secret, "client", is_dialer=True)
        self.serial = 0
        self.words: list[wire.LinkMessage] = []
        try:
            self.sock = socket.create_connection(split_address(address), timeout=min(wait, 2.0))
            self.sock.sendall(self.channel.begin())
            while not self.channel.authenticated:
                self._read()
        except (OSError, ValueError) as error:
            raise RequestFailedError(
                "unreachable", f"the store at {address} can't be reached: {error}"
            ) from None

    def _read(self) -> None:
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("it ended the connection")
        words, reply = self.channel.receive(data)
        if reply:
            self.sock.sendall(reply)
        self.words += words

    def ask(self, wish: wire.RequestBody) -> Iterator[wire.Response]:
        """The answers to one wish; `RequestFailedError` where it is not done."""
        self.serial += 1
        writes = isinstance(
            wish, wire.Transaction | wire.AddMember | wire.RemoveMember | wire.TransferLeadership
        )
        end = time.monotonic() + self.wait + RESPONSE_MARGIN_S
        try:
            self.sock.sendall(self.channel.send(wire.Request(self.serial, wish, self.wait)))
            while True:
                while not self.words:
                    left = end - time.monotonic()
                    if left <= 0 and not isinstance(wish, wire.Watch):
                        raise TimeoutError("it does not answer")
                    self.sock.settimeout(None if isinstance(wish, wire.Watch) else left)
                    self._read()
                word = self.words.pop(0)
                if not isinstance(word, wire.Response) or word.serial != self.serial:
                    continue
                if word.outcome != "ok":
                    raise RequestFailedError(word.outcome, word.text)
                yield word
                if not word.more:
                    return
        except (OSError, ValueError) as error:
            kind, what = ("unknown", "unknown: ") if writes else ("no_quorum", "")
            raise RequestFailedError(kind, f"{what}the store at {self.address}: {error}") from None

    def one(self, wish: wire.RequestBody) -> wire.Response:
        (answer,) = self.ask(wish)
        return answer

    # In short

    def get(self, key: str, stale: bool = False) -> Item | None:
        items = self.one(wire.Get(key, stale)).items
        return items[0] if items else None

    def value(self, key: str, stale: bool = False) -> Any:
        item = self.get(key, stale)
        return None if item is None else item.value

    def set(self, key: str, value: Any, ttl_ms: int = 0, author: str = "") -> int:
        return self.one(wire.Transaction((KeyUpdate(key, value, ttl_ms=ttl_ms),), author=author)).revision

    def delete(self, key: str, author: str = "") -> int:
        return self.one(wire.Transaction((KeyUpdate(key, delete=True),), author=author)).revision

    def cas(self, key: str, revision: int, value: Any, author: str = "") -> wire.Response:
        """Set it only where it was last changed at `revision`; 0: only where it is not there."""
        return self.one(wire.Transaction((KeyUpdate(key, value),), (Compare(key, revision),), author=author))

    def list(self, prefix: str = "", stale: bool = False) -> list[Item]:
        return self.one(wire.List(prefix, stale)).items

    def watch(self, prefix: str = "", revision: int = 0) -> Iterator[Event]:
        for answer in self.ask(wire.Watch(prefix, revision)):
            yield from answer.events

    def in_force(self, revision: int) -> wire.Response:
        """Once all nodes that subscribe have it; else `RequestFailedError` "no", which names who lacks it."""
        return self.one(wire.InForce(revision))

    def status(self) -> dict[str, Any]:
        return self.one(wire.Status()).status

    def snapshot(self) -> bytes:
        return b"".join(answer.data for answer in self.ask(wire.Snapshot()))

    def close(self) -> None:
        self.sock.close()

    def __enter__(self) -> MemberClient:
        return self

    def __exit__(self, *args: object) -> None:
        self.close()
