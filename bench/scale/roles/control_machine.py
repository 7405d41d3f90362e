"""Figures of a control machine, which is a member of the store and a publisher."""

from __future__ import annotations

from bench.scale import target
from bench.scale.rates import S_PER_US, lease_renewals_per_s
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure, in_bytes, share
from gradegap.observer.limits import Limits
from gradegap.store.machine import MAX_KEYS


def rows(book: SlopeBook) -> list[Row]:
    """Returns the figures of a control machine."""
    return [
        *_state_and_subscriptions(book),
        *_changes_and_leases(book),
        *_burst(book),
        *_healed_region(book),
        *_resubscriptions(book),
    ]


def _state_and_subscriptions(book: SlopeBook) -> list[Row]:
    """Returns the figures of the store's state and of subscription renewals in the ordinary hour."""
    rate = lease_renewals_per_s()
    renewal = book.get("renewal_bytes").points[0]
    frame = renewal.median / renewal.size
    subscribers = target.NODES / target.CONTROL_MACHINES
    spent = book.at("publisher_renewal", subscribers)
    held = book.at("publisher_memory", subscribers)
    state = book.at("store_state_bytes", target.KEYS)
    state_2 = book.at("store_state_bytes", MAX_KEYS)
    serve = "observer/publisher.py"
    return [
        Row(
            "ordinary hour",
            "state",
            in_bytes(state.value),
            f"{state.derivation}; {in_bytes(state_2.value)} with all {MAX_KEYS:,} keys that it takes",
            "store/machine.py",
        ),
        Row(
            "ordinary hour",
            "subscriptions",
            f"{figure(subscribers)}, {in_bytes(held.value)}",
            held.derivation,
            serve,
        ),
        Row(
            "ordinary hour",
            "renewals",
            f"{figure(subscribers * rate)}/s, {in_bytes(subscribers * rate * frame)}/s both ways",
            f"{target.NODES:,} / {target.CONTROL_MACHINES} × {figure(rate)}/s × {figure(frame)} bytes",
            serve,
        ),
        Row(
            "ordinary hour",
            "processor, renewals",
            f"{share(subscribers * rate * spent.value * S_PER_US)} of a core",
            f"{spent.derivation}; without sockets",
            serve,
        ),
    ]


def _changes_and_leases(book: SlopeBook) -> list[Row]:
    """Returns the figures of configuration changes and of leases at the leader."""
    subscribers = target.NODES / target.CONTROL_MACHINES
    one = book.at("publisher_delta", 1)
    lease = book.at("lease_renewal", target.CONTROL_MACHINES)
    lease_all = book.at("lease_renewal", target.NODES)
    seen_all = book.at("lease_write_seen", target.NODES)
    applied = book.at("store_apply_by_keys", target.KEYS)
    serve = "observer/publisher.py"
    leader = "store/leases.py"
    return [
        Row(
            "ordinary hour",
            "processor, a change",
            f"{figure(subscribers * one.value / 1e3)} ms and {figure(applied.value)} µs to apply it",
            f"{one.derivation}; {applied.derivation}",
            f"{serve}, store/machine.py",
        ),
        Row(
            "ordinary hour",
            "leader: leases of six machines",
            f"{figure(target.CONTROL_MACHINES / 0.3 * lease.value * S_PER_US * 100)}% of a core",
            lease.derivation,
            leader,
        ),
        Row(
            "before: 1,600 holders at the leader",
            "renewals and a write that all have seen",
            f"{share(target.NODES / 0.3 * lease_all.value * S_PER_US)} of a core, "
            f"{figure(seen_all.value)} ms a write",
            f"{lease_all.derivation}; {seen_all.derivation}; 256 holders at most are taken",
            leader,
        ),
    ]


def _burst(book: SlopeBook) -> list[Row]:
    """Returns the cost of a burst of configuration changes."""
    subscribers = target.NODES / target.CONTROL_MACHINES
    burst = book.at("publisher_delta", 50)
    serve = "observer/publisher.py"
    return [
        Row(
            "worst: 50 changes at once",
            "processor",
            f"{figure(subscribers * burst.value / 1e3)} ms",
            burst.derivation,
            serve,
        ),
    ]


def _healed_region(book: SlopeBook) -> list[Row]:
    """Returns the cost of the deltas that a region receives when its partition heals."""
    serve = "observer/publisher.py"
    healed = target.NODES_PER_REGION * book.at("publisher_delta", target.CHANGES_PER_DAY / 24).value / 1e3
    healed_bytes = target.NODES_PER_REGION * book.at("delta_bytes", target.CHANGES_PER_DAY / 24).value
    return [
        Row(
            "worst: a region that was cut off for an hour comes back, all at one machine",
            "deltas of what it missed",
            f"{in_bytes(healed_bytes)}, {figure(healed)} ms of a core",
            f"{figure(target.NODES_PER_REGION)} × one delta of {figure(target.CHANGES_PER_DAY / 24)} keys; "
            "admitted as below",
            serve,
        ),
    ]


def _moments() -> list[tuple[str, float, float]]:
    """Returns events with the numbers of new subscriptions and of all subscriptions at one machine."""
    subscribers = target.NODES / target.CONTROL_MACHINES
    return [
        (
            "a control machine dies",
            target.NODES / target.CONTROL_MACHINES / (target.CONTROL_MACHINES - 1),
            target.NODES / (target.CONTROL_MACHINES - 1),
        ),
        (
            "two have died",
            target.NODES / (target.CONTROL_MACHINES - 1) / (target.CONTROL_MACHINES - 2),
            target.NODES / (target.CONTROL_MACHINES - 2),
        ),
        ("one of the 220 is restarted", 1.0, subscribers),
        (
            f"a rack of {target.RACK_NODES} comes back, all at one machine",
            float(target.RACK_NODES),
            subscribers,
        ),
        ("a zone's nodes start at once", target.NODES_PER_ZONE, target.NODES_PER_ZONE),
        (
            "a region's nodes start at once, all at one machine",
            target.NODES_PER_REGION,
            target.NODES_PER_REGION,
        ),
        ("all nodes start at once", subscribers, subscribers),
    ]


def _resubscriptions(book: SlopeBook) -> list[Row]:
    """Returns the cost of nodes that subscribe at the same time, for each event of `_moments`."""
    limits = Limits()
    snapshot = book.at("publisher_snapshot", target.KEYS)
    size = book.at("snapshot_bytes", target.KEYS)
    rows = []
    for what, new, total in _moments():
        waited = max(0.0, new - limits.subscribe_burst) / limits.subscribe_rate
        rows.append(
            Row(
                f"worst: {what}",
                "new subscriptions",
                f"{figure(new)} at a machine, admitted within {figure(waited)} s; "
                f"{in_bytes(new * size.value)}, {figure(new * snapshot.value / 1e3)} s of a core",
                f"{limits.subscribe_burst} at once, then {limits.subscribe_rate:g}/s; a snapshot "
                f"each: {size.derivation}; {figure(total)} stand then",
                "observer/admission.py, observer/snapshots.py",
            )
        )
    return rows
