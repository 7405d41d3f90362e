"""Assembles a node: `gradegap serve` runs it, and other programs can embed it."""

from __future__ import annotations

import asyncio

import structlog

from gradegap.admin.http_api import CALLERS_MAX, AdminApi
from gradegap.balancing.events import EndpointListKind
from gradegap.discovery.http_discovery import HttpDiscovery
from gradegap.downstream.tcp_channel import TcpChannel
from gradegap.errors import ConfigurationError
from gradegap.hot_restart import HotRestart
from gradegap.metrics import Metrics
from gradegap.node.admin_operations import NodeOperations
from gradegap.node.client_listener import ClientListener
from gradegap.node.committed_configuration import CommittedConfiguration
from gradegap.node.configuration import Configuration, private_file
from gradegap.node.deferred_start import DeferredStart
from gradegap.node.lifecycle import Lifecycle
from gradegap.node.operator_file import OperatorSettings
from gradegap.node.optional_parts import (
    create_discovery,
    create_recording,
    create_resuming,
    trace_decisions,
)
from gradegap.node.quic_part import QuicPart
from gradegap.node.reload import ConfigurationReload
from gradegap.node.restart_host import RestartHost
from gradegap.node.shutdown import GracefulShutdown
from gradegap.proxy.proxy import Proxy
from gradegap.store.disabled_endpoints import DisabledEndpointsFile
from gradegap.store.dynamic_configuration import DynamicConfiguration, set_log_level
from gradegap.transport.addresses import split_address
from gradegap.transport.descriptors import DescriptorBudget, raise_descriptor_limit
from gradegap.upstream.tcp_upstream import TcpUpstream

log = structlog.get_logger()

# Time after which a node becomes ready with the endpoint list of its configuration, if discovery sends none.
READY_WITHOUT_DISCOVERY_S = 1.0


