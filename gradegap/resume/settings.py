"""The operator's settings for resumable sessions."""

from __future__ import annotations

from typing import Annotated

import msgspec


class ResumeSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[resume]` table, which enables sessions that continue at another server with a token."""

    life_s: Annotated[int, msgspec.Meta(ge=10, le=600)] = 600  # lifetime of a token, in seconds
