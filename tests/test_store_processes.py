"""A member as a process: its disk, its end and its command line."""

from __future__ import annotations

import json
import resource
from pathlib import Path

from tests.support.cluster import (
    cluster,
    put,
    status_if_reachable,
    value_if_reachable,
)
from tests.support.node_environment import wait_for


def test_a_full_disk_stops_a_member_with_one_line_and_no_other(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        victim = c.others(c.leader())[0]
        process = c.processes[victim]
        size = (tmp_path / victim / "data.mdb").stat().st_size
        # No file may grow: as a disk without room, in the middle of an append.
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size + 4096, size + 4096))
        alive = [n for n in c.names if n != victim]
        for k in range(200):
            put(c, alive[k % 2], f"k{k}", "x" * 3000)
            if process.poll() is not None:
                break
        assert process.wait(5) == 2
        last = c.log(victim).splitlines()[-1]
        assert last.startswith("gradegap: ") and "can't be written" in last
        assert put(c, alive[0], "on", 1)
        c.start(victim)
        wait_for(c.has_equal_states, 15.0)


def test_a_damaged_member_refuses_to_start(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        put(c, "n1", "k", "some value that can be found")
        victim = c.others(c.leader())[0]
        wait_for(c.has_equal_states)
        c.processes[victim].terminate()
        assert c.processes[victim].wait(5) == 0
        path = tmp_path / victim / "data.mdb"
        path.write_bytes(path.read_bytes().replace(b"that can be", b"that can'be"))
        c.start(victim)
        assert c.processes[victim].wait(10) == 2
        last = c.log(victim).splitlines()[-1]
        assert last.startswith("gradegap: ") and "damaged" in last and "rejoin" in last


def test_a_planned_end_transfers_leadership(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        old = c.leader()
        c.processes[old].terminate()
        assert c.processes[old].wait(5) == 0
        new = wait_for(lambda: c.leader(c.others(old)), 3.0)
        assert new != old and put(c, new, "k", 1)


def test_the_command_line_exits_by_the_outcome(tmp_path: Path) -> None:
    with cluster(tmp_path) as c:
        node = ("--node", c.listen_addresses["n2"])
        done = c.cli("store", "set", "a/b", '{"x": 1}', *node)
        assert (done.returncode, done.stdout) == (0, "1\n")
        assert c.cli("store", "get", "a/b", *node).stdout == '{"x":1}\n'
        got = json.loads(c.cli("store", "get", "a/b", "--json", *node).stdout)
        assert got["revision"] == 1 and got["value"] == {"x": 1}
        assert c.cli("store", "get", "nothing", *node).returncode == 1
        assert c.cli("store", "cas", "a/b", "1", "two", *node).stdout == "2\n"
        refused = c.cli("store", "cas", "a/b", "1", "three", *node)
        assert refused.returncode == 1 and refused.stderr.count("\n") == 1
        assert c.cli("store", "list", "a/", *node).stdout == 'a/b "two"\n'
        assert c.cli("store", "delete", "a/b", *node).stdout == "3\n"
        bad = c.cli("store", "set", "config/log_level", "loud", *node)
        assert bad.returncode == 1 and "invalid" in bad.stderr and bad.stderr.count("\n") == 1
        assert c.cli("store", "set", "config/log_level", "warning", *node).stdout == "4\n"
        assert c.cli("store", "set", "config/log_level", "error", *node).stdout == "5\n"
        diff = c.cli("config", "diff", "4", *node).stdout.splitlines()
        assert diff == ['- config/log_level "warning"', '+ config/log_level "error"']
        assert c.cli("config", "rollback", "4", *node).stdout == "6\n"
        assert c.cli("store", "get", "config/log_level", *node).stdout == '"warning"\n'
        assert len(c.cli("config", "history", *node).stdout.splitlines()) == 3
        assert "log_level" in c.cli("config", "schema").stdout
        assert "3 members are the same" in c.cli("store", "verify", *node).stdout
        names = {line.split()[0] for line in c.cli("store", "members", *node).stdout.splitlines()}
        assert names == {"n1", "n2", "n3"}
        target = c.others(c.leader())[0]
        assert c.cli("store", "transfer", target, *node).returncode == 0
        wait_for(lambda: c.leader() == target)

        backup = tmp_path / "backup"
        assert c.cli("store", "snapshot", str(backup), *node).returncode == 0
        for name in c.others("n2"):
            c.kill(name)
        none = c.cli("store", "set", "x", "1", "--timeout", "1.5", *node)
        assert none.returncode in (3, 4) and none.stderr.count("\n") == 1
        wait_for(lambda: status_if_reachable(c, "n2")["role"] != "leader")
        none = c.cli("store", "set", "x", "1", "--timeout", "1", *node)
        assert none.returncode == 4 and "no_quorum" in none.stderr
        assert c.cli("store", "get", "x", "--timeout", "1", *node).returncode == 4
        assert c.cli("store", "get", "config/log_level", "--stale", *node).stdout == '"warning"\n'
        c.kill("n2")
        gone = c.cli("store", "list", *node)
        assert gone.returncode == 2 and gone.stderr.count("\n") == 1

        # All is lost but the backup.
        for name in c.names:
            for file in (tmp_path / name).iterdir():
                file.unlink()
        again = c.cli("store", "restore", str(backup), "--operator", str(c.write_config("n1")))
        assert again.returncode == 0, again.stderr
        assert c.cli("store", "restore", str(backup), "--operator", str(c.write_config("n1"))).returncode == 2
        for name in c.names:
            c.start(name)
        wait_for(lambda: value_if_reachable(c, "n1", "config/log_level") == "warning", 10.0)
        wait_for(lambda: len([m for m in status_if_reachable(c, "n1")["members"] if m["voter"]]) == 3, 15.0)
        wait_for(c.has_equal_states, 10.0)
