"""Messages between a run and its child processes: JSON lines, commands tagged by `do`.

A hollow process answers each command with one line; the gate answers none. Processes that listen report
their ports once, before anything else.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Start(msgspec.Struct, tag_field="do", tag="start"):
    """Start all nodes, spread over the time that the specification gives."""


class GetStatus(msgspec.Struct, tag_field="do", tag="status"):
    """Answer with a `NodeStatus`."""


class BeginWindow(msgspec.Struct, tag_field="do", tag="window"):
    """Begin the measured window."""


class EndWindow(msgspec.Struct, tag_field="do", tag="measure"):
    """End the measured window."""


class Restart(msgspec.Struct, tag_field="do", tag="restart"):
    """Stop some nodes at once, and start them again after a while."""

    nodes: list[int]  # their numbers in the process


class Finish(msgspec.Struct, tag_field="do", tag="finish"):
    """Write a `ProcessRecord`."""

    path: str


HollowCommand = Start | GetStatus | BeginWindow | EndWindow | Restart | Finish


class Done(msgspec.Struct):
    """A command has been carried out; the answer to all but `GetStatus`."""


class NodeStatus(msgspec.Struct):
    """How far the nodes of a process are."""

    nodes: int
    ready: int  # that hold a lease and know the endpoint list
    least_revision: int


class CutRegion(msgspec.Struct, tag_field="do", tag="cut"):
    """Let nothing pass the border of a region."""

    region: str


class HealRegion(msgspec.Struct, tag_field="do", tag="heal"):
    """Let everything pass again."""


GateCommand = CutRegion | HealRegion


class GatePorts(msgspec.Struct):
    """The ports of the gate, in the order of its listeners."""

    ports: list[int]


class DiscoveryPort(msgspec.Struct):
    """The port of the scripted discovery."""

    discovery: int


class MeterCommand(StrEnum):
    """A line to the meter of `watched_node`, which answers each with a number."""

    LONGEST = "longest"  # ms, the longest delay of the loop since the last such command
    COLLECT = "collect"  # ms of a full garbage collection, which it runs
    OBJECTS = "objects"  # how many objects the collector tracks