class Node:
    """One node on one event loop: a proxy, its connections to clients and endpoints, and its optional parts.

    `start` begins to serve, `stop` shuts down gracefully, and `done` is set when the shutdown is complete.
    """

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        operator: OperatorSettings | None = None,
    ) -> None:
        """Assemble the parts; no port is opened yet.

        Raises:
            ConfigurationError: if a file that the operator's file names can't be used.
        """
        self.configuration = configuration
        self.operator = operator or OperatorSettings()
        self.loop = loop
        self.lifecycle = Lifecycle()
        self.done: asyncio.Future[None] = loop.create_future()
        self.metrics = Metrics()
        self._assemble_proxy(configuration)
        self._assemble_configuration_sources(configuration)
        self._assemble_optional_parts(configuration)
        self._assemble_service(configuration)
        self.metrics.gauge("open_sessions", lambda: len(self.listener.channels))
        self.metrics.gauge("reqs", lambda: len(self.proxy.requests))

    def _assemble_proxy(self, configuration: Configuration) -> None:
        """Create the proxy with its balancer, the connections to endpoints, and discovery."""
        descriptor_limit = raise_descriptor_limit(configuration.node.limits.sockets)
        self.descriptors = DescriptorBudget(descriptor_limit, self.metrics)
        self.upstream = TcpUpstream(self.loop, configuration.settings.connect_timeout, self.descriptors)
        self.proxy = Proxy(configuration.settings, configuration.seed, self.upstream, self.metrics, self.loop)
        self.discovery = create_discovery(
            self.operator.dnssd,
            configuration.node.discovery,
            self.proxy,
            self.upstream.dialer,
            self.metrics,
        )

    def _assemble_configuration_sources(self, configuration: Configuration) -> None:
        """Create the sources of changes at run time: committed configuration and disabled endpoints."""
        self.dynamic_configuration = DynamicConfiguration(self.metrics)
        self.committed = CommittedConfiguration(
            self.operator,
            configuration.node.name,
            self.proxy,
            self.dynamic_configuration,
            self.metrics,
            self.loop,
        )
        self._disabled_file = DisabledEndpointsFile(
            private_file(configuration.node, "snapshot"), self.metrics
        )

    def _assemble_optional_parts(self, configuration: Configuration) -> None:
        """Create the parts that the operator's file enables, in the order in which they wrap the balancer."""
        self.resuming = create_resuming(
            self.operator, configuration.node.name, self.metrics, self.loop, lambda: self.committed.source
        )
        self.recording = create_recording(
            self.operator.capture, configuration, self.proxy, self.dynamic_configuration, self.metrics
        )
        trace_decisions(self.operator, self.proxy, configuration.settings)
        self.proxy.on_disabled_changed(lambda: self._disabled_file.write(self.proxy.disabled))
        if self.operator.committed_source_settings is not None:
            self.proxy.set_admission_gate(self.committed.retry_after)

    def _assemble_service(self, configuration: Configuration) -> None:
        """Create the listeners for clients, the operations of the admin API, and the hot restart."""
        self.listener = ClientListener(self.loop, self._create_channel)
        self.quic = QuicPart(
            configuration.node.name,
            self.proxy,
            self.metrics,
            self.dynamic_configuration,
            self.resuming,
            self.accepts_clients,
            self.committed.store_machine,
        )
        host = RestartHost(
            self.proxy,
            self.upstream,
            self.descriptors,
            self.metrics,
            self.lifecycle,
            self.listener,
            self.committed,
            self.quic,
            self.resuming,
            self._restore_service,
        )
        self.hot_restart = HotRestart(host, private_file(configuration.node, "sock"))
        self.operations = NodeOperations(
            self.proxy, self.metrics, self.lifecycle, self.committed, self.hot_restart
        )
        self._admin_api: AdminApi | None = None
        self._deferred_start = DeferredStart(
            self.loop,
            self.metrics,
            is_shutting_down=lambda: self.lifecycle.is_shutting_down,
            has_predecessor=lambda: self.hot_restart.is_connected,
        )
        self._reload = ConfigurationReload(
            self.proxy,
            self.upstream,
            self.discovery,
            self.descriptors,
            self.quic,
            self.metrics,
            self._use_known_endpoints,
        )
        self._shutdown = GracefulShutdown(
            self.lifecycle, self.proxy, self.listener, self.quic, self.hot_restart, self.close
        )

    def _create_channel(self, channels: set[TcpChannel]) -> TcpChannel:
        channel = TcpChannel(self.proxy, self.metrics, self.accepts_clients, channels, self.descriptors)
        channel.session.resumption = self.resuming
        return channel

    # Start

    async def start(self) -> None:
        """Take over the state of the serving process, if one is running, and accept clients.

        Raises:
            ConfigurationError: if a port or folder can't be used.
        """
        node = self.configuration.node
        if self.recording is not None:
            self.recording.set(self.recording.settings.on)  # before the balancer handles its first event
        self.dynamic_configuration.register("log_level", "info", set_log_level)
        self.discovery.on_first_list = self.lifecycle.become_ready
        following = await self.hot_restart.follow()
        if not following:
            self._use_known_endpoints(self.configuration)
        for endpoint, disabled_at in self._disabled_file.read().items():
            self.proxy.disable_endpoint(endpoint, disabled_at)
        self.discovery.start()
        self.listener.bind(node.listen)
        if node.admin_listen:
            await self._start_admin_api(node.admin_listen)
        await self.listener.accept()
        if following:
            self.lifecycle.become_ready()  # the predecessor's endpoint list is in force
        self.hot_restart.begin_serving()
        await self._start_optional_parts(following)
        log.info("listening", part="clients", address=node.listen, name=node.name, following=following)

    def _use_known_endpoints(self, configuration: Configuration) -> None:
        """Use the configuration's endpoint list until discovery has sent one."""
        known = configuration.node.known_endpoints
        entries = known.read_entries({}, self.metrics)
        self.proxy.update_endpoints(EndpointListKind.CACHED, entries)
        if not entries:
            return
        if isinstance(self.discovery, HttpDiscovery):
            self.discovery.schedule.start_from(known.version)
        self.loop.call_later(READY_WITHOUT_DISCOVERY_S, self.lifecycle.become_ready)

    async def _start_admin_api(self, address: str) -> None:
        self.descriptors.reserve(CALLERS_MAX)
        self._admin_api = AdminApi(self.operations, self.loop, self.metrics)
        try:
            await self._admin_api.start(*split_address(address))
        except OSError as error:
            raise ConfigurationError(f"admin API can't listen on {address}: {error.strerror}") from None
        log.info("listening", part="admin", address=address)

    async def _start_optional_parts(self, following: bool) -> None:
        quic = self.operator.quic
        if quic is not None:
            await self._deferred_start.start(lambda: self.quic.start(quic), following)
        await self._start_committed(following)

    async def _start_committed(self, following: bool) -> None:
        store, observer = self.operator.store, self.operator.observer
        if store is not None:
            await self._deferred_start.start(
                lambda: self.committed.start_member(store, self.describe, lambda: self.discovery.has_list),
                following,
            )
        if observer is not None:
            await self.committed.start_subscription(observer)

    async def _restore_service(self) -> None:
        """Accept clients again after the successor has died, and restart the parts that it had taken over."""
        await self.listener.accept()
        await self.quic.resume()
        if self.committed.source is None or self.operator.observer is not None:
            await self._start_committed(following=True)

    # Service

    def accepts_clients(self) -> bool:
        """Whether this node accepts new clients; the answer to PING depends on it."""
        in_service = self.lifecycle.is_ready and self.proxy.drain_deadline is None
        return in_service and self.committed.allows_decisions()

    def describe(self) -> dict[str, object]:
        """Describe this node to other members and to operators; load and decisions are not included."""
        if self.lifecycle.is_shutting_down:
            state = "leaving"
        elif self.proxy.drain_deadline is not None:
            state = "out of service"
        else:
            state = self.lifecycle.state.value
        return {
            "state": state,
            "listen": self.configuration.node.listen,
            "quic": self.operator.quic.listen if self.operator.quic is not None else None,
            "started_ms": round(self.proxy.started_at_ms),
        }

    def reload(self) -> None:
        """Read the configuration again and apply it; an invalid one has no effect."""
        self.configuration = self._reload.run(self.configuration)

    def toggle_recording(self) -> None:
        """Start the recording if it is off, or stop it if it is on."""
        if self.recording is not None:
            self.recording.set(not self.recording.on)

    def print_counters(self) -> None:
        """Log the values of all metrics."""
        log.info("counters", **self.metrics.snapshot())

    # Shutdown

    def stop(self) -> None:
        """Start a graceful shutdown; `done` is set when it is complete."""
        self._shutdown.begin()

    def close(self) -> None:
        """End at once, even with requests and connections left, and set `done`."""
        self.lifecycle.end()
        self.hot_restart.close()
        if self._admin_api is not None:
            self._admin_api.close()
        self.listener.close()
        self.quic.close()
        self.committed.close()
        if self.recording is not None:
            self.recording.set(False)
        if not self.done.done():
            self.done.set_result(None)
