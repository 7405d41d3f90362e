"""A hollow node's side of the store: as a member with gossip (the version before), or as a subscriber."""

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
    """A control machine, as nodes of one region reach it."""

    name: str
    region: str
    listen_address: str
    publish_address: str
    member_address: str  # where the other machines reach it: through the gate between regions, or directly


class NodeSpec(msgspec.Struct):
    """One hollow node."""

    name: str
    region: str
    member_address: str = ""  # of the mechanism "members": where it listens

    def as_member(self) -> MachineSpec:
        """This node as the other members of the store see it, where it is one."""
        return MachineSpec(self.name, self.region, self.member_address, "", self.member_address)


class SessionParts(msgspec.Struct):
    """What a session works on: the node's own parts, and where what is measured goes."""

    proxy: Proxy
    configuration: DynamicConfiguration
    metrics: Metrics
    loop: asyncio.AbstractEventLoop
    traffic: Traffic
    has_endpoint_list: Callable[[], bool]
    applied: Callable[[int], None]  # a revision is in force at this node now


class Session(Protocol):
    """A node's side of the store."""

    async def start(self) -> None:
        """Begin; returns once it is under way."""

    def holds_lease(self) -> bool:
        """Whether the node may decide by committed state."""

    def machine(self) -> str:
        """The control machine that serves it; empty: none, or the node is a member itself."""

    def stop(self, planned: bool) -> None:
        """End it; `planned` says goodbye first."""


class MemberSession:
    """The version before: each node is a member, and sends all others its load reports each second."""

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
        """As `Node` shows it to its siblings."""
        proxy = self.parts.proxy
        return {
            "state": "ready" if self.parts.has_endpoint_list() else "starting",
            "listen": self.node.member_address,
            "quic": None,
            "started_ms": round(proxy.started_at_ms),
        }

    async def start(self) -> None:
        """Listen and take part."""
        await self.attached.start()

    def holds_lease(self) -> bool:
        """Whether it holds a lease."""
        return self.attached.is_fresh()

    def machine(self) -> str:
        """A member is served by none."""
        return ""

    def stop(self, planned: bool) -> None:
        """A member that stops hands over what it leads, where that is planned."""
        if planned:
            self.attached.leave()
        self.attached.close()


def steady() -> float:
    """The clock of all figures: the same for all processes of a machine."""
    return time.monotonic()
