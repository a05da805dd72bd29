"""The operator's file: what a deployment switches on beside what the platform tells. TOML, checked strictly.

Everything is off or at its default where the file, a table or a field is left out. Each problem names the
file, the line where it can be told, and the field; all of them are told, not the first alone.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from garnethaven.app.registry import PACKAGES, table_of

if TYPE_CHECKING:
    from garnethaven.tables import Flaw, Table

VARIABLE = "NODE_OPERATOR"
OPTION = "--operator"
SHOWN_MOST = 8  # problems in one line of the log

Operator = Mapping[str, "Table"]  # the tables that the file holds, by name


class OperatorError(Exception):
    """The operator's file can't be read or holds what it must not; `problems` are all that was found."""

    def __init__(self, problems: Iterable[str]) -> None:
        self.problems = list(problems)
        more = len(self.problems) - SHOWN_MOST
        shown = self.problems[:SHOWN_MOST] + ([f"and {more} more"] if more > 0 else [])
        super().__init__("; ".join(shown))


def named_file(arguments: list[str], environment: Mapping[str, str]) -> str | None:
    """The path that the command line or the environment names; raises OperatorError for other arguments."""
    if not arguments:
        return environment.get(VARIABLE) or None
    if arguments[0] != OPTION or len(arguments) != 2:
        raise OperatorError([f"the arguments are '{OPTION} FILE' or none, not {' '.join(arguments)!r}"])
    return arguments[1]


def read_operator(path: str | None) -> Operator:
    """Read and check the file; without one all is at its default."""
    if path is None:
        return {}
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
        told = tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as problem:
        raise OperatorError([f"{path} cannot be read: {problem}"]) from None
    except (tomllib.TOMLDecodeError, RecursionError) as problem:
        raise OperatorError([f"{path} is no TOML: {problem}"]) from None
    try:
        return _read_tables(path, text, told)
    except ModuleNotFoundError as missing:
        said = f"{path} needs the package {missing.name!r}: see the requirements files"
        raise OperatorError([said]) from None


def _read_tables(path: str, text: str, told: dict[str, object]) -> Operator:
    from garnethaven.tables import Flaw, read

    flaws: list[Flaw] = []
    tables: dict[str, Table] = {}
    for name, content in told.items():
        if name not in PACKAGES:
            flaws.append(Flaw(name, f"is unknown; known are {', '.join(sorted(PACKAGES))}"))
            continue
        table, wrong = read(table_of(name), content, name)
        flaws += wrong
        if table is not None:
            tables[name] = table
    if flaws:
        lines = text.splitlines()
        raise OperatorError(_located(path, lines, flaw) for flaw in flaws)
    return {name: tables[name] for name in PACKAGES if name in tables}


def _located(path: str, lines: list[str], flaw: Flaw) -> str:
    """A problem with the first line that begins with its field, if there is one."""
    last = flaw.field.rpartition(".")[2]
    for number, line in enumerate(lines, start=1):
        words = line.strip().lstrip("[").replace("]", " ").replace("=", " ").split()
        if words and words[0] in (last, flaw.field):
            return f"{path}, line {number}: '{flaw.field}' {flaw.problem}"
    return f"{path}: '{flaw.field}' {flaw.problem}"
