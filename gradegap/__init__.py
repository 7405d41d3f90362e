"""gradegap: a node that places long-lived connections, and its decisions."""

from gradegap.choice import Balancer

VERSION = "0.2.0"

__all__ = ["VERSION", "Balancer"]
