"""Misbehaving peers: connections that don't authenticate, send nothing, never read, or break the protocol."""

from __future__ import annotations

import asyncio
import resource
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
import uvloop

from gradegap.metrics import Metrics
from gradegap.observer import server as server_module
from gradegap.observer.client import ObserverClient
from gradegap.observer.limits import Limits
from gradegap.observer.link import publisher_channel, subscriber_channel
from gradegap.observer.messages import (
    MAX_FRAME_BYTES,
    VERSION,
    Accepted,
    CloseCode,
    Delta,
    Rejected,
    Renew,
    SnapshotPart,
    Subscribe,
)
from gradegap.observer.subscriber_connection import HIGH_WATER_BYTES
from gradegap.store import wire
from gradegap.store.channel import LinkChannel
from gradegap.store.errors import LinkError
from gradegap.store.records import KeyUpdate
from gradegap.store.subscription_settings import ObserverMachine, ObserverSettings
from gradegap.transport.addresses import split_address
from tests.support.observer_sockets import TIMEOUT_S, PublisherEnvironment, RawConnection, run_with_publisher


def test_invalid_peers_are_rejected_with_a_code_and_counted(tmp_path: Path) -> None:
    async def scenario(environment: PublisherEnvironment) -> None:
        node = environment.client("node")
        await environment.wait_until(node.is_fresh)
        cluster = environment.member.identity.cluster

        async def rejected(message: Subscribe) -> Rejected:
            raw_connection = await environment.dial()
            await raw_connection.authenticate()
            raw_connection.send(message)
            response = await raw_connection.next_message(Rejected)
            await raw_connection.wait_for_end()
            assert isinstance(response, Rejected)
            return response

        assert (await rejected(Subscribe(VERSION + 1, "a", "i"))).code is CloseCode.VERSION
        assert (await rejected(Subscribe(VERSION, "a", "i", cluster="another"))).code is CloseCode.CLUSTER
        assert (
            await rejected(Subscribe(VERSION, "a", "i", cluster=cluster, revision=99))
        ).code is CloseCode.BEHIND
        assert (await rejected(Subscribe(VERSION, "", ""))).code is CloseCode.GARBLED
        for code in (CloseCode.VERSION, CloseCode.CLUSTER, CloseCode.BEHIND, CloseCode.GARBLED):
            assert environment.counts[f"observer_rejected_{code}"] == 1, environment.counts

        # Invalid frames: wrong checksum, oversized length, undecodable bodies, a request before Subscribe.
        async def send_invalid(make_frame: Callable[[RawConnection], bytes]) -> None:
            raw_connection = await environment.dial()
            await raw_connection.authenticate()
            raw_connection.writer.write(make_frame(raw_connection))
            await raw_connection.wait_for_end()

        frames: list[Callable[[RawConnection], bytes]] = [
            lambda raw_connection: raw_connection.channel.send(Renew(1, 0))[:-1] + b"\x7f",
            lambda raw_connection: (MAX_FRAME_BYTES + 1).to_bytes(4, "big") + bytes(16),
            lambda raw_connection: raw_connection.channel.send_encoded(b"\xc1 no message"),
            lambda raw_connection: raw_connection.channel.send_encoded(b"\x91" * 100_000),
            lambda raw_connection: raw_connection.channel.send_encoded(msgspec.msgpack.encode([2, 1, -5])),
            lambda raw_connection: raw_connection.channel.send(wire.Request(1, wire.Status())),
        ]
        for k, make_frame in enumerate(frames, 1):
            await send_invalid(make_frame)
            await environment.wait_until(lambda k=k: environment.counts.get("observer_link_garbled") == k)  # type: ignore[misc]
        other = await environment.dial()
        other.channel = subscriber_channel(b"another secret of sixteen bytes")
        with pytest.raises(LinkError, match="turned: secret"):
            await other.authenticate()
        assert environment.counts["observer_link_secret"] == 1
        assert node.is_fresh() and len(environment.server.connections) == 1

    run_with_publisher(tmp_path, scenario)


