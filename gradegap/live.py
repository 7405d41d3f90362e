"""Operator configuration that takes effect while the node runs: `config/` keys of the store."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import structlog

from gradegap.stats import Stats
from gradegap.store.versioned import Entry, Store

log = structlog.get_logger()

LEVELS = {name: getattr(logging, name.upper()) for name in ("debug", "info", "warning", "error")}


def set_log_level(name: str) -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(LEVELS[name]))


def is_level(value: Any) -> bool:
    return isinstance(value, str) and value in LEVELS


def is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= 1_000_000


def is_switch(value: Any) -> bool:
    return isinstance(value, bool)


class LiveConfig:
    """Applies each known `config/` key when it is written here or comes from a peer."""

    def __init__(self, store: Store, stats: Stats) -> None:
        self.store = store
        self.stats = stats
        self.known: dict[str, tuple[Callable[[Any], bool], Callable[[Any], None]]] = {}
        store.changed.append(self._changed)

    def key(self, name: str, good: Callable[[Any], bool], apply: Callable[[Any], None], first: Any) -> None:
        """A key that the node obeys, with the value to begin with."""
        self.known[f"config/{name}"] = (good, apply)
        self.store.seed(f"config/{name}", first)

    def _changed(self, entries: list[Entry], source: object) -> None:
        for entry in entries:
            if entry.key not in self.known or entry.deleted:
                continue
            good, apply = self.known[entry.key]
            if good(entry.value):
                apply(entry.value)
            else:
                # Guards against a value of the wrong kind: what was in force stays so.
                self.stats.count("config_ignored")
                log.warning("configuration ignored", key=entry.key, value=repr(entry.value)[:80])
