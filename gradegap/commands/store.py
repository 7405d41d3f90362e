"""`gradegap store`: keys, backups and members of the replicated store. Exit codes: `base.ExitCode`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import msgspec
import typer

from gradegap.commands.base import OPERATOR, ExitCode, Output, author, failure, member_command, to_json
from gradegap.errors import OperatorFileError
from gradegap.node.operator_file import load_operator
from gradegap.store import wire
from gradegap.store.errors import FolderError, RequestFailedError
from gradegap.store.leader_requests import INVITED_PREFIX
from gradegap.store.member_client import MemberClient
from gradegap.store.records import Event, Item

store = typer.Typer(help="Keys, backups and members of the replicated store.", no_args_is_help=True)

STALE = typer.Option(
    False, "--stale", help="read this member's state, which may lag behind the committed one"
)
VERIFY_ROUND_COUNT = 20  # limit of query rounds to find a revision at which all members have a digest


def parse_value(text: str) -> Any:
    """Decode a value as JSON; text that is not valid JSON is returned unchanged."""
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def describe_item(item: Item) -> dict[str, Any]:
    """Describe a key in the form that `--json` prints."""
    return {
        "key": item.key,
        "value": item.value,
        "created": item.created_revision,
        "revision": item.modified_revision,
        "version": item.version,
        "author": item.author,
        "wall_ms": item.wall_ms,
    }


def describe_event(event: Event) -> dict[str, Any]:
    """Describe a change in the form that `--json` prints."""
    return {
        "revision": event.revision,
        "type": "delete" if event.deleted else "put",
        "key": event.key,
        "value": event.value,
        "author": event.author,
        "wall_ms": event.wall_ms,
        "cause": event.cause,
    }


# Processes and data folders


@store.command("serve")
def store_serve(operator: str = OPERATOR) -> None:
    """Run a store member without a node until SIGTERM."""
    from gradegap.commands.store_server import serve

    try:
        serve(load_operator(operator))
    except (OperatorFileError, FolderError) as error:
        raise failure(str(error), ExitCode.BAD_CALL) from None


@store.command("restore")
def store_restore(
    file: Path, operator: str = OPERATOR, json: bool = typer.Option(False, "--json", help="print JSON")
) -> None:
    """Restore a backup into a new data folder, as a cluster of this member that its peers can join."""
    from gradegap.store.restore import restore

    try:
        settings = load_operator(operator).store
        if settings is None:
            raise OperatorFileError(f"operator's file {operator} has no [store] table")
        base = restore(file.read_bytes(), settings)
    except OSError as error:
        raise failure(f"{file} can't be read: {error.strerror}", ExitCode.BAD_CALL) from None
    except (OperatorFileError, FolderError, ValueError) as error:
        raise failure(str(error), ExitCode.BAD_CALL) from None
    Output(json).write({"index": base.index}, f"restored; start it with: store serve --operator {operator}")


@member_command(store, "snapshot")
def store_snapshot(member: MemberClient, output: Output, file: Path) -> None:
    """Write a backup of all keys at the current committed revision."""
    data = member.snapshot()
    part = file.with_name(file.name + ".part")
    try:
        part.write_bytes(data)
        part.replace(file)
    except OSError as error:
        raise failure(f"{file} can't be written: {error.strerror}", ExitCode.BAD_CALL) from None
    output.write({"bytes": len(data)}, f"{len(data)} bytes")


# Keys


@member_command(store, "get")
def store_get(member: MemberClient, output: Output, key: str, stale: bool = STALE) -> None:
    """Print a key's value; the read is linearizable without --stale. Exits with 1 if there is no such key."""
    item = member.get(key, stale)
    if item is None:
        raise failure(f"{key} does not exist", ExitCode.NO)
    output.write(describe_item(item), to_json(item.value))


@member_command(store, "set")
def store_set(
    member: MemberClient,
    output: Output,
    key: str,
    value: str,
    ttl: float = typer.Option(0.0, help="seconds until the key expires"),
    in_force: float = typer.Option(
        0.0,
        "--in-force",
        min=0.0,
        max=59.0,
        help="seconds to wait until all subscribing nodes have the change",
    ),
) -> None:
    """Write a key; the value is JSON or else text. Prints the revision after the commit."""
    revision = member.set(key, parse_value(value), round(ttl * 1000), author())
    result: dict[str, Any] = {"revision": revision}
    if in_force:
        result |= _wait_until_in_force(member, revision, in_force)
    output.write(result, str(revision))


def _wait_until_in_force(member: MemberClient, revision: int, timeout_s: float) -> dict[str, Any]:
    """Wait until a revision is in force at all nodes, and return its status.

    Ends the command with `NOT_IN_FORCE` if this is not confirmed within the timeout.
    """
    try:
        with MemberClient(member.address, member.channel.secret, timeout_s) as client:
            return client.in_force(revision).status
    except RequestFailedError as error:
        text = f"committed at revision {revision}, and not known to be in force: {error}"
        raise failure(text, ExitCode.NOT_IN_FORCE) from None


