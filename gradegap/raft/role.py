"""The states of a member (Raft paper, figure 4)."""

from __future__ import annotations

import enum


class Role(enum.Enum):
    """What a member does at present."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
