"""Converts the state of a `Balancer` to plain values, and builds a `Balancer` from them. No I/O.

A state is `{"version": 2, "fields": {kind: [stored name, ...]}, "objects": [[kind, [value, ...]], ...]}`,
with the names declared in `gradegap.capture.schema`; the `Balancer` is the first object. Each object is
stored once, so that references to the same object refer to one object again after loading. A value is plain,
or a list that starts with its type: `o` the number of an object, `l`, `t`, `d`, `m` a list, tuple, deque or
map, `e` an enum, `r` a random generator.

Only classes of the schema are instantiated, so a malicious file can't create other objects. If the state is
loaded into a candidate decision module, the candidate's `Balancer` is used, and its copies of the other
classes if it defines any.
"""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Iterator, Mapping
from operator import attrgetter
from random import Random
from types import ModuleType
from typing import Any

import msgspec

from gradegap.balancing.balancer import Balancer
from gradegap.balancing.settings import ClassSettings, Settings
from gradegap.capture import records, schema, state_v1
from gradegap.capture.errors import BadStateError, LaterStateError, OtherAlgorithmError
from gradegap.capture.schema import CLASS_SETTINGS, ENUMS, FORMS, VERSION, Form

MAX_OBJECTS = 1_000_000  # limit of objects in one stored state
PLAIN = frozenset({type(None), bool, int, float, str})
PROGRAM = __name__.partition(".")[0]  # the top-level package of the program's own classes
_SEQUENCES: dict[type, str] = {list: "l", tuple: "t", deque: "d"}
_ENUM_NAMES: dict[type, str] = {kind: name for name, kind in ENUMS.items()}


def _copy_of(cls: type, balancer: type) -> type:
    """Returns the candidate's own definition of the program's class `cls`, or `cls` if it has none.

    `balancer` is the candidate's `Balancer`. A candidate that is a copy of the package defines the class in
    the module with the same name as in the program; a candidate that is one file defines it in that file.
    """
    root = balancer.__module__.partition(".")[0]
    if root == PROGRAM:
        return cls
    submodules = cls.__module__.split(".")[2:]  # the path below `gradegap.balancing`
    for name in (".".join([root, *submodules]), balancer.__module__):
        candidate = getattr(sys.modules.get(name), cls.__name__, None)
        if isinstance(candidate, type) and candidate.__module__.partition(".")[0] == root:
            return candidate
    return cls


_forms: dict[type, dict[type, Form]] = {}  # cache of `_forms_by_class`


def _forms_by_class(balancer: type) -> dict[type, Form]:
    """Maps `balancer`, a class of `Balancer`, and the classes of the objects it may hold to their forms."""
    if (forms := _forms.get(balancer)) is None:
        forms = {form.cls: form for form in FORMS.values()}
        forms |= {_copy_of(form.cls, balancer): form for form in FORMS.values()}
        forms[balancer] = schema.BALANCER
        _forms[balancer] = forms
    return forms


class _Dumper:
    """Converts the values of one state, and queues the objects that they refer to."""

    def __init__(self, forms: Mapping[type, Form]) -> None:
        self.forms = forms
        self.numbers: dict[int, int] = {}  # object numbers by `id`
        self.numbers_by_value: dict[Any, int] = {}  # numbers of `ClassSettings`, which are equal by value
        self.queue: list[Any] = []

    def reference(self, obj: Any) -> list[Any]:
        number = self.numbers.get(id(obj))
        if number is None:
            number = self.numbers[id(obj)] = len(self.queue)
            self.queue.append(obj)
        return ["o", number]

    def value(self, obj: Any) -> Any:
        kind = type(obj)
        if kind in PLAIN:
            return obj
        if kind in _SEQUENCES:
            return [
                _SEQUENCES[kind],
                [element if type(element) in PLAIN else self.value(element) for element in obj],
            ]
        if kind is dict:
            value = self.value
            return [
                "m",
                [
                    [value(key), element if type(element) in PLAIN else value(element)]
                    for key, element in obj.items()
                ],
            ]
        if kind in self.forms:
            return self.reference(obj)
        if kind is ClassSettings:
            # A reload replaces settings by equal objects, which still belong to the same request class.
            number = self.numbers[id(obj)] = self.numbers_by_value.setdefault(obj, len(self.queue))
            if number == len(self.queue):
                self.queue.append(obj)
            return ["o", number]
        if kind in _ENUM_NAMES:
            return ["e", _ENUM_NAMES[kind], obj.value]
        if kind is Random:
            version, state, gauss = obj.getstate()
            return ["r", version, list(state), gauss]
        raise BadStateError(f"value of type {kind.__module__}.{kind.__name__} can't be stored")


def dump(balancer: Balancer) -> dict[str, Any]:
    """Returns the stored form of a balancer's state between two events; takes linear time."""
    forms = _forms_by_class(type(balancer))
    dumper = _Dumper(forms)
    dumper.reference(balancer)
    value = dumper.value
    objects: list[Any] = []
    used: dict[str, list[str]] = {}
    for obj in dumper.queue:  # the queue grows during the iteration
        form = forms.get(type(obj))
        if form is None:
            objects.append([CLASS_SETTINGS, records.CLASS_SETTINGS.to_plain(obj)])
            continue
        if form.name not in used:
            used[form.name] = list(form.fields)
        objects.append(
            [form.name, [field if type(field) in PLAIN else value(field) for field in form.values(obj)]]
        )
    return {"version": VERSION, "fields": used, "objects": objects}


def personal_ids(raw: Mapping[str, Any]) -> Iterator[Any]:
    """Yields the values in a stored state that are players' ids or derived from one."""
    fields, personal = _stored_fields(raw)
    for name, values in raw["objects"]:
        names = fields.get(name, ())
        for field in personal.intersection(names):
            yield values[names.index(field)]


