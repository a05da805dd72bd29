"""`python -m garnethaven certs ...`: a private authority for tests and small installations."""

from __future__ import annotations

import argparse
import datetime
import time
from collections.abc import Sequence

from garnethaven.keys.authority import AUTHORITY_DAYS, Authority
from garnethaven.keys.files import certificates, facts_of
from garnethaven.keys.validity import holds

DAYS = 90


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(prog="petrelspan certs", description=__doc__)
    made.add_argument("--folder", default="certs", help="where the authority's files are (certs)")
    steps = made.add_subparsers(dest="step", required=True)
    for name, said in (("init", "make an authority"), ("rotate", "make another beside the present one")):
        step = steps.add_parser(name, help=said)
        step.add_argument("name", help="what the authority is called")
        step.add_argument("--days", type=days, default=AUTHORITY_DAYS, help=f"its life ({AUTHORITY_DAYS})")
    step = steps.add_parser("issue", help="a certificate and its key")
    step.add_argument("name", help="of the files")
    step.add_argument("names", nargs="+", help="DNS names and addresses that it is for")
    step.add_argument("--days", type=days, default=DAYS, help=f"its life ({DAYS})")
    step = steps.add_parser("revoke", help="a list of certificates that are not good any more")
    step.add_argument("files", nargs="*", help="their files; none: an empty list")
    step.add_argument("--days", type=days, default=DAYS, help=f"how long the list holds ({DAYS})")
    step = steps.add_parser("show", help="what certificates say, and whether they hold")
    step.add_argument("files", nargs="+")
    return made


def days(text: str) -> int:
    if not text.isdigit() or not 1 <= int(text) <= 36_500:
        raise argparse.ArgumentTypeError(f"not from 1 to 36500: {text!r}")
    return int(text)


def main(words: Sequence[str]) -> int:
    """Exit code 0, or 2 where something can't be used; raises KeysError."""
    told = parser().parse_args(words)
    authority = Authority(told.folder)
    if told.step == "show":
        for path in told.files:
            show(path)
    elif told.step == "init":
        authority.init(told.name, told.days)
        print(f"{told.folder}/authorities.pem is what peers have to trust")
    elif told.step == "rotate":
        authority.rotate(told.name, told.days)
        print(f"spread {told.folder}/authorities.pem first, then issue anew")
    elif told.step == "issue":
        print(authority.issue(told.name, told.names, told.days))
    else:
        serials = [facts_of(certificates(path)[0]).serial for path in told.files]
        print(authority.revoke(serials, told.days))
    return 0


def show(path: str) -> None:
    for certificate in certificates(path):
        facts = facts_of(certificate)
        ends = datetime.datetime.fromtimestamp(facts.ends, datetime.UTC)
        names = ", ".join(facts.names) or "no names"
        state = holds(facts, time.time()).value
        print(f"{path}: {facts.subject}, for {names}: {state}, until {ends:%Y-%m-%d %H:%M} UTC")
