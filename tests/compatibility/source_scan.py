"""Finds the counters and environment variables in the syntax tree of the source, without running it."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "gradegap"
LEFT_OUT = "verification"  # models with counts of their own, which are no metrics

COUNTING_METHODS = frozenset({"count", "gauge"})
COUNTING_MAPS = frozenset({"counts"})
COUNTING_PARAMETERS = frozenset({"counter"})
COUNTING_HELPERS = frozenset({"_bad"})  # helpers whose second argument is a counter's name

COUNTER = re.compile(r"[a-z][a-z0-9_]*")
VARIABLE = re.compile(r"(?:NODE|GRADEGAP)_[A-Z_]+")


@cache
def _trees() -> list[ast.Module]:
    paths = sorted(path for path in PACKAGE.rglob("*.py") if LEFT_OUT not in path.parts)
    return [ast.parse(path.read_text()) for path in paths]


def _nodes() -> Iterator[ast.AST]:
    for tree in _trees():
        yield from ast.walk(tree)


@cache
def _constants() -> dict[str, frozenset[str]]:
    """Returns the string values of assigned names, by name."""
    found: dict[str, set[str]] = {}
    for node in _nodes():
        targets = node.targets if isinstance(node, ast.Assign) else []
        targets = [node.target] if isinstance(node, ast.AnnAssign) else targets
        if isinstance(node, ast.Assign | ast.AnnAssign) and isinstance(node.value, ast.Constant):
            for target in targets:
                if isinstance(target, ast.Name) and isinstance(node.value.value, str):
                    found.setdefault(target.id, set()).add(node.value.value)
    return {name: frozenset(texts) for name, texts in found.items()}


def _texts(node: ast.expr | None) -> Iterator[str]:
    """Yields the string values that an expression can have; for an f-string its beginning and `{}`."""
    match node:
        case ast.Constant(value=str(text)):
            yield text
        case ast.IfExp(body=body, orelse=orelse):
            yield from _texts(body)
            yield from _texts(orelse)
        case ast.JoinedStr(values=[ast.Constant(value=str(text)), *_]):
            yield text + "{}"
        case ast.JoinedStr(
            values=[ast.FormattedValue(value=ast.IfExp() as first), ast.Constant(value=str(text)), *_]
        ):
            yield from (f"{each}{text}{{}}" for each in _texts(first))
        case ast.Name(id=name) | ast.Attribute(attr=name):
            yield from _constants().get(name, ())


def _counter_expressions() -> Iterator[ast.expr | None]:
    for node in _nodes():
        match node:
            case ast.Call(func=ast.Attribute(attr=name), args=[first, *_]) if name in COUNTING_METHODS:
                yield first
            case ast.Call(func=ast.Attribute(attr=name), args=[_, second, *_]) if name in COUNTING_HELPERS:
                yield second
            case ast.Subscript(value=ast.Attribute(attr=name), slice=key) if name in COUNTING_MAPS:
                yield key
            case ast.arguments(args=arguments, defaults=defaults) if defaults:
                for argument, default in zip(arguments[-len(defaults) :], defaults, strict=True):
                    if argument.arg in COUNTING_PARAMETERS:
                        yield default


@cache
def counters() -> frozenset[str]:
    """Returns counters and gauges; a name with a computed end is listed as its beginning and `{}`."""
    found = {text for each in _counter_expressions() for text in _texts(each)}
    return frozenset(text for text in found if COUNTER.fullmatch(text.removesuffix("{}")))


def environment_variables() -> set[str]:
    """Returns the environment variables that the source names."""
    found = {
        node.value for node in _nodes() if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }
    return {text for text in found if VARIABLE.fullmatch(text)}
