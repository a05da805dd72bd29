"""Shared counts of tenants: error against the bound by size, loss and cut; their cost; what others gain.

    python -m benchmarks.tenants [bound] [cost] [programs] [flood]      all four where none is named

- bound: members in virtual time, a burst of 20 times the allowance in either half: worst over and under
  against tenants/bound.py, at three losses and cut in halves; bytes and CPU of one member.
- cost: one decision on a request's path, against a bare look into a dict; the sketch of slots against a
  plain table of names.
- programs: real processes before servers that the burst is too much for; with [tenants] and without.
- flood: real requests while 20,000 forged datagrams a second come; without and with.
"""

from __future__ import annotations

import argparse
import asyncio
import subprocess
import sys
import time
from statistics import quantiles

from garnethaven.tenants.admission import Admission, Allowance, View
from garnethaven.tenants.bound import FleetParameters, max_excess, max_shortfall
from rigs.fleet import Plan
from rigs.members import Links, S, World, worst_over, worst_under
from rigs.peers_fleet import KEY, PeerFleet
from rigs.stage import keeping_book
from standins.platform import AIM_S

SIZES = {16: 40.0, 200: 50.0, 1200: 8.0}  # members, for how long they are played; the last for its cost
LOSSES = (0.01, 0.1, 0.3)
TIMES = 20.0
FLOOD_PER_S = 20_000
FLOOD = """
import socket, sys, time
port, per_s, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
good = bytes.fromhex(sys.argv[4])
sock, began, sent = socket.socket(socket.AF_INET, socket.SOCK_DGRAM), time.monotonic(), 0
while time.monotonic() - began < seconds:
    while sent < (time.monotonic() - began) * per_s:
        sock.sendto(good if sent % 2 else bytes(400), ("127.0.0.1", port))
        sent += 1
    time.sleep(0.001)
print(sent)
"""


