"""The state shared by all parts of one balancer: settings, random numbers, the clock, pending actions."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from gradegap.balancing.actions import Action
from gradegap.balancing.model import NEVER
from gradegap.balancing.settings import ReportSource, Settings

COMPARED_REPORT_FIELDS = ("x0", "util", "inflight")
"""Fields of a load report by which endpoints can be compared, in order of preference."""

CROSS_ZONE_LOAD_PER_POINT = 8.0
"""Load, relative to capacity, that weighs as much as one point of `Settings.cross_zone_cost`."""


class Context:
    """Shared state, owned by the `Balancer`, which sets `now` and `actions` before it handles an event.

    The parts append their actions in order. All random numbers come from one seeded generator, so that the
    same events lead to the same decisions.
    """

    __slots__ = (
        "actions",
        "cross_zone_load",
        "load_field",
        "now",
        "random",
        "random_generator",
        "settings",
        "started_at",
        "uses_hash_ring",
        "uses_health_checks",
    )

    settings: Settings
    uses_health_checks: bool
    load_field: str
    """The field of load reports by which endpoints are compared; empty if reports have none of them."""
    uses_hash_ring: bool
    cross_zone_load: float
    """Load, relative to capacity, that is added to an endpoint of another zone in comparisons."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random_generator = Random(seed)
        self.random: Callable[[], float] = self.random_generator.random
        self.now = 0.0
        self.started_at = NEVER  # the time of the first event
        self.actions: list[Action] = []
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        """Replaces the settings in force."""
        self.settings = settings
        self.uses_health_checks = settings.health_checks and settings.report_source is not ReportSource.NONE
        self.load_field = next(
            (name for name in COMPARED_REPORT_FIELDS if name in settings.report_fields), ""
        )
        self.uses_hash_ring = settings.connection_groups or settings.passthrough
        self.cross_zone_load = CROSS_ZONE_LOAD_PER_POINT * settings.cross_zone_cost
