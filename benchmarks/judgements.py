"""Benchmark of shared judgements in virtual time: attempts lost with and without shared evidence.

    python -m benchmarks.judgements [--seeds 5] [--members 40]

Each row of the table is one fault that lasts from 10 s to 30 s, with two requests a second at each member.
`lost` is the number of attempts that failed over all seeds, without sharing (off) and with it (on).
"""

from __future__ import annotations

import argparse

from rigs.judged import SERVERS, Fault, Figures, Simulation, condemns_all, praises

FAULT_FROM_S, FAULT_UNTIL_S, DURATION_S = 10.0, 30.0, 34.0


def between(chance: float, servers: range) -> Fault:
    return lambda now, member_index, server: (
        chance if FAULT_FROM_S <= now < FAULT_UNTIL_S and server in servers else 0.0
    )


def by_half(chance: float) -> Fault:
    """Two servers that half of the members cannot reach."""
    return lambda now, member_index, server: (
        chance if FAULT_FROM_S <= now < FAULT_UNTIL_S and server < 2 and member_index % 2 else 0.0
    )


FAULTS: dict[str, Fault] = {
    "none": between(0.0, range(0)),
    "two of 16 silent": between(1.0, range(2)),
    "a quarter dies": between(1.0, range(4)),
    "one fails one in three": between(1 / 3, range(1)),
    "one refuses all": between(1.0, range(1)),
    "two, for half of the members": by_half(1.0),
    "all, three in ten (overload)": between(0.3, range(SERVERS)),
}


def simulate(fault: Fault, members: int, seed: int, on: bool, lie: str = "", share: float = 1.0) -> Figures:
    heard_members = int(share * members)
    simulation = Simulation(
        seed, members, fault, on, hears=lambda one, other, now: (other - one) % members <= heard_members
    )
    for number in range(3 if lie else 0):
        simulation.members[number].falsify = praises(0) if lie == "praise" else condemns_all
    return simulation.run(DURATION_S, FAULT_FROM_S)


def table_row(name: str, fault: Fault, members: int, seeds: int, lie: str = "", share: float = 1.0) -> str:
    off = [simulate(fault, members, seed, False) for seed in range(seeds)]
    on = [simulate(fault, members, seed, True, lie, share) for seed in range(seeds)]
    lost = [sum(result.bad for result in results) for results in (off, on)]
    sent = sum(result.sent for result in off)
    learned = max(result.learned_at for result in on)
    swing = max(max(result.loads.values()) / (result.sent / SERVERS) for result in on)
    cells = f"{lost[0]} | {lost[1]} | {lost[0] / max(1, lost[1]):.1f} | {1 - lost[0] / sent:.4f}"
    cells += f" | {1 - lost[1] / max(1, sum(result.sent for result in on)):.4f} | {learned:.1f} s"
    return f"| {name} | {cells} | {max(result.shunned_s for result in on):.1f} s | {swing:.2f} |"


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--members", type=int, default=40)
    options = parser.parse_args()
    members, seeds = options.members, options.seeds
    print("| fault | lost, off | on | times | good, off | on | learned after | sound shunned | load |")
    print("| --- " * 9 + "|")
    for name, fault in FAULTS.items():
        print(table_row(name, fault, members, seeds), flush=True)
    two_silent = FAULTS["two of 16 silent"]
    for share in (0.5, 0.1):
        print(
            table_row(f"two silent, {share:g} of the fleet heard", two_silent, members, seeds, share=share),
            flush=True,
        )
    print(table_row("none, three condemn all", FAULTS["none"], members, seeds, "condemn"), flush=True)
    print(table_row("two silent, three praise one", two_silent, members, seeds, "praise"), flush=True)


if __name__ == "__main__":
    main()
