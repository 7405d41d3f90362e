"""Errors of observer subscriptions: each has a code and says what an operator can do."""

from __future__ import annotations

from gradegap.observer.messages import CloseCode

REMEDIES: dict[CloseCode, str] = {
    CloseCode.VERSION: "run the same release of gradegap on nodes and control machines",
    CloseCode.CLUSTER: "check [observer] machines: the address belongs to another cluster",
    CloseCode.BEHIND: "none needed: the node tries another machine until this one has caught up",
    CloseCode.BUSY: "none needed for a short time; if it lasts, add control machines or raise the limits",
    CloseCode.DUPLICATE: "two processes run under one node name: give each its own",
    CloseCode.SILENT: "check the network between node and control machine, and the load of both",
    CloseCode.GARBLED: "run the same release on both sides; if they do, a frame was damaged or forged",
    CloseCode.GAP: "none needed: the node subscribes again; report it if it happens often",
    CloseCode.BACKWARDS: "the control machine lost committed state: let it join again with an empty folder",
    CloseCode.SLOW: "the node does not read: check its load and its network",
    CloseCode.LEAVING: "none needed: the other side is stopping",
}


class ObserverError(Exception):
    """Why a subscription ends or was not made."""

    def __init__(self, code: CloseCode, text: str = "") -> None:
        self.code = code
        self.text = text
        super().__init__(f"{code.value}: {text or 'no detail'} ({self.remedy})")

    @property
    def remedy(self) -> str:
        """What an operator can do."""
        return REMEDIES[self.code]
