"""Messages on links between members, and from clients to a member. No I/O.

The tag of each message is its name on the wire. Fields keep the wire names of the first release, declared by
`msgspec.field(name=...)` where the attribute has another name. Authentication and framing are in `channel`.
"""

from __future__ import annotations

from typing import Any

import msgspec

from gradegap.raft import ClusterConfiguration, Member, Message
from gradegap.store.leases import DEFAULT_LEASE_S
from gradegap.store.records import Compare, Event, Item, KeyUpdate

IN_FORCE_TAG = "in_force"  # the tag of `InForce`


# Handshake of a link


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Identifies one end of a link; each end sends it as its first frame."""

    version: int
    kind: str  # kind of this end: "member" or "client"
    nonce: bytes
    id: str = ""
    name: str = ""
    address: str = ""
    cluster: str = ""  # empty while the member belongs to no cluster
    lease_s: float = DEFAULT_LEASE_S  # a member's lease length (s), which must be the same in a cluster
    # Tags of requests that this end understands and earlier releases don't.
    readable_requests: tuple[str, ...] = msgspec.field(default=(), name="reads")


class Proof(msgspec.Struct, frozen=True, tag="proof"):
    """Proves that an end has the cluster's secret."""

    mac: bytes


class LinkRejected(msgspec.Struct, frozen=True, tag="turned"):
    """The last message on a rejected link."""

    reason: str


# Between members


class RaftMessage(msgspec.Struct, frozen=True, tag="raft"):
    """A message of the consensus core."""

    message: Message


class ClusterFormed(msgspec.Struct, frozen=True, tag="form"):
    """Tells a member without a cluster which cluster it belongs to."""

    cluster: str
    configuration: ClusterConfiguration = msgspec.field(name="config")


class Join(msgspec.Struct, frozen=True, tag="join"):
    """Requests that the cluster admit the sender, replacing an earlier incarnation of the same name."""

    member: Member


class LeaseRequest(msgspec.Struct, frozen=True, tag="lease_ask"):
    """Requests a new or extended lease, and reports the index that the holder has applied."""

    holder: str
    serial: int
    applied: int


class LeaseGrant(msgspec.Struct, frozen=True, tag="lease_grant"):
    """The leader's response to a `LeaseRequest`."""

    holder: str
    serial: int
    term: int
    index: int  # the lease is valid once the holder has applied this index
    # lease length, counted from the time of the request; 0: no lease granted
    duration_s: float = msgspec.field(name="duration")


class LeaseApplied(msgspec.Struct, frozen=True, tag="lease_applied"):
    """Reports the index that a lease holder has applied by now."""

    holder: str
    applied: int


class GossipReport(msgspec.Struct, frozen=True, array_like=True):
    """One observation of an endpoint by a node, with its age."""

    endpoint_id: str
    # "report": a load report; "silent": an unanswered health check; "listed": the entry of the endpoint list
    kind: str
    age_s: float
    report: dict[str, float] | None = None
    phase: int = 0
    started_at: float = 0.0  # Unix time, s


class Gossip(msgspec.Struct, frozen=True, tag="gossip"):
    """A node's message to the other nodes: its own state and its observations of endpoints."""

    node: str
    state: dict[str, Any]
    reports: list[GossipReport] = msgspec.field(name="learned")


# Requests of clients, also as forwarded by members


class Get(msgspec.Struct, frozen=True, tag="get"):
    """Reads one key: with `stale` from the state of the requested member, else linearizably."""

    key: str
    stale: bool = False


class List(msgspec.Struct, frozen=True, tag="list"):
    """Reads all keys with a prefix; `stale` as for `Get`."""

    prefix: str = ""
    stale: bool = False


class Transaction(msgspec.Struct, frozen=True, tag="write"):
    """Writes keys.

    `client` and `seq` identify the write, so that it is applied once even if it is proposed again. The member
    that receives the write sets them if they are empty.
    """

    then: tuple[KeyUpdate, ...]
    compares: tuple[Compare, ...] = ()
    otherwise: tuple[KeyUpdate, ...] = ()
    author: str = ""
    client: str = ""
    seq: int = 0
    deadline_ms: int = msgspec.field(default=0, name="until")  # deadline in log time (ms)
    # number of times that the write was forwarded before this attempt
    attempts: int = msgspec.field(default=0, name="tries")


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    """Subscribes to changes of keys with a prefix as they are committed."""

    prefix: str = ""
    revision: int = 0  # first revision to send; 0: only future changes


class Status(msgspec.Struct, frozen=True, tag="status"):
    """Reads the status of the member and its view of the cluster."""


class Digest(msgspec.Struct, frozen=True, tag="digest"):
    """Reads a digest of all keys in this member's state, with its revision."""


class AddMember(msgspec.Struct, frozen=True, tag="add"):
    """Invites a new member, which is admitted once it sends `Join`."""

    name: str
    address: str


class RemoveMember(msgspec.Struct, frozen=True, tag="remove"):
    """Removes a member from the cluster."""

    name: str


class AdmitMember(msgspec.Struct, frozen=True, tag="take_in"):
    """Adds a member that sent `Join` as a learner."""

    member: Member


class TransferLeadership(msgspec.Struct, frozen=True, tag="transfer"):
    """Transfers leadership to another member."""

    name: str


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """Reads the full state linearizably, in several responses."""


class History(msgspec.Struct, frozen=True, tag="history"):
    """Reads the retained history of changes of keys with a prefix."""

    prefix: str
    first_revision: int = msgspec.field(default=0, name="least")


class ValuesAt(msgspec.Struct, frozen=True, tag="at"):
    """Reads the values of keys with a prefix as of a revision."""

    revision: int
    prefix: str


class InForce(msgspec.Struct, frozen=True, tag=IN_FORCE_TAG):
    """Asks whether all subscribed nodes have acknowledged a revision.

    A request of a client is answered once they have or its timeout has passed. A request of a member is
    answered at once, with a `MachineReport` in `Response.data`.
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
    """Wraps a request with the serial number that its responses repeat."""

    serial: int
    body: RequestBody = msgspec.field(name="wish")
    timeout_s: float = msgspec.field(default=5.0, name="left")  # remaining time until the requester gives up


class Response(msgspec.Struct, frozen=True, tag="answer"):
    """A response to a `Request`.

    `outcome` is "ok", "no" (rejected, nothing was changed), "unknown" (the request may or may not have been
    carried out) or "no_quorum" (nothing was changed, as no leader was reached).
    """

    serial: int
    outcome: str = "ok"
    text: str = ""
    revision: int = 0
    clock_ms: int = msgspec.field(default=0, name="clock")  # log time (ms) at the responder
    succeeded: bool = True
    items: list[Item] = []
    events: list[Event] = []
    data: bytes = b""
    more: bool = False  # whether another response with this serial follows
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
