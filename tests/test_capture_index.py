"""Index of a recording, states dumped by a forked process, charts, and recordings of real nodes."""

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
from hypothesis import settings as hypothesis_settings
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

INTEGERS = st.integers(-(2**63), 2**63)
RECORDING = index.sealed(workload_recording(31, 1200, 6))


def explanation(data: bytes, request_id: int) -> list[str]:
    return list(explain.explain(recording.read(data), gradegap.balancing.balancer, request_id))


def test_stored_index_equals_index_built_from_frames(tmp_path: Path) -> None:
    without_index = RECORDING[: index._frames_end(RECORDING)]
    assert index.indexed(RECORDING) and not index.indexed(without_index)
    assert index.load(RECORDING) == index.load(without_index)
    assert list(recording.read(RECORDING)) == list(recording.read(without_index))
    record_workload(tmp_path, RandomWorkload(32))
    (path,) = tmp_path.iterdir()
    data = path.read_bytes()
    assert index.indexed(data) and index.load(data) == index.build(data)
    assert len(data) - index._frames_end(data) < 0.15 * len(data)


def test_request_has_same_explanation_from_part_of_file() -> None:
    request_ids = [each for entry in index.load(RECORDING) for each in entry.request_ids]
    for requested in random.Random(5).sample(sorted(set(request_ids)), 25):
        part = index.seek(RECORDING, request_id=requested)
        assert explanation(part, requested) == explanation(RECORDING, requested), requested
    last_request_id = max(request_ids)
    part = index.seek(RECORDING, request_id=last_request_id)
    assert len(part) < len(RECORDING) / 2 and explanation(part, last_request_id)
    assert index.seek(RECORDING, request_id=10**9) == b"" == index.seek(RECORDING, endpoint="nobody")
    assert replay_recording(index.seek(RECORDING, endpoint="s3")).difference is None


def test_part_since_clock_starts_at_preceding_state() -> None:
    states = [entry for entry in index.load(RECORDING) if entry.kind is FrameKind.STATE]
    for entry in states[:-1]:
        part = index.seek(RECORDING, since=entry.first_at + 0.001)
        report = replay_recording(part)
        assert report.steps > 0 and report.difference is None and not report.state_differs and not report.gaps
        first = next(item for item in recording.read(part) if isinstance(item, recording.State))
        assert first.at <= entry.first_at + 0.001
    assert len(index.seek(RECORDING, since=states[-2].first_at)) < len(RECORDING) / 3


def test_part_contains_settings_changed_before_its_state() -> None:
    workload = RandomWorkload(33)
    data = workload.start_frame() + workload.state_frame()
    workload.run_steps(50)
    rows = workload.steps[1:]
    from dataclasses import replace

    changed = replace(workload.settings, max_attempts=1)
    workload.balancer.adopt(changed)
    rows.append(["a", len(workload.steps), workload.now, records.plain_settings(changed)])
    data += frames.pack(FrameKind.STEPS, rows, len(rows), 1, rows[0][2], rows[-1][2])
    workload.steps.append(None)
    data += workload.state_frame()
    state_at, first_number = workload.now, len(workload.steps)
    workload.run_steps(200)
    later_rows = workload.steps[first_number:]
    data += (
        frames.pack(
            FrameKind.STEPS, later_rows, len(later_rows), first_number, later_rows[0][2], later_rows[-1][2]
        )
        + workload.state_frame()
    )
    part = index.seek(index.sealed(data), since=state_at + 0.0001)
    report = replay_recording(part)
    assert report.steps == len(later_rows) and report.difference is None and not report.state_differs


