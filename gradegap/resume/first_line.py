"""The fields of a resumable session's first line that a node reads, removes and adds. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gradegap.downstream.framing import Opening, parse_opening


@dataclass(slots=True)
class SessionOffer:
    """A resumable session that the node offers to an endpoint, and its state once it is established."""

    session: str
    generation: int  # the session's generation that begins with this offer
    seen: int  # the client has the answers up to this number
    client_key: str
    class_name: str
    # Digest of the client's secret. A client that presents the same secret may return even if it never
    # received a token for the generation in force.
    client_digest: str = ""
    # Number of the last answer that had been forwarded to the client when the session last migrated in place;
    # -1 before its first in-place migration.
    last_position: int = -1
    fruitless_migrations: int = 0  # number of consecutive in-place migrations without an answer in between


class FirstLine:
    """An `OPEN` line; its fields are kept by name and in their order."""

    def __init__(self, line: bytes) -> None:
        self.head, _, fields = line.decode().rstrip("\r\n").rpartition(" ")
        self.fields = dict(pair.split("=", 1) for pair in fields.split(","))

    def opening_with(self, fields: Mapping[str, str]) -> Opening:
        """Return the parsed line after adding these fields, or replacing those that it already has."""
        joined = ",".join(f"{name}={value}" for name, value in (self.fields | dict(fields)).items())
        return parse_opening(f"{self.head} {joined}\r\n".encode())


def offer_fields(offer: SessionOffer) -> dict[str, str]:
    """Return the fields that the node adds for the endpoint.

    They offer the extension (`rs`) and name the session with its generation (`rn`).
    """
    return {"rs": "1", "rn": f"{offer.session}.{offer.generation}"}
