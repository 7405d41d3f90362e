"""Typed messages between a subscriber (a node) and a publisher (a control machine), and their limits. No I/O.

Messages are msgpack bodies inside the frames of `gradegap.store.channel.LinkChannel`, which authenticates
both ends and numbers each frame. Times are in seconds, revisions are those of the store.
"""

from __future__ import annotations

import enum
from typing import Annotated, Any

import msgspec

VERSION = 1
MAX_NAME_LENGTH = 128  # limit on the characters in the name of a node, machine or region
PART_BYTES = 64 * 1024  # default target size of the changes in one part of a snapshot
MAX_FRAME_BYTES = 256 * 1024  # limit on the size of a message; a single value of the store has 64 KiB at most

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Revision = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0)]


class CloseCode(enum.StrEnum):
    """The reason why a subscription is rejected or closed."""

    VERSION = "version"  # the other side uses another version of this protocol
    CLUSTER = "cluster"  # the other side belongs to another cluster
    BEHIND = "behind"  # the machine has not applied the revision that the node already has
    BUSY = "busy"  # too many subscriptions, or too many new ones per second
    DUPLICATE = "duplicate"  # another process subscribed under the same node name
    SILENT = "silent"  # nothing was received within the timeout
    GARBLED = "garbled"  # a message can't be decoded, or is not allowed in this state
    GAP = "gap"  # a delta or a part of a snapshot does not follow the one before it
    BACKWARDS = "backwards"  # the machine sent a snapshot older than the revision that the node has applied
    SLOW = "slow"  # the other side does not read its connection
    LEAVING = "leaving"  # this side is stopping


class Change(msgspec.Struct, frozen=True, array_like=True):
    """The value of one key at a revision; `deleted` if the key was deleted at that revision."""

    revision: Revision
    key: str
    value: Any = None
    deleted: bool = False


# Messages of a subscriber


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first message: the subscribing node, and the last revision that it has applied (0: none)."""

    version: int
    node: Name
    instance: Name  # random id, new for each process of the node
    region: Name = ""
    cluster: Name = ""  # the cluster's name; empty until the node knows it
    revision: Revision = 0


class Renew(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Acknowledges all changes up to `revision`, and requests a lease, counted from the send time."""

    serial: int
    revision: Revision


class Leave(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The node no longer decides by this subscription: it has given up its lease."""


# Messages of a publisher


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The subscription is accepted; a snapshot or deltas follow."""

    version: int
    cluster: Name
    machine: Name
    renew_s: Seconds  # interval between two Renews of the node


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The subscription is rejected or closed."""

    code: CloseCode
    text: str = ""
    retry_after_s: Seconds = 0.0


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The last change of each subscribed key that changed after revision `after`, up to `revision`.

    A subscriber can apply the delta if its own revision is at least `after`, so one object serves all
    subscribers that have the previous change.
    """

    after: Revision
    revision: Revision
    changes: tuple[Change, ...]


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """A part of a snapshot of all subscribed keys at `revision`; applied once all parts are received."""

    revision: Revision
    part: int  # number of the part, from 0; parts are sent in order
    last: bool
    items: tuple[Change, ...]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Answers a Renew: all changes up to `revision` have been sent, and a lease is granted (0 s: none)."""

    serial: int
    revision: Revision
    lease_s: Seconds = 0.0


FromSubscriber = Subscribe | Renew | Leave
FromPublisher = Accepted | Rejected | Delta | SnapshotPart | Heartbeat
