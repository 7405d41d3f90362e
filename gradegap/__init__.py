"""gradegap: a node that places long-lived connections, and its decisions."""

from gradegap.balancing.balancer import Balancer

VERSION = "0.2.0"

__all__ = ["VERSION", "Balancer"]
