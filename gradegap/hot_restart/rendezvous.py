"""Connects a starting process to the serving one, by a Unix socket in the node's private folder."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Callable, Iterator
from pathlib import Path

import structlog

log = structlog.get_logger()

CONNECT_TIMEOUT_S = 1.5
SOCKET_MODE = 0o600
_PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid: `struct ucred`, unix(7)


@contextlib.contextmanager
def _short_path(folder: Path) -> Iterator[str]:
    """Yield a short alias of a folder's path, with a slash at its end.

    The path of a Unix socket is limited to 107 bytes, which the path of the folder alone may exceed.
    """
    descriptor = os.open(folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{descriptor}/"
    finally:
        os.close(descriptor)


def _bind(sock: socket.socket, path: Path) -> None:
    """Listen at `path`; a socket file already at that path, stale or in use, is replaced."""
    temporary = f"{path.name}.{os.getpid()}"
    with _short_path(path.parent) as folder:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(folder + temporary)
        sock.bind(folder + temporary)
        os.chmod(folder + temporary, SOCKET_MODE)
        sock.listen(1)
        os.rename(folder + temporary, path)


def _is_same_user(sock: socket.socket) -> bool:
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size)
    _, user, _ = _PEER_CREDENTIALS.unpack(credentials)
    return bool(user == os.getuid())


class SuccessorListener:
    """The Unix socket on which the serving process waits for its successor."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: Path,
        on_successor: Callable[[socket.socket], None],
    ) -> None:
        """Listen at `path`; `on_successor` owns the connected socket that is passed to it.

        Raises:
            OSError: if the socket can't be bound at `path`.
        """
        self._loop = loop
        self._on_successor = on_successor
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            _bind(self._sock, path)
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)
        loop.add_reader(self._sock, self._on_readable)

    def _on_readable(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if _is_same_user(sock):
            self._on_successor(sock)
        else:
            sock.close()  # guards against clients' sockets being passed to another user's process

    def close(self) -> None:
        """Stop listening. The socket's file remains; connections to it are refused."""
        self._loop.remove_reader(self._sock)
        self._sock.close()


async def connect_to_predecessor(loop: asyncio.AbstractEventLoop, path: Path) -> socket.socket | None:
    """Connect to the serving process; None if no process listens at `path`."""
    if not path.exists():
        return None
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    try:
        with _short_path(path.parent) as folder:
            await asyncio.wait_for(loop.sock_connect(sock, folder + path.name), CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError) as error:
        log.info("predecessor not found", error=str(error))
        sock.close()
        return None
    return sock
