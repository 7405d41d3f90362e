"""`gradegap store` and `gradegap config`: what operators and their scripts call.

Exit codes: 0 done; 1 a clear no (not there, a compare that does not hold, refused); 2 a call that can't be
made; 3 the outcome of a write is unknown; 4 no quorum; 5 a write is committed, and not known to be in force
at all nodes that subscribe.
"""

from __future__ import annotations

import getpass
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
import typer

from gradegap.errors import OperatorFileError
from gradegap.node.operator_file import load_operator
from gradegap.setting_checks import read_secret
from gradegap.store import schema, wire
from gradegap.store.errors import FolderError, RequestFailedError
from gradegap.store.member_client import MemberClient
from gradegap.store.records import Compare, Event, Item, KeyUpdate

CODES = {"no": 1, "unreachable": 2, "unknown": 3, "no_quorum": 4}

store = typer.Typer(help="The replicated store: its keys, and its members.", no_args_is_help=True)
config = typer.Typer(help="Configuration that takes effect at every node.", no_args_is_help=True)

NODE = typer.Option(..., "--node", help="address of a member, as its operator's file has it")
JSON = typer.Option(False, "--json", help="print JSON")
WAIT = typer.Option(5.0, "--timeout", help="seconds that the member may try")
SECRET = typer.Option("", "--secret", envvar="GRADEGAP_STORE_SECRET", help="file with the cluster's secret")
OPERATOR = typer.Option(..., "--operator", help="operator's file; see deploy/store.toml")
STALE = typer.Option(False, "--stale", help="what this member has, whatever others may have committed")


def stop(text: str, code: int) -> SystemExit:
    sys.stderr.write(f"gradegap: {' '.join(text.split())}\n")
    return SystemExit(code)


@contextmanager
def remote_or_error(node: str, secret: str, wait: float) -> Iterator[MemberClient]:
    known = read_secret(secret, "store.secret")
    with MemberClient(node, known, wait) as made:
        yield made


@contextmanager
def remote(node: str, secret: str, wait: float) -> Iterator[MemberClient]:
    try:
        with remote_or_error(node, secret, wait) as made:
            yield made
    except RequestFailedError as error:
        raise stop(str(error), CODES[error.kind]) from None
    except OperatorFileError as error:
        raise stop(str(error), 2) from None


def say(value: Any, as_json: bool, plain: str) -> None:
    typer.echo(msgspec.json.encode(value).decode() if as_json else plain)


def parse(value: str) -> Any:
    """JSON, or text where it is none."""
    try:
        return msgspec.json.decode(value)
    except msgspec.DecodeError:
        return value


def shown(item: Item) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": item.value,
        "created": item.created_revision,
        "revision": item.modified_revision,
        "version": item.version,
        "author": item.author,
        "wall_ms": item.wall_ms,
    }


def shown_event(event: Event) -> dict[str, Any]:
    return {
        "revision": event.revision,
        "type": "delete" if event.deleted else "put",
        "key": event.key,
        "value": event.value,
        "author": event.author,
        "wall_ms": event.wall_ms,
        "cause": event.cause,
    }


