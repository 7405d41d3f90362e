"""The priority of requests: their priority weight per unit of load. No decision logic.

Settings define the priority weight of a class, the quota of a tenant (open connections over all proxies) and
the factor on the weight of requests beyond the quota. The load of a connection is not configured; it is
learned per class from what endpoints report about established connections (`ConnectionObserved.load`). Until
the load of every class is known, the classes are assumed to have equal loads.
"""

from __future__ import annotations

from gradegap.balancing.settings import ClassSettings, Settings

LOAD_GAIN = 0.02
"""Weight of one observed load in the moving average of its class."""

QUOTA_SLACK = 1.1
"""Factor on a quota above which a tenant counts as over it.

The margin allows for the error of the estimate, which extrapolates from this proxy's own connections.
"""


class PriorityWeights:
    """Priorities by class and tenant, from the observations of one proxy."""

    __slots__ = ("connections_by_tenant", "load_by_class", "settings")

    settings: Settings

    def __init__(self, settings: Settings) -> None:
        self.connections_by_tenant: dict[str, int] = {}  # open connections at this proxy
        self.load_by_class: dict[str, float] = {}  # mean load per connection; same unit for all classes
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        """Replaces the settings in force."""
        self.settings = settings

    def observe_load(self, class_name: str, load: float) -> None:
        """Records the current load of one established connection; unknown classes are ignored."""
        if load > 0.0 and class_name in self.settings.classes:
            known = self.load_by_class.get(class_name, load)
            self.load_by_class[class_name] = known + LOAD_GAIN * (load - known)

    def count_connections(self, tenant: str, change: int) -> None:
        """Adds `change` to the connection count of a tenant; an empty name means no tenant."""
        if tenant:
            self.connections_by_tenant[tenant] = self.connections_by_tenant.get(tenant, 0) + change

    def excess_share(self, tenant: str) -> float:
        """Returns the fraction of a tenant's connections beyond its quota, if this proxy had one more.

        The connections over all proxies are estimated as those of this proxy times the number of proxies.
        """
        tenant_settings = self.settings.tenants.get(tenant)
        if tenant_settings is None or tenant_settings.quota <= 0.0:
            return 0.0
        estimated_total = (self.connections_by_tenant.get(tenant, 0) + 1) * self.settings.proxy_count
        return max(0.0, 1.0 - QUOTA_SLACK * tenant_settings.quota / estimated_total)

    def priority(self, class_settings: ClassSettings, tenant: str) -> float:
        """Returns the priority weight per load of a request, relative to the largest of any class: 0 to 1."""
        penalty = (1.0 - self.settings.over_share_weight) * self.excess_share(tenant)
        largest = max(self._weight_per_load(each) for each in self.settings.classes.values()) or 1.0
        return min(1.0, self._weight_per_load(class_settings) / largest) * (1.0 - penalty)

    def _weight_per_load(self, class_settings: ClassSettings) -> float:
        """Returns the priority weight per unit of load; loads are ignored until all classes have one."""
        if len(self.load_by_class) < len(self.settings.classes):
            return class_settings.priority_weight
        return class_settings.priority_weight / self.load_by_class.get(class_settings.name, 1.0)
