"""What can be wrong with a recording, or with what is to be done with it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SHOWN_FIELDS = 4  # of those in which two algorithms differ


class CaptureError(ValueError):
    """The base of this package's errors; each is one plain line for whoever runs a command."""


class BadRecordingError(CaptureError):
    """A file that is no recording, can't be had, or is of a version that this program does not read."""


class OtherVersionError(BadRecordingError):
    """A file in a version of the format that this program does not read; read it with one that does."""

    def __init__(self, found: str, known: int) -> None:
        super().__init__(f"a capture of version {found}; this program reads version {known}")
        self.found, self.known = found, known


class FrameTooLargeError(CaptureError):
    """A frame that no reader would take."""

    def __init__(self, size: int) -> None:
        super().__init__(f"a frame of {size} bytes")


class BadRecordError(CaptureError):
    """An event, action or settings of a recording that this version does not know."""


class BadWhatIfError(CaptureError):
    """A setting that there is not, or a recording that nothing can be played from."""


class BadStateError(CaptureError):
    """A state that does not fit the decision module."""


class LaterStateError(BadStateError):
    """A state that a later version of this program has written; read it with that version."""

    def __init__(self, found: int, known: int) -> None:
        super().__init__(f"a state of format {found}; this program reads formats up to {known}")
        self.found, self.known = found, known


@dataclass(slots=True, frozen=True)
class DecisionVersion:
    """Which program decided, and by which code."""

    program: str
    digest: str  # SHA-256 of the decision module, in hexadecimal

    def __str__(self) -> str:
        return f"version {self.program[:20]} (decisions {self.digest[:12]})"


class OtherAlgorithmError(BadStateError):
    """A sound state of a module that decides by another algorithm, and so keeps something else."""

    def __init__(
        self,
        kind: str,
        fields: Iterable[str],
        recorded: DecisionVersion | None = None,
        present: DecisionVersion | None = None,
    ) -> None:
        self.kind, self.fields = kind, sorted(fields)
        self.recorded, self.present = recorded, present
        named = ", ".join(field[:40] for field in self.fields[:SHOWN_FIELDS])
        more = len(self.fields) - SHOWN_FIELDS
        found = f"its {kind} differs in {named}{f' and {more} more' if more > 0 else ''}"
        if recorded is not None and present is not None:
            found = f"recorded by {recorded}, whose algorithm is not that of {present}: {found}"
        super().__init__(found)


class BadModuleError(CaptureError):
    """A file or folder that can't be loaded as a decision module."""
