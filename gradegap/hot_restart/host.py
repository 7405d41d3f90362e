"""What a hot restart needs of the node that it is part of."""

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
    """The QUIC front's port, on its way to the successor."""

    state: bytes  # what the front says of itself, encoded
    descriptors: list[int]  # its sockets, which stay open here too


class Host(Protocol):
    """A node, as a hot restart sees it."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    proxy: Proxy
    upstream: TcpUpstream
    descriptors: DescriptorBudget
    resuming: SessionResumption | None  # what makes sessions resumable here, where the operator has it so
    listening_socket: socket.socket | None  # of clients; None until it is there

    @property
    def channels(self) -> set[TcpChannel]:
        """The clients' TCP connections."""

    @property
    def is_leaving(self) -> bool:
        """Whether this process is shutting down."""

    def create_channel(self) -> TcpChannel:
        """A channel for a client's connection that is still to be made."""

    def stop_accepting(self) -> None:
        """Accept no more clients; the listening socket stays open."""

    def resume_service(self) -> None:
        """Accept clients again, and start what the successor had taken over."""

    def apply_admin_operation(self, operation: str, endpoint: str) -> None:
        """Carry out an `AdminOperation` in this process; others are ignored."""

    def leave_store(self) -> float:
        """Leave the store or the subscription to the successor: s of the lease that remain, 0 for none."""

    def inherit_store_lease(self, remaining_s: float, disabled_endpoints: Mapping[str, float]) -> None:
        """Decide by what the predecessor had applied, for as long as its lease holds."""

    def release_quic_port(self) -> ReleasedQuicPort | None:
        """Give the QUIC front's port to the successor; None where there is none."""

    def adopt_quic_port(self, state: bytes, descriptors: list[int]) -> None:
        """Take the predecessor's QUIC port; owns the descriptors."""

    def keep_quic_port(self) -> None:
        """The other process has ended, and with it what it held over QUIC."""
