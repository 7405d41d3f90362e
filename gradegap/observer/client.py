"""A node's subscription on sockets: runs a `Subscriber` with connections, timers and the byte budget.

The client is independent of the node's proxy: `on_apply` is called with changes of committed
state, `on_lease` with whether the node may decide by that state.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Iterator

import msgspec
import structlog

from gradegap.metrics import Metrics
from gradegap.observer.errors import REMEDIES
from gradegap.observer.limits import Limits
from gradegap.observer.link import FRAME_OVERHEAD_BYTES
from gradegap.observer.messages import Change, CloseCode, Renew
from gradegap.observer.publisher_connection import PublisherConnection
from gradegap.observer.selection import MachineAddress
from gradegap.observer.store_requests import ResponseCallback, StoreRequests
from gradegap.observer.subscriber import (
    Apply,
    Connect,
    Disconnect,
    LeaseChanged,
    Output,
    Phase,
    Send,
    Subscriber,
)
from gradegap.observer.token_bucket import TokenBucket
from gradegap.observer.traffic import Traffic
from gradegap.setting_checks import read_secret
from gradegap.store import wire
from gradegap.store.subscription_settings import ObserverSettings
from gradegap.transport.addresses import split_address

log = structlog.get_logger()

CONNECT_TIMEOUT_S = 2.0
BUDGET_BURST_S = 2.0  # burst of the byte budget, as the time (s) in which the bucket gains it
MAX_TICK_INTERVAL_S = 60.0


class ObserverClient:
    """One node's subscription: it uses one control machine, and moves to another if that fails."""

    def __init__(
        self,
        settings: ObserverSettings,
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics,
        on_apply: Callable[[int, tuple[Change, ...], bool], None],
        on_lease: Callable[[bool], None],
        limits: Limits | None = None,
    ) -> None:
        """Create the subscription, without connecting. `settings.name` must be the node's name.

        Raises:
            OperatorFileError: The file with the secret can't be read.
        """
        assert settings.name, "settings.name must not be empty"
        self.settings, self.loop, self.metrics = settings, loop, metrics
        self.on_apply, self.on_lease = on_apply, on_lease
        self.secret = read_secret(settings.secret, "observer.secret")
        self.instance = secrets.token_hex(8)
        now = time.monotonic()
        self.bucket = TokenBucket(settings.bytes_per_s, settings.bytes_per_s * BUDGET_BURST_S, now)
        self.traffic = Traffic()
        machines = [
            MachineAddress(machine.name, machine.address, machine.region) for machine in settings.machines
        ]
        self.subscriber = Subscriber(
            settings.name, self.instance, settings.region, machines, limits or Limits(), now, random.Random()
        )
        self.connection: PublisherConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.tick_timer: asyncio.TimerHandle | None = None
        self.is_executing = False
        self.is_closed = False
        self.requests = StoreRequests(
            loop, metrics, self.bucket, self.instance, self._get_subscribed_connection, self._describe_age
        )

    # Called by the node

    def start(self) -> None:
        """Start to connect, in the next iteration of the event loop."""
        self.tick_timer = self.loop.call_soon(self._tick)  # type: ignore[assignment]

    def is_fresh(self) -> bool:
        """Whether the lease is valid, so that decisions are based on up-to-date committed state."""
        return self.subscriber.is_fresh(time.monotonic())

    @property
    def lease_remaining_s(self) -> float:
        """Time (s) until the lease expires without another heartbeat."""
        return max(0.0, self.subscriber.lease_until - time.monotonic())

    @property
    def revision(self) -> int:
        """The last revision that this node has applied."""
        return self.subscriber.revision

    @property
    def age_s(self) -> float:
        """Time (s) since a machine last confirmed that this node has all changes up to `revision`."""
        return self.subscriber.age(time.monotonic())

    @property
    def cluster(self) -> str:
        """The cluster's name; empty until a machine has sent it."""
        return self.subscriber.cluster

    @property
    def machine(self) -> str:
        """The machine that serves this node or to which it connects; empty if there is none."""
        return self.connection.machine.name if self.connection is not None else ""

    def leave(self) -> None:
        """Stop as planned: give up the lease and send a Leave."""
        if self.is_closed:
            return
        self.subscriber.leave(time.monotonic())
        self._execute_outputs()
        self.abandon()

    def abandon(self) -> None:
        """Close without a Leave: the machine counts the lease until it expires.

        At a hot restart the node's successor process uses the time that remains of the lease.
        """
        self.is_closed = True
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
        self.requests.close()

    def request(
        self,
        body: wire.RequestBody,
        respond: ResponseCallback,
        timeout_s: float = 5.0,
        from_member: bool = False,
    ) -> None:
        """Send a request to the store, and call `respond` with one response.

        `respond` is called after `timeout_s` and a margin at the latest.
        """
        self.requests.request(body, respond, timeout_s)

    def _get_subscribed_connection(self) -> PublisherConnection | None:
        return self.connection if self.subscriber.phase is Phase.SUBSCRIBED else None

    def _describe_age(self) -> str:
        return (
            f"last confirmation from a control machine {self.age_s:.1f} s ago"
            if self.revision
            else "no control machine has answered yet"
        )

    # Called by the connection

    def is_current(self, connection: PublisherConnection) -> bool:
        """Whether this connection is the one in use, and not a replaced one."""
        return connection is self.connection

    def connection_authenticated(self, connection: PublisherConnection) -> None:
        """Subscribe, once both ends have proven that they know the secret."""
        if connection is self.connection:
            self.subscriber.connected(time.monotonic())
            self._execute_outputs()

    def message_received(self, connection: PublisherConnection, message: object) -> None:
        """Handle a message from the control machine."""
        if connection is not self.connection:
            return
        if isinstance(message, wire.Response):
            self.requests.receive(message)
            return
        was_subscribed = self._get_subscribed_connection() is not None
        self.subscriber.receive(time.monotonic(), message)  # type: ignore[arg-type]
        self._execute_outputs()
        if not was_subscribed and self._get_subscribed_connection() is not None:
            self.requests.send_all()

    def connection_lost(self, connection: PublisherConnection, reason: str) -> None:
        """Handle the end of the connection, or a failure to connect."""
        if connection is not self.connection or self.is_closed:
            return
        self.connection = None
        self._log_disconnected(connection.machine, reason)
        self.subscriber.disconnected(time.monotonic(), reason)
        self._execute_outputs()

    def _log_disconnected(self, machine: MachineAddress, reason: str) -> None:
        self.metrics.count("observer_disconnected")
        log.info("subscription ended", machine=machine.name, reason=reason, revision=self.revision)

    # The subscriber's outputs

    def _tick(self) -> None:
        self.tick_timer = None
        self.subscriber.tick(time.monotonic())
        self._execute_outputs()

    def _execute_outputs(self) -> None:
        """Execute the subscriber's outputs.

        A nested call returns at once and leaves them to the outer call.
        """
        if self.is_executing:
            return
        self.is_executing = True
        try:
            for output in self._outputs():
                self._execute(output)
        finally:
            self.is_executing = False
        self._arm_tick_timer()

    def _outputs(self) -> Iterator[Output]:
        while outputs := self.subscriber.take():
            yield from outputs

    def _execute(self, output: Output) -> None:
        match output:
            case Connect():
                self._connect(output.machine)
            case Disconnect():
                self._disconnect(output.code)
            case Send():
                self._send(output.message)
            case Apply():
                self.on_apply(output.revision, output.changes, output.is_snapshot)
            case LeaseChanged():
                self.on_lease(output.is_fresh)

    def _connect(self, machine: MachineAddress) -> None:
        self.connection = connection = PublisherConnection(self, machine)
        self.metrics.count("observer_connects")
        self.connect_task = self.loop.create_task(self._open_connection(connection))

    async def _open_connection(self, connection: PublisherConnection) -> None:
        # The only task of the client: it ends once the connection is established or has failed.
        host, port = split_address(connection.machine.address)
        connecting = self.loop.create_connection(lambda: connection, host, port)
        try:
            await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            self.connection_lost(connection, f"can't be reached: {error or 'no answer'}")

    def _disconnect(self, code: CloseCode) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
        self.metrics.count(f"observer_ended_{code}")
        if connection is not None and code is not CloseCode.LEAVING:
            remedy = REMEDIES[code]
            log.warning(
                "left control machine", machine=connection.machine.name, reason=str(code), remedy=remedy
            )

    def _send(self, message: msgspec.Struct) -> None:
        if self.connection is None:
            return
        body = msgspec.msgpack.encode(message)
        is_within_budget = self.bucket.allows(time.monotonic(), len(body) + FRAME_OVERHEAD_BYTES)
        if is_within_budget or not isinstance(message, Renew):
            self.connection.send(type(message).__name__, body)
        else:
            # Dropped: the next Renew acknowledges the same changes. A lease that expires before that Renew is
            # accepted as the cost of the byte budget.
            self.metrics.count("observer_left_out")

    def _arm_tick_timer(self) -> None:
        if self.tick_timer is not None:
            self.tick_timer.cancel()
            self.tick_timer = None
        if not self.is_closed:
            wait_s = max(0.0, self.subscriber.deadline() - time.monotonic())
            self.tick_timer = self.loop.call_later(min(wait_s, MAX_TICK_INTERVAL_S), self._tick)
