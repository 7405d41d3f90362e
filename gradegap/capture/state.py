"""The state of a `Balancer` as plain values, and a `Balancer` from them. No I/O.

The module stays as it is: its objects are walked from outside, each once, so that what is one object is one
again. Only classes that the module itself defines are made, without running any code of theirs, so a hostile
file can name nothing else. What a module does not have, or has beyond what is stored, is one plain error.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import fields, is_dataclass
from operator import attrgetter
from random import Random
from types import ModuleType
from typing import Any

import msgspec

from gradegap.balancing.capacity import Capacity
from gradegap.balancing.events import AttemptResult, EndpointListKind, EndpointPhase
from gradegap.balancing.priority import PriorityWeights
from gradegap.balancing.rates import BaselineRate, DecayingRate
from gradegap.balancing.report_statistics import ReportStatistics
from gradegap.balancing.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    ReportSource,
    Settings,
    TenantSettings,
    WeightMeaning,
)
from gradegap.balancing.slow_start import SlowStart

LEFT_OUT = frozenset({"set", "on", "random", "out"})  # made anew from the settings, or empty between events
MOST_OBJECTS = 1_000_000
PLAIN = frozenset({type(None), bool, int, float, str})
# What a module's objects are made of beside its own classes.
_PARTS: dict[str, type] = {
    "Rate": DecayingRate,
    "Usual": BaselineRate,
    "Figures": ReportStatistics,
    "Capacity": Capacity,
    "Cold": SlowStart,
    "Worth": PriorityWeights,
}
_PART_NAMES = {kind: name for name, kind in _PARTS.items()}
_VALUES: dict[str, type] = {"ClassSettings": ClassSettings, "TenantSettings": TenantSettings}
_ENUMS: dict[str, type[enum.Enum]] = {
    "Repeat": Idempotency,
    "RepeatGroup": DeduplicationScope,
    "Reports": ReportSource,
    "Weights": WeightMeaning,
    "Phase": EndpointPhase,
    "ListKind": EndpointListKind,
    "Result": AttemptResult,
}
_ENUM_NAMES = {kind: name for name, kind in _ENUMS.items()}
_VALUE_KINDS, _ENUM_KINDS = frozenset(_VALUES.values()), frozenset(_ENUMS.values())


class BadStateError(ValueError):
    """A state that does not fit the module."""


def _names(obj: Any) -> list[str]:
    """The names of an object's state."""
    if is_dataclass(obj):
        return [f.name for f in fields(obj)]
    slots = getattr(type(obj), "__slots__", None)
    return [n for n in (slots if slots is not None else vars(obj)) if n not in LEFT_OUT]


class _Dump:
    def __init__(self, module: str) -> None:
        self.module = module
        self.ids: dict[int, int] = {}
        self.values: dict[Any, int] = {}
        self.queue: list[Any] = []

    def ref(self, obj: Any) -> list[Any]:
        number = self.ids.get(id(obj))
        if number is None and type(obj) in _VALUE_KINDS:
            # Values are one wherever they are equal: what is made anew from settings is not the same object.
            number = self.ids[id(obj)] = self.values.setdefault(obj, len(self.queue))
            if number == len(self.queue):
                self.queue.append(obj)
        elif number is None:
            number = self.ids[id(obj)] = len(self.queue)
            self.queue.append(obj)
        return ["o", number]

    def value(self, v: Any) -> Any:
        kind = type(v)
        if kind in PLAIN:
            return v
        if kind in (list, tuple, deque):
            return [kind.__name__[0], [x if type(x) in PLAIN else self.value(x) for x in v]]
        if kind is dict:
            value = self.value
            return ["m", [[value(k), x if type(x) in PLAIN else value(x)] for k, x in v.items()]]
        if kind.__module__ == self.module or kind in _VALUE_KINDS or kind in _PART_NAMES:
            return self.ref(v)
        if kind in _ENUM_KINDS:
            return ["e", _ENUM_NAMES[kind], v.value]
        if kind is Random:
            version, state, gauss = v.getstate()
            return ["r", version, list(state), gauss]
        raise BadStateError(f"the module keeps a {kind.__module__}.{kind.__name__}, which can't be stored")


def _only(name: str) -> Callable[[Any], tuple[Any, ...]]:
    """Guards against `attrgetter`, which gives a single value as it is."""
    return lambda obj: (getattr(obj, name),)


