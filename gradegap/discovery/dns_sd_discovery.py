"""A second director: backends from DNS-SD records (RFC 6763) instead of discovery's HTTP.

PTR names the instances, SRV gives each its host and port, TXT its state, zone, weight and start:

    _saves._tcp.prairie.example.            PTR  s-5be2a07c._saves._tcp.prairie.example.
    s-5be2a07c._saves._tcp.prairie.example. SRV  0 0 5000 host1.prairie.example.
    s-5be2a07c._saves._tcp.prairie.example. TXT  "state=Ready" "zone=regina" "weight=1.5" "started_ms=0"
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
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
from gradegap.discovery.endpoint_list import PHASES_BY_STATE
from gradegap.discovery.errors import DnsLookupError, InvalidEndpointError
from gradegap.discovery.settings import DnsSdSettings
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.transport.addresses import split_address

log = structlog.get_logger()

QUERY_WAIT = 1.0  # s until a query counts as failed
SHORTEST = 1.0  # s between two rounds, however short the records' lives
LONGEST = 300.0  # s between two rounds, however long they are
RETRY, RETRY_MOST = 0.5, 8.0  # s after a round that failed; doubled at each further failure
MOST_INSTANCES = 2000

Key = tuple[dns.name.Name, dns.rdatatype.RdataType]


def read_txt(strings: tuple[bytes, ...]) -> dict[str, str]:
    """The pairs of a TXT record; of a key given twice the first counts, and keys have no case."""
    pairs: dict[str, str] = {}
    for each in strings:
        name, sign, value = each.partition(b"=")
        if sign and name:
            pairs.setdefault(name.decode("ascii", "replace").lower(), value.decode("utf-8", "replace"))
    return pairs


def read_entry(server: str, pairs: dict[str, str]) -> EndpointEntry:
    if pairs.get("state") not in PHASES_BY_STATE:
        raise InvalidEndpointError(f"state {pairs.get('state')!r}")
    try:
        weight = float(pairs.get("weight", 1.0))
        started = float(pairs.get("started_ms", 0.0)) / 1000
        cell = int(pairs.get("cell", 0))
    except ValueError:
        raise InvalidEndpointError("a figure that is no number") from None
    if not 0.0 < weight < math.inf or not 0.0 <= started < math.inf:
        raise InvalidEndpointError("a figure out of range")
    return EndpointEntry(
        server, pairs.get("zone", ""), cell, PHASES_BY_STATE[pairs["state"]], weight, started
    )


class DnsSdDiscovery:
    """Keeps the core's list of backends as DNS-SD records tell it, for as long as they live."""

    def __init__(self, proxy: Proxy, settings: DnsSdSettings, metrics: Metrics) -> None:
        self.proxy = proxy
        self.settings = settings
        self.metrics = metrics
        self.where, self.port = split_address(settings.server)
        self.service = dns.name.from_text(settings.service)
        self.cache: dict[Key, tuple[float, dns.rrset.RRset]] = {}
        self.known: dict[str, tuple[EndpointEntry, str]] = {}  # the last good entry of each instance
        self.told = False
        self.first: Callable[[], None] | None = None
        self.failures = 0
        self.task: asyncio.Task[None] | None = None
        metrics.gauge("dns_sd", lambda: {"instances": len(self.known), "failures": self.failures})

    def start(self) -> None:
        # One task for as long as the node runs; no req starts any.
        self.task = self.proxy.loop.create_task(self._run())

    async def _run(self) -> None:
        while True:
            try:
                await self._round()
                self.failures = 0
                wait = self._next_expiry()
            except DnsLookupError as error:
                # The last list is kept.
                self.failures += 1
                self.metrics.count("dns_failures")
                log.warning("DNS-SD lookup failed", error=str(error))
                wait = min(RETRY_MOST, RETRY * 2.0 ** (self.failures - 1))
            await asyncio.sleep(wait)

    def _next_expiry(self) -> float:
        now = self.proxy.loop.time()
        left = min((at for at, _ in self.cache.values()), default=now) - now
        return min(LONGEST, max(SHORTEST, left))

    async def _round(self) -> None:
        """Ask for what has expired, and tell the core the list if anything in it is new."""
        now = self.proxy.loop.time()
        self.cache = {key: held for key, held in self.cache.items() if held[0] > now}
        names = [r.target for r in await self._lookup(self.service, dns.rdatatype.PTR)]
        listed: dict[str, tuple[EndpointEntry, str]] = {}
        for name in names[:MOST_INSTANCES]:
            ident = name.labels[0].decode("utf-8", "replace")
            try:
                listed[ident] = await self._instance(ident, name)
            except (InvalidEndpointError, DnsLookupError) as error:
                # Guards against one bad record: its instance stays as it was last, the others count.
                self.metrics.count("dns_bad_instances")
                log.warning("DNS-SD instance unreadable", instance=ident, error=str(error))
                if ident in self.known:
                    listed[ident] = self.known[ident]
        if not self.told or listed != self.known:
            self.known = listed
            self.metrics.count("lists_full")
            self.proxy.update_endpoints(EndpointListKind.FULL, listed.values())
        if not self.told:
            self.told = True
            if self.first is not None:
                self.first()

    async def _instance(self, ident: str, name: dns.name.Name) -> tuple[EndpointEntry, str]:
        srv = (await self._lookup(name, dns.rdatatype.SRV))[0]
        txt = (await self._lookup(name, dns.rdatatype.TXT))[0]
        entry = read_entry(ident, read_txt(txt.strings))
        try:
            host = (await self._lookup(srv.target, dns.rdatatype.A))[0].address
        except DnsLookupError:
            host = f"[{(await self._lookup(srv.target, dns.rdatatype.AAAA))[0].address}]"
        return entry, f"{host}:{srv.port}"

    async def _lookup(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> list[Any]:
        held = self.cache.get((name, kind))
        if held is not None and held[0] > self.proxy.loop.time():
            return list(held[1])
        query = dns.message.make_query(name, kind)
        self.metrics.count("dns_queries")
        try:
            answer, _ = await dns.asyncquery.udp_with_fallback(
                query, self.where, timeout=QUERY_WAIT, port=self.port, ignore_unexpected=True
            )
        except (dns.exception.DNSException, OSError, EOFError) as error:
            raise DnsLookupError(f"{name} {kind.name}: {type(error).__name__}") from None
        if answer.rcode() != dns.rcode.NOERROR:
            raise DnsLookupError(f"{name} {kind.name}: {dns.rcode.to_text(answer.rcode())}")
        now = self.proxy.loop.time()
        # What is sent along (RFC 6763, section 12) is kept as well, each for its own life.
        for rrset in [*answer.answer, *answer.additional]:
            if rrset.rdtype != dns.rdatatype.OPT:
                self.cache[rrset.name, rrset.rdtype] = (now + rrset.ttl, rrset)
        found = next((r for r in answer.answer if r.name == name and r.rdtype == kind), None)
        if found is None:
            raise DnsLookupError(f"{name} {kind.name}: no record")
        return list(found)
