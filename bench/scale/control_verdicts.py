"""Verdicts on the control side: configuration changes, and the cost of the control side of a node."""

from __future__ import annotations

from dataclasses import dataclass

from bench.scale import target
from bench.scale.full_size import ControlResult, busiest_machine_share, clock, node_memory, ordinary_day
from bench.scale.rates import HEALTH_CHECK_BYTES, S_PER_US, health_checks_per_s, lease_renewals_per_s
from bench.scale.slope_book import SlopeBook, figure, in_bytes, share
from bench.scale.verdict import BY_SLOPE, FULL_SIZE, NOT_HELD, NOT_RUN, Verdict, held
from gradegap.balancing.health_checks import HEALTH_CHECK_INTERVAL_FULL_S, HEALTH_CHECK_INTERVAL_IDLE_S


@dataclass(frozen=True)
class HealthCheckCost:
    """Cost of the health checks of one node: calls and bytes per second, and the share of a core."""

    calls_per_s: float
    bytes_per_s: float
    core: float

    @classmethod
    def at(cls, book: SlopeBook, arrivals_per_s: float, interval_s: float) -> HealthCheckCost:
        """Returns the cost at `arrivals_per_s` requests, with each endpoint checked every `interval_s`."""
        calls = health_checks_per_s(target.SERVERS, arrivals_per_s, interval_s)
        core = calls * book.at("probe", target.SERVERS).value * S_PER_US
        return cls(calls, calls * HEALTH_CHECK_BYTES, core)


@dataclass(frozen=True)
class ControlCost:
    """Cost of the lease renewals and health checks of one node, derived from the slopes.

    `busy_checks` is the cost of health checks when connections last ten minutes and servers are full.
    """

    renewal_bytes_per_s: float
    renewal_core: float
    checks: HealthCheckCost
    busy_checks: HealthCheckCost

    @classmethod
    def by_slope(cls, book: SlopeBook) -> ControlCost:
        """Returns the cost that follows from the committed slopes."""
        renewals = lease_renewals_per_s()
        measured = book.get("renewal_bytes").points[0]
        return cls(
            renewals * measured.median / measured.size,
            renewals * book.at("subscriber_renewal", 1).value * S_PER_US,
            HealthCheckCost.at(book, target.ARRIVALS_PER_NODE, HEALTH_CHECK_INTERVAL_IDLE_S),
            HealthCheckCost.at(book, target.ARRIVALS_PER_NODE_2, HEALTH_CHECK_INTERVAL_FULL_S),
        )

    @property
    def bytes_per_s(self) -> float:
        """Bytes per second of renewals and health checks together."""
        return self.renewal_bytes_per_s + self.checks.bytes_per_s

    @property
    def core(self) -> float:
        """Share of a core that renewals and health checks use together."""
        return self.renewal_core + self.checks.core

    @property
    def busy_core(self) -> float:
        """Share of a core that renewals and the busier health checks use together."""
        return self.renewal_core + self.busy_checks.core

    def core_verdict(self) -> str:
        """Returns the verdict on the limit of processor time."""
        return (
            f"{held(self.core, target.CONTROL_CORE_SHARE, BY_SLOPE)}, "
            "with connections of ten minutes and full servers "
            f"{held(self.busy_core, target.CONTROL_CORE_SHARE, BY_SLOPE)}"
        )

    def health_check_core(self) -> str:
        """Describes the processor time of health checks."""
        return (
            f"{share(self.checks.core)} for {figure(self.checks.calls_per_s)} probes/s on top, "
            f"{share(self.busy_checks.core)} with connections of ten minutes and full servers"
        )

    def bytes_verdict(self) -> str:
        """Returns the verdict on the limit of bytes per second with health checks included."""
        return f"; with probes: {held(self.bytes_per_s, target.CONTROL_BYTES_PER_S, BY_SLOPE)}"

    def health_check_bytes(self) -> str:
        """Describes the bytes per second of health checks."""
        return (
            f"with the probes of {figure(target.ARRIVALS_PER_NODE)} requests/s on top, "
            f"{in_bytes(self.checks.bytes_per_s)}/s more, "
            f"it is {figure(self.bytes_per_s / target.CONTROL_BYTES_PER_S)} times the limit"
        )


