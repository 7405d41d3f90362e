"""The state of a `Balancer` as plain values, and a `Balancer` from them. No I/O.

A state is `{"version": 2, "fields": {kind: [stored name, ...]}, "objects": [[kind, [value, ...]], ...]}`, by
the names that `gradegap.capture.schema` declares; the `Balancer` comes first. Its objects are walked from
outside, each once, so that what is one object is one again. A value is a plain one, or a list that begins
with what it is: `o` an object's number, `l`, `t`, `d`, `m` a list, tuple, deque or map, `e` an enum, `r` a
random generator.

Only classes of the schema are made, so a hostile file can name nothing else. Where another decision module is
given, its `Balancer` is taken, and its own copies of the other classes where it has any.
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

MAX_OBJECTS = 1_000_000
PLAIN = frozenset({type(None), bool, int, float, str})
PROGRAM = __name__.partition(".")[0]  # the package that the program's own classes are of
_SEQUENCES: dict[type, str] = {list: "l", tuple: "t", deque: "d"}
_ENUM_NAMES: dict[type, str] = {kind: name for name, kind in ENUMS.items()}


def _copy_of(cls: type, balancer: type) -> type:
    """The class that stands for `cls` beside another `Balancer`; `cls` itself where there is none.

    A copy of the package has one in the module of the same name, a copy of a file in that file.
    """
    root = balancer.__module__.partition(".")[0]
    if root == PROGRAM:
        return cls
    below = cls.__module__.split(".")[2:]  # `gradegap.balancing`
    for name in (".".join([root, *below]), balancer.__module__):
        made = getattr(sys.modules.get(name), cls.__name__, None)
        if isinstance(made, type) and made.__module__.partition(".")[0] == root:
            return made
    return cls


_forms: dict[type, dict[type, Form]] = {}  # what `_forms_by_class` found


def _forms_by_class(balancer: type) -> dict[type, Form]:
    """The forms of a `Balancer` and of all that it may hold."""
    if (found := _forms.get(balancer)) is None:
        found = {form.cls: form for form in FORMS.values()}
        found |= {_copy_of(form.cls, balancer): form for form in FORMS.values()}
        found[balancer] = schema.BALANCER
        _forms[balancer] = found
    return found


class _Dumper:
    """Values of one state, and a queue of the objects that they refer to."""

    def __init__(self, forms: Mapping[type, Form]) -> None:
        self.forms = forms
        self.numbers: dict[int, int] = {}  # by identity
        self.equal: dict[Any, int] = {}  # of values, which are one wherever they are equal
        self.queue: list[Any] = []

    def reference(self, obj: Any) -> list[Any]:
        number = self.numbers.get(id(obj))
        if number is None:
            number = self.numbers[id(obj)] = len(self.queue)
            self.queue.append(obj)
        return ["o", number]

    def value(self, v: Any) -> Any:
        kind = type(v)
        if kind in PLAIN:
            return v
        if kind in _SEQUENCES:
            return [_SEQUENCES[kind], [x if type(x) in PLAIN else self.value(x) for x in v]]
        if kind is dict:
            value = self.value
            return ["m", [[value(k), x if type(x) in PLAIN else value(x)] for k, x in v.items()]]
        if kind in self.forms:
            return self.reference(v)
        if kind is ClassSettings:
            # What is made anew from settings is not the same object, and yet the same class of requests.
            number = self.numbers[id(v)] = self.equal.setdefault(v, len(self.queue))
            if number == len(self.queue):
                self.queue.append(v)
            return ["o", number]
        if kind in _ENUM_NAMES:
            return ["e", _ENUM_NAMES[kind], v.value]
        if kind is Random:
            version, state, gauss = v.getstate()
            return ["r", version, list(state), gauss]
        raise BadStateError(f"the module keeps a {kind.__module__}.{kind.__name__}, which can't be stored")


def dump(balancer: Balancer) -> dict[str, Any]:
    """The state between two events. Linear in what the module holds."""
    forms = _forms_by_class(type(balancer))
    dumper = _Dumper(forms)
    dumper.reference(balancer)
    value = dumper.value
    objects: list[Any] = []
    used: dict[str, list[str]] = {}
    for obj in dumper.queue:  # grows while it is gone through
        form = forms.get(type(obj))
        if form is None:
            objects.append([CLASS_SETTINGS, records.CLASS_SETTINGS.to_plain(obj)])
            continue
        if form.name not in used:
            used[form.name] = list(form.fields)
        objects.append([form.name, [v if type(v) in PLAIN else value(v) for v in form.values(obj)]])
    return {"version": VERSION, "fields": used, "objects": objects}


def personal_ids(raw: Mapping[str, Any]) -> Iterator[Any]:
    """The values of a stored state that are ids of players, or were made of one."""
    fields, personal = _stored_fields(raw)
    for name, values in raw["objects"]:
        names = fields.get(name, ())
        for each in personal.intersection(names):
            yield values[names.index(each)]


def _stored_fields(raw: Mapping[str, Any]) -> tuple[Mapping[str, Any], set[str]]:
    _check_version(raw)
    if "version" in raw:
        return raw["fields"], schema.PERSONAL_FIELDS
    return raw["names"], state_v1.PERSONAL_FIELDS


def _check_version(raw: Mapping[str, Any]) -> None:
    version = raw.get("version", 1)
    if not isinstance(version, int) or version < 1:
        raise BadStateError("a state of no version")
    if version > VERSION:
        raise LaterStateError(version, VERSION)


class _Loader:
    """Makes the objects of one state blank, so that they can refer to one another, and then fills them."""

    def __init__(self, module: ModuleType, raw: Mapping[str, Any], settings: Settings) -> None:
        self.module, self.settings = module, settings
        self.rows: Any = raw.get("objects")
        self.fields: Any = raw.get("fields")
        if not isinstance(self.rows, list) or not self.rows or not isinstance(self.fields, Mapping):
            raise BadStateError("no state of a module")
        if len(self.rows) > MAX_OBJECTS:
            raise BadStateError("more objects than a module holds")
        for name, form in FORMS.items():
            if odd := set(self.fields.get(name, form.fields)) ^ set(form.fields):
                raise OtherAlgorithmError(name, map(str, odd))
        self.made: list[Any] = []

    def balancer(self) -> Balancer:
        self.made = [self._blank(k, row) for k, row in enumerate(self.rows)]
        for obj, (name, values) in zip(self.made, self.rows, strict=True):
            if name not in FORMS:
                continue
            paths = FORMS[name].fields
            for stored, value in zip(self.fields.get(name, ()), values, strict=True):
                _put(obj, paths[stored], self._value(value))
        balancer: Balancer = self.made[0]
        return balancer

    def _blank(self, number: int, row: Any) -> Any:
        match row:
            case ["Balancer", list()] if number == 0:
                made = self.module.Balancer(self.settings, 0)
                # A module that lacks a stored attribute is another one; setting it would hide that.
                schema.BALANCER.values(made)
                return made
            case [str(name), list()] if name in FORMS and number > 0 and name != "Balancer":
                form = FORMS[name]
                return form.blank(_copy_of(form.cls, self.module.Balancer))
            case ["ClassSettings", dict(held)] if number > 0:
                return records.CLASS_SETTINGS.from_plain(held)
        raise BadStateError("one Balancer comes first, and then what it holds")

    def _value(self, v: Any) -> Any:
        if not isinstance(v, list):
            if v is None or isinstance(v, bool | int | float | str):
                return v
            raise BadStateError("a value of no kind")
        match v:
            case ["o", int(number)] if 0 <= number < len(self.made):
                return self.made[number]
            case ["l", list(each)]:
                return [self._value(x) for x in each]
            case ["t", list(each)]:
                return tuple(self._value(x) for x in each)
            case ["d", list(each)]:
                return deque(self._value(x) for x in each)
            case ["m", list(pairs)]:
                return {self._value(k): self._value(x) for k, x in pairs}
            case ["e", str(name), raw] if name in ENUMS:
                return ENUMS[name](raw)
            case ["r", int(version), list(state), gauss]:
                made = Random()
                made.setstate((version, tuple(state), gauss))
                return made
        raise BadStateError(f"a value of no kind: {str(v[:1])[:40]}")


def _put(obj: Any, path: str, value: Any) -> None:
    """Set an attribute, in place where parts of the module may share what it holds."""
    inner, _, name = path.rpartition(".")
    owner = attrgetter(inner)(obj) if inner else obj
    held = getattr(owner, name, None)
    if isinstance(held, Random) and isinstance(value, Random):
        held.setstate(value.getstate())
    elif type(held) is list and type(value) is list:
        held[:] = value
    elif type(held) is dict and type(value) is dict:
        held.clear()
        held.update(value)
    else:
        setattr(owner, name, value)


def load(module: ModuleType, raw: Any, settings: Settings) -> Balancer:
    """A `Balancer` of `module` in that state, under those settings; `BadStateError` where they don't fit.

    States of all versions up to this program's are read; `LaterStateError` for a later one, and
    `OtherAlgorithmError` for one of a module that kept something else.
    """
    try:
        if not isinstance(raw, Mapping):
            raise BadStateError("no state of a module")
        _check_version(raw)
        loader = _Loader(module, raw if "version" in raw else state_v1.upgraded(raw), settings)
        balancer = loader.balancer()
    except BadStateError:
        raise
    except (AttributeError, LookupError, TypeError, ValueError, RecursionError) as error:
        raise BadStateError(f"no state: {str(error)[:80]}") from None
    balancer.adopt(settings)  # its parts that were made from the state go by them as well
    return balancer


def same(module: ModuleType, balancer: Balancer, raw: Any, settings: Settings) -> bool:
    """Whether a `Balancer` is in a stored state, of whatever version."""
    own = msgspec.msgpack.encode(dump(balancer))
    if isinstance(raw, Mapping) and raw.get("version") == VERSION:
        return own == msgspec.msgpack.encode(raw)
    return own == msgspec.msgpack.encode(dump(load(module, raw, settings)))
