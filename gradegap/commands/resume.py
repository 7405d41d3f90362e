"""`gradegap keys` and `gradegap token`: the ring that seals tokens, and what a token holds."""

from __future__ import annotations

import time
from enum import StrEnum
from typing import Any

import msgspec
import typer

from gradegap.commands.store import JSON, NODE, SECRET, WAIT, author, remote, say, stop
from gradegap.quic.keys import RING_KEY as QUIC_RING
from gradegap.quic.keys import QuicRing
from gradegap.resume.token import KEY_RING_KEY, KeyRing, TokenError, digest, open_token
from gradegap.store.member_client import MemberClient
from gradegap.store.records import Compare, Item, KeyUpdate
from gradegap.store.wire import Transaction

keys = typer.Typer(help="Rings of keys that nodes share.", no_args_is_help=True)
token = typer.Typer(help="Tokens of sessions.", no_args_is_help=True)


class Which(StrEnum):
    """A ring of the store."""

    RESUME = "resume"  # seals tokens of sessions
    QUIC = "quic"  # makes QUIC's ids, resets and address tokens


RING_OF = typer.Option(Which.RESUME, "--ring", help="which ring")
KINDS: dict[Which, tuple[str, type[KeyRing] | type[QuicRing]]] = {
    Which.RESUME: (KEY_RING_KEY, KeyRing),
    Which.QUIC: (QUIC_RING, QuicRing),
}


def read(r: MemberClient, which: Which = Which.RESUME) -> tuple[KeyRing | QuicRing, Item | None]:
    key, kind = KINDS[which]
    item = r.get(key)
    if item is None:
        return kind(), None
    try:
        ring = msgspec.convert(item.value, kind)
        ring.check()
    except ValueError as error:
        raise stop(f"{key} can't be read: {error}", 1) from None
    return ring, item


def write(r: MemberClient, which: Which, ring: KeyRing | QuicRing, old: Item | None) -> int:
    """Only over the ring that was read: of two who rotate at once, one is told."""
    key = KINDS[which][0]
    op = KeyUpdate(key, msgspec.to_builtins(ring))
    answer = r.request(
        Transaction((op,), (Compare(key, old.modified_revision if old is not None else 0),), author=author())
    )
    if not answer.succeeded:
        raise stop("somebody changed the ring at this moment; nothing was done", 1)
    return answer.revision


def shown(ring: KeyRing | QuicRing) -> list[dict[str, Any]]:
    """Never the secrets. Newest first."""
    if isinstance(ring, QuicRing):
        newest = ring.keys[-1] if ring.keys else None
        return [
            {"id": str(k.bits), "made_ms": k.made_ms, "state": "makes" if k == newest else "reads"}
            for k in reversed(ring.keys)
        ]
    sealing = ring.sealing
    return [
        {"id": k.id, "made_ms": k.made_ms, "state": "seals" if k == sealing else k.state} for k in ring.keys
    ]


@keys.command("list")
def keys_list(
    ring: Which = RING_OF, node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET
) -> None:
    """Print a ring, newest first, without its secrets."""
    with remote(node, secret, wait) as r:
        found, _ = read(r, ring)
    rows = shown(found)
    say(rows, json, "\n".join(f"{k['id']} {k['state']} made_ms={k['made_ms']}" for k in rows) or "no keys")


@keys.command("rotate")
def keys_rotate(
    ring: Which = RING_OF, node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET
) -> None:
    """Use a new key from now on; what clients hold of the others is still taken."""
    with remote(node, secret, wait) as r:
        found, old = read(r, ring)
        found = found.rotated(time.time_ns() // 1_000_000)
        write(r, ring, found, old)
    made = str(found.keys[-1].bits) if isinstance(found, QuicRing) else found.keys[0].id
    say({"id": made}, json, made)


@keys.command("retire")
def keys_retire(
    key: str,
    ring: Which = RING_OF,
    node: str = NODE,
    json: bool = JSON,
    wait: float = WAIT,
    secret: str = SECRET,
) -> None:
    """Take nothing any more that a key has made. The one in use can't be retired: rotate first."""
    with remote(node, secret, wait) as r:
        found, old = read(r, ring)
        try:
            if isinstance(found, QuicRing):
                found = found.retired(int(key) if key.isdecimal() else -1)
            else:
                found = found.retired(key)
        except ValueError as error:
            raise stop(str(error), 1) from None
        write(r, ring, found, old)
    say({"id": key, "state": "retired"}, json, f"{key} retired")


@token.command("inspect")
def token_inspect(
    text: str, node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET
) -> None:
    """Say what a token proves, by the ring of a running cluster; exits 1 where it proves nothing."""
    with remote(node, secret, wait) as r:
        ring, _ = read(r)
        assert isinstance(ring, KeyRing)
        cluster = str(r.status()["cluster"])
    try:
        place = open_token(ring, cluster, text, time.time())
    except TokenError as error:
        raise stop(f"token {digest(text)}: {error}", 1) from None
    found = msgspec.structs.asdict(place) | {"digest": digest(text)}
    say(found, json, "\n".join(f"{k} {v}" for k, v in found.items()))
