"""Discovery by DNS-SD: endpoints from records (RFC 6763) instead of discovery's HTTP.

PTR names the instances, SRV gives each its host and port, TXT its state, zone, weight and start:

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

ROUND_MIN_S = 1.0
"""Between two rounds of queries, however short the records' times to live."""

ROUND_MAX_S = 300.0
"""Between two rounds, however long they are."""

BACKOFF_S, BACKOFF_MAX_S = 0.5, 8.0
"""After a round that failed; doubled at each further failure."""

INSTANCES_MAX = 2000

RecordKey = tuple[dns.name.Name, dns.rdatatype.RdataType]


@dataclass(slots=True, frozen=True)
class CachedRecords:
    """Records of one name and type, in use until they expire (seconds of the loop's clock)."""

    expires_at: float
    records: dns.rrset.RRset


def read_txt(strings: tuple[bytes, ...]) -> dict[str, str]:
    """The pairs of a TXT record (RFC 6763, section 6).

    Of a key given twice the first counts, and keys have no case.
    """
    pairs: dict[str, str] = {}
    for string in strings:
        name, sign, value = string.partition(b"=")
        if sign and name:
            pairs.setdefault(name.decode("ascii", "replace").lower(), value.decode("utf-8", "replace"))
    return pairs


def read_entry(instance: str, pairs: dict[str, str]) -> EndpointEntry:
    """An instance's entry from the pairs of its TXT record; raises `InvalidEndpointError`."""
    state = pairs.get("state", "")
    if state not in PHASES_BY_STATE:
        raise InvalidEndpointError(f"state {pairs.get('state')!r}")
    try:
        weight = float(pairs.get("weight", 1.0))
        started_s = float(pairs.get("started_ms", 0.0)) / 1000
        cell = int(pairs.get("cell", 0))
    except ValueError:
        raise InvalidEndpointError("weight, start or cell is no number") from None
    if not 0.0 < weight < math.inf or not 0.0 <= started_s < math.inf:
        raise InvalidEndpointError("weight or start out of range")
    return EndpointEntry(instance, pairs.get("zone", ""), cell, PHASES_BY_STATE[state], weight, started_s)


class DnsSdDiscovery:
    """Keeps the proxy's endpoint list as DNS-SD records have it, for as long as they live."""

    def __init__(self, proxy: Proxy, settings: DnsSdSettings, metrics: Metrics) -> None:
        self.proxy = proxy
        self.settings = settings
        self.metrics = metrics
        self.host, self.port = split_address(settings.server)
        self.service = dns.name.from_text(settings.service)
        self.cache: dict[RecordKey, CachedRecords] = {}
        self.known: dict[str, AddressedEntry] = {}
        """The last good entry of each instance."""
        self.has_list = False
        """Whether the records have been read since the start."""
        self.on_first_list: Callable[[], None] | None = None
        self.failures = 0
        self.task: asyncio.Task[None] | None = None
        metrics.gauge("dns_sd", lambda: {"instances": len(self.known), "failures": self.failures})

    def start(self) -> None:
        """Look the records up, and go on for as long as the node runs."""
        self.task = self.proxy.loop.create_task(self._run())  # one task in all; no request starts any

    async def _run(self) -> None:
        while True:
            try:
                await self._update()
                self.failures = 0
                delay_s = self._time_to_expiry()
            except DnsLookupError as error:
                # The last list is kept.
                self.failures += 1
                self.metrics.count("dns_failures")
                log.warning("DNS-SD lookup failed", error=str(error))
                delay_s = min(BACKOFF_MAX_S, BACKOFF_S * 2.0 ** (self.failures - 1))
            await asyncio.sleep(delay_s)

    def _time_to_expiry(self) -> float:
        now = self.proxy.loop.time()
        left_s = min((cached.expires_at for cached in self.cache.values()), default=now) - now
        return min(ROUND_MAX_S, max(ROUND_MIN_S, left_s))

    async def _update(self) -> None:
        """Look up what has expired, and pass the list on if anything in it is new."""
        now = self.proxy.loop.time()
        self.cache = {key: cached for key, cached in self.cache.items() if cached.expires_at > now}
        names = [record.target for record in await self._look_up(self.service, dns.rdatatype.PTR)]
        listed: dict[str, AddressedEntry] = {}
        for name in names[:INSTANCES_MAX]:
            instance = name.labels[0].decode("utf-8", "replace")
            try:
                listed[instance] = await self._look_up_instance(instance, name)
            except (InvalidEndpointError, DnsLookupError) as error:
                # Guards against one bad record: its instance stays as it was last, the others count.
                self.metrics.count("dns_bad_instances")
                log.warning("DNS-SD instance unreadable", instance=instance, error=str(error))
                if instance in self.known:
                    listed[instance] = self.known[instance]
        if not self.has_list or listed != self.known:
            self.known = listed
            self.metrics.count("lists_full")
            self.proxy.update_endpoints(EndpointListKind.FULL, listed.values())
        if not self.has_list:
            self.has_list = True
            if self.on_first_list is not None:
                self.on_first_list()

    async def _look_up_instance(self, instance: str, name: dns.name.Name) -> AddressedEntry:
        service = (await self._look_up(name, dns.rdatatype.SRV))[0]
        text = (await self._look_up(name, dns.rdatatype.TXT))[0]
        entry = read_entry(instance, read_txt(text.strings))
        try:
            host = (await self._look_up(service.target, dns.rdatatype.A))[0].address
        except DnsLookupError:
            host = f"[{(await self._look_up(service.target, dns.rdatatype.AAAA))[0].address}]"
        return AddressedEntry(entry, f"{host}:{service.port}")

    async def _look_up(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> list[Any]:
        """Records of a name, from the cache while they live; raises `DnsLookupError`.

        Their fields depend on their type, which dnspython's own types don't show.
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
        # What is sent along (RFC 6763, section 12) is kept as well, each for its own time to live.
        for records in [*answer.answer, *answer.additional]:
            if records.rdtype != dns.rdatatype.OPT:
                self.cache[records.name, records.rdtype] = CachedRecords(now + records.ttl, records)
        found = next((each for each in answer.answer if each.name == name and each.rdtype == kind), None)
        if found is None:
            raise DnsLookupError(f"{name} {kind.name}: no record")
        return list(found)
