"""Applies a changed configuration to a running node."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from gradegap.discovery.http_discovery import HttpDiscovery
from gradegap.errors import ConfigurationError
from gradegap.metrics import Metrics
from gradegap.node.configuration import Configuration, reload
from gradegap.node.quic_part import QuicPart
from gradegap.proxy.proxy import Proxy
from gradegap.transport.descriptors import DescriptorBudget, raise_descriptor_limit
from gradegap.upstream.tcp_upstream import TcpUpstream

if TYPE_CHECKING:
    from gradegap.discovery.dns_sd_discovery import DnsSdDiscovery

log = structlog.get_logger()


class ConfigurationReload:
    """Reads the configuration again, and applies its changes to the parts that they concern."""

    def __init__(
        self,
        proxy: Proxy,
        upstream: TcpUpstream,
        discovery: HttpDiscovery | DnsSdDiscovery,
        descriptors: DescriptorBudget,
        quic: QuicPart,
        metrics: Metrics,
        use_known_endpoints: Callable[[Configuration], None],
    ) -> None:
        """`use_known_endpoints` applies a configuration's endpoint list until discovery has sent one."""
        self._proxy = proxy
        self._upstream = upstream
        self._discovery = discovery
        self._descriptors = descriptors
        self._quic = quic
        self._metrics = metrics
        self._use_known_endpoints = use_known_endpoints

    def run(self, current: Configuration) -> Configuration:
        """Read the configuration again and apply it, in any state of the node; an invalid one has no effect.

        The QUIC certificate is read again as well, even if the configuration is invalid.

        Returns:
            The configuration that is in force after the reload.
        """
        self._quic.reload()
        try:
            new = reload(current)
        except ConfigurationError as error:
            self._metrics.count("reloads_failed")
            log.error("configuration not reloaded, the old one is kept", error=str(error))
            return current
        self._metrics.count("reloads")
        self._apply(current, new)
        log.info("configuration reloaded", discovery=new.node.discovery)
        return new

    def _apply(self, old: Configuration, new: Configuration) -> None:
        discovery = self._discovery
        if new.settings != old.settings:
            self._proxy.reconfigure(new.settings)
            if isinstance(discovery, HttpDiscovery):
                discovery.schedule.configure(new.settings)
            self._upstream.connect_timeout = new.settings.connect_timeout
        if new.node.limits != old.node.limits:
            self._descriptors.limit = raise_descriptor_limit(new.node.limits.sockets)
        if new.node.known_endpoints != old.node.known_endpoints and not discovery.has_list:
            self._use_known_endpoints(new)
        if new.node.discovery != old.node.discovery and isinstance(discovery, HttpDiscovery):
            discovery.change_address(new.node.discovery)
