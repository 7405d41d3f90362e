"""A node, as a hot restart sees it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from gradegap.downstream.session import SessionResumption
from gradegap.downstream.tcp_channel import TcpChannel
from gradegap.hot_restart.host import ReleasedQuicPort
from gradegap.metrics import Metrics
from gradegap.node.admin_operations import apply_operation
from gradegap.node.client_listener import ClientListener
from gradegap.node.committed_configuration import CommittedConfiguration
from gradegap.node.lifecycle import Lifecycle
from gradegap.node.quic_part import QuicPart
from gradegap.proxy.proxy import Proxy
from gradegap.transport.descriptors import DescriptorBudget
from gradegap.upstream.tcp_upstream import TcpUpstream


class RestartHost:
    """The `Host` of a node's hot restart: passes each call on to the part that it concerns."""

    def __init__(
        self,
        proxy: Proxy,
        upstream: TcpUpstream,
        descriptors: DescriptorBudget,
        metrics: Metrics,
        lifecycle: Lifecycle,
        listener: ClientListener,
        committed: CommittedConfiguration,
        quic: QuicPart,
        resuming: SessionResumption | None,
        serve_again: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """`serve_again` starts what a successor that died had taken over."""
        self.loop = proxy.loop
        self.proxy = proxy
        self.upstream = upstream
        self.descriptors = descriptors
        self.metrics = metrics
        self.resuming = resuming
        self._lifecycle = lifecycle
        self._listener = listener
        self._committed = committed
        self._quic = quic
        self._serve_again = serve_again
        self._serving_again: asyncio.Task[None] | None = None

    @property
    def listening_socket(self) -> socket.socket | None:
        """The clients' listening socket."""
        return self._listener.socket

    @listening_socket.setter
    def listening_socket(self, sock: socket.socket | None) -> None:
        self._listener.socket = sock

    @property
    def channels(self) -> set[TcpChannel]:
        """The clients' TCP connections."""
        return self._listener.channels

    @property
    def is_leaving(self) -> bool:
        """Whether this process is shutting down."""
        return self._lifecycle.is_leaving

    def create_channel(self) -> TcpChannel:
        """A channel for a client's connection that is still to be made."""
        return self._listener.create_channel()

    def stop_accepting(self) -> None:
        """Accept no more clients."""
        self._listener.stop_accepting()

    def resume_service(self) -> None:
        """Accept clients again, and start what the successor had taken over."""
        self._serving_again = self.loop.create_task(self._serve_again())

    def apply_admin_operation(self, operation: str, endpoint: str) -> None:
        """Carry out a call at the other process's admin API."""
        apply_operation(self.proxy, operation, endpoint)

    def leave_store(self) -> float:
        """Leave the store or the subscription to the successor."""
        return self._committed.leave()

    def inherit_store_lease(self, remaining_s: float, disabled_endpoints: Mapping[str, float]) -> None:
        """Decide by what the predecessor had applied."""
        self._committed.inherit_lease(remaining_s, disabled_endpoints)

    def release_quic_port(self) -> ReleasedQuicPort | None:
        """Give the QUIC port to the successor."""
        return self._quic.release_port()

    def adopt_quic_port(self, state: bytes, descriptors: list[int]) -> None:
        """Take the predecessor's QUIC port."""
        self._quic.adopt_port(state, descriptors)

    def keep_quic_port(self) -> None:
        """The other process has ended."""
        self._quic.keep_port()
