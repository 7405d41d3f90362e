"""Returns the names by which operators, the platform and scripts use the program, from the current code.

Like `present` and `readers`, this module names the code: when a class or function is renamed, its line here
changes.
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

# The purpose of each method of the node that the admin API calls, as the fixtures name it.
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
    """Returns each command with its options (names, type, default) and its arguments."""
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
    """Returns the name of an option's type; for an enum its values, as its class name is internal."""
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return "|".join(str(each.value) for each in annotation)
    return str(getattr(annotation, "__name__", annotation))


def flat_settings(nested: dict[str, Any]) -> dict[str, str]:
    """Returns the settings of a node's file as the pairs of the simulator's wire."""
    return settings_reader.flatten(nested)


def settings(flat: dict[str, str]) -> Any:
    """Returns the settings that the pairs express, by the names under which recordings store them."""
    return records.plain_settings(Settings(**settings_reader.read(flat)))


def missing_setting(nested: dict[str, Any]) -> str:
    """Returns the setting that the check of a node's settings reports as missing, or an empty string."""
    try:
        settings_reader.check(nested)
    except KeyError as error:
        return str(error.args[0])
    return ""


def load_report(text: str) -> Any:
    """Parses a load report of the simulator's wire."""
    return settings_reader.parse_report(text)


def node_configuration(path: str | None) -> Any:
    """Returns a node's configuration from its file and the environment, plain."""
    return plain(configuration.load(path).node)


def private_files(path: str) -> list[str]:
    """Returns the paths of the files that one process of a node leaves for the next."""
    node = configuration.load(path).node
    return [str(configuration.private_file(node, kind)) for kind in ("snapshot", "sock")]


def operator_settings(path: Path) -> Any:
    """Returns an operator's file by table and key."""
    return msgspec.to_builtins(operator_file.load_operator(str(path)))


def operator_tables() -> dict[str, list[str]]:
    """Returns the tables of an operator's file with their keys."""
    tables: dict[str, list[str]] = {}
    _tables(msgspec.inspect.type_info(operator_file.OperatorSettings), "", tables)
    return tables


def _tables(kind: msgspec.inspect.Type, path: str, into: dict[str, list[str]]) -> None:
    """Adds the table of a type, or of its element types, to `into`."""
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
    """A stand-in for a node that records the operation and arguments of its last call."""

    def __init__(self) -> None:
        self.called: list[Any] = []

    def __getattr__(self, name: str) -> Callable[..., None]:
        def call(*arguments: Any) -> None:
            self.called = [OPERATIONS[name], *arguments[:-1]]

        return call


def admin_call(method: str, target: str) -> list[Any]:
    """Returns an admin API call's operation and save server, or the status and `Allow` of an error."""
    node = _Operations()
    try:
        routes.route(node, method, target.encode())(lambda answer: None)
    except routes.InvalidCallError as error:
        return [error.result.status.value, error.allow]
    return node.called


def store_schema() -> Any:
    """Returns the JSON Schema of the store's keys, without titles and descriptions."""
    schema_document = schema.json_schema()
    definitions = schema_document.pop("$defs")

    def resolved(value: Any) -> Any:
        if isinstance(value, dict):
            if "$ref" in value:
                return resolved(definitions[value["$ref"].rpartition("/")[2]])
            return {key: resolved(each) for key, each in value.items() if key not in ("title", "description")}
        return [resolved(each) for each in value] if isinstance(value, list) else value

    return resolved(schema_document)


def store_value(key: str, value: Any) -> Any:
    """Returns the value of a store key after validation, plain."""
    return msgspec.to_builtins(schema.check_value(key, value))


def opening_line(line: bytes) -> Any:
    """Returns the request of a client's first line, plain, and the line as it is forwarded to a server."""
    opening = framing.parse_opening(line)
    return [plain(opening.request), opening.with_wait(1.25).decode()]


def report_of_line(text: str) -> Any:
    """Parses the load report at the end of a save server's line."""
    return answers.parse_load_report(text)
