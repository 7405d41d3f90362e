"""What a publisher reads from: the committed state of its machine, restricted to subscribed keys. No I/O."""

from __future__ import annotations

from itertools import takewhile
from typing import Protocol

from gradegap.observer.changes import is_subscribed
from gradegap.observer.messages import Change
from gradegap.store.machine import StateMachine


class StateSource(Protocol):
    """A replica of the log's state. `revision` and `index` never go back."""

    @property
    def revision(self) -> int:
        """The revision of the applied state."""

    @property
    def index(self) -> int:
        """The index of the last applied entry of the log."""

    def changes_since(self, revision: int) -> list[Change] | None:
        """All changes of subscribed keys after `revision`, in order; None where they are compacted."""

    def items(self) -> list[Change]:
        """All subscribed keys with their values."""


class MachineSource:
    """A `StateSource` over the applied state of a member of the store.

    It keeps nothing of its own, so it follows `StateMachine.load_state` of a snapshot as it is: the history
    then begins at that snapshot, and what is older counts as compacted.
    """

    def __init__(self, machine: StateMachine) -> None:
        self.machine = machine

    @property
    def revision(self) -> int:
        """The revision of the applied state."""
        return self.machine.revision

    @property
    def index(self) -> int:
        """The index of the last applied entry of the log."""
        return self.machine.index

    def changes_since(self, revision: int) -> list[Change] | None:
        """All changes of subscribed keys after `revision`, in order; None where they are compacted."""
        if revision >= self.machine.revision:
            return []
        if revision + 1 < self.machine.first_retained_revision:
            return None
        # From the newest backwards: it is nearly always the last few of ten thousand.
        newer = takewhile(lambda event: event.revision > revision, reversed(self.machine.events))
        changes = [
            Change(event.revision, event.key, None if event.deleted else event.value, event.deleted)
            for event in newer
            if is_subscribed(event.key)
        ]
        changes.reverse()
        return changes

    def items(self) -> list[Change]:
        """All subscribed keys with their values."""
        return [
            Change(item.modified_revision, item.key, item.value)
            for item in self.machine.items.values()
            if is_subscribed(item.key)
        ]
