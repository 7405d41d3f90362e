"""The slope of probes: what a node spends to ask save servers for their load, sockets and module included.

The endpoints listen in a thread with a loop of its own; only the checking thread's processor time counts.
"""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable

import uvloop

from bench.scale.fit import point
from bench.scale.results_file import Measurement, measured
from bench.scale.slopes_data import SaveServer
from bench.scale.slopes_module import server_name
from gradegap.balancing.events import EndpointEntry, EndpointListKind
from gradegap.metrics import Metrics
from gradegap.proxy.proxy import Proxy
from gradegap.transport.descriptors import DescriptorBudget
from gradegap.upstream.tcp_upstream import TcpUpstream
from tests.support.balancer_driver import settings

SERVERS = (60, 200, 600)
ROUNDS = 20  # probes of each server in one repeat
REPEATS = 5
AT_ONCE = 20
POLL_INTERVAL_S = 0.002
ANSWER_TIMEOUT_S = 5.0
DESCRIPTORS = 10_000


class EndpointListener:
    """One listener that answers the health checks of all endpoints, in a thread of its own."""

    def __init__(self) -> None:
        self.server = SaveServer()
        self.address = str(self.server.entry["addr"])
        self.loop = uvloop.new_event_loop()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.create_task(self.loop.create_server(self.server.accept, sock=self.server.listener))
        self.loop.run_forever()

    def close(self) -> None:
        """Serve no more."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(ANSWER_TIMEOUT_S)
        self.server.listener.close()


async def check_all(proxy: Proxy, names: list[str]) -> None:
    """One health check of each, all answered."""
    before = {name: proxy.endpoints[name].report for name in names}
    for name in names:
        proxy.check_health(name)
    until = time.monotonic() + ANSWER_TIMEOUT_S
    while any(proxy.endpoints[name].report is before[name] for name in names):
        if time.monotonic() > until:
            raise RuntimeError(f"a probe was not answered: {proxy.metrics.snapshot()}")
        await asyncio.sleep(POLL_INTERVAL_S)


async def health_check_us(proxy: Proxy, names: list[str]) -> float:
    """Microseconds of this thread's processor time for one health check."""
    began = time.thread_time()
    for _ in range(ROUNDS):
        for first in range(0, len(names), AT_ONCE):
            await check_all(proxy, names[first : first + AT_ONCE])
    return (time.thread_time() - began) / (ROUNDS * len(names)) * 1e6


async def health_check_costs(address: str, servers: int, seed: int) -> list[float]:
    """Microseconds of a health check with so many endpoints, for each repeat."""
    metrics, loop = Metrics(), asyncio.get_running_loop()
    upstream = TcpUpstream(loop, 1.0, DescriptorBudget(DESCRIPTORS, metrics))
    proxy = Proxy(settings(), seed, upstream, metrics, loop)
    names = [server_name(k) for k in range(servers)]
    proxy.update_endpoints(EndpointListKind.FULL, [(EndpointEntry(name), address) for name in names])
    await health_check_us(proxy, names)  # connects
    costs = [await health_check_us(proxy, names) for _ in range(REPEATS)]
    for name in names:
        upstream.close_health_check(proxy.endpoints[name])
    upstream.dialer.task.cancel()
    return costs


def probes_part(seed: int) -> list[Measurement]:
    """A probe over standing connections, over how many servers are probed in turn."""
    listener = EndpointListener()
    try:
        points = [point(n, uvloop.run(health_check_costs(listener.address, n, seed))) for n in SERVERS]
    finally:
        listener.close()
    how = "a node's processor time for a probe and its answer, over a standing connection to each"
    return [measured("probe", "µs", "servers", how, points)]


PARTS: dict[str, Callable[[int], list[Measurement]]] = {"probes": probes_part}
