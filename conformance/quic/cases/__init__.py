"""All cases, in the order of execution."""

from __future__ import annotations

from conformance.quic.case import Case
from conformance.quic.cases import addresses, closing, frames, handshake, packets, versions

__all__ = ["CASES"]

CASES: tuple[Case, ...] = (
    *versions.cases,
    *packets.cases,
    *handshake.cases,
    *frames.cases,
    *addresses.cases,
    *closing.cases,
)
