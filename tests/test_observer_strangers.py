"""Connections that prove nothing, say nothing, never read, or say what they may not."""

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


def test_strangers_are_refused_by_a_code_and_counted(tmp_path: Path) -> None:
    async def part(w: PublisherEnvironment) -> None:
        node = w.client("node")
        await w.wait_until(node.is_fresh)
        cluster = w.member.identity.cluster

        async def rejected(message: Subscribe) -> Rejected:
            raw = await w.dial()
            await raw.authenticate()
            raw.send(message)
            answer = await raw.next_message(Rejected)
            await raw.wait_for_end()
            assert isinstance(answer, Rejected)
            return answer

        assert (await rejected(Subscribe(VERSION + 1, "a", "i"))).code is CloseCode.VERSION
        assert (await rejected(Subscribe(VERSION, "a", "i", cluster="another"))).code is CloseCode.CLUSTER
        assert (
            await rejected(Subscribe(VERSION, "a", "i", cluster=cluster, revision=99))
        ).code is CloseCode.BEHIND
        assert (await rejected(Subscribe(VERSION, "", ""))).code is CloseCode.GARBLED
        for code in (CloseCode.VERSION, CloseCode.CLUSTER, CloseCode.BEHIND, CloseCode.GARBLED):
            assert w.counts[f"observer_rejected_{code}"] == 1, w.counts

        # Frames: a wrong sum, a length that is none, a body that is no message, a second beginning.
        async def garbled(spoil: Callable[[RawConnection], bytes]) -> None:
            raw = await w.dial()
            await raw.authenticate()
            raw.writer.write(spoil(raw))
            await raw.wait_for_end()

        frames: list[Callable[[RawConnection], bytes]] = [
            lambda raw: raw.channel.send(Renew(1, 0))[:-1] + b"\x7f",
            lambda raw: (MAX_FRAME_BYTES + 1).to_bytes(4, "big") + bytes(16),
            lambda raw: raw.channel.send_encoded(b"\xc1 no message"),
            lambda raw: raw.channel.send_encoded(b"\x91" * 100_000),
            lambda raw: raw.channel.send_encoded(msgspec.msgpack.encode([2, 1, -5])),
            lambda raw: raw.channel.send(wire.Request(1, wire.Status())),
        ]
        for k, spoil in enumerate(frames, 1):
            await garbled(spoil)
            await w.wait_until(lambda k=k: w.counts.get("observer_link_garbled") == k)  # type: ignore[misc]
        other = await w.dial()
        other.channel = subscriber_channel(b"another secret of sixteen bytes")
        with pytest.raises(LinkError, match="turned: secret"):
            await other.authenticate()
        assert w.counts["observer_link_secret"] == 1
        assert node.is_fresh() and len(w.server.connections) == 1

    run_with_publisher(tmp_path, part)


