"""The operator's file: what a node has beyond the platform's configuration. All of it is off by default."""

from __future__ import annotations

import ipaddress
import re
from collections import Counter
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")


class QuicSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[quic]` table of an operator's file."""

    listen: str
    certificate: str
    private_key: str
    alpn: tuple[str, ...] = ("gradegap/1",)
    idle_s: float = 30.0
    max_sessions: int = 4000
    retry_from: int = 64  # handshakes under way from which clients must prove their address
    node: Annotated[int, msgspec.Meta(ge=0, le=65535)] | None = None  # in ids; none: made of the node's name
    keylog: str = ""  # a file for all sessions' secrets, as packet analysers read them: for tests alone
    qlog: str = ""  # a folder for traces of some connections
    qlog_mb: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64  # MiB that they may take


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Another member of the store."""

    name: str
    address: str
    region: str = ""


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[store]` table: this member of the replicated store, and the members it begins with."""

    name: str
    listen: str
    peers: tuple[Peer, ...] = ()  # this member may be among them
    advertise: str = ""  # where the others reach this member, if not at `listen`
    data: str = ""  # a folder that lasts; none: `$TMPDIR`, and the member comes back empty
    when_stale: Literal["refuse", "serve"] = "refuse"  # what a node does without a lease
    secret: str = ""  # a file with the cluster's secret, the same for all
    publish: str = ""  # where nodes subscribe; none: this member serves no subscriptions
    voters: Annotated[int, msgspec.Meta(ge=1, le=9)] = 5  # at most; further members are learners in reserve
    region: str = ""
    lease_s: Annotated[float, msgspec.Meta(ge=0.3, le=30.0)] = 1.0  # the same at all members

    @property
    def regions(self) -> dict[str, str]:
        """The region of each member by its name; empty where none is named."""
        return {p.name: p.region for p in self.peers} | {self.name: self.region}

    @property
    def first_voters(self) -> list[str]:
        """The names of the voters of a new cluster: the same at each member, whatever its file's order."""
        return sorted({self.name, *(p.name for p in self.peers)})[: self.voters]


class ObserverMachine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A control machine that serves subscriptions."""

    name: str
    address: str  # its `store.publish`
    region: str = ""


class ObserverSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[observer]` table: this node subscribes to committed configuration and is no member itself."""

    machines: Annotated[tuple[ObserverMachine, ...], msgspec.Meta(min_length=1, max_length=32)]
    name: str = ""  # none: the node's
    region: str = ""  # machines of the same region are asked first
    secret: str = ""  # a file with the cluster's secret
    when_stale: Literal["refuse", "serve"] = "refuse"  # what the node does without a lease
    bytes_per_s: Annotated[int, msgspec.Meta(ge=500, le=1_000_000)] = 3000  # that the node may send


class DnsSdSettings(msgspec.Struct):
    """The `[dnssd]` table: backends from DNS-SD records instead of discovery's HTTP."""

    server: str
    service: str


class ResumeSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[resume]` table: sessions that go on at another server, by a token."""

    life_s: Annotated[int, msgspec.Meta(ge=10, le=600)] = 600  # for which a token may be used


class CaptureSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[capture]` table: a record of what the module is told and does, in a ring of files."""

    folder: str
    on: bool = True  # from the start; `config/capture` of the store, or SIGUSR2, turns it on and off
    part_mb: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 16  # MiB of one file
    total_mb: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 256  # MiB of all
    age_s: Annotated[int, msgspec.Meta(ge=1)] = 7 * 24 * 3600  # after which a file goes
    state_s: Annotated[float, msgspec.Meta(ge=1.0, le=3600.0)] = 30.0  # between two states to begin at
    hide: str = ""  # a file with a key: players' ids are recorded, and decided by, as a keyed hash


class TraceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[trace]` table: every step of the decision module, one line each on standard error."""

    decisions: bool = True


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True):
    quic: QuicSettings | None = None
    store: StoreSettings | None = None
    dnssd: DnsSdSettings | None = None
    resume: ResumeSettings | None = None
    capture: CaptureSettings | None = None
    trace: TraceSettings | None = None
    observer: ObserverSettings | None = None

    @property
    def decides_by(self) -> StoreSettings | ObserverSettings | None:
        """Where committed configuration comes from; none: this node knows of none."""
        return self.store if self.store is not None else self.observer


class OperatorFileError(ValueError):
    """An operator's file that can't be used; its text is one plain line."""


