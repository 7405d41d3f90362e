"""The fields of a resumable session's first line: what a node reads, takes out and adds. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gradegap.downstream.framing import Opening, parse_opening


@dataclass(slots=True)
class SessionOffer:
    """A session between its first line and the endpoint's answer, and what is known of it afterwards."""

    session: str
    generation: int  # the generation that goes on by this line
    seen: int  # answers up to here are with the client
    client_key: str
    class_name: str
    client_digest: str = ""  # of its secret, by which it may return for a generation that it was not sent
    last_position: int = -1  # answers that had passed when it was last migrated in place
    fruitless_migrations: int = 0  # migrations since, with no answer in between


class FirstLine:
    """An `OPEN` line, with its fields by name, in their order."""

    def __init__(self, line: bytes) -> None:
        self.head, _, fields = line.decode().rstrip("\r\n").rpartition(" ")
        self.fields = dict(pair.split("=", 1) for pair in fields.split(","))

    def opening_with(self, fields: Mapping[str, str]) -> Opening:
        """The line with these fields added or replaced, parsed."""
        joined = ",".join(f"{name}={value}" for name, value in (self.fields | dict(fields)).items())
        return parse_opening(f"{self.head} {joined}\r\n".encode())


def offer_fields(offer: SessionOffer) -> dict[str, str]:
    """What the node adds, for the endpoint: it offers the extension, and names the session."""
    return {"rs": "1", "rn": f"{offer.session}.{offer.generation}"}
