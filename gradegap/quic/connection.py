"""aioquic's server connection with routable ids, NEW_TOKEN tokens and flow-control windows that can be held.

All accesses to private parts of aioquic are in this module. The version of aioquic is pinned for that
reason, and the overridden methods are checked at import: another version fails at the start of the process
and not in the middle of a session.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from aioquic.quic.packet import QuicFrameType
from aioquic.quic.packet_builder import QuicDeliveryState

MAX_CONNECTION_IDS = 8  # limit of active ids of one connection
NEW_TOKEN_OVERHEAD_BYTES = 1 + 8  # type and length fields of a NEW_TOKEN frame

_OVERRIDDEN_METHODS = ("_write_connection_limits", "_write_stream_limits", "_replenish_connection_ids")
if missing := [name for name in _OVERRIDDEN_METHODS if not hasattr(QuicConnection, name)]:
    raise ImportError(
        f"the installed aioquic lacks {', '.join(missing)}; install the version in requirements.txt"
    )


class ServerConnection(QuicConnection):
    """A connection whose flow-control windows are held while backends can't accept data.

    A stream's window is not raised while its backend is blocked, and the connection's window is not raised
    while the backends of all streams are. Otherwise a client that sends faster than its backend reads would
    fill the node's memory: aioquic raises windows by the data received, not by the data consumed, and has no
    public call to hold them.
    """

    def __init__(
        self,
        configuration: QuicConfiguration,
        original_destination_id: bytes,
        retry_source_id: bytes | None,
        make_id: Callable[[], bytes],
        reset_token: Callable[[bytes], bytes],
    ) -> None:
        """Create the connection; `make_id` makes its ids, and `reset_token` returns the reset token of an id.

        `original_destination_id` is the destination id that the client chose first; `retry_source_id` is the
        id that a Retry gave the client, if one was sent.
        """
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination_id,
            retry_source_connection_id=retry_source_id,
        )
        self.make_id, self.reset_token = make_id, reset_token
        self.paused_streams: set[int] = set()  # streams whose windows are held
        self.pending_token = b""  # NEW_TOKEN token to be sent; empty if there is none
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
            # Raises if the packet has no room; the token is then sent in the next packet.
            frame = builder.start_frame(
                QuicFrameType.NEW_TOKEN,
                capacity=NEW_TOKEN_OVERHEAD_BYTES + len(self.pending_token),
                handler=self._on_token_delivery,
                handler_args=(self.pending_token,),
            )
            frame.push_uint_var(len(self.pending_token))
            frame.push_bytes(self.pending_token)
            self.pending_token = b""
        if not self.paused_streams or len(self.paused_streams) < self.open_stream_count():
            super()._write_connection_limits(builder, space)

    def _on_token_delivery(self, state: QuicDeliveryState, token: bytes) -> None:
        if state != QuicDeliveryState.ACKED:
            self.pending_token = token  # the packet was lost, so the token is sent again

    def _write_stream_limits(self, builder: Any, space: Any, stream: Any) -> None:
        if stream.stream_id not in self.paused_streams:
            super()._write_stream_limits(builder, space, stream)

    def is_address_validated(self) -> bool:
        """Whether the client has shown that it receives packets sent to its address."""
        return bool(self._network_paths) and self._network_paths[0].is_validated

    def address(self) -> Any:
        """Return the source address of the last packet that was decrypted; None before the first one."""
        return self._network_paths[0].addr if self._network_paths else None

    # aioquic treats an operation on a finished stream as a programming error. Here it is a race: the client
    # may have reset the stream or sent STOP_SENDING a moment before. The methods below ignore such streams.

    def send_on_stream(self, stream_id: int, data: bytes, end: bool = False) -> None:
        """Send data on a stream unless its sending side has ended; `end` ends the sending side."""
        stream = self._streams.get(stream_id)
        if (
            stream is not None
            and stream.sender._buffer_fin is None
            and stream.sender._reset_error_code is None
        ):
            self.send_stream_data(stream_id, data, end_stream=end)

    def stop_receiving(self, stream_id: int, code: int) -> None:
        """Send STOP_SENDING with an application error code."""
        if stream_id in self._streams:
            self.stop_stream(stream_id, code)

    def reset_sending(self, stream_id: int, code: int) -> None:
        """Send RESET_STREAM with an application error code."""
        if stream_id in self._streams:
            self.reset_stream(stream_id, code)

    def open_stream_count(self) -> int:
        """Return the number of open bidirectional streams that the client opened."""
        return sum(1 for stream_id in self._streams if stream_id % 4 == 0)

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the bytes written to a stream that the client has not acknowledged."""
        stream = self._streams.get(stream_id)
        return 0 if stream is None else len(stream.sender._buffer)

    def is_delivered(self, stream_id: int) -> bool:
        """Whether the client has acknowledged all data of a stream and its end."""
        stream = self._streams.get(stream_id)
        return stream is None or stream.sender.is_finished
