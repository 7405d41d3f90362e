"""Invariants of observer subscriptions. A violation is raised as an error that states the observed values."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from typing import Protocol

from gradegap.observer.changes import is_subscribed
from gradegap.observer.messages import FromSubscriber, Renew
from gradegap.observer.subscriber import Apply, Subscriber
from gradegap.store.machine import StateMachine
from gradegap.verification.errors import InvariantError


class ObservedNode(Protocol):
    """The interface of a node that the invariants use."""

    name: str
    is_running: bool
    values: dict[str, object]
    subscriber: Subscriber

    @property
    def now(self) -> float:
        """The time of the node's steady clock, in seconds."""


def subscribed_values(machine: StateMachine) -> dict[str, object]:
    """Returns the part of a state that nodes must have: the values of the subscribed keys."""
    return {key: item.value for key, item in machine.items.items() if is_subscribed(key)}


class ObserverInvariants:
    """Checks the nodes after each of their steps against the log and all acknowledged writes."""

    def __init__(self) -> None:
        self.states: dict[int, dict[str, object]] = {}  # revision to the subscribed values
        self.subscribed_change_revisions: list[int] = []  # revisions that changed a subscribed key
        self.revisions: dict[ObservedNode, int] = {}  # last observed revision of each process
        self.acknowledged_revision = 0
        self.acknowledgements = 0
        self.lease_checks = 0

    # Events of the model

    def record_committed(self, revision: int, values: dict[str, object]) -> None:
        """Record the subscribed values of the log at a revision."""
        if revision not in self.states:
            if self.states and self.states[revision - 1] != values:
                self.subscribed_change_revisions.append(revision)
            self.states[revision] = values

    def record_acknowledged(self, revision: int) -> None:
        """Record an acknowledged write. From now on no node without the write may hold a lease."""
        self.acknowledgements += 1
        self.acknowledged_revision = max(self.acknowledged_revision, revision)
        for node in self.revisions:
            self._check_lease(node)

    def record_started(self, node: ObservedNode) -> None:
        """Record the start of a new incarnation of a process."""
        self.revisions[node] = 0

    def remove_node(self, node: ObservedNode) -> None:
        """Forget a process that does not restart."""
        self.revisions.pop(node, None)

    def check_applied(self, node: ObservedNode, apply: Apply) -> None:
        """Check a node that applied changes."""
        if apply.revision < self.revisions[node]:
            raise InvariantError(
                f"backwards: {node.name} went from {self.revisions[node]} to {apply.revision}"
            )
        self.revisions[node] = apply.revision
        self._check_state(node, apply.revision)

    def check_sent(self, node: ObservedNode, message: FromSubscriber) -> None:
        """Check a message that a node is about to send."""
        if isinstance(message, Renew) and not self._has_state_of(node, message.revision):
            raise InvariantError(
                f"acknowledged-unapplied: {node.name} acknowledges {message.revision} before applying it"
            )

    def check_stepped(self, node: ObservedNode) -> None:
        """Check a node after a step."""
        revision = node.subscriber.revision
        if revision < self.revisions[node]:
            raise InvariantError(f"backwards: {node.name} went from {self.revisions[node]} to {revision}")
        if revision > self.revisions[node]:
            self.revisions[node] = revision
            self._check_state(node, revision)
        self._check_lease(node)

    def check_in_force(self, revision: int, nodes: Iterable[ObservedNode]) -> None:
        """Check the subscribed nodes of the machines when these report that a revision is in force."""
        required_revision = self._last_subscribed_change(revision)
        for node in nodes:
            if node.is_running and node.subscriber.revision < required_revision:
                raise InvariantError(
                    f"in-force: {revision} is reported, but {node.name} is at {node.subscriber.revision}"
                )

    def check_bound(self, name: str, size: int, limit: int) -> None:
        """Check that a queue or table is within its limit."""
        if size > limit:
            raise InvariantError(f"bounded: {size} {name}, more than {limit}")

    def check_converged(self, nodes: Iterable[ObservedNode], revision: int) -> None:
        """Check that all nodes have the state at `revision` and hold a lease, after all faults ended."""
        for node in nodes:
            if not self._has_state_of(
                node, revision
            ) or node.subscriber.revision < self._last_subscribed_change(revision):
                raise InvariantError(
                    f"level: {node.name} is at {node.subscriber.revision}, expected {revision}"
                )
            if not node.subscriber.is_fresh(node.now):
                raise InvariantError(f"level: {node.name} holds no lease")

    # Invariants

    def _last_subscribed_change(self, revision: int) -> int:
        position = bisect_right(self.subscribed_change_revisions, revision)
        return self.subscribed_change_revisions[position - 1] if position else 0

    def _has_state_of(self, node: ObservedNode, revision: int) -> bool:
        return node.values == self.states.get(revision)

    def _check_state(self, node: ObservedNode, revision: int) -> None:
        if not self._has_state_of(node, revision):
            raise InvariantError(f"gap: {node.name} is at {revision}, but its state differs from the log's")

    def _check_lease(self, node: ObservedNode) -> None:
        if not node.is_running or not node.subscriber.is_fresh(node.now):
            return
        self.lease_checks += 1
        required_revision = self._last_subscribed_change(self.acknowledged_revision)
        if node.subscriber.revision < required_revision:
            raise InvariantError(
                f"lease: {node.name} holds a lease at {node.subscriber.revision}, "
                f"but {required_revision} is acknowledged"
            )
