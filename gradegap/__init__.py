"""gradegap: the decisions of a balancer for long-lived connections."""

from gradegap.choice import Balancer

__all__ = ["Balancer"]
