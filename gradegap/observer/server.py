"""A control machine's subscriptions on sockets: a listener, and the timers and connections of a `Publisher`.

Connections that have not subscribed yet are limited in number and lifetime, and are closed first under load.
"""

from __future__ import annotations

import asyncio
import random
import time

import msgspec
import structlog

from gradegap.observer.limits import Limits
from gradegap.observer.link import EncodedBodyCache
from gradegap.observer.messages import CloseCode, Delta, Rejected, SnapshotPart, Subscribe
from gradegap.observer.publisher import Close, Output, Publisher
from gradegap.observer.source import MachineSource
from gradegap.observer.subscriber_connection import SubscriberConnection
from gradegap.store import wire
from gradegap.store.in_force import MachineReport
from gradegap.store.subscriptions import SubscriptionHost
from gradegap.transport.addresses import split_address
from gradegap.transport.descriptors import raise_descriptor_limit

log = structlog.get_logger()

# limit on connections that have not subscribed yet; above it the oldest of them is closed
MAX_PENDING_CONNECTIONS = 1024
MAX_REQUESTS_IN_FLIGHT = 16  # limit on the unanswered requests of each connection
RESERVED_DESCRIPTOR_COUNT = 1024  # file descriptors for everything but subscribers and pending connections
LISTEN_BACKLOG = 1024
ALLOWED_REQUESTS = (  # requests that a node may send over its subscription
    wire.Get | wire.List | wire.Transaction | wire.Status | wire.Digest | wire.InForce
)


