"""`gradegap config`: configuration that applies to all nodes. Exit codes: `base.ExitCode`."""

from __future__ import annotations

from typing import Any

import msgspec
import typer

from gradegap.commands.base import ExitCode, Output, author, failure, member_command, to_json
from gradegap.commands.store import describe_event
from gradegap.store import schema, wire
from gradegap.store.committed_state import CONFIGURATION_PREFIX
from gradegap.store.member_client import MemberClient
from gradegap.store.records import Compare, Item, KeyUpdate

config = typer.Typer(help="Configuration that applies to all nodes.", no_args_is_help=True)


@config.command("schema")
def config_schema() -> None:
    """Print the JSON Schema of all keys."""
    typer.echo(msgspec.json.format(msgspec.json.encode(schema.json_schema())).decode())


@member_command(config, "history")
def config_history(member: MemberClient, output: Output) -> None:
    """Print the retained history of configuration changes, with their authors and times."""
    for event in member.request(wire.History(CONFIGURATION_PREFIX)).events:
        value = "deleted" if event.deleted else to_json(event.value)
        plain = f"{event.revision} {event.wall_ms} {event.author or '-'} {event.key} {value}"
        output.write(describe_event(event), plain)


@member_command(config, "diff")
def config_diff(
    member: MemberClient,
    output: Output,
    revision: int,
    to: int = typer.Argument(0, help="later revision; 0: the current one"),
) -> None:
    """Print the differences between two revisions."""
    old = _values_at(member, revision)
    new = _values_at(member, to) if to else {key: item.value for key, item in _items(member).items()}
    output.write({"old": old, "new": new}, "\n".join(_difference_lines(old, new)))


@member_command(config, "rollback")
def config_rollback(member: MemberClient, output: Output, revision: int) -> None:
    """Restore the configuration of an earlier revision in a new revision, atomically for all keys."""
    old, items = _values_at(member, revision), _items(member)
    updates = [
        KeyUpdate(key, value) for key, value in old.items() if key not in items or items[key].value != value
    ]
    updates += [KeyUpdate(key, delete=True) for key in items if key not in old]
    if not updates:
        output.write({"revision": revision, "changed": 0}, "nothing has changed since")
        return
    # Guards against a change between the read and the write: the transaction then fails as a whole.
    compares = tuple(
        Compare(update.key, items[update.key].modified_revision if update.key in items else 0)
        for update in updates
    )
    response = member.request(wire.Transaction(tuple(updates), compares, author=author()))
    if not response.succeeded:
        text = "configuration was changed concurrently; nothing was rolled back"
        raise failure(text, ExitCode.NO)
    output.write({"revision": response.revision, "changed": len(updates)}, str(response.revision))


def _values_at(member: MemberClient, revision: int) -> dict[str, Any]:
    return member.request(wire.ValuesAt(revision, CONFIGURATION_PREFIX)).status


def _items(member: MemberClient) -> dict[str, Item]:
    return {item.key: item for item in member.list(CONFIGURATION_PREFIX)}


def _difference_lines(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    lines = []
    for key in sorted(old.keys() | new.keys()):
        if key in old and key in new and old[key] == new[key]:
            continue
        if key in old:
            lines.append(f"- {key} {to_json(old[key])}")
        if key in new:
            lines.append(f"+ {key} {to_json(new[key])}")
    return lines
