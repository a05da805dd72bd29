"""`python -m rigs NAME [FRONT] [--seed N] [--seconds S] [--runs K] [--json]`."""

from __future__ import annotations

import argparse
import asyncio
import importlib
import random
import sys

RIGS = {
    "comeback": "24 programs, 20 killed at once under load: how soon service is full again",
    "connections": "eight programs before servers whose connections fail, with the planner and without",
    "demo": "stand-ins, the sidecar and a client with live counts; nothing to configure",
    "ephemeral": "servers as ephemeral nodes of a registry that loses sessions, hosts, events and everything",
    "external-processor": "proxies that call once a request, through crashes, drains and two restarts",
    "grpc": "one fault script over HTTP/1.1 and gRPC at once, every status, and streams through a drain",
    "registry": "servers in etcd and in Consul: compactions, cuts with ends inside, a lagging member",
    "budgets": "24 programs that hand rights to one another: a storm of repeats through cuts and kills",
    "tenants": "16 programs that share counts over bad links: a tenant at 20 times its allowance",
    "soak": "drawn plays of one program under mixed trouble, ended by signals and the earliest kill",
    "limits": "places for clients, fresh lists and overload under hostile clients and a failing discovery",
}

FRONTS = ("external-processor",)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs", description=__doc__)
    parser.add_argument("name", choices=sorted(RIGS), help="; ".join(f"{n}: {t}" for n, t in RIGS.items()))
    parser.add_argument(
        "front", nargs="?", choices=FRONTS, help="what the demo shows; the sidecar if left out"
    )
    parser.add_argument("--seed", type=int, default=None, help="of everything random; a new one if left out")
    parser.add_argument("--seconds", type=float, default=None, help="how long to send; at most 120")
    parser.add_argument("--runs", type=int, default=1, help="how many seeds the soak plays, from --seed on")
    parser.add_argument("--json", action="store_true", help="end with one JSON object")
    wanted = parser.parse_args()
    if wanted.seconds is not None and not 1.0 <= wanted.seconds <= 120.0:
        parser.error("--seconds is from 1 to 120")
    if not 1 <= wanted.runs <= 1000 or (wanted.runs > 1 and wanted.name != "soak"):
        parser.error("--runs is from 1 to 1000, and for the soak alone")
    if wanted.front and wanted.name != "demo":
        parser.error(f"{wanted.name} plays one front only")
    seed = wanted.seed if wanted.seed is not None else random.SystemRandom().getrandbits(31)
    name = "-".join(word for word in (wanted.name, wanted.front) if word)
    rig = importlib.import_module(f"rigs.{name.replace('-', '_')}")
    print(f"rig {name}, seed {seed}", file=sys.stderr)
    more = {"runs": wanted.runs} if wanted.name == "soak" else {}
    held: bool = asyncio.run(rig.play(seed, wanted.seconds, wanted.json, **more))
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
