"""Errors of observer subscriptions: each has a code and a remedy for the operator."""

from __future__ import annotations

from gradegap.observer.messages import CloseCode

REMEDIES: dict[CloseCode, str] = {
    CloseCode.VERSION: "run the same release of gradegap on nodes and control machines",
    CloseCode.CLUSTER: "check [observer] machines: the address belongs to another cluster",
    CloseCode.BEHIND: "none needed: the node tries another machine until this one has caught up",
    CloseCode.BUSY: "none needed if it is brief; if it lasts, add control machines or raise the limits",
    CloseCode.DUPLICATE: "two processes use the same node name: give each node a name of its own",
    CloseCode.SILENT: "check the network between node and control machine, and the load of both",
    CloseCode.GARBLED: "run the same release on both sides; if they do, a frame was damaged or forged",
    CloseCode.GAP: "none needed: the node subscribes again; report a bug if it happens often",
    CloseCode.BACKWARDS: "the control machine lost committed state: empty its data folder and let it rejoin",
    CloseCode.SLOW: "the node does not read its connection: check its load and its network",
    CloseCode.LEAVING: "none needed: the other side is stopping",
}


class ObserverError(Exception):
    """A subscription was closed or could not be established."""

    def __init__(self, code: CloseCode, text: str = "") -> None:
        self.code = code
        self.text = text
        super().__init__(f"{code.value}: {text or 'no detail'} ({self.remedy})")

    @property
    def remedy(self) -> str:
        """The action that an operator can take."""
        return REMEDIES[self.code]