def _stored_fields(raw: Mapping[str, Any]) -> tuple[Mapping[str, Any], set[str]]:
    _check_version(raw)
    if "version" in raw:
        return raw["fields"], schema.PERSONAL_FIELDS
    return raw["names"], state_v1.PERSONAL_FIELDS


def _check_version(raw: Mapping[str, Any]) -> None:
    version = raw.get("version", 1)
    if not isinstance(version, int) or version < 1:
        raise BadStateError(f"state version must be a positive integer, got {str(version)[:40]}")
    if version > VERSION:
        raise LaterStateError(version, VERSION)


class _Loader:
    """Creates all objects of a state without fields first, so that the fields can refer to any of them."""

    def __init__(self, module: ModuleType, raw: Mapping[str, Any], settings: Settings) -> None:
        self.module, self.settings = module, settings
        self.rows: Any = raw.get("objects")
        self.fields: Any = raw.get("fields")
        if not isinstance(self.rows, list) or not self.rows or not isinstance(self.fields, Mapping):
            raise BadStateError("state must have a non-empty list `objects` and a map `fields`")
        if len(self.rows) > MAX_OBJECTS:
            raise BadStateError(f"state has {len(self.rows)} objects, more than {MAX_OBJECTS}")
        for name, form in FORMS.items():
            if differing := set(self.fields.get(name, form.fields)) ^ set(form.fields):
                raise OtherAlgorithmError(name, map(str, differing))
        self.objects: list[Any] = []

    def balancer(self) -> Balancer:
        self.objects = [self._blank(number, row) for number, row in enumerate(self.rows)]
        for obj, (name, values) in zip(self.objects, self.rows, strict=True):
            if name not in FORMS:
                continue
            paths = FORMS[name].fields
            for stored, value in zip(self.fields.get(name, ()), values, strict=True):
                _put(obj, paths[stored], self._value(value))
        balancer: Balancer = self.objects[0]
        return balancer

    def _blank(self, number: int, row: Any) -> Any:
        match row:
            case ["Balancer", list()] if number == 0:
                balancer = self.module.Balancer(self.settings, 0)
                # Raises if the module lacks a stored attribute; setting the attribute would hide that.
                schema.BALANCER.values(balancer)
                return balancer
            case [str(name), list()] if name in FORMS and number > 0 and name != "Balancer":
                form = FORMS[name]
                return form.blank(_copy_of(form.cls, self.module.Balancer))
            case ["ClassSettings", dict(stored_settings)] if number > 0:
                return records.CLASS_SETTINGS.from_plain(stored_settings)
        raise BadStateError(
            f"invalid object {number} of the state: a Balancer must come first, then the objects it holds"
        )

    def _value(self, stored: Any) -> Any:
        if not isinstance(stored, list):
            if stored is None or isinstance(stored, bool | int | float | str):
                return stored
            raise BadStateError(f"state value has unknown type {type(stored).__name__}")
        match stored:
            case ["o", int(number)] if 0 <= number < len(self.objects):
                return self.objects[number]
            case ["l", list(elements)]:
                return [self._value(element) for element in elements]
            case ["t", list(elements)]:
                return tuple(self._value(element) for element in elements)
            case ["d", list(elements)]:
                return deque(self._value(element) for element in elements)
            case ["m", list(pairs)]:
                return {self._value(key): self._value(element) for key, element in pairs}
            case ["e", str(name), raw] if name in ENUMS:
                return ENUMS[name](raw)
            case ["r", int(version), list(state), gauss]:
                generator = Random()
                generator.setstate((version, tuple(state), gauss))
                return generator
        raise BadStateError(f"unknown kind of state value: {str(stored[:1])[:40]}")


def _put(obj: Any, path: str, value: Any) -> None:
    """Sets an attribute; a value that several components may share is updated in place instead."""
    owner_path, _, name = path.rpartition(".")
    owner = attrgetter(owner_path)(obj) if owner_path else obj
    present = getattr(owner, name, None)
    if isinstance(present, Random) and isinstance(value, Random):
        present.setstate(value.getstate())
    elif type(present) is list and type(value) is list:
        present[:] = value
    elif type(present) is dict and type(value) is dict:
        present.clear()
        present.update(value)
    else:
        setattr(owner, name, value)


def load(module: ModuleType, raw: Any, settings: Settings) -> Balancer:
    """Returns a `Balancer` of `module` that has a stored state and the given settings.

    Reads all state versions up to this program's. Raises `BadStateError` if the state does not fit the
    module, `LaterStateError` for a later version, and `OtherAlgorithmError` if its objects have other fields.
    """
    try:
        if not isinstance(raw, Mapping):
            raise BadStateError(f"state must be a map, got {type(raw).__name__}")
        _check_version(raw)
        loader = _Loader(module, raw if "version" in raw else state_v1.upgraded(raw), settings)
        balancer = loader.balancer()
    except BadStateError:
        raise
    except (AttributeError, LookupError, TypeError, ValueError, RecursionError) as error:
        raise BadStateError(f"invalid state: {str(error)[:80]}") from None
    balancer.adopt(settings)  # applies the settings to the objects of the state
    return balancer


def same(module: ModuleType, balancer: Balancer, raw: Any, settings: Settings) -> bool:
    """Whether the state of a `Balancer` equals a stored state, of any version that `load` reads."""
    own = msgspec.msgpack.encode(dump(balancer))
    if isinstance(raw, Mapping) and raw.get("version") == VERSION:
        return own == msgspec.msgpack.encode(raw)
    return own == msgspec.msgpack.encode(dump(load(module, raw, settings)))
