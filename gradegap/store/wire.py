"""What members, and the command line, say to each other over a link, and how a link is proven. No I/O.

A link begins with a `Hello` from each side and a `Proof`: an HMAC-SHA256 under the cluster's secret over both
hellos, each with a nonce, so that neither can be played again. From then on each frame carries a keyed
BLAKE2b sum over its number and body: what is garbled, doubled, left out or out of order ends the link.

    hello, proof:  length (4 bytes) body
    afterwards:    length (4 bytes) sum (16 bytes) body

Bodies are msgpack. Nothing is encrypted: links stay on loopback until TLS comes, whose place is below this.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Callable
from typing import Any

import msgspec

from gradegap.raft import ClusterConfiguration, Member, Message
from gradegap.store.leases import DEFAULT_LEASE_S
from gradegap.store.machine import Compare, Event, Item, KeyUpdate

PROTOCOL_VERSION = 1
LENGTH_BYTES = 4
CHECKSUM_BYTES = 16
MAX_HELLO_BYTES = 2048
IN_FORCE_TAG = "in_force"  # the tag of `InForce`
MAX_FRAME_BYTES = 2 * 1024 * 1024  # bytes of a frame
NONCE_BYTES = 16


class LinkError(ValueError):
    """Why a link ends; its first word is the reason that is counted."""


# The beginning of a link


class Hello(msgspec.Struct, frozen=True, tag="hello"):
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
    )  # tags of wishes that this end can read and an earlier release can't


class Proof(msgspec.Struct, frozen=True, tag="proof"):
    mac: bytes


class LinkRejected(msgspec.Struct, frozen=True, tag="turned"):
    """The last word on a link that is turned away."""

    reason: str


# Between members


class RaftMessage(msgspec.Struct, frozen=True, tag="raft"):
    message: Message


class ClusterFormed(msgspec.Struct, frozen=True, tag="form"):
    """To a member without a cluster: this is the one you belong to."""

    cluster: str
    configuration: ClusterConfiguration = msgspec.field(name="config")


class Join(msgspec.Struct, frozen=True, tag="join"):
    """From a member without a cluster: take me in, in place of an earlier life of mine."""

    member: Member


class LeaseRequest(msgspec.Struct, frozen=True, tag="lease_ask"):
    """A node asks for a lease, or for a longer one, and says what it has applied."""

    holder: str
    serial: int
    applied: int


class LeaseGrant(msgspec.Struct, frozen=True, tag="lease_grant"):
    holder: str
    serial: int
    term: int
    index: int  # what must be applied before the lease is good
    duration_s: float = msgspec.field(name="duration")  # s, from when it was asked for; 0: none is given


class LeaseApplied(msgspec.Struct, frozen=True, tag="lease_applied"):
    """What a node with a lease has applied since it asked."""

    holder: str
    applied: int


class GossipReport(msgspec.Struct, frozen=True, array_like=True):
    """Something that a node has seen of a save server, with its age in seconds."""

    endpoint_id: str
    kind: str  # "report"; "silent": a probe had no answer; "listed": what its list says of it
    age_s: float
    report: dict[str, float] | None = None
    phase: int = 0
    started_at: float = 0.0  # Unix time, s


class Gossip(msgspec.Struct, frozen=True, tag="gossip"):
    node: str
    state: dict[str, Any]
    reports: list[GossipReport] = msgspec.field(name="learned")


# From clients, and from members for their clients


class Get(msgspec.Struct, frozen=True, tag="get"):
    key: str
    stale: bool = False


class List(msgspec.Struct, frozen=True, tag="list"):
    prefix: str = ""
    stale: bool = False


class Transaction(msgspec.Struct, frozen=True, tag="write"):
    """A transaction. `client` and `seq` name it for good; none: the member names it."""

    then: tuple[KeyUpdate, ...]
    compares: tuple[Compare, ...] = ()
    otherwise: tuple[KeyUpdate, ...] = ()
    author: str = ""
    client: str = ""
    seq: int = 0
    deadline_ms: int = msgspec.field(default=0, name="until")
    attempts: int = msgspec.field(default=0, name="tries")  # how often it was passed on before


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    prefix: str = ""
    revision: int = 0  # the first that is wanted; 0: from now on


class Status(msgspec.Struct, frozen=True, tag="status"):
    pass


class Digest(msgspec.Struct, frozen=True, tag="digest"):
    """A digest of all keys as this member has them, with its revision."""


class AddMember(msgspec.Struct, frozen=True, tag="add"):
    name: str
    address: str


class RemoveMember(msgspec.Struct, frozen=True, tag="remove"):
    name: str


class AdmitMember(msgspec.Struct, frozen=True, tag="take_in"):
    member: Member


class TransferLeadership(msgspec.Struct, frozen=True, tag="transfer"):
    name: str


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The whole state, in pieces, read linearizably."""


