"""The node, assembled: what another program would embed, and what `gradegap serve` runs."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import sys
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import structlog

from gradegap import interface as api
from gradegap import settings as reader
from gradegap.core import Core
from gradegap.handover import Handover
from gradegap.live import LiveConfig, is_count, is_level, is_switch, set_log_level
from gradegap.net.backend import Backends, raise_descriptor_limit, split_address
from gradegap.net.client_session import TcpChannel
from gradegap.net.console import CALLERS_MOST, DONE, Console, Done, Verdict
from gradegap.net.descriptors import Descriptors
from gradegap.net.director import Director, Listing
from gradegap.operator_file import (
    BadOperatorFile,
    OperatorSettings,
    QuicSettings,
    StoreSettings,
    load_operator,
)
from gradegap.stats import Stats
from gradegap.store.snapshot import Snapshot
from gradegap.store.sync import Replica
from gradegap.store.versioned import Store

if TYPE_CHECKING:
    from gradegap.dnssd import DnsDirector
    from gradegap.quic.front import QuicFront

log = structlog.get_logger()

LEAVE_MOVES = 2.6  # s from SIGTERM until the module has moved what stands
LEAVE_AT_LEAST = 0.7  # s from SIGTERM during which clients may still come
LEAVE_LAST = 3.0  # s from SIGTERM until whatever stands then is moved at once
DRAIN_MOVES = 2.8  # s from the call out of service until nothing stands here
BACKLOG = 1024  # clients that may wait to be accepted
PORT_RETRY = 0.1  # s between two tries at a port that the process before still holds
MOST_OUT = 50  # save servers out by hand at once
LEAVE_AT_MOST = 3.5  # s from SIGTERM until the end, short of the 3.7 s after which SIGKILL may come
RELOADED = ("discovery", "limits", "known")  # what a reload changes, the settings beside
FIXED = ("name", "listen", "seed", "console")  # what lasts for the life of a process
UNKNOWN = Verdict(HTTPStatus.NOT_FOUND, "no such save server")
READY_ANYWAY = 1.0  # s after which a node with the list of its configuration serves without discovery


class BadConfig(ValueError):
    """A configuration that the node can't start with; its text is one plain line."""


class Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 0.0
    sockets: int = 0


class Config(msgspec.Struct):
    """`config.json`, as the platform writes it."""

    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    console: str = ""  # where operators call; none: nobody does
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: Listing = msgspec.field(default_factory=Listing)


@dataclass(slots=True)
class Setup:
    config: Config
    settings: api.Settings
    path: str  # the file it was read from
    written: Config  # as the file has it, without the environment's words
    names: dict[str, Any]  # all that the file has, but for the lists of `known`

    @property
    def seed(self) -> int:
        try:
            return int(self.config.seed, 16)
        except ValueError:
            return zlib.crc32(self.config.seed.encode())


def load(path: str | None = None) -> Setup:
    """The configuration from NODE_CONFIG, with the other NODE_ variables over it."""
    path = path or os.environ.get("NODE_CONFIG", "")
    if not path:
        raise BadConfig("NODE_CONFIG names no file")
    try:
        data = Path(path).read_bytes()
        config = msgspec.json.decode(data, type=Config)
        names = msgspec.json.decode(data) | {"known": None}
    except OSError as error:
        raise BadConfig(f"{path} can't be read: {error.strerror}") from None
    except msgspec.MsgspecError as error:
        raise BadConfig(f"{path} is no configuration: {error}") from None
    written = msgspec.structs.replace(config)
    config.name = os.environ.get("NODE_NAME") or config.name
    config.listen = os.environ.get("NODE_LISTEN") or config.listen
    config.discovery = os.environ.get("NODE_DISCOVERY") or config.discovery
    config.console = os.environ.get("NODE_CONSOLE") or config.console
    for name in ("listen", "discovery", "console"):
        address = getattr(config, name)
        try:
            if address or name != "console":
                split_address(address)
        except ValueError:
            raise BadConfig(f"{name} is no address: {address!r}") from None
    try:
        reader.check(config.settings)
        settings = api.Settings(**reader.read(reader.flatten(config.settings)))
    except KeyError as error:
        raise BadConfig(f"settings lack {error}") from None
    except (ValueError, TypeError) as error:
        raise BadConfig(f"settings can't be used: {error}") from None
    return Setup(config, settings, path, written, names)


