"""A control machine: a member of the store and a publisher."""

from __future__ import annotations

from bench.scale import target as t
from bench.scale.rates import US, renewals_per_s
from bench.scale.roles.row import Row
from bench.scale.slope_book import SlopeBook, figure, in_bytes, share
from gradegap.observer.limits import Limits
from gradegap.store.machine import MAX_KEYS


def rows(book: SlopeBook) -> list[Row]:
    """A control machine: a member of the store and a publisher."""
    return [
        *_state_and_subscriptions(book),
        *_changes_and_leases(book),
        *_burst(book),
        *_healed_region(book),
        *_resubscriptions(book),
    ]


def _state_and_subscriptions(book: SlopeBook) -> list[Row]:
    """The store's state and renewals of subscriptions, in the ordinary hour."""
    rate = renewals_per_s()
    renewal = book.get("renewal_bytes").points[0]
    frame = renewal.median / renewal.size
    subscribers = t.NODES / t.CONTROL_MACHINES
    spent = book.at("publisher_renewal", subscribers)
    held = book.at("publisher_memory", subscribers)
    state = book.at("store_state_bytes", t.KEYS)
    state_2 = book.at("store_state_bytes", MAX_KEYS)
    serve = "observer/publisher.py"
    return [
        Row(
            "ordinary hour",
            "state",
            in_bytes(state.value),
            f"{state.how}; {in_bytes(state_2.value)} with all {MAX_KEYS:,} keys that it takes",
            "store/machine.py",
        ),
        Row(
            "ordinary hour",
            "subscriptions",
            f"{figure(subscribers)}, {in_bytes(held.value)}",
            held.how,
            serve,
        ),
        Row(
            "ordinary hour",
            "renewals",
            f"{figure(subscribers * rate)}/s, {in_bytes(subscribers * rate * frame)}/s both ways",
            f"{t.NODES:,} / {t.CONTROL_MACHINES} × {figure(rate)}/s × {figure(frame)} bytes",
            serve,
        ),
        Row(
            "ordinary hour",
            "processor, renewals",
            f"{share(subscribers * rate * spent.value * US)} of a core",
            f"{spent.how}; without sockets",
            serve,
        ),
    ]


def _changes_and_leases(book: SlopeBook) -> list[Row]:
    """Changes of the configuration, and leases at the leader."""
    subscribers = t.NODES / t.CONTROL_MACHINES
    one = book.at("publisher_delta", 1)
    lease = book.at("lease_renewal", t.CONTROL_MACHINES)
    lease_all = book.at("lease_renewal", t.NODES)
    seen_all = book.at("lease_write_seen", t.NODES)
    applied = book.at("store_apply_by_keys", t.KEYS)
    serve = "observer/publisher.py"
    leader = "store/leases.py"
    return [
        Row(
            "ordinary hour",
            "processor, a change",
            f"{figure(subscribers * one.value / 1e3)} ms and {figure(applied.value)} µs to apply it",
            f"{one.how}; {applied.how}",
            f"{serve}, store/machine.py",
        ),
        Row(
            "ordinary hour",
            "leader: leases of six machines",
            f"{figure(t.CONTROL_MACHINES / 0.3 * lease.value * US * 100)}% of a core",
            lease.how,
            leader,
        ),
        Row(
            "before: 1,600 holders at the leader",
            "renewals and a write that all have seen",
            f"{share(t.NODES / 0.3 * lease_all.value * US)} of a core, {figure(seen_all.value)} ms a write",
            f"{lease_all.how}; {seen_all.how}; 256 holders at most are taken",
            leader,
        ),
    ]


def _burst(book: SlopeBook) -> list[Row]:
    """Many changes of the configuration at once."""
    subscribers = t.NODES / t.CONTROL_MACHINES
    burst = book.at("publisher_delta", 50)
    serve = "observer/publisher.py"
    return [
        Row(
            "worst: 50 changes at once",
            "processor",
            f"{figure(subscribers * burst.value / 1e3)} ms",
            burst.how,
            serve,
        ),
    ]


def _healed_region(book: SlopeBook) -> list[Row]:
    """A region that was cut off is connected again."""
    serve = "observer/publisher.py"
    healed = t.NODES_PER_REGION * book.at("publisher_delta", t.CHANGES_PER_DAY / 24).value / 1e3
    healed_bytes = t.NODES_PER_REGION * book.at("delta_bytes", t.CHANGES_PER_DAY / 24).value
    return [
        Row(
            "worst: a region that was cut off for an hour comes back, all at one machine",
            "deltas of what it missed",
            f"{in_bytes(healed_bytes)}, {figure(healed)} ms of a core",
            f"{figure(t.NODES_PER_REGION)} × one delta of {figure(t.CHANGES_PER_DAY / 24)} keys; "
            "admitted as below",
            serve,
        ),
    ]


def _moments() -> list[tuple[str, float, float]]:
    """What happens, how many nodes subscribe anew at a machine then, and how many are subscribed there."""
    subscribers = t.NODES / t.CONTROL_MACHINES
    return [
        (
            "a control machine dies",
            t.NODES / t.CONTROL_MACHINES / (t.CONTROL_MACHINES - 1),
            t.NODES / (t.CONTROL_MACHINES - 1),
        ),
        (
            "two have died",
            t.NODES / (t.CONTROL_MACHINES - 1) / (t.CONTROL_MACHINES - 2),
            t.NODES / (t.CONTROL_MACHINES - 2),
        ),
        ("one of the 220 is restarted", 1.0, subscribers),
        (f"a rack of {t.RACK_NODES} comes back, all at one machine", float(t.RACK_NODES), subscribers),
        ("a zone's nodes start at once", t.NODES_PER_ZONE, t.NODES_PER_ZONE),
        ("a region's nodes start at once, all at one machine", t.NODES_PER_REGION, t.NODES_PER_REGION),
        ("all nodes start at once", subscribers, subscribers),
    ]


def _resubscriptions(book: SlopeBook) -> list[Row]:
    """Nodes that subscribe at once."""
    limits = Limits()
    snapshot = book.at("publisher_snapshot", t.KEYS)
    size = book.at("snapshot_bytes", t.KEYS)
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
                f"each: {size.how}; {figure(total)} stand then",
                "observer/admission.py, observer/snapshots.py",
            )
        )
    return rows
