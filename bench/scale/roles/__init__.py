"""Figures of each role at the target size, derived from slopes: ordinary hour and worst moments.

Each role has a module. `ROLES` maps the name of a table in docs/CAPACITY.md to the function of its rows.
"""

from __future__ import annotations

from collections.abc import Callable

from bench.scale.roles import (
    client,
    control_machine,
    control_plane,
    data_plane,
    discovery,
    largest_group,
    save_server,
)
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook

__all__ = ["ROLES", "Row"]

ROLES: dict[str, Callable[[SlopeBook], list[Row]]] = {
    "data-side": data_plane.rows,
    "control-side": control_plane.rows,
    "control-machine": control_machine.rows,
    "discovery": discovery.rows,
    "save-server": save_server.rows,
    "client": client.rows,
    "skew": largest_group.rows,
}
