"""Benchmarks of shared retry budgets.

    python -m benchmarks.budgets [storm] [size] [cost]      default: all three

- storm: 12 real sidecars and a storm of marked retries at all of them or at one, with the same seeds with and
  without [budgets]. The configured fleet size is right, a quarter of the true size, or four times it. Shows
  the retries at the servers (in the worst second and in total) and the share of first tries in time.
- size: 24, 200 and 1,200 members in virtual time: seconds until three quarters of the budget have moved to
  one member, and the bytes that a member sends.
- cost: the time of one `may_spend` call.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from random import Random

from garnethaven.budgets.lending import Budget, BudgetLedger
from garnethaven.gossip.spread import horizon_s, scaled_period
from garnethaven.peers.conversation import OutgoingMessage, Peer, decode_message
from garnethaven.peers.membership import PeerSettings
from rigs.budgets import PER_S, SHARE, Stage, table
from rigs.stage import tracking_published_changes
from standins.ledger import max_in_window
from standins.platform import TARGET_S

S = 1_000_000_000
PROGRAMS = 12
SIZE_FACTORS = (1.0, 0.25, 4.0)  # configured fleet size, relative to the true one
STORM_PER_S = 400.0
DURATION_S = 8.0


async def run_storm(seed: int, sharing: bool, size_factor: float, at_one: bool) -> tuple[int, int, float]:
    """Return the retries at servers in the worst second and in total, and first tries in time (share)."""
    stage = Stage(seed, PROGRAMS, servers=6, work_s=0.04, told_size=round(PROGRAMS * size_factor))
    stage.tables = table() if sharing else ""
    await stage.open()
    names = list(stage.nodes)
    members = names[:1] if at_one else names
    async with tracking_published_changes(stage, waits_s=10.0):
        await asyncio.sleep(4.0)
        await asyncio.gather(
            stage.ask(names, "first", 90.0 / PROGRAMS, DURATION_S),
            stage.ask(members, "storm", STORM_PER_S / len(members), DURATION_S, marks_all_as_retries=True),
        )
        await stage.settle()
    times = [at for at, _ in stage.repeats()]
    in_time, first_tries = stage.ledger.in_time(TARGET_S)
    await stage.close()
    return max_in_window(times, 1.0), len(times), in_time / max(1, first_tries)


def storm() -> None:
    print(f"budget: {PER_S:g} a second and {SHARE:g} of first tries")
    print(
        "| size told, storm | repeats in the worst second, off | on | in all, off | on | in time, off | on |"
    )
    print("| --- " * 7 + "|")
    for size_factor in SIZE_FACTORS:
        for at_one in (False, True) if size_factor == 1.0 else (False,):
            off = asyncio.run(run_storm(1, False, size_factor, at_one))
            on = asyncio.run(run_storm(1, True, size_factor, at_one))
            place = "at one" if at_one else "at all"
            cells = f"{off[0]} | {on[0]} | {off[1]} | {on[1]} | {off[2]:.3f} | {on[2]:.3f}"
            print(f"| {size_factor:g} times, {place} | {cells} |", flush=True)


def simulate_transfer(members: int) -> str:
    """Simulate members of which one needs the whole budget; return a row of the table.

    No datagram is lost, and each takes 20 ms.
    """
    names = [f"m{number}" for number in range(members)]
    period = int(scaled_period(members, 0.2) * S)
    horizon = int(horizon_s(members, 3, period / S, 0.1, 0.05) * S)
    rights_lifetime, per_s = 5 * S, 100.0
    now, rng = 10 * S, Random(3)
    listed = [(name, name) for name in names]
    peers: dict[str, Peer] = {}
    lending: dict[str, BudgetLedger] = {}
    for name in names:
        rules = PeerSettings(period, 3, 600 * S, 2 * members + 8)
        peers[name] = Peer(name, name, 1, listed, rules, horizon, Random(f"{name}"), now)
        lending[name] = BudgetLedger({1: Budget(per_s, 0.0, rights_lifetime)}, members, True, now)
        lending[name].join(peers[name])
    bytes_sent = 0

    def carry(source: str, datagrams: list[OutgoingMessage]) -> None:
        nonlocal bytes_sent
        for datagram in datagrams:
            bytes_sent += len(datagram.body)
            carry(
                datagram.at,
                peers[datagram.at].receive(now + 20_000_000, decode_message(datagram.body), source),
            )

    began_at, spent, periods, found_s = now, [0.0], 0, -1.0
    quiet_periods = max(3, 4 * S // period)
    while periods < quiet_periods + 60 and found_s < 0.0:
        periods += 1
        now += period
        for name in rng.sample(names, members):
            carry(name, peers[name].tick(now))
        if periods <= quiet_periods:
            began_at = now
            continue
        wanted = 3.0 * per_s * period / S
        granted = 0.0
        while granted < wanted and lending["m0"].may_spend(now, 1, 0, 1.0):
            granted += 1.0
        if granted < wanted:
            lending["m0"].may_spend(now, 1, 0, wanted - granted)
        spent.append(granted)
        if sum(spent[-3:]) >= 0.75 * per_s * 3 * period / S:
            found_s = (now - began_at) / S
    share_received = sum(spent[-5:]) / (5 * period / S) / per_s
    bytes_per_s = bytes_sent / members / (periods * period / S)
    reached = f"{found_s:.1f} s" if found_s >= 0.0 else f"never; {share_received:.0%} of it"
    return f"| {members} | {period / S:.2f} s | {reached} | {bytes_per_s / 1000:.1f} kB/s |"


def size() -> None:
    print("| members | period | three quarters of the budget at one after | sent by one |")
    print("| --- " * 4 + "|")
    for members in (24, 200, 1200):
        print(simulate_transfer(members), flush=True)


def cost() -> None:
    lending, now, count = BudgetLedger({1: Budget(1e6, 0.0, 2 * S)}, 1, True, 0), 10 * S, 300_000
    for label, rate in (("spent", 1e6), ("refused", 0.0)):
        lending.set_budgets(now, {1: Budget(rate, 0.0, 2 * S)})
        now += S
        began_at = time.perf_counter_ns()
        for _ in range(count):
            lending.may_spend(now, 1, 0, 1.0 if rate else 1e9)
        print(f"may_spend, {label}: {(time.perf_counter_ns() - began_at) / count:.0f} ns")


PARTS = {"storm": storm, "size": size, "cost": cost}


def main() -> None:
    form = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=form)
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []], default=[])
    for name in parser.parse_args().parts or list(PARTS):
        PARTS[name]()


if __name__ == "__main__":
    main()