@hypothesis_settings(max_examples=150, deadline=None)
@given(st.data())
def test_false_or_damaged_index_is_not_used(data: st.DataObject) -> None:
    end = index._frames_end(RECORDING)
    if data.draw(st.booleans()):
        content = bytearray(RECORDING)
        offset = data.draw(st.integers(end, len(RECORDING) - 1))
        content[offset] ^= 1 << data.draw(st.integers(0, 7))
        changed_file = bytes(content)
    else:
        body = data.draw(
            st.one_of(
                st.none(),
                INTEGERS,
                st.dictionaries(st.sampled_from(["servers", "frames"]), st.lists(st.lists(INTEGERS))),
                st.just({"servers": [], "frames": [[7, 2, 0, 1, 0.0, 0.0, False, [0], []]]}),
                st.just({"servers": ["x"], "frames": [[19, 2, 0, 1, 0.0, 0.0, False, [], [10**9]]]}),
            )
        )
        changed_file = RECORDING[:end] + frames.pack(FrameKind.INDEX, body) + index.tail(end)
    entries = index.load(changed_file)
    assert all(
        changed_file.startswith(frames.MARK, entry.offset)
        for entry in entries
        if entry.kind is not FrameKind.GAP
    )
    index.seek(changed_file, request_id=3)


# States


def workload_with_connections(count: int) -> RandomWorkload:
    workload = RandomWorkload(41, servers=40)
    for number in range(1, count + 1):
        request = RequestArrived(10**6 + number, "live", workload.now + 2.0, "", f"p{number}")
        workload.feed(ConnectionInherited(request, f"s{number % 40}"))
    return workload


def test_forked_state_is_balancer_state_at_fork() -> None:
    workload = workload_with_connections(1500)
    assert snapshot.size(workload.balancer) > snapshot.MAX_OBJECTS_IN_PLACE
    state_at_fork = state.dump(workload.balancer)
    child = snapshot.begin(workload.balancer)
    workload.run_steps(200)  # while the child dumps the state
    assert msgspec.msgpack.encode(snapshot.finish(child)) == msgspec.msgpack.encode(state_at_fork)
    assert msgspec.msgpack.encode(state.dump(workload.balancer)) != msgspec.msgpack.encode(state_at_fork)


def test_forked_process_keeps_no_connection_open() -> None:
    workload = workload_with_connections(20_000)
    node_socket, peer_socket = socket.socketpair()
    child = snapshot.begin(workload.balancer)
    node_socket.close()
    peer_socket.settimeout(10.0)
    assert peer_socket.recv(1) == b""
    os.kill(child.pid, signal.SIGSTOP)  # the child is still writing: nothing has read its pipe
    peer_socket.close()
    with pytest.raises(OSError, match="too long"):
        snapshot.finish(child, 0.1)
    with pytest.raises(ChildProcessError):
        os.waitpid(child.pid, 0)  # the child has been reaped


def test_failed_forked_process_raises_error() -> None:
    workload = workload_with_connections(500)
    state._put(workload.balancer, BALANCER.fields["expected_returns"], object())
    with pytest.raises(OSError, match="ended with"):
        snapshot.finish(snapshot.begin(workload.balancer))
    child = snapshot.begin(workload_with_connections(3000).balancer)
    os.kill(child.pid, signal.SIGKILL)
    with pytest.raises((OSError, ValueError)):
        snapshot.finish(child)


def test_recording_with_forked_states_replays_completely(tmp_path: Path) -> None:
    workload = workload_with_connections(1200)
    metrics = record_workload(tmp_path, workload)
    (path,) = tmp_path.iterdir()
    report = replay_recording(path.read_bytes())
    assert (
        report.difference is None and not report.state_differs and not report.gaps and report.steps > 10_000
    )
    assert "capture_states_lost" not in metrics.counts and "capture_failed" not in metrics.counts


