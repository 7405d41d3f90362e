"""A server's connection: aioquic's, with ids of our making, tokens for later, and windows that can be held.

All that touches private parts of aioquic stands here. It is pinned for that, and what is overridden is looked
for at import, so that another version fails at start and not in the middle of a session.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from aioquic.quic.packet import QuicFrameType
from aioquic.quic.packet_builder import QuicDeliveryState

MAX_CONNECTION_IDS = 8  # of one connection at once
NEW_TOKEN_OVERHEAD = 1 + 8  # octets of a NEW_TOKEN frame beside the token

_OVERRIDDEN = ("_write_connection_limits", "_write_stream_limits", "_replenish_connection_ids")
if missing := [n for n in _OVERRIDDEN if not hasattr(QuicConnection, n)]:
    raise ImportError(f"this aioquic has no {', '.join(missing)}; install the version of requirements.txt")


class HeldConnection(QuicConnection):
    """A stream's flow-control window is not raised while its backend can't take more.

    The connection's is not while that is so of all.  Guards against a client that sends faster than its
    backend reads: aioquic raises windows by what has arrived, not by what was taken on, and has no public
    call to hold them.
    """

    def __init__(
        self,
        configuration: QuicConfiguration,
        original: bytes,
        retried: bytes | None,
        make_id: Callable[[], bytes],
        reset_token: Callable[[bytes], bytes],
    ) -> None:
        """`original` is the id that the client chose first, `retried` the one that a Retry gave it."""
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original,
            retry_source_connection_id=retried,
        )
        self.make_id, self.reset_token = make_id, reset_token
        self.paused_streams: set[int] = set()  # streams whose sessions take no more
        self.pending_token = b""  # a token for the client's next connection, until it has it
        cid = make_id()
        self._host_cids[0] = QuicConnectionId(cid, 0, reset_token(cid), True)
        self.host_cid = self._local_initial_source_connection_id = cid

    def _replenish_connection_ids(self) -> None:
        while len(self._host_cids) < min(MAX_CONNECTION_IDS, self._remote_active_connection_id_limit):
            cid = self.make_id()
            self._host_cids.append(QuicConnectionId(cid, self._host_cid_seq, self.reset_token(cid)))
            self._host_cid_seq += 1

    def _write_connection_limits(self, builder: Any, space: Any) -> None:
        if self.pending_token and self._handshake_complete:
            frame = builder.start_frame(  # raises where the packet has no room: then in the next
                QuicFrameType.NEW_TOKEN,
                capacity=NEW_TOKEN_OVERHEAD + len(self.pending_token),
                handler=self._token_delivered,
                handler_args=(self.pending_token,),
            )
            frame.push_uint_var(len(self.pending_token))
            frame.push_bytes(self.pending_token)
            self.pending_token = b""
        if not self.paused_streams or len(self.paused_streams) < self.open_stream_count():
            super()._write_connection_limits(builder, space)

    def _token_delivered(self, state: QuicDeliveryState, token: bytes) -> None:
        if state != QuicDeliveryState.ACKED:
            self.pending_token = token  # lost: once more

    def _write_stream_limits(self, builder: Any, space: Any, stream: Any) -> None:
        if stream.stream_id not in self.paused_streams:
            super()._write_stream_limits(builder, space, stream)

    def is_address_validated(self) -> bool:
        """Whether the client has shown that it hears what is sent to its address."""
        return bool(self._network_paths) and self._network_paths[0].is_validated

    def address(self) -> Any:
        """Where the client is, by the last packet of its that could be opened; None before the first."""
        return self._network_paths[0].addr if self._network_paths else None

    # Of a stream that is over nothing can be said, which aioquic takes for its user's mistake. Here it is a
    # matter of timing: the client has reset it, or stopped listening, a moment before.

    def send_on_stream(self, number: int, data: bytes, end: bool = False) -> None:
        """Send on a stream, unless its sending side has ended."""
        stream = self._streams.get(number)
        if (
            stream is not None
            and stream.sender._buffer_fin is None
            and stream.sender._reset_error_code is None
        ):
            self.send_stream_data(number, data, end_stream=end)

    def stop_receiving(self, number: int, code: int) -> None:
        """Hear no more of it."""
        if number in self._streams:
            self.stop_stream(number, code)

    def reset_sending(self, number: int, code: int) -> None:
        """Say no more on it."""
        if number in self._streams:
            self.reset_stream(number, code)

    def open_stream_count(self) -> int:
        """How many of the client's streams there are."""
        return sum(1 for number in self._streams if number % 4 == 0)

    def unsent_bytes(self, number: int) -> int:
        """Bytes of a stream that the client has not acknowledged."""
        stream = self._streams.get(number)
        return 0 if stream is None else len(stream.sender._buffer)

    def is_delivered(self, number: int) -> bool:
        """Whether the client has all of a stream, its end included."""
        stream = self._streams.get(number)
        return stream is None or stream.sender.is_finished
