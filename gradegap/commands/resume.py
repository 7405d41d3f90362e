"""`gradegap keys` and `gradegap token`: the key rings that nodes share, and the contents of tokens.

Exit codes: `base.ExitCode`.
"""

from __future__ import annotations

import time
from enum import StrEnum
from typing import Any

import msgspec
import typer

from gradegap.commands.base import ExitCode, Output, author, failure, member_command
from gradegap.quic.keys import RING_KEY as QUIC_RING
from gradegap.quic.keys import QuicRing
from gradegap.resume.errors import TokenError
from gradegap.resume.token import KEY_RING_KEY, KeyRing, digest, open_token
from gradegap.store.member_client import MemberClient
from gradegap.store.records import Compare, Item, KeyUpdate
from gradegap.store.wire import Transaction

keys = typer.Typer(help="Key rings that nodes share.", no_args_is_help=True)
token = typer.Typer(help="Session tokens.", no_args_is_help=True)


class RingName(StrEnum):
    """A key ring in the store."""

    RESUME = "resume"  # encrypts session tokens
    QUIC = "quic"  # derives QUIC connection ids, stateless reset tokens and address validation tokens


RING_NAME = typer.Option(RingName.RESUME, "--ring", help="key ring")
RINGS: dict[RingName, tuple[str, type[KeyRing] | type[QuicRing]]] = {
    RingName.RESUME: (KEY_RING_KEY, KeyRing),
    RingName.QUIC: (QUIC_RING, QuicRing),
}
"""Store key and type of each key ring."""


def read_ring(
    member: MemberClient, name: RingName = RingName.RESUME
) -> tuple[KeyRing | QuicRing, Item | None]:
    """Read a key ring and the store item that holds it; an empty ring and None if the store has none."""
    key, kind = RINGS[name]
    item = member.get(key)
    if item is None:
        return kind(), None
    try:
        ring = msgspec.convert(item.value, kind)
        ring.check()
    except ValueError as error:
        raise failure(f"{key} can't be read: {error}", ExitCode.NO) from None
    return ring, item


def write_ring(member: MemberClient, name: RingName, ring: KeyRing | QuicRing, old: Item | None) -> int:
    """Replace a ring if it is still the one that was read: of two concurrent rotations, one fails."""
    key = RINGS[name][0]
    update = KeyUpdate(key, msgspec.to_builtins(ring))
    unchanged = Compare(key, old.modified_revision if old is not None else 0)
    response = member.request(Transaction((update,), (unchanged,), author=author()))
    if not response.succeeded:
        raise failure("the key ring was changed concurrently; nothing was written", ExitCode.NO)
    return response.revision


def describe_ring(ring: KeyRing | QuicRing) -> list[dict[str, Any]]:
    """Describe the keys of a ring for output, newest first, without their secrets."""
    if isinstance(ring, QuicRing):
        newest = ring.keys[-1] if ring.keys else None
        return [
            {"id": str(key.bits), "made_ms": key.made_ms, "state": "makes" if key == newest else "reads"}
            for key in reversed(ring.keys)
        ]
    sealing = ring.sealing
    return [
        {"id": key.id, "made_ms": key.made_ms, "state": "seals" if key == sealing else key.state}
        for key in ring.keys
    ]


@member_command(keys, "list")
def keys_list(member: MemberClient, output: Output, ring: RingName = RING_NAME) -> None:
    """Print the keys of a ring, newest first, without their secrets."""
    key_ring, _ = read_ring(member, ring)
    rows = describe_ring(key_ring)
    plain = "\n".join(f"{row['id']} {row['state']} made_ms={row['made_ms']}" for row in rows)
    output.write(rows, plain or "no keys")


@member_command(keys, "rotate")
def keys_rotate(member: MemberClient, output: Output, ring: RingName = RING_NAME) -> None:
    """Add a key and use it from now on; tokens and ids made with the older keys stay valid."""
    key_ring, old = read_ring(member, ring)
    rotated = key_ring.rotated(time.time_ns() // 1_000_000)
    write_ring(member, ring, rotated, old)
    new_id = str(rotated.keys[-1].bits) if isinstance(rotated, QuicRing) else rotated.keys[0].id
    output.write({"id": new_id}, new_id)


@member_command(keys, "retire")
def keys_retire(member: MemberClient, output: Output, key: str, ring: RingName = RING_NAME) -> None:
    """Reject tokens and ids made with a key from now on. The key in use cannot be retired: rotate first."""
    key_ring, old = read_ring(member, ring)
    try:
        retired = _retire(key_ring, key)
    except ValueError as error:
        raise failure(str(error), ExitCode.NO) from None
    write_ring(member, ring, retired, old)
    output.write({"id": key, "state": "retired"}, f"{key} retired")


def _retire(ring: KeyRing | QuicRing, key: str) -> KeyRing | QuicRing:
    if isinstance(ring, QuicRing):
        return ring.retired(int(key) if key.isdecimal() else -1)
    return ring.retired(key)


@member_command(token, "inspect")
def token_inspect(member: MemberClient, output: Output, text: str) -> None:
    """Verify and print a token with the key ring of a running cluster; exits with 1 if it is invalid."""
    ring, _ = read_ring(member)
    assert isinstance(ring, KeyRing)
    cluster = str(member.status()["cluster"])
    try:
        contents = open_token(ring, cluster, text, time.time())
    except TokenError as error:
        raise failure(f"token {digest(text)}: {error}", ExitCode.NO) from None
    values = {
        field.encode_name: getattr(contents, field.name) for field in msgspec.structs.fields(contents)
    } | {"digest": digest(text)}
    output.write(values, "\n".join(f"{name} {value}" for name, value in values.items()))
