"""Roles of a member (Raft paper, figure 4)."""

from __future__ import annotations

import enum


class Role(enum.Enum):
    """The role of a member; the values are printed by `gradegap store status`."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
