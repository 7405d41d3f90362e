"""Tests of scale runs: validation of settings, cleanup after an interruption, and calculation of results."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from bench.scale.analysis import in_force, leases_lost, level_again
from bench.scale.control import process_sizes
from bench.scale.hollow import Applied, HollowNode, HollowProcess, HollowSpec, NodeRecord, ServedBy, Span
from bench.scale.measure import parse_sockets, times
from bench.scale.processes import write_json
from bench.scale.scripted import Discovery, ServerList
from bench.scale.sessions import MachineSpec, NodeSpec
from bench.scale.settings import RunFileError, RunSettings, read_run
from bench.scale.storeclient import WriteRecord
from tests.support.node_environment import ROOT, wait_for

START_TIMEOUT_S = 60.0  # a small run starts all its processes within this time, also on a busy machine


def command(*words: str) -> list[str]:
    return [sys.executable, "-m", "bench.scale", "control", *words]


# A run's file


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("nodes = 0", "nodes"),
        ('nodes = "many"', "nodes"),
        ("nodes = 99999999", "nodes"),
        ("nodez = 5", "nodez"),
        ('fault = "flood"', "fault"),
        ('mechanism = "pigeons"', "mechanism"),
        ("processes = 41", "processes"),
        ("seconds = -1.0", "seconds"),
        ("clock = 0.5", "clock"),
        ('mechanism = "members"\nnodes = 300', "nodes"),
        ('control_machines = 3\nfault = "two-killed"', "control_machines"),
        ('nodes = 30\nfault = "rack"', "rack"),
        ('regions = 1\nfault = "region"', "regions"),
    ],
)
def test_invalid_run_is_rejected_with_one_line_that_names_the_key(
    tmp_path: Path, text: str, key: str
) -> None:
    file = tmp_path / "run.toml"
    file.write_text(text)
    with pytest.raises(RunFileError) as caught:
        read_run(file, {})
    message = str(caught.value)
    assert message.startswith(f"{file}: {key}: ")
    assert "\n" not in message


@pytest.mark.parametrize("text", [b"nodes = ", b"\xff\xfe", b"[" * 100_000])
def test_invalid_toml_is_rejected(tmp_path: Path, text: bytes) -> None:
    file = tmp_path / "run.toml"
    file.write_bytes(text)
    with pytest.raises(RunFileError, match="is no TOML") as caught:
        read_run(file, {})
    assert len(str(caught.value)) < 600


def test_missing_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(RunFileError, match="can't be read"):
        read_run(tmp_path / "none.toml", {})


def test_options_override_the_file(tmp_path: Path) -> None:
    file = tmp_path / "run.toml"
    file.write_text("nodes = 50\nservers = 20")
    run = read_run(file, {"nodes": 7, "servers": None})
    assert (run.nodes, run.servers) == (7, 20)


def test_command_prints_one_line_and_writes_nothing_for_invalid_run(tmp_path: Path) -> None:
    file = tmp_path / "run.toml"
    file.write_text("nodes = 10\nspeed = 3")
    out = tmp_path / "out.json"
    done = subprocess.run(
        command("--run", str(file), "--json", str(out)), capture_output=True, text=True, cwd=ROOT, timeout=30
    )
    assert done.returncode == 2
    assert done.stderr == f"{file}: speed: there is no such key\n"
    assert not out.exists()


def test_unwritable_result_file_is_rejected_before_the_run(tmp_path: Path) -> None:
    done = subprocess.run(
        command("--json", str(tmp_path)), capture_output=True, text=True, cwd=ROOT, timeout=30
    )
    assert (done.returncode, done.stderr) == (2, f"--json: {tmp_path} can't be written\n")


def test_example_run_file_is_valid() -> None:
    run = read_run(ROOT / "bench" / "scale" / "ordinary_day.toml", {})
    assert run == RunSettings(nodes=1600, seconds=30.0, seed=36)


# An interrupted run


def children_of(pid: int) -> list[int]:
    """Returns the running child processes of a process."""
    found = []
    for folder in Path("/proc").iterdir():
        if folder.name.isdecimal():
            try:
                fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
            except OSError:
                continue
            if int(fields[1]) == pid and fields[0] != "Z":
                found.append(int(folder.name))
    return found


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_interrupted_run_leaves_no_process_and_no_partial_file(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Interrupts a run within its window, with all processes running; SIGKILL may leave only its folder."""
    run = tmp_path / "run.toml"
    run.write_text(
        'mechanism = "members"\nnodes = 3\nservers = 5\ncontrol_machines = 3\nprocesses = 2\n'
        "seconds = 600.0\nwarm_s = 0.0\nseed = 5"
    )
    results, work = tmp_path / "results", tmp_path / "work"
    results.mkdir()
    work.mkdir()
    out = results / "out.json"
    log = tmp_path / "log"
    with log.open("wb") as file:
        process = subprocess.Popen(
            command("--run", str(run), "--json", str(out)),
            cwd=ROOT,
            env={**os.environ, "TMPDIR": str(work), "PYTHONUNBUFFERED": "1"},
            stdout=file,
            stderr=file,
        )
    try:
        wait_for(
            lambda: process.poll() is not None or b"the window begins" in log.read_bytes(), START_TIMEOUT_S
        )
        assert process.poll() is None, log.read_text()
        children = children_of(process.pid)
        assert len(children) == 6, "three machines, scripted servers, two hollow processes"
        process.send_signal(number)
        code = process.wait(15)
    finally:
        process.kill()
        process.wait()
    try:
        wait_for(lambda: not any(running(pid) for pid in children), 10.0)
    finally:
        for pid in filter(running, children):
            os.kill(pid, signal.SIGKILL)
    assert list(results.iterdir()) == []
    if number is not signal.SIGKILL:
        assert code == 130, log.read_text()
        assert list(work.iterdir()) == []
        assert "nothing was written" in log.read_text()
        assert "Traceback" not in log.read_text()


