"""How observer messages travel over a proven link of the store, beside the store's own requests.

On one connection a node subscribes, and sends what any client of a member may request (`wire.Request`,
`wire.Response`). Both kinds are distinguished by how they begin: observer messages are msgpack arrays,
requests are maps. No I/O.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from gradegap.observer.messages import MAX_FRAME_BYTES, FromPublisher, FromSubscriber
from gradegap.store import wire
from gradegap.store.channel import CHECKSUM_BYTES, LENGTH_BYTES, LinkChannel

FRAME_OVERHEAD = LENGTH_BYTES + CHECKSUM_BYTES  # bytes of a frame beside its body

ToPublisher = FromSubscriber | wire.Request
ToSubscriber = FromPublisher | wire.Response

_from_subscriber: msgspec.msgpack.Decoder[FromSubscriber] = msgspec.msgpack.Decoder(FromSubscriber)
_from_publisher: msgspec.msgpack.Decoder[FromPublisher] = msgspec.msgpack.Decoder(FromPublisher)
_ask: msgspec.msgpack.Decoder[wire.Request] = msgspec.msgpack.Decoder(wire.Request)
_answer: msgspec.msgpack.Decoder[wire.Response] = msgspec.msgpack.Decoder(wire.Response)
_encoder = msgspec.msgpack.Encoder()


def _is_array(body: bytes) -> bool:
    """Whether a msgpack body is an array (fixarray, array 16 or array 32)."""
    return body[:1] in (b"\xdc", b"\xdd") or (bool(body) and 0x90 <= body[0] <= 0x9F)


def decode_to_publisher(body: bytes) -> ToPublisher:
    """A message of a node; `msgspec.MsgspecError` where it is none."""
    return _from_subscriber.decode(body) if _is_array(body) else _ask.decode(body)


def decode_to_subscriber(body: bytes) -> ToSubscriber:
    """A message of a control machine; `msgspec.MsgspecError` where it is none."""
    return _from_publisher.decode(body) if _is_array(body) else _answer.decode(body)


def publisher_channel(secret: bytes) -> LinkChannel:
    """The control machine's end of a connection."""
    return LinkChannel.open(
        secret, "client", is_dialer=False, decode=decode_to_publisher, max_frame_bytes=MAX_FRAME_BYTES
    )


def subscriber_channel(secret: bytes) -> LinkChannel:
    """The node's end of a connection."""
    return LinkChannel.open(
        secret, "client", is_dialer=True, decode=decode_to_subscriber, max_frame_bytes=MAX_FRAME_BYTES
    )


class EncodedBodyCache:
    """Bodies of messages that go to many connections: each is encoded once."""

    def __init__(self, max_entries: int = 64) -> None:
        self.max_entries = max_entries
        # The message is kept beside its body, so that its id stays its own.
        self.bodies: OrderedDict[int, tuple[msgspec.Struct, bytes]] = OrderedDict()

    def body(self, message: msgspec.Struct) -> bytes:
        """The encoded message."""
        known = self.bodies.get(id(message))
        if known is not None:
            return known[1]
        body = _encoder.encode(message)
        self.bodies[id(message)] = (message, body)
        if len(self.bodies) > self.max_entries:
            self.bodies.popitem(last=False)
        return body
