"""ochrewharf: the decisions of a balancer for long-lived connections."""

from ochrewharf.choice import Balancer

__all__ = ["Balancer"]
