"""What the operator sets for resumable sessions."""

from __future__ import annotations

from typing import Annotated

import msgspec


class ResumeSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[resume]` table: sessions that go on at another server, by a token."""

    life_s: Annotated[int, msgspec.Meta(ge=10, le=600)] = 600  # for which a token may be used
