"""The state that a publisher reads: its machine's committed state, restricted to subscribed keys. No I/O."""

from __future__ import annotations

from itertools import takewhile
from typing import Protocol

from gradegap.observer.changes import is_subscribed
from gradegap.observer.messages import Change
from gradegap.store.machine import StateMachine


class StateSource(Protocol):
    """A replica of the committed state. `revision` and `index` never decrease."""

    @property
    def revision(self) -> int:
        """The revision of the applied state."""

    @property
    def index(self) -> int:
        """The index of the last applied entry of the log."""

    def changes_since(self, revision: int) -> list[Change] | None:
        """Returns the changes of subscribed keys after `revision`, in order; None if they are compacted."""

    def items(self) -> list[Change]:
        """Returns all subscribed keys with their values."""


class MachineSource:
    """A `StateSource` that reads the applied state of a member of the store.

    It stores no state itself, so it needn't be notified when `StateMachine.load_state` loads a snapshot: the
    history then begins at that snapshot, and older changes count as compacted.
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
        """Returns the changes of subscribed keys after `revision`, in order; None if they are compacted."""
        if revision >= self.machine.revision:
            return []
        if revision + 1 < self.machine.first_retained_revision:
            return None
        # Searches backwards from the newest event: usually only the last few of ten thousand are needed.
        newer = takewhile(lambda event: event.revision > revision, reversed(self.machine.events))
        changes = [
            Change(event.revision, event.key, None if event.deleted else event.value, event.deleted)
            for event in newer
            if is_subscribed(event.key)
        ]
        changes.reverse()
        return changes

    def items(self) -> list[Change]:
        """Returns all subscribed keys with their values."""
        return [
            Change(item.modified_revision, item.key, item.value)
            for item in self.machine.items.values()
            if is_subscribed(item.key)
        ]
