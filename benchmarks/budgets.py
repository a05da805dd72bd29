"""Shared budgets: a storm of repeats with them and by today's guesses alone; their cost; one call.

    python -m benchmarks.budgets [storm] [size] [cost]      all where none is named

- storm: 12 real programs, a storm of marked retries at all and at one, the same seeds with [budgets] and
  without, and the size of the fleet told right, as a quarter and as four times of it: repeats at the servers
  (the worst second, and all), and first tries in time.
- size: 24, 200 and 1,200 members in virtual time: seconds until three quarters of the budget are at one
  member, and bytes of a member.
- cost: one `may_spend`.
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
from rigs.stage import keeping_book
from standins.ledger import peak
from standins.platform import AIM_S

S = 1_000_000_000
PROGRAMS = 12
TOLD = (1.0, 0.25, 4.0)  # times the true size
STORM_PER_S = 400.0
SECONDS = 8.0


async def stormed(seed: int, shared: bool, told: float, at_one: bool) -> tuple[int, int, float]:
    """Repeats at servers in the worst second and in all, and the first tries' share in time."""
    stage = Stage(seed, PROGRAMS, servers=6, work_s=0.04, told_size=round(PROGRAMS * told))
    stage.tables = table() if shared else ""
    await stage.open()
    names = list(stage.nodes)
    where = names[:1] if at_one else names
    async with keeping_book(stage, waits_s=10.0):
        await asyncio.sleep(4.0)
        await asyncio.gather(
            stage.ask(names, "first", 90.0 / PROGRAMS, SECONDS),
            stage.ask(where, "storm", STORM_PER_S / len(where), SECONDS, marked=True),
        )
        await stage.settle()
    times = [at for at, _ in stage.repeats()]
    good, tries = stage.ledger.in_time(AIM_S)
    await stage.close()
    return peak(times, 1.0), len(times), good / max(1, tries)


def storm() -> None:
    print(f"budget: {PER_S:g} a second and {SHARE:g} of first tries")
    print(
        "| size told, storm | repeats in the worst second, off | on | in all, off | on | in time, off | on |"
    )
    print("| --- " * 7 + "|")
    for told in TOLD:
        for at_one in (False, True) if told == 1.0 else (False,):
            off = asyncio.run(stormed(1, False, told, at_one))
            on = asyncio.run(stormed(1, True, told, at_one))
            where = "at one" if at_one else "at all"
            cells = f"{off[0]} | {on[0]} | {off[1]} | {on[1]} | {off[2]:.3f} | {on[2]:.3f}"
            print(f"| {told:g} times, {where} | {cells} |", flush=True)


def followed(members: int) -> str:
    """Members in virtual time, one of which wants all; nothing is lost, everything takes 20 ms."""
    names = [f"m{number}" for number in range(members)]
    period = int(scaled_period(members, 0.2) * S)
    horizon = int(horizon_s(members, 3, period / S, 0.1, 0.05) * S)
    lasts, rate = 5 * S, 100.0
    now, rng = 10 * S, Random(3)
    listed = [(name, name) for name in names]
    peers: dict[str, Peer] = {}
    lending: dict[str, BudgetLedger] = {}
    for name in names:
        rules = PeerSettings(period, 3, 600 * S, 2 * members + 8)
        peers[name] = Peer(name, name, 1, listed, rules, horizon, Random(f"{name}"), now)
        lending[name] = BudgetLedger({1: Budget(rate, 0.0, lasts)}, members, True, now)
        lending[name].join(peers[name])
    sent = 0

    def carry(source: str, outs: list[OutgoingMessage]) -> None:
        nonlocal sent
        for out in outs:
            sent += len(out.body)
            carry(out.at, peers[out.at].receive(now + 20_000_000, decode_message(out.body), source))

    began, spent, periods, found = now, [0.0], 0, -1.0
    quiet = max(3, 4 * S // period)
    while periods < quiet + 60 and found < 0.0:
        periods += 1
        now += period
        for name in rng.sample(names, members):
            carry(name, peers[name].tick(now))
        if periods <= quiet:
            began = now
            continue
        want = 3.0 * rate * period / S
        done = 0.0
        while done < want and lending["m0"].may_spend(now, 1, 0, 1.0):
            done += 1.0
        if done < want:
            lending["m0"].may_spend(now, 1, 0, want - done)
        spent.append(done)
        if sum(spent[-3:]) >= 0.75 * rate * 3 * period / S:
            found = (now - began) / S
    got = sum(spent[-5:]) / (5 * period / S) / rate
    each = sent / members / (periods * period / S)
    reached = f"{found:.1f} s" if found >= 0.0 else f"never; {got:.0%} of it"
    return f"| {members} | {period / S:.2f} s | {reached} | {each / 1000:.1f} kB/s |"


def size() -> None:
    print("| members | period | three quarters of the budget at one after | sent by one |")
    print("| --- " * 4 + "|")
    for members in (24, 200, 1200):
        print(followed(members), flush=True)


def cost() -> None:
    own, now, count = BudgetLedger({1: Budget(1e6, 0.0, 2 * S)}, 1, True, 0), 10 * S, 300_000
    for label, rate in (("spent", 1e6), ("refused", 0.0)):
        own.set_budgets(now, {1: Budget(rate, 0.0, 2 * S)})
        now += S
        began = time.perf_counter_ns()
        for _ in range(count):
            own.may_spend(now, 1, 0, 1.0 if rate else 1e9)
        print(f"may_spend, {label}: {(time.perf_counter_ns() - began) / count:.0f} ns")


PARTS = {"storm": storm, "size": size, "cost": cost}


def main() -> None:
    form = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=form)
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []], default=[])
    for name in parser.parse_args().parts or list(PARTS):
        PARTS[name]()


if __name__ == "__main__":
    main()
