"""The node, assembled: what another program would embed, and what `gradegap serve` runs."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

import msgspec
import structlog

from gradegap.admin.http_api import CALLERS_MAX, AdminApi
from gradegap.admin.operations import DONE, AdminResult, ResultCallback
from gradegap.balancing.events import EndpointListKind
from gradegap.balancing.settings import Settings
from gradegap.discovery.http_discovery import HttpDiscovery
from gradegap.downstream.session import Resuming, TcpChannel
from gradegap.errors import ConfigurationError, OperatorFileError
from gradegap.hot_restart import AdminOperation, HotRestart
from gradegap.hot_restart.host import ReleasedQuicPort
from gradegap.hot_restart.link import close_descriptors
from gradegap.metrics import Metrics
from gradegap.node.configuration import Configuration, private_file, reload
from gradegap.node.operator_file import OperatorSettings
from gradegap.node.subscriptions import subscription_server_factory
from gradegap.observer.settings import ObserverSettings
from gradegap.proxy.proxy import Proxy
from gradegap.quic.settings import QuicSettings
from gradegap.setting_checks import read_secret
from gradegap.store.disabled_endpoints import DisabledEndpointsFile
from gradegap.store.dynamic_configuration import DynamicConfiguration, set_log_level
from gradegap.store.settings import StoreSettings
from gradegap.transport.addresses import split_address
from gradegap.transport.descriptors import DescriptorBudget, raise_descriptor_limit
from gradegap.upstream.tcp_upstream import TcpUpstream

if TYPE_CHECKING:
    from gradegap.capture.switch import RecordingSwitch
    from gradegap.discovery.dns_sd_discovery import DnsSdDiscovery
    from gradegap.observer.observed_store import ObservedStore
    from gradegap.quic.listener import QuicListener
    from gradegap.store.embedded import EmbeddedStore
    from gradegap.store.machine import StateMachine

log = structlog.get_logger()

KILLED_AFTER = 0.7  # s from the longest deadline after SIGTERM to the earliest SIGKILL
DEADLINE_MOST = 3.0  # s that the longest deadline counts for there at the most
LEAVE_MOVES = 1.1, 0.4  # s before that until which the module has moved what stands; at least that part of it
LEAVE_AT_LEAST = 0.7  # s from SIGTERM during which clients may still come
LEAVE_LAST = 0.7, 0.6  # s before that at which whatever is left is moved or answered; at least that part
LEAVE_LOOK = 0.05  # s between two looks whether the last client has gone
LEAVE_AGAIN = 0.3  # s after which a client that rested here until the end may come again, elsewhere
DRAIN_MOVES = 2.8  # s from the call out of service until nothing stands here
BACKLOG = 1024  # clients that may wait to be accepted
PORT_RETRY = 0.1  # s between two tries at a port that the process before still holds
MOST_OUT = 50  # save servers out by hand at once
STALE_WAIT = 0.5  # s after which a client that was refused for want of a lease may come again
STORE_LEAVES = 0.3  # s in which a leader of the store hands over before its process leaves it
LEAVE_AT_MOST = 0.2  # s before that at which the process ends, whatever stands
UNKNOWN = AdminResult(HTTPStatus.NOT_FOUND, "no such save server")
NO_SUBSCRIPTION = AdminResult(HTTPStatus.NOT_FOUND, "this node has no subscription: see [observer]")
READY_ANYWAY = 1.0  # s after which a node with the list of its configuration serves without discovery


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


def killed_from(settings: Settings) -> float:
    """s from SIGTERM after which the platform may kill the process; what was taken is answered by then."""
    return min(DEADLINE_MOST, max(c.time_limit for c in settings.classes.values())) + KILLED_AFTER


class Node:
    """One node: the core, its ports and its fronts on one loop."""

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        operator: OperatorSettings | None = None,
    ) -> None:
        self.configuration = configuration
        self.operator = operator or OperatorSettings()
        self.quic: QuicListener | None = None
        self.loop = loop
        self.metrics = Metrics()
        self.descriptors = DescriptorBudget(
            raise_descriptor_limit(configuration.node.limits.sockets), self.metrics
        )
        self.upstream = TcpUpstream(loop, configuration.settings.connect_timeout, self.descriptors)
        self.proxy = Proxy(configuration.settings, configuration.seed, self.upstream, self.metrics, loop)
        self.discovery: HttpDiscovery | DnsSdDiscovery = self._make_discovery()
        self.live = DynamicConfiguration(self.metrics)
        self.store: EmbeddedStore | ObservedStore | None = None
        self.store_until = 0.0  # steady time up to which the process before this one had a lease
        self.channels: set[TcpChannel] = set()
        self.ready = False
        self.is_leaving = False
        self.admin_api: AdminApi | None = None
        self.again: asyncio.Task[None] | None = None
        self.late: list[asyncio.Task[None]] = []  # ports that wait for the process before to leave them
        self.snapshot = DisabledEndpointsFile(private_file(configuration.node, "snapshot"), self.metrics)
        self.resuming: Resuming | None = self._make_resuming()
        self.capture = self._make_capture()
        if self.operator.trace is not None and self.operator.trace.decisions:
            from gradegap.node.decision_trace import DecisionTrace

            trace = DecisionTrace(self.proxy.balancer)
            trace.write_settings(configuration.settings)
            self.proxy.balancer = cast(Any, trace)  # the core knows no difference
        self.proxy.on_disabled_changed(self._keep_out)
        if self.operator.decides_by is not None:
            self.proxy.set_admission_gate(self._gate)
        self.hot_restart = HotRestart(self, private_file(configuration.node, "sock"))
        self.listening_socket: socket.socket | None = None  # kept beside the one accepted from, to pass on
        self.done: asyncio.Future[None] = loop.create_future()
        self.server: asyncio.Server | None = None
        self.metrics.gauge("open_sessions", lambda: len(self.channels))
        self.metrics.gauge("reqs", lambda: len(self.proxy.requests))

    def _make_discovery(self) -> HttpDiscovery | DnsSdDiscovery:
        if self.operator.dnssd is None:
            return HttpDiscovery(
                self.proxy, self.upstream.dialer, self.configuration.node.discovery, self.metrics
            )
        from gradegap.discovery.dns_sd_discovery import DnsSdDiscovery

        return DnsSdDiscovery(self.proxy, self.operator.dnssd, self.metrics)

    def _make_capture(self) -> RecordingSwitch | None:
        settings = self.operator.capture
        if settings is None:
            return None
        from gradegap.capture.redaction import IdHasher
        from gradegap.capture.switch import RecordingSwitch

        try:
            hasher = IdHasher(Path(settings.hide).read_bytes().strip()) if settings.hide else None
        except OSError as error:
            raise ConfigurationError(
                f"capture.hide: {settings.hide} can't be read: {error.strerror}"
            ) from None
        name, seed = self.configuration.node.name, self.configuration.seed
        made = RecordingSwitch(settings, self.proxy, seed, self.metrics, name, hasher)
        self.live.key("capture", settings.on, made.set)
        return made

    def toggle_capture(self) -> None:
        """SIGUSR2: record where it did not, and the other way about."""
        if self.capture is not None:
            self.capture.set(not self.capture.on)

    def _make_resuming(self) -> Resuming | None:
        if self.operator.resume is None:
            return None
        from gradegap.resume.part import Resumer

        # It comes later, and may go.
        store = (lambda: cast(Any, self.store)) if self.operator.decides_by is not None else None
        return Resumer(self.configuration.node.name, self.operator.resume, self.metrics, self.loop, store)

    async def start(self) -> None:
        config = self.configuration.node
        if self.capture is not None:
            self.capture.set(self.capture.settings.on)  # before the module is told anything
        self.live.key("log_level", "info", set_log_level)
        self.discovery.on_first_list = self._get_ready
        following = await self.hot_restart.follow()
        if not following:
            self._take_known()
        self._take_snapshot()
        self.discovery.start()
        try:
            self.listening_socket = self.listening_socket or listen(*split_address(config.listen))
        except OSError as error:
            raise ConfigurationError(f"can't listen on {config.listen}: {error.strerror}") from None
        if config.admin_listen:
            await self._start_admin_api(config.admin_listen)
        await self._accept()
        if following:
            self._get_ready()  # the list that it was told is the one in force
        self.hot_restart.begin_serving()
        if self.operator.quic is not None:
            await self._when_free(self._start_quic, self.operator.quic, following)
        if self.operator.store is not None:
            await self._when_free(self._start_store, self.operator.store, following)
        if self.operator.observer is not None:
            await self._start_observer(self.operator.observer)
        log.info("listening", name=config.name, address=config.listen, following=following)

    def create_channel(self) -> TcpChannel:
        made = TcpChannel(self.proxy, self.metrics, self.admits, self.channels, self.descriptors)
        made.session.resuming = self.resuming
        return made

    async def _accept(self) -> None:
        if self.listening_socket is not None and self.server is None:
            own = self.listening_socket.dup()
            self.server = await self.loop.create_server(self.create_channel, sock=own, backlog=BACKLOG)

    def resume_service(self) -> None:
        # One task, where the process that took over has died.
        self.again = self.loop.create_task(self._serve_again())

    async def _serve_again(self) -> None:
        await self._accept()
        if self.quic is not None:
            await self.quic.serve_again()
        if self.operator.store is not None and self.store is None:
            await self._when_free(self._start_store, self.operator.store, True)
        if self.operator.observer is not None and (self.observed is None or self.observed.client.closed):
            await self._start_observer(self.operator.observer)

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
        except ConfigurationError as error:
            if not following:
                raise
            log.info("waits until the process before has left", reason=str(error))
            self.late.append(self.loop.create_task(self._when_left(start, settings)))

    async def _when_left(self, start: Callable[[Any], Awaitable[None]], settings: Any) -> None:
        while not self.is_leaving:
            alone = not self.hot_restart.is_connected
            await asyncio.sleep(PORT_RETRY)
            try:
                return await start(settings)
            except ConfigurationError as error:
                if alone:
                    self.metrics.count("ports_not_free")
                    log.error("not started", error=str(error))
                    return

    async def _start_admin_api(self, address: str) -> None:
        self.descriptors.reserve(CALLERS_MAX)
        self.admin_api = AdminApi(self, self.loop, self.metrics)
        try:
            await self.admin_api.start(*split_address(address))
        except OSError as error:
            raise ConfigurationError(f"the admin API can't listen on {address}: {error.strerror}") from None
        log.info("listening", admin=address)

    # What operators ask for

    def admits(self) -> bool:
        """What PING is told: whether new clients are to come here."""
        return self.ready and self.proxy.drain_deadline is None and self._store_allows()

    def report_ready(self, done: ResultCallback) -> None:
        done(DONE if self.ready else AdminResult(HTTPStatus.SERVICE_UNAVAILABLE, "takes no clients"))

    def report_configuration(self, done: ResultCallback) -> None:
        """Which committed revision this node decides by, and how old that is."""
        done(NO_SUBSCRIPTION if self.observed is None else self.observed.describe())

    def report_in_force(self, done: ResultCallback) -> None:
        """Whether all nodes have what this one has."""
        if self.observed is None:
            done(NO_SUBSCRIPTION)
        else:
            self.observed.report_in_force(done)

    @property
    def observed(self) -> ObservedStore | None:
        """The subscription of this node, where it has one."""
        return cast("ObservedStore", self.store) if self.operator.observer is not None else None

    def disable_endpoint(self, server: str, done: ResultCallback) -> None:
        if len(self.proxy.disabled) >= MOST_OUT and server not in self.proxy.disabled:
            done(AdminResult(HTTPStatus.SERVICE_UNAVAILABLE, f"{MOST_OUT} save servers are out already"))
        else:
            self._by_hand("out", server, done)

    def enable_endpoint(self, server: str, done: ResultCallback) -> None:
        self._by_hand("back", server, done)

    def _by_hand(self, what: str, server: str, done: ResultCallback) -> None:
        b = self.proxy.endpoints.get(server)
        if b is None or b.entry is None:
            done(UNKNOWN)
        elif self.store is not None:
            # In force here as at every other node: once it is committed, and not before.
            (self.store.disable_endpoint if what == "out" else self.store.enable_endpoint)(server, done)
        else:
            self.apply_admin_operation(what, server)
            self._both(what, server, done)

    def _both(self, what: str, server: str, done: ResultCallback) -> None:
        """Yes, once it is in force in each process of this node."""
        self.hot_restart.apply_everywhere(what, server, lambda: done(DONE))

    def apply_admin_operation(self, operation: str, endpoint: str) -> None:
        """A call that the other process was asked for."""
        match operation:
            case AdminOperation.DISABLE_ENDPOINT:
                self.proxy.disable_endpoint(endpoint)
            case AdminOperation.ENABLE_ENDPOINT:
                self.proxy.enable_endpoint(endpoint)
            case AdminOperation.START_DRAIN:
                self.proxy.start_draining(DRAIN_MOVES)
            case AdminOperation.STOP_DRAIN:
                self.proxy.stop_draining()

    def start_draining(self, done: ResultCallback) -> None:
        self.proxy.start_draining(DRAIN_MOVES)
        self._state_changed("drain", done)

    def stop_draining(self, done: ResultCallback) -> None:
        self.proxy.stop_draining()
        self._state_changed("stay", done)

    def _state_changed(self, what: str, done: ResultCallback) -> None:
        if self.is_leaving and not self.hot_restart.is_connected:
            done(AdminResult(HTTPStatus.SERVICE_UNAVAILABLE, "this process is leaving"))
            return
        out = self.proxy.drain_deadline is not None
        self.metrics.count("calls_out_of_service" if out else "calls_in_service")
        self._both(what, "", done)

    def _keep_out(self) -> None:
        """The save servers out by hand, for the next process of this node."""
        self.snapshot.write(self.proxy.disabled)

    def _take_snapshot(self) -> None:
        """What a process of this node before this one was told by hand."""
        for server, at in self.snapshot.read().items():
            self.proxy.disable_endpoint(server, at)

    def _take_known(self) -> None:
        """The list of the configuration, to serve with until discovery has told one."""
        known = self.configuration.node.known_endpoints.read_entries({}, self.metrics)
        self.proxy.update_endpoints(EndpointListKind.CACHED, known)
        if known and isinstance(self.discovery, HttpDiscovery):
            self.discovery.schedule.start_from(self.configuration.node.known_endpoints.version)
        if known:
            self.loop.call_later(READY_ANYWAY, self._get_ready)

    async def _start_quic(self, settings: QuicSettings) -> None:
        # Loaded here: a node without this front does without its libraries' memory.
        from gradegap.quic.listener import QuicListener

        try:
            if self.quic is None:
                name = self.configuration.node.name
                made = QuicListener(self.proxy, self.metrics, self.admits, settings, name, self._machine)
                made.resuming = self.resuming
                self.live.key("quic_max_sessions", settings.max_sessions, made.set_max_sessions)
                self.live.key("quic_accept", True, made.set_accept)
                self.quic = made
            if self.quic.sock is not None:
                return  # it has the port of the process before
            await self.quic.listen(*split_address(settings.listen))
        except (OSError, ValueError) as error:
            raise ConfigurationError(f"the QUIC front can't start: {error}") from None
        log.info("listening", quic=settings.listen)

    def release_quic_port(self) -> ReleasedQuicPort | None:
        """QUIC's, to the process that takes this one's place."""
        if self.quic is None or self.quic.sock is None:
            return None
        handed, fds = self.quic.release_port()
        return ReleasedQuicPort(msgspec.msgpack.encode(handed), fds)

    def adopt_quic_port(self, state: bytes, descriptors: list[int]) -> None:
        from gradegap.quic.listener import PortTransfer

        try:
            handed = msgspec.msgpack.decode(state, type=PortTransfer)
            handed.ring.check()
            if self.quic is None:
                raise ValueError("this process has no QUIC front")
        except ValueError as error:
            self.metrics.count("quic_ports_refused")
            log.error("QUIC's port was not taken over", error=str(error))
            close_descriptors(descriptors)
            return
        self.late.append(self.loop.create_task(self.quic.take_over_port(handed, descriptors)))

    def keep_quic_port(self) -> None:
        if self.quic is not None:
            self.quic.drop_predecessors()

    def _machine(self) -> StateMachine | None:
        return cast("StateMachine", self.store.machine) if self.store is not None else None

    def _store_allows(self) -> bool:
        """Whether decisions may be made by what is known of the store here."""
        settings = self.operator.decides_by
        if settings is None or settings.when_stale == "serve":
            return True
        return (self.store is not None and self.store.fresh()) or time.monotonic() < self.store_until

    def _gate(self) -> float | None:
        """None where a decision may be made now; else the s after which a client may come again."""
        if not self._store_allows():
            return STALE_WAIT
        if self.store is None or not self.store.fresh():
            self.metrics.count("decided_stale")
        return None

    def inherit_store_lease(self, remaining_s: float, disabled_endpoints: Mapping[str, float]) -> None:
        """The process before this one had a lease for so long yet, and told of all that it had applied."""
        self.store_until = time.monotonic() + remaining_s
        for server in list(self.proxy.disabled.keys() - disabled_endpoints.keys()):
            self.proxy.enable_endpoint(server)
        for server, at in disabled_endpoints.items():
            self.proxy.disable_endpoint(server, at)

    async def _start_store(self, settings: StoreSettings) -> None:
        # Loaded here: a node without a store does without its libraries' memory.
        from gradegap.store.embedded import EmbeddedStore
        from gradegap.store.errors import FolderError
        from gradegap.store.storage import data_folder

        try:
            secret, place = read_secret(settings.secret, "store.secret"), data_folder(settings)
            told = lambda: self.discovery.has_list  # noqa: E731
            parts = self.proxy, self.live, self.metrics, self.loop, self._state, told
            made = EmbeddedStore(settings, secret, place, *parts, subscription_server_factory(settings))
        except (FolderError, OperatorFileError) as error:
            raise ConfigurationError(str(error)) from None
        try:
            await made.start()
        except OSError as error:
            made.close()
            raise ConfigurationError(
                f"the store can't listen on {settings.listen}: {error.strerror}"
            ) from None
        self.store = made

    async def _start_observer(self, settings: ObserverSettings) -> None:
        # Loaded here: a node without a subscription does without its libraries' memory.
        from gradegap.observer.observed_store import ObservedStore

        settings = msgspec.structs.replace(settings, name=settings.name or self.configuration.node.name)
        try:
            made = ObservedStore(settings, self.proxy, self.live, self.metrics, self.loop)
        except OperatorFileError as error:
            raise ConfigurationError(str(error)) from None
        await made.start()
        self.store = made

    def leave_store(self) -> float:
        """The next process serves: the store's folder and port are for it. s of the lease that are left."""
        if self.store is None:
            return 0.0
        left = self.store.leave()
        if self.operator.observer is None:  # a subscription has neither, and is over at once
            self.loop.call_later(STORE_LEAVES, self._close_store)
        return left

    def _close_store(self) -> None:
        if self.store is not None:
            self.store.close()
            self.store = None

    def _state(self) -> dict[str, object]:
        """What this node is doing, for its siblings and its operator; never load or choices."""
        out = self.proxy.drain_deadline is not None
        state = (
            "leaving"
            if self.is_leaving
            else "out of service"
            if out
            else "ready"
            if self.ready
            else "starting"
        )
        return {
            "state": state,
            "listen": self.configuration.node.listen,
            "quic": self.operator.quic.listen if self.operator.quic is not None else None,
            "started_ms": round(self.proxy.started_at_ms),
        }

    def _get_ready(self) -> None:
        if not self.is_leaving and not self.ready:
            self.ready = True

    def reload(self) -> None:
        """SIGHUP: read the configuration again and apply it, whatever else goes on; a bad one changes
        nothing. QUIC's certificate is read again, too, whatever becomes of the rest."""
        if self.quic is not None:
            self.quic.reload()
        old = self.configuration
        try:
            self.configuration = new = reload(old)
        except ConfigurationError as error:
            self.metrics.count("reloads_failed")
            log.error("configuration not reloaded, the old one is kept", error=str(error))
            return
        self.metrics.count("reloads")
        if new.settings != old.settings:
            self.proxy.reconfigure(new.settings)
            if isinstance(self.discovery, HttpDiscovery):
                self.discovery.schedule.configure(new.settings)
            self.upstream.connect_timeout = new.settings.connect_timeout
        if new.node.limits != old.node.limits:
            self.descriptors.limit = raise_descriptor_limit(new.node.limits.sockets)
        if new.node.known_endpoints != old.node.known_endpoints and not self.discovery.has_list:
            self._take_known()
        if new.node.discovery != old.node.discovery and isinstance(self.discovery, HttpDiscovery):
            self.discovery.change_address(new.node.discovery)
        log.info("configuration reloaded", discovery=new.node.discovery)

    def stop(self) -> None:
        """Leave: clients still come for a while, all are answered, all that stands is moved; then end."""
        if self.is_leaving:
            return
        log.info("leaving", reqs=len(self.proxy.requests))
        self.is_leaving = True
        self.ready = False
        killed = killed_from(self.proxy.settings)
        self.proxy.begin_shutdown(max(killed - LEAVE_MOVES[0], killed * LEAVE_MOVES[1]))
        at_least = 0.0 if self.hot_restart.is_handing_over else LEAVE_AT_LEAST
        self.loop.call_later(at_least, self._look_empty)
        last = max(killed - LEAVE_LAST[0], killed * LEAVE_LAST[1])
        self.loop.call_later(last, self._finish_all)
        self.loop.call_later(killed - LEAVE_AT_MOST, self._end)

    def _finish_all(self) -> None:
        """The time to leave is nearly over: nothing stands, and no req waits, from here on.

        Guards against a successor that hangs: a session on its way to it is taken back, and moved here."""
        self.hot_restart.close()
        self.proxy.migrate_all()
        self.proxy.answer_all()

    def _look_empty(self, was_empty: bool = False) -> None:
        """End once the last client has gone, and none has come since the look before."""
        if not self.hot_restart.is_handing_over:
            # Guards against a request that comes to a connection as it is closed: each that rests here is
            # told first, so that whatever its client has written meanwhile has its answer.
            after = min(LEAVE_AGAIN, self.proxy.settings.max_retry_after)
            for channel in list(self.channels):
                channel.end_rest(after)
        answering = self.quic is not None and self.quic.is_answering()
        empty = not (self.proxy.requests or self.channels or answering)
        if empty and was_empty:
            self._end()
        else:
            self.loop.call_later(LEAVE_LOOK, self._look_empty, empty)

    def _end(self) -> None:
        self.hot_restart.close()
        if self.admin_api is not None:
            self.admin_api.close()
        if self.listening_socket is not None:
            self.listening_socket.close()
        if self.server is not None:
            self.server.close()
        for channel in list(self.channels):
            channel.end_soon()
        if self.quic is not None:
            self.quic.close()
        if self.store is not None:
            self.store.close()
        if self.capture is not None:
            self.capture.set(False)
        if not self.done.done():
            self.done.set_result(None)

    def print_counters(self) -> None:
        log.info("counters", **self.metrics.snapshot())
