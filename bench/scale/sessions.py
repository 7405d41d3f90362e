"""A hollow node's side of the store: a member with gossip (the earlier mechanism), or a subscriber."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import msgspec

from bench.scale.measure import CountedChannel, Traffic
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.store.channel import LinkChannel
from gradegap.store.dynamic_configuration import DynamicConfiguration
from gradegap.store.embedded import EmbeddedStore
from gradegap.store.records import Event
from gradegap.store.settings import Peer, StoreSettings


class MachineSpec(msgspec.Struct):
    """A control machine, with the addresses at which nodes of one region reach it."""

    name: str
    region: str
    listen_address: str
    publish_address: str
    member_address: str  # address for the other machines: the gate between regions, or the machine itself


class NodeSpec(msgspec.Struct):
    """One hollow node."""

    name: str
    region: str
    member_address: str = ""  # listen address for the mechanism "members"

    def as_member(self) -> MachineSpec:
        """Returns the node as a member of the store, for the mechanism "members"."""
        return MachineSpec(self.name, self.region, self.member_address, "", self.member_address)


class SessionParts(msgspec.Struct):
    """Parts of a node that its session uses, and the receivers of the measurements."""

    proxy: Proxy
    configuration: DynamicConfiguration
    metrics: Metrics
    loop: asyncio.AbstractEventLoop
    traffic: Traffic
    has_endpoint_list: Callable[[], bool]
    applied: Callable[[int], None]  # called with each revision that is in force at this node


class Session(Protocol):
    """A node's side of the store."""

    async def start(self) -> None:
        """Starts the session; returns without waiting for a lease."""

    def holds_lease(self) -> bool:
        """Returns whether the node holds a lease and may decide by committed state."""

    def machine(self) -> str:
        """Returns the control machine that serves the node; empty if none does or the node is a member."""

    def stop(self, planned: bool) -> None:
        """Ends the session; a `planned` end is announced first."""


class MemberSession:
    """The earlier mechanism: each node is a member, and sends its load reports to all others each second."""

    def __init__(
        self, node: NodeSpec, machines: list[MachineSpec], secret: bytes, folder: Path, parts: SessionParts
    ) -> None:
        self.parts = parts
        settings = StoreSettings(
            name=node.name,
            listen=node.member_address,
            peers=tuple(Peer(m.name, m.member_address) for m in machines if m.name != node.name),
        )
        self.node = node
        self.attached = EmbeddedStore(
            settings,
            secret,
            folder,
            parts.proxy,
            parts.configuration,
            parts.metrics,
            parts.loop,
            self._state,
            parts.has_endpoint_list,
        )
        network = self.attached.member.links
        network.channel = self._channel  # type: ignore[method-assign]
        self.attached.machine.listeners.append(self._changed)

    def _channel(self, is_dialer: bool) -> LinkChannel:
        network = self.attached.member.links
        channel = CountedChannel.open(network.secret, "member", is_dialer, network.member, network.cluster)
        assert isinstance(channel, CountedChannel)
        channel.traffic = self.parts.traffic
        return channel

    def _changed(self, events: list[Event]) -> None:
        self.parts.applied(max(event.revision for event in events))

    def _state(self) -> dict[str, object]:
        """Returns the state that `Node` shows to the other nodes."""
        proxy = self.parts.proxy
        return {
            "state": "ready" if self.parts.has_endpoint_list() else "starting",
            "listen": self.node.member_address,
            "quic": None,
            "started_ms": round(proxy.started_at_ms),
        }

    async def start(self) -> None:
        """Starts the member."""
        await self.attached.start()

    def holds_lease(self) -> bool:
        """Returns whether the member holds a lease."""
        return self.attached.is_fresh()

    def machine(self) -> str:
        """Returns an empty string, because no machine serves a member."""
        return ""

    def stop(self, planned: bool) -> None:
        """Stops the member; a planned stop transfers leadership first."""
        if planned:
            self.attached.leave()
        self.attached.close()


def steady() -> float:
    """Returns the steady clock in seconds, which is the same for all processes of a machine."""
    return time.monotonic()
