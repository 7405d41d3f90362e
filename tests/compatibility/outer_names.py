"""Lists the names by which other processes, stored files, operators and scripts know the program.

`python -m tests.compatibility.outer_names` writes `outer_names.txt`. Each line is a kind and a name:

    struct, tag      a field, or the tag, of a message or stored record, by the label of its fixture
    recording        a field of the stored state of a balancer
    event, action    the stored name of an event or action, and of its fields in their order
    table            a key of the operator's file
    option           an option of a command
    exit             an exit code
    environment      an environment variable
    counter          a counter or gauge
    schema           a key of the store's configuration
    deploy           a key of deploy/balancer.toml
    simulator        a name on the simulator's wire
    literal          another text of one word that the source holds: first-line keys, answers, JSON fields,
                     admin paths, file names, values of enums
    prefix           the word before a colon with which a message begins, by which errors are counted
"""

from __future__ import annotations

import ast
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from gradegap.capture import records, schema
from gradegap.commands.base import ExitCode
from tests.compatibility import present, source_scan, surface

LIST = Path(__file__).with_name("outer_names.txt")
ROOT = Path(__file__).parents[2]

WORD = re.compile(r"[A-Za-z0-9_./:=%-]*[A-Za-z][A-Za-z0-9_./:=%-]*")
PREFIX = re.compile(r"([a-z][a-z_]*): ")
SIMULATOR_NAME = re.compile(r"^\w+(?=\t)|\w+(?==)")  # of a line, or of one of its fields
LOG_METHODS = frozenset({"debug", "info", "warning", "error", "exception", "critical"})
NAMES_OF_CODE = frozenset({"__slots__", "__all__"})
SIMULATOR_MODULES = ("simulator_adapter.py", "balancing/settings_reader.py")


def lines() -> list[str]:
    """All outer names of the code as it is, sorted."""
    return sorted(set(_declared()) | set(_written()))


def _declared() -> Iterator[str]:
    """Names that the program's own tables and types declare."""
    yield from _structs()
    yield from _recordings()
    for path, described in surface.commands().items():
        yield from (f"option {path} {names}" for names in [*described["options"], ""])
    for table, keys in surface.operator_tables().items():
        yield from (f"table {table or '.'} {key}" for key in keys)
    yield from (f"exit {code.value} {code.name}" for code in ExitCode)
    yield from (f"environment {name}" for name in source_scan.environment_variables())
    yield from (f"counter {name}" for name in source_scan.counters())
    yield from (f"schema {name}" for name in _keys(surface.store_schema()))
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    yield from (f"deploy {key}" for key in deploy)


def _structs() -> Iterator[str]:
    for label, form in present.FORMS.items():
        if not issubclass(form.kind, msgspec.Struct):
            continue
        config = form.kind.__struct_config__
        if config.tag is not None:
            yield f"tag {label} {config.tag}"
        for place, field in enumerate(msgspec.structs.fields(form.kind)):
            yield f"struct {label} {place if config.array_like else field.encode_name}"


def _recordings() -> Iterator[str]:
    for name, form in schema.FORMS.items():
        yield from (f"recording {schema.VERSION} {name} {stored}" for stored in form.fields)
    for kind, table in (("event", records.EVENTS), ("action", records.ACTIONS)):
        for name, cls in table.items():
            yield f"{kind} {name} {len(cls._fields)}"  # type: ignore[attr-defined]


def _keys(whole: Any) -> Iterator[str]:
    """Names of properties anywhere in a JSON schema."""
    if isinstance(whole, dict):
        yield from whole.get("properties", {})
        yield from whole.get("patternProperties", {})
    for each in whole.values() if isinstance(whole, dict) else whole if isinstance(whole, list) else ():
        yield from _keys(each)


def _written() -> Iterator[str]:
    """Names that stand in the source as text."""
    for path in sorted(source_scan.PACKAGE.rglob("*.py")):
        if source_scan.LEFT_OUT in path.parts or path.samefile(str(schema.__file__)):
            continue
        module = str(path.relative_to(source_scan.PACKAGE))
        kind = "simulator" if module in SIMULATOR_MODULES else "literal"
        for text in _texts(ast.parse(path.read_text())):
            if WORD.fullmatch(text):
                yield f"{kind} {text}"
            elif kind == "simulator":
                yield from (f"{kind} {name}" for name in SIMULATOR_NAME.findall(text))
            if match := PREFIX.match(text):
                yield f"prefix {match[1]}"


def _texts(node: ast.AST) -> Iterator[str]:
    """Texts below a node, without annotations, docstrings, log events and formats."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
        yield node.value if isinstance(node.value, str) else node.value.decode("latin-1")
    for name, child in ast.iter_fields(node):
        if name in ("annotation", "returns", "format_spec") or _is_left_out(node, name):
            continue
        for each in child if isinstance(child, list) else [child]:
            if isinstance(each, ast.AST):
                yield from _texts(each)


def _is_left_out(node: ast.AST, field: str) -> bool:
    match node:
        case ast.Assign(targets=[ast.Name(id=name)]):
            return name in NAMES_OF_CODE
        case ast.Expr(value=ast.Constant()):
            return True
        case ast.Call(func=ast.Attribute(attr=name)):
            return field in ("args", "keywords") and name in LOG_METHODS
        case ast.Call(func=ast.Name(id=name)):
            return field == "args" and name in ("cast", "TypeVar")
    return False


def main() -> None:
    """Write the list of the code as it is."""
    LIST.write_text("".join(f"{line}\n" for line in lines()))


if __name__ == "__main__":
    main()
