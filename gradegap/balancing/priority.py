"""What it is worth to serve a request, for the load that it brings. It decides nothing.

Settings tell a class's worth, a tenant's share (as a number of open connections over all proxies) and what is
left of the worth beyond it. What a connection of a class asks of a server is told nowhere beforehand; it is
learned from what servers tell of standing ones (`Note.load`). Until all classes are known, all count alike.
"""

from __future__ import annotations

from gradegap.balancing.settings import ClassSettings, Settings

LEARN = 0.02  # part of one connection's load in its class's mean
SLACK = 1.1  # how far over its share a tenant is reckoned before it counts: own connections are but a sample


class PriorityWeights:
    """Worth by class and tenant, as one proxy knows it."""

    __slots__ = ("held", "loads", "set")

    def __init__(self, settings: Settings) -> None:
        self.held: dict[str, int] = {}  # own connections by tenant
        self.loads: dict[str, float] = {}  # of a connection, by class, in no certain unit
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        self.set = settings

    def _rate(self, cls: ClassSettings) -> float:
        """Worth a second for a unit of load; where a class's load is not known, no class's is used."""
        known = len(self.loads) >= len(self.set.classes)
        return cls.priority_weight / self.loads.get(cls.name, 1.0) if known else cls.priority_weight

    def told(self, cls: str, load: float) -> None:
        """What one standing connection asks of its server now."""
        if load > 0.0 and cls in self.set.classes:
            known = self.loads.get(cls, load)
            self.loads[cls] = known + LEARN * (load - known)

    def stands(self, tenant: str, more: int) -> None:
        if tenant:
            self.held[tenant] = self.held.get(tenant, 0) + more

    def over(self, tenant: str) -> float:
        """The part of one more connection of this tenant that lies beyond its share, by what stands here
        times the proxies."""
        told = self.set.tenants.get(tenant)
        if told is None or told.quota <= 0.0:
            return 0.0
        stand = (self.held.get(tenant, 0) + 1) * self.set.proxy_count
        return max(0.0, 1.0 - SLACK * told.quota / stand)

    def of(self, cls: ClassSettings, tenant: str) -> float:
        """From 0 to 1: the worth of serving one more, for its load, over the most that any class is worth."""
        beyond = (1.0 - self.set.over_share_weight) * self.over(tenant)
        top = max(self._rate(c) for c in self.set.classes.values()) or 1.0
        return min(1.0, self._rate(cls) / top) * (1.0 - beyond)
