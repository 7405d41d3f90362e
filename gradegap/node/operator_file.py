"""The operator's file: what a node has beyond the platform's configuration. All of it is off by default."""

from __future__ import annotations

import ipaddress
import re
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from gradegap.capture.settings import CaptureSettings
from gradegap.discovery.settings import DnsSdSettings
from gradegap.observer.settings import ObserverSettings
from gradegap.quic.settings import QuicSettings
from gradegap.resume.settings import ResumeSettings
from gradegap.store.settings import StoreSettings

NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")


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
