"""Framing of observer messages on an authenticated link of the store, shared with requests to the store.

On one connection a node subscribes and sends the requests that any client of a member may send
(`wire.Request`, `wire.Response`). The first byte distinguishes the two kinds: observer messages are msgpack
arrays, requests and responses are maps. No I/O.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from gradegap.observer.messages import MAX_FRAME_BYTES, FromPublisher, FromSubscriber
from gradegap.store import wire
from gradegap.store.channel import CHECKSUM_BYTES, LENGTH_BYTES, LinkChannel

FRAME_OVERHEAD_BYTES = LENGTH_BYTES + CHECKSUM_BYTES  # size of a frame without its body

ToPublisher = FromSubscriber | wire.Request
ToSubscriber = FromPublisher | wire.Response

_from_subscriber_decoder: msgspec.msgpack.Decoder[FromSubscriber] = msgspec.msgpack.Decoder(FromSubscriber)
_from_publisher_decoder: msgspec.msgpack.Decoder[FromPublisher] = msgspec.msgpack.Decoder(FromPublisher)
_request_decoder: msgspec.msgpack.Decoder[wire.Request] = msgspec.msgpack.Decoder(wire.Request)
_response_decoder: msgspec.msgpack.Decoder[wire.Response] = msgspec.msgpack.Decoder(wire.Response)
_encoder = msgspec.msgpack.Encoder()


def _is_array(body: bytes) -> bool:
    """Whether a msgpack body is an array (fixarray, array 16 or array 32)."""
    return body[:1] in (b"\xdc", b"\xdd") or (bool(body) and 0x90 <= body[0] <= 0x9F)


def decode_to_publisher(body: bytes) -> ToPublisher:
    """Returns the decoded message of a node.

    Raises:
        msgspec.MsgspecError: The body is not a valid message.
    """
    return _from_subscriber_decoder.decode(body) if _is_array(body) else _request_decoder.decode(body)


def decode_to_subscriber(body: bytes) -> ToSubscriber:
    """Returns the decoded message of a control machine.

    Raises:
        msgspec.MsgspecError: The body is not a valid message.
    """
    return _from_publisher_decoder.decode(body) if _is_array(body) else _response_decoder.decode(body)


def publisher_channel(secret: bytes) -> LinkChannel:
    """Returns the control machine's end of a connection."""
    return LinkChannel.open(
        secret, "client", is_dialer=False, decode=decode_to_publisher, max_frame_bytes=MAX_FRAME_BYTES
    )


def subscriber_channel(secret: bytes) -> LinkChannel:
    """Returns the node's end of a connection."""
    return LinkChannel.open(
        secret, "client", is_dialer=True, decode=decode_to_subscriber, max_frame_bytes=MAX_FRAME_BYTES
    )


class EncodedBodyCache:
    """Caches encoded messages that are sent to many connections, so that each is encoded once."""

    def __init__(self, max_entries: int = 64) -> None:
        self.max_entries = max_entries
        # By `id` of the message. The message is kept with its body, so that its id is not reused.
        self.bodies: OrderedDict[int, tuple[msgspec.Struct, bytes]] = OrderedDict()

    def body(self, message: msgspec.Struct) -> bytes:
        """Returns the encoded message."""
        cached = self.bodies.get(id(message))
        if cached is not None:
            return cached[1]
        body = _encoder.encode(message)
        self.bodies[id(message)] = (message, body)
        if len(self.bodies) > self.max_entries:
            self.bodies.popitem(last=False)
        return body
