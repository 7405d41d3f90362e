"""Reads and writes, with the current code, stored data that is not a single message.

This covers frames of recordings, a store member's folder, snapshots, sealed tokens, connection ids, lines of
a session and the handshake of a link. When a function is renamed or moved, its line here changes, never a
fixture.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from gradegap import raft
from gradegap.capture import frames
from gradegap.metrics import Metrics
from gradegap.quic import ids, keys, tokens
from gradegap.resume import lines, reservations, token
from gradegap.resume.errors import TokenError
from gradegap.store import machine, records, state_snapshot, storage, wire
from gradegap.store.channel import LinkChannel
from gradegap.store.disabled_endpoints import DisabledEndpointsFile
from tests.compatibility.present import plain


def frame_bodies(data: bytes) -> list[Any]:
    """Returns the bodies of the valid frames of a recording."""
    return [frame.body for frame in frames.read(data) if isinstance(frame, frames.Frame)]


@dataclass(frozen=True)
class StoreFolder:
    """The plain contents of a member's folder, and the state machine with which the member starts."""

    contents: dict[str, Any]
    entries: list[raft.Entry]
    machine: machine.StateMachine

    def digest(self) -> str:
        """Returns the digest of all keys that members compare."""
        return self.machine.digest()

    def state(self) -> Any:
        """Returns the whole state, plain."""
        return plain(self.machine.export_state())

    def at(self, revision: int) -> Any:
        """Returns the values as of a revision, plain."""
        return plain(self.machine.values_at(revision, ""))

    def revisions_of_the_last(self, revisions: int) -> list[int]:
        """Returns the revisions of the events that a watch gets if it starts `revisions` revisions back."""
        return [event.revision for event in self.machine.events_since(self.machine.revision - revisions)]

    def apply_the_rest(self) -> list[Any]:
        """Applies the entries that the stored state does not include; returns their indices and results."""
        results = []
        for entry in self.entries:
            if entry.index <= self.machine.index:
                continue
            if entry.kind is raft.EntryKind.COMMAND:
                results.append([entry.index, plain(self.machine.apply(entry.index, entry.data))])
            else:
                self.machine.skip(entry.index)
        return results


def read_store_folder(folder: Path) -> StoreFolder:
    """Reads a folder as a member does when it starts."""
    source_storage = storage.MemberStorage(folder)
    try:
        stored = source_storage.start()
    finally:
        source_storage.close()
    made = machine.StateMachine()
    made.load_state(stored.state)
    contents = {
        "identity": plain(stored.identity),
        "hard": plain(stored.raft_hard_state),
        "base": plain(stored.base),
        "entries": [_log_entry(entry) for entry in stored.entries],
        "state": plain(stored.state),
    }
    return StoreFolder(contents, stored.entries, made)


def _log_entry(entry: raft.Entry) -> dict[str, Any]:
    """Returns a log entry, plain, with its decoded payload."""
    row: dict[str, Any] = plain(entry)
    if entry.kind is raft.EntryKind.COMMAND:
        row["logged"] = plain(msgspec.msgpack.decode(entry.data, type=records.LogRecord))
    if entry.kind is raft.EntryKind.CONFIGURATION:
        row["config"] = plain(msgspec.msgpack.decode(entry.data, type=raft.ClusterConfiguration))
    return row


def copy_store_folder(source: Path, target: Path) -> None:
    """Reads a folder and writes its whole contents into a new one."""
    source_storage = storage.MemberStorage(source)
    stored = source_storage.start()
    source_storage.close()
    made = storage.MemberStorage(target)
    made.start()
    state = stored.state
    made.write(
        storage.WriteBatch(
            raft_hard_state=stored.raft_hard_state,
            identity=stored.identity,
            base=stored.base,
            full_state=state,
            entries=stored.entries,
            applied=storage.AppliedPosition(state.index, state.revision, state.clock_ms),
        )
    )
    made.close()


def unpack_snapshot(data: bytes) -> Any:
    """Returns the state in an encoded snapshot, plain."""
    return plain(state_snapshot.decode_snapshot(data))


def repack_snapshot(data: bytes) -> bytes:
    """Decodes a snapshot and encodes it again."""
    return state_snapshot.encode_snapshot(state_snapshot.decode_snapshot(data))


