"""Rates and message sizes that several figures use, derived from the settings of the software."""

from __future__ import annotations

from bench.scale import target
from gradegap.balancing.health_checks import HEALTH_CHECKS_PER_REQUEST
from gradegap.observer.limits import Limits

HEALTH_CHECK_BYTES = len(b"STATS\r\n") + len(b"PONG x0=0.123456,inflight=12345\r\n")
RECONNECT_BYTES = (
    len(b"MOVE\r\n") + len(b"OPEN 0123456789abcdef key c=live,d=1500,again=1\r\n") + len(b"UP save-00000\r\n")
)
S_PER_US = 1e-6


# Groups of nodes that may be lost, or return, at the same time, and the number of nodes in each.
NODE_LOSSES = (
    ("one of the 220 that are restarted", 1.0),
    (f"a rack of {target.RACK_NODES}", float(target.RACK_NODES)),
    ("a zone", target.NODES_PER_ZONE),
    ("the largest zone (twice the mean, assumed)", target.SKEW * target.NODES_PER_ZONE),
    ("a region", target.NODES_PER_REGION),
)


def lease_renewals_per_s() -> float:
    """Returns the mean rate of lease renewals of one node.

    Each interval is drawn evenly between (1 - `jitter`) times the renewal interval and the whole interval.
    """
    limits = Limits()
    return 1.0 / (limits.renew_interval_s * (1.0 - limits.jitter / 2))


def health_checks_per_s(servers: float, arrivals: float, period: float) -> float:
    """Returns the rate of a node's health checks.

    The node checks each server that holds its connections once per `period` seconds, but no more often than
    `HEALTH_CHECKS_PER_REQUEST` times the rate of arriving requests.
    """
    return min(servers / period, HEALTH_CHECKS_PER_REQUEST * arrivals)


def reconnecting_clients(lost_nodes: float) -> float:
    """Returns the number of clients that reconnect to each remaining node after `lost_nodes` are lost."""
    return lost_nodes * target.CONNECTIONS_PER_NODE / (target.NODES - lost_nodes)
