"""Files of recordings: truncated, damaged, malicious and redacted ones; and encoding of single records."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
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


def test_file_truncated_within_frame_replays_preceding_frames() -> None:
    data = workload_recording(3, 60, 3)
    all_frames = [frame for frame in frames.read(data) if not isinstance(frame, Damage)]
    *_, previous_mark, last_mark = [
        offset for offset in range(len(data)) if data.startswith(frames.MARK, offset)
    ]
    for end in range(previous_mark + 1, len(data), 7):
        items = list(frames.read(data[:end]))
        valid_frames = [frame for frame in items if not isinstance(frame, Damage)]
        assert len(valid_frames) == len(all_frames) - (2 if end < last_mark else 1)
        assert replay_recording(data[:end]).difference is None
        assert [item.reason for item in items if isinstance(item, Damage)] == (
            [] if end == last_mark else ["frame truncated"]
        )


@hypothesis_settings(max_examples=150, deadline=None)
@given(st.data())
def test_flipped_bit_damages_only_its_frame(data: st.DataObject) -> None:
    content = bytearray(workload_recording(4, 60, 3))
    offset = data.draw(st.integers(len(frames.MAGIC), len(content) - 1))
    content[offset] ^= 1 << data.draw(st.integers(0, 7))
    items = list(frames.read(bytes(content)))
    assert sum(isinstance(item, Damage) for item in items) == 1
    assert sum(not isinstance(item, Damage) for item in items) == 7
    report = replay_recording(bytes(content))
    assert report.difference is None and not report.state_differs


@hypothesis_settings(max_examples=300, deadline=None)
@given(st.binary(max_size=400), st.booleans())
def test_random_file_content_is_reported_as_damage(content: bytes, with_mark: bool) -> None:
    data = frames.MAGIC + (frames.MARK + content if with_mark else content)
    assert all(isinstance(item, Damage) for item in frames.read(data))
    assert replay_recording(data).steps == 0


def test_excessive_declared_size_and_compression_bomb_are_damage() -> None:
    import zlib

    import zstandard

    bomb = zstandard.ZstdCompressor(level=19).compress(b"\0" * (512 * 1024 * 1024))
    for packed_size, plain_size in ((len(bomb), 2**32 - 1), (len(bomb), 100), (2**32 - 1, 100)):
        header = frames._HEADER.pack(frames.MARK, 2, packed_size, plain_size, 1, 0, 0.0, 0.0, 0)
        crc = zlib.crc32(bomb, zlib.crc32(header))
        (damage,) = frames.read(frames.MAGIC + header[:-4] + crc.to_bytes(4, "little") + bomb)
        assert isinstance(damage, Damage)


def test_other_file_type_and_later_version_are_rejected() -> None:
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
def test_malformed_state_is_rejected(raw: Any) -> None:
    with pytest.raises(BadStateError):
        state.load(gradegap.balancing.balancer, raw, settings())


@pytest.mark.parametrize(
    "value", [math.inf, -math.inf, math.nan, 5e-324, 1.7976931348623157e308, 0.1 + 0.2, -0.0]
)
def test_extreme_floats_are_decoded_unchanged(value: float) -> None:
    event = HealthCheckEnded("s", AttemptResult.OK, value, {"x0": value})
    frame = frames.pack(FrameKind.STEPS, [["s", 0, 1.0, records.plain(event), []]], 1)
    (read_frame,) = frames.read(frames.MAGIC + frame)
    assert not isinstance(read_frame, Damage)
    decoded = records.event(read_frame.body[0][3])
    assert msgspec.msgpack.encode(records.plain(decoded)) == msgspec.msgpack.encode(records.plain(event))


def test_every_event_and_action_is_decoded_unchanged() -> None:
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
def test_redacted_recording_has_no_ids_and_replays_without_groups(groups: bool) -> None:
    workload = RandomWorkload(14, groups=groups)
    first_state = workload.state_frame()
    workload.run_steps(400)
    steps = frames.pack(FrameKind.STEPS, workload.steps[1:], len(workload.steps) - 1, 1)
    data = workload.start_frame() + first_state + steps + workload.state_frame()
    redacted = redact(data, IdHasher(b"0123456789abcdef").hashed)
    content = msgspec.msgpack.encode(
        [frame.body for frame in frames.read(redacted) if not isinstance(frame, Damage)]
    )
    for player_id in ("k17", "k40", "g1", "g7"):
        assert msgspec.msgpack.encode(player_id) not in content
    assert replay_recording(data).difference is None and not replay_recording(data).state_differs
    if not groups:
        report = replay_recording(redacted)
        assert report.difference is None and not report.state_differs and report.steps > 400