class History(msgspec.Struct, frozen=True, tag="history"):
    prefix: str
    first_revision: int = msgspec.field(default=0, name="least")  # revision


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
    serial: int
    body: RequestBody = msgspec.field(name="wish")
    timeout_s: float = msgspec.field(default=5.0, name="left")  # s until whoever asks gives up


class Response(msgspec.Struct, frozen=True, tag="answer"):
    """To one `Request`. `outcome`: "ok"; "no" (refused, nothing was done); "unknown"; "no_quorum"."""

    serial: int
    outcome: str = "ok"
    text: str = ""
    revision: int = 0
    clock_ms: int = msgspec.field(default=0, name="clock")  # log time of whoever answers
    succeeded: bool = True
    items: list[Item] = []
    events: list[Event] = []
    data: bytes = b""
    more: bool = False  # another answer with this serial follows
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
_encoder = msgspec.msgpack.Encoder()


def mac_of_parts(secret: bytes, *parts: bytes) -> bytes:
    """HMAC-SHA256 over parts, each with its length, so that no two lists of parts look alike."""
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.hmac import HMAC

    made = HMAC(secret or b"\0", hashes.SHA256())
    for part in parts:
        made.update(len(part).to_bytes(4, "big") + part)
    return made.finalize()


class LinkChannel:
    """One end of a link: bytes in, words out; words in, bytes out.

    `hello` is this end's; `theirs` the other's once it came, and `proven` once its proof was good.
    """

    def __init__(
        self,
        secret: bytes,
        hello: Hello,
        dials: bool,
        decode: Callable[[bytes], Any] = _decoder.decode,
        largest: int = MAX_FRAME_BYTES,
    ) -> None:
        """`decode` reads the bodies of a proven link, and `largest` bounds them, either way."""
        self.secret = secret
        self.decode = decode
        self.largest = largest
        self.hello = hello
        self.dials = dials
        self.theirs: Hello | None = None
        self.proven = False
        self.buffer = bytearray()
        self.keys = (b"", b"")  # of what goes out, and of what comes in
        self.sent = self.taken = 0
        self._raw = (_encoder.encode(hello), b"")

    @classmethod
    def open(
        cls,
        secret: bytes,
        kind: str,
        dials: bool,
        me: Member | None = None,
        cluster: str = "",
        lease_s: float = DEFAULT_LEASE_S,
        decode: Callable[[bytes], Any] = _decoder.decode,
        largest: int = MAX_FRAME_BYTES,
    ) -> LinkChannel:
        """A channel with a new nonce. A client has no identity: `me` is none."""
        hello = Hello(PROTOCOL_VERSION, kind, secrets.token_bytes(NONCE_BYTES))
        if me is not None:
            hello = msgspec.structs.replace(
                hello,
                id=me.id,
                name=me.name,
                address=me.address,
                cluster=cluster,
                lease_s=lease_s,
                readable_requests=(IN_FORCE_TAG,),
            )
        return cls(secret, hello, dials, decode, largest)

    def begin(self) -> bytes:
        """What this end says first."""
        return self._plain(self._raw[0])

    def _plain(self, body: bytes) -> bytes:
        return len(body).to_bytes(LENGTH_BYTES, "big") + body

    def _hellos(self) -> tuple[bytes, bytes]:
        mine, theirs = self._raw
        return (mine, theirs) if self.dials else (theirs, mine)

    def send(self, word: msgspec.Struct) -> bytes:
        """One frame with a word."""
        return self.send_encoded(_encoder.encode(word))

    def send_encoded(self, body: bytes) -> bytes:
        """One frame with a body that is encoded already, once for all links that it goes to."""
        if len(body) > self.largest:
            raise ValueError(f"a frame of {len(body)} bytes")
        tag = self._sum(self.keys[0], self.sent, body)
        self.sent += 1
        return len(body).to_bytes(LENGTH_BYTES, "big") + tag + body

    def _sum(self, key: bytes, number: int, body: bytes) -> bytes:
        made = hashlib.blake2b(number.to_bytes(8, "big"), digest_size=CHECKSUM_BYTES, key=key)
        made.update(body)
        return made.digest()

    def receive(self, data: bytes) -> tuple[list[Any], bytes]:
        """The words that are whole by now, and what has to be said at once; `LinkError` ends the link."""
        self.buffer += data
        words: list[Any] = []
        reply = b""
        while (body := self._frame()) is not None:
            try:
                word = self.decode(body) if self.proven else _decoder.decode(body)
            except (msgspec.MsgspecError, RecursionError) as error:
                raise LinkError(f"garbled: {error}") from None
            if self.proven:
                if isinstance(word, Hello | Proof):
                    raise LinkError("garbled: a second beginning")
                words.append(word)
            else:
                reply += self._begun(word, body)
        return words, reply

    def _frame(self) -> bytes | None:
        head = LENGTH_BYTES + (CHECKSUM_BYTES if self.proven else 0)
        if len(self.buffer) < head:
            return None
        size = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
        if size > (self.largest if self.proven else MAX_HELLO_BYTES):
            # Guards memory against a length that is none: nothing of it is waited for.
            raise LinkError(f"garbled: a frame of {size} bytes")
        if len(self.buffer) < head + size:
            return None
        body = bytes(self.buffer[head : head + size])
        if self.proven:
            tag = bytes(self.buffer[LENGTH_BYTES:head])
            if not hmac.compare_digest(tag, self._sum(self.keys[1], self.taken, body)):
                raise LinkError("garbled: the sum of a frame is wrong")
            self.taken += 1
        del self.buffer[: head + size]
        return body

    def _begun(self, word: LinkMessage, body: bytes) -> bytes:
        if isinstance(word, LinkRejected):
            raise LinkError(f"turned: {word.reason}")
        if isinstance(word, Hello) and self.theirs is None:
            if word.version != PROTOCOL_VERSION:
                raise LinkError(f"version: the other side speaks {word.version}, this one {PROTOCOL_VERSION}")
            if len(word.nonce) != NONCE_BYTES or word.nonce == self.hello.nonce:
                raise LinkError("garbled: no fit nonce")  # guards against one's own words sent back
            self.theirs = word
            self._raw = (self._raw[0], body)
            proof = self._plain(_encoder.encode(Proof(mac_of_parts(self.secret, b"dialer", *self._hellos()))))
            # Who accepts proves nothing before it was proven something: a stray learns nothing, and is seen.
            return proof if self.dials else self.begin()
        if isinstance(word, Proof) and self.theirs is not None:
            role = b"acceptor" if self.dials else b"dialer"
            if not hmac.compare_digest(word.mac, mac_of_parts(self.secret, role, *self._hellos())):
                raise LinkError("secret: the other side does not know the cluster's secret")
            mine, theirs = self.hello.cluster, self.theirs.cluster
            if mine and theirs and mine != theirs and self.theirs.kind == "member":
                raise LinkError("cluster: the other side belongs to another cluster")
            if self.hello.kind == self.theirs.kind == "member" and self.hello.lease_s != self.theirs.lease_s:
                # Guards against a leader that takes leases of another length for over too early.
                raise LinkError(
                    f"lease: the other member has lease_s = {self.theirs.lease_s:g}, this one "
                    f"{self.hello.lease_s:g}; give all members the same"
                )
            out = mac_of_parts(self.secret, b"keys dialer", *self._hellos())
            back = mac_of_parts(self.secret, b"keys acceptor", *self._hellos())
            self.keys = (out, back) if self.dials else (back, out)
            self.proven = True
            mine_proof = Proof(mac_of_parts(self.secret, b"acceptor", *self._hellos()))
            return b"" if self.dials else self._plain(_encoder.encode(mine_proof))
        raise LinkError("garbled: it begins with something else")

    def turn(self, reason: str) -> bytes:
        """The last word on a link that was not proven."""
        return b"" if self.proven else self._plain(_encoder.encode(LinkRejected(reason)))