def running(pid: int) -> bool:
    """Returns whether a process runs; an ended one that was not waited for does not."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] != "Z"
    except OSError:
        return False


def test_failed_write_keeps_previous_result(tmp_path: Path) -> None:
    out = tmp_path / "out.json"
    write_json(out, {"nodes": 1})
    with pytest.raises(TypeError):
        write_json(out, {"nodes": object()})
    assert [p.name for p in tmp_path.iterdir()] == ["out.json"]
    assert out.read_text() == '{\n "nodes": 1\n}\n'


# Hollow nodes


def test_restarted_hollow_node_reads_endpoint_list_again(tmp_path: Path) -> None:
    """Guards against a discovery connection that a node leaves open when it restarts."""
    secret = tmp_path / "secret"
    secret.write_text("0123456789abcdef of a test")

    async def restarted() -> None:
        loop = asyncio.get_running_loop()
        entry = {"id": "s-1", "addr": "127.0.0.1:9", "zone": "z", "state": "Ready"}
        servers = ServerList([entry])
        discovery = await loop.create_server(lambda: Discovery(servers), "127.0.0.1", 0)
        port = discovery.sockets[0].getsockname()[1]
        nowhere = MachineSpec("m1", "r0", "127.0.0.1:9", "127.0.0.1:9", "127.0.0.1:9")
        spec = HollowSpec(
            mechanism="observer",
            nodes=[NodeSpec("n1", "r0")],
            total_nodes=1,
            machines=[nowhere],
            discovery=f"127.0.0.1:{port}",
            folder=str(tmp_path),
            secret_file=str(secret),
            seed=1,
            probes_per_s=0.0,
            start_spread_s=0.0,
            restart_delay_s=0.1,
        )
        process = HollowProcess(spec, loop)
        process.start()
        first = await until_endpoint_list(process)
        process.restart([0])
        assert first.ended
        second = await until_endpoint_list(process)
        assert second is not first
        assert [bool(run.end) for run in process.records[0].runs] == [True, False]
        assert list(second.proxy.endpoints) == ["s-1"]
        assert len(servers.waiting) <= 1
        second.stop()
        discovery.close()

    asyncio.run(restarted())


async def until_endpoint_list(process: HollowProcess) -> HollowNode:
    """Returns the node of a process as soon as it has an endpoint list."""
    for _ in range(1000):
        if process.nodes and process.nodes[0].has_endpoint_list():
            return process.nodes[0]
        await asyncio.sleep(0.01)
    raise AssertionError("the node received no endpoint list")


# Calculation of results


def change(at: float, revision: int, outcome: str = "ok") -> WriteRecord:
    return WriteRecord("config/motd", at, at, at, revision, outcome)


def test_in_force_counts_each_change_for_each_running_node() -> None:
    ready = NodeRecord("a", "r", [Span(0.0)], [Span(1.0)], [Applied(3, 1.0), Applied(7, 10.5)])
    stale = NodeRecord("b", "r", [Span(0.0)], [Span(1.0, 9.0), Span(12.0)], [Applied(9, 12.0)])
    never = NodeRecord("c", "r", [Span(0.0)], [Span(1.0)], [Applied(6, 2.0)])
    ended = NodeRecord("d", "r", [Span(0.0, 10.2), Span(11.0)], [Span(1.0, 10.2)], [Applied(8, 12.0)])
    later = NodeRecord("e", "r", [Span(11.0)], [Span(11.5)], [Applied(8, 11.5)])
    found = in_force([ready, stale, never, ended, later], [change(10.0, 7), change(10.0, 9, "unknown")])
    assert found.deciding == [0.5]
    assert found.others == [2.0]
    assert (found.missing, found.left) == (1, 1)
    assert found.everywhere == [0.5]


def test_level_again_measures_from_the_end_of_the_fault() -> None:
    untouched = NodeRecord("a", "r", [Span(0.0)], [Span(1.0)])
    back = NodeRecord("b", "r", [Span(0.0)], [Span(1.0, 11.0), Span(12.0, 12.5), Span(13.0)])
    never = NodeRecord("c", "r", [Span(0.0)], [Span(1.0, 11.0)])
    gone = NodeRecord("d", "r", [Span(0.0, 10.5)], [Span(1.0, 10.5)])
    nodes = [untouched, back, never, gone]
    found = level_again(nodes, 10.0, 10.0, set())
    assert (found.max, found.count, found.lost, found.never) == (3.0, 1, 2, 1)
    assert level_again(nodes, 10.0, 12.0, set()).max == 1.0
    assert leases_lost(nodes, 0.0) == 3
    assert leases_lost(nodes, 11.0) == 1


def test_level_again_counts_nodes_that_change_machine_within_their_lease() -> None:
    def node(*stays: ServedBy) -> NodeRecord:
        return NodeRecord("a", "r", [Span(0.0)], [Span(1.0)], served_by=list(stays))

    moved = node(ServedBy("m1", 1.0), ServedBy("", 10.1), ServedBy("m2", 10.6))
    elsewhere = node(ServedBy("m2", 1.0))
    stuck = node(ServedBy("m1", 1.0), ServedBy("", 10.1))
    found = level_again([moved, elsewhere], 10.0, 10.0, {"m1"})
    assert found.max == pytest.approx(0.6)
    assert (found.count, found.moved, found.lost, found.never) == (1, 1, 0, 0)
    assert level_again([moved, stuck], 10.0, 10.0, {"m1"}).never == 1


def test_times_have_exact_maximum() -> None:
    found = times([0.001] * 98 + [0.5, 2.25])
    assert found.count == 100
    assert found.max == 2.25
    assert found.p50 == pytest.approx(0.001, rel=0.002)
    assert found.p99 == pytest.approx(0.5, rel=0.002)
    assert times([]).count == 0


def test_process_sizes_distribute_nodes_evenly() -> None:
    assert process_sizes(RunSettings(nodes=1600, processes=40)) == [1] + [41] * 39
    assert process_sizes(RunSettings(nodes=100, processes=5)) == [1, 25, 25, 25, 24]
    assert process_sizes(RunSettings(nodes=100, processes=5, fault="rack")) == [1, 40, 20, 20, 19]
    assert process_sizes(RunSettings(nodes=3, processes=40)) == [1, 1, 1]
    assert process_sizes(RunSettings(nodes=9, processes=1)) == [9]


def test_parse_sockets_reads_bytes_of_connections() -> None:
    text = (
        '0 0 127.0.0.1:7000 127.0.0.1:40000 users:(("python",pid=12,fd=9))\n'
        "\t cubic wscale:7,7 rto:204 bytes_sent:1500 bytes_acked:1500 bytes_received:70 segs_out:9\n"
        '0 0 127.0.0.1:40001 127.0.0.1:7000 users:(("python",pid=13,fd=9))\n'
        "\t cubic wscale:7,7 rto:204 bytes_received:70\n"
        "0 0 127.0.0.1:40002 127.0.0.1:7000\n"
        "\t cubic bytes_sent:1\n"
    )
    found = [(s.pid, s.local_port, s.peer_port, s.sent, s.received) for s in parse_sockets(text)]
    assert found == [(12, 7000, 40000, 1500, 70), (13, 40001, 7000, 0, 70)]
