"""Creates the parts that the operator's file enables; each is imported only if enabled, to save memory."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

from gradegap.balancing.settings import Settings
from gradegap.capture.settings import CaptureSettings
from gradegap.discovery.http_discovery import HttpDiscovery
from gradegap.discovery.settings import DnsSdSettings
from gradegap.downstream.session import SessionResumption
from gradegap.errors import ConfigurationError
from gradegap.metrics import Metrics
from gradegap.node.configuration import Configuration
from gradegap.node.operator_file import OperatorSettings
from gradegap.proxy.proxy import Proxy
from gradegap.store.dynamic_configuration import DynamicConfiguration
from gradegap.transport.dialer import Dialer

if TYPE_CHECKING:
    from gradegap.capture.switch import RecordingSwitch
    from gradegap.discovery.dns_sd_discovery import DnsSdDiscovery


def create_discovery(
    settings: DnsSdSettings | None, address: str, proxy: Proxy, dialer: Dialer, metrics: Metrics
) -> HttpDiscovery | DnsSdDiscovery:
    """Create the discovery client: DNS-SD if the operator's file has `[dnssd]`, or else HTTP at `address`."""
    if settings is None:
        return HttpDiscovery(proxy, dialer, address, metrics)
    from gradegap.discovery.dns_sd_discovery import DnsSdDiscovery

    return DnsSdDiscovery(proxy, settings, metrics)


def create_recording(
    settings: CaptureSettings | None,
    configuration: Configuration,
    proxy: Proxy,
    dynamic_configuration: DynamicConfiguration,
    metrics: Metrics,
) -> RecordingSwitch | None:
    """Create the switch for recordings of the balancer's steps, initially off; None without `[capture]`.

    Raises:
        ConfigurationError: if the key file for hashing ids can't be read.
    """
    if settings is None:
        return None
    from gradegap.capture.redaction import IdHasher
    from gradegap.capture.switch import RecordingSwitch

    try:
        hasher = IdHasher(Path(settings.hide).read_bytes().strip()) if settings.hide else None
    except OSError as error:
        raise ConfigurationError(f"capture.hide: {settings.hide} can't be read: {error.strerror}") from None
    name = configuration.node.name
    recording = RecordingSwitch(settings, proxy, configuration.seed, metrics, name, hasher)
    dynamic_configuration.register("capture", settings.on, recording.set)
    return recording


def create_resuming(
    operator: OperatorSettings,
    node_name: str,
    metrics: Metrics,
    loop: asyncio.AbstractEventLoop,
    committed_source: Callable[[], Any],
) -> SessionResumption | None:
    """Create the part that makes sessions resumable; None without `[resume]`.

    `committed_source` returns the node's store or subscription, or None before it has started.
    """
    if operator.resume is None:
        return None
    from gradegap.resume.resumption import Resumer

    source = committed_source if operator.committed_source_settings is not None else None
    return Resumer(node_name, operator.resume, metrics, loop, source)


def trace_decisions(operator: OperatorSettings, proxy: Proxy, settings: Settings) -> None:
    """Write each step of the balancer to standard error, if the operator's file enables it."""
    if operator.trace is None or not operator.trace.decisions:
        return
    from gradegap.node.decision_trace import DecisionTrace

    trace = DecisionTrace(proxy.balancer)
    trace.write_settings(settings)
    proxy.balancer = cast(Any, trace)  # the trace implements the balancer's methods that the proxy calls
