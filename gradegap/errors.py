"""Errors that any program of this package may end with at its start, each one plain line for its operator."""

from __future__ import annotations


class ConfigurationError(ValueError):
    """A configuration that can't be used: a node doesn't start with it, and a reload changes nothing."""


class OperatorFileError(ConfigurationError):
    """An operator's file, or a file that it names, that can't be used."""
