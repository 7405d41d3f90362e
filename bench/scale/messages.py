"""Messages between a run and its child processes: JSON lines, commands tagged by `do`.

A hollow process answers each command with one line; the gate answers none. Processes that listen report
their ports once, before anything else.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Start(msgspec.Struct, tag_field="do", tag="start"):
    """Starts all nodes, spread over the time in the specification."""


class GetStatus(msgspec.Struct, tag_field="do", tag="status"):
    """Requests a `NodeStatus`."""


class BeginWindow(msgspec.Struct, tag_field="do", tag="window"):
    """Starts the measured window."""


class EndWindow(msgspec.Struct, tag_field="do", tag="measure"):
    """Ends the measured window."""


class Restart(msgspec.Struct, tag_field="do", tag="restart"):
    """Stops some nodes at once, and starts them again after a delay."""

    nodes: list[int]  # indexes of the nodes in the process


class Finish(msgspec.Struct, tag_field="do", tag="finish"):
    """Writes a `ProcessRecord` to a file."""

    path: str


HollowCommand = Start | GetStatus | BeginWindow | EndWindow | Restart | Finish


class Done(msgspec.Struct):
    """Reports that a command is done; the answer to all commands but `GetStatus`."""


class NodeStatus(msgspec.Struct):
    """Readiness of the nodes of a process."""

    nodes: int
    ready: int  # number of nodes that hold a lease and have an endpoint list
    least_revision: int


class CutRegion(msgspec.Struct, tag_field="do", tag="cut"):
    """Cuts all traffic across the border of a region."""

    region: str


class HealRegion(msgspec.Struct, tag_field="do", tag="heal"):
    """Ends the cut."""


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
    OBJECTS = "objects"  # number of objects that the garbage collector tracks
