"""Operator configuration that takes effect while the node runs, from the `config/` keys of the store."""

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
    """Set the minimum level of log events."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(LOG_LEVELS[name]))


class DynamicSetting(NamedTuple):
    """A setting, with the value that the process started with and the function that applies a value."""

    initial: Any
    apply: Callable[[Any], None]


class DynamicConfiguration:
    """Settings that can change while the node runs."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.settings: dict[str, DynamicSetting] = {}
        # received values by setting name, including those of unregistered settings
        self.values: dict[str, Any] = {}

    def register(self, name: str, initial: Any, apply: Callable[[Any], None]) -> None:
        """Register a setting; a value that was received before takes effect at once."""
        self.settings[name] = DynamicSetting(initial, apply)
        if name in self.values:
            self.apply(name, self.values[name])

    def apply(self, name: str, value: Any) -> None:
        """Apply a value; an invalid one is ignored, counted and logged."""
        from gradegap.store.schema import check_value  # needed only by nodes with a store

        self.values[name] = value
        if name not in self.settings:
            return
        try:
            checked = check_value(f"config/{name}", value)
        except ValueError as error:
            # Another version of the software may have written the value. The previous one stays in force.
            self.metrics.count("config_ignored")
            log.warning("configuration ignored", key=name, error=str(error)[:MAX_LOGGED_ERROR_LENGTH])
            return
        self.settings[name].apply(checked)

    def reset(self, name: str) -> None:
        """Restore the value that the process started with, after the key was deleted."""
        self.values.pop(name, None)
        if name in self.settings:
            setting = self.settings[name]
            setting.apply(setting.initial)
