"""Endpoint list as JSON, in discovery's answers and in a node's configuration; decoded entry by entry."""

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
"""Errors of the JSON decoder; input that is nested too deeply raises `RecursionError`."""

PHASES_BY_STATE = {
    "Ready": EndpointPhase.READY,
    "Terminating": EndpointPhase.DRAINING,
    "Gone": EndpointPhase.REMOVED,
}
"""Phase of an endpoint in the balancer for each `state` that discovery reports."""


class AddressedEntry(NamedTuple):
    """An endpoint of the list with its address as `host:port`; may be empty unless the endpoint is Ready."""

    entry: EndpointEntry
    address: str


class EndpointDocument(msgspec.Struct):
    """One endpoint as discovery encodes it; an omitted field has the default given here."""

    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "Ready"
    weight: float = 1.0
    started_ms: float = 0.0

    def to_entry(self) -> AddressedEntry:
        """Convert the document to the balancer's entry and the endpoint's address.

        Raises:
            InvalidEndpointError: if the id, weight or start is invalid, or a Ready endpoint has no address.
            ValueError: if the address is not a numeric IP address with a port.
        """
        if not self.id.isprintable() or not self.id:
            raise InvalidEndpointError(f"id must be a non-empty printable string, got {self.id!r}")
        if not 0.0 <= self.weight < math.inf or not self.started_ms < math.inf:
            raise InvalidEndpointError(
                f"weight must be finite and not negative, got {self.weight}; "
                f"started_ms must be finite, got {self.started_ms}"
            )
        if self.addr:
            ip_address(split_address(self.addr)[0])  # numeric only: a dial never waits for DNS
        elif self.state == "Ready":
            raise InvalidEndpointError("addr is required for an endpoint in state Ready")
        # An unknown state, of a later protocol version, counts as draining: the endpoint gets no new
        # requests.
        phase = PHASES_BY_STATE.get(self.state, EndpointPhase.DRAINING)
        started_s = max(0.0, self.started_ms) / 1000
        entry = EndpointEntry(self.id, self.zone, self.cell, phase, self.weight, started_s)
        return AddressedEntry(entry, self.addr)


class EndpointIdDocument(msgspec.Struct):
    """The id alone of an entry whose other fields are invalid."""

    id: str


class EndpointListDocument(msgspec.Struct):
    """A list of endpoints: all of them (`full`), or only those that changed after an earlier version."""

    version: int = 0
    full: bool = True
    servers: list[msgspec.Raw] = []

    def read_entries(self, last_entries: dict[str, AddressedEntry], metrics: Metrics) -> list[AddressedEntry]:
        """Decode the valid entries, and update `last_entries`, the last valid entry of each endpoint.

        Guards against one invalid entry that makes the whole list unusable: in a full list, an endpoint whose
        entry is invalid keeps its last valid entry.
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
                    if self.full and name in last_entries:
                        entries.append(last_entries[name])
        if self.full:
            last_entries.clear()
        last_entries.update((listed.entry.name, listed) for listed in entries)
        return entries
