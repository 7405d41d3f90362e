"""Settings of one proxy: classes of requests, tenants, limits and costs.

All times are seconds as floats. Nothing in this file decides anything.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What a second run of a request of a class would do."""

    IDEMPOTENT = "safe"  # nothing: repeat at will
    KEYED = "keyed"  # nothing, within the group of endpoints that drops repeats, for a while
    NON_IDEMPOTENT = "unsafe"  # harm: repeat only when no earlier attempt can have run


class DeduplicationScope(Enum):
    """Which endpoints drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ReportSource(Enum):
    """How endpoints report their load."""

    ANSWERS = "answers"  # with outcomes and with the results of health checks
    PROBE = "probe"  # with the results of health checks only
    NONE = "none"


class WeightMeaning(Enum):
    """What the weight in the endpoint list means."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"  # size over (1 + requests held a core), some time ago


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One class of requests."""

    name: str
    latency_objective: float = 0.5  # an answer within this has its full weight
    time_limit: float = 2.0  # the client's whole wait
    priority_weight: float = 1.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0  # keyed: how long endpoints remember a request
    message_latency_objective: float = 0.0  # wanted time of one message on an established connection; 0: none


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """One customer of the fleet."""

    name: str
    quota: float = 0.0  # open connections over all proxies within its share, or requests a second; 0: none
    share: float = 0.0  # of the service


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one proxy; raises `ValueError` for those that no proxy can serve by."""

    classes: Mapping[str, ClassSettings]
    proxy_count: int = 1
    zone: str = ""
    polls_endpoints: bool = False  # the endpoint list comes only when called for
    poll_within: float = 10.0
    drain_grace: float = 1.0
    response_slack: float = 0.0
    connect_timeout: float = 0.2  # a connection not established within this has failed
    max_attempts: int = 3
    max_retry_after: float = 0.0  # 0: no advice is passed on to clients
    health_checks: bool = True
    report_source: ReportSource = ReportSource.NONE
    report_fields: tuple[str, ...] = ()
    weight_meaning: WeightMeaning = WeightMeaning.NONE
    connection_groups: bool = False  # connections of one group share work on an endpoint
    passthrough: bool = False  # packets pass through: connections outlive the proxy
    slow_start_share: float = 1.0  # an endpoint starts with at least this part of its capacity
    slow_start_time: float = 0.0  # and is warm within this time
    overload_multiple: float = 3.0
    overload_window: float = 1.0
    cross_zone_cost: float = 0.0  # points of service for a request that crosses zones
    migration_cost: float = 0.0  # points of service for a client migrated once
    health_check_cost: float = 0.0  # points of service for one health check a request
    cpu_per_request: float = 0.0  # seconds; 0: no limit
    tenants: Mapping[str, TenantSettings] = field(default_factory=dict)
    over_share_weight: float = 1.0  # part of its weight that a request beyond its tenant's quota has

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings name no class of requests")
        if self.proxy_count < 1:
            raise ValueError(f"balancers must be 1 or more, not {self.proxy_count}")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts must be 1 or more, not {self.max_attempts}")
        if not 0.0 <= self.slow_start_share <= 1.0:
            raise ValueError(f"cold_share must lie between 0 and 1, not {self.slow_start_share}")
        for name, length in (
            ("ask_within", self.poll_within),
            ("drain_grace", self.drain_grace),
            ("answer_slack", self.response_slack),
            ("cold_time", self.slow_start_time),
            ("fall_time", self.overload_window),
            ("max_retry_after", self.max_retry_after),
        ):
            if length < 0:
                raise ValueError(f"{name} must not be negative, but is {length}")
        for each in self.classes.values():
            if each.latency_objective < 0 or each.time_limit < 0 or each.deduplication_window < 0:
                raise ValueError(f"class {each.name!r} has a negative time")
