"""The connection between two processes of one node: messages with descriptors over a Unix socket.

A `SOCK_SEQPACKET` socket preserves message boundaries, and passes descriptors with a message (`SCM_RIGHTS`).
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable

import msgspec
import structlog

from gradegap.hot_restart.errors import MalformedMessageError
from gradegap.hot_restart.messages import AdminCommand, AdminCommandDone, Message

log = structlog.get_logger()

ADMIN_COMMAND_TIMEOUT_S = 0.6  # limits how long the other process may take to carry out a command
MAX_MESSAGE_BYTES = 128 * 1024
MAX_MESSAGE_DESCRIPTORS = 4
# Limit of messages read per iteration of the event loop; clients are served between iterations.
MAX_MESSAGES_PER_TURN = 16

_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def close_descriptors(descriptors: Iterable[int]) -> None:
    """Close descriptors that were received with a message and are not needed."""
    for descriptor in descriptors:
        with contextlib.suppress(OSError):
            os.close(descriptor)


def _receive(sock: socket.socket) -> tuple[Message, list[int]] | None:
    """Receive the next message and its descriptors, which the caller owns; None at the end of the connection.

    Raises:
        MalformedMessageError: if the message is truncated or can't be decoded; its descriptors are closed.
    """
    body, descriptors, flags, _ = socket.recv_fds(sock, MAX_MESSAGE_BYTES, MAX_MESSAGE_DESCRIPTORS)
    if not body:
        return None
    if flags & (socket.MSG_CTRUNC | socket.MSG_TRUNC):
        close_descriptors(descriptors)
        raise MalformedMessageError(
            f"cut short: over {MAX_MESSAGE_BYTES} bytes or {MAX_MESSAGE_DESCRIPTORS} descriptors"
        )
    try:
        message = _decoder.decode(body)
    except ValueError as error:
        close_descriptors(descriptors)
        raise MalformedMessageError(str(error)) from error
    return message, list(descriptors)


class Link:
    """One end of the connection. Owns its socket, and the commands that have not been answered yet."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: Callable[[Link, Message, list[int]], None],
        on_closed: Callable[[Link], None],
    ) -> None:
        """`on_message` owns the descriptors that are passed to it; `on_closed` is called once."""
        self._loop = loop
        self._sock = sock
        self._on_message = on_message
        self._on_closed = on_closed
        self._unsent: deque[tuple[bytes, tuple[int, ...]]] = deque()
        self._closed = False
        self._pending_commands: dict[int, Callable[[], None]] = {}  # `done` of unanswered commands, by serial
        self._last_serial = 0
        sock.setblocking(False)
        loop.add_reader(sock, self._on_readable)

    @property
    def is_closed(self) -> bool:
        """Whether the connection was closed, by the other process or by this one."""
        return self._closed

    def send(self, message: Message, *descriptors: int) -> None:
        """Send a message now, or as soon as the socket is writable.

        The caller still owns `descriptors`, and keeps them open until the other process has answered.
        """
        if self._closed:
            return
        self._unsent.append((msgspec.msgpack.encode(message), descriptors))
        if len(self._unsent) == 1:
            self._write()

    def send_admin_command(self, operation: str, endpoint: str, done: Callable[[], None]) -> None:
        """Send the other process an operation to apply.

        `done` is called when the other process has applied the operation, when it has ended, or after
        `ADMIN_COMMAND_TIMEOUT_S`.
        """
        self._last_serial += 1
        serial = self._last_serial
        timer = self._loop.call_later(ADMIN_COMMAND_TIMEOUT_S, self._finish_command, serial)

        def finish() -> None:
            timer.cancel()
            done()

        self._pending_commands[serial] = finish
        self.send(AdminCommand(serial, operation, endpoint))

    def _finish_command(self, serial: int) -> None:
        finish = self._pending_commands.pop(serial, None)
        if finish is not None:
            finish()

    def _write(self) -> None:
        while self._unsent and not self._closed:
            body, descriptors = self._unsent[0]
            try:
                socket.send_fds(self._sock, [body], descriptors)
            except (BlockingIOError, InterruptedError):
                self._loop.add_writer(self._sock, self._on_writable)
                return
            except OSError as error:
                log.warning("hot restart message send failed", error=str(error))
                self.close()
                return
            self._unsent.popleft()

    def _on_writable(self) -> None:
        self._loop.remove_writer(self._sock)
        self._write()

    def _on_readable(self) -> None:
        for _ in range(MAX_MESSAGES_PER_TURN):
            if self._closed:
                return
            try:
                received = _receive(self._sock)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.close()
                return
            except MalformedMessageError as error:
                log.error("hot restart message malformed", error=str(error))
                self.close()
                return
            if received is None:
                self.close()
                return
            message, descriptors = received
            if isinstance(message, AdminCommandDone):
                close_descriptors(descriptors)
                self._finish_command(message.serial)
            else:
                self._on_message(self, message, descriptors)

    def close(self) -> None:
        """Close the connection: call `done` of all unanswered commands, and then `on_closed`."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        self._sock.close()
        commands, self._pending_commands = self._pending_commands, {}
        for finish in commands.values():
            finish()
        self._on_closed(self)
