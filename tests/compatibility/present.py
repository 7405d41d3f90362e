"""Maps the labels of the fixtures to the classes of the current code.

Only this module of the suite names classes: when a class is renamed or moved, its line here changes, never a
fixture. `readers` reads data that is not a single message.
"""

from __future__ import annotations

import dataclasses
import enum
from dataclasses import dataclass
from typing import Any

import msgspec

from gradegap import raft
from gradegap.capture import evaluation, simulation
from gradegap.capture import settings as capture_settings
from gradegap.discovery import endpoint_list
from gradegap.discovery import settings as discovery_settings
from gradegap.hot_restart import messages as hot_restart
from gradegap.node import configuration, operator_file
from gradegap.observer import messages as subscription
from gradegap.observer import selection
from gradegap.proxy import request as proxy_request
from gradegap.quic import keys, relay, tokens
from gradegap.quic import listener as front
from gradegap.quic import settings as quic_settings
from gradegap.resume import reservations, token
from gradegap.resume import settings as resume_settings
from gradegap.store import in_force, records, schema, storage, wire
from gradegap.store import settings as store_settings
from gradegap.store import subscription_settings as observer_settings
from gradegap.verification import sessions as checked_sessions


@dataclass(frozen=True)
class Form:
    """A class that is stored or sent, and the type with which the program decodes it."""

    kind: type
    reader: Any


def _own(**classes: type) -> dict[str, Form]:
    """Returns forms of classes that are decoded by their own type."""
    return {label: Form(kind, kind) for label, kind in classes.items()}


def _one_of(union: Any, **classes: type) -> dict[str, Form]:
    """Returns forms of classes that are decoded as members of a union, by their tags."""
    return {label: Form(kind, union) for label, kind in classes.items()}


def _in(group: str, *forms: dict[str, Form]) -> dict[str, Form]:
    return {f"{group}.{label}": form for element in forms for label, form in element.items()}


FORMS: dict[str, Form] = (
    _in(
        "raft",
        _own(
            member=raft.Member,
            config=raft.ClusterConfiguration,
            entry=raft.Entry,
            hard_state=raft.HardState,
            snap_meta=raft.SnapshotMetadata,
        ),
        _one_of(
            raft.Message,
            vote=raft.RequestVote,
            voted=raft.RequestVoteResponse,
            append=raft.AppendEntries,
            appended=raft.AppendEntriesResponse,
            snap=raft.InstallSnapshot,
            snapped=raft.InstallSnapshotResponse,
            timeout_now=raft.TimeoutNow,
        ),
    )
    | _in(
        "link",
        _one_of(
            wire.LinkMessage,
            hello=wire.Hello,
            proof=wire.Proof,
            turned=wire.LinkRejected,
            raft=wire.RaftMessage,
            form=wire.ClusterFormed,
            join=wire.Join,
            lease_ask=wire.LeaseRequest,
            lease_grant=wire.LeaseGrant,
            lease_applied=wire.LeaseApplied,
            gossip=wire.Gossip,
            ask=wire.Request,
            answer=wire.Response,
        ),
        _own(learned=wire.GossipReport),
    )
    | _in(
        "request",
        _one_of(
            wire.RequestBody,
            get=wire.Get,
            list=wire.List,
            write=wire.Transaction,
            watch=wire.Watch,
            status=wire.Status,
            digest=wire.Digest,
            add_member=wire.AddMember,
            remove_member=wire.RemoveMember,
            take_in=wire.AdmitMember,
            transfer=wire.TransferLeadership,
            snapshot=wire.Snapshot,
            history=wire.History,
            at=wire.ValuesAt,
            in_force=wire.InForce,
        ),
        _own(machine_report=in_force.MachineReport),
    )
    | _in(
        "store",
        _own(
            item=records.Item,
            event=records.Event,
            compare=records.Compare,
            op=records.KeyUpdate,
            logged=records.LogRecord,
            result=records.Result,
            session=records.Session,
            state=records.StoreState,
            identity=storage.Identity,
        ),
        _one_of(records.Command | records.Expire, command=records.Command, expire=records.Expire),
    )
    | _in(
        "value",
        _own(
            settings=schema.Settings,
            out=schema.DisabledEndpoint,
            invited=schema.Invitation,
            sealing_key=schema.SealingKey,
            sealing_keys=schema.SealingKeys,
            quic_key=schema.QuicKey,
            quic_keys=schema.QuicKeys,
        ),
    )
    | _in(
        "subscription",
        _own(change=subscription.Change),
        _one_of(
            subscription.FromSubscriber,
            subscribe=subscription.Subscribe,
            renew=subscription.Renew,
            leave=subscription.Leave,
        ),
        _one_of(
            subscription.FromPublisher,
            accepted=subscription.Accepted,
            rejected=subscription.Rejected,
            delta=subscription.Delta,
            snapshot_part=subscription.SnapshotPart,
            heartbeat=subscription.Heartbeat,
        ),
    )
    | _in(
        "restart",
        _one_of(
            hot_restart.Message,
            offer=hot_restart.Offer,
            listed=hot_restart.EndpointBatch,
            begin=hot_restart.StateComplete,
            ready=hot_restart.SuccessorReady,
            door=hot_restart.IdleSession,
            standing=hot_restart.EstablishedSession,
            taken=hot_restart.SessionResult,
            order=hot_restart.AdminCommand,
            obeyed=hot_restart.AdminCommandDone,
            held=hot_restart.DescriptorCount,
            lease=hot_restart.StoreLease,
            port=hot_restart.QuicPort,
        ),
        _own(known=hot_restart.EndpointState, ask=proxy_request.ConnectionRequest, handed=front.PortTransfer),
    )
    | _in(
        "resume",
        _own(place=token.TokenPayload, key=token.Key, ring=token.KeyRing, claim=reservations.Reservation),
    )
    | _in(
        "quic",
        _one_of(tokens.RetryToken | tokens.NewToken, retry=tokens.RetryToken, new=tokens.NewToken),
        _own(
            passed=relay.ForwardedDatagram, secret=keys.RingKey, quic_ring=keys.QuicRing, holder=keys.Holder
        ),
    )
    | _in(
        "discovery",
        _own(
            item=endpoint_list.EndpointDocument,
            named=endpoint_list.EndpointIdDocument,
            listing=endpoint_list.EndpointListDocument,
        ),
    )
    | _in("node", _own(config=configuration.NodeConfiguration, limits=configuration.ResourceLimits))
)

