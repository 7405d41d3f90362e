"""A store member as a process: disk faults, shutdown and the command line."""

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


def test_full_disk_stops_only_that_member_with_one_error_line(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        victim = store.others(store.leader())[0]
        process = store.processes[victim]
        size_bytes = (tmp_path / victim / "data.mdb").stat().st_size
        # A limit on the file size acts like a full disk in the middle of an append.
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size_bytes + 4096, size_bytes + 4096))
        alive = [name for name in store.names if name != victim]
        for k in range(200):
            put(store, alive[k % 2], f"k{k}", "x" * 3000)
            if process.poll() is not None:
                break
        assert process.wait(5) == 2
        last_line = store.log(victim).splitlines()[-1]
        assert last_line.startswith("gradegap: ") and "can't be written" in last_line
        assert put(store, alive[0], "on", 1)
        store.start(victim)
        wait_for(store.has_equal_states, 15.0)


def test_member_with_damaged_data_refuses_to_start(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        put(store, "n1", "k", "some value that can be found")
        victim = store.others(store.leader())[0]
        wait_for(store.has_equal_states)
        store.processes[victim].terminate()
        assert store.processes[victim].wait(5) == 0
        path = tmp_path / victim / "data.mdb"
        path.write_bytes(path.read_bytes().replace(b"that can be", b"that can'be"))
        store.start(victim)
        assert store.processes[victim].wait(10) == 2
        last_line = store.log(victim).splitlines()[-1]
        assert last_line.startswith("gradegap: ") and "damaged" in last_line and "rejoin" in last_line


def test_terminated_leader_transfers_leadership(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        old_leader = store.leader()
        store.processes[old_leader].terminate()
        assert store.processes[old_leader].wait(5) == 0
        new_leader = wait_for(lambda: store.leader(store.others(old_leader)), 3.0)
        assert new_leader != old_leader and put(store, new_leader, "k", 1)


def test_command_line_exit_code_reflects_outcome(tmp_path: Path) -> None:
    with cluster(tmp_path) as store:
        node = ("--node", store.listen_addresses["n2"])
        set_result = store.cli("store", "set", "a/b", '{"x": 1}', *node)
        assert (set_result.returncode, set_result.stdout) == (0, "1\n")
        assert store.cli("store", "get", "a/b", *node).stdout == '{"x":1}\n'
        stored = json.loads(store.cli("store", "get", "a/b", "--json", *node).stdout)
        assert stored["revision"] == 1 and stored["value"] == {"x": 1}
        assert store.cli("store", "get", "nothing", *node).returncode == 1
        assert store.cli("store", "cas", "a/b", "1", "two", *node).stdout == "2\n"
        rejected = store.cli("store", "cas", "a/b", "1", "three", *node)
        assert rejected.returncode == 1 and rejected.stderr.count("\n") == 1
        assert store.cli("store", "list", "a/", *node).stdout == 'a/b "two"\n'
        assert store.cli("store", "delete", "a/b", *node).stdout == "3\n"
        invalid = store.cli("store", "set", "config/log_level", "loud", *node)
        assert invalid.returncode == 1 and "invalid" in invalid.stderr and invalid.stderr.count("\n") == 1
        assert store.cli("store", "set", "config/log_level", "warning", *node).stdout == "4\n"
        assert store.cli("store", "set", "config/log_level", "error", *node).stdout == "5\n"
        diff = store.cli("config", "diff", "4", *node).stdout.splitlines()
        assert diff == ['- config/log_level "warning"', '+ config/log_level "error"']
        assert store.cli("config", "rollback", "4", *node).stdout == "6\n"
        assert store.cli("store", "get", "config/log_level", *node).stdout == '"warning"\n'
        assert len(store.cli("config", "history", *node).stdout.splitlines()) == 3
        assert "log_level" in store.cli("config", "schema").stdout
        assert "3 members are the same" in store.cli("store", "verify", *node).stdout
        names = {line.split()[0] for line in store.cli("store", "members", *node).stdout.splitlines()}
        assert names == {"n1", "n2", "n3"}
        target = store.others(store.leader())[0]
        assert store.cli("store", "transfer", target, *node).returncode == 0
        wait_for(lambda: store.leader() == target)

        backup = tmp_path / "backup"
        assert store.cli("store", "snapshot", str(backup), *node).returncode == 0
        for name in store.others("n2"):
            store.kill(name)
        result = store.cli("store", "set", "x", "1", "--timeout", "1.5", *node)
        assert result.returncode in (3, 4) and result.stderr.count("\n") == 1
        wait_for(lambda: status_if_reachable(store, "n2")["role"] != "leader")
        result = store.cli("store", "set", "x", "1", "--timeout", "1", *node)
        assert result.returncode == 4 and "no_quorum" in result.stderr
        assert store.cli("store", "get", "x", "--timeout", "1", *node).returncode == 4
        assert store.cli("store", "get", "config/log_level", "--stale", *node).stdout == '"warning"\n'
        store.kill("n2")
        unreachable = store.cli("store", "list", *node)
        assert unreachable.returncode == 2 and unreachable.stderr.count("\n") == 1

        # Delete the folders of all members and restore the backup.
        for name in store.names:
            for file in (tmp_path / name).iterdir():
                file.unlink()
        restored = store.cli("store", "restore", str(backup), "--operator", str(store.write_config("n1")))
        assert restored.returncode == 0, restored.stderr
        assert (
            store.cli("store", "restore", str(backup), "--operator", str(store.write_config("n1"))).returncode
            == 2
        )
        for name in store.names:
            store.start(name)
        wait_for(lambda: value_if_reachable(store, "n1", "config/log_level") == "warning", 10.0)
        wait_for(
            lambda: (
                len([member for member in status_if_reachable(store, "n1")["members"] if member["voter"]])
                == 3
            ),
            15.0,
        )
        wait_for(store.has_equal_states, 10.0)
