"""What keys of the store may hold. A new kind of configuration is a field here, and nowhere else.

Checked by whoever proposes a value and by whoever lets it take effect, not by the log: members of two
versions must come to the same state.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

import msgspec

from gradegap.store.errors import CommandError
from gradegap.store.records import KeyUpdate

LogLevel = Literal["debug", "info", "warning", "error"]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """`config/` keys: what operators set for all nodes."""

    log_level: Annotated[LogLevel, msgspec.Meta(description="the least level that is logged")] = "info"
    quic_accept: Annotated[bool, msgspec.Meta(description="whether the QUIC front takes new sessions")] = True
    quic_max_sessions: Annotated[Count, msgspec.Meta(description="sessions over QUIC at once")] = 4000
    capture: Annotated[bool, msgspec.Meta(description="whether nodes with [capture] record")] = True
    motd: Annotated[
        str, msgspec.Meta(max_length=200, description="a note for whoever looks at the configuration")
    ] = ""


class DisabledEndpoint(msgspec.Struct, forbid_unknown_fields=True):
    """`out/SERVER`: an endpoint that is administratively disabled at every node."""

    at_ms: Annotated[int, msgspec.Meta(ge=0, description="since when, Unix time in ms")] = 0
    by: Annotated[str, msgspec.Meta(max_length=128, description="who took it out")] = ""
    why: Annotated[str, msgspec.Meta(max_length=200)] = ""


class Invitation(msgspec.Struct, forbid_unknown_fields=True):
    """`cluster/invited/NAME`: a member that may come."""

    address: Annotated[str, msgspec.Meta(pattern=r":\d+$")]


class SealingKey(msgspec.Struct, forbid_unknown_fields=True):
    """One key of `keys/resume`; see `gradegap.resume.token`."""

    id: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{8}$")]
    secret: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9+/]{43}=$")]
    made_ms: int = 0
    state: Literal["in use", "retired"] = "in use"


class SealingKeys(msgspec.Struct, forbid_unknown_fields=True):
    """`keys/resume`: the ring that seals tokens. `gradegap keys` writes it."""

    keys: Annotated[list[SealingKey], msgspec.Meta(max_length=16)] = []


class QuicKey(msgspec.Struct, forbid_unknown_fields=True):
    """One secret of `keys/quic`; see `gradegap.quic.keys`."""

    bits: Annotated[int, msgspec.Meta(ge=0, le=6)]
    secret: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9+/]{43}=$")]
    made_ms: int = 0


class QuicKeys(msgspec.Struct, forbid_unknown_fields=True):
    """`keys/quic`: what QUIC's ids, resets and address tokens are made from. `gradegap keys` writes it."""

    keys: Annotated[list[QuicKey], msgspec.Meta(min_length=1, max_length=6)]


FIELDS = {f.encode_name: f for f in msgspec.structs.fields(Settings)}


def check_value(key: str, value: Any) -> Any:
    """The value as it takes effect; `ValueError` in one line where it can't."""
    prefix, _, name = key.partition("/")
    try:
        if prefix == "config":
            field = FIELDS.get(name)
            if field is None:
                raise ValueError(f"there is no {key}; there are {', '.join(sorted(FIELDS))}")
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
    """`CommandError` where a write doesn't fit its key."""
    if not update.delete:
        try:
            check_value(update.key, update.value)
        except ValueError as error:
            raise CommandError(f"invalid: {error}") from None


def json_schema() -> dict[str, Any]:
    """JSON Schema of all keys, for editors and for review."""
    kinds = (Settings, DisabledEndpoint, Invitation, SealingKeys, QuicKeys)
    parts, defs = msgspec.json.schema_components(kinds, ref_template="#/$defs/{name}")
    config, out, invited, sealing, quic = parts
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "keys of the store",
        "type": "object",
        "properties": {"config/": config, "keys/resume": sealing, "keys/quic": quic},
        "patternProperties": {"^out/.+": out, "^cluster/invited/.+": invited},
        "$defs": defs,
    }