def control_verdicts(book: SlopeBook, runs: dict[str, ControlResult]) -> list[Verdict]:
    """Returns verdicts from the run at full size if one is committed, else from the slopes alone."""
    cost = ControlCost.by_slope(book)
    found = ordinary_day(runs)
    if found is None:
        return _by_slopes(book, cost)
    name, run = found
    where = f"`{name}`, {run.servers} servers, {clock(run)}"
    return [
        _in_force(run, where),
        *_cost_at_full_size(run, where, cost),
        _control_machines(book, run, where),
    ]


def _by_slopes(book: SlopeBook, cost: ControlCost) -> list[Verdict]:
    not_committed = "no run of 1,600 hollow nodes is committed"
    return [
        Verdict("1,200 changes a day, in force within 10 s", NOT_RUN, not_committed),
        Verdict(
            "control within 1.1% of a core",
            cost.core_verdict(),
            f"{share(cost.core)} for renewals, without sockets, and probes; of it {cost.health_check_core()}",
        ),
        Verdict("control within 256 MB", NOT_RUN, not_committed),
        Verdict(
            "control within 3 KB a second",
            BY_SLOPE + cost.bytes_verdict(),
            f"{in_bytes(cost.renewal_bytes_per_s)}/s for renewals; {cost.health_check_bytes()}",
        ),
        Verdict("6 control machines", BY_SLOPE, _machines_by_slope(book)),
    ]


def _in_force(run: ControlResult, where: str) -> Verdict:
    longest = run.in_force_s["max"]
    verdict = FULL_SIZE if not run.missing else f"{NOT_HELD}: {run.missing} missing"
    return Verdict(
        "1,200 changes a day, in force within 10 s",
        f"{held(longest, target.IN_FORCE_S, verdict)}; 99 in 100 within 1 s, our own aim: "
        f"{held(run.in_force_s['p99'], target.IN_FORCE_P99_OBJECTIVE_S, verdict)}",
        f"p99 {figure(run.in_force_s['p99'])} s, largest {figure(longest)} s of {run.changes} changes, "
        f"{run.missing} missing, {run.leases_lost:,} leases lost; {where}, the day's changes "
        f"{figure(run.acceleration)} times as often",
    )


def _cost_at_full_size(run: ControlResult, where: str, cost: ControlCost) -> list[Verdict]:
    core, sent = run.node_core_share, run.control_bytes_per_node_s
    return [
        Verdict(
            "control within 1.1% of a core",
            f"{held(core['max'], target.CONTROL_CORE_SHARE, FULL_SIZE)}; probes: {cost.core_verdict()}",
            f"mean {share(core['mean'])}, largest {share(core['max'])} of hollow nodes that share a process; "
            f"{where}. They hardly probe: {cost.health_check_core()}",
        ),
        Verdict(
            "control within 256 MB",
            held(node_memory(run), target.CONTROL_MEMORY_BYTES, FULL_SIZE),
            f"{in_bytes(node_memory(run))}; {where}",
        ),
        Verdict(
            "control within 3 KB a second",
            held(sent["max"], target.CONTROL_BYTES_PER_S, FULL_SIZE) + cost.bytes_verdict(),
            f"mean {in_bytes(sent['mean'])}/s, largest {in_bytes(sent['max'])}/s; {where}. "
            f"Hollow nodes have no clients and so hardly probe: {cost.health_check_bytes()}",
        ),
    ]


def _control_machines(book: SlopeBook, run: ControlResult, where: str) -> Verdict:
    requirement = "6 control machines"
    busiest = busiest_machine_share(run)
    if busiest is None:
        return Verdict(requirement, BY_SLOPE, _machines_by_slope(book))
    verdict = held(busiest, 1.0, FULL_SIZE)
    return Verdict(requirement, verdict, f"the busiest takes {share(busiest)} of a core; {where}")


def _machines_by_slope(book: SlopeBook) -> str:
    subscribers = target.NODES / target.CONTROL_MACHINES
    renewal = book.at("publisher_renewal", subscribers)
    core = subscribers * lease_renewals_per_s() * renewal.value * S_PER_US
    return f"{share(core)} of a core for {figure(subscribers)} subscribers' renewals, without sockets"
