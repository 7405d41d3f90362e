"""Operator settings of a node that subscribes."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from gradegap.errors import OperatorFileError
from gradegap.setting_checks import check_loopback, check_name, has_duplicates


class ObserverMachine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A control machine that serves subscriptions."""

    name: str
    address: str  # address of the control machine, as in its setting `store.publish`
    region: str = ""


class ObserverSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The `[observer]` table: this node subscribes to committed configuration and is no member itself."""

    machines: Annotated[tuple[ObserverMachine, ...], msgspec.Meta(min_length=1, max_length=32)]
    name: str = ""  # empty: the node's name
    region: str = ""  # the node's region: machines of the same region are tried first
    secret: str = ""  # path of the file with the cluster's secret
    # treatment of new requests while the node has no valid lease
    when_stale: Literal["refuse", "serve"] = "refuse"
    bytes_per_s: Annotated[int, msgspec.Meta(ge=500, le=1_000_000)] = 3000  # send rate limit of the node

    def check(self) -> None:
        """Check names and addresses.

        Raises:
            OperatorFileError: A setting is invalid; the text names the first one.
        """
        if self.name:
            check_name(self.name, "observer.name is")
        for machine in self.machines:
            check_name(machine.name, "observer.machines:")
            check_loopback(machine.address, f"observer.machines: the address of {machine.name}")
        if has_duplicates(machine.name for machine in self.machines):
            raise OperatorFileError("observer.machines: two machines have the same name")
        if has_duplicates(machine.address for machine in self.machines):
            raise OperatorFileError("observer.machines: two machines have the same address")
