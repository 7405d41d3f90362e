"""What must hold of observer subscriptions at every moment; a violation is raised with what was seen."""

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
    """A node, as the invariants see it."""

    name: str
    running: bool
    values: dict[str, object]
    subscriber: Subscriber

    @property
    def now(self) -> float:
        """What its steady clock says."""


def subscribed_values(machine: StateMachine) -> dict[str, object]:
    """What nodes are to have of this state."""
    return {key: item.value for key, item in machine.items.items() if is_subscribed(key)}


class ObserverInvariants:
    """Sees the log, every node after every step, and every acknowledged write."""

    def __init__(self) -> None:
        self.states: dict[int, dict[str, object]] = {}  # by revision
        self.changes: list[int] = []  # revisions that changed a subscribed key
        self.revisions: dict[ObservedNode, int] = {}  # of each running process, as last seen
        self.acknowledged_revision = 0
        self.acknowledgements = 0
        self.fresh_looks = 0

    # What the model tells

    def committed(self, revision: int, values: dict[str, object]) -> None:
        """The log came to this revision."""
        if revision not in self.states:
            if self.states and self.states[revision - 1] != values:
                self.changes.append(revision)
            self.states[revision] = values

    def acknowledged(self, revision: int) -> None:
        """A write that binds was acknowledged: from now on nobody may decide without it."""
        self.acknowledgements += 1
        self.acknowledged_revision = max(self.acknowledged_revision, revision)
        for node in self.revisions:
            self._decides_by_all_acknowledged(node)

    def started(self, node: ObservedNode) -> None:
        """A new incarnation of a process."""
        self.revisions[node] = 0

    def ended(self, node: ObservedNode) -> None:
        """A process that doesn't come back."""
        self.revisions.pop(node, None)

    def applied(self, node: ObservedNode, apply: Apply) -> None:
        """A node took changes over."""
        if apply.revision < self.revisions[node]:
            raise InvariantError(
                f"backwards: {node.name} went from {self.revisions[node]} to {apply.revision}"
            )
        self.revisions[node] = apply.revision
        self._state_is_of(node, apply.revision)

    def sent(self, node: ObservedNode, message: FromSubscriber) -> None:
        """A node is about to send this."""
        if isinstance(message, Renew) and not self._same(node, message.revision):
            raise InvariantError(
                f"acknowledged-unapplied: {node.name} acknowledges {message.revision} without having it"
            )

    def stepped(self, node: ObservedNode) -> None:
        """A node has done a step."""
        revision = node.subscriber.revision
        if revision < self.revisions[node]:
            raise InvariantError(f"backwards: {node.name} went from {self.revisions[node]} to {revision}")
        if revision > self.revisions[node]:
            self.revisions[node] = revision
            self._state_is_of(node, revision)
        self._decides_by_all_acknowledged(node)

    def in_force(self, revision: int, nodes: Iterable[ObservedNode]) -> None:
        """The machines say that a revision is in force; these nodes are among theirs."""
        needed = self._last_change(revision)
        for node in nodes:
            if node.running and node.subscriber.revision < needed:
                raise InvariantError(
                    f"in-force: {revision} is said to be, {node.name} is at {node.subscriber.revision}"
                )

    def bounded(self, what: str, size: int, most: int) -> None:
        """Nothing grows without end."""
        if size > most:
            raise InvariantError(f"bounded: {size} {what}, more than {most}")

    def level(self, nodes: Iterable[ObservedNode], revision: int) -> None:
        """After the faults all nodes have all, and may decide."""
        for node in nodes:
            if not self._same(node, revision) or node.subscriber.revision < self._last_change(revision):
                raise InvariantError(f"level: {node.name} is at {node.subscriber.revision} of {revision}")
            if not node.subscriber.is_fresh(node.now):
                raise InvariantError(f"level: {node.name} holds no lease")

    # The rules

    def _last_change(self, revision: int) -> int:
        position = bisect_right(self.changes, revision)
        return self.changes[position - 1] if position else 0

    def _same(self, node: ObservedNode, revision: int) -> bool:
        return node.values == self.states.get(revision)

    def _state_is_of(self, node: ObservedNode, revision: int) -> None:
        if not self._same(node, revision):
            raise InvariantError(f"gap: {node.name} is at {revision} with another state than the log's")

    def _decides_by_all_acknowledged(self, node: ObservedNode) -> None:
        if not node.running or not node.subscriber.is_fresh(node.now):
            return
        self.fresh_looks += 1
        needed = self._last_change(self.acknowledged_revision)
        if node.subscriber.revision < needed:
            raise InvariantError(
                f"lease: {node.name} decides by {node.subscriber.revision}, {needed} is acknowledged"
            )
