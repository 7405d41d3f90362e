"""Operator configuration that takes effect while the node runs: `config/` keys of the store."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import structlog

from gradegap.metrics import Metrics

log = structlog.get_logger()

LEVELS = {name: getattr(logging, name.upper()) for name in ("debug", "info", "warning", "error")}


def set_log_level(name: str) -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(LEVELS[name]))


class DynamicConfiguration:
    """The settings that a node obeys, each with its value of the start and what applies it."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.known: dict[str, tuple[Any, Callable[[Any], None]]] = {}
        self.set: dict[str, Any] = {}  # what was set, also before there was something to apply it

    def key(self, name: str, first: Any, apply: Callable[[Any], None]) -> None:
        """A setting that the node obeys from now on."""
        self.known[name] = (first, apply)
        if name in self.set:
            self.apply(name, self.set[name])

    def apply(self, name: str, value: Any) -> None:
        """Let a value take effect."""
        from gradegap.store.schema import check_value  # only a node with a store comes here

        self.set[name] = value
        if name not in self.known:
            return
        try:
            good = check_value(f"config/{name}", value)
        except ValueError as error:
            # Guards against a value written by another version: what was in force stays so.
            self.metrics.count("config_ignored")
            log.warning("configuration ignored", key=name, error=str(error)[:200])
            return
        self.known[name][1](good)

    def reset(self, name: str) -> None:
        """The key is gone: the value of the start takes effect."""
        self.set.pop(name, None)
        if name in self.known:
            first, apply = self.known[name]
            apply(first)
