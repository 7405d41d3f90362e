"""The schema of the store's keys. A new configuration setting is added as a field here, and nowhere else.

Values are checked by the member that receives a write and by the node on which the value takes effect. They
are not checked when a log entry is applied, because members of two versions must reach the same state.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

import msgspec

from gradegap.store.errors import CommandError
from gradegap.store.records import KeyUpdate

LogLevel = Literal["debug", "info", "warning", "error"]
SessionCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """`config/` keys: settings that operators change for all nodes at runtime."""

    log_level: Annotated[LogLevel, msgspec.Meta(description="the least severe level that is logged")] = "info"
    quic_accept: Annotated[bool, msgspec.Meta(description="whether the QUIC front accepts new sessions")] = (
        True
    )
    quic_max_sessions: Annotated[
        SessionCount, msgspec.Meta(description="maximum number of concurrent QUIC sessions of a node")
    ] = 4000
    capture: Annotated[
        bool, msgspec.Meta(description="whether nodes with a [capture] table write recordings")
    ] = True
    motd: Annotated[
        str, msgspec.Meta(max_length=200, description="a note for readers of the configuration")
    ] = ""


class DisabledEndpoint(msgspec.Struct, forbid_unknown_fields=True):
    """`out/SERVER` keys: an endpoint that is administratively disabled on every node."""

    at_ms: Annotated[int, msgspec.Meta(ge=0, description="when it was disabled, Unix time in ms")] = 0
    by: Annotated[str, msgspec.Meta(max_length=128, description="who disabled it")] = ""
    why: Annotated[str, msgspec.Meta(max_length=200)] = ""


class Invitation(msgspec.Struct, forbid_unknown_fields=True):
    """`cluster/invited/NAME` keys: a member that is allowed to join the cluster."""

    address: Annotated[str, msgspec.Meta(pattern=r":\d+$")]


class SealingKey(msgspec.Struct, forbid_unknown_fields=True):
    """One key of `keys/resume`; see `gradegap.resume.token`."""

    id: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{8}$")]
    secret: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9+/]{43}=$")]
    made_ms: int = 0
    state: Literal["in use", "retired"] = "in use"


class SealingKeys(msgspec.Struct, forbid_unknown_fields=True):
    """`keys/resume`: the key ring that seals resumption tokens. `gradegap keys` writes it."""

    keys: Annotated[list[SealingKey], msgspec.Meta(max_length=16)] = []


class QuicKey(msgspec.Struct, forbid_unknown_fields=True):
    """One secret of `keys/quic`; see `gradegap.quic.keys`."""

    bits: Annotated[int, msgspec.Meta(ge=0, le=6)]
    secret: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9+/]{43}=$")]
    made_ms: int = 0


class QuicKeys(msgspec.Struct, forbid_unknown_fields=True):
    """`keys/quic`: secrets for QUIC connection ids, stateless resets and address validation tokens.

    `gradegap keys` writes it.
    """

    keys: Annotated[list[QuicKey], msgspec.Meta(min_length=1, max_length=6)]


SETTINGS_FIELDS = {field.encode_name: field for field in msgspec.structs.fields(Settings)}


def check_value(key: str, value: Any) -> Any:
    """Returns the value converted to the type that its key requires.

    Raises:
        ValueError: with a single line of text, if the key or the value doesn't fit the schema.
    """
    prefix, _, name = key.partition("/")
    try:
        if prefix == "config":
            field = SETTINGS_FIELDS.get(name)
            if field is None:
                raise ValueError(f"unknown setting {key}; there are {', '.join(sorted(SETTINGS_FIELDS))}")
            return msgspec.convert(value, field.type)
        if prefix == "out":
            return msgspec.convert(value, DisabledEndpoint)
        if key.startswith("cluster/invited/"):
            return msgspec.convert(value, Invitation)
        if key == "keys/resume":
            return msgspec.convert(value, SealingKeys)
        if key == "keys/quic":
            return msgspec.convert(value, QuicKeys)
    except msgspec.ValidationError as error:
        raise ValueError(f"{key}: {re.sub(r' - at .*', '', str(error))}") from None
    return value


def validate_update(update: KeyUpdate) -> None:
    """Checks the value of a write against the schema of its key.

    Raises:
        CommandError: if the value doesn't fit.
    """
    if not update.delete:
        try:
            check_value(update.key, update.value)
        except ValueError as error:
            raise CommandError(f"invalid: {error}") from None


def json_schema() -> dict[str, Any]:
    """Returns the JSON Schema of all keys, for editors and for review."""
    kinds = (Settings, DisabledEndpoint, Invitation, SealingKeys, QuicKeys)
    parts, definitions = msgspec.json.schema_components(kinds, ref_template="#/$defs/{name}")
    config, disabled, invitation, sealing, quic = parts
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "keys of the store",
        "type": "object",
        "properties": {"config/": config, "keys/resume": sealing, "keys/quic": quic},
        "patternProperties": {"^out/.+": disabled, "^cluster/invited/.+": invitation},
        "$defs": definitions,
    }
