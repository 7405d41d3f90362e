"""What the operator sets for recordings."""

from __future__ import annotations

from typing import Annotated

import msgspec


class CaptureSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[capture]` table: recordings of the balancer's events and actions, in a ring of files."""

    folder: str
    on: bool = True  # from the start; `config/capture` of the store, or SIGUSR2, turns it on and off
    part_mb: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 16  # MiB of one file
    total_mb: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 256  # MiB of all
    age_s: Annotated[int, msgspec.Meta(ge=1)] = 7 * 24 * 3600  # after which a file goes
    state_s: Annotated[float, msgspec.Meta(ge=1.0, le=3600.0)] = 30.0  # between two states to begin at
    hide: str = ""  # a file with a key: players' ids are recorded, and decided by, as a keyed hash
