"""What can be wrong with a recording, or with what is asked of it."""

from __future__ import annotations


class CaptureError(ValueError):
    """The base of this package's errors; each is one plain line for whoever runs a command."""


class BadStateError(CaptureError):
    """A state that does not fit the decision module."""


class LaterStateError(BadStateError):
    """A state that a later version of this program has written; read it with that version."""

    def __init__(self, found: int, known: int) -> None:
        super().__init__(f"a state of format {found}; this program reads formats up to {known}")
        self.found, self.known = found, known


class OtherAlgorithmError(BadStateError):
    """A sound state of a module that decides by another algorithm, and so keeps something else."""


class BadModuleError(CaptureError):
    """A file or folder that can't be loaded as a decision module."""
