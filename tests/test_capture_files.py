"""Files of recordings: cut, damaged, hostile, redacted; and what each record comes back as."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as tuned
from hypothesis import strategies as st

import gradegap.balancing.balancer
from gradegap.balancing.actions import Forward, Migrate, Reject, SetTimer, WatchEndpoints
from gradegap.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionInherited,
    ConnectionObserved,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointPhase,
    HealthCheckEnded,
    ProxyDraining,
    ProxyResumed,
    RequestArrived,
    TimerFired,
)
from gradegap.capture import frames, records, state
from gradegap.capture.errors import BadRecordError, BadRecordingError, BadStateError
from gradegap.capture.frames import Damage, FrameKind
from gradegap.capture.redaction import IdHasher, redact
from tests.support.balancer_driver import settings
from tests.support.recorded_workload import RandomWorkload, replay_recording, workload_recording


def test_a_file_cut_at_any_byte_of_a_frame_replays_what_was_whole() -> None:
    data = workload_recording(3, 60, 3)
    whole = [f for f in frames.read(data) if not isinstance(f, Damage)]
    *_, before, last = [k for k in range(len(data)) if data.startswith(frames.MARK, k)]
    for end in range(before + 1, len(data), 7):
        found = list(frames.read(data[:end]))
        sound = [f for f in found if not isinstance(f, Damage)]
        assert len(sound) == len(whole) - (2 if end < last else 1)
        assert replay_recording(data[:end]).difference is None
        assert [d.reason for d in found if isinstance(d, Damage)] == ([] if end == last else ["truncated"])


@tuned(max_examples=150, deadline=None)
@given(st.data())
def test_a_turned_bit_costs_its_frame_alone(data: st.DataObject) -> None:
    raw = bytearray(workload_recording(4, 60, 3))
    k = data.draw(st.integers(len(frames.MAGIC), len(raw) - 1))
    raw[k] ^= 1 << data.draw(st.integers(0, 7))
    found = list(frames.read(bytes(raw)))
    assert sum(isinstance(f, Damage) for f in found) == 1
    assert sum(not isinstance(f, Damage) for f in found) == 7
    report = replay_recording(bytes(raw))
    assert report.difference is None and not report.state_differs


@tuned(max_examples=300, deadline=None)
@given(st.binary(max_size=400), st.booleans())
def test_a_hostile_file_ends_in_plain_errors(raw: bytes, framed: bool) -> None:
    data = frames.MAGIC + (frames.MARK + raw if framed else raw)
    assert all(isinstance(f, Damage) for f in frames.read(data))
    assert replay_recording(data).steps == 0


def test_declared_sizes_and_bombs_take_no_memory() -> None:
    import zlib

    import zstandard

    bomb = zstandard.ZstdCompressor(level=19).compress(b"\0" * (512 * 1024 * 1024))
    for packed, plain in ((len(bomb), 2**32 - 1), (len(bomb), 100), (2**32 - 1, 100)):
        head = frames._HEADER.pack(frames.MARK, 2, packed, plain, 1, 0, 0.0, 0.0, 0)
        crc = zlib.crc32(bomb, zlib.crc32(head))
        (found,) = frames.read(frames.MAGIC + head[:-4] + crc.to_bytes(4, "little") + bomb)
        assert isinstance(found, Damage)


def test_another_kind_of_file_and_a_later_version_are_one_plain_error() -> None:
    with pytest.raises(BadRecordingError, match="the file is not a recording"):
        list(frames.read(b"{}"))
    with pytest.raises(BadRecordingError, match="version 9"):
        list(frames.read(b"gradegap capture 9\nxyz"))


@pytest.mark.parametrize(
    "raw",
    [
        {},
        {"objects": []},
        {"objects": [["Balancer", []], ["Popen", []]]},
        {"objects": [["_Server", []]]},
        {"names": {"Balancer": ["now"]}, "objects": [["Balancer", [["o", 99]]]]},
        {"names": {"Balancer": ["now"]}, "objects": [["Balancer", [["r", 3, [1], None]]]]},
        {"names": 5, "objects": [["Balancer", [1]], ["ClassSettings", 3]]},
    ],
)
def test_a_state_that_is_none_is_refused(raw: Any) -> None:
    with pytest.raises(BadStateError):
        state.load(gradegap.balancing.balancer, raw, settings())


@pytest.mark.parametrize(
    "value", [math.inf, -math.inf, math.nan, 5e-324, 1.7976931348623157e308, 0.1 + 0.2, -0.0]
)
def test_floats_at_the_edges_come_back_as_they_were(value: float) -> None:
    event = HealthCheckEnded("s", AttemptResult.OK, value, {"x0": value})
    frame = frames.pack(FrameKind.STEPS, [["s", 0, 1.0, records.plain(event), []]], 1)
    (read,) = frames.read(frames.MAGIC + frame)
    assert not isinstance(read, Damage)
    back = records.event(read.body[0][3])
    assert msgspec.msgpack.encode(records.plain(back)) == msgspec.msgpack.encode(records.plain(event))


def test_every_kind_of_event_and_action_comes_back() -> None:
    request = RequestArrived(1, "live", 2.0, "t", "k", "g", 0.5, True, False, True)
    for event in (
        EndpointList(
            EndpointListKind.DELTA, (EndpointEntry("s", "z", 1, EndpointPhase.DRAINING, 2.0, 3.0, 4.0),)
        ),
        request,
        ConnectionInherited(request, "s"),
        ConnectionEstablished(1, 0, "s", 0.1),
        ConnectionObserved(1, "s", None, 0.2),
        AttemptEnded(1, 0, "s", AttemptResult.RESET, 0.1, True, {"x0": 1.0}),
        ClientDisconnected(1),
        TimerFired("look"),
        HealthCheckEnded("s", AttemptResult.OK, 0.1, None),
        ProxyDraining(3.0),
        ProxyResumed(),
    ):
        raw = msgspec.msgpack.decode(msgspec.msgpack.encode(records.plain(event)))
        assert records.event(raw) == event and type(records.event(raw)) is type(event)
    for action in (
        Forward(1, "s", 0.5),
        Reject(1, 0.3),
        Migrate(2),
        SetTimer(0.1, "h1"),
        WatchEndpoints(),
    ):
        raw = msgspec.msgpack.decode(msgspec.msgpack.encode(records.plain(action)))
        assert records.action(raw) == action
    with pytest.raises(BadRecordError):
        records.event(["Send", [1, "s", 0.5]])


@pytest.mark.parametrize("groups", [False, True])
def test_a_redacted_capture_names_nobody_and_replays_where_names_place_nothing(groups: bool) -> None:
    day = RandomWorkload(14, groups=groups)
    held = day.state_frame()
    day.run_steps(400)
    steps = frames.pack(FrameKind.STEPS, day.steps[1:], len(day.steps) - 1, 1)
    data = day.start_frame() + held + steps + day.state_frame()
    hidden = redact(data, IdHasher(b"0123456789abcdef").hashed)
    shown = msgspec.msgpack.encode([f.body for f in frames.read(hidden) if not isinstance(f, Damage)])
    for word in ("k17", "k40", "g1", "g7"):
        assert msgspec.msgpack.encode(word) not in shown
    assert replay_recording(data).difference is None and not replay_recording(data).state_differs
    if not groups:
        found = replay_recording(hidden)
        assert found.difference is None and not found.state_differs and found.steps > 400
