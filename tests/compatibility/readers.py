"""The code as it stands, as a reader of what is no single message.

A function that is renamed or moved changes its line here, and never a fixture: recordings' frames, a store's
folder, snapshots, sealed tokens, connection ids, the lines of a session and the beginning of a link.
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
    """What the sound frames of a recording hold."""
    return [frame.body for frame in frames.read(data) if isinstance(frame, frames.Frame)]


@dataclass(frozen=True)
class StoreFolder:
    """What a member's folder holds, plain, and the state machine that a member begins with."""

    contents: dict[str, Any]
    entries: list[raft.Entry]
    machine: machine.StateMachine

    def digest(self) -> str:
        """Of all keys, as members compare it."""
        return self.machine.digest()

    def state(self) -> Any:
        """All of the state, plain."""
        return plain(self.machine.export_state())

    def at(self, revision: int) -> Any:
        """The values as they were after a revision, plain."""
        return plain(self.machine.values_at(revision, ""))

    def revisions_of_the_last(self, revisions: int) -> list[int]:
        """Of the changes that a watch from so many revisions back is sent."""
        return [event.revision for event in self.machine.events_since(self.machine.revision - revisions)]

    def apply_the_rest(self) -> list[Any]:
        """Apply the entries that the stored state does not have yet; their results by index."""
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
    """A folder as a member reads it at its start."""
    opened = storage.MemberStorage(folder)
    try:
        found = opened.start()
    finally:
        opened.close()
    made = machine.StateMachine()
    made.load_state(found.state)
    contents = {
        "identity": plain(found.identity),
        "hard": plain(found.raft_hard_state),
        "base": plain(found.base),
        "entries": [_log_entry(entry) for entry in found.entries],
        "state": plain(found.state),
    }
    return StoreFolder(contents, found.entries, made)


def _log_entry(entry: raft.Entry) -> dict[str, Any]:
    """An entry of the log with what it carries."""
    row: dict[str, Any] = plain(entry)
    if entry.kind is raft.EntryKind.COMMAND:
        row["logged"] = plain(msgspec.msgpack.decode(entry.data, type=records.LogRecord))
    if entry.kind is raft.EntryKind.CONFIGURATION:
        row["config"] = plain(msgspec.msgpack.decode(entry.data, type=raft.ClusterConfiguration))
    return row


def copy_store_folder(source: Path, target: Path) -> None:
    """Read a folder and write all of it into a new one."""
    opened = storage.MemberStorage(source)
    found = opened.start()
    opened.close()
    made = storage.MemberStorage(target)
    made.start()
    state = found.state
    made.write(
        storage.WriteBatch(
            raft_hard_state=found.raft_hard_state,
            identity=found.identity,
            base=found.base,
            full_state=state,
            entries=found.entries,
            applied=storage.AppliedPosition(state.index, state.revision, state.clock_ms),
        )
    )
    made.close()


def unpack_snapshot(data: bytes) -> Any:
    """The state that a packed snapshot holds, plain."""
    return plain(state_snapshot.decode_snapshot(data))


def repack_snapshot(data: bytes) -> bytes:
    """A snapshot read and packed again."""
    return state_snapshot.encode_snapshot(state_snapshot.decode_snapshot(data))


def open_session_token(ring: dict[str, Any], cluster: str, sealed: str, now: float) -> Any:
    """What a token of a resumable session proves, plain."""
    return plain(token.open_token(msgspec.convert(ring, token.KeyRing), cluster, sealed, now))


def refusal_of_session_token(ring: dict[str, Any], cluster: str, sealed: str, now: float) -> str:
    """The reason for which a token is refused; empty for one that is not."""
    try:
        token.open_token(msgspec.convert(ring, token.KeyRing), cluster, sealed, now)
    except TokenError as error:
        return str(error).partition(":")[0]
    return ""


def kept_of_retry_secret(secret: str) -> str:
    """What a claim keeps of the secret by which a client shows that it is the same."""
    return reservations.secret_digest(secret)


class Quic:
    """Connection ids and address tokens by one ring of keys."""

    def __init__(self, ring: dict[str, Any]) -> None:
        self.keys = keys.DerivedKeys(msgspec.convert(ring, keys.QuicRing))
        self.tokens = tokens.AddressTokens(self.keys)

    def holder_of(self, connection_id: bytes) -> Any:
        """Who holds the session of a connection id, plain."""
        read = self.keys.ids.read(connection_id)
        return None if read is None else plain(keys.Holder.of(read.server))

    def make_id(self, bits: int, holder: dict[str, int], nonce: bytes) -> bytes:
        """A connection id by one key of the ring."""
        return self.keys.ids.codecs[bits].make(keys.Holder(**holder).octets(), nonce)

    def reset_token(self, connection_id: bytes) -> bytes:
        """The token that ends the connection of an id."""
        return self.keys.reset_token(connection_id)

    def proven(self, sealed: bytes, address: tuple[str, int], destination: bytes, now: float) -> bytes | None:
        """The client's first id for a Retry's token; none for one of NEW_TOKEN."""
        return self.tokens.validate(sealed, address, destination, now)


def connection_id(shape: dict[str, Any], server: bytes, nonce: bytes, chance: int) -> bytes:
    """A connection id of a shape that is given whole."""
    return _coder(shape).make(server, nonce, chance)


def read_connection_id(shape: dict[str, Any], made: bytes) -> tuple[bytes, bytes] | None:
    """The server id and the nonce of a connection id."""
    read = _coder(shape).read(made)
    return None if read is None else (read.server, read.nonce)


def _coder(shape: dict[str, Any]) -> ids.IdCodec:
    key = bytes.fromhex(shape["key"])
    made = ids.IdConfiguration(
        shape["bits"], shape["server_length"], shape["nonce_length"], key, shape["says_length"]
    )
    return ids.IdCodec(made)


LINES: dict[str, Any] = {
    "request": lines.Request,
    "answer": lines.Answer,
    "seen": lines.Seen,
    "new_token": lines.NewToken,
    "over": lines.Over,
}


def read_line(raw: bytes) -> Any:
    """A line of a resumable session, without its CRLF."""
    return lines.decode(raw)


def write_line(line: Any) -> bytes:
    """A line of a resumable session, with its CRLF."""
    return lines.encode(line)


def read_node_snapshot(path: Path) -> dict[str, float]:
    """Servers that are out by hand, as the next process of a node reads them."""
    return DisabledEndpointsFile(path, Metrics()).read()


def write_node_snapshot(path: Path, out: dict[str, float]) -> None:
    """The same, written."""
    DisabledEndpointsFile(path, Metrics()).write(out)


class LinkEnd:
    """One end of a link that begins with a given hello."""

    def __init__(self, secret: bytes, hello: Any, dials: bool) -> None:
        self.channel = LinkChannel(secret, msgspec.convert(hello, wire.Hello), dials)

    def begin(self) -> bytes:
        """What this end sends first."""
        return self.channel.begin()

    def receive(self, data: bytes) -> tuple[list[Any], bytes]:
        """The messages that are whole by now, and what is sent at once."""
        return self.channel.receive(data)

    def send(self, message: Any) -> bytes:
        """One frame."""
        return self.channel.send(message)

    def last_word(self, reason: str) -> bytes:
        """The last frame on a link that is refused."""
        return self.channel.reject(reason)
