"""The control machines of a run: real daemons, each with its operator's file."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Callable
from pathlib import Path

import msgspec

from bench.scale import storeclient
from bench.scale.gate import GateSpec, Listener
from bench.scale.measure import SocketBytes, Usage, open_sockets, usage
from bench.scale.messages import GatePorts
from bench.scale.processes import Child, ChildFailedError, Children
from bench.scale.sessions import MachineSpec, steady
from bench.scale.settings import RunSettings

SECRET = "0123456789abcdef of a scale run"
VOTERS = 5
LEASE_S = 1.0  # the store's own default
LEADER_TIMEOUT_S = 60.0  # the machines must have a leader within this time
LEADER_POLL_INTERVAL_S = 0.1


class MachineFigures(msgspec.Struct):
    """Resources that one control machine used in the measured window."""

    name: str
    core_share: float
    resident_bytes: int
    nodes: int  # connections of nodes at the end of the window
    node_bytes_s: dict[
        str, float
    ]  # bytes per second on connections with nodes that are open at the end of the window
    member_bytes_s: dict[str, float]  # bytes per second on links with the other machines


class Machines:
    """All control machines of a run."""

    def __init__(self, run: RunSettings, children: Children, folder: Path, port: Callable[[], int]) -> None:
        self.run, self.children, self.folder = run, children, folder
        self.secret_file = folder / "secret"
        self.secret_file.write_text(SECRET)
        self.specs = [
            self._spec(number, f"127.0.0.1:{port()}", f"127.0.0.1:{port()}")
            for number in range(run.control_machines)
        ]
        self.members_beside: list[MachineSpec] = []  # nodes that are members, with the earlier mechanism
        self.across: dict[tuple[str, str], str] = {}  # addresses through the gate, by region and machine
        self.processes: dict[str, Child] = {}
        self.before: dict[str, Usage] = {}
        self.sockets_before: list[SocketBytes] = []
        self.sockets_after: list[SocketBytes] = []

    def _spec(self, number: int, listen: str, publish: str) -> MachineSpec:
        return MachineSpec(f"m{number + 1}", f"r{number % self.run.regions}", listen, publish, listen)

    def addresses(self) -> list[str]:
        """Returns the client addresses of the machines, except for those of a region that will be cut off."""
        cut = self.cut_region() if self.run.fault == "region" else None
        return [m.listen_address for m in self.specs if m.region != cut]

    def cut_region(self) -> str:
        """Returns the region that the fault "region" cuts off."""
        return self.specs[self.run.regions - 1].region

    async def put_gate_between(self) -> Child:
        """Starts the gate, and routes all traffic between regions through it."""
        machines = [Listener(port_of(m.listen_address), m.region) for m in self.specs]
        regions = sorted({m.region for m in self.specs})
        nodes = [Listener(port_of(m.publish_address), m.region, r) for r in regions for m in self.specs]
        spec = GateSpec(machines + nodes, {m.name: m.region for m in self.specs})
        path = self.folder / "gate.json"
        path.write_bytes(msgspec.json.encode(spec))
        gate = await self.children.start("gate", ["bench.scale.gate", str(path)])
        ports = iter((await gate.receive(GatePorts, LEADER_TIMEOUT_S)).ports)
        for machine in self.specs:
            machine.member_address = f"127.0.0.1:{next(ports)}"
        self.across = {(r, m.name): f"127.0.0.1:{next(ports)}" for r in regions for m in self.specs}
        return gate

    def seen_from(self, region: str) -> list[MachineSpec]:
        """Returns the machines with the addresses at which nodes of a region reach them."""
        machines = []
        for machine in self.specs:
            is_remote = machine.region != region and self.across
            address = self.across[region, machine.name] if is_remote else machine.publish_address
            machines.append(msgspec.structs.replace(machine, publish_address=address))
        return machines

    def operator_file(self, spec: MachineSpec) -> Path:
        """Writes the operator's file of a machine, and returns its path."""
        peers = ", ".join(
            f'{{ name = "{m.name}", address = "{m.member_address}"{self._region(m)} }}'
            for m in (*self.specs, *self.members_beside)
            if m is not spec
        )
        lines = [
            "[store]",
            f'name = "{spec.name}"',
            f'listen = "{spec.listen_address}"',
            f'advertise = "{spec.member_address}"',
            f'data = "{self.folder / spec.name}"',
            f'secret = "{self.secret_file}"',
            f"peers = [{peers}]",
        ]
        if self.run.mechanism == "observer":
            lines += [f'publish = "{spec.publish_address}"', f'region = "{spec.region}"']
            lines += [f"voters = {VOTERS}"] if self.run.control_machines > VOTERS else []
        if self.run.lease_s or self.run.clock > 1.0:
            lines.append(f"lease_s = {(self.run.lease_s or LEASE_S) * self.run.clock}")
        path = self.folder / f"{spec.name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def _region(self, spec: MachineSpec) -> str:
        return f', region = "{spec.region}"' if self.run.mechanism == "observer" else ""

    async def start(self) -> None:
        """Starts all machines, and waits for a leader; if nodes are members, they form the cluster later."""
        for spec in self.specs:
            await self.start_one(spec)
        if not self.members_beside:
            await self.leader(LEADER_TIMEOUT_S)

    async def start_one(self, spec: MachineSpec) -> None:
        """Starts the daemon of a machine with the command that operators use."""
        arguments = ["gradegap", "store", "serve", "--operator", str(self.operator_file(spec))]
        self.processes[spec.name] = await self.children.start(spec.name, arguments)

    def living(self) -> list[MachineSpec]:
        """Returns the running machines."""
        return [m for m in self.specs if self.processes[m.name].alive()]

    async def leader(self, within: float) -> MachineSpec:
        """Waits for a leader with a lease, and returns it.

        Raises:
            ChildFailedError: no machine leads within `within` seconds.
        """
        end = steady() + within
        while steady() < end:
            for spec in self.living():
                answer = await storeclient.status(spec.listen_address, SECRET.encode())
                if answer.get("role") == "leader" and answer.get("lease_ms", 0) > 0:
                    return spec
            await asyncio.sleep(LEADER_POLL_INTERVAL_S)
        log_tail = next((c.log_tail() for c in self.processes.values() if not c.alive()), "")
        raise ChildFailedError(f"no control machine leads after {within:.0f} s{log_tail}")

    def kill(self, spec: MachineSpec) -> float:
        """Kills a machine by SIGKILL, and returns the time of the kill."""
        self.processes[spec.name].kill()
        return steady()

    async def replace(self, spec: MachineSpec) -> None:
        """Starts a new machine with the name of an ended one and an empty folder."""
        shutil.rmtree(self.folder / spec.name, ignore_errors=True)
        await self.start_one(spec)

    # Resources

    def window(self) -> None:
        """Starts the measured window."""
        now = steady()
        self.before = {m.name: usage(self.processes[m.name].pid, now) for m in self.living()}
        self.sockets_before = open_sockets()

    def measure(self) -> list[MachineFigures]:
        """Returns the resources that each running machine used since the start of the window."""
        self.sockets_after = open_sockets()
        return [self._figures(m) for m in self.living() if m.name in self.before]

    def _figures(self, spec: MachineSpec) -> MachineFigures:
        pid = self.processes[spec.name].pid
        before, after = self.before[spec.name], usage(pid, steady())
        if after.processor_s < before.processor_s:
            before = Usage(before.at, 0.0, 0)  # replaced within the window
        seconds = after.at - before.at
        member_ports = {port_of(a) for m in self.specs for a in (m.listen_address, m.member_address)}
        dialers = {child.pid for child in self.processes.values()}
        nodes, members = Counted(seconds), Counted(seconds)
        earlier = {(s.pid, s.local_port, s.peer_port): s for s in self.sockets_before}
        dialed_by_machine = {
            s.local_port for s in self.sockets_after if s.pid in dialers and s.peer_port in member_ports
        }
        for socket in self.sockets_after:
            if socket.pid != pid:
                continue
            was = earlier.get((pid, socket.local_port, socket.peer_port))
            own = port_of(spec.listen_address)
            between = socket.peer_port in member_ports or (
                socket.local_port == own and socket.peer_port in dialed_by_machine
            )
            if between:
                members.add(socket, was)
            else:
                nodes.add(socket, was)
        return MachineFigures(
            spec.name,
            round((after.processor_s - before.processor_s) / seconds, 5),
            after.resident_bytes,
            nodes.connections,
            nodes.rates(),
            members.rates(),
        )


def port_of(address: str) -> int:
    """Returns the port of an address."""
    return int(address.rpartition(":")[2])


class Counted:
    """Sum of the bytes of several connections, from which rates are calculated."""

    def __init__(self, seconds: float) -> None:
        self.seconds, self.sent, self.received, self.connections = seconds, 0, 0, 0

    def add(self, now: SocketBytes, before: SocketBytes | None) -> None:
        """Adds an open connection; `before` has its bytes at the start of the window, if it was open then."""
        self.connections += 1
        self.sent += now.sent - (before.sent if before is not None else 0)
        self.received += now.received - (before.received if before is not None else 0)

    def rates(self) -> dict[str, float]:
        """Returns the bytes per second of both directions."""
        return {
            "sent": round(self.sent / self.seconds, 1),
            "received": round(self.received / self.seconds, 1),
        }
