"""The QUIC listener of a node with `[quic]`; imported only then, because its libraries need memory."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import structlog

from gradegap.downstream.session import SessionResumption
from gradegap.errors import ConfigurationError
from gradegap.hot_restart.host import ReleasedQuicPort
from gradegap.hot_restart.link import close_descriptors
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.quic.settings import QuicSettings
from gradegap.store.dynamic_configuration import DynamicConfiguration
from gradegap.transport.addresses import split_address

if TYPE_CHECKING:
    from gradegap.quic.listener import QuicListener
    from gradegap.store.machine import StateMachine

log = structlog.get_logger()


class QuicPart:
    """Owns the QUIC listener; before `start`, and on a node without `[quic]`, its methods have no effect."""

    def __init__(
        self,
        node_name: str,
        proxy: Proxy,
        metrics: Metrics,
        dynamic_configuration: DynamicConfiguration,
        resuming: SessionResumption | None,
        accepts_clients: Callable[[], bool],
        store_machine: Callable[[], StateMachine | None],
    ) -> None:
        """`store_machine` returns the state machine of the committed keys; None until this node has them."""
        self._node_name = node_name
        self._proxy = proxy
        self._metrics = metrics
        self._dynamic_configuration = dynamic_configuration
        self._resuming = resuming
        self._accepts_clients = accepts_clients
        self._store_machine = store_machine
        self._listener: QuicListener | None = None
        self._takeovers: list[asyncio.Task[None]] = []

    async def start(self, settings: QuicSettings) -> None:
        """Listen on the port, unless this process has taken it over from its predecessor.

        Raises:
            ConfigurationError: if the listener can't start.
        """
        try:
            if self._listener is None:
                self._listener = self._create_listener(settings)
            if self._listener.sock is not None:
                return
            await self._listener.listen(*split_address(settings.listen))
        except (OSError, ValueError) as error:
            raise ConfigurationError(f"QUIC listener can't start on {settings.listen}: {error}") from None
        log.info("listening", part="quic", address=settings.listen)

    def _create_listener(self, settings: QuicSettings) -> QuicListener:
        from gradegap.quic.listener import QuicListener

        listener = QuicListener(
            self._proxy, self._metrics, self._accepts_clients, settings, self._node_name, self._store_machine
        )
        listener.resuming = self._resuming
        self._dynamic_configuration.register(
            "quic_max_sessions", settings.max_sessions, listener.set_max_sessions
        )
        self._dynamic_configuration.register("quic_accept", True, listener.set_accept)
        return listener

    async def resume(self) -> None:
        """Read datagrams from the port again, because the successor that had taken it over has died."""
        if self._listener is not None:
            await self._listener.serve_again()

    def release_port(self) -> ReleasedQuicPort | None:
        """Release the port and return it for the successor; None if this process has no QUIC port."""
        if self._listener is None or self._listener.sock is None:
            return None
        transfer, descriptors = self._listener.release_port()
        return ReleasedQuicPort(msgspec.msgpack.encode(transfer), descriptors)

    def adopt_port(self, state: bytes, descriptors: list[int]) -> None:
        """Take over the predecessor's port; this method becomes the owner of the descriptors."""
        from gradegap.quic.listener import PortTransfer

        try:
            transfer = msgspec.msgpack.decode(state, type=PortTransfer)
            transfer.ring.check()
        except ValueError as error:
            self._reject_port(str(error), descriptors)
            return
        if self._listener is None:
            self._reject_port("this process has no QUIC listener", descriptors)
            return
        takeover = self._listener.take_over_port(transfer, descriptors)
        self._takeovers.append(self._proxy.loop.create_task(takeover))

    def _reject_port(self, error: str, descriptors: list[int]) -> None:
        self._metrics.count("quic_ports_refused")
        log.error("QUIC port takeover failed", error=error)
        close_descriptors(descriptors)

    def forget_other_process(self) -> None:
        """Stop forwarding datagrams to the other process, which has ended with all of its sessions."""
        if self._listener is not None:
            self._listener.drop_predecessors()

    def reload(self) -> None:
        """Read the certificate again from its file."""
        if self._listener is not None:
            self._listener.reload()

    def is_answering(self) -> bool:
        """Whether the listener is still sending an answer to a client."""
        return self._listener is not None and self._listener.is_answering()

    def close(self) -> None:
        """Close all sessions and the port."""
        if self._listener is not None:
            self._listener.close()
