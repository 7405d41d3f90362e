"""What an earlier version sealed, signed or wrote as a line is understood, and made again if not random."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tests.compatibility import present, readers
from tests.compatibility.fixtures import exact, load

SEALED: dict[str, Any] = load("sealed.json")


def unwrapped(value: Any) -> Any:
    """The plain value without the labels of its classes, as JSON would have it."""
    if isinstance(value, dict):
        if "is" in value:
            return {name: unwrapped(each) for name, each in value["fields"].items()}
        return bytes.fromhex(value["bytes"])
    return [unwrapped(each) for each in value] if isinstance(value, list) else value


def test_a_token_of_a_session_is_opened() -> None:
    sealed = SEALED["session_token"]
    given = unwrapped(sealed["ring"]), sealed["cluster"]
    assert exact(readers.open_session_token(*given, sealed["token"], sealed["now"])) == exact(sealed["place"])


def test_a_token_of_a_session_is_refused_for_the_same_reasons() -> None:
    sealed = SEALED["session_token"]
    ring, cluster, now = unwrapped(sealed["ring"]), sealed["cluster"], sealed["now"]

    def reason(token: str, cluster: str = cluster, now: float = now) -> str:
        return readers.refusal_of_session_token(ring, cluster, token, now)

    assert reason(sealed["token"]) == ""
    assert reason(sealed["retired_token"]) == "retired_key"
    assert reason(sealed["token"], cluster="another") == "forged"
    assert reason(sealed["token"], now=now + 600.0) == "expired"
    assert reason(sealed["token"], now=now - 600.0) == "early"
    assert reason(sealed["token"][:20]) == "malformed"


def test_a_claim_s_digest_is_the_same() -> None:
    digest = SEALED["session_token"]["digest_of_retry"]
    assert readers.kept_of_retry_secret(digest["retry"]) == digest["kept"]


@pytest.fixture
def quic() -> readers.Quic:
    """Ids and tokens by the stored ring."""
    return readers.Quic(unwrapped(SEALED["quic"]["ring"]))


@pytest.mark.parametrize("entry", SEALED["quic"]["ids"], ids=lambda entry: f"key {entry['bits']}")
def test_a_connection_id_names_its_holder_and_is_made_again(
    quic: readers.Quic, entry: dict[str, Any]
) -> None:
    made, nonce = bytes.fromhex(entry["id"]), bytes.fromhex(entry["nonce"])
    assert exact(quic.holder_of(made)) == exact(entry["holder"])
    assert quic.make_id(entry["bits"], entry["holder"]["fields"], nonce) == made
    assert quic.reset_token(made).hex() == entry["reset_token"]


@pytest.mark.parametrize("shape", SEALED["quic"]["other_shapes"], ids=lambda shape: f"bits {shape['bits']}")
def test_connection_ids_of_all_shapes_are_read_and_made_again(shape: dict[str, Any]) -> None:
    made, server, nonce = (bytes.fromhex(shape[name]) for name in ("id", "server", "nonce"))
    assert readers.read_connection_id(shape, made) == (server, nonce)
    assert readers.connection_id(shape, server, nonce, shape["chance"]) == made


@pytest.mark.parametrize("name", ["retry_token", "new_token", "new_token_of_the_older_key"])
def test_an_address_token_proves_its_address(quic: readers.Quic, name: str) -> None:
    sealed = SEALED["quic"]
    address, destination = tuple(sealed["address"]), bytes.fromhex(sealed["destination"])
    found = quic.proven(bytes.fromhex(sealed[name]), address, destination, sealed["now"] + 1.0)
    assert found == (bytes.fromhex(sealed["original"]) if name == "retry_token" else None)


@pytest.mark.parametrize("entry", SEALED["resume_lines"], ids=lambda entry: entry["kind"])
def test_a_line_of_a_resumable_session_is_read_and_written_again(entry: dict[str, Any]) -> None:
    raw = bytes.fromhex(entry["line"])
    line = readers.LINES[entry["kind"]](*map(unwrapped, entry["fields"]))
    assert readers.read_line(raw.removesuffix(b"\r\n")) == line
    assert readers.write_line(line) == raw


def test_a_node_s_snapshot_is_read_and_written_again(tmp_path: Path) -> None:
    stored, path = SEALED["node_snapshot"], tmp_path / "node.snapshot"
    path.write_bytes(bytes.fromhex(stored["file"]))
    assert readers.read_node_snapshot(path) == stored["out"]
    readers.write_node_snapshot(path, stored["out"])
    assert path.read_bytes().hex() == stored["file"]


def test_a_link_begins_and_goes_on_with_the_same_bytes() -> None:
    stored = SEALED["link"]
    secret = bytes.fromhex(stored["secret"])
    ends = {
        side: readers.LinkEnd(secret, unwrapped(stored[side]), side == "dialer")
        for side in ("dialer", "acceptor")
    }
    said, spoken = [], []
    for side, raw in stored["bytes"]:
        other = "acceptor" if side == "dialer" else "dialer"
        words, reply = ends[other].receive(bytes.fromhex(raw))
        said += [[side, present.plain(word)] for word in words]
        spoken += [[other, reply.hex()]] if reply else []
        spoken += [[side, ends[side].send(word).hex()] for word in words]
    assert exact(said) == exact(stored["said"])
    assert [["dialer", ends["dialer"].begin().hex()], *spoken] == stored["bytes"]


def test_the_last_word_on_a_link_that_is_refused_is_the_same() -> None:
    stored = SEALED["link"]
    end = readers.LinkEnd(bytes.fromhex(stored["secret"]), unwrapped(stored["acceptor"]), False)
    assert end.last_word("busy: full").hex() == stored["turned"]
