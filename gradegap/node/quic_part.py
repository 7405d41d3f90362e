"""A node's QUIC listener, where the operator has one; loaded only then, for its libraries' memory."""

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
    """Owns the listener, from its start on; before that, and without `[quic]`, it does nothing."""

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
        """`store_machine` gives the store's keys, where this node knows them by now."""
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
        """Listen, unless the predecessor's port was taken over.

        Raises:
            ConfigurationError: where it can't start.
        """
        try:
            if self._listener is None:
                self._listener = self._create_listener(settings)
            if self._listener.sock is not None:
                return
            await self._listener.listen(*split_address(settings.listen))
        except (OSError, ValueError) as error:
            raise ConfigurationError(f"the QUIC front can't start: {error}") from None
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
        """Serve again: the successor has died."""
        if self._listener is not None:
            await self._listener.serve_again()

    def release_port(self) -> ReleasedQuicPort | None:
        """Give the port to the successor; None where there is none."""
        if self._listener is None or self._listener.sock is None:
            return None
        transfer, descriptors = self._listener.release_port()
        return ReleasedQuicPort(msgspec.msgpack.encode(transfer), descriptors)

    def adopt_port(self, state: bytes, descriptors: list[int]) -> None:
        """Take the predecessor's port; owns the descriptors."""
        from gradegap.quic.listener import PortTransfer

        try:
            transfer = msgspec.msgpack.decode(state, type=PortTransfer)
            transfer.ring.check()
        except ValueError as error:
            self._refuse_port(str(error), descriptors)
            return
        if self._listener is None:
            self._refuse_port("this process has no QUIC front", descriptors)
            return
        takeover = self._listener.take_over_port(transfer, descriptors)
        self._takeovers.append(self._proxy.loop.create_task(takeover))

    def _refuse_port(self, error: str, descriptors: list[int]) -> None:
        self._metrics.count("quic_ports_refused")
        log.error("QUIC port not taken over", error=error)
        close_descriptors(descriptors)

    def keep_port(self) -> None:
        """The other process has ended, and with it what it held."""
        if self._listener is not None:
            self._listener.drop_predecessors()

    def reload(self) -> None:
        """Read the certificate again."""
        if self._listener is not None:
            self._listener.reload()

    def is_answering(self) -> bool:
        """Whether an answer is still on its way to a client."""
        return self._listener is not None and self._listener.is_answering()

    def close(self) -> None:
        """End all sessions, and the port."""
        if self._listener is not None:
            self._listener.close()
