"""`gradegap keys` and `gradegap token`: the ring that seals tokens, and what a token holds."""

from __future__ import annotations

import time
from typing import Any

import msgspec
import typer

from gradegap.resume.token import RING, BadToken, Ring, digest, opened
from gradegap.store.commands import JSON, NODE, SECRET, WAIT, author, remote, say, stop
from gradegap.store.machine import Compare, Item, Op
from gradegap.store.remote import Remote
from gradegap.store.wire import Write

keys = typer.Typer(help="The keys that seal tokens of sessions.", no_args_is_help=True)
token = typer.Typer(help="Tokens of sessions.", no_args_is_help=True)


def read(r: Remote) -> tuple[Ring, Item | None]:
    item = r.get(RING)
    if item is None:
        return Ring(), None
    try:
        ring = msgspec.convert(item.value, Ring)
        ring.check()
    except ValueError as error:
        raise stop(f"{RING} can't be read: {error}", 1) from None
    return ring, item


def write(r: Remote, ring: Ring, old: Item | None) -> int:
    """Only over the ring that was read: of two who rotate at once, one is told."""
    op = Op(RING, msgspec.to_builtins(ring))
    answer = r.one(Write((op,), (Compare(RING, old.changed if old is not None else 0),), author=author()))
    if not answer.succeeded:
        raise stop("somebody changed the ring at this moment; nothing was done", 1)
    return answer.revision


def shown(ring: Ring) -> list[dict[str, Any]]:
    """Never the secrets."""
    sealing = ring.sealing
    return [
        {"id": k.id, "made_ms": k.made_ms, "state": "seals" if k == sealing else k.state} for k in ring.keys
    ]


@keys.command("list")
def keys_list(node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET) -> None:
    """Print the ring, newest first, without what it seals with."""
    with remote(node, secret, wait) as r:
        ring, _ = read(r)
    rows = shown(ring)
    say(rows, json, "\n".join(f"{k['id']} {k['state']} made_ms={k['made_ms']}" for k in rows) or "no keys")


@keys.command("rotate")
def keys_rotate(node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET) -> None:
    """Seal with a new key from now on; tokens that clients hold are still opened."""
    with remote(node, secret, wait) as r:
        ring, old = read(r)
        ring = ring.rotated(time.time_ns() // 1_000_000)
        write(r, ring, old)
    made = ring.keys[0].id
    say({"id": made}, json, made)


@keys.command("retire")
def keys_retire(
    key: str, node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET
) -> None:
    """Open nothing any more that a key has sealed. The one that seals can't be retired: rotate first."""
    with remote(node, secret, wait) as r:
        ring, old = read(r)
        try:
            ring = ring.retired(key)
        except ValueError as error:
            raise stop(str(error), 1) from None
        write(r, ring, old)
    say({"id": key, "state": "retired"}, json, f"{key} retired")


@token.command("inspect")
def token_inspect(
    text: str, node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET
) -> None:
    """Say what a token proves, by the ring of a running cluster; exits 1 where it proves nothing."""
    with remote(node, secret, wait) as r:
        ring, _ = read(r)
        cluster = str(r.status()["cluster"])
    try:
        place = opened(ring, cluster, text, time.time())
    except BadToken as error:
        raise stop(f"token {digest(text)}: {error}", 1) from None
    found = msgspec.structs.asdict(place) | {"digest": digest(text)}
    say(found, json, "\n".join(f"{k} {v}" for k, v in found.items()))
