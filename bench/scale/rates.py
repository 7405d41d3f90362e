"""Rates and sizes that several figures rest on, worked out of the software's own settings."""

from __future__ import annotations

from bench.scale import target as t
from gradegap.balancing.health_checks import HEALTH_CHECKS_PER_REQUEST
from gradegap.observer.limits import Limits

PROBE_BYTES = len(b"STATS\r\n") + len(b"PONG x0=0.123456,inflight=12345\r\n")
RETURN_BYTES = (
    len(b"MOVE\r\n") + len(b"OPEN 0123456789abcdef key c=live,d=1500,again=1\r\n") + len(b"UP save-00000\r\n")
)
US = 1e-6


GONE = (  # what may go, or come back, at once, and how many nodes it has
    ("one of the 220 that are restarted", 1.0),
    (f"a rack of {t.RACK_NODES}", float(t.RACK_NODES)),
    ("a zone", t.NODES_PER_ZONE),
    ("the largest zone (twice the mean, assumed)", t.SKEW * t.NODES_PER_ZONE),
    ("a region", t.NODES_PER_REGION),
)


def renewals_per_s() -> float:
    """Of one node: the period is drawn from a part of its length up to all of it."""
    limits = Limits()
    return 1.0 / (limits.renew_interval_s * (1.0 - limits.jitter / 2))


def probes_per_s(servers: float, arrivals: float, period: float) -> float:
    """What looks want, each server that holds a node's connections in turn, and what requests pay for."""
    return min(servers / period, HEALTH_CHECKS_PER_REQUEST * arrivals)


def returning(nodes_gone: float) -> float:
    """Clients that come to each node that is left when so many nodes have gone."""
    return nodes_gone * t.CONNECTIONS_PER_NODE / (t.NODES - nodes_gone)
