"""What operators, the platform and scripts call the program's parts by, as the code has it now.

Names the code as `present` and `readers` do: what is renamed there changes its line here.
"""

from __future__ import annotations

import enum
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import typer

from gradegap.admin import routes
from gradegap.balancing import settings_reader
from gradegap.balancing.settings import Settings
from gradegap.capture import records
from gradegap.cli import app
from gradegap.downstream import framing
from gradegap.node import configuration, operator_file
from gradegap.store import schema
from gradegap.upstream import answers
from tests.compatibility.present import plain

SIMULATOR = [sys.executable, "-m", "gradegap.simulator_adapter"]

# By method of the admin API's node: what the call is for.
OPERATIONS = {
    "report_ready": "ready",
    "disable_endpoint": "take a save server out",
    "enable_endpoint": "call a save server back",
    "start_draining": "out of service",
    "stop_draining": "in service",
    "report_configuration": "configuration",
    "report_in_force": "in force",
}


def commands() -> dict[str, Any]:
    """Each command with its options: names, type and default; and how many arguments it takes."""
    return dict(_commands(typer.main.get_command(app), "gradegap"))


def _commands(command: Any, path: str) -> list[tuple[str, Any]]:
    options, arguments = {}, []
    for parameter in command.params:
        described = {
            "type": _type_name(parameter.type_descriptor.annotation),
            "required": parameter.required,
            "multiple": parameter.multiple,
            "default": str(parameter.default),
        }
        names = [*parameter.opts, *parameter.secondary_opts]
        if names[0].startswith("-"):
            options[" ".join(names)] = described
        else:
            arguments.append(described)
    found = [(path, {"options": options, "arguments": arguments})]
    for name, each in getattr(command, "commands", {}).items():
        found += _commands(each, f"{path} {name}")
    return found


def _type_name(annotation: Any) -> str:
    """A type of an option; of an enum its values, as its own name is not to be seen outside."""
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return "|".join(str(each.value) for each in annotation)
    return str(getattr(annotation, "__name__", annotation))


def flat_settings(nested: dict[str, Any]) -> dict[str, str]:
    """Settings of a node's file as the pairs of the simulator's wire."""
    return settings_reader.flatten(nested)


def settings(flat: dict[str, str]) -> Any:
    """What the pairs mean, by the names under which recordings store it."""
    return records.plain_settings(Settings(**settings_reader.read(flat)))


def missing_setting(nested: dict[str, Any]) -> str:
    """The name that the check of a node's settings misses; empty for none."""
    try:
        settings_reader.check(nested)
    except KeyError as error:
        return str(error.args[0])
    return ""


def load_report(text: str) -> Any:
    """A load report of the simulator's wire."""
    return settings_reader.parse_report(text)


def node_configuration(path: str | None) -> Any:
    """A node's file, with the environment over it, plain."""
    return plain(configuration.load(path).node)


def private_files(path: str) -> list[str]:
    """The files by which one process of a node finds what another left."""
    node = configuration.load(path).node
    return [str(configuration.private_file(node, kind)) for kind in ("snapshot", "sock")]


def operator_settings(path: Path) -> Any:
    """An operator's file, by table and key."""
    return msgspec.to_builtins(operator_file.load_operator(str(path)))


def operator_tables() -> dict[str, list[str]]:
    """The tables of an operator's file with their keys."""
    tables: dict[str, list[str]] = {}
    _tables(msgspec.inspect.type_info(operator_file.OperatorSettings), "", tables)
    return tables


def _tables(kind: msgspec.inspect.Type, path: str, into: dict[str, list[str]]) -> None:
    """Enter the table that a type is, or holds one or many of."""
    if isinstance(kind, msgspec.inspect.StructType):
        into[path] = [field.encode_name for field in kind.fields]
        for field in kind.fields:
            _tables(field.type, f"{path}.{field.encode_name}".lstrip("."), into)
    elif isinstance(kind, msgspec.inspect.UnionType):
        for each in kind.types:
            _tables(each, path, into)
    elif isinstance(kind, msgspec.inspect.VarTupleType | msgspec.inspect.ListType):
        _tables(kind.item_type, path, into)


class _Operations:
    """A node that only notes what it is called for."""

    def __init__(self) -> None:
        self.called: list[Any] = []

    def __getattr__(self, name: str) -> Callable[..., None]:
        def call(*arguments: Any) -> None:
            self.called = [OPERATIONS[name], *arguments[:-1]]

        return call


def admin_call(method: str, target: str) -> list[Any]:
    """What a call at the admin API is for, with the save server that it names; or its status and `Allow`."""
    node = _Operations()
    try:
        routes.route(node, method, target.encode())(lambda answer: None)
    except routes.InvalidCallError as error:
        return [error.result.status.value, error.allow]
    return node.called


def store_schema() -> Any:
    """JSON Schema of the store's keys, without the names of classes."""
    whole = schema.json_schema()
    definitions = whole.pop("$defs")

    def resolved(value: Any) -> Any:
        if isinstance(value, dict):
            if "$ref" in value:
                return resolved(definitions[value["$ref"].rpartition("/")[2]])
            return {key: resolved(each) for key, each in value.items() if key not in ("title", "description")}
        return [resolved(each) for each in value] if isinstance(value, list) else value

    return resolved(whole)


def store_value(key: str, value: Any) -> Any:
    """A value of the store's key as it takes effect, plain."""
    return msgspec.to_builtins(schema.check_value(key, value))


def opening_line(line: bytes) -> Any:
    """A client's first line: what it requests, plain, and the line as it goes on to a server."""
    opening = framing.parse_opening(line)
    return [plain(opening.request), opening.with_wait(1.25).decode()]


def report_of_line(text: str) -> Any:
    """The load report that ends a line of a save server."""
    return answers.parse_load_report(text)
