"""Operator configuration that takes effect while the node runs: `config/` keys of the store."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import structlog

from gradegap.metrics import Metrics

log = structlog.get_logger()

LOG_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
MAX_LOGGED_ERROR_LENGTH = 200


def set_log_level(name: str) -> None:
    """Log nothing below this level, from now on."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(LOG_LEVELS[name]))


class DynamicSetting(NamedTuple):
    """A setting with the value that the process started with, and what puts a value in force."""

    initial: Any
    apply: Callable[[Any], None]


class DynamicConfiguration:
    """The settings that can change while the node runs."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.settings: dict[str, DynamicSetting] = {}
        self.values: dict[str, Any] = {}  # what was set, also before there was something to apply it

    def register(self, name: str, initial: Any, apply: Callable[[Any], None]) -> None:
        """A setting that can change from now on; a value that was set before takes effect at once."""
        self.settings[name] = DynamicSetting(initial, apply)
        if name in self.values:
            self.apply(name, self.values[name])

    def apply(self, name: str, value: Any) -> None:
        """Put a value in force; one that the setting can't have is ignored, counted and logged."""
        from gradegap.store.schema import check_value  # only a node with a store comes here

        self.values[name] = value
        if name not in self.settings:
            return
        try:
            checked = check_value(f"config/{name}", value)
        except ValueError as error:
            # Guards against a value written by another version: what was in force stays so.
            self.metrics.count("config_ignored")
            log.warning("configuration ignored", key=name, error=str(error)[:MAX_LOGGED_ERROR_LENGTH])
            return
        self.settings[name].apply(checked)

    def reset(self, name: str) -> None:
        """The key was deleted: the value that the process started with is in force again."""
        self.values.pop(name, None)
        if name in self.settings:
            setting = self.settings[name]
            setting.apply(setting.initial)
