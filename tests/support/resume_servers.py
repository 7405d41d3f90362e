"""Stand-ins in threads for save servers that speak `resume/1` and for the save store that they share."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections import defaultdict

from gradegap.resume import lines
from gradegap.resume.errors import LineError
from gradegap.resume.lines import Acknowledgement, Request
from gradegap.resume.window import ServerWindow
from gradegap.verification.sessions import Record
from tests.support.node_environment import EndpointServer, hard_reset, reset_from_other_thread


class SaveStore:
    """The shared save store: sessions are claimed, fenced by epoch and released.

    The effect of a request and its answer are written in one atomic step.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.sessions: dict[str, tuple[int, int, dict[int, bytes]]] = {}  # epoch, executed, answers
        self.effects: dict[str, list[bytes]] = defaultdict(list)
        self.fenced_writes = 0
        self.log: list[Record] = []

    def claim(self, session: str, epoch: int, server: str = "") -> ServerWindow | None:
        with self.lock:
            stored_epoch, executed, answers = self.sessions.get(session, (0, 0, {}))
            if epoch <= stored_epoch:
                return None
            self.sessions[session] = (epoch, executed, answers)
            self.log.append(Record("claimed", server, session=session, epoch=epoch))
            return ServerWindow(executed, answers)

    def write(
        self, session: str, epoch: int, window: ServerWindow, effect: bytes | None, server: str = ""
    ) -> bool:
        with self.lock:
            if self.sessions.get(session, (0,))[0] != epoch:
                self.fenced_writes += 1
                return False
            self.sessions[session] = (epoch, window.executed, dict(window.answers))
            if effect is not None:
                self.effects[session].append(effect)
                number, answer = window.executed, window.answers[window.executed]
                texts = effect.decode(), answer.decode()
                self.log.append(Record("ran", server, number, *texts, session, epoch))
            return True

    def release(self, session: str) -> None:
        with self.lock:
            self.sessions.pop(session, None)


class ResumableEndpointServer(EndpointServer):
    """A save server that may speak the resume extension and fails on demand.

    `failure_point` selects where it fails:

    - "before": resets the connection of the next request before the request is executed.
    - "after": resets it after the execution and before the answer.
    - "always": resets the connection of every request before the request is executed.
    - "claimed": resets each new connection once its session is claimed.
    - "silent": sends nothing on a new connection once its session is claimed.
    """

    def __init__(self, name: str, store: SaveStore, supports_resume: bool = True) -> None:
        self.store, self.supports_resume, self.failure_point = store, supports_resume, ""
        self.is_killed = False
        self.processing_allowed = threading.Event()
        self.processing_allowed.set()
        super().__init__(name)

    def _serve(self, sock: socket.socket) -> None:
        file = sock.makefile("rb")
        try:
            raw = file.readline()
            while raw.startswith(b"STATS"):
                sock.sendall(f"PONG {self.load}\r\n".encode())
                raw = file.readline()
            first = raw.decode().rstrip("\r\n")
            values = dict(p.partition("=")[::2] for p in first.rpartition(" ")[2].split(","))
            if not self.supports_resume or "rn" not in values or not first.startswith("OPEN"):
                self._plain(sock, file, first)
                return
            self.lines.append((0.0, first))
            session, _, epoch = values["rn"].rpartition(".")
            window = self.store.claim(session, int(epoch), self.name)
            if window is None:
                sock.sendall(b"ERR\r\n")
                return
            if self.is_killed:
                return
            if self.failure_point == "silent":
                file.read()
                return
            if self.failure_point == "claimed":
                hard_reset(sock)
                return
            self.established.append(sock)
            sock.sendall(f"UP {self.name} rs={window.executed}\r\n".encode())
            for answer in window.resume(int(values.get("rh", "0"))):
                sock.sendall(lines.encode(answer))
            self._session(sock, file, session, int(epoch), window)
        except LineError as error:
            with contextlib.suppress(OSError):
                sock.sendall(lines.encode(lines.SessionEnded(str(error).split(":")[0])))
        except OSError:
            pass
        finally:
            sock.close()

    def kill(self) -> None:
        """Acts as if the process were killed: resets every connection and accepts no new one."""
        self.is_killed = True  # readers that wake up later discard what they have received
        self.stop()
        for sock in list(self.established):
            with contextlib.suppress(OSError):
                reset_from_other_thread(sock)

    def _plain(self, sock: socket.socket, file: object, first: str) -> None:
        self.lines.append((0.0, first))
        if first.startswith("OPEN"):
            self.established.append(sock)
            sock.sendall(f"UP {self.name}\r\n".encode())
            for raw in file:  # type: ignore[attr-defined]
                sock.sendall(raw)

    def _session(
        self, sock: socket.socket, file: object, session: str, epoch: int, window: ServerWindow
    ) -> None:
        for raw in file:  # type: ignore[attr-defined]
            self.processing_allowed.wait()
            if self.is_killed:
                return
            line = lines.decode(raw.rstrip(b"\r\n"))
            if isinstance(line, Acknowledgement):
                window.acknowledge(line.number)
                is_written = self.store.write(session, epoch, window, None)
                answer = None
            elif isinstance(line, Request):
                failure_point, self.failure_point = (
                    self.failure_point,
                    self.failure_point if self.failure_point == "always" else "",
                )
                if failure_point in ("before", "always"):
                    hard_reset(sock)
                    return
                answer, is_written = window.request(line), True
                if answer is None:
                    answer = window.record_answer(line.number, b"done " + line.text)
                    is_written = self.store.write(session, epoch, window, line.text, self.name)
                if failure_point == "after":
                    hard_reset(sock)
                    return
            else:
                sock.sendall(raw)
                continue
            if not is_written:
                sock.sendall(b"X fenced\r\n")
                return
            if answer is not None:
                sock.sendall(lines.encode(answer))
