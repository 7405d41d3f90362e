"""The operator's file: what a node has beyond the platform's configuration. All of it is off by default.

Each package defines and checks its own table; here they are put together.
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
    """The `[trace]` table: every step of the balancer, one line each on standard error."""

    decisions: bool = True


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The operator's file: one table for each optional part of a node; None where a node does without."""

    quic: QuicSettings | None = None
    store: StoreSettings | None = None
    dnssd: DnsSdSettings | None = None
    resume: ResumeSettings | None = None
    capture: CaptureSettings | None = None
    trace: TraceSettings | None = None
    observer: ObserverSettings | None = None

    @property
    def decides_by(self) -> StoreSettings | ObserverSettings | None:
        """Where committed configuration comes from; None: this node knows of none."""
        return self.store if self.store is not None else self.observer

    def check(self) -> None:
        """What single keys don't show.

        Raises:
            OperatorFileError: for the first setting that can't be used.
        """
        if self.store is not None:
            self.store.check()
        if self.observer is not None:
            if self.store is not None:
                raise OperatorFileError(
                    "[observer] and [store] exclude each other: "
                    "a node subscribes, or is a member; leave one out"
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
    """The settings of an operator's file; those of an empty one where no file is named.

    Raises:
        OperatorFileError: where it can't be read or used.
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
        raise OperatorFileError(f"{path} is no operator's file: {error}") from None
    settings.check()
    return settings
