"""Cost of health checks: a node's processor time to query endpoints, with sockets and balancer included.

The endpoints run in a thread with their own loop; only the processor time of the checking thread counts.
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
ROUNDS = 20  # number of health checks of each server in one repeat
REPEATS = 5
MAX_CONCURRENT_CHECKS = 20
POLL_INTERVAL_S = 0.002
ANSWER_TIMEOUT_S = 5.0
DESCRIPTORS = 10_000


class EndpointListener:
    """One listener, in its own thread, that answers the health checks of all endpoints."""

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
        """Stops the thread and closes the listener."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(ANSWER_TIMEOUT_S)
        self.server.listener.close()


async def check_all(proxy: Proxy, names: list[str]) -> None:
    """Sends one health check to each endpoint, and waits until all are answered.

    Raises:
        RuntimeError: a health check is not answered within `ANSWER_TIMEOUT_S`.
    """
    before = {name: proxy.endpoints[name].report for name in names}
    for name in names:
        proxy.check_health(name)
    until = time.monotonic() + ANSWER_TIMEOUT_S
    while any(proxy.endpoints[name].report is before[name] for name in names):
        if time.monotonic() > until:
            raise RuntimeError(f"health check not answered: {proxy.metrics.snapshot()}")
        await asyncio.sleep(POLL_INTERVAL_S)


async def health_check_us(proxy: Proxy, names: list[str]) -> float:
    """Returns the microseconds of this thread's processor time for one health check."""
    began = time.thread_time()
    for _ in range(ROUNDS):
        for first in range(0, len(names), MAX_CONCURRENT_CHECKS):
            await check_all(proxy, names[first : first + MAX_CONCURRENT_CHECKS])
    return (time.thread_time() - began) / (ROUNDS * len(names)) * 1e6


async def health_check_costs(address: str, servers: int, seed: int) -> list[float]:
    """Returns the microseconds of a health check with `servers` endpoints, for each repeat."""
    metrics, loop = Metrics(), asyncio.get_running_loop()
    upstream = TcpUpstream(loop, 1.0, DescriptorBudget(DESCRIPTORS, metrics))
    proxy = Proxy(settings(), seed, upstream, metrics, loop)
    names = [server_name(k) for k in range(servers)]
    proxy.update_endpoints(EndpointListKind.FULL, [(EndpointEntry(name), address) for name in names])
    await health_check_us(proxy, names)  # opens the connections
    costs = [await health_check_us(proxy, names) for _ in range(REPEATS)]
    for name in names:
        upstream.close_health_check(proxy.endpoints[name])
    upstream.dialer.task.cancel()
    return costs


def probes_part(seed: int) -> list[Measurement]:
    """Measures a health check over open connections, over the number of servers that are checked in turn."""
    listener = EndpointListener()
    try:
        points = [point(n, uvloop.run(health_check_costs(listener.address, n, seed))) for n in SERVERS]
    finally:
        listener.close()
    how = "a node's processor time for a probe and its answer, over a standing connection to each"
    return [measured("probe", "µs", "servers", how, points)]


PARTS: dict[str, Callable[[int], list[Measurement]]] = {"probes": probes_part}
