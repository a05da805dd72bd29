"""`python -m garnethaven certs ...`: a private certificate authority for tests and small installations."""

from __future__ import annotations

import argparse
import datetime
import time
from collections.abc import Sequence

from garnethaven.keys.authority import DEFAULT_AUTHORITY_DAYS, Authority
from garnethaven.keys.files import certificate_facts, load_certificates
from garnethaven.keys.validity import certificate_state

DEFAULT_CERTIFICATE_DAYS = 90


def parser() -> argparse.ArgumentParser:
    root = argparse.ArgumentParser(prog="petrelspan certs", description=__doc__)
    root.add_argument("--folder", default="certs", help="folder of the authority's files (certs)")
    commands = root.add_subparsers(dest="step", required=True)
    for name, description in (
        ("init", "create an authority"),
        ("rotate", "create a new authority beside the present one"),
    ):
        command = commands.add_parser(name, help=description)
        command.add_argument("name", help="common name of the authority")
        command.add_argument(
            "--days",
            type=parse_days,
            default=DEFAULT_AUTHORITY_DAYS,
            help=f"days of validity ({DEFAULT_AUTHORITY_DAYS})",
        )
    command = commands.add_parser("issue", help="issue a certificate and its key")
    command.add_argument("name", help="base name of the files")
    command.add_argument("names", nargs="+", help="DNS names and IP addresses of the certificate")
    command.add_argument(
        "--days",
        type=parse_days,
        default=DEFAULT_CERTIFICATE_DAYS,
        help=f"days of validity ({DEFAULT_CERTIFICATE_DAYS})",
    )
    command = commands.add_parser("revoke", help="write a list of revoked certificates")
    command.add_argument("files", nargs="*", help="files of the certificates; without any the list is empty")
    command.add_argument(
        "--days",
        type=parse_days,
        default=DEFAULT_CERTIFICATE_DAYS,
        help=f"days of validity of the list ({DEFAULT_CERTIFICATE_DAYS})",
    )
    command = commands.add_parser("show", help="print certificates and whether they are valid")
    command.add_argument("files", nargs="+")
    return root


def parse_days(text: str) -> int:
    if not text.isdigit() or not 1 <= int(text) <= 36_500:
        raise argparse.ArgumentTypeError(f"the number of days is not from 1 to 36500: {text!r}")
    return int(text)


def main(argv: Sequence[str]) -> int:
    """Run the command and return exit code 0; raises KeysError, and SystemExit(2) for wrong arguments."""
    arguments = parser().parse_args(argv)
    authority = Authority(arguments.folder)
    if arguments.step == "show":
        for path in arguments.files:
            print_certificates(path)
    elif arguments.step == "init":
        authority.init(arguments.name, arguments.days)
        print(f"{arguments.folder}/authorities.pem is the list of authorities that peers have to trust")
    elif arguments.step == "rotate":
        authority.rotate(arguments.name, arguments.days)
        print(f"distribute {arguments.folder}/authorities.pem first, then reissue the certificates")
    elif arguments.step == "issue":
        print(authority.issue(arguments.name, arguments.names, arguments.days))
    else:
        serials = [certificate_facts(load_certificates(path)[0]).serial for path in arguments.files]
        print(authority.revoke(serials, arguments.days))
    return 0


def print_certificates(path: str) -> None:
    for certificate in load_certificates(path):
        facts = certificate_facts(certificate)
        expires_at = datetime.datetime.fromtimestamp(facts.not_after, datetime.UTC)
        names = ", ".join(facts.names) or "no names"
        state = certificate_state(facts, time.time()).value
        print(f"{path}: {facts.subject}, for {names}: {state}, until {expires_at:%Y-%m-%d %H:%M} UTC")
