"""Benchmarks of shared tenant counts.

    python -m benchmarks.tenants [bound] [cost] [programs] [flood]      default: all four

- bound: members in virtual time with a burst of 20 times the allowance, spread over both halves of the fleet.
  Shows the largest excess and shortfall against `tenants/bound.py`, at three loss rates and with a partition
  into halves, and the bytes and CPU time of one member.
- cost: one admission decision against a bare dict look-up, and the fixed slots for names against a plain
  table of names.
- programs: real sidecars whose servers the burst overloads, with and without [tenants].
- flood: latency of real requests with and without 20,000 forged datagrams a second.
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
from rigs.members import NS_PER_S, Links, World, worst_over, worst_under
from rigs.peers_fleet import KEY, PeerFleet
from rigs.stage import tracking_published_changes
from standins.platform import TARGET_S

# Simulated seconds by fleet size; the largest fleet gets few because of its cost.
DURATION_S_BY_MEMBERS = {16: 40.0, 200: 50.0, 1200: 8.0}
LOSSES = (0.01, 0.1, 0.3)
BURST_FACTOR = 20.0
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


def simulate(members: int, loss: float, cut: bool, seed: int = 1) -> str:
    """Simulate one fleet; return a row of the table."""
    duration_s = DURATION_S_BY_MEMBERS[members]
    estate = FleetParameters(
        members, 100.0, 100.0, loss=max(loss, 0.1), cut=0.5 * cut, cut_s=duration_s / 4 * cut, changes=1
    )
    world = World(seed, estate, Links(loss, estate.delay_s / 2))
    inner = set(world.names[: members // 2])
    since, until = int(duration_s / 2 * NS_PER_S), int(duration_s * 3 / 4 * NS_PER_S)
    if cut:
        world.links.cut = lambda one, other: since <= world.now < until and (one in inner) != (other in inner)
    world.start()
    calm_per_s = 0.2 * estate.per_s / members
    busy_names = [world.names[0], world.names[1], world.names[-1]]
    for name in world.names:
        world.schedule_requests(name, calm_per_s, 0.0, duration_s)
    for name in busy_names:
        world.schedule_requests(
            name, BURST_FACTOR * estate.per_s / len(busy_names), duration_s / 4, duration_s
        )
    cpu_before = time.process_time()
    world.run(duration_s)
    cpu_s = time.process_time() - cpu_before
    accepted_at = [at / NS_PER_S for at in world.accepted_at_ns]
    sent_at = sorted(accepted_at + [at / NS_PER_S for at in world.refused_at_ns])
    bytes_per_s = sum(one.bytes_sent for one in world.members.values()) / members / duration_s
    figures = (
        f"{worst_over(accepted_at, estate.per_s):.0f} / {max_excess(estate):.0f}",
        f"{worst_under(accepted_at, sent_at, estate.per_s):.0f} / {max_shortfall(estate):.0f}",
        f"{estate.horizon_s:.1f} s",
        f"{bytes_per_s / 1000:.1f} kB/s",
        f"{1000 * cpu_s / members / duration_s:.1f} ms/s",
    )
    label = f"{members} members, loss {loss:.0%}{', halves cut' if cut else ''}"
    return f"| {label} | {' | '.join(figures)} |"


def bound() -> None:
    print("| fleet | over, worst / bound | under, worst / bound | horizon | sent by one | CPU of one |")
    print("| --- " * 6 + "|")
    for members in DURATION_S_BY_MEMBERS:
        for loss in LOSSES:
            print(simulate(members, loss, cut=False), flush=True)
        print(simulate(members, 0.1, cut=True), flush=True)


def cost() -> None:
    """Print nanoseconds a decision, and the size and the collision rate of the slots."""
    now, count = time.monotonic_ns(), 200_000
    allowances = {f"t{number}": Allowance(1e6, 1e6) for number in range(100)}
    admission = Admission(allowances, Allowance(5.0, 5.0), 1024, NS_PER_S, now, 24)
    admission.update_view(now, View(24, 24, {}))
    allowed_names = [f"t{number % 100}" for number in range(count)]
    unknown_names = [f"x{number % 10_000}" for number in range(count)]
    plain_table = dict.fromkeys(allowed_names, 1)
    for label, requested_names in (
        ("a tenant with an allowance", allowed_names),
        ("an invented name", unknown_names),
    ):
        began_at = time.perf_counter_ns()
        for name in requested_names:
            number = admission.id_of(name)
            if number is not None:
                admission.admit(now, number)
        ns_per_decision = (time.perf_counter_ns() - began_at) / count
        print(f"{label}: {ns_per_decision:.0f} ns a decision")
    began_at = time.perf_counter_ns()
    for name in allowed_names:
        plain_table.get(name)
    print(f"a bare look-up in a dict: {(time.perf_counter_ns() - began_at) / count:.0f} ns")
    print(
        f"10,000 invented names: {len(admission.tenants) - len(allowances)} slots in use,"
        " a plain table holds 10,000"
    )
    for active_names in (10, 100, 1000):
        print(f"a name shares its slot with one of {active_names}: {1 - (1 - 1 / 1024) ** active_names:.3f}")


async def burst(seed: int, tables: str) -> tuple[float, float]:
    """Return the shares of requests in time of the calm tenant and of the bursting one."""
    fleet = PeerFleet(seed, Plan(programs=12, servers=6, work_s=0.05, operator="-"), tables)
    await fleet.open()
    names = list(fleet.nodes)
    async with tracking_published_changes(fleet, waits_s=10.0):
        await fleet.ask(names, "calm", 80.0 / 12, 4.0)
        await asyncio.gather(
            fleet.ask(names, "calm", 80.0 / 12, 10.0), fleet.ask(names, "big", 600.0 / 12, 10.0)
        )
        await fleet.settle()
    shares = []
    for tenant in ("calm", "big"):
        sent = [one for one in fleet.ledger.sent.values() if one.id.startswith(f"{tenant}-")]
        served_in_time = sum(one.final == "served" and one.final_at - one.at <= TARGET_S for one in sent)
        shares.append(served_in_time / max(1, len(sent)))
    await fleet.close()
    return shares[0], shares[1]


def programs() -> None:
    table = '[[tenants.allowances]]\nname = "big"\nper_s = 30\nburst = 30\n'
    print("| seed | calm tenant in time, off | on | bursting one, off | on |")
    print("| --- " * 5 + "|")
    for seed in (1, 2, 3):
        off, on = asyncio.run(burst(seed, "")), asyncio.run(burst(seed, table))
        print(f"| {seed} | {off[0]:.3f} | {on[0]:.3f} | {off[1]:.3f} | {on[1]:.3f} |", flush=True)


async def run_flood(seed: int, flood: bool) -> float:
    """Return the 99th percentile of the request latency at one sidecar, in seconds."""
    from garnethaven.peers.datagrams import Seal

    tables = '[[tenants.allowances]]\nname = "big"\nper_s = 1000\nburst = 1000\n'
    fleet = PeerFleet(seed, Plan(programs=3, servers=4, work_s=0.005, operator="-"), tables)
    await fleet.open()
    forged_datagram = bytearray(Seal(bytes.fromhex(KEY), 7).seal(bytes(200)))
    forged_datagram[-1] ^= 1
    async with tracking_published_changes(fleet, waits_s=10.0):
        await asyncio.sleep(3.0)
        arguments = [str(fleet.ports["n0"]), str(FLOOD_PER_S), "8", forged_datagram.hex()]
        flood_process = subprocess.Popen([sys.executable, "-c", FLOOD, *arguments]) if flood else None
        await fleet.ask(["n0"], "big", 100.0, 8.0)
        await fleet.settle()
        if flood_process is not None:
            flood_process.wait()
    latencies = [one.final_at - one.at for one in fleet.ledger.sent.values() if one.final == "served"]
    await fleet.close()
    return quantiles(latencies, n=100)[98]


def flood() -> None:
    for seed in (1, 2, 3):
        p99_plain, p99_flooded = asyncio.run(run_flood(seed, False)), asyncio.run(run_flood(seed, True))
        print(
            f"seed {seed}: p99 under {FLOOD_PER_S} forged datagrams a second: "
            f"{p99_flooded / p99_plain:.2f} times"
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
