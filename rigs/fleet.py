"""The fleet's stage: many real processes, a link for every pair, faults by schedule.

Everything random comes from the seed; the schedule that was drawn is printed and can be replayed.
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

from rigs.schedule import GROUP_VERBS, LINK_VERBS, OTHER_VERBS, Fault, drawn, ends, read, written
from rigs.stage import NOTICE_S, Stage, now
from standins.check_server import CheckServer
from standins.clients import Allowance, Application, Habits
from standins.discovery import Member, Mood, View
from standins.ledger import Sent, peak
from standins.link import Link, Way
from standins.platform import ROOT, Program, settings

SOCKETS = 256
LONG_BYTES = 100 * 1024 * 1024
KEPT_S = 1.5  # before a kill, by which what was told is in the state that is kept every half second


@dataclass
class Node:
    """One program of the fleet, its application, and what it sees of the others."""

    name: str
    program: Program
    view: View
    application: Application
    links: dict[str, Link] = field(default_factory=dict)  # by `d` or the port of a server
    ready_at: float = 0.0
    killed_at: float = 0.0
    down: bool = False
    known: dict[str, Any] = field(default_factory=dict)
    state_lost: bool = False  # or spoilt, since it was killed
    losses: list[float] = field(default_factory=list)  # when it was
    starts_s: list[float] = field(default_factory=list)  # from each start to ready
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)  # a kill waits for a start that is under way

    def loses_state(self) -> None:
        self.state_lost = True
        self.losses.append(now())

    def rewrite(self, member: Member) -> Member:
        """A server's entry with the address of this program's link to it."""
        port = member["host_port"].rpartition(":")[2]
        link = self.links.get(port)
        return member | {"host_port": f"127.0.0.1:{link.port}"} if link is not None else member


@dataclass
class Plan:
    """What a fleet is: sizes, rates and habits."""

    programs: int = 24
    later: int = 0  # of those, so many are not started with the others
    told_size: int = 0  # as the settings tell it; 0: as it is
    servers: int = 12
    rate: float = 160.0  # first tries a second, of all
    ramp_s: float = 6.0
    work_s: float = 0.08
    capacity: float = 0.0  # calls to discovery a second
    retries: int = 2
    honours: float = 0.0  # share of the applications that wait as they are advised
    retry_after: bool = False
    operator: str = ""  # the text of the operator's file; empty: none
    root: Path = ROOT  # of the checkout that is run


class Fleet(Stage):
    """N programs over one set of peers."""

    def __init__(self, seed: int, plan: Plan) -> None:
        super().__init__(seed, plan.servers, SOCKETS, ramp_s=plan.ramp_s, work_s=plan.work_s)
        self.plan = plan
        self.discovery.capacity = plan.capacity
        self.every = list(self.servers)  # also those that have gone
        self.nodes: dict[str, Node] = {}

    # Opening and closing

    async def open(self) -> None:
        """All peers and all programs are up."""
        for number in range(self.plan.programs):
            self._node(f"n{number}")
        await self.open_peers()
        for node in self.nodes.values():
            node.links["d"] = await Link(f"{node.name}-d", node.view.port).open()
            node.program.told["discovery"] = f"127.0.0.1:{node.links['d'].port}"
        for server in self.servers:
            await self._connect(server)
        self.discovery.publish(server.member() for server in self.servers)
        for node in self.nodes.values():
            node.view.known_at.clear()
            node.known = self.discovery.snapshot(node.view)
        await self.meet()
        first = list(self.nodes.values())[: self.plan.programs - self.plan.later]
        await asyncio.gather(*(self._start(node) for node in first))

    async def meet(self) -> None:
        """All programs are known and none has started: what lies between them is made."""

    def _node(self, name: str) -> None:
        plan, number = self.plan, len(self.nodes)
        facts = settings(plan.told_size or plan.programs, plan.ramp_s, plan.retry_after)
        facts["slotNo"] = number
        seed = self.rng.getrandbits(32)
        program = Program(0, seed, {}, facts, self.sockets, root=plan.root, name=name)
        if plan.operator:
            file = Path(program.folder.name) / "operator.toml"
            file.write_text(plan.operator)
            program.environment["NODE_OPERATOR"] = str(file)
        habits = Habits(
            rate=plan.rate / plan.programs,
            retries=plan.retries,
            honours=self.rng.random() < plan.honours,
        )
        rng = random.Random(self.rng.getrandbits(32))
        allowance = Allowance(self.sockets // 3)
        application = Application(name, program.port, self.ledger, allowance, rng, habits, via=name)
        node = Node(name, program, View(), application)
        node.view = self.discovery.view(name, node.rewrite)
        node.down = number >= plan.programs - plan.later
        self.nodes[name] = node

    async def _connect(self, server: CheckServer) -> None:
        """A link from every program to this server."""
        port = str(server.port)
        for node in self.nodes.values():
            if port not in node.links:
                node.links[port] = Link(f"{node.name}-{server.name}", server.port)
            await node.links[port].open()

    def _disconnect(self, server: CheckServer) -> None:
        for node in self.nodes.values():
            node.links[str(server.port)].shut()

    async def _start(self, node: Node) -> None:
        node.program.told["known"] = node.known
        kept = self.plan.operator and not node.state_lost
        self.discovery.begins_anew(node.view, node.killed_at - KEPT_S if kept else float("-inf"))
        node.state_lost = False
        began = now()
        await node.program.start()
        node.down = False
        node.ready_at = now()
        node.starts_s.append(node.ready_at - began)

    async def close(self) -> list[int]:
        """The programs' exit codes."""
        began = [node.program for node in self.nodes.values() if node.program.process is not None]
        codes = await asyncio.gather(*(program.stop() for program in began))
        for node in self.nodes.values():
            node.program.cleanup()
            for link in node.links.values():
                await link.close()
        for server in self.every:
            await server.close()
        self.discovery.close()
        return codes

    # Sending

    async def send(self, seconds: float) -> None:
        """All applications at their rates, while the schedule is played."""
        await asyncio.gather(*(node.application.run(seconds) for node in self.nodes.values()))

    async def settle(self) -> None:
        await asyncio.gather(*(node.application.settle() for node in self.nodes.values()))

    # The schedule

    def draw(self, text: str) -> list[Fault]:
        """Read a schedule and give its parties names."""
        parties = {"n": list(self.nodes), "s": [server.name for server in self.servers]}
        return drawn(read(text), self.rng, parties)

    async def play(self, schedule: list[Fault]) -> None:
        """Carry out faults at their times; returns when the last has ended."""
        self.progress.say("schedule:\n" + written(schedule))
        begins = now()
        await asyncio.gather(*(self._at(begins, fault) for fault in schedule))

    async def _at(self, begins: float, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, begins + fault.at - now()))
        self.progress.say(str(fault))
        verb = fault.verb.replace("-", "_")
        if fault.verb in LINK_VERBS:
            await self._on_links(fault)
        elif fault.verb in OTHER_VERBS + GROUP_VERBS:
            await getattr(self, f"do_{verb}")(fault)
        else:
            who = fault.who if fault.who != ("all",) else [n for n, node in self.nodes.items() if node.down]
            await asyncio.gather(*(getattr(self, f"do_{verb}")(one, fault) for one in who))

    # Programs

    async def do_kill(self, name: str, fault: Fault) -> None:
        node = self.nodes[name]
        async with node.turn:
            node.down, node.killed_at = True, now()
            node.known = self.discovery.snapshot(node.view)
            for sent in self.ledger.sent.values():
                if sent.via == name and sent.final is None and sent.written:
                    sent.gone = True  # it was held by the process that is killed
            await node.program.kill()

    async def do_start(self, name: str, fault: Fault) -> None:
        node = self.nodes[name]
        async with node.turn:
            if node.down:
                await self._start(node)

    async def do_end(self, name: str, fault: Fault) -> None:
        """A planned restart."""
        node = self.nodes[name]
        async with node.turn:
            await node.program.stop()
            node.known = self.discovery.snapshot(node.view)
            await self._start(node)

    async def do_stall(self, name: str, fault: Fault) -> None:
        await self.nodes[name].program.pause(fault.for_s)

    async def do_lose_state(self, name: str, fault: Fault) -> None:
        self.nodes[name].loses_state()
        self._state_files(name, lambda file: os.unlink(file))

    async def do_old_state(self, name: str, fault: Fault) -> None:
        self.nodes[name].loses_state()
        kept = self.nodes[name].program.state.parent / "kept"
        if kept.is_dir():
            shutil.copytree(kept, self.nodes[name].program.state, dirs_exist_ok=True)

    def set_state_aside(self) -> None:
        """Keep a copy of what every program has now, for `old-state`; what is still being written is none."""
        for node in self.nodes.values():
            kept = node.program.state.parent / "kept"
            kept.mkdir(exist_ok=True)
            for file in node.program.state.glob("petrelspan-*"):
                with contextlib.suppress(FileNotFoundError):  # renamed meanwhile
                    shutil.copyfile(file, kept / file.name)

    async def do_swap_state(self, name: str, fault: Fault) -> None:
        """It finds the next program's state."""
        names = list(self.nodes)
        other = self.nodes[names[(names.index(name) + 1) % len(names)]].program
        own = self.nodes[name].program.state
        self.nodes[name].loses_state()
        self._state_files(name, lambda file: os.unlink(file))
        for file in other.state.iterdir():
            own_name = file.name.replace(f"-{other.told['name']}", f"-{name}", 1)
            shutil.copyfile(file, own / own_name)

    async def do_spoil_state(self, name: str, fault: Fault) -> None:
        """A bit of each file is flipped, or it is cut, or has become very long."""
        self.nodes[name].loses_state()
        self._state_files(name, self._spoil)

    def _spoil(self, file: Path) -> None:
        size, way = file.stat().st_size, self.rng.randrange(3)
        if way == 0 and size:
            data = bytearray(file.read_bytes())
            data[self.rng.randrange(size)] ^= 1 << self.rng.randrange(8)
            file.write_bytes(data)
        else:
            os.truncate(file, size // 2 if way == 1 else LONG_BYTES)  # sparse: it takes no room

    def _state_files(self, name: str, change: Any) -> None:
        for file in self.nodes[name].program.state.iterdir():
            if file.is_file():
                change(file)

    # Links

    def links_of(self, words: str) -> list[tuple[Link, tuple[Way, ...]]]:
        """The links that a schedule's word names, with the ways that are meant."""
        one, other, both = ends(words)
        turned = not one.startswith("n")
        program, peer = (other, one) if turned else (one, other)
        ways = tuple(Way) if both else ((Way.BACK,) if turned else (Way.OUT,))
        node = self.nodes[program]
        key = "d" if peer == "d" else next((str(s.port) for s in self.every if s.name == peer), "")
        return [(node.links[key], ways)] if key in node.links else []

    async def _on_links(self, fault: Fault) -> None:
        touched = [pair for words in fault.who for pair in self.links_of(words)]
        for link, ways in touched:
            if fault.verb == "cut":
                link.cut()
            for way in ways:
                link.faults[way].held |= fault.verb == "hold"
                link.faults[way].dropped |= fault.verb == "drop"
                link.faults[way].delay_s = fault.by_s
        await asyncio.sleep(fault.for_s)
        for link, _ in touched:
            await link.mend()

    # Servers

    def server_named(self, name: str) -> CheckServer:
        return next(server for server in self.every if server.name == name)

    async def do_replace(self, name: str, fault: Fault, reuse: bool = False) -> None:
        """A server dies at once, and a new one comes cold in its place; discovery tells of both."""
        old = self.server_named(name)
        old.crash()
        self._disconnect(old)
        new = self._server(self.names)
        self.names += 1
        new.rack = old.rack
        if reuse:
            new.port = old.port
        await new.start(cold=True)
        await self._connect(new)
        self.servers[self.servers.index(old)] = new
        self.every.append(new)
        await asyncio.sleep(NOTICE_S if not self._everybody_is_down() else 0.1)
        self.discovery.publish([new.member(), old.member("DELETED")])

    def _everybody_is_down(self) -> bool:
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
        await asyncio.sleep(NOTICE_S)
        self.discovery.publish([server.member()])

    async def do_drain(self, name: str, fault: Fault) -> None:
        """It turns new work away from now on, and is told of; then it is gone."""
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
        await self.discovery.become(Mood[fault.who[0].upper()])
        if fault.for_s:
            await asyncio.sleep(fault.for_s)
            await self.discovery.become(Mood.GOOD)

    async def do_capacity(self, fault: Fault) -> None:
        self.discovery.capacity = float(fault.who[0])

    # Figures

    def able(self, since: float, until: float) -> float:
        """Requests that the servers could do in a span, by their warmth."""
        return sum(
            self.ledger.able(server.life, since, until) / server.work_s
            for server in self.servers
            if server.life is not None
        )

    def ready_within_s(self, share: float) -> float:
        """The time within which this share of all starts were ready; the first of each program is none."""
        took = sorted(took for node in self.nodes.values() for took in node.starts_s[1:])
        return took[min(len(took) - 1, int(share * len(took)))] if took else 0.0

    def repeats_in_two_racks(self) -> tuple[int, int]:
        """Keys that ran in two racks; and of those that did, the ones whose sidecar could not know of it.

        It can't where its state was lost or spoilt between two tries.
        """
        by_key: dict[str, list[Sent]] = {}
        for sent in self.ledger.sent.values():
            by_key.setdefault(sent.key, []).append(sent)
        known = unknown = 0
        for tries in by_key.values():
            cells = {run.cell for sent in tries for run in self.ledger.ran.get(sent.id, ())}
            if len(cells) > 1:
                first, last = min(sent.at for sent in tries), max(sent.at for sent in tries)
                losses = [at for sent in tries for at in self.nodes[sent.via].losses]
                excused = any(first <= at <= last for at in losses)
                unknown += excused
                known += not excused
        return known, unknown

    def logged(self, *words: str) -> int:
        """How many lines of all programs' logs hold one of these."""
        lines = [line for node in self.nodes.values() for line in node.program.log.read_text().splitlines()]
        return sum(any(word in line for word in words) for line in lines)

    def dials_peak(self, window_s: float, since: float, until: float) -> int:
        """The most dials at one server within such a window, from all programs."""
        by_port: dict[str, list[float]] = {}
        for node in self.nodes.values():
            for port, link in node.links.items():
                if port != "d":
                    by_port.setdefault(port, []).extend(at for at in link.dial_times if since <= at < until)
        return max((peak(times, window_s) for times in by_port.values()), default=0)


def overrun_s(times: list[float], capacity: float) -> float:
    """The longest backlog, in seconds of work, that calls at these times make at such a capacity."""
    backlog, last, worst = 0.0, 0.0, 0.0
    for at in sorted(times):
        backlog = max(0.0, backlog - (at - last)) + 1.0 / capacity
        last, worst = at, max(worst, backlog)
    return worst
