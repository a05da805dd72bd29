"""The operator's file: optional features on top of the platform's configuration. TOML, strictly validated.

A missing file, table or field means off or the default. Each error names the file, the field and, if it can
be found, the line; all errors are reported, not only the first.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from garnethaven.app.registry import PACKAGES, table_type

if TYPE_CHECKING:
    from garnethaven.tables import FieldProblem, Table

ENVIRONMENT_VARIABLE = "NODE_OPERATOR"
FILE_OPTION = "--operator"
MAX_PROBLEMS_SHOWN = 8  # in one log line

Operator = Mapping[str, "Table"]  # the tables in the file, by name


class OperatorError(Exception):
    """The operator's file is unreadable or invalid; `problems` lists every error found."""

    def __init__(self, problems: Iterable[str]) -> None:
        self.problems = list(problems)
        more = len(self.problems) - MAX_PROBLEMS_SHOWN
        shown = self.problems[:MAX_PROBLEMS_SHOWN] + ([f"and {more} more"] if more > 0 else [])
        super().__init__("; ".join(shown))


def operator_path(arguments: list[str], environment: Mapping[str, str]) -> str | None:
    """The path from the command line, else from the environment; raises OperatorError for other arguments."""
    if not arguments:
        return environment.get(ENVIRONMENT_VARIABLE) or None
    if arguments[0] != FILE_OPTION or len(arguments) != 2:
        raise OperatorError([f"the arguments are '{FILE_OPTION} FILE' or none, not {' '.join(arguments)!r}"])
    return arguments[1]


def read_operator(path: str | None) -> Operator:
    """Read and validate the file; returns no tables if `path` is None."""
    if path is None:
        return {}
    import tomllib  # not at the top: a process without the file is spared its memory

    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
        document = tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as problem:
        raise OperatorError([f"{path} cannot be read: {problem}"]) from None
    except (tomllib.TOMLDecodeError, RecursionError) as problem:
        raise OperatorError([f"{path} is not valid TOML: {problem}"]) from None
    try:
        return _read_tables(path, text, document)
    except ModuleNotFoundError as missing:
        message = f"{path} needs the package {missing.name!r}: see the requirements files"
        raise OperatorError([message]) from None


def _read_tables(path: str, text: str, document: dict[str, object]) -> Operator:
    from garnethaven.tables import FieldProblem, read

    problems: list[FieldProblem] = []
    tables: dict[str, Table] = {}
    for name, content in document.items():
        if name not in PACKAGES:
            problems.append(FieldProblem(name, f"is unknown; known are {', '.join(sorted(PACKAGES))}"))
            continue
        table, table_problems = read(table_type(name), content, name)
        problems += table_problems
        if table is not None:
            tables[name] = table
    if problems:
        lines = text.splitlines()
        raise OperatorError(_message(path, lines, problem) for problem in problems)
    return {name: tables[name] for name in PACKAGES if name in tables}


def _message(path: str, lines: list[str], problem: FieldProblem) -> str:
    """The error message, with the number of the first line that starts with the field, if any."""
    last_part = problem.field.rpartition(".")[2]
    for number, line in enumerate(lines, start=1):
        words = line.strip().lstrip("[").replace("]", " ").replace("=", " ").split()
        if words and words[0] in (last_part, problem.field):
            return f"{path}, line {number}: '{problem.field}' {problem.problem}"
    return f"{path}: '{problem.field}' {problem.problem}"
