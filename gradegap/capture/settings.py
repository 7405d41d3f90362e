"""The operator's settings of recordings."""

from __future__ import annotations

from typing import Annotated

import msgspec


class CaptureSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[capture]` table: recordings of the balancer's events and actions, in a ring of files."""

    folder: str
    on: bool = True  # at start; `config/capture` in the store and SIGUSR2 turn recording on and off
    part_mb: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 16  # size in MiB after which a new file is started
    total_mb: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 256  # limit of the total size in MiB
    age_s: Annotated[int, msgspec.Meta(ge=1)] = 7 * 24 * 3600  # age in s after which a file is deleted
    state_s: Annotated[float, msgspec.Meta(ge=1.0, le=3600.0)] = 30.0  # time in s between two states
    hide: str = ""  # path of a key file; if set, players' ids are replaced by a keyed hash
