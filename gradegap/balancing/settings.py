"""The settings of one proxy: request classes, tenants, limits and costs.

All times are in seconds, as floats. This module contains no decision logic. Error messages use the names that
the fields have in recordings, since an operator knows them by these.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """The effect of executing a request of a class a second time."""

    IDEMPOTENT = "safe"  # no effect: a request may be repeated freely
    KEYED = "keyed"  # no effect at the endpoints that drop duplicates, for a limited time
    NON_IDEMPOTENT = "unsafe"  # harmful: repeat only if no earlier attempt can have run


class DeduplicationScope(Enum):
    """The set of endpoints that together drop duplicates of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ReportSource(Enum):
    """How endpoints report their load."""

    ANSWERS = "answers"  # in the answers to attempts and to health checks
    PROBE = "probe"  # in the answers to health checks only
    NONE = "none"


class WeightMeaning(Enum):
    """The meaning of the weights in the endpoint list."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"  # capacity / (1 + connections per core), delivered with a delay


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One class of requests. Durations are in seconds."""

    name: str
    latency_objective: float = 0.5  # an answer within this time counts with its full weight
    time_limit: float = 2.0  # longest time that the client waits in total
    priority_weight: float = 1.0  # value of serving one request, relative to other classes
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0  # keyed: how long endpoints remember a request to drop duplicates
    message_latency_objective: float = 0.0  # for each message on an established connection; 0: no objective


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """One customer of the service."""

    name: str
    quota: float = 0.0  # open connections over all proxies, or requests per second; 0: no quota
    share: float = 0.0  # fraction of the service that the tenant is entitled to


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one proxy. Durations are in seconds, costs in points.

    A point is the cost unit of the settings. `context.CROSS_ZONE_LOAD_PER_POINT` converts the cross-zone cost
    to load.

    Raises:
        ValueError: A value is out of range, or there is no request class.
    """

    classes: Mapping[str, ClassSettings]
    proxy_count: int = 1
    zone: str = ""
    polls_endpoints: bool = False  # discovery sends the endpoint list only on request
    poll_within: float = 10.0  # the next call to discovery is due within this time
    drain_grace: float = 1.0
    response_slack: float = 0.0
    connect_timeout: float = 0.2  # a connection attempt that takes longer has failed
    max_attempts: int = 3
    max_retry_after: float = 0.0  # 0: clients get no retry-after advice
    health_checks: bool = True
    report_source: ReportSource = ReportSource.NONE
    report_fields: tuple[str, ...] = ()
    weight_meaning: WeightMeaning = WeightMeaning.NONE
    connection_groups: bool = False  # connections of one group share work on an endpoint
    passthrough: bool = False  # packets are forwarded unterminated: connections outlive the proxy
    slow_start_share: float = 1.0  # least fraction of its capacity that an endpoint has when it starts
    slow_start_time: float = 0.0  # time after which an endpoint has its full capacity
    overload_multiple: float = 3.0  # multiple of its sustainable rate above which a warming endpoint fails
    overload_window: float = 1.0  # time for which a warming endpoint survives a higher rate
    cross_zone_cost: float = 0.0  # points for a request that is sent to another zone
    migration_cost: float = 0.0  # points for one migration of a client
    health_check_cost: float = 0.0  # points for one health check per request
    cpu_per_request: float = 0.0  # CPU seconds; 0: no limit
    tenants: Mapping[str, TenantSettings] = field(default_factory=dict)
    over_share_weight: float = 1.0  # factor on the weight of requests beyond their tenant's quota

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings must define at least one request class, got no class")
        if self.proxy_count < 1:
            raise ValueError(f"balancers must be at least 1, got {self.proxy_count}")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts must be at least 1, got {self.max_attempts}")
        if not 0.0 <= self.slow_start_share <= 1.0:
            raise ValueError(f"cold_share must be between 0 and 1, got {self.slow_start_share}")
        for name, duration in (
            ("ask_within", self.poll_within),
            ("drain_grace", self.drain_grace),
            ("answer_slack", self.response_slack),
            ("cold_time", self.slow_start_time),
            ("fall_time", self.overload_window),
            ("max_retry_after", self.max_retry_after),
        ):
            if duration < 0:
                raise ValueError(f"{name} must be at least 0 s, got {duration}")
        for class_settings in self.classes.values():
            if (
                class_settings.latency_objective < 0
                or class_settings.time_limit < 0
                or class_settings.deduplication_window < 0
            ):
                raise ValueError(
                    f"class {class_settings.name!r}: times must be at least 0 s, got "
                    f"latency objective {class_settings.latency_objective}, time limit "
                    f"{class_settings.time_limit}, deduplication window {class_settings.deduplication_window}"
                )
