"""A blocking client of one member for command lines and tests, with one request at a time."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from types import TracebackType
from typing import Any, Self

from gradegap.store import wire
from gradegap.store.channel import LinkChannel
from gradegap.store.errors import RequestFailedError
from gradegap.store.pending import CHANGING_REQUESTS
from gradegap.store.records import Compare, Event, Item, KeyUpdate
from gradegap.transport.addresses import split_address

RESPONSE_MARGIN_S = 1.0  # the client waits this much longer than the timeout sent in the request
MAX_CONNECT_TIMEOUT_S = 2.0
RECEIVE_BYTES = 65536


class MemberClient:
    """A link to one member.

    `timeout_s` is the time (s) in which the member must complete a request. Writes are applied at most once.
    """

    def __init__(self, address: str, secret: bytes = b"", timeout_s: float = 5.0) -> None:
        """Connect and authenticate.

        Raises:
            RequestFailedError: With kind "unreachable": no connection, or the handshake failed.
        """
        self.address, self.timeout_s = address, timeout_s
        self.channel = LinkChannel.open(secret, "client", is_dialer=True)
        self.serial = 0
        self.messages: list[wire.LinkMessage] = []  # messages received but not processed yet
        try:
            connect_timeout_s = min(timeout_s, MAX_CONNECT_TIMEOUT_S)
            self.sock = socket.create_connection(split_address(address), timeout=connect_timeout_s)
            self.sock.sendall(self.channel.begin())
            while not self.channel.authenticated:
                self.receive()
        except (OSError, ValueError) as error:
            text = f"store member at {address} is unreachable: {error}"
            raise RequestFailedError("unreachable", text) from None

    def receive(self) -> None:
        """Wait for bytes from the member, and append each message that is now complete to `messages`."""
        data = self.sock.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionError("connection closed by the member")
        messages, reply = self.channel.receive(data)
        if reply:
            self.sock.sendall(reply)
        self.messages += messages

    def responses(self, body: wire.RequestBody) -> Iterator[wire.Response]:
        """Send a request and yield its responses as they arrive.

        Raises:
            RequestFailedError: The member rejected or failed the request, or the link failed.
        """
        self.serial += 1
        deadline = time.monotonic() + self.timeout_s + RESPONSE_MARGIN_S
        try:
            self.sock.sendall(self.channel.send(wire.Request(self.serial, body, self.timeout_s)))
            more = True
            while more:
                response = self._next_response(body, deadline)
                yield response
                more = response.more
        except (OSError, ValueError) as error:
            text = f"store member at {self.address}: {error}"
            if isinstance(body, CHANGING_REQUESTS):
                raise RequestFailedError("unknown", f"unknown: {text}") from None
            raise RequestFailedError("no_quorum", text) from None

    def _next_response(self, body: wire.RequestBody, deadline: float) -> wire.Response:
        while True:
            while not self.messages:
                self._wait_for_message(isinstance(body, wire.Watch), deadline)
            message = self.messages.pop(0)
            if not isinstance(message, wire.Response) or message.serial != self.serial:
                continue
            if message.outcome != "ok":
                raise RequestFailedError(message.outcome, message.text)
            return message

    def _wait_for_message(self, forever: bool, deadline: float) -> None:
        left_s = deadline - time.monotonic()
        if left_s <= 0 and not forever:
            raise TimeoutError("timed out waiting for a response")
        self.sock.settimeout(None if forever else left_s)
        self.receive()

    def request(self, body: wire.RequestBody) -> wire.Response:
        """Send a request and return its only response; raises as `responses` does."""
        (response,) = self.responses(body)
        return response

    # Operations

    def get(self, key: str, stale: bool = False) -> Item | None:
        """Returns a key with its value; None if the key does not exist."""
        items = self.request(wire.Get(key, stale)).items
        return items[0] if items else None

    def value(self, key: str, stale: bool = False) -> Any:
        """Returns the value of a key; None if the key does not exist."""
        item = self.get(key, stale)
        return None if item is None else item.value

    def set(self, key: str, value: Any, ttl_ms: int = 0, author: str = "") -> int:
        """Set a key and return the revision.

        The key expires `ttl_ms` of log time after the write; 0: it never expires.
        """
        update = KeyUpdate(key, value, ttl_ms=ttl_ms)
        return self.request(wire.Transaction((update,), author=author)).revision

    def delete(self, key: str, author: str = "") -> int:
        """Delete a key and return the revision."""
        update = KeyUpdate(key, delete=True)
        return self.request(wire.Transaction((update,), author=author)).revision

    def compare_and_set(self, key: str, revision: int, value: Any, author: str = "") -> wire.Response:
        """Set a key if it was last changed at `revision`; 0: if it does not exist."""
        write = wire.Transaction((KeyUpdate(key, value),), (Compare(key, revision),), author=author)
        return self.request(write)

    def list(self, prefix: str = "", stale: bool = False) -> list[Item]:
        """Returns the keys with a prefix, with their values."""
        return self.request(wire.List(prefix, stale)).items

    def watch(self, prefix: str = "", revision: int = 0) -> Iterator[Event]:
        """Yield changes of keys with a prefix, from `revision` on (0: only future ones), without end."""
        for response in self.responses(wire.Watch(prefix, revision)):
            yield from response.events

    def in_force(self, revision: int) -> wire.Response:
        """Wait until all subscribed nodes have acknowledged a revision.

        Raises:
            RequestFailedError: With kind "no", and the nodes that lack the revision in the text.
        """
        return self.request(wire.InForce(revision))

    def status(self) -> dict[str, Any]:
        """Returns the status of the member and its view of the cluster."""
        return self.request(wire.Status()).status

    def snapshot(self) -> bytes:
        """Returns a backup of all committed keys."""
        return b"".join(response.data for response in self.responses(wire.Snapshot()))

    def close(self) -> None:
        """Close the link."""
        self.sock.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()
