"""Typed messages between a subscriber (a node) and a publisher (a control machine), and their limits. No I/O.

Messages travel as msgpack bodies inside the frames of `gradegap.store.channel.LinkChannel`, which proves
both ends and numbers each frame. Times are seconds, revisions are those of the store's log.
"""

from __future__ import annotations

import enum
from typing import Annotated, Any

import msgspec

VERSION = 1
MAX_NAME_LENGTH = 128  # characters of a node's, machine's or region's name
PART_BYTES = 64 * 1024  # of the changes in one part of a snapshot, or in one delta
MAX_FRAME_BYTES = 256 * 1024  # bytes of a message; a single value of the store has 64 KiB at most

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Revision = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0)]


class CloseCode(enum.StrEnum):
    """Why a subscription is rejected or closed."""

    VERSION = "version"  # the other side speaks another version of this protocol
    CLUSTER = "cluster"  # the other side belongs to another cluster
    BEHIND = "behind"  # this machine has not applied the revision that the node already has
    BUSY = "busy"  # too many subscriptions, or too many new ones a second
    DUPLICATE = "duplicate"  # another process subscribed under the same node name
    SILENT = "silent"  # nothing was received for too long
    GARBLED = "garbled"  # a message that can't be read, or that has no place here
    GAP = "gap"  # a delta that does not follow what was applied
    BACKWARDS = "backwards"  # a snapshot older than what was applied
    SLOW = "slow"  # the other side does not read what is sent to it
    LEAVING = "leaving"  # this side is stopping


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One key's value as of a revision; `deleted` where the key was deleted."""

    revision: Revision
    key: str
    value: Any = None
    deleted: bool = False


# From a subscriber


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first message: who subscribes, and the last revision that it has applied (0: none)."""

    version: int
    node: Name
    instance: Name  # drawn at each start of the node's process
    region: Name = ""
    cluster: Name = ""  # empty until the node has learned it
    revision: Revision = 0


class Renew(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Acknowledges all up to `revision`, and requests a lease from the moment it was sent."""

    serial: int
    revision: Revision


class Leave(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The node stops deciding by this subscription: its lease is over now."""


# From a publisher


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The subscription is accepted; a snapshot or deltas follow."""

    version: int
    cluster: Name
    machine: Name
    renew_s: Seconds  # between two Renews of the node


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The subscription is refused or ended."""

    code: CloseCode
    text: str = ""
    retry_after_s: Seconds = 0.0


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """All changes of subscribed keys after revision `after` up to `revision`, the last of each key.

    It fits any subscriber whose revision is at least `after`, so one object serves all that have the
    change before it.
    """

    after: Revision
    revision: Revision
    changes: tuple[Change, ...]


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """A part of all subscribed keys as of `revision`; the whole takes effect with the last part."""

    revision: Revision
    part: int  # from 0, in order
    last: bool
    items: tuple[Change, ...]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Answers a Renew: nothing up to `revision` is left out, and the lease that is granted (0: none)."""

    serial: int
    revision: Revision
    lease_s: Seconds = 0.0


FromSubscriber = Subscribe | Renew | Leave
FromPublisher = Accepted | Rejected | Delta | SnapshotPart | Heartbeat