@member_command(store, "delete")
def store_delete(member: MemberClient, output: Output, key: str) -> None:
    """Delete a key; prints the revision."""
    revision = member.delete(key, author())
    output.write({"revision": revision}, str(revision))


@member_command(store, "cas")
def store_compare_and_set(
    member: MemberClient,
    output: Output,
    key: str,
    revision: int = typer.Argument(help="revision of the key's last change; 0: the key does not exist"),
    value: str = typer.Argument(),
) -> None:
    """Write a key if it has not changed since a revision; exits with 1 if it has."""
    response = member.compare_and_set(key, revision, parse_value(value), author())
    if not response.succeeded:
        raise failure(f"{key} was not last changed at revision {revision}", ExitCode.NO)
    output.write({"revision": response.revision}, str(response.revision))


@member_command(store, "list")
def store_list(
    member: MemberClient, output: Output, prefix: str = typer.Argument(""), stale: bool = STALE
) -> None:
    """Print the keys with a prefix, and their values."""
    items = member.list(prefix, stale)
    if output.as_json:
        typer.echo(to_json([describe_item(item) for item in items]))
        return
    for item in items:
        typer.echo(f"{item.key} {to_json(item.value)}")


@member_command(store, "watch")
def store_watch(
    member: MemberClient,
    output: Output,
    prefix: str = typer.Argument(""),
    since: int = typer.Option(0, "--from", help="first revision to print; 0: the next one"),
) -> None:
    """Print each committed change on a line until the command is interrupted."""
    for event in member.watch(prefix, since):
        value = "delete" if event.deleted else to_json(event.value)
        output.write(describe_event(event), f"{event.revision} {event.key} {value}")
        sys.stdout.flush()


# Members


@member_command(store, "status")
def store_status(member: MemberClient, output: Output) -> None:
    """Print the status of one member."""
    status = member.status()
    plain = "\n".join(f"{name} {value}" for name, value in status.items() if name != "members")
    output.write(status, plain)


@member_command(store, "members")
def store_members(member: MemberClient, output: Output) -> None:
    """Print the members of the cluster as one member knows them."""
    members = member.status()["members"]
    output.write(members, "\n".join(_describe_member(each) for each in members))


def _describe_member(member: dict[str, Any]) -> str:
    role = "voter" if member["voter"] else "learner"
    leader = " leader" if member["leader"] else ""
    return f"{member['name']} {member['address']} {member['id']} {role}{leader}"


@member_command(store, "add")
def store_add(member: MemberClient, output: Output, name: str, address: str) -> None:
    """Allow a new member to join; it is added, first as a learner, when its daemon starts."""
    revision = member.request(wire.AddMember(name, address)).revision
    output.write({"revision": revision}, str(revision))


@member_command(store, "remove")
def store_remove(member: MemberClient, output: Output, name: str) -> None:
    """Remove a member. It can rejoin with an empty data folder after another `add`."""
    member.delete(INVITED_PREFIX + name, author())
    revision = member.request(wire.RemoveMember(name)).revision
    output.write({"revision": revision}, str(revision))


@member_command(store, "transfer")
def store_transfer(member: MemberClient, output: Output, name: str) -> None:
    """Transfer the leadership to another member."""
    member.request(wire.TransferLeadership(name))
    output.write({"leader": name}, f"{name} leads")


@member_command(store, "verify")
def store_verify(member: MemberClient, output: Output) -> None:
    """Compare all members' states at one revision; exits with 1 if they differ or a member is unreachable."""
    revision, digests = _digests_at_one_revision(member)
    if len(set(digests.values())) > 1:
        raise failure(f"the members differ at revision {revision}: {digests}", ExitCode.NO)
    result = {"revision": revision, "members": sorted(digests), "digest": next(iter(digests.values()))}
    output.write(result, f"{len(digests)} members are the same at revision {revision}")


def _digests_at_one_revision(member: MemberClient) -> tuple[int, dict[str, str]]:
    """Find a revision at which all members have been queried; returns it with the digests by member name."""
    digests_by_member: dict[str, dict[int, str]] = {}  # digests by member name and revision
    members = member.status()["members"]
    for _ in range(VERIFY_ROUND_COUNT):
        for each in members:
            response = _digest(member, each)
            digests_by_member.setdefault(each["name"], {})[response.revision] = response.text
        common = (
            set.intersection(*(set(digests) for digests in digests_by_member.values()))
            if digests_by_member
            else set()
        )
        if common:
            revision = max(common)
            return revision, {name: digests[revision] for name, digests in digests_by_member.items()}
    text = "no revision common to all members found: the store changes too fast, or a member lags behind"
    raise failure(text, ExitCode.NO)


def _digest(member: MemberClient, other: dict[str, Any]) -> wire.Response:
    try:
        with MemberClient(other["address"], member.channel.secret, member.timeout_s) as client:
            return client.request(wire.Digest())
    except RequestFailedError as error:
        raise failure(f"{other['name']}: {error}", ExitCode.NO) from None