def reload(old: Setup) -> Setup:
    """The configuration anew, from the file it came from. What the file has changed since it was last read
    is newer than the environment of the start, and goes over it; the rest stays as it is in force."""
    new = load(old.path)
    # Guards against a file that was cut between two of its names: what it lacks would become a default.
    if missing := reader.lacking(old.names, new.names):
        raise BadConfig(f"{old.path} lacks {missing}, which the one in force has")
    for name in RELOADED:
        now, before = getattr(new.written, name), getattr(old.written, name)
        setattr(new.config, name, now if now != before else getattr(old.config, name))
    for name in FIXED:
        if getattr(new.written, name) != getattr(old.written, name):
            log.warning("takes effect at the next start only", setting=name)
        setattr(new.config, name, getattr(old.config, name))
    return new


def listen(host: str, port: int) -> socket.socket:
    """The clients' listening socket. Shared, so that a process which could not be passed it starts all the
    same; only processes of the same user can share it."""
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def private_file(config: Config, kind: str) -> Path | None:
    """A file of this node in the folder that is its own, whichever process serves; none without one."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        return None
    tag = zlib.crc32(f"{config.name} {config.listen}".encode())
    return Path(folder) / f"gradegap-{tag:08x}.{kind}"


class Node:
    """One node: the core, its ports and its fronts on one loop."""

    def __init__(
        self, setup: Setup, loop: asyncio.AbstractEventLoop, operator: OperatorSettings | None = None
    ) -> None:
        self.setup = setup
        self.operator = operator or OperatorSettings()
        self.quic: QuicFront | None = None
        self.loop = loop
        self.stats = Stats()
        self.descriptors = Descriptors(raise_descriptor_limit(setup.config.limits.sockets), self.stats)
        self.backends = Backends(loop, setup.settings.connect_timeout, self.descriptors)
        self.core = Core(setup.settings, setup.seed, self.backends, self.stats, loop)
        self.director: Director | DnsDirector = self._make_director()
        self.store = Store(setup.config.name)
        self.live = LiveConfig(self.store, self.stats)
        self.replica: Replica | None = None
        self.channels: set[TcpChannel] = set()
        self.ready = False
        self.leaving = False
        self.console: Console | None = None
        self.again: asyncio.Task[None] | None = None
        self.late: list[asyncio.Task[None]] = []  # ports that wait for the process before to leave them
        self.snapshot = Snapshot(private_file(setup.config, "snapshot"), self.stats)
        self.core.out_changed = self._keep_out
        self.handover = Handover(self, private_file(setup.config, "sock"))
        self.listening: socket.socket | None = None  # kept beside the one accepted from, to pass on
        self.done: asyncio.Future[None] = loop.create_future()
        self.server: asyncio.Server | None = None
        self.stats.gauge("open_sessions", lambda: len(self.channels))
        self.stats.gauge("reqs", lambda: len(self.core.reqs))

    def _make_director(self) -> Director | DnsDirector:
        if self.operator.dnssd is None:
            return Director(self.core, self.backends.dialer, self.setup.config.discovery, self.stats)
        from gradegap.dnssd import DnsDirector

        return DnsDirector(self.core, self.operator.dnssd, self.stats)

    async def start(self) -> None:
        config = self.setup.config
        self.live.key("log_level", is_level, set_log_level, "info")
        self._tell_state("starting")
        self.director.first = self._get_ready
        following = await self.handover.follow()
        if not following:
            self._take_known()
        self._take_snapshot()
        self.director.start()
        try:
            self.listening = self.listening or listen(*split_address(config.listen))
        except OSError as error:
            raise BadConfig(f"can't listen on {config.listen}: {error.strerror}") from None
        if config.console:
            await self._start_console(config.console)
        await self._accept()
        if following:
            self._get_ready()  # the list that it was told is the one in force
        self.handover.serves()
        if self.operator.quic is not None:
            await self._when_free(self._start_quic, self.operator.quic, following)
        if self.operator.store is not None:
            await self._when_free(self._start_store, self.operator.store, following)
        log.info("listening", name=config.name, address=config.listen, following=following)

    def channel(self) -> TcpChannel:
        return TcpChannel(self.core, self.stats, self.admits, self.channels, self.descriptors)

    async def _accept(self) -> None:
        if self.listening is not None and self.server is None:
            own = self.listening.dup()
            self.server = await self.loop.create_server(self.channel, sock=own, backlog=BACKLOG)

    def accept_again(self) -> None:
        # One task, where the process that took over has died.
        self.again = self.loop.create_task(self._accept())

    def stop_accepting(self) -> None:
        """Another process accepts from the same socket: what waits in its queue is not lost."""
        if self.server is not None:
            self.server.close()
            self.server = None

    async def _when_free(
        self, start: Callable[[Any], Awaitable[None]], settings: Any, following: bool
    ) -> None:
        """Start a front or the store, at once or as soon as the process before has left its port."""
        try:
            await start(settings)
        except BadConfig as error:
            if not following:
                raise
            log.info("waits until the process before has left", reason=str(error))
            self.late.append(self.loop.create_task(self._when_left(start, settings)))

    async def _when_left(self, start: Callable[[Any], Awaitable[None]], settings: Any) -> None:
        while not self.leaving:
            alone = self.handover.link is None
            await asyncio.sleep(PORT_RETRY)
            try:
                return await start(settings)
            except BadConfig as error:
                if alone:
                    self.stats.count("ports_not_free")
                    log.error("not started", error=str(error))
                    return

    async def _start_console(self, address: str) -> None:
        self.descriptors.reserve(CALLERS_MOST)
        self.console = Console(self, self.loop, self.stats)
        try:
            await self.console.start(*split_address(address))
        except OSError as error:
            raise BadConfig(f"the console can't listen on {address}: {error.strerror}") from None
        log.info("listening", console=address)

    # What operators ask for

    def admits(self) -> bool:
        """What PING is told: whether new clients are to come here."""
        return self.ready and self.core.drained_by is None

    def ask_ready(self, done: Done) -> None:
        done(DONE if self.ready else Verdict(HTTPStatus.SERVICE_UNAVAILABLE, "takes no clients"))

    def take_out(self, server: str, done: Done) -> None:
        if len(self.core.out) >= MOST_OUT and server not in self.core.out:
            done(Verdict(HTTPStatus.SERVICE_UNAVAILABLE, f"{MOST_OUT} save servers are out already"))
        else:
            self._both("out", server, done) if self.core.take_out(server) else done(UNKNOWN)

    def call_back(self, server: str, done: Done) -> None:
        self._both("back", server, done) if self.core.call_back(server) else done(UNKNOWN)

    def _both(self, what: str, server: str, done: Done) -> None:
        """Yes, once it is in force in each process of this node."""
        self.handover.order(what, server, lambda: done(DONE))

    def obey(self, what: str, server: str) -> None:
        """A call that the other process was asked for."""
        match what:
            case "out":
                self.core.take_out(server)
            case "back":
                self.core.call_back(server)
            case "drain":
                self.core.drain(DRAIN_MOVES)
            case "stay":
                self.core.stay()

    def out_of_service(self, done: Done) -> None:
        self.core.drain(DRAIN_MOVES)
        self._state_changed("drain", done)

    def in_service(self, done: Done) -> None:
        self.core.stay()
        self._state_changed("stay", done)

    def _state_changed(self, what: str, done: Done) -> None:
        if self.leaving and self.handover.link is None:
            done(Verdict(HTTPStatus.SERVICE_UNAVAILABLE, "this process is leaving"))
            return
        out = self.core.drained_by is not None
        self.stats.count("calls_out_of_service" if out else "calls_in_service")
        self._tell_state("out of service" if out else "ready" if self.ready else "starting")
        self._both(what, "", done)

    def _keep_out(self) -> None:
        """The save servers out by hand, as this node's key of the store and in its snapshot."""
        self.store.own(f"out/{self.setup.config.name}", dict(self.core.out))
        self._write_snapshot()

    def _write_snapshot(self) -> None:
        entry = self.store.entries.get(f"out/{self.setup.config.name}")
        self.snapshot.write([entry] if entry is not None else [])

    def _take_snapshot(self) -> None:
        """What a process of this node before this one was told by hand."""
        self.store.merge(self.snapshot.read())
        held = self.store.get(f"out/{self.setup.config.name}")
        try:
            out = msgspec.convert(held or {}, dict[str, float])
        except msgspec.ValidationError:
            return
        for server, at in out.items():
            self.core.take_out(server, at)

    def _take_known(self) -> None:
        """The list of the configuration, to serve with until discovery has told one."""
        known = self.setup.config.known.entries({}, self.stats)
        self.core.listing(api.ListKind.CACHED, known)
        if known:
            self.loop.call_later(READY_ANYWAY, self._get_ready)

    async def _start_quic(self, settings: QuicSettings) -> None:
        # Loaded here: a node without this front does without its libraries' memory.
        from gradegap.quic.front import QuicFront

        try:
            self.quic = front = QuicFront(self.core, self.stats, self.admits, settings)
            address = split_address(settings.listen)
            await self.loop.create_datagram_endpoint(lambda: front, local_addr=address)
        except (OSError, ValueError) as error:
            raise BadConfig(f"the QUIC front can't start: {error}") from None
        self.live.key("quic_max_sessions", is_count, front.set_most, settings.max_sessions)
        self.live.key("quic_accept", is_switch, front.set_accept, True)
        log.info("listening", quic=settings.listen)

    async def _start_store(self, settings: StoreSettings) -> None:
        self.replica = Replica(self.store, self.backends.dialer, self.stats, settings.peers)
        try:
            await self.replica.start(settings.listen)
        except OSError as error:
            raise BadConfig(f"the store can't listen on {settings.listen}: {error.strerror}") from None
        log.info("listening", store=settings.listen)

    def _tell_state(self, state: str) -> None:
        """What this node is doing, for its peers and its operator; never load or choices."""
        self.store.own(
            f"node/{self.setup.config.name}",
            {
                "state": state,
                "listen": self.setup.config.listen,
                "quic": self.operator.quic.listen if self.operator.quic is not None else None,
                "started_ms": round(self.core.anchor_ms),
            },
        )

    def _get_ready(self) -> None:
        if not self.leaving and not self.ready:
            self.ready = True
            self._tell_state("ready")

    def reload(self) -> None:
        """SIGHUP: read the configuration again and apply it, whatever else goes on; a bad one changes
        nothing."""
        old = self.setup
        try:
            self.setup = new = reload(old)
        except BadConfig as error:
            self.stats.count("reloads_failed")
            log.error("configuration not reloaded, the old one is kept", error=str(error))
            return
        self.stats.count("reloads")
        if new.settings != old.settings:
            self.core.reconfigure(new.settings)
            self.backends.connect_wait = new.settings.connect_timeout
        if new.config.limits != old.config.limits:
            self.descriptors.limit = raise_descriptor_limit(new.config.limits.sockets)
        if new.config.known != old.config.known and not self.director.told:
            self._take_known()
        if new.config.discovery != old.config.discovery and isinstance(self.director, Director):
            self.director.change_over(new.config.discovery)
        log.info("configuration reloaded", discovery=new.config.discovery)

    def stop(self) -> None:
        """Leave: clients still come for a while, all are answered, all that stands is moved; then end."""
        if self.leaving:
            return
        log.info("leaving", reqs=len(self.core.reqs))
        self.leaving = True
        self.ready = False
        self._tell_state("leaving")
        self.core.leave(LEAVE_MOVES)
        at_least = 0.0 if self.handover.gave_way else LEAVE_AT_LEAST
        self.loop.call_later(at_least, self._look_empty)
        self.loop.call_later(LEAVE_LAST, self.core.move_all)
        self.loop.call_later(LEAVE_AT_MOST, self._end)

    def _look_empty(self) -> None:
        # Idle connections of a front don't hold the node; answers on their way out do.
        answering = any(c.session.opening for c in self.channels)
        passing = self.handover.gave_way and self.handover.link is not None
        answering = answering or (passing and bool(self.channels))
        answering = answering or (self.quic is not None and self.quic.answering())
        if self.core.reqs or answering:
            self.loop.call_later(0.05, self._look_empty)
        else:
            self._end()

    def _end(self) -> None:
        self.handover.close()
        if self.console is not None:
            self.console.close()
        if self.listening is not None:
            self.listening.close()
        if self.server is not None:
            self.server.close()
        if self.quic is not None:
            self.quic.close()
        if self.replica is not None:
            self.replica.close()
        if not self.done.done():
            self.done.set_result(None)

    def print_counters(self) -> None:
        log.info("counters", **self.stats.snapshot())


SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)


def hold_signals() -> None:
    """Guards against a SIGHUP or SIGTERM that ends the process because its handler is not there yet, or is
    there no more: it waits until `run` takes it, or until the process has ended by itself."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def run(setup: Setup, operator: OperatorSettings | None = None) -> None:
    """Serve until a signal ends it."""
    import uvloop

    async def main() -> None:
        loop = asyncio.get_running_loop()
        node = Node(setup, loop, operator)
        loop.add_signal_handler(signal.SIGUSR1, node.print_counters)
        loop.add_signal_handler(signal.SIGTERM, node.stop)
        loop.add_signal_handler(signal.SIGHUP, node.reload)
        try:
            await node.start()
            # Only now: the loop's worker threads have begun with both held, and so never take them.
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
            await node.done
        finally:
            hold_signals()
            node.print_counters()

    uvloop.run(main())


def configure_log() -> None:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def stop_line(error: Exception) -> SystemExit:
    """One plain line, and an exit that is not zero."""
    sys.stderr.write(f"gradegap: {' '.join(str(error).split())}\n")
    return SystemExit(2)


def load_both(config: str | None, operator: str | None) -> tuple[Setup, OperatorSettings]:
    try:
        return load(config), load_operator(operator or os.environ.get("GRADEGAP_OPERATOR"))
    except (BadConfig, BadOperatorFile) as error:
        raise stop_line(error) from None


def serve(config: str | None = None, operator: str | None = None) -> None:
    """Run one node until SIGTERM; SIGHUP has it read its configuration again."""
    hold_signals()
    configure_log()
    setup, settings = load_both(config, operator)
    try:
        run(setup, settings)
    except BadConfig as error:
        raise stop_line(error) from None