def load_operator(path: str | None) -> OperatorSettings:
    if not path:
        return OperatorSettings()
    try:
        raw = Path(path).read_bytes()
        check_form(msgspec.toml.decode(raw))
        settings = msgspec.toml.decode(raw, type=OperatorSettings)
    except OSError as error:
        raise OperatorFileError(f"{path} can't be read: {error.strerror}") from None
    except OperatorFileError as error:
        raise OperatorFileError(f"{path}: {error}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise OperatorFileError(f"{path} is no operator's file: {error}") from None
    if settings.store is not None:
        check_store(settings.store)
    if settings.observer is not None:
        if settings.store is not None:
            raise OperatorFileError(
                "[observer] and [store] exclude each other: a node subscribes, or is a member; leave one out"
            )
        check_observer(settings.observer)
    if settings.dnssd is not None:
        loopback(settings.dnssd.server, "dnssd.server")
    return settings


def check_form(tables: Any) -> None:
    """Guards against a file of an earlier version, which would only be called unreadable."""
    store = tables.get("store") if isinstance(tables, dict) else None
    if not isinstance(store, dict):
        return
    if any(isinstance(peer, str) for peer in store.get("peers", ()) or ()):
        raise OperatorFileError(
            'store.peers has the form of an earlier version; write peers = [{ name = "n2", address = '
            '"127.0.0.1:7401" }, ...], and a name for this member: name = "n1"'
        )
    if "name" not in store:
        raise OperatorFileError('store has no name; write name = "n1", one for each member of the cluster')


def check_store(store: StoreSettings) -> None:
    if not NAME.fullmatch(store.name):
        raise OperatorFileError(f"store.name is no name of letters, digits, - and _: {store.name!r}")
    loopback(store.listen, "store.listen")
    if store.advertise:
        loopback(store.advertise, "store.advertise")
    for peer in store.peers:
        if not NAME.fullmatch(peer.name):
            raise OperatorFileError(f"store.peers: no name of letters, digits, - and _: {peer.name!r}")
        loopback(peer.address, f"store.peers: the address of {peer.name}")
        if (peer.name == store.name) != (peer.address in (store.listen, store.advertise)):
            raise OperatorFileError(f"store.peers: {peer.name} at {peer.address} is and is not this member")
    for of in ("name", "address"):
        if len({getattr(p, of) for p in store.peers}) != len(store.peers):
            raise OperatorFileError(f"store.peers: two peers have the same {of}")
    if store.publish:
        loopback(store.publish, "store.publish")
        if store.publish in (store.listen, store.advertise):
            raise OperatorFileError("store.publish is a port of its own, not that of store.listen")
    check_regions(store)


def check_regions(store: StoreSettings) -> None:
    """Guards against a cluster that the loss of one region ends, where there are several."""
    regions = store.regions
    if len({region for region in regions.values() if region}) < 2:
        return
    voters = store.first_voters
    held = Counter(regions[name] for name in voters if regions[name])
    region, count = held.most_common(1)[0]
    if count > len(voters) // 2:
        raise OperatorFileError(
            f"store.peers: region {region} holds {count} of the {len(voters)} voters ({', '.join(voters)}), "
            f"a majority; voters are the first {store.voters} members by name: spread them over more regions"
        )


def check_observer(observer: ObserverSettings) -> None:
    if observer.name and not NAME.fullmatch(observer.name):
        raise OperatorFileError(f"observer.name is no name of letters, digits, - and _: {observer.name!r}")
    for machine in observer.machines:
        if not NAME.fullmatch(machine.name):
            raise OperatorFileError(
                f"observer.machines: no name of letters, digits, - and _: {machine.name!r}"
            )
        loopback(machine.address, f"observer.machines: the address of {machine.name}")
    for of in ("name", "address"):
        if len({getattr(m, of) for m in observer.machines}) != len(observer.machines):
            raise OperatorFileError(f"observer.machines: two machines have the same {of}")


def read_secret(settings: StoreSettings | ObserverSettings) -> bytes:
    """The cluster's secret; empty where none is named."""
    if not settings.secret:
        return b""
    name = "store.secret" if isinstance(settings, StoreSettings) else "observer.secret"
    try:
        secret = Path(settings.secret).read_bytes().strip()
    except OSError as error:
        raise OperatorFileError(f"{name}: {settings.secret} can't be read: {error.strerror}") from None
    if len(secret) < 16:
        raise OperatorFileError(f"{name}: {settings.secret} has less than 16 bytes")
    return secret


def loopback(address: str, name: str) -> None:
    """Guards against a store, or an unsigned DNS answer, that strangers reach: both are trusted."""
    host, sign, port = address.rpartition(":")
    try:
        good = bool(sign) and ipaddress.ip_address(host.strip("[]")).is_loopback and 0 <= int(port) < 65536
    except ValueError:
        good = False
    if not good:
        raise OperatorFileError(f"{name} is no loopback address and port: {address!r}")
