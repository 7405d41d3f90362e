"""The endpoint list as discovery's answers and a node's configuration write it, read entry by entry."""

from __future__ import annotations

import contextlib
import math
from ipaddress import ip_address
from typing import NamedTuple

import msgspec
import structlog

from gradegap.balancing.events import EndpointEntry, EndpointPhase
from gradegap.discovery.errors import InvalidEndpointError
from gradegap.metrics import Metrics
from gradegap.transport.addresses import split_address

log = structlog.get_logger()

LOGGED_ERROR_MAX_CHARS = 200

UNREADABLE_JSON = (msgspec.MsgspecError, RecursionError)
"""What the JSON parser raises; nesting without end is an error of its own."""

PHASES_BY_STATE = {
    "Ready": EndpointPhase.READY,
    "Terminating": EndpointPhase.DRAINING,
    "Gone": EndpointPhase.REMOVED,
}
"""The phase of an endpoint by its state in discovery's terms."""


class AddressedEntry(NamedTuple):
    """An endpoint of the list, and its address as `host:port`; empty where none is needed any more."""

    entry: EndpointEntry
    address: str


class EndpointDocument(msgspec.Struct):
    """One endpoint as discovery writes it; fields that it leaves out have these values."""

    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "Ready"
    weight: float = 1.0
    started_ms: float = 0.0

    def to_entry(self) -> AddressedEntry:
        """The endpoint in the balancer's terms.

        Raises `InvalidEndpointError` (or a `ValueError` of the address) where nothing can be done with it.
        """
        if not self.id.isprintable() or not self.id:
            raise InvalidEndpointError("no id")
        if not 0.0 <= self.weight < math.inf or not self.started_ms < math.inf:
            raise InvalidEndpointError("weight or start out of range")
        if self.addr:
            ip_address(split_address(self.addr)[0])  # numbers only: there is no DNS to wait for
        elif self.state == "Ready":
            raise InvalidEndpointError("no address")
        # A state of a later protocol takes nothing new: it is not Ready.
        phase = PHASES_BY_STATE.get(self.state, EndpointPhase.DRAINING)
        started_s = max(0.0, self.started_ms) / 1000
        entry = EndpointEntry(self.id, self.zone, self.cell, phase, self.weight, started_s)
        return AddressedEntry(entry, self.addr)


class EndpointIdDocument(msgspec.Struct):
    """Of an entry that can't be read as a whole: whose it is."""

    id: str


class EndpointListDocument(msgspec.Struct):
    """A list of endpoints: all of them, or those that changed after an earlier version."""

    version: int = 0
    full: bool = True
    servers: list[msgspec.Raw] = []

    def read_entries(self, known: dict[str, AddressedEntry], metrics: Metrics) -> list[AddressedEntry]:
        """The entries that can be read; `known`, the last good entry of each endpoint, is brought up to date.

        Guards against one bad entry that takes the whole list with it: of such an endpoint, what was listed
        last is still true.
        """
        entries: list[AddressedEntry] = []
        for raw in self.servers:
            try:
                entries.append(msgspec.json.decode(raw, type=EndpointDocument).to_entry())
            except (ValueError, *UNREADABLE_JSON) as error:
                metrics.count("list_items_bad")
                log.warning("endpoint entry ignored", error=str(error)[:LOGGED_ERROR_MAX_CHARS])
                with contextlib.suppress(*UNREADABLE_JSON):
                    name = msgspec.json.decode(raw, type=EndpointIdDocument).id
                    if self.full and name in known:
                        entries.append(known[name])
        if self.full:
            known.clear()
        known.update((listed.entry.name, listed) for listed in entries)
        return entries
