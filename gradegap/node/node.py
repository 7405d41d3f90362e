"""A node, assembled: what `gradegap serve` runs, and what another program may embed."""

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

READY_WITHOUT_DISCOVERY_S = 1.0  # after which a node with the configuration's endpoint list serves by that


class Node:
    """One node: a proxy, its clients' and its endpoints' side, and what the operator added, on one loop.

    `start` serves, `stop` shuts down gracefully, and `done` is set once that is over.
    """

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        operator: OperatorSettings | None = None,
    ) -> None:
        """Assemble the parts; nothing listens yet.

        Raises:
            ConfigurationError: where a file that the operator's file names can't be used.
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
        """The decisions, the endpoints' side, and discovery."""
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
        """What changes while the node runs: committed configuration, and endpoints that operators disable."""
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
        """What the operator's file adds, in the order in which each wraps the balancer."""
        self.resuming = create_resuming(
            self.operator, configuration.node.name, self.metrics, self.loop, lambda: self.committed.source
        )
        self.recording = create_recording(
            self.operator.capture, configuration, self.proxy, self.dynamic_configuration, self.metrics
        )
        trace_decisions(self.operator, self.proxy, configuration.settings)
        self.proxy.on_disabled_changed(lambda: self._disabled_file.write(self.proxy.disabled))
        if self.operator.decides_by is not None:
            self.proxy.set_admission_gate(self.committed.retry_after)

    def _assemble_service(self, configuration: Configuration) -> None:
        """The clients' side, operators' side, and the processes before and after this one."""
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
            self._serve_again,
        )
        self.hot_restart = HotRestart(host, private_file(configuration.node, "sock"))
        self.operations = NodeOperations(
            self.proxy, self.metrics, self.lifecycle, self.committed, self.hot_restart
        )
        self._admin_api: AdminApi | None = None
        self._deferred = DeferredStart(
            self.loop,
            self.metrics,
            is_leaving=lambda: self.lifecycle.is_leaving,
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

    # The start

    async def start(self) -> None:
        """Follow the process that serves, if there is one, and accept clients.

        Raises:
            ConfigurationError: where a port or folder can't be used.
        """
        node = self.configuration.node
        if self.recording is not None:
            self.recording.set(self.recording.settings.on)  # before the balancer gets its first event
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
            self.lifecycle.become_ready()  # the predecessor's endpoint list is the one in force
        self.hot_restart.begin_serving()
        await self._start_added_parts(following)
        log.info("listening", part="clients", address=node.listen, name=node.name, following=following)

    def _use_known_endpoints(self, configuration: Configuration) -> None:
        """Serve by the configuration's endpoint list until discovery has one."""
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
            raise ConfigurationError(f"the admin API can't listen on {address}: {error.strerror}") from None
        log.info("listening", part="admin", address=address)

    async def _start_added_parts(self, following: bool) -> None:
        quic = self.operator.quic
        if quic is not None:
            await self._deferred.start(lambda: self.quic.start(quic), following)
        await self._start_committed(following)

    async def _start_committed(self, following: bool) -> None:
        store, observer = self.operator.store, self.operator.observer
        if store is not None:
            await self._deferred.start(
                lambda: self.committed.start_member(store, self.describe, lambda: self.discovery.has_list),
                following,
            )
        if observer is not None:
            await self.committed.start_subscription(observer)

    async def _serve_again(self) -> None:
        """The successor has died: accept clients, and start what it had taken over."""
        await self.listener.accept()
        await self.quic.resume()
        if self.committed.source is None or self.operator.observer is not None:
            await self._start_committed(following=True)

    # While it serves

    def accepts_clients(self) -> bool:
        """Whether new clients are to come here, as PING is answered."""
        in_service = self.lifecycle.is_ready and self.proxy.drain_deadline is None
        return in_service and self.committed.allows_decisions()

    def describe(self) -> dict[str, object]:
        """What this node is doing, for its siblings and its operator; never load or choices."""
        if self.lifecycle.is_leaving:
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
        """Read the configuration again and apply it; a bad one changes nothing."""
        self.configuration = self._reload.run(self.configuration)

    def toggle_recording(self) -> None:
        """Record where the node did not, and the other way about."""
        if self.recording is not None:
            self.recording.set(not self.recording.on)

    def print_counters(self) -> None:
        """Log all metrics."""
        log.info("counters", **self.metrics.snapshot())

    # The end

    def stop(self) -> None:
        """Shut down gracefully; `done` is set at the end of it."""
        self._shutdown.begin()

    def close(self) -> None:
        """End at once, whatever is left, and set `done`."""
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
