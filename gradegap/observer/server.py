"""A control machine's subscriptions on sockets: its listener, and time round a `Publisher`.

Connections that have not subscribed are few, short and the first to make way.
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

MAX_PENDING_CONNECTIONS = 1024  # that have not subscribed yet; beyond, the oldest of them makes way
MAX_REQUESTS_IN_FLIGHT = 16  # of one connection
OTHER_DESCRIPTORS = 1024  # that the process needs beside its subscribers'
LISTEN_BACKLOG = 1024
ALLOWED_REQUESTS = (  # what a node may ask for
    wire.Get | wire.List | wire.Transaction | wire.Status | wire.Digest | wire.InForce
)


class PublisherServer:
    """All connections of a control machine's `publish` port, and the publisher that serves them."""

    def __init__(self, host: SubscriptionHost, secret: bytes, limits: Limits | None = None) -> None:
        self.host, self.loop, self.metrics, self.secret = host, host.loop, host.metrics, secret
        self.limits = limits or Limits().for_lease(host.settings.lease_s)
        self.publisher: Publisher | None = None  # once the member belongs to a cluster
        self.listener: asyncio.Server | None = None
        self.connections: dict[int, SubscriberConnection] = {}
        # Those that have not subscribed yet, the oldest first.
        self.pending_connections: dict[int, SubscriberConnection] = {}
        self.connections_opened = 0
        self.encoded_bodies = EncodedBodyCache()
        self.flush_scheduled = False
        self.reported_safe_index = 0  # that the leader was sent last
        self.tick_timer: asyncio.TimerHandle | None = None
        self.tick_at = 0.0
        self.stopped = False
        self.metrics.gauge("observer_connections", lambda: len(self.connections))
        self.metrics.gauge("observer_subscribers", self._count_subscribers)

    def _count_subscribers(self) -> int:
        return len(self.publisher.subscriptions) if self.publisher is not None else 0

    async def start(self) -> None:
        """Listen; `OSError` where the address can't be had."""
        raise_descriptor_limit(self.limits.max_subscribers + MAX_PENDING_CONNECTIONS + OTHER_DESCRIPTORS)
        address = self.host.settings.publish
        host, port = split_address(address)
        self.listener = await self.loop.create_server(
            lambda: SubscriberConnection(self), host, port, reuse_address=True, backlog=LISTEN_BACKLOG
        )
        log.info("listening", part="publisher", address=address)

    # Called by the member

    def committed(self) -> None:
        """The member has applied more of the log."""
        publisher = self._publisher()
        if publisher is not None:
            publisher.source_advanced(time.monotonic())
            self._schedule_flush()

    def lease(self, until: float) -> None:
        """The member's own lease is good until `until`."""
        publisher = self._publisher()
        if publisher is not None:
            publisher.renew_lease(time.monotonic(), until)
            self._schedule_flush()

    def safe_index(self) -> int:
        """What the member may report as applied: no node that still decides by it lacks any of it."""
        if self.publisher is None:
            return self.host.machine.index
        self.reported_safe_index = max(self.reported_safe_index, self.publisher.safe_index(time.monotonic()))
        return self.reported_safe_index

    def report(self, revision: int) -> MachineReport:
        """Which nodes lack a revision, as far as this machine knows."""
        publisher = self._publisher()
        if publisher is None:
            # It belongs to no cluster yet, and knows nothing of nodes of an earlier process.
            return MachineReport(self.host.settings.name, 0, 0, restarted=True)
        return publisher.report(time.monotonic(), revision)

    def stop(self) -> None:
        """Serve no more: each node is sent a Rejected, and goes to another machine."""
        if self.stopped:
            return
        self.stopped = True
        if self.listener is not None:
            self.listener.close()
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        rejection = msgspec.msgpack.encode(Rejected(CloseCode.LEAVING, "this machine is stopping"))
        for connection in list(self.connections.values()):
            connection.send(rejection)
            connection.close()

    def _publisher(self) -> Publisher | None:
        """Made once the member belongs to a cluster."""
        if self.publisher is None and self.host.identity.cluster and not self.stopped:
            source = MachineSource(self.host.machine)
            name, now = self.host.settings.name, time.monotonic()
            cluster = self.host.identity.cluster
            self.publisher = Publisher(cluster, name, source, self.limits, now, random.Random())
        return self.publisher

    # Called by connections

    def connection_opened(self, connection: SubscriberConnection) -> None:
        """A connection came, from whomever."""
        if self.stopped or self._publisher() is None:
            connection.end("not_formed")
            return
        self.connections_opened += 1
        connection.connection_id = self.connections_opened
        self.connections[connection.connection_id] = connection
        self.pending_connections[connection.connection_id] = connection
        if len(self.pending_connections) > MAX_PENDING_CONNECTIONS:
            # Guards against many that connect and say nothing: an honest one needs a few milliseconds.
            oldest = next(iter(self.pending_connections))
            self.pending_connections.pop(oldest).end("crowded")

    def message_received(self, connection: SubscriberConnection, message: object) -> None:
        """A message on a proven connection."""
        publisher, now = self.publisher, time.monotonic()
        if publisher is None or self.stopped:
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
                connection.end(CloseCode.GARBLED, "a request before it has subscribed")
                return
            case _:
                publisher.receive(now, connection.connection_id, message)  # type: ignore[arg-type]
        self._schedule_flush()

    def _handle_request(self, connection: SubscriberConnection, request: wire.Request) -> None:
        connection.requests_in_flight += 1

        def done(response: wire.Response) -> None:
            connection.respond(msgspec.structs.replace(response, serial=request.serial))

        if connection.requests_in_flight > MAX_REQUESTS_IN_FLIGHT:
            done(wire.Response(0, "no", f"busy: more than {MAX_REQUESTS_IN_FLIGHT} requests at once"))
        elif not isinstance(request.body, ALLOWED_REQUESTS):
            done(wire.Response(0, "no", "not_here: ask a member of the store at its own address"))
        else:
            self.host.requests.request(request.body, done, request.timeout_s)

    def writing_paused(self, connection: SubscriberConnection) -> None:
        """Its node reads too slowly."""
        if self.publisher is not None:
            self.publisher.pause_writing(time.monotonic(), connection.connection_id)

    def writing_resumed(self, connection: SubscriberConnection) -> None:
        """Its node has read on."""
        if self.publisher is not None:
            self.publisher.resume_writing(time.monotonic(), connection.connection_id)
            self._schedule_flush()

    def connection_closed(self, connection: SubscriberConnection) -> None:
        """It has ended, for whatever reason."""
        self.connections.pop(connection.connection_id, None)
        self.pending_connections.pop(connection.connection_id, None)
        if self.publisher is not None and connection.node:
            self.publisher.disconnected(time.monotonic(), connection.connection_id)
            self._schedule_flush()

    # The publisher's outputs

    def _schedule_flush(self) -> None:
        """Carry out what the publisher wants, after all that this turn of the loop brings."""
        if not self.flush_scheduled and not self.stopped:
            self.flush_scheduled = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        publisher = self.publisher
        if publisher is None or self.stopped:
            return
        while outputs := publisher.take():
            for output in outputs:
                self._carry_out(output)
        self._export_counts(publisher)
        self._report_safe_index()
        self._arm_tick_timer(publisher)

    def _carry_out(self, output: Output) -> None:
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
        before = self.reported_safe_index
        if self.safe_index() > before:
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
