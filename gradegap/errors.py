"""Errors with which any program of this package may exit at start-up; each is one line for the operator."""

from __future__ import annotations


class ConfigurationError(ValueError):
    """The configuration is invalid: a node does not start with it, and a reload keeps the old one."""


class OperatorFileError(ConfigurationError):
    """An operator's file, or a file that it refers to, is invalid."""
