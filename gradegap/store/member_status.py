"""The status of a member and its cluster, as printed by `gradegap store status`."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from gradegap.raft import Raft
from gradegap.store.host import RequestHost


def member_status(host: RequestHost, nodes: dict[str, Any]) -> dict[str, Any]:
    """Returns the current status; `nodes` is the reported state of nodes by name."""
    now = time.monotonic()
    raft = host.raft
    status: dict[str, Any] = {
        "name": host.settings.name,
        "id": host.identity.id,
        "cluster": host.identity.cluster,
        "revision": host.machine.revision,
        "keys": len(host.machine.items),
        "removed": host.removed,
        "held_lease_ms": max(0, round((host.holder.until - now) * 1000)),
        "nodes": nodes,
    }
    if raft is None:
        return status | {"role": "stopped" if host.removed else "forming", "members": []}
    leader = raft.configuration.get(raft.leader_id)
    consensus: dict[str, Any] = msgspec.to_builtins(raft.status(now))
    consensus["leader"] = leader.name if leader is not None else ""
    if host.granter is not None:
        consensus["leases"] = len(host.granter.grants)
    return status | consensus | {"members": _members(raft, now)}


def _members(raft: Raft, now: float) -> list[dict[str, Any]]:
    rows = []
    for member in raft.configuration.members:
        row: dict[str, Any] = {
            "name": member.name,
            "id": member.id,
            "address": member.address,
            "voter": member.voter,
            "leader": member.id == raft.leader_id,
        }
        progress = raft.peers.get(member.id)
        if progress is not None:
            silent_ms = max(0, round((now - progress.last_response_at) * 1000))
            row |= {"match": progress.match_index, "silent_ms": silent_ms}
        rows.append(row)
    return rows