# Stored names of renamed attributes, by label, where the class does not declare them with
# `msgspec.field(name=...)`. The fields of array-like classes are stored by position, so
# their order must not change.
STORED_NAMES: dict[str, dict[str, str]] = {
    "store.state": {"clock_ms": "clock"},
    "store.session": {"remembered_until_ms": "until"},
    "store.command": {"deadline_ms": "until"},
    "store.event": {"previous_value": "before", "existed_before": "existed", "position": "order"},
    "store.item": {"created_revision": "created", "modified_revision": "changed", "expires_at_ms": "expires"},
    "link.learned": {"endpoint_id": "server", "age_s": "age"},
    "raft.snap_meta": {"configuration": "config"},
}

# Structs that no other process and no later version reads. `surface` covers the tables of the
# operator's file.
NOT_STORED: frozenset[type] = frozenset(
    {
        in_force.InForceVerdict,  # the map of its answer is built by hand
        evaluation.ServiceFigures,  # only printed, by `gradegap whatif --json`
        simulation.WhatIfResult,
        selection.MachineAddress,  # built from the operator's file
        checked_sessions.Record,  # of the model checker's save store
        checked_sessions._Execution,
        operator_file.OperatorSettings,
        quic_settings.QuicSettings,
        store_settings.StoreSettings,
        store_settings.Peer,
        observer_settings.ObserverSettings,
        observer_settings.ObserverMachine,
        discovery_settings.DnsSdSettings,
        resume_settings.ResumeSettings,
        capture_settings.CaptureSettings,
        operator_file.TraceSettings,
    }
)

LABELS: dict[type, str] = {form.kind: label for label, form in FORMS.items()}


def plain(value: Any) -> Any:
    """Converts a value to JSON types: classes by label, fields by stored name and in their order."""
    kind = type(value)
    if isinstance(value, msgspec.Struct) or dataclasses.is_dataclass(kind):
        return {"is": LABELS[kind], "fields": _fields(value, LABELS[kind])}
    if isinstance(value, msgspec.Raw):
        return {"raw": bytes(value).decode()}
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, list | tuple):
        return [plain(element) for element in value]
    if isinstance(value, dict):
        return {"map": {key: plain(element) for key, element in value.items()}}
    return value


def _fields(value: Any, label: str) -> dict[str, Any]:
    renamed = STORED_NAMES.get(label, {})
    if isinstance(value, msgspec.Struct):
        names = [(field.name, field.encode_name) for field in msgspec.structs.fields(value)]
    else:
        names = [(field.name, field.name) for field in dataclasses.fields(value)]
    return {renamed.get(name, stored): plain(getattr(value, name)) for name, stored in names}
