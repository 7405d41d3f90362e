"""Discovery by DNS-SD: endpoints are read from DNS records (RFC 6763) instead of discovery's HTTP interface.

PTR records list the instances; an instance's SRV record has its host and port, its TXT record the state,
zone, weight and start time:

    _saves._tcp.prairie.example.            PTR  s-5be2a07c._saves._tcp.prairie.example.
    s-5be2a07c._saves._tcp.prairie.example. SRV  0 0 5000 host1.prairie.example.
    s-5be2a07c._saves._tcp.prairie.example. TXT  "state=Ready" "zone=regina" "weight=1.5" "started_ms=0"
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import dns.asyncquery
import dns.exception
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset
import structlog

from gradegap.balancing.events import EndpointEntry, EndpointListKind
from gradegap.discovery.endpoint_list import PHASES_BY_STATE, AddressedEntry
from gradegap.discovery.errors import DnsLookupError, InvalidEndpointError
from gradegap.discovery.settings import DnsSdSettings
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.transport.addresses import split_address

log = structlog.get_logger()

QUERY_TIMEOUT_S = 1.0
"""Timeout of one DNS query."""

ROUND_INTERVAL_MIN_S = 1.0
"""Minimum interval between two rounds of queries, for records with a shorter time to live."""

ROUND_INTERVAL_MAX_S = 300.0
"""Maximum interval between two rounds of queries, for records with a longer time to live."""

BACKOFF_S, BACKOFF_MAX_S = 0.5, 8.0
"""Delay after the first failed round, doubled after each further failure, and its upper bound."""

INSTANCES_MAX = 2000
"""Maximum number of PTR records that are used; further ones are ignored."""

RecordKey = tuple[dns.name.Name, dns.rdatatype.RdataType]


@dataclass(slots=True, frozen=True)
class CachedRecords:
    """Records of one name and type, and their expiry in seconds of the event loop's clock."""

    expires_at: float
    records: dns.rrset.RRset


def read_txt(strings: tuple[bytes, ...]) -> dict[str, str]:
    """Parse the key-value pairs of a TXT record (RFC 6763, section 6).

    Keys are case-insensitive and returned in lower case; the first of several values of one key is used.
    """
    pairs: dict[str, str] = {}
    for string in strings:
        name, sign, value = string.partition(b"=")
        if sign and name:
            pairs.setdefault(name.decode("ascii", "replace").lower(), value.decode("utf-8", "replace"))
    return pairs


def read_entry(instance: str, pairs: dict[str, str]) -> EndpointEntry:
    """Build an instance's entry from the pairs of its TXT record.

    Raises:
        InvalidEndpointError: if the state is unknown, or weight, start or cell is invalid.
    """
    state = pairs.get("state", "")
    if state not in PHASES_BY_STATE:
        raise InvalidEndpointError(
            f"state must be one of {', '.join(PHASES_BY_STATE)}, got {pairs.get('state')!r}"
        )
    try:
        weight = float(pairs.get("weight", 1.0))
        started_s = float(pairs.get("started_ms", 0.0)) / 1000
        cell = int(pairs.get("cell", 0))
    except ValueError:
        raise InvalidEndpointError(f"weight, started_ms and cell must be numbers, got {pairs}") from None
    if not 0.0 < weight < math.inf or not 0.0 <= started_s < math.inf:
        raise InvalidEndpointError(
            f"weight must be positive and finite, got {weight}; "
            f"start must be finite and not negative, got {started_s} s"
        )
    return EndpointEntry(instance, pairs.get("zone", ""), cell, PHASES_BY_STATE[state], weight, started_s)