def test_refused_fork_loses_state_and_recording_continues(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse_fork() -> int:
        raise OSError(11, "Resource temporarily unavailable")

    monkeypatch.setattr(os, "fork", refuse_fork)
    metrics = record_workload(tmp_path, workload_with_connections(1200))
    assert metrics.counts["capture_states_lost"] >= 1 and "capture_failed" not in metrics.counts


# Charts and replay pace


def test_recording_is_plotted_to_new_file(tmp_path: Path) -> None:
    data = series(recording.read(RECORDING))
    assert data.counts[REQUESTS].total() > 200 and len(data.loads) == 8
    draw(recording.read(RECORDING), str(tmp_path / "day.png"), "a day")
    header = (tmp_path / "day.png").read_bytes()[:24]
    assert header[:8] == b"\x89PNG\r\n\x1a\n" and struct.unpack(">I", header[16:20])[0] > 800
    path = tmp_path / "day.ggc"
    path.write_bytes(RECORDING)
    assert run_gradegap("capture", "plot", str(path), "--out", str(tmp_path / "other.png")).returncode == 0
    assert run_gradegap("capture", "plot", str(path), "--out", str(tmp_path / "other.png")).returncode == 2


def test_paced_replay_takes_recorded_time_and_same_decisions(tmp_path: Path) -> None:
    path = tmp_path / "day.ggc"
    path.write_bytes(index.sealed(workload_recording(34, 120, 2)))
    clocks = [item.at for item in recording.read(path.read_bytes()) if isinstance(item, recording.Step)]
    started_at = time.monotonic()
    process = run_gradegap("replay", str(path), "--pace", "0.5")
    assert process.returncode == 0, process.stdout
    assert time.monotonic() - started_at >= 2 * (clocks[-1] - clocks[0])
    assert process.stdout == run_gradegap("replay", str(path)).stdout


# Real nodes


def test_admin_calls_and_hot_restart_are_recorded(tmp_path: Path) -> None:
    servers = [EndpointServer(name) for name in "abc"]
    folders = [tmp_path / "one", tmp_path / "two"]
    node_settings, successor_settings = (f'[capture]\nfolder = "{each}"\nstate_s = 1.0\n' for each in folders)
    with served(tmp_path, servers, operator=node_settings) as (node, console):
        clients = [node.client() for _ in range(12)]
        for client in clients:
            assert client.open_request().startswith("UP")
        assert call(console, "save-servers/s-a/offline") == 200
        for _ in range(5):
            assert node.client().open_request() in ("UP b", "UP c")
        assert call(console, "save-servers/s-a/online") == 200
        inherited_clients = [node.client() for _ in range(6)]
        for client in inherited_clients:
            assert client.open_request().startswith("UP")
        with running_successor(node, operator=successor_settings) as (successor, successor_console):
            wait_for(lambda: is_admin_ready(successor_console))
            wait_for(lambda: int(successor.counters().get("established_sessions_adopted", "0")) >= 6)
            node.process.terminate()
            assert node.process.wait(5) == 0
            for client in inherited_clients:
                client.send("still there")
                assert client.read_line() == "still there"
            for _ in range(5):
                assert successor.client().open_request().startswith("UP")
            successor.process.terminate()
            assert successor.process.wait(8) == 0
    for folder in folders:
        (path,) = folder.iterdir()
        data = path.read_bytes()
        report = replay_recording(data)
        assert (
            report.steps > 10 and report.difference is None and not report.state_differs and not report.gaps
        )
        assert index.indexed(data)  # the file was closed properly
    endpoint_lists = [
        item.event
        for item in recording.read(next(folders[0].iterdir()).read_bytes())
        if isinstance(item, recording.Step) and isinstance(item.event, EndpointList)
    ]
    phases = [
        entry.phase
        for endpoint_list in endpoint_lists
        for entry in endpoint_list.entries
        if entry.name == "s-a"
    ]
    drained = phases.index(EndpointPhase.DRAINING)
    assert EndpointPhase.READY in phases[drained:]
    events = [
        records.stored_name(item.event)
        for item in recording.read(next(folders[1].iterdir()).read_bytes())
        if isinstance(item, recording.Step)
    ]
    assert events.count("Inherited") >= 6
