"""The exceptions of this package."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_FIELDS_SHOWN = 4  # differing fields that the message of `OtherAlgorithmError` names


class CaptureError(ValueError):
    """The base class; each message is a single line, which commands print to the user."""


class BadRecordingError(CaptureError):
    """A file that is not a recording, can't be read, or has an unsupported format version."""


class OtherVersionError(BadRecordingError):
    """A file in a format version that this program does not support; another program version may."""

    def __init__(self, found: str, known: int) -> None:
        super().__init__(f"recording has format version {found}; this program reads version {known}")
        self.found, self.known = found, known


class FrameTooLargeError(CaptureError):
    """A frame whose body exceeds the size that readers accept."""

    def __init__(self, size: int) -> None:
        super().__init__(f"frame body has {size} bytes, more than readers accept")


class BadRecordError(CaptureError):
    """An event, action or settings in a recording that this version can't decode."""


class BadWhatIfError(CaptureError):
    """An unknown or invalid setting, or a recording that lacks the data to start a simulation."""


class BadStateError(CaptureError):
    """A stored state that is malformed or does not fit the decision module."""


class LaterStateError(BadStateError):
    """A state written by a later version of this program; only that version can read it."""

    def __init__(self, found: int, known: int) -> None:
        super().__init__(f"state has format {found}; this program reads formats up to {known}")
        self.found, self.known = found, known


@dataclass(slots=True, frozen=True)
class DecisionVersion:
    """The version of the program that made the decisions, and the digest of its decision module."""

    program: str
    digest: str  # SHA-256 of the decision module, in hexadecimal

    def __str__(self) -> str:
        return f"version {self.program[:20]} (decisions {self.digest[:12]})"


class OtherAlgorithmError(BadStateError):
    """A valid state of a decision module with another algorithm, in which the objects have other fields."""

    def __init__(
        self,
        kind: str,
        fields: Iterable[str],
        recorded: DecisionVersion | None = None,
        present: DecisionVersion | None = None,
    ) -> None:
        self.kind, self.fields = kind, sorted(fields)
        self.recorded, self.present = recorded, present
        shown = ", ".join(field[:40] for field in self.fields[:MAX_FIELDS_SHOWN])
        omitted_count = len(self.fields) - MAX_FIELDS_SHOWN
        message = f"its {kind} differs in {shown}{f' and {omitted_count} more' if omitted_count > 0 else ''}"
        if recorded is not None and present is not None:
            message = f"recorded by {recorded}, whose algorithm is not that of {present}: {message}"
        super().__init__(message)


class BadModuleError(CaptureError):
    """A file or folder that can't be loaded as a decision module."""
