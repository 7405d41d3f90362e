"""Tests that tokens, connection ids, lines, snapshots and links of an earlier version are read.

Data that contains nothing random is also written again to the same bytes.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tests.compatibility import present, readers
from tests.compatibility.fixtures import exact, load

SEALED: dict[str, Any] = load("sealed.json")


def unwrapped(value: Any) -> Any:
    """Returns a plain value as JSON would have it, without the labels of its classes."""
    if isinstance(value, dict):
        if "is" in value:
            return {name: unwrapped(each) for name, each in value["fields"].items()}
        return bytes.fromhex(value["bytes"])
    return [unwrapped(each) for each in value] if isinstance(value, list) else value


def test_session_token_is_opened_to_the_same_place() -> None:
    sealed = SEALED["session_token"]
    arguments = unwrapped(sealed["ring"]), sealed["cluster"]
    assert exact(readers.open_session_token(*arguments, sealed["token"], sealed["now"])) == exact(
        sealed["place"]
    )


def test_invalid_session_token_is_rejected_for_the_same_reason() -> None:
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


def test_digest_of_a_retry_secret_is_unchanged() -> None:
    digest = SEALED["session_token"]["digest_of_retry"]
    assert readers.kept_of_retry_secret(digest["retry"]) == digest["kept"]


@pytest.fixture
def quic() -> readers.Quic:
    """Returns a reader of connection ids and tokens with the stored key ring."""
    return readers.Quic(unwrapped(SEALED["quic"]["ring"]))


@pytest.mark.parametrize("entry", SEALED["quic"]["ids"], ids=lambda entry: f"key {entry['bits']}")
def test_connection_id_is_read_to_its_holder_and_encoded_again(
    quic: readers.Quic, entry: dict[str, Any]
) -> None:
    encoded_id, nonce = bytes.fromhex(entry["id"]), bytes.fromhex(entry["nonce"])
    assert exact(quic.holder_of(encoded_id)) == exact(entry["holder"])
    assert quic.make_id(entry["bits"], entry["holder"]["fields"], nonce) == encoded_id
    assert quic.reset_token(encoded_id).hex() == entry["reset_token"]


@pytest.mark.parametrize("shape", SEALED["quic"]["other_shapes"], ids=lambda shape: f"bits {shape['bits']}")
def test_connection_id_of_each_shape_round_trips(shape: dict[str, Any]) -> None:
    encoded_id, server, nonce = (bytes.fromhex(shape[name]) for name in ("id", "server", "nonce"))
    assert readers.read_connection_id(shape, encoded_id) == (server, nonce)
    assert readers.connection_id(shape, server, nonce, shape["chance"]) == encoded_id


@pytest.mark.parametrize("name", ["retry_token", "new_token", "new_token_of_the_older_key"])
def test_address_token_is_accepted_for_its_address(quic: readers.Quic, name: str) -> None:
    sealed = SEALED["quic"]
    address, destination = tuple(sealed["address"]), bytes.fromhex(sealed["destination"])
    found = quic.proven(bytes.fromhex(sealed[name]), address, destination, sealed["now"] + 1.0)
    assert found == (bytes.fromhex(sealed["original"]) if name == "retry_token" else None)


@pytest.mark.parametrize("entry", SEALED["resume_lines"], ids=lambda entry: entry["kind"])
def test_line_of_a_resumable_session_round_trips(entry: dict[str, Any]) -> None:
    raw = bytes.fromhex(entry["line"])
    line = readers.LINES[entry["kind"]](*map(unwrapped, entry["fields"]))
    assert readers.read_line(raw.removesuffix(b"\r\n")) == line
    assert readers.write_line(line) == raw


def test_node_snapshot_round_trips(tmp_path: Path) -> None:
    stored, path = SEALED["node_snapshot"], tmp_path / "node.snapshot"
    path.write_bytes(bytes.fromhex(stored["file"]))
    assert readers.read_node_snapshot(path) == stored["out"]
    readers.write_node_snapshot(path, stored["out"])
    assert path.read_bytes().hex() == stored["file"]


def test_link_handshake_and_frames_have_the_same_bytes() -> None:
    stored = SEALED["link"]
    secret = bytes.fromhex(stored["secret"])
    ends = {
        side: readers.LinkEnd(secret, unwrapped(stored[side]), side == "dialer")
        for side in ("dialer", "acceptor")
    }
    received, sent = [], []
    for side, raw in stored["bytes"]:
        other = "acceptor" if side == "dialer" else "dialer"
        messages, reply = ends[other].receive(bytes.fromhex(raw))
        received += [[side, present.plain(message)] for message in messages]
        sent += [[other, reply.hex()]] if reply else []
        sent += [[side, ends[side].send(message).hex()] for message in messages]
    assert exact(received) == exact(stored["said"])
    assert [["dialer", ends["dialer"].begin().hex()], *sent] == stored["bytes"]


def test_rejection_frame_of_a_link_is_unchanged() -> None:
    stored = SEALED["link"]
    end = readers.LinkEnd(bytes.fromhex(stored["secret"]), unwrapped(stored["acceptor"]), False)
    assert end.last_word("busy: full").hex() == stored["turned"]