def open_session_token(ring: dict[str, Any], cluster: str, sealed: str, now: float) -> Any:
    """Returns the place that a token of a resumable session proves, plain."""
    return plain(token.open_token(msgspec.convert(ring, token.KeyRing), cluster, sealed, now))


def refusal_of_session_token(ring: dict[str, Any], cluster: str, sealed: str, now: float) -> str:
    """Returns the reason for which a token is rejected, or an empty string if it is valid."""
    try:
        token.open_token(msgspec.convert(ring, token.KeyRing), cluster, sealed, now)
    except TokenError as error:
        return str(error).partition(":")[0]
    return ""


def kept_of_retry_secret(secret: str) -> str:
    """Returns the digest that a reservation stores of the secret by which a client proves its identity."""
    return reservations.secret_digest(secret)


class Quic:
    """Connection ids and address tokens of one key ring."""

    def __init__(self, ring: dict[str, Any]) -> None:
        self.keys = keys.DerivedKeys(msgspec.convert(ring, keys.QuicRing))
        self.tokens = tokens.AddressTokens(self.keys)

    def holder_of(self, connection_id: bytes) -> Any:
        """Returns the holder of a connection id's session, plain."""
        read = self.keys.ids.read(connection_id)
        return None if read is None else plain(keys.Holder.of(read.server_id))

    def make_id(self, bits: int, holder: dict[str, int], nonce: bytes) -> bytes:
        """Encodes a connection id with one key of the ring."""
        return self.keys.ids.codecs[bits].make(keys.Holder(**holder).octets(), nonce)

    def reset_token(self, connection_id: bytes) -> bytes:
        """Returns the stateless reset token of a connection id."""
        return self.keys.reset_token(connection_id)

    def proven(self, sealed: bytes, address: tuple[str, int], destination: bytes, now: float) -> bytes | None:
        """Returns the client's original destination id from a Retry token; None for a NEW_TOKEN token."""
        return self.tokens.validate(sealed, address, destination, now)


def connection_id(shape: dict[str, Any], server: bytes, nonce: bytes, chance: int) -> bytes:
    """Encodes a connection id of the given shape."""
    return _coder(shape).make(server, nonce, chance)


def read_connection_id(shape: dict[str, Any], made: bytes) -> tuple[bytes, bytes] | None:
    """Returns the server id and the nonce of a connection id, or None if it can't be decoded."""
    read = _coder(shape).read(made)
    return None if read is None else (read.server_id, read.nonce)


def _coder(shape: dict[str, Any]) -> ids.IdCodec:
    key = bytes.fromhex(shape["key"])
    made = ids.IdConfiguration(
        shape["bits"], shape["server_length"], shape["nonce_length"], key, shape["says_length"]
    )
    return ids.IdCodec(made)


LINES: dict[str, Any] = {
    "request": lines.Request,
    "answer": lines.Answer,
    "seen": lines.Acknowledgement,
    "new_token": lines.NewToken,
    "over": lines.SessionEnded,
}


def read_line(raw: bytes) -> Any:
    """Decodes a line of a resumable session, given without its CRLF."""
    return lines.decode(raw)


def write_line(line: Any) -> bytes:
    """Encodes a line of a resumable session, with its CRLF."""
    return lines.encode(line)


def read_node_snapshot(path: Path) -> dict[str, float]:
    """Returns the manually disabled endpoints as the next process of a node reads them."""
    return DisabledEndpointsFile(path, Metrics()).read()


def write_node_snapshot(path: Path, out: dict[str, float]) -> None:
    """Writes the manually disabled endpoints as a node does."""
    DisabledEndpointsFile(path, Metrics()).write(out)


class LinkEnd:
    """One end of a link whose handshake starts with the given hello."""

    def __init__(self, secret: bytes, hello: Any, dials: bool) -> None:
        self.channel = LinkChannel(secret, msgspec.convert(hello, wire.Hello), dials)

    def begin(self) -> bytes:
        """Returns the first bytes that this end sends."""
        return self.channel.begin()

    def receive(self, data: bytes) -> tuple[list[Any], bytes]:
        """Returns the messages that are complete and the bytes to send in reply."""
        return self.channel.receive(data)

    def send(self, message: Any) -> bytes:
        """Returns a message as one frame."""
        return self.channel.send(message)

    def last_word(self, reason: str) -> bytes:
        """Returns the last frame on a link that is rejected."""
        return self.channel.reject(reason)