def played(members: int, loss: float, cut: bool, seed: int = 1) -> str:
    """One world as a row of the table."""
    seconds = SIZES[members]
    estate = FleetParameters(
        members, 100.0, 100.0, loss=max(loss, 0.1), cut=0.5 * cut, cut_s=seconds / 4 * cut, changes=1
    )
    world = World(seed, estate, Links(loss, estate.delay_s / 2))
    inner = set(world.names[: members // 2])
    since, until = int(seconds / 2 * S), int(seconds * 3 / 4 * S)
    if cut:
        world.links.cut = lambda one, other: since <= world.now < until and (one in inner) != (other in inner)
    world.start()
    calm = 0.2 * estate.per_s / members
    busy = [world.names[0], world.names[1], world.names[-1]]
    for name in world.names:
        world.arrive(name, calm, 0.0, seconds)
    for name in busy:
        world.arrive(name, TIMES * estate.per_s / len(busy), seconds / 4, seconds)
    began = time.process_time()
    world.run(seconds)
    cpu = time.process_time() - began
    taken = [at / S for at in world.taken]
    asked = sorted(taken + [at / S for at in world.refused])
    sent = sum(one.bytes_sent for one in world.members.values()) / members / seconds
    figures = (
        f"{worst_over(taken, estate.per_s):.0f} / {max_excess(estate):.0f}",
        f"{worst_under(taken, asked, estate.per_s):.0f} / {max_shortfall(estate):.0f}",
        f"{estate.horizon_s:.1f} s",
        f"{sent / 1000:.1f} kB/s",
        f"{1000 * cpu / members / seconds:.1f} ms/s",
    )
    label = f"{members} members, loss {loss:.0%}{', halves cut' if cut else ''}"
    return f"| {label} | {' | '.join(figures)} |"


def bound() -> None:
    print("| fleet | over, worst / bound | under, worst / bound | horizon | sent by one | CPU of one |")
    print("| --- " * 6 + "|")
    for members in SIZES:
        for loss in LOSSES:
            print(played(members, loss, cut=False), flush=True)
        print(played(members, 0.1, cut=True), flush=True)


def cost() -> None:
    """Nanoseconds of a decision, and what the sketch of slots takes and mistakes."""
    now, count = time.monotonic_ns(), 200_000
    named = {f"t{number}": Allowance(1e6, 1e6) for number in range(100)}
    own = Admission(named, Allowance(5.0, 5.0), 1024, S, now, 24)
    own.update_view(now, View(24, 24, {}))
    names = [f"t{number % 100}" for number in range(count)]
    strange = [f"x{number % 10_000}" for number in range(count)]
    plain = dict.fromkeys(names, 1)
    for label, asked in (("a tenant with an allowance", names), ("an invented name", strange)):
        began = time.perf_counter_ns()
        for name in asked:
            number = own.id_of(name)
            if number is not None:
                own.admit(now, number)
        each = (time.perf_counter_ns() - began) / count
        print(f"{label}: {each:.0f} ns a decision")
    began = time.perf_counter_ns()
    for name in names:
        plain.get(name)
    print(f"a bare look into a dict: {(time.perf_counter_ns() - began) / count:.0f} ns")
    print(f"10,000 invented names: {len(own.tenants) - len(named)} slots are held, a plain table 10,000")
    for busy in (10, 100, 1000):
        print(f"a name shares its slot with one of {busy}: {1 - (1 - 1 / 1024) ** busy:.3f}")


async def burst(seed: int, tables: str) -> tuple[float, float]:
    """In-time shares of the calm tenant and of the one that bursts."""
    fleet = PeerFleet(seed, Plan(programs=12, servers=6, work_s=0.05, operator="-"), tables)
    await fleet.open()
    names = list(fleet.nodes)
    async with keeping_book(fleet, waits_s=10.0):
        await fleet.ask(names, "calm", 80.0 / 12, 4.0)
        await asyncio.gather(
            fleet.ask(names, "calm", 80.0 / 12, 10.0), fleet.ask(names, "big", 600.0 / 12, 10.0)
        )
        await fleet.settle()
    shares = []
    for tenant in ("calm", "big"):
        sent = [one for one in fleet.ledger.sent.values() if one.id.startswith(f"{tenant}-")]
        good = sum(one.final == "served" and one.final_at - one.at <= AIM_S for one in sent)
        shares.append(good / max(1, len(sent)))
    await fleet.close()
    return shares[0], shares[1]


def programs() -> None:
    table = '[[tenants.allowances]]\nname = "big"\nper_s = 30\nburst = 30\n'
    print("| seed | calm tenant in time, off | on | bursting one, off | on |")
    print("| --- " * 5 + "|")
    for seed in (1, 2, 3):
        off, on = asyncio.run(burst(seed, "")), asyncio.run(burst(seed, table))
        print(f"| {seed} | {off[0]:.3f} | {on[0]:.3f} | {off[1]:.3f} | {on[1]:.3f} |", flush=True)


async def flooded(seed: int, flood: bool) -> float:
    """The 99th percentile of a request's time at one program, seconds."""
    from garnethaven.peers.datagrams import Seal

    tables = '[[tenants.allowances]]\nname = "big"\nper_s = 1000\nburst = 1000\n'
    fleet = PeerFleet(seed, Plan(programs=3, servers=4, work_s=0.005, operator="-"), tables)
    await fleet.open()
    forged = bytearray(Seal(bytes.fromhex(KEY), 7).seal(bytes(200)))
    forged[-1] ^= 1
    async with keeping_book(fleet, waits_s=10.0):
        await asyncio.sleep(3.0)
        words = [str(fleet.ports["n0"]), str(FLOOD_PER_S), "8", forged.hex()]
        running = subprocess.Popen([sys.executable, "-c", FLOOD, *words]) if flood else None
        await fleet.ask(["n0"], "big", 100.0, 8.0)
        await fleet.settle()
        if running is not None:
            running.wait()
    times = [one.final_at - one.at for one in fleet.ledger.sent.values() if one.final == "served"]
    await fleet.close()
    return quantiles(times, n=100)[98]


def flood() -> None:
    for seed in (1, 2, 3):
        plain, under_flood = asyncio.run(flooded(seed, False)), asyncio.run(flooded(seed, True))
        print(
            f"seed {seed}: p99 under {FLOOD_PER_S} forged datagrams a second: {under_flood / plain:.2f} times"
        )


PARTS = {"bound": bound, "cost": cost, "programs": programs, "flood": flood}


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []], default=[])
    for name in parser.parse_args().parts or list(PARTS):
        PARTS[name]()


if __name__ == "__main__":
    main()