class PublisherServer:
    """All connections of a control machine's `publish` port, and the publisher that serves them."""

    def __init__(self, host: SubscriptionHost, secret: bytes, limits: Limits | None = None) -> None:
        self.host, self.loop, self.metrics, self.secret = host, host.loop, host.metrics, secret
        self.limits = limits or Limits().for_lease(host.settings.lease_s)
        self.publisher: Publisher | None = None  # created once the member belongs to a cluster
        self.listener: asyncio.Server | None = None
        self.connections: dict[int, SubscriberConnection] = {}
        # Connections that have not subscribed yet, the oldest first.
        self.pending_connections: dict[int, SubscriberConnection] = {}
        self.connections_opened = 0
        self.encoded_bodies = EncodedBodyCache()
        self.is_flush_scheduled = False
        self.reported_safe_index = 0  # the highest index returned by `safe_index`
        self.tick_timer: asyncio.TimerHandle | None = None
        self.tick_at = 0.0
        self.is_stopped = False
        self.metrics.gauge("observer_connections", lambda: len(self.connections))
        self.metrics.gauge("observer_subscribers", self._count_subscribers)

    def _count_subscribers(self) -> int:
        return len(self.publisher.subscriptions) if self.publisher is not None else 0

    async def start(self) -> None:
        """Listen for subscriptions.

        Raises:
            OSError: The address can't be bound.
        """
        raise_descriptor_limit(
            self.limits.max_subscribers + MAX_PENDING_CONNECTIONS + RESERVED_DESCRIPTOR_COUNT
        )
        address = self.host.settings.publish
        host, port = split_address(address)
        self.listener = await self.loop.create_server(
            lambda: SubscriberConnection(self), host, port, reuse_address=True, backlog=LISTEN_BACKLOG
        )
        log.info("listening", part="publisher", address=address)

    # Called by the member

    def committed(self) -> None:
        """Handle newly applied entries of the log."""
        publisher = self._get_or_create_publisher()
        if publisher is not None:
            publisher.source_advanced(time.monotonic())
            self._schedule_flush()

    def lease(self, until: float) -> None:
        """Handle an extension of the member's own lease to `until` (steady time, s)."""
        publisher = self._get_or_create_publisher()
        if publisher is not None:
            publisher.renew_lease(time.monotonic(), until)
            self._schedule_flush()

    def safe_index(self) -> int:
        """Returns the log index applied by the member and by every node that may decide under its lease."""
        if self.publisher is None:
            return self.host.machine.index
        self.reported_safe_index = max(self.reported_safe_index, self.publisher.safe_index(time.monotonic()))
        return self.reported_safe_index

    def report(self, revision: int) -> MachineReport:
        """Returns which nodes lack a revision, as far as this machine knows."""
        publisher = self._get_or_create_publisher()
        if publisher is None:
            # The member belongs to no cluster yet, and doesn't know the nodes of its previous process.
            return MachineReport(self.host.settings.name, 0, 0, restarted=True)
        return publisher.report(time.monotonic(), revision)

    def stop(self) -> None:
        """Stop serving: each node is sent a Rejected, and subscribes to another machine."""
        if self.is_stopped:
            return
        self.is_stopped = True
        if self.listener is not None:
            self.listener.close()
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        rejection = msgspec.msgpack.encode(Rejected(CloseCode.LEAVING, "this machine is stopping"))
        for connection in list(self.connections.values()):
            connection.send(rejection)
            connection.close()

    def _get_or_create_publisher(self) -> Publisher | None:
        """Returns the publisher, created once the member belongs to a cluster; None before."""
        if self.publisher is None and self.host.identity.cluster and not self.is_stopped:
            source = MachineSource(self.host.machine)
            name, now = self.host.settings.name, time.monotonic()
            cluster = self.host.identity.cluster
            self.publisher = Publisher(cluster, name, source, self.limits, now, random.Random())
        return self.publisher

    # Called by connections

    def connection_opened(self, connection: SubscriberConnection) -> None:
        """Register an accepted connection that is not authenticated yet."""
        if self.is_stopped or self._get_or_create_publisher() is None:
            connection.end("not_formed")
            return
        self.connections_opened += 1
        connection.connection_id = self.connections_opened
        self.connections[connection.connection_id] = connection
        self.pending_connections[connection.connection_id] = connection
        if len(self.pending_connections) > MAX_PENDING_CONNECTIONS:
            # Guards against many connections that send nothing: a node subscribes within a few milliseconds.
            oldest = next(iter(self.pending_connections))
            self.pending_connections.pop(oldest).end("crowded")

    def message_received(self, connection: SubscriberConnection, message: object) -> None:
        """Handle a message on an authenticated connection."""
        publisher, now = self.publisher, time.monotonic()
        if publisher is None or self.is_stopped:
            return
        match message:
            case Subscribe() if not connection.node:
                self.pending_connections.pop(connection.connection_id, None)
                connection.set_subscribed(message.node)
                publisher.subscribe(now, connection.connection_id, message)
            case wire.Request() if connection.node:
                self._handle_request(connection, message)
                return
            case wire.Request():
                connection.end(CloseCode.GARBLED, "request received before Subscribe")
                return
            case _:
                publisher.receive(now, connection.connection_id, message)  # type: ignore[arg-type]
        self._schedule_flush()

    def _handle_request(self, connection: SubscriberConnection, request: wire.Request) -> None:
        connection.requests_in_flight += 1

        def send_response(response: wire.Response) -> None:
            connection.respond(msgspec.structs.replace(response, serial=request.serial))

        if connection.requests_in_flight > MAX_REQUESTS_IN_FLIGHT:
            send_response(
                wire.Response(0, "no", f"busy: more than {MAX_REQUESTS_IN_FLIGHT} requests at once")
            )
        elif not isinstance(request.body, ALLOWED_REQUESTS):
            send_response(
                wire.Response(0, "no", "not_here: send this request to the address of a member of the store")
            )
        else:
            self.host.requests.request(request.body, send_response, request.timeout_s)

    def writing_paused(self, connection: SubscriberConnection) -> None:
        """Pause sending to a node that reads too slowly."""
        if self.publisher is not None:
            self.publisher.pause_writing(time.monotonic(), connection.connection_id)

    def writing_resumed(self, connection: SubscriberConnection) -> None:
        """Continue sending to a node whose write buffer has drained."""
        if self.publisher is not None:
            self.publisher.resume_writing(time.monotonic(), connection.connection_id)
            self._schedule_flush()

    def connection_closed(self, connection: SubscriberConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.pop(connection.connection_id, None)
        self.pending_connections.pop(connection.connection_id, None)
        if self.publisher is not None and connection.node:
            self.publisher.disconnected(time.monotonic(), connection.connection_id)
            self._schedule_flush()

    # The publisher's outputs

    def _schedule_flush(self) -> None:
        """Execute the publisher's outputs after all events of this iteration of the event loop."""
        if not self.is_flush_scheduled and not self.is_stopped:
            self.is_flush_scheduled = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.is_flush_scheduled = False
        publisher = self.publisher
        if publisher is None or self.is_stopped:
            return
        while outputs := publisher.take():
            for output in outputs:
                self._execute(output)
        self._export_counts(publisher)
        self._report_safe_index()
        self._arm_tick_timer(publisher)

    def _execute(self, output: Output) -> None:
        connection = self.connections.get(output.connection_id)
        if connection is None:
            return
        if isinstance(output, Close):
            connection.close()
        elif isinstance(output.message, Delta | SnapshotPart):
            connection.send(self.encoded_bodies.body(output.message))
        else:
            connection.send(msgspec.msgpack.encode(output.message))

    def _export_counts(self, publisher: Publisher) -> None:
        for name, count in publisher.counts.items():
            self.metrics.counts[f"observer_{name}"] = count

    def _report_safe_index(self) -> None:
        previous = self.reported_safe_index
        if self.safe_index() > previous:
            self.host.report_applied()

    def _arm_tick_timer(self, publisher: Publisher) -> None:
        deadline = publisher.deadline()
        if deadline is None or (self.tick_timer is not None and self.tick_at <= deadline):
            return
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.tick_at = deadline
        self.tick_timer = self.loop.call_later(max(0.0, deadline - time.monotonic()), self._tick)

    def _tick(self) -> None:
        self.tick_timer = None
        if self.publisher is not None:
            self.publisher.tick(time.monotonic())
            self._flush()
