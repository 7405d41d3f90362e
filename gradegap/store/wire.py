"""The messages on links between members, and from clients to a member. No I/O.

Each has a tag, which is its name on the wire. Fields go by the names of the first release, which
`msgspec.field(name=...)` declares where they are called otherwise here. How a link is authenticated and
framed is in `channel`.
"""

from __future__ import annotations

from typing import Any

import msgspec

from gradegap.raft import ClusterConfiguration, Member, Message
from gradegap.store.leases import DEFAULT_LEASE_S
from gradegap.store.records import Compare, Event, Item, KeyUpdate

IN_FORCE_TAG = "in_force"  # the tag of `InForce`


# The beginning of a link


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Who is at one end of a link; the first frame of each end."""

    version: int
    kind: str  # "member" or "client"
    nonce: bytes
    id: str = ""
    name: str = ""
    address: str = ""
    cluster: str = ""  # none: not formed yet
    lease_s: float = DEFAULT_LEASE_S  # of a member; the same in all of a cluster
    readable_requests: tuple[str, ...] = msgspec.field(
        default=(), name="reads"
    )  # tags of requests that this end can read, and an earlier release can't


class Proof(msgspec.Struct, frozen=True, tag="proof"):
    """Proves that an end knows the cluster's secret."""

    mac: bytes


class LinkRejected(msgspec.Struct, frozen=True, tag="turned"):
    """The last message on a link that is rejected."""

    reason: str


# Between members


class RaftMessage(msgspec.Struct, frozen=True, tag="raft"):
    """A message of the consensus core."""

    message: Message


class ClusterFormed(msgspec.Struct, frozen=True, tag="form"):
    """To a member without a cluster: this is the one you belong to."""

    cluster: str
    configuration: ClusterConfiguration = msgspec.field(name="config")


class Join(msgspec.Struct, frozen=True, tag="join"):
    """From a member without a cluster: admit this one, in place of an earlier incarnation of it."""

    member: Member


class LeaseRequest(msgspec.Struct, frozen=True, tag="lease_ask"):
    """A node requests a lease, or a longer one, and reports the index that it has applied."""

    holder: str
    serial: int
    applied: int


class LeaseGrant(msgspec.Struct, frozen=True, tag="lease_grant"):
    """The leader's answer to a `LeaseRequest`."""

    holder: str
    serial: int
    term: int
    index: int  # to be applied before the lease is good
    duration_s: float = msgspec.field(name="duration")  # since the request; 0: none is granted


class LeaseApplied(msgspec.Struct, frozen=True, tag="lease_applied"):
    """The index that a lease holder has applied since its request."""

    holder: str
    applied: int


class GossipReport(msgspec.Struct, frozen=True, array_like=True):
    """Something that a node has seen of an endpoint, and how long ago."""

    endpoint_id: str
    kind: str  # "report"; "silent": a health check unanswered; "listed": as in its endpoint list
    age_s: float
    report: dict[str, float] | None = None
    phase: int = 0
    started_at: float = 0.0  # Unix time, s


class Gossip(msgspec.Struct, frozen=True, tag="gossip"):
    """A node's report to its siblings: its own state, and what it has seen of endpoints."""

    node: str
    state: dict[str, Any]
    reports: list[GossipReport] = msgspec.field(name="learned")


# From clients, and from members for their clients


class Get(msgspec.Struct, frozen=True, tag="get"):
    """One key; `stale`: as the requested member has it, else linearizable."""

    key: str
    stale: bool = False


class List(msgspec.Struct, frozen=True, tag="list"):
    """All keys with a prefix; `stale` as for `Get`."""

    prefix: str = ""
    stale: bool = False


class Transaction(msgspec.Struct, frozen=True, tag="write"):
    """A write. `client` and `seq` identify it, whoever proposes it again; without them the member does."""

    then: tuple[KeyUpdate, ...]
    compares: tuple[Compare, ...] = ()
    otherwise: tuple[KeyUpdate, ...] = ()
    author: str = ""
    client: str = ""
    seq: int = 0
    deadline_ms: int = msgspec.field(default=0, name="until")  # log time
    attempts: int = msgspec.field(default=0, name="tries")  # how often it was forwarded before


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    """Changes of keys with a prefix, as they are committed."""

    prefix: str = ""
    revision: int = 0  # the first that is wanted; 0: from now on


class Status(msgspec.Struct, frozen=True, tag="status"):
    """What one member knows of itself and its cluster."""


class Digest(msgspec.Struct, frozen=True, tag="digest"):
    """A digest of all keys as this member has them, with its revision."""


class AddMember(msgspec.Struct, frozen=True, tag="add"):
    """Invite a new member; it is admitted once it comes."""

    name: str
    address: str


class RemoveMember(msgspec.Struct, frozen=True, tag="remove"):
    """Remove a member from the cluster."""

    name: str


class AdmitMember(msgspec.Struct, frozen=True, tag="take_in"):
    """Add a member that came with `Join`, as a learner."""

    member: Member


class TransferLeadership(msgspec.Struct, frozen=True, tag="transfer"):
    """Have another member lead."""

    name: str


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The whole state, in pieces, read linearizably."""


class History(msgspec.Struct, frozen=True, tag="history"):
    """The remembered changes of keys with a prefix."""

    prefix: str
    first_revision: int = msgspec.field(default=0, name="least")


class ValuesAt(msgspec.Struct, frozen=True, tag="at"):
    """The values of keys as they were after a revision."""

    revision: int
    prefix: str


class InForce(msgspec.Struct, frozen=True, tag=IN_FORCE_TAG):
    """Whether all nodes that subscribe have acknowledged a revision.

    A client's is answered once they have, or it is late; a member's at once, with a `MachineReport` as data.
    """

    revision: int


RequestBody = (
    Get
    | List
    | Transaction
    | Watch
    | Status
    | Digest
    | AddMember
    | RemoveMember
    | AdmitMember
    | TransferLeadership
    | Snapshot
    | History
    | ValuesAt
    | InForce
)


class Request(msgspec.Struct, frozen=True, tag="ask"):
    """A request with the number by which its sender knows the responses."""

    serial: int
    body: RequestBody = msgspec.field(name="wish")
    timeout_s: float = msgspec.field(default=5.0, name="left")  # until the requester gives up


class Response(msgspec.Struct, frozen=True, tag="answer"):
    """To one `Request`. `outcome`: "ok"; "no" (rejected, nothing was done); "unknown"; "no_quorum"."""

    serial: int
    outcome: str = "ok"
    text: str = ""
    revision: int = 0
    clock_ms: int = msgspec.field(default=0, name="clock")  # log time of the responder
    succeeded: bool = True
    items: list[Item] = []
    events: list[Event] = []
    data: bytes = b""
    more: bool = False  # another response with this serial follows
    status: dict[str, Any] = {}


LinkMessage = (
    Hello
    | Proof
    | LinkRejected
    | RaftMessage
    | ClusterFormed
    | Join
    | LeaseRequest
    | LeaseGrant
    | LeaseApplied
    | Gossip
    | Request
    | Response
)
_decoder: msgspec.msgpack.Decoder[LinkMessage] = msgspec.msgpack.Decoder(LinkMessage)
decode_message = _decoder.decode
encode_message = msgspec.msgpack.Encoder().encode