def as_json(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "operator"


@store.command("serve")
def store_serve(operator: str = OPERATOR) -> None:
    """Run a member alone, without a node, until SIGTERM."""
    from gradegap.commands.store_server import serve

    try:
        serve(load_operator(operator))
    except (OperatorFileError, FolderError) as error:
        raise stop(str(error), 2) from None


@store.command("get")
def store_get(
    key: str,
    node: str = NODE,
    stale: bool = STALE,
    json: bool = JSON,
    wait: float = WAIT,
    secret: str = SECRET,
) -> None:
    """Print a key's value; linearizable but for --stale. Exits 1 where it is not there."""
    with remote(node, secret, wait) as r:
        item = r.get(key, stale)
    if item is None:
        raise stop(f"{key} is not there", 1)
    say(shown(item), json, as_json(item.value))


@store.command("set")
def store_set(
    key: str,
    value: str,
    node: str = NODE,
    ttl: float = typer.Option(0.0, help="seconds until the key ends"),
    in_force: float = typer.Option(
        0.0, "--in-force", min=0.0, max=59.0, help="seconds to wait until all nodes that subscribe have it"
    ),
    json: bool = JSON,
    wait: float = WAIT,
    secret: str = SECRET,
) -> None:
    """Write a key; the value is JSON, or text where it is none. Prints the revision once it is committed."""
    with remote(node, secret, wait) as r:
        revision = r.set(key, parse(value), round(ttl * 1000), author())
    said = {"revision": revision} | (wait_in_force(revision, node, secret, in_force) if in_force else {})
    say(said, json, str(revision))


def wait_in_force(revision: int, node: str, secret: str, seconds: float) -> dict[str, Any]:
    """What is known once all nodes have it; else an end that says who is missing."""
    try:
        with remote_or_error(node, secret, seconds) as r:
            return r.in_force(revision).status
    except RequestFailedError as error:
        raise stop(f"committed at revision {revision}, and not known to be in force: {error}", 5) from None


@store.command("delete")
def store_delete(
    key: str, node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET
) -> None:
    """Remove a key; prints the revision."""
    with remote(node, secret, wait) as r:
        revision = r.delete(key, author())
    say({"revision": revision}, json, str(revision))


@store.command("cas")
def store_cas(
    key: str,
    revision: int = typer.Argument(help="at which the key was last changed; 0: it is not there"),
    value: str = typer.Argument(),
    node: str = NODE,
    json: bool = JSON,
    wait: float = WAIT,
    secret: str = SECRET,
) -> None:
    """Write a key only where nobody has changed it since; exits 1 where somebody has."""
    with remote(node, secret, wait) as r:
        answer = r.compare_and_set(key, revision, parse(value), author())
    if not answer.succeeded:
        raise stop(f"{key} was not last changed at revision {revision}", 1)
    say({"revision": answer.revision}, json, str(answer.revision))


@store.command("list")
def store_list(
    prefix: str = typer.Argument(""),
    node: str = NODE,
    stale: bool = STALE,
    json: bool = JSON,
    wait: float = WAIT,
    secret: str = SECRET,
) -> None:
    """Print the keys that begin so, with their values."""
    with remote(node, secret, wait) as r:
        items = r.list(prefix, stale)
    if json:
        typer.echo(as_json([shown(i) for i in items]))
        return
    for item in items:
        typer.echo(f"{item.key} {as_json(item.value)}")


@store.command("watch")
def store_watch(
    prefix: str = typer.Argument(""),
    node: str = NODE,
    since: int = typer.Option(0, "--from", help="first revision wanted; 0: from now on"),
    json: bool = JSON,
    wait: float = WAIT,
    secret: str = SECRET,
) -> None:
    """Print changes as they are committed, a line each, until it is ended."""
    with remote(node, secret, wait) as r:
        for event in r.watch(prefix, since):
            what = "delete" if event.deleted else as_json(event.value)
            say(shown_event(event), json, f"{event.revision} {event.key} {what}")
            sys.stdout.flush()


@store.command("status")
def store_status(node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET) -> None:
    """What one member says of itself."""
    with remote(node, secret, wait) as r:
        status = r.status()
    plain = "\n".join(f"{k} {v}" for k, v in status.items() if k != "members")
    say(status, json, plain)


@store.command("members")
def store_members(node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET) -> None:
    """Who belongs to the cluster, as one member has it."""
    with remote(node, secret, wait) as r:
        members = r.status()["members"]
    lines = [
        f"{m['name']} {m['address']} {m['id']} {'voter' if m['voter'] else 'learner'}"
        f"{' leader' if m['leader'] else ''}"
        for m in members
    ]
    say(members, json, "\n".join(lines))


@store.command("add")
def store_add(
    name: str,
    address: str,
    node: str = NODE,
    json: bool = JSON,
    wait: float = WAIT,
    secret: str = SECRET,
) -> None:
    """Let a new member come: it is taken in, as a learner first, once its daemon is started."""
    with remote(node, secret, wait) as r:
        revision = r.request(wire.AddMember(name, address)).revision
    say({"revision": revision}, json, str(revision))


@store.command("remove")
def store_remove(
    name: str, node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET
) -> None:
    """Remove a member. It can come back, with an empty folder, after another `add`."""
    with remote(node, secret, wait) as r:
        r.delete(f"cluster/invited/{name}", author())
        revision = r.request(wire.RemoveMember(name)).revision
    say({"revision": revision}, json, str(revision))


@store.command("transfer")
def store_transfer(
    name: str, node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET
) -> None:
    """Have another member lead."""
    with remote(node, secret, wait) as r:
        r.request(wire.TransferLeadership(name))
    say({"leader": name}, json, f"{name} leads")


@store.command("snapshot")
def store_snapshot(
    file: Path, node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET
) -> None:
    """Write a backup of all keys, as committed now."""
    with remote(node, secret, wait) as r:
        data = r.snapshot()
    beside = file.with_name(file.name + ".part")
    try:
        beside.write_bytes(data)
        beside.replace(file)
    except OSError as error:
        raise stop(f"{file} can't be written: {error.strerror}", 2) from None
    say({"bytes": len(data)}, json, f"{len(data)} bytes")


@store.command("verify")
def store_verify(node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET) -> None:
    """Compare the states of all members at one revision; exits 1 where they differ or one can't be asked."""
    found: dict[str, dict[int, str]] = {}
    with remote(node, secret, wait) as r:
        members = r.status()["members"]
        for _ in range(20):
            for m in members:
                try:
                    with MemberClient(m["address"], r.channel.secret, wait) as other:
                        answer = other.request(wire.Digest())
                except RequestFailedError as error:
                    raise stop(f"{m['name']}: {error}", 1) from None
                found.setdefault(m["name"], {})[answer.revision] = answer.text
            common = set.intersection(*(set(f) for f in found.values())) if found else set()
            if common:
                break
    if not common:
        raise stop("the members were never seen at one revision; they change too fast or one is behind", 1)
    revision = max(common)
    digests = {name: f[revision] for name, f in found.items()}
    if len(set(digests.values())) > 1:
        raise stop(f"the members differ at revision {revision}: {digests}", 1)
    say(
        {"revision": revision, "members": sorted(digests), "digest": next(iter(digests.values()))},
        json,
        f"{len(digests)} members are the same at revision {revision}",
    )


@store.command("restore")
def store_restore(file: Path, operator: str = OPERATOR, json: bool = JSON) -> None:
    """Make a new, empty folder from a backup: a cluster of this member, which its peers can join."""
    from gradegap.store.restore import restore

    try:
        settings = load_operator(operator).store
        if settings is None:
            raise OperatorFileError("the operator's file has no [store] table")
        base = restore(file.read_bytes(), settings)
    except OSError as error:
        raise stop(f"{file} can't be read: {error.strerror}", 2) from None
    except (OperatorFileError, FolderError, ValueError) as error:
        raise stop(str(error), 2) from None
    say({"index": base.index}, json, f"restored; start it with: store serve --operator {operator}")


# Configuration


@config.command("schema")
def config_schema() -> None:
    """Print the JSON Schema of all keys."""
    typer.echo(msgspec.json.format(msgspec.json.encode(schema.json_schema())).decode())


@config.command("history")
def config_history(node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET) -> None:
    """Print the changes of configuration that are remembered, with who made them and when."""
    with remote(node, secret, wait) as r:
        events = r.request(wire.History("config/")).events
    for e in events:
        what = "deleted" if e.deleted else as_json(e.value)
        say(shown_event(e), json, f"{e.revision} {e.wall_ms} {e.author or '-'} {e.key} {what}")


def difference(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    lines = []
    for key in sorted(old.keys() | new.keys()):
        if key not in new:
            lines.append(f"- {key} {as_json(old[key])}")
        elif key not in old:
            lines.append(f"+ {key} {as_json(new[key])}")
        elif old[key] != new[key]:
            lines += [f"- {key} {as_json(old[key])}", f"+ {key} {as_json(new[key])}"]
    return lines


@config.command("diff")
def config_diff(
    revision: int,
    to: int = typer.Argument(0, help="the later revision; 0: as it is now"),
    node: str = NODE,
    json: bool = JSON,
    wait: float = WAIT,
    secret: str = SECRET,
) -> None:
    """Print what changed between two revisions."""
    with remote(node, secret, wait) as r:
        old = r.request(wire.ValuesAt(revision, "config/")).status
        new = (
            r.request(wire.ValuesAt(to, "config/")).status
            if to
            else {i.key: i.value for i in r.list("config/")}
        )
    say({"old": old, "new": new}, json, "\n".join(difference(old, new)))


@config.command("rollback")
def config_rollback(
    revision: int, node: str = NODE, json: bool = JSON, wait: float = WAIT, secret: str = SECRET
) -> None:
    """Bring configuration back to what it was after a revision, as a new one; all keys or none."""
    with remote(node, secret, wait) as r:
        then = r.request(wire.ValuesAt(revision, "config/")).status
        now = {i.key: i for i in r.list("config/")}
        ops = [KeyUpdate(k, v) for k, v in then.items() if k not in now or now[k].value != v]
        ops += [KeyUpdate(k, delete=True) for k in now if k not in then]
        if not ops:
            say({"revision": revision, "changed": 0}, json, "nothing has changed since")
            return
        # Guards against a change between the look and the write: then nothing is rolled back.
        compares = tuple(Compare(op.key, now[op.key].modified_revision if op.key in now else 0) for op in ops)
        answer = r.request(wire.Transaction(tuple(ops), compares, author=author()))
    if not answer.succeeded:
        raise stop("somebody changed configuration at this moment; nothing was rolled back", 1)
    say({"revision": answer.revision, "changed": len(ops)}, json, str(answer.revision))
