"""The operator's file: it enables optional parts of a node, all of which are off by default.

The platform's configuration is a separate file. Each package defines and checks its own table of the
operator's file; this module combines them.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from gradegap.capture.settings import CaptureSettings
from gradegap.discovery.settings import DnsSdSettings
from gradegap.errors import OperatorFileError
from gradegap.quic.settings import QuicSettings
from gradegap.resume.settings import ResumeSettings
from gradegap.store.settings import StoreSettings, check_store_table_form
from gradegap.store.subscription_settings import ObserverSettings


class TraceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[trace]` table: writes each step of the balancer to standard error."""

    decisions: bool = True


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The operator's file: one table for each optional part of a node; None disables the part."""

    quic: QuicSettings | None = None
    store: StoreSettings | None = None
    dnssd: DnsSdSettings | None = None
    resume: ResumeSettings | None = None
    capture: CaptureSettings | None = None
    trace: TraceSettings | None = None
    observer: ObserverSettings | None = None

    @property
    def committed_source_settings(self) -> StoreSettings | ObserverSettings | None:
        """Settings of the source of committed configuration; None if this node has no source."""
        return self.store if self.store is not None else self.observer

    def check(self) -> None:
        """Check the conditions that the types of single keys don't express.

        Raises:
            OperatorFileError: for the first invalid setting.
        """
        if self.store is not None:
            self.store.check()
        if self.observer is not None:
            if self.store is not None:
                raise OperatorFileError(
                    "[observer] and [store] exclude each other: "
                    "a node is either a subscriber or a member; remove one of the tables"
                )
            self.observer.check()
        if self.dnssd is not None:
            self.dnssd.check()


def _decode(raw: bytes) -> OperatorSettings:
    tables: Any = msgspec.toml.decode(raw)
    if isinstance(tables, dict):
        check_store_table_form(tables.get("store"))
    return msgspec.toml.decode(raw, type=OperatorSettings)


def load_operator(path: str | None) -> OperatorSettings:
    """Load an operator's file; without a path, all optional parts are off.

    Raises:
        OperatorFileError: if the file can't be read or its settings are invalid.
    """
    if not path:
        return OperatorSettings()
    try:
        settings = _decode(Path(path).read_bytes())
    except OSError as error:
        raise OperatorFileError(f"{path} can't be read: {error.strerror}") from None
    except OperatorFileError as error:
        raise OperatorFileError(f"{path}: {error}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise OperatorFileError(f"{path} is not a valid operator's file: {error}") from None
    settings.check()
    return settings
