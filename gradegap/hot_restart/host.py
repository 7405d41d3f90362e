"""The interface that a hot restart requires of its node."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from gradegap.downstream.session import SessionResumption
from gradegap.downstream.tcp_channel import TcpChannel
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.transport.descriptors import DescriptorBudget
from gradegap.upstream.tcp_upstream import TcpUpstream


@dataclass(slots=True, frozen=True)
class ReleasedQuicPort:
    """The port of the QUIC listener while it is being transferred to the successor."""

    state: bytes  # state of the listener, encoded
    descriptors: list[int]  # sockets of the port, which this process also keeps open


class Host(Protocol):
    """A node, as the hot restart uses it."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    proxy: Proxy
    upstream: TcpUpstream
    descriptors: DescriptorBudget
    resuming: SessionResumption | None  # makes sessions resumable; None without `[resume]`
    listening_socket: socket.socket | None  # accepts the connections of clients; None until it is open

    @property
    def channels(self) -> set[TcpChannel]:
        """The TCP connections of clients."""

    @property
    def is_shutting_down(self) -> bool:
        """Whether this process is shutting down."""

    def create_channel(self) -> TcpChannel:
        """Create a channel for a client whose connection is not attached yet."""

    def stop_accepting(self) -> None:
        """Stop accepting clients; the listening socket stays open."""

    def resume_service(self) -> None:
        """Accept clients again, and start the parts that the successor had taken over."""

    def apply_admin_operation(self, operation: str, endpoint: str) -> None:
        """Carry out an `AdminOperation` in this process; unknown operations are ignored."""

    def leave_store(self) -> float:
        """Release the store or the subscription; return the remaining seconds of the lease, 0 without one."""

    def inherit_store_lease(self, remaining_s: float, disabled_endpoints: Mapping[str, float]) -> None:
        """Base decisions on the configuration that the predecessor had applied, until its lease expires."""

    def release_quic_port(self) -> ReleasedQuicPort | None:
        """Release the QUIC port and return it for the successor; None if this process has none."""

    def adopt_quic_port(self, state: bytes, descriptors: list[int]) -> None:
        """Take over the predecessor's QUIC port; becomes the owner of the descriptors."""

    def forget_quic_predecessor(self) -> None:
        """Stop forwarding datagrams to the other process, which has ended with all of its QUIC sessions."""
