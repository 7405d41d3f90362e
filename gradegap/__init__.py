"""gradegap: a proxy (node) that places long-lived client connections on save servers (endpoints)."""

from gradegap.balancing.balancer import Balancer

VERSION = "0.2.0"

__all__ = ["VERSION", "Balancer"]
