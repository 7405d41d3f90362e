"""Seeking in a capture, states taken by a forked process, and what a real node's days add."""

from __future__ import annotations

import os
import random
import signal
import socket
import struct
import time
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as tuned
from hypothesis import strategies as st

import gradegap.balancing.balancer
from gradegap.balancing.events import ConnectionInherited, EndpointList, EndpointPhase, RequestArrived
from gradegap.capture import explain, frames, index, recording, records, snapshot, state
from gradegap.capture.frames import FrameKind
from gradegap.capture.plot import REQUESTS, draw, series
from gradegap.capture.schema import BALANCER
from tests.support.node_environment import EndpointServer, wait_for
from tests.support.recorded_workload import (
    RandomWorkload,
    record_workload,
    replay_recording,
    run_gradegap,
    workload_recording,
)
from tests.test_admin_api import call, served
from tests.test_hot_restart import is_admin_ready, running_successor

NUMBERS = st.integers(-(2**63), 2**63)
FILE = index.sealed(workload_recording(31, 1200, 6))


def told(data: bytes, req: int) -> list[str]:
    return list(explain.explain(recording.read(data), gradegap.balancing.balancer, req))


def test_the_index_of_a_file_is_what_reading_it_finds(tmp_path: Path) -> None:
    plain = FILE[: index._frames_end(FILE)]
    assert index.indexed(FILE) and not index.indexed(plain)
    assert index.load(FILE) == index.load(plain)
    assert list(recording.read(FILE)) == list(recording.read(plain))
    record_workload(tmp_path, RandomWorkload(32))
    (path,) = tmp_path.iterdir()
    data = path.read_bytes()
    assert index.indexed(data) and index.load(data) == index.build(data)
    assert len(data) - index._frames_end(data) < 0.15 * len(data)


def test_a_req_is_explained_alike_from_its_part_of_the_file() -> None:
    reqs = [r for e in index.load(FILE) for r in e.request_ids]
    for req in random.Random(5).sample(sorted(set(reqs)), 25):
        part = index.seek(FILE, request_id=req)
        assert told(part, req) == told(FILE, req), req
    late = max(reqs)
    part = index.seek(FILE, request_id=late)
    assert len(part) < len(FILE) / 2 and told(part, late)
    assert index.seek(FILE, request_id=10**9) == b"" == index.seek(FILE, endpoint="nobody")
    assert replay_recording(index.seek(FILE, endpoint="s3")).difference is None


def test_a_replay_from_a_clock_reads_from_the_state_before_it() -> None:
    states = [e for e in index.load(FILE) if e.kind is FrameKind.STATE]
    for e in states[:-1]:
        part = index.seek(FILE, since=e.first_at + 0.001)
        found = replay_recording(part)
        assert found.steps > 0 and found.difference is None and not found.state_differs and not found.gaps
        first = next(i for i in recording.read(part) if isinstance(i, recording.State))
        assert first.at <= e.first_at + 0.001
    assert len(index.seek(FILE, since=states[-2].first_at)) < len(FILE) / 3


def test_settings_that_changed_before_a_state_are_in_its_part() -> None:
    day = RandomWorkload(33)
    data = day.start_frame() + day.state_frame()
    day.run_steps(50)
    rows = day.steps[1:]
    from dataclasses import replace

    changed = replace(day.settings, max_attempts=1)
    day.balancer.adopt(changed)
    rows.append(["a", len(day.steps), day.now, records.plain_settings(changed)])
    data += frames.pack(FrameKind.STEPS, rows, len(rows), 1, rows[0][2], rows[-1][2])
    day.steps.append(None)
    data += day.state_frame()
    at, first = day.now, len(day.steps)
    day.run_steps(200)
    more = day.steps[first:]
    data += frames.pack(FrameKind.STEPS, more, len(more), first, more[0][2], more[-1][2]) + day.state_frame()
    part = index.seek(index.sealed(data), since=at + 0.0001)
    found = replay_recording(part)
    assert found.steps == len(more) and found.difference is None and not found.state_differs


@tuned(max_examples=150, deadline=None)
@given(st.data())
def test_an_index_that_lies_or_is_damaged_is_not_gone_by(data: st.DataObject) -> None:
    end = index._frames_end(FILE)
    if data.draw(st.booleans()):
        raw = bytearray(FILE)
        k = data.draw(st.integers(end, len(FILE) - 1))
        raw[k] ^= 1 << data.draw(st.integers(0, 7))
        made = bytes(raw)
    else:
        body = data.draw(
            st.one_of(
                st.none(),
                NUMBERS,
                st.dictionaries(st.sampled_from(["servers", "frames"]), st.lists(st.lists(NUMBERS))),
                st.just({"servers": [], "frames": [[7, 2, 0, 1, 0.0, 0.0, False, [0], []]]}),
                st.just({"servers": ["x"], "frames": [[19, 2, 0, 1, 0.0, 0.0, False, [], [10**9]]]}),
            )
        )
        made = FILE[:end] + frames.pack(FrameKind.INDEX, body) + index.tail(end)
    entries = index.load(made)
    assert all(made.startswith(frames.MARK, e.offset) for e in entries if e.kind is not FrameKind.GAP)
    index.seek(made, request_id=3)


# States


def large(many: int) -> RandomWorkload:
    day = RandomWorkload(41, servers=40)
    for k in range(1, many + 1):
        request = RequestArrived(10**6 + k, "live", day.now + 2.0, "", f"p{k}")
        day.feed(ConnectionInherited(request, f"s{k % 40}"))
    return day


