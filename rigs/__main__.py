"""`python -m rigs NAME [FRONT] [--seed N] [--seconds S] [--runs K] [--json]`."""

from __future__ import annotations

import argparse
import asyncio
import importlib
import random
import sys

RIGS = {
    "comeback": "24 programs, 20 killed at once under load: time until service has recovered",
    "connections": "eight programs with failing server connections, with and without the connection planner",
    "demo": "stand-ins, the sidecar and a client, with live counts; needs no configuration",
    "ephemeral": "servers as ephemeral nodes of a registry that loses sessions, hosts, events and its data",
    "external-processor": "proxies that call once per request, through crashes, drains and two restarts",
    "grpc": "one fault script over HTTP/1.1 and gRPC at once, every status code, and streams through a drain",
    "registry": "servers in etcd and in Consul: compactions, removals during link cuts, a lagging member",
    "budgets": "24 programs that share a retry budget: a retry storm through partitions and kills",
    "tenants": "16 programs that share counters over lossy links: a tenant at 20 times its allowance",
    "slow-peers": "long requests and answers between peers that read and write slowly, with small buffers",
    "soak": "randomized runs of one program under mixed faults, ended by signals and an early SIGKILL",
    "limits": "connection limits, list updates and overload with hostile clients and a failing discovery",
}

FRONTS = ("external-processor",)
SEEDED = ("soak", "slow-peers")  # run several seeds


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs", description=__doc__)
    parser.add_argument("name", choices=sorted(RIGS), help="; ".join(f"{n}: {t}" for n, t in RIGS.items()))
    parser.add_argument(
        "front", nargs="?", choices=FRONTS, help="front that the demo shows; default: the sidecar"
    )
    parser.add_argument(
        "--seed", type=int, default=None, help="seed of all randomness; default: a random one"
    )
    parser.add_argument("--seconds", type=float, default=None, help="how long to send, from 1 to 120")
    parser.add_argument(
        "--runs",
        type=int,
        default=1,
        help="number of consecutive seeds that the soak and slow-peers run, starting at --seed",
    )
    parser.add_argument("--json", action="store_true", help="end with one JSON object")
    options = parser.parse_args()
    if options.seconds is not None and not 1.0 <= options.seconds <= 120.0:
        parser.error("--seconds must be from 1 to 120")
    if not 1 <= options.runs <= 1000 or (options.runs > 1 and options.name not in SEEDED):
        parser.error(f"--runs must be from 1 to 1000; only {' and '.join(SEEDED)} accept more than 1")
    if options.front and options.name != "demo":
        parser.error(f"{options.name} takes no front; only the demo does")
    seed = options.seed if options.seed is not None else random.SystemRandom().getrandbits(31)
    name = "-".join(word for word in (options.name, options.front) if word)
    rig = importlib.import_module(f"rigs.{name.replace('-', '_')}")
    print(f"rig {name}, seed {seed}", file=sys.stderr)
    extra = {"runs": options.runs} if options.name in SEEDED else {}
    passed: bool = asyncio.run(rig.play(seed, options.seconds, options.json, **extra))
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
