"""What all parts of one balancer share: settings, random draws, the clock, and the actions to return."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from gradegap.balancing.actions import Action
from gradegap.balancing.model import NEVER
from gradegap.balancing.settings import ReportSource, Settings

COMPARED_REPORT_FIELDS = ("x0", "util", "inflight")
"""Fields of a load report that can be compared, best first: the first that reports have is used."""

CROSS_ZONE_LOAD_PER_POINT = 8.0
"""Load over capacity that weighs as much as one point of `Settings.cross_zone_cost`."""


class Context:
    """Owned by the `Balancer`, which sets `now` and `actions` for each event; parts append actions in order.

    All random draws come from one generator, so that the same events lead to the same decisions.
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
    """The field of load reports that is compared; empty where reports have none."""
    uses_hash_ring: bool
    cross_zone_load: float
    """Load over capacity that an endpoint of another zone is charged."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random_generator = Random(seed)
        self.random: Callable[[], float] = self.random_generator.random
        self.now = 0.0
        self.started_at = NEVER  # the time of the first event
        self.actions: list[Action] = []
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        """Decides by these settings from now on."""
        self.settings = settings
        self.uses_health_checks = settings.health_checks and settings.report_source is not ReportSource.NONE
        self.load_field = next(
            (name for name in COMPARED_REPORT_FIELDS if name in settings.report_fields), ""
        )
        self.uses_hash_ring = settings.connection_groups or settings.passthrough
        self.cross_zone_load = CROSS_ZONE_LOAD_PER_POINT * settings.cross_zone_cost