def test_a_forked_state_is_the_module_s_at_that_moment() -> None:
    day = large(1500)
    assert snapshot.size(day.balancer) > snapshot.MAX_OBJECTS_IN_PLACE
    held = state.dump(day.balancer)
    child = snapshot.begin(day.balancer)
    day.run_steps(200)  # meanwhile
    assert msgspec.msgpack.encode(snapshot.finish(child)) == msgspec.msgpack.encode(held)
    assert msgspec.msgpack.encode(state.dump(day.balancer)) != msgspec.msgpack.encode(held)


def test_a_forked_process_holds_no_connection_open() -> None:
    day = large(20_000)
    ours, theirs = socket.socketpair()
    child = snapshot.begin(day.balancer)
    ours.close()
    theirs.settimeout(10.0)
    assert theirs.recv(1) == b""
    os.kill(child.pid, signal.SIGSTOP)  # it is at work still: nothing has read its pipe
    theirs.close()
    with pytest.raises(OSError, match="too long"):
        snapshot.finish(child, 0.1)
    with pytest.raises(ChildProcessError):
        os.waitpid(child.pid, 0)  # it is gone, and nobody's


def test_a_forked_process_that_fails_is_told_of() -> None:
    day = large(500)
    state._put(day.balancer, BALANCER.fields["expected_returns"], object())
    with pytest.raises(OSError, match="ended with"):
        snapshot.finish(snapshot.begin(day.balancer))
    child = snapshot.begin(large(3000).balancer)
    os.kill(child.pid, signal.SIGKILL)
    with pytest.raises((OSError, ValueError)):
        snapshot.finish(child)


def test_a_recording_of_a_large_module_replays_across_forked_states(tmp_path: Path) -> None:
    day = large(1200)
    metrics = record_workload(tmp_path, day)
    (path,) = tmp_path.iterdir()
    found = replay_recording(path.read_bytes())
    assert found.difference is None and not found.state_differs and not found.gaps and found.steps > 10_000
    assert "capture_states_lost" not in metrics.counts and "capture_failed" not in metrics.counts


def test_where_no_process_can_be_had_a_state_is_lost_and_the_node_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def none() -> int:
        raise OSError(11, "Resource temporarily unavailable")

    monkeypatch.setattr(os, "fork", none)
    metrics = record_workload(tmp_path, large(1200))
    assert metrics.counts["capture_states_lost"] >= 1 and "capture_failed" not in metrics.counts


# Pictures and paces


def test_a_capture_is_drawn(tmp_path: Path) -> None:
    found = series(recording.read(FILE))
    assert found.counts[REQUESTS].total() > 200 and len(found.loads) == 8
    draw(recording.read(FILE), str(tmp_path / "day.png"), "a day")
    head = (tmp_path / "day.png").read_bytes()[:24]
    assert head[:8] == b"\x89PNG\r\n\x1a\n" and struct.unpack(">I", head[16:20])[0] > 800
    path = tmp_path / "day.ggc"
    path.write_bytes(FILE)
    assert run_gradegap("capture", "plot", str(path), "--out", str(tmp_path / "other.png")).returncode == 0
    assert run_gradegap("capture", "plot", str(path), "--out", str(tmp_path / "other.png")).returncode == 2


def test_a_slow_replay_decides_the_same(tmp_path: Path) -> None:
    path = tmp_path / "day.ggc"
    path.write_bytes(index.sealed(workload_recording(34, 120, 2)))
    span = [i.at for i in recording.read(path.read_bytes()) if isinstance(i, recording.Step)]
    began = time.monotonic()
    done = run_gradegap("replay", str(path), "--pace", "0.5")
    assert done.returncode == 0, done.stdout
    assert time.monotonic() - began >= 2 * (span[-1] - span[0])
    assert done.stdout == run_gradegap("replay", str(path)).stdout


# Real nodes


def test_calls_by_hand_and_a_replaced_process_are_in_their_captures(tmp_path: Path) -> None:
    servers = [EndpointServer(n) for n in "abc"]
    folders = [tmp_path / "one", tmp_path / "two"]
    first, after = (f'[capture]\nfolder = "{f}"\nstate_s = 1.0\n' for f in folders)
    with served(tmp_path, servers, operator=first) as (w, console):
        clients = [w.client() for _ in range(12)]
        for c in clients:
            assert c.open_request().startswith("UP")
        assert call(console, "save-servers/s-a/offline") == 200
        for _ in range(5):
            assert w.client().open_request() in ("UP b", "UP c")
        assert call(console, "save-servers/s-a/online") == 200
        standing = [w.client() for _ in range(6)]
        for c in standing:
            assert c.open_request().startswith("UP")
        with running_successor(w, operator=after) as (n, new):
            wait_for(lambda: is_admin_ready(new))
            wait_for(lambda: int(n.counters().get("established_sessions_adopted", "0")) >= 6)
            w.process.terminate()
            assert w.process.wait(5) == 0
            for c in standing:
                c.send("still there")
                assert c.read_line() == "still there"
            for _ in range(5):
                assert n.client().open_request().startswith("UP")
            n.process.terminate()
            assert n.process.wait(8) == 0
    for folder in folders:
        (path,) = folder.iterdir()
        data = path.read_bytes()
        found = replay_recording(data)
        assert found.steps > 10 and found.difference is None and not found.state_differs and not found.gaps
        assert index.indexed(data)  # it ended in order
    lists = [
        i.event
        for i in recording.read(next(folders[0].iterdir()).read_bytes())
        if isinstance(i, recording.Step) and isinstance(i.event, EndpointList)
    ]
    phases = [e.phase for listed in lists for e in listed.entries if e.name == "s-a"]
    drained = phases.index(EndpointPhase.DRAINING)
    assert EndpointPhase.READY in phases[drained:]
    events = [
        records.stored_name(i.event)
        for i in recording.read(next(folders[1].iterdir()).read_bytes())
        if isinstance(i, recording.Step)
    ]
    assert events.count("Inherited") >= 6
