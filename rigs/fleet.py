"""Test cluster of many real processes with a simulated link between each pair and scheduled faults.

All randomness comes from the seed; the resolved schedule is printed and can be replayed.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rigs.schedule import (
    GROUP_VERBS,
    LINK_VERBS,
    OTHER_VERBS,
    Fault,
    format_schedule,
    parse_link,
    parse_schedule,
    resolve,
)
from rigs.stage import DISCOVERY_DELAY_S, Stage, now
from standins.check_server import CheckServer
from standins.clients import Application, ApplicationSettings, ConnectionAllowance
from standins.discovery import DiscoveryFault, Member, View
from standins.ledger import Sent, max_in_window
from standins.link import Direction, Link
from standins.platform import ROOT, Program, settings

SOCKETS = 256
OVERSIZED_BYTES = 100 * 1024 * 1024
STATE_SAVED_S = 1.5  # an update older than this at a kill is in the state, which is saved every 0.5 s


@dataclass
class Node:
    """One program of the fleet with its application, its links and its view of discovery."""

    name: str
    program: Program
    view: View
    application: Application
    links: dict[str, Link] = field(default_factory=dict)  # by `d` (discovery) or the port of a server
    ready_at: float = 0.0
    killed_at: float = 0.0
    down: bool = False
    initial_list: dict[str, Any] = field(default_factory=dict)
    state_lost: bool = False  # whether the state files were removed or changed since the kill
    state_loss_times: list[float] = field(default_factory=list)  # times of `record_state_loss`
    starts_s: list[float] = field(default_factory=list)  # duration of each start until ready
    lifecycle: asyncio.Lock = field(default_factory=asyncio.Lock)  # serializes kills and starts

    def record_state_loss(self) -> None:
        self.state_lost = True
        self.state_loss_times.append(now())

    def rewrite(self, member: Member) -> Member:
        """Return a server's entry with its address replaced by that of this program's link to it."""
        port = member["host_port"].rpartition(":")[2]
        link = self.links.get(port)
        return member | {"host_port": f"127.0.0.1:{link.port}"} if link is not None else member


@dataclass
class Plan:
    """Sizes, rates and client behaviour of a fleet."""

    programs: int = 24
    late_starters: int = 0  # how many of the programs are not started with the others
    configured_fleet_size: int = 0  # fleet size in the settings; 0: the real one
    servers: int = 12
    rate: float = 160.0  # first tries per second, of all applications
    ramp_s: float = 6.0
    work_s: float = 0.08
    capacity: float = 0.0  # calls per second that discovery handles
    retries: int = 2
    honours: float = 0.0  # share of the applications that obey Retry-After
    retry_after: bool = False
    operator: str = ""  # content of the operator file; empty: no file
    root: Path = ROOT  # of the checkout whose program runs


class Fleet(Stage):
    """A test cluster of several programs over one set of servers and one discovery."""

    def __init__(self, seed: int, plan: Plan) -> None:
        super().__init__(seed, plan.servers, SOCKETS, ramp_s=plan.ramp_s, work_s=plan.work_s)
        self.plan = plan
        self.discovery.capacity = plan.capacity
        self.all_servers = list(self.servers)  # including replaced and drained ones
        self.nodes: dict[str, Node] = {}

    # Opening and closing

    async def open(self) -> None:
        """Start all peers and all programs."""
        for number in range(self.plan.programs):
            self._add_node(f"n{number}")
        await self.open_peers()
        for node in self.nodes.values():
            node.links["d"] = await Link(f"{node.name}-d", node.view.port).open()
            node.program.configuration["discovery"] = f"127.0.0.1:{node.links['d'].port}"
        for server in self.servers:
            await self._connect(server)
        self.discovery.publish(server.member() for server in self.servers)
        for node in self.nodes.values():
            node.view.pending_since.clear()
            node.initial_list = self.discovery.snapshot(node.view)
        await self.meet()
        first = list(self.nodes.values())[: self.plan.programs - self.plan.late_starters]
        await asyncio.gather(*(self._start(node) for node in first))

    async def meet(self) -> None:
        """Hook for subclasses: create the links between the programs, before any of them starts."""

    def _add_node(self, name: str) -> None:
        plan, number = self.plan, len(self.nodes)
        document = settings(plan.configured_fleet_size or plan.programs, plan.ramp_s, plan.retry_after)
        document["slotNo"] = number
        seed = self.rng.getrandbits(32)
        program = Program(0, seed, {}, document, self.sockets, root=plan.root, name=name)
        if plan.operator:
            file = Path(program.temporary_folder.name) / "operator.toml"
            file.write_text(plan.operator)
            program.environment["NODE_OPERATOR"] = str(file)
        application_settings = ApplicationSettings(
            rate=plan.rate / plan.programs,
            retries=plan.retries,
            respects_retry_after=self.rng.random() < plan.honours,
        )
        rng = random.Random(self.rng.getrandbits(32))
        allowance = ConnectionAllowance(self.sockets // 3)
        application = Application(
            name, program.port, self.ledger, allowance, rng, application_settings, via=name
        )
        node = Node(name, program, View(), application)
        node.view = self.discovery.view(name, node.rewrite)
        node.down = number >= plan.programs - plan.late_starters
        self.nodes[name] = node

    async def _connect(self, server: CheckServer) -> None:
        """Open a link from every program to this server."""
        port = str(server.port)
        for node in self.nodes.values():
            if port not in node.links:
                node.links[port] = Link(f"{node.name}-{server.name}", server.port)
            await node.links[port].open()

    def _disconnect(self, server: CheckServer) -> None:
        for node in self.nodes.values():
            node.links[str(server.port)].stop_listening()

    async def _start(self, node: Node) -> None:
        node.program.configuration["known"] = node.initial_list
        state_kept = self.plan.operator and not node.state_lost
        self.discovery.program_restarted(
            node.view, node.killed_at - STATE_SAVED_S if state_kept else float("-inf")
        )
        node.state_lost = False
        started_at = now()
        await node.program.start()
        node.down = False
        node.ready_at = now()
        node.starts_s.append(node.ready_at - started_at)

    async def close(self) -> list[int]:
        """Stop all programs and peers; returns the programs' exit codes."""
        started = [node.program for node in self.nodes.values() if node.program.process is not None]
        codes = await asyncio.gather(*(program.stop() for program in started))
        for node in self.nodes.values():
            node.program.cleanup()
            for link in node.links.values():
                await link.close()
        for server in self.all_servers:
            await server.close()
        self.discovery.close()
        return codes

    # Sending

    async def send(self, seconds: float) -> None:
        """Run all applications at their rates for `seconds`."""
        await asyncio.gather(*(node.application.run(seconds) for node in self.nodes.values()))

    async def settle(self) -> None:
        await asyncio.gather(*(node.application.settle() for node in self.nodes.values()))

    # The schedule

    def draw(self, text: str) -> list[Fault]:
        """Parse a schedule and replace each `N of M` by drawn names."""
        parties = {"n": list(self.nodes), "s": [server.name for server in self.servers]}
        return resolve(parse_schedule(text), self.rng, parties)

    async def play(self, schedule: list[Fault]) -> None:
        """Inject the faults at their times; returns when the last has ended."""
        self.progress.log("schedule:\n" + format_schedule(schedule))
        started_at = now()
        await asyncio.gather(*(self._inject_at(started_at, fault) for fault in schedule))

    async def _inject_at(self, started_at: float, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, started_at + fault.at - now()))
        self.progress.log(str(fault))
        verb = fault.verb.replace("-", "_")
        if fault.verb in LINK_VERBS:
            await self._apply_link_fault(fault)
        elif fault.verb in OTHER_VERBS + GROUP_VERBS:
            await getattr(self, f"do_{verb}")(fault)
        else:
            targets = (
                fault.targets
                if fault.targets != ("all",)
                else [n for n, node in self.nodes.items() if node.down]
            )
            await asyncio.gather(*(getattr(self, f"do_{verb}")(target, fault) for target in targets))

    # Programs

    async def do_kill(self, name: str, fault: Fault) -> None:
        node = self.nodes[name]
        async with node.lifecycle:
            node.down, node.killed_at = True, now()
            node.initial_list = self.discovery.snapshot(node.view)
            self._excuse_pending(name)
            await node.program.kill()
            self._excuse_pending(name)  # a request may be written to the process until it has ended

    def _excuse_pending(self, name: str) -> None:
        """Mark the unanswered requests that a process held which is being killed."""
        for sent in self.ledger.sent.values():
            if sent.program == name and sent.final is None and sent.written:
                sent.abandoned = True

    async def do_start(self, name: str, fault: Fault) -> None:
        node = self.nodes[name]
        async with node.lifecycle:
            if node.down:
                await self._start(node)

    async def do_end(self, name: str, fault: Fault) -> None:
        """Restart a program gracefully."""
        node = self.nodes[name]
        async with node.lifecycle:
            await node.program.stop()
            node.initial_list = self.discovery.snapshot(node.view)
            await self._start(node)

    async def do_stall(self, name: str, fault: Fault) -> None:
        await self.nodes[name].program.pause(fault.for_s)

    async def do_lose_state(self, name: str, fault: Fault) -> None:
        self.nodes[name].record_state_loss()
        self._change_state_files(name, lambda file: os.unlink(file))

    async def do_old_state(self, name: str, fault: Fault) -> None:
        self.nodes[name].record_state_loss()
        backup = self.nodes[name].program.state.parent / "kept"
        if backup.is_dir():
            shutil.copytree(backup, self.nodes[name].program.state, dirs_exist_ok=True)

    def back_up_state(self) -> None:
        """Copy the state files of every program for `old-state`, except files still being written."""
        for node in self.nodes.values():
            backup = node.program.state.parent / "kept"
            backup.mkdir(exist_ok=True)
            for file in node.program.state.glob("petrelspan-*"):
                with contextlib.suppress(FileNotFoundError):  # renamed meanwhile
                    shutil.copyfile(file, backup / file.name)

    async def do_swap_state(self, name: str, fault: Fault) -> None:
        """Replace the program's state files by those of the next program."""
        names = list(self.nodes)
        other = self.nodes[names[(names.index(name) + 1) % len(names)]].program
        own = self.nodes[name].program.state
        self.nodes[name].record_state_loss()
        self._change_state_files(name, lambda file: os.unlink(file))
        for file in other.state.iterdir():
            own_name = file.name.replace(f"-{other.configuration['name']}", f"-{name}", 1)
            shutil.copyfile(file, own / own_name)

    async def do_spoil_state(self, name: str, fault: Fault) -> None:
        """Corrupt each state file: flip a bit, truncate it, or extend it to `OVERSIZED_BYTES`."""
        self.nodes[name].record_state_loss()
        self._change_state_files(name, self._corrupt)

    def _corrupt(self, file: Path) -> None:
        size, kind = file.stat().st_size, self.rng.randrange(3)
        if kind == 0 and size:
            data = bytearray(file.read_bytes())
            data[self.rng.randrange(size)] ^= 1 << self.rng.randrange(8)
            file.write_bytes(data)
        else:
            # Extending creates a sparse file, which needs no disk space.
            os.truncate(file, size // 2 if kind == 1 else OVERSIZED_BYTES)

    def _change_state_files(self, name: str, change: Any) -> None:
        for file in self.nodes[name].program.state.iterdir():
            if file.is_file():
                change(file)

    # Links

    def links_of(self, words: str) -> list[tuple[Link, tuple[Direction, ...]]]:
        """Return the links that a schedule's word names, with the affected directions."""
        first, second, both = parse_link(words)
        reverse = not first.startswith("n")
        program, peer = (second, first) if reverse else (first, second)
        directions = (
            tuple(Direction) if both else ((Direction.FROM_TARGET,) if reverse else (Direction.TO_TARGET,))
        )
        node = self.nodes[program]
        key = "d" if peer == "d" else next((str(s.port) for s in self.all_servers if s.name == peer), "")
        return [(node.links[key], directions)] if key in node.links else []

    async def _apply_link_fault(self, fault: Fault) -> None:
        affected = [pair for words in fault.targets for pair in self.links_of(words)]
        for link, directions in affected:
            if fault.verb == "cut":
                link.cut()
            for direction in directions:
                link.faults[direction].held |= fault.verb == "hold"
                link.faults[direction].dropped |= fault.verb == "drop"
                link.faults[direction].delay_s = fault.by_s
        await asyncio.sleep(fault.for_s)
        for link, _ in affected:
            await link.mend()

    # Servers

    def server_named(self, name: str) -> CheckServer:
        return next(server for server in self.all_servers if server.name == name)

    async def do_replace(self, name: str, fault: Fault, reuse: bool = False) -> None:
        """Crash a server and start a new, cold one in its place; discovery publishes both changes."""
        old = self.server_named(name)
        old.crash()
        self._disconnect(old)
        new = self._new_server(self.next_server_number)
        self.next_server_number += 1
        new.rack = old.rack
        if reuse:
            new.port = old.port
        await new.start(cold=True)
        await self._connect(new)
        self.servers[self.servers.index(old)] = new
        self.all_servers.append(new)
        await asyncio.sleep(DISCOVERY_DELAY_S if not self._all_programs_down() else 0.1)
        self.discovery.publish([new.member(), old.member("DELETED")])

    def _all_programs_down(self) -> bool:
        return all(node.down for node in self.nodes.values())

    async def do_reuse(self, name: str, fault: Fault) -> None:
        await self.do_replace(name, fault, reuse=True)

    async def do_crash(self, name: str, fault: Fault) -> None:
        server = self.server_named(name)
        server.crash()
        self._disconnect(server)
        await asyncio.sleep(fault.for_s)
        await server.start(cold=True)
        await self._connect(server)
        await asyncio.sleep(DISCOVERY_DELAY_S)
        self.discovery.publish([server.member()])

    async def do_drain(self, name: str, fault: Fault) -> None:
        """Mark a server as draining, publish that, and remove it after the fault's duration."""
        server = self.server_named(name)
        server.draining = True
        self.discovery.publish([server.member("DRAINING")])
        await asyncio.sleep(fault.for_s)
        server.crash()
        self._disconnect(server)
        self.servers.remove(server)
        self.discovery.publish([server.member("DELETED")])

    # Discovery

    async def do_discovery(self, fault: Fault) -> None:
        await self.discovery.set_fault(DiscoveryFault[fault.targets[0].upper()])
        if fault.for_s:
            await asyncio.sleep(fault.for_s)
            await self.discovery.set_fault(DiscoveryFault.GOOD)

    async def do_capacity(self, fault: Fault) -> None:
        self.discovery.capacity = float(fault.targets[0])

    # Figures

    def server_capacity(self, since: float, until: float) -> float:
        """Number of requests that the servers can handle between two times, given their slow start."""
        return sum(
            self.ledger.capacity_between_s(server.life, since, until) / server.work_s
            for server in self.servers
            if server.life is not None
        )

    def ready_within_s(self, share: float) -> float:
        """Quantile `share` of the start durations, without the first start of each program."""
        seconds = sorted(seconds for node in self.nodes.values() for seconds in node.starts_s[1:])
        return seconds[min(len(seconds) - 1, int(share * len(seconds)))] if seconds else 0.0

    def repeats_in_two_racks(self) -> tuple[int, int]:
        """Count the keys that ran in two racks: avoidable for their sidecar, and unavoidable.

        A repeat in another rack is unavoidable where the state was lost or corrupted between two tries.
        """
        by_key: dict[str, list[Sent]] = {}
        for sent in self.ledger.sent.values():
            by_key.setdefault(sent.key, []).append(sent)
        avoidable = unavoidable = 0
        for tries in by_key.values():
            cells = {run.cell for sent in tries for run in self.ledger.executions.get(sent.id, ())}
            if len(cells) > 1:
                first, last = min(sent.at for sent in tries), max(sent.at for sent in tries)
                losses = [at for sent in tries for at in self.nodes[sent.program].state_loss_times]
                excused = any(first <= at <= last for at in losses)
                unavoidable += excused
                avoidable += not excused
        return avoidable, unavoidable

    def count_log_lines(self, *words: str) -> int:
        """Count the lines of all programs' logs that contain one of `words`."""
        lines = [line for node in self.nodes.values() for line in node.program.log.read_text().splitlines()]
        return sum(any(word in line for word in words) for line in lines)

    def peak_dials(self, window_s: float, since: float, until: float) -> int:
        """Maximum number of connections opened to one server within `window_s`, from all programs."""
        by_port: dict[str, list[float]] = {}
        for node in self.nodes.values():
            for port, link in node.links.items():
                if port != "d":
                    by_port.setdefault(port, []).extend(at for at in link.dial_times if since <= at < until)
        return max((max_in_window(times, window_s) for times in by_port.values()), default=0)


def overrun_s(times: list[float], capacity: float) -> float:
    """Longest backlog, in seconds of work, of calls at these times with `capacity` calls per second."""
    backlog, last, longest = 0.0, 0.0, 0.0
    for at in sorted(times):
        backlog = max(0.0, backlog - (at - last)) + 1.0 / capacity
        last, longest = at, max(longest, backlog)
    return longest