def test_many_that_connect_and_say_nothing_delay_no_subscriber(tmp_path: Path) -> None:
    """Scaled to what the descriptors of one process allow: each connection takes two here."""
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = min(10_000, (hard if hard != resource.RLIM_INFINITY else 50_000) // 3)

    async def part(w: PublisherEnvironment) -> None:
        node = w.client("node")
        await w.wait_until(node.is_fresh)
        host = split_address(w.publish)
        silent: list[socket.socket] = []
        largest = lost = 0
        for _ in range(most):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(host)
            silent.append(sock)
            if len(silent) % 100 == 0:
                await asyncio.sleep(0)
                largest = max(largest, len(w.server.pending_connections))
                lost += not node.is_fresh()
            if len(silent) % 1000 == 0:
                answer = await w.write("config/motd", f"{len(silent)}")
                assert answer.outcome == "ok"
                await w.wait_until(lambda a=answer: node.revision >= a.revision, 1.0)  # type: ignore[misc]
        # One that proves itself comes in, whoever else waits.
        late = w.client("late")
        await w.wait_until(late.is_fresh)
        assert node.is_fresh() and not lost
        assert largest <= server_module.MAX_PENDING_CONNECTIONS

        def refused() -> int:
            return w.counts["observer_link_crowded"] + w.counts.get("observer_link_silent", 0)

        def accepted() -> int:
            return w.server.connections_opened - 2  # but for the two nodes

        # Each that came in is refused and counted; the system's own queue, when full, drops a few.
        await w.wait_until(lambda: refused() == accepted() and len(w.server.connections) == 2)
        assert accepted() >= 0.9 * most, (accepted(), most)
        crowded = w.counts["observer_link_crowded"]
        print(f"{most} silent connections, {accepted()} accepted, {crowded} crowded out")
        assert w.counts["observer_link_silent"] < most // 2
        for sock in silent:
            sock.close()

    run_with_publisher(tmp_path, part)


def test_a_subscriber_that_never_reads_holds_bounded_memory_and_delays_nobody(tmp_path: Path) -> None:
    async def part(w: PublisherEnvironment) -> None:
        node = w.client("node")
        await w.wait_until(node.is_fresh)
        raw = await w.dial(receive_buffer=32 * 1024)
        await raw.authenticate()
        raw.send(Subscribe(VERSION, "deaf", "i"))
        await raw.next_message(Accepted)
        raw.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection = next(c for c in w.server.connections.values() if c.node == "deaf")
        largest = 0
        for k in range(100):
            raw.send(Renew(k, 0))  # it speaks, and reads nothing
            value = {"at_ms": k, "why": "x" * 180, "by": "y" * 120}
            answer = await w.transact(*(KeyUpdate(f"out/s-{j}", value) for j in range(120)))
            assert answer.outcome == "ok"
            if connection.transport is not None:
                largest = max(largest, connection.transport.get_write_buffer_size())
        # What one block of values may add to a buffer that was just under its mark.
        assert largest <= HIGH_WATER_BYTES + MAX_FRAME_BYTES
        await w.wait_until(lambda: node.revision >= answer.revision)
        print(f"largest write buffer {largest} bytes")
        assert connection.connection_id in w.server.publisher.subscriptions  # type: ignore[union-attr]
        assert largest > HIGH_WATER_BYTES
        # It reads again: what it lacks comes coalesced, in order, and never backwards.
        raw.writer.transport.resume_reading()  # type: ignore[attr-defined]
        revision = 0
        while revision < answer.revision:
            assert await raw.read()
            for message in raw.messages:
                if isinstance(message, Delta | SnapshotPart):
                    assert message.revision >= revision
                    revision = message.revision
            raw.messages.clear()
        assert w.counts["observer_deltas"] < 2 * 100  # those that it did not read are not all sent

    # No budget of bytes: it would keep so much from ever being sent.
    run_with_publisher(
        tmp_path,
        part,
        replace(Limits().for_lease(1.0), subscriber_bytes_per_s=1e9, subscriber_burst_bytes=10**9),
    )


def test_a_client_refuses_what_no_machine_may_say(tmp_path: Path) -> None:
    """A frame of 100 MB, a body that is no message, one of another kind: the connection ends."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        spoils: list[Callable[[LinkChannel], bytes]] = [
            lambda channel: (100 * 1024 * 1024).to_bytes(4, "big") + bytes(16) + b"x" * 65536,
            lambda channel: channel.send_encoded(b"\xc1"),
            lambda channel: channel.send(Subscribe(VERSION, "a", "i")),
            lambda channel: channel.send(Delta(5, 6, ())),  # before it was accepted
        ]
        seen: list[int] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            channel = publisher_channel(b"")
            while not channel.authenticated:
                _, reply = channel.receive(await reader.read(65536))
                writer.write(reply)
            spoil = spoils[len(seen) % len(spoils)]
            seen.append(1)
            writer.write(spoil(channel))
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
            lambda f: None,
        )
        client.start()
        end = time.monotonic() + TIMEOUT_S
        while len(seen) < len(spoils) + 1:
            assert time.monotonic() < end
            await asyncio.sleep(0.005)
        assert not applied and not client.is_fresh()
        client.leave()
        server.close()

    uvloop.run(main())
