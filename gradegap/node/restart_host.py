"""The interface that a node provides to the hot restart."""

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
    """Implements the `Host` of a hot restart by delegating each call to the responsible part of the node."""

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
        restore_service: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """`restore_service` accepts clients again and starts the parts that a successor had when it died."""
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
        self._restore_service = restore_service
        self._restore_task: asyncio.Task[None] | None = None

    @property
    def listening_socket(self) -> socket.socket | None:
        """The listening socket for clients."""
        return self._listener.socket

    @listening_socket.setter
    def listening_socket(self, sock: socket.socket | None) -> None:
        self._listener.socket = sock

    @property
    def channels(self) -> set[TcpChannel]:
        """The TCP connections of clients."""
        return self._listener.channels

    @property
    def is_shutting_down(self) -> bool:
        """Whether this process is shutting down."""
        return self._lifecycle.is_shutting_down

    def create_channel(self) -> TcpChannel:
        """Create a channel for a client whose connection is not attached yet."""
        return self._listener.create_channel()

    def stop_accepting(self) -> None:
        """Stop accepting clients."""
        self._listener.stop_accepting()

    def resume_service(self) -> None:
        """Accept clients again, and start the parts that the successor had taken over."""
        self._restore_task = self.loop.create_task(self._restore_service())

    def apply_admin_operation(self, operation: str, endpoint: str) -> None:
        """Apply an operation that was requested through the admin API of the other process."""
        apply_operation(self.proxy, operation, endpoint)

    def leave_store(self) -> float:
        """Release the store or the subscription; return the remaining time of the lease in seconds."""
        return self._committed.leave()

    def inherit_store_lease(self, remaining_s: float, disabled_endpoints: Mapping[str, float]) -> None:
        """Base decisions on the configuration that the predecessor had applied."""
        self._committed.inherit_lease(remaining_s, disabled_endpoints)

    def release_quic_port(self) -> ReleasedQuicPort | None:
        """Release the QUIC port and return it for the successor; None if this process has none."""
        return self._quic.release_port()

    def adopt_quic_port(self, state: bytes, descriptors: list[int]) -> None:
        """Take over the predecessor's QUIC port; becomes the owner of the descriptors."""
        self._quic.adopt_port(state, descriptors)

    def forget_quic_predecessor(self) -> None:
        """Stop forwarding QUIC datagrams to the other process, which has ended."""
        self._quic.forget_other_process()
