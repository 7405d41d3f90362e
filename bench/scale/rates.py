"""Rates and sizes that several figures rest on, worked out of the software's own settings."""

from __future__ import annotations

from bench.scale import target
from gradegap.balancing.health_checks import HEALTH_CHECKS_PER_REQUEST
from gradegap.observer.limits import Limits

HEALTH_CHECK_BYTES = len(b"STATS\r\n") + len(b"PONG x0=0.123456,inflight=12345\r\n")
RECONNECT_BYTES = (
    len(b"MOVE\r\n") + len(b"OPEN 0123456789abcdef key c=live,d=1500,again=1\r\n") + len(b"UP save-00000\r\n")
)
S_PER_US = 1e-6


NODE_LOSSES = (  # what may go, or come back, at once, and how many nodes it has
    ("one of the 220 that are restarted", 1.0),
    (f"a rack of {target.RACK_NODES}", float(target.RACK_NODES)),
    ("a zone", target.NODES_PER_ZONE),
    ("the largest zone (twice the mean, assumed)", target.SKEW * target.NODES_PER_ZONE),
    ("a region", target.NODES_PER_REGION),
)


def lease_renewals_per_s() -> float:
    """Of one node: the period is drawn from a part of its length up to all of it."""
    limits = Limits()
    return 1.0 / (limits.renew_interval_s * (1.0 - limits.jitter / 2))


def health_checks_per_s(servers: float, arrivals: float, period: float) -> float:
    """What looks want, each server that holds a node's connections in turn, and what requests pay for."""
    return min(servers / period, HEALTH_CHECKS_PER_REQUEST * arrivals)


def reconnecting_clients(lost_nodes: float) -> float:
    """Clients that reconnect to each remaining node when so many nodes are lost."""
    return lost_nodes * target.CONNECTIONS_PER_NODE / (target.NODES - lost_nodes)
