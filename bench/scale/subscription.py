"""A hollow node's subscription to a control machine: the real client, with its traffic counted."""

from __future__ import annotations

from bench.scale.measure import Traffic
from bench.scale.sessions import MachineSpec, NodeSpec, SessionParts
from gradegap.observer import traffic as traffic_counts
from gradegap.observer.messages import Change
from gradegap.observer.observed_store import ObservedStore
from gradegap.observer.subscriber import Phase
from gradegap.store.subscription_settings import ObserverMachine, ObserverSettings


class ForwardedTraffic(traffic_counts.Traffic):
    """Counters of a subscription that also add to the traffic of the node."""

    def __init__(self, traffic: Traffic) -> None:
        super().__init__()
        self.traffic = traffic

    def count_sent(self, kind: str, size: int) -> None:
        """Counts a sent message."""
        super().count_sent(kind, size)
        self.traffic.sent[kind] += size

    def count_received(self, kind: str, size: int) -> None:
        """Counts a received message."""
        super().count_received(kind, size)
        self.traffic.received[kind] += size


class ObserverSession:
    """A subscription to one control machine, as used by a node without a member."""

    def __init__(
        self, node: NodeSpec, machines: list[MachineSpec], secret_file: str, parts: SessionParts
    ) -> None:
        self.parts = parts
        settings = ObserverSettings(
            machines=tuple(ObserverMachine(m.name, m.publish_address, m.region) for m in machines),
            name=node.name,
            region=node.region,
            secret=secret_file,
        )
        self.store = ObservedStore(settings, parts.proxy, parts.configuration, parts.metrics, parts.loop)
        self.store.client.traffic = ForwardedTraffic(parts.traffic)
        self.store.client.on_apply = self._apply

    def _apply(self, revision: int, changes: tuple[Change, ...], is_snapshot: bool) -> None:
        self.store._apply(revision, changes, is_snapshot)
        self.parts.applied(revision)

    async def start(self) -> None:
        """Starts the subscription."""
        await self.store.start()

    def holds_lease(self) -> bool:
        """Returns whether the subscription holds a lease."""
        return self.store.is_fresh()

    def machine(self) -> str:
        """Returns the machine that accepted the subscription, or an empty string."""
        client = self.store.client
        return client.machine if client.subscriber.phase is Phase.SUBSCRIBED else ""

    def stop(self, planned: bool) -> None:
        """Ends the subscription; a planned end gives the lease up, any other end sends no notice."""
        if planned:
            self.store.close()
        else:
            self.store.client.abandon()
