"""Benchmark of the return of a fleet after a mass kill, for this build and another checkout.

    python -m benchmarks.comeback --against CHECKOUT [--seeds 5] [--plot FILE.svg]

Each run kills 20 of 24 sidecars at once and restarts them a second later (the first act of the rig
`comeback`). The other checkout runs with lost state, this build with kept, lost and old state; the runs are
interleaved. The table shows the median and the worst value over the seeds. The plot shows the share of first
tries answered in time, in windows of half a second from the kill on.
"""

from __future__ import annotations

import argparse
import asyncio
from dataclasses import replace
from pathlib import Path
from statistics import median
from typing import Any

from rigs.comeback import CALM_S, CAPACITY, KILL_AND_RESTART, LOSE_STATE, STATE, run_scene
from rigs.fleet import Fleet, Plan
from rigs.stage import now, tracking_published_changes
from standins.platform import TARGET_S

DURATION_S = 11.0
STEP_S = 0.1
CURVE_S = 6.0
STATE_COPY_AFTER_S = 1.0  # from the start; the state saved at this time is restored as "old"
STATE_VARIANTS = {"kept": "", "lost": LOSE_STATE, "old": "old-state all at 0.1\n"}
COLOURS = ("#b22", "#26c", "#282", "#a6a")


async def play(seed: int, plan: Plan, state_variant: str) -> tuple[dict[str, Any], list[float]]:
    """Run one return; return its figures and the share in time, sampled every `STEP_S`."""
    fleet = Fleet(seed, plan)
    await fleet.open()
    async with tracking_published_changes(fleet, waits_s=10.0):
        sending = asyncio.create_task(fleet.send(DURATION_S))
        await asyncio.sleep(STATE_COPY_AFTER_S)
        if state_variant == "old":
            fleet.back_up_state()
        await asyncio.sleep(CALM_S - STATE_COPY_AFTER_S)
        result = await run_scene(
            fleet, state_variant, fleet.draw(STATE_VARIANTS[state_variant] + KILL_AND_RESTART)
        )
        await sending
        result.until = now() - TARGET_S
        await fleet.settle()
    figures = result.figures(fleet) | fleet.ledger.tally()
    figures["in_time_share"] = in_time(fleet, result.killed_at, result.until)
    steps = int(CURVE_S / STEP_S)
    starts = [result.killed_at + step * STEP_S for step in range(steps)]
    curve = [in_time(fleet, start, start + 5 * STEP_S) for start in starts]
    await fleet.close()
    return figures, curve


def in_time(fleet: Fleet, since: float, until: float) -> float:
    served, first_tries = fleet.ledger.in_time(TARGET_S, since, until)
    return served / max(1, first_tries)


def to_svg(curves: dict[str, list[float]]) -> str:
    """Return the curves as SVG; x: seconds from the kill, y: share in time."""
    width, height, left = 640, 240, 40
    lines = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width + 160}" height="{height + 40}">']
    for grid_share in (0.0, 0.5, 1.0):
        y = height - grid_share * (height - 20)
        lines.append(
            f'<path d="M{left} {y:.0f}H{width}" stroke="#ccc"/><text x="4" y="{y:.0f}">{grid_share}</text>'
        )
    for second in range(int(CURVE_S) + 1):
        x = left + second / CURVE_S * (width - left)
        lines.append(f'<text x="{x:.0f}" y="{height + 20}">{second} s</text>')
    for number, (name, curve) in enumerate(curves.items()):
        colour = COLOURS[number % len(COLOURS)]
        points = " ".join(
            f"{left + step * STEP_S / CURVE_S * (width - left):.1f},{height - share * (height - 20):.1f}"
            for step, share in enumerate(curve)
        )
        lines.append(f'<polyline points="{points}" fill="none" stroke="{colour}"/>')
        lines.append(f'<text x="{width + 8}" y="{30 + 20 * number}" fill="{colour}">{name}</text>')
    return "\n".join([*lines, "</svg>"])


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", type=Path, required=True, help="another checkout of this project")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    plan = Plan(capacity=CAPACITY)
    builds = {"before": (replace(plan, root=options.against.resolve()), "lost")}
    builds |= {
        state_variant: (replace(plan, operator=STATE), state_variant) for state_variant in STATE_VARIANTS
    }
    figures_by_build: dict[str, list[dict[str, Any]]] = {name: [] for name in builds}
    curves: dict[str, list[list[float]]] = {name: [] for name in builds}
    for seed in range(1, options.seeds + 1):
        for name, (variant_plan, state_variant) in builds.items():
            figures, curve = asyncio.run(play(seed, variant_plan, state_variant))
            figures_by_build[name].append(figures)
            curves[name].append(curve)
    names = ("full_service_s", "first_second_share", "in_time_share", "dials_server_peak_100ms", "refused")
    print("| way | " + " | ".join(f"{name}, worst" for name in names) + " |")
    print("| --- " * (1 + len(names)) + "|")
    for name, runs_of_build in figures_by_build.items():
        cells = []
        for field in names:
            values = [play[field] for play in runs_of_build]
            worst = min(values) if "share" in field else max(values)
            cells.append(f"{median(values):.3g}, {worst:.3g}")
        print(f"| {name} | " + " | ".join(cells) + " |")
    if options.plot is not None:
        mean = {name: [sum(at) / len(at) for at in zip(*runs, strict=True)] for name, runs in curves.items()}
        options.plot.write_text(to_svg(mean))


if __name__ == "__main__":
    main()