def test_many_silent_connections_do_not_delay_subscribers(tmp_path: Path) -> None:
    """The number of connections fits the descriptor limit of the process; each takes two descriptors here."""
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    connection_count = min(10_000, (hard if hard != resource.RLIM_INFINITY else 50_000) // 3)

    async def scenario(environment: PublisherEnvironment) -> None:
        node = environment.client("node")
        await environment.wait_until(node.is_fresh)
        host = split_address(environment.publish)
        silent: list[socket.socket] = []
        largest_seen = stale_count = 0
        for _ in range(connection_count):
            client_socket = socket.socket()
            client_socket.setblocking(False)
            client_socket.connect_ex(host)
            silent.append(client_socket)
            if len(silent) % 100 == 0:
                await asyncio.sleep(0)
                largest_seen = max(largest_seen, len(environment.server.pending_connections))
                stale_count += not node.is_fresh()
            if len(silent) % 1000 == 0:
                response = await environment.write("config/motd", f"{len(silent)}")
                assert response.outcome == "ok"
                await environment.wait_until(lambda a=response: node.revision >= a.revision, 1.0)  # type: ignore[misc]
        # A node that authenticates is accepted although others are waiting.
        late = environment.client("late")
        await environment.wait_until(late.is_fresh)
        assert node.is_fresh() and not stale_count
        assert largest_seen <= server_module.MAX_PENDING_CONNECTIONS

        def closed_count() -> int:
            return environment.counts["observer_link_crowded"] + environment.counts.get(
                "observer_link_silent", 0
            )

        def accepted_count() -> int:
            return environment.server.connections_opened - 2  # without the two nodes

        # Each accepted connection is closed and counted. The system's listen queue drops a few when full.
        await environment.wait_until(
            lambda: closed_count() == accepted_count() and len(environment.server.connections) == 2
        )
        assert accepted_count() >= 0.9 * connection_count, (accepted_count(), connection_count)
        crowded = environment.counts["observer_link_crowded"]
        print(f"{connection_count} silent connections, {accepted_count()} accepted, {crowded} crowded out")
        assert environment.counts["observer_link_silent"] < connection_count // 2
        for client_socket in silent:
            client_socket.close()

    run_with_publisher(tmp_path, scenario)


def test_subscriber_that_never_reads_uses_bounded_memory(tmp_path: Path) -> None:
    async def scenario(environment: PublisherEnvironment) -> None:
        node = environment.client("node")
        await environment.wait_until(node.is_fresh)
        raw_connection = await environment.dial(receive_buffer=32 * 1024)
        await raw_connection.authenticate()
        raw_connection.send(Subscribe(VERSION, "deaf", "i"))
        await raw_connection.next_message(Accepted)
        raw_connection.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection = next(c for c in environment.server.connections.values() if c.node == "deaf")
        largest_seen = 0
        for k in range(100):
            raw_connection.send(Renew(k, 0))  # sends, and reads nothing
            value = {"at_ms": k, "why": "x" * 180, "by": "y" * 120}
            response = await environment.transact(*(KeyUpdate(f"out/s-{j}", value) for j in range(120)))
            assert response.outcome == "ok"
            if connection.transport is not None:
                largest_seen = max(largest_seen, connection.transport.get_write_buffer_size())
        # One block of values may be added to a buffer that is just below its high-water mark.
        assert largest_seen <= HIGH_WATER_BYTES + MAX_FRAME_BYTES
        await environment.wait_until(lambda: node.revision >= response.revision)
        print(f"largest write buffer {largest_seen} bytes")
        assert connection.connection_id in environment.server.publisher.subscriptions  # type: ignore[union-attr]
        assert largest_seen > HIGH_WATER_BYTES
        # It reads again: the missing changes come coalesced, in order, and never with a lower revision.
        raw_connection.writer.transport.resume_reading()  # type: ignore[attr-defined]
        revision = 0
        while revision < response.revision:
            assert await raw_connection.read()
            for message in raw_connection.messages:
                if isinstance(message, Delta | SnapshotPart):
                    assert message.revision >= revision
                    revision = message.revision
            raw_connection.messages.clear()
        assert environment.counts["observer_deltas"] < 2 * 100  # not every change was sent separately

    # Without a byte budget, which would prevent that many bytes from being sent.
    run_with_publisher(
        tmp_path,
        scenario,
        replace(Limits().for_lease(1.0), subscriber_bytes_per_s=1e9, subscriber_burst_bytes=10**9),
    )


def test_client_disconnects_from_machine_that_breaks_the_protocol(tmp_path: Path) -> None:
    """Covers a frame of 100 MB, an undecodable body, a subscriber's message, and one before Accepted."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        invalid_frames: list[Callable[[LinkChannel], bytes]] = [
            lambda channel: (100 * 1024 * 1024).to_bytes(4, "big") + bytes(16) + b"x" * 65536,
            lambda channel: channel.send_encoded(b"\xc1"),
            lambda channel: channel.send(Subscribe(VERSION, "a", "i")),
            lambda channel: channel.send(Delta(5, 6, ())),  # before Accepted
        ]
        connections_served: list[int] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            channel = publisher_channel(b"")
            while not channel.authenticated:
                _, reply = channel.receive(await reader.read(65536))
                writer.write(reply)
            make_frame = invalid_frames[len(connections_served) % len(invalid_frames)]
            connections_served.append(1)
            writer.write(make_frame(channel))
            await reader.read(65536)
            while await reader.read(65536):
                pass
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        settings = ObserverSettings((ObserverMachine("c1", address),), "node")
        applied: list[int] = []
        client = ObserverClient(
            settings,
            loop,
            Metrics(),
            lambda revision, changes, is_snapshot: applied.append(revision),
            lambda is_fresh: None,
        )
        client.start()
        deadline = time.monotonic() + TIMEOUT_S
        while len(connections_served) < len(invalid_frames) + 1:
            assert time.monotonic() < deadline
            await asyncio.sleep(0.005)
        assert not applied and not client.is_fresh()
        client.leave()
        server.close()

    uvloop.run(main())