def dump(balancer: Any) -> dict[str, Any]:
    """The state between two events. Linear in what the module holds."""
    d = _Dump(type(balancer).__module__)
    d.ref(balancer)
    objects: list[Any] = []
    names: dict[str, list[str]] = {}
    getters: dict[type, Callable[[Any], tuple[Any, ...]]] = {}
    for obj in d.queue:  # grows while it is gone through
        kind = type(obj)
        if kind in _VALUE_KINDS:
            objects.append([kind.__name__, msgspec.to_builtins(obj)])
            continue
        if kind not in getters:
            held = names[_PART_NAMES.get(kind, kind.__name__)] = _names(obj)
            getters[kind] = attrgetter(*held) if len(held) > 1 else _only(held[0])
        values = [v if type(v) in PLAIN else d.value(v) for v in getters[kind](obj)]
        objects.append([_PART_NAMES.get(kind, kind.__name__), values])
    return {"names": names, "objects": objects}


class _Load:
    def __init__(self, module: ModuleType, raw: Any, settings: Settings) -> None:
        self.module = module
        if not isinstance(raw, Mapping) or not isinstance(raw.get("objects"), list) or not raw["objects"]:
            raise BadStateError("no state of a module")
        if len(raw["objects"]) > MOST_OBJECTS:
            raise BadStateError("more objects than a module holds")
        self.raw = raw["objects"]
        self.made: list[Any] = []
        for k, each in enumerate(self.raw):
            if not isinstance(each, list) or len(each) != 2 or not isinstance(each[0], str):
                raise BadStateError("an object without a name or fields")
            if each[0] in _VALUES:
                self.made.append(msgspec.convert(each[1], _VALUES[each[0]]))
            else:
                self.made.append(self._make(each[0], k == 0, settings))

    def _make(self, name: str, first: bool, settings: Settings) -> Any:
        cls = _PARTS.get(name) or getattr(self.module, name, None)
        if not isinstance(cls, type) or (name not in _PARTS and cls.__module__ != self.module.__name__):
            raise BadStateError(f"the module has no {name[:40]}")
        if first != (name == "Balancer"):
            raise BadStateError("one Balancer comes first")
        return cls(settings, 0) if first else object.__new__(cls)

    def value(self, v: Any) -> Any:
        if not isinstance(v, list):
            if v is None or isinstance(v, bool | int | float | str):
                return v
            raise BadStateError("a value of no kind")
        match v:
            case ["o", int(number)] if 0 <= number < len(self.made):
                return self.made[number]
            case ["l", list(each)]:
                return [self.value(x) for x in each]
            case ["t", list(each)]:
                return tuple(self.value(x) for x in each)
            case ["d", list(each)]:
                return deque(self.value(x) for x in each)
            case ["m", list(pairs)]:
                return {self.value(k): self.value(x) for k, x in pairs}
            case ["e", str(name), raw] if name in _ENUMS:
                return _ENUMS[name](raw)
            case ["r", int(version), list(state), gauss]:
                made = Random()
                made.setstate((version, tuple(state), gauss))
                return made
        raise BadStateError(f"a value of no kind: {str(v[:1])[:40]}")


def load(module: ModuleType, raw: Any, settings: Settings) -> Any:
    """A `Balancer` of `module` in that state, under those settings; `BadStateError` where they don't fit."""
    try:
        loading = _Load(module, raw, settings)
        for (name, values), obj in zip(loading.raw, loading.made, strict=True):
            if name in _VALUES:
                continue
            held = raw.get("names", {}).get(name, ())
            if set(_names(obj)) != set(held):
                odd = ", ".join(sorted(set(_names(obj)) ^ set(held)))[:80]
                raise BadStateError(f"the state is of another module: {name} differs in {odd}")
            for field, value in zip(held, values, strict=True):
                setattr(obj, field, loading.value(value))
    except (TypeError, ValueError, msgspec.MsgspecError, RecursionError) as error:
        if isinstance(error, BadStateError):
            raise error from None
        raise BadStateError(f"no state: {str(error)[:80]}") from None
    balancer = loading.made[0]
    balancer.adopt(settings)  # its parts that were made from the state go by them as well
    balancer.random = balancer.rng.random
    return balancer