class DnsSdDiscovery:
    """Updates the proxy's endpoint list from DNS-SD records, and queries them again when they expire."""

    def __init__(self, proxy: Proxy, settings: DnsSdSettings, metrics: Metrics) -> None:
        self.proxy = proxy
        self.settings = settings
        self.metrics = metrics
        self.host, self.port = split_address(settings.server)
        self.service = dns.name.from_text(settings.service)
        self.cache: dict[RecordKey, CachedRecords] = {}
        self.last_entries: dict[str, AddressedEntry] = {}
        """The last valid entry of each instance."""
        self.has_list = False
        """Whether a list has been read since the start."""
        self.on_first_list: Callable[[], None] | None = None
        self.failures = 0
        self.task: asyncio.Task[None] | None = None
        metrics.gauge("dns_sd", lambda: {"instances": len(self.last_entries), "failures": self.failures})

    def start(self) -> None:
        """Start the task that looks up the records until the process ends."""
        self.task = self.proxy.loop.create_task(self._run())  # the only task; client requests create none

    async def _run(self) -> None:
        while True:
            try:
                await self._update()
                self.failures = 0
                delay_s = self._time_to_expiry()
            except DnsLookupError as error:
                # The last list stays in use.
                self.failures += 1
                self.metrics.count("dns_failures")
                log.warning("DNS-SD lookup failed", error=str(error))
                delay_s = min(BACKOFF_MAX_S, BACKOFF_S * 2.0 ** (self.failures - 1))
            await asyncio.sleep(delay_s)

    def _time_to_expiry(self) -> float:
        now = self.proxy.loop.time()
        remaining_s = min((cached.expires_at for cached in self.cache.values()), default=now) - now
        return min(ROUND_INTERVAL_MAX_S, max(ROUND_INTERVAL_MIN_S, remaining_s))

    async def _update(self) -> None:
        """Query the records that have expired, and pass the list to the proxy if it has changed."""
        now = self.proxy.loop.time()
        self.cache = {key: cached for key, cached in self.cache.items() if cached.expires_at > now}
        names = [record.target for record in await self._look_up(self.service, dns.rdatatype.PTR)]
        listed: dict[str, AddressedEntry] = {}
        for name in names[:INSTANCES_MAX]:
            instance = name.labels[0].decode("utf-8", "replace")
            try:
                listed[instance] = await self._look_up_instance(instance, name)
            except (InvalidEndpointError, DnsLookupError) as error:
                # Guards against one invalid record: its instance keeps its last valid entry, the others are
                # updated.
                self.metrics.count("dns_bad_instances")
                log.warning("DNS-SD instance invalid", instance=instance, error=str(error))
                if instance in self.last_entries:
                    listed[instance] = self.last_entries[instance]
        if not self.has_list or listed != self.last_entries:
            self.last_entries = listed
            self.metrics.count("lists_full")
            self.proxy.update_endpoints(EndpointListKind.FULL, listed.values())
        if not self.has_list:
            self.has_list = True
            if self.on_first_list is not None:
                self.on_first_list()

    async def _look_up_instance(self, instance: str, name: dns.name.Name) -> AddressedEntry:
        service_record = (await self._look_up(name, dns.rdatatype.SRV))[0]
        text_record = (await self._look_up(name, dns.rdatatype.TXT))[0]
        entry = read_entry(instance, read_txt(text_record.strings))
        try:
            host = (await self._look_up(service_record.target, dns.rdatatype.A))[0].address
        except DnsLookupError:
            host = f"[{(await self._look_up(service_record.target, dns.rdatatype.AAAA))[0].address}]"
        return AddressedEntry(entry, f"{host}:{service_record.port}")

    async def _look_up(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> list[Any]:
        """Return the records of a name, from the cache until they expire.

        The result is typed as `Any` because dnspython's types don't declare the fields of each record type.

        Raises:
            DnsLookupError: if the query fails, is answered with an error, or finds no record of this type.
        """
        cached = self.cache.get((name, kind))
        if cached is not None and cached.expires_at > self.proxy.loop.time():
            return list(cached.records)
        query = dns.message.make_query(name, kind)
        self.metrics.count("dns_queries")
        try:
            answer, _ = await dns.asyncquery.udp_with_fallback(
                query, self.host, timeout=QUERY_TIMEOUT_S, port=self.port, ignore_unexpected=True
            )
        except (dns.exception.DNSException, OSError, EOFError) as error:
            raise DnsLookupError(f"{name} {kind.name}: {type(error).__name__}") from None
        if answer.rcode() != dns.rcode.NOERROR:
            raise DnsLookupError(f"{name} {kind.name}: {dns.rcode.to_text(answer.rcode())}")
        now = self.proxy.loop.time()
        # Additional records (RFC 6763, section 12) are cached as well, each for its own time to live.
        for records in [*answer.answer, *answer.additional]:
            if records.rdtype != dns.rdatatype.OPT:
                self.cache[records.name, records.rdtype] = CachedRecords(now + records.ttl, records)
        found = next((each for each in answer.answer if each.name == name and each.rdtype == kind), None)
        if found is None:
            raise DnsLookupError(f"{name} {kind.name}: no record")
        return list(found)
