"""`python -m garnethaven peers bound`: the bounds on a tenant's shared counts, for a deployment."""

from __future__ import annotations

import argparse
import sys

from garnethaven.tenants.bound import FleetParameters, max_excess, max_shortfall


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m garnethaven peers", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    bound = commands.add_parser(
        "bound", help="how far a tenant can get above its allowance, and how far below"
    )
    bound.add_argument("--members", type=int, required=True)
    bound.add_argument("--per-s", type=float, required=True, help="the allowance, requests a second")
    bound.add_argument("--burst", type=float, default=1.0, help="requests")
    bound.add_argument("--period", type=float, default=0.2, help="as period_s of [peers], seconds")
    bound.add_argument("--asks", type=int, default=3, help="as asks of [peers]")
    bound.add_argument("--loss", type=float, default=0.1, help="as loss_most of [peers], a share")
    bound.add_argument("--delay", type=float, default=0.05, help="as delay_most_s of [peers], seconds")
    bound.add_argument("--cut", type=float, default=0.0, help="the share of the members in a partition")
    bound.add_argument("--cut-s", type=float, default=0.0, help="duration of the partition, seconds")
    bound.add_argument("--beginners", type=int, default=0, help="members that start and are not counted yet")
    options = parser.parse_args(arguments)
    problem = problem_of(options)
    if problem:
        print(f"garnethaven: {problem}", file=sys.stderr)
        return 2
    print("\n".join(report_lines(estate_of(options))))
    return 0


def problem_of(options: argparse.Namespace) -> str:
    """The first problem with the options, or "" if they are valid."""
    if not 1 <= options.members <= 4096:
        return f"--members is not from 1 to 4096: {options.members}"
    if not 0.0 <= options.loss < 1.0 or not 0.0 <= options.cut <= 1.0:
        return "--loss and --cut are shares: from 0 to 1"
    positive = {
        "--per-s": options.per_s,
        "--burst": options.burst,
        "--period": options.period,
        "--asks": options.asks,
    }
    for name, value in positive.items():
        if not 0.0 < value < float("inf"):
            return f"{name} is not positive: {value:g}"
    if min(options.delay, options.cut_s, options.beginners) < 0:
        return "--delay, --cut-s and --beginners are not below 0"
    return ""


def estate_of(options: argparse.Namespace) -> FleetParameters:
    return FleetParameters(
        members=options.members,
        per_s=options.per_s,
        burst=options.burst,
        asks=options.asks,
        base_period_s=options.period,
        loss=options.loss,
        delay_s=options.delay,
        cut=options.cut,
        cut_s=options.cut_s,
        beginners=options.beginners,
    )


def report_lines(estate: FleetParameters) -> list[str]:
    """The bounds as lines of text."""
    even_share = estate.per_s / estate.members
    lines = [
        f"period                {estate.period_s:8.2f} s",
        f"horizon               {estate.horizon_s:8.2f} s   a member with an older row counts as silent",
        f"settle                {estate.settle_s:8.2f} s   wait before a member raises its share",
        f"over the allowance    {max_excess(estate):8.1f} requests at the most, in any span",
        f"held below it         {max_shortfall(estate):8.1f} requests at the most, over one change of demand"
        + (" and the partition" if estate.cut_s else ""),
        f"one member's part     {even_share:8.2f} requests a second, if it receives from no other member",
    ]
    if not estate.updates_reach_all:
        lines.append("At this loss an update does not reach all: members count one another as silent.")
    return lines
