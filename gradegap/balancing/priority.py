"""The priority of requests: their weight for the load that they bring. It decides nothing.

Settings give a class's priority weight, a tenant's quota (a number of open connections over all proxies) and
what is left of the weight beyond it. The load of a class's connections is given nowhere beforehand; it is
learned from what endpoints report of established ones (`ConnectionObserved.load`). Until all classes are
known, all count alike.
"""

from __future__ import annotations

from gradegap.balancing.settings import ClassSettings, Settings

LOAD_GAIN = 0.02
"""Weight of one connection's load in the mean of its class."""

QUOTA_SLACK = 1.1
"""How far over its quota a tenant may be estimated before it counts: our own connections are but a sample."""


class PriorityWeights:
    """Priorities by class and tenant, as one proxy knows them."""

    __slots__ = ("connections_by_tenant", "load_by_class", "settings")

    settings: Settings

    def __init__(self, settings: Settings) -> None:
        self.connections_by_tenant: dict[str, int] = {}  # this proxy's own
        self.load_by_class: dict[str, float] = {}  # of one connection, in any unit, the same for all classes
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        """Computes by these settings from now on."""
        self.settings = settings

    def observe_load(self, class_name: str, load: float) -> None:
        """Takes over the present load of one established connection; unknown classes are ignored."""
        if load > 0.0 and class_name in self.settings.classes:
            known = self.load_by_class.get(class_name, load)
            self.load_by_class[class_name] = known + LOAD_GAIN * (load - known)

    def count_connections(self, tenant: str, change: int) -> None:
        """Adds to the established connections of a tenant; an empty name is none."""
        if tenant:
            self.connections_by_tenant[tenant] = self.connections_by_tenant.get(tenant, 0) + change

    def excess_share(self, tenant: str) -> float:
        """Returns the part of one more connection of a tenant that lies beyond its quota.

        The connections here times the number of proxies are held against it.
        """
        tenant_settings = self.settings.tenants.get(tenant)
        if tenant_settings is None or tenant_settings.quota <= 0.0:
            return 0.0
        everywhere = (self.connections_by_tenant.get(tenant, 0) + 1) * self.settings.proxy_count
        return max(0.0, 1.0 - QUOTA_SLACK * tenant_settings.quota / everywhere)

    def priority(self, class_settings: ClassSettings, tenant: str) -> float:
        """Returns the weight of one more request for its load, over the largest of any class: 0 to 1."""
        lost = (1.0 - self.settings.over_share_weight) * self.excess_share(tenant)
        largest = max(self._weight_per_load(each) for each in self.settings.classes.values()) or 1.0
        return min(1.0, self._weight_per_load(class_settings) / largest) * (1.0 - lost)

    def _weight_per_load(self, class_settings: ClassSettings) -> float:
        """Returns the priority weight for a unit of load; no load counts while any class's is unknown."""
        if len(self.load_by_class) < len(self.settings.classes):
            return class_settings.priority_weight
        return class_settings.priority_weight / self.load_by_class.get(class_settings.name, 1.0)
