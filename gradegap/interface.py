"""What the decisions in `choice.py` take and give: settings, events and actions.

All times are seconds as floats: clock times where a field says "at", lengths otherwise.
Nothing in this file decides anything.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple


class Repeat(Enum):
    """What a second run of a request of a class would do."""

    SAFE = "safe"  # nothing: repeat at will
    KEYED = "keyed"  # nothing, inside the group of servers that drops repeats, for a while
    UNSAFE = "unsafe"  # harm: repeat only when no earlier attempt can have run


class RepeatGroup(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Reports(Enum):
    """How servers report their load."""

    ANSWERS = "answers"  # with outcomes and with probe results
    PROBE = "probe"  # with probe results only
    NONE = "none"


class Weights(Enum):
    """What the weight in the server list means."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"  # size over (1 + requests held a core), some time ago


class Phase(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    FAILED = 0  # a call to the list service failed, or the subscription broke
    CACHED = 1  # the whole list as this proxy last held it
    DELTA = 2  # changed entries only
    FULL = 4  # the whole list


class Result(IntEnum):
    """How an attempt or a probe ended."""

    OK = 10
    ERROR = 20  # the server answered with an error; may have run
    FULL = 30  # turned away unseen; never ran
    TIMEOUT = 40  # may have run
    CONNECT_FAILED = 50  # never ran
    RESET = 60  # may have run
    CANCELLED = 70  # may have run
    MOOT = 80  # never sent


NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.MOOT})


@dataclass(slots=True, frozen=True)
class ClassSettings:
    name: str
    aim: float = 0.5  # an answer within this has its full worth
    limit: float = 2.0  # the client's whole wait
    worth: float = 1.0
    repeat: Repeat = Repeat.SAFE
    group: RepeatGroup = RepeatGroup.ALL
    repeat_window: float = 0.0  # keyed: how long servers remember a request
    message_aim: float = 0.0  # wanted time of one message on a standing connection; 0: none


@dataclass(slots=True, frozen=True)
class TenantSettings:
    name: str
    quota: float = 0.0  # open connections over all proxies within its share, or requests a second; 0: none
    share: float = 0.0  # of the service


@dataclass(slots=True, frozen=True)
class Settings:
    """What one proxy is told at its start."""

    classes: Mapping[str, ClassSettings]
    balancers: int = 1
    zone: str = ""
    ask_for_list: bool = False  # the list comes only when asked for
    ask_within: float = 10.0
    drain_grace: float = 1.0
    answer_slack: float = 0.0
    connect_timeout: float = 0.2  # a connection not up within this has failed
    max_attempts: int = 3
    max_retry_after: float = 0.0  # 0: no advice is passed on to clients
    probes: bool = True
    reports: Reports = Reports.NONE
    report_fields: tuple[str, ...] = ()
    weights: Weights = Weights.NONE
    groups: bool = False  # connections of one group share work on a server
    passes: bool = False  # packets pass through: connections outlive the proxy
    cold_share: float = 1.0  # a server starts with at least this part of its capacity
    cold_time: float = 0.0  # and is warm within this time
    fall_multiple: float = 3.0
    fall_time: float = 1.0
    cross_zone_price: float = 0.0  # points of service for a request that crosses zones
    move_price: float = 0.0  # points of service for a client moved once
    probe_price: float = 0.0  # points of service for one probe a request
    cpu_per_request: float = 0.0  # seconds; 0: no limit
    tenants: Mapping[str, TenantSettings] = field(default_factory=dict)
    over_share_worth: float = 1.0  # part of its worth that a request beyond its tenant's share has

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings name no class of requests")
        if self.balancers < 1:
            raise ValueError(f"balancers must be 1 or more, not {self.balancers}")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts must be 1 or more, not {self.max_attempts}")
        if not 0.0 <= self.cold_share <= 1.0:
            raise ValueError(f"cold_share must lie between 0 and 1, not {self.cold_share}")
        lengths = ("ask_within", "drain_grace", "answer_slack", "cold_time", "fall_time", "max_retry_after")
        for name in lengths:
            if getattr(self, name) < 0:
                raise ValueError(f"{name} must not be negative, but is {getattr(self, name)}")
        for each in self.classes.values():
            if each.aim < 0 or each.limit < 0 or each.repeat_window < 0:
                raise ValueError(f"class {each.name!r} has a negative time")


# Events


class ServerEntry(NamedTuple):
    server: str
    zone: str = ""
    cell: int = 0
    phase: Phase = Phase.READY
    weight: float = 1.0
    started_at: float = 0.0  # latest start; 0: long ago
    leaves_in: float = 0.0  # s that it stays from when it is told to drain; 0: not told


class ServerList(NamedTuple):
    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


class Request(NamedTuple):
    id: int
    cls: str
    deadline_at: float
    tenant: str = ""
    key: str = ""
    team: str = ""  # group of connections that share work
    load: float = 0.0  # expected load, 0: not told
    retry: bool = False
    mid_flow: bool = False
    reconnect: bool = False


class Inherited(NamedTuple):
    """A connection that already stands, through this proxy, at its start: its attempt 0."""

    request: Request
    server: str


class Established(NamedTuple):
    """The connection stands."""

    id: int
    attempt: int
    server: str
    spent: float


class Note(NamedTuple):
    """News of a standing connection: its load now, or how long a message takes (seconds)."""

    id: int
    server: str
    load: float | None = None
    message_delay: float | None = None


class Outcome(NamedTuple):
    id: int
    attempt: int
    server: str
    result: Result
    spent: float
    settled: bool
    report: Mapping[str, float] | None = None


class ClientGone(NamedTuple):
    id: int


class Timer(NamedTuple):
    token: str


class ProbeResult(NamedTuple):
    server: str
    result: Result
    spent: float
    report: Mapping[str, float] | None = None


class Leaving(NamedTuple):
    """This proxy is about to stop: every connection it holds must have been told to move by then."""

    by: float
    ends: bool = False  # its process ends as well: whatever is not out to a server by now never will be


class Returned(NamedTuple):
    """This proxy stays after all: `Leaving` is taken back."""


Event = (
    ServerList
    | Request
    | Inherited
    | Established
    | Note
    | Outcome
    | ClientGone
    | Timer
    | ProbeResult
    | Leaving
    | Returned
)


# Actions


class Send(NamedTuple):
    id: int
    server: str
    timeout: float
    begin_within: float = math.inf  # s, after which it may not be written any more


class Refuse(NamedTuple):
    """Final answer: trying again is harmless, after a while where one is given."""

    id: int
    retry_after: float = 0.0


class Fail(NamedTuple):
    """Final answer that promises nothing."""

    id: int


class Move(NamedTuple):
    """End a standing connection politely; its client comes again."""

    id: int


class SetTimer(NamedTuple):
    wait: float
    token: str


class Probe(NamedTuple):
    server: str


class WatchList(NamedTuple):
    """Ask the list service for changes from now on."""


class Log(NamedTuple):
    text: str


Action = Send | Refuse | Fail | Move | SetTimer | Probe | WatchList | Log
