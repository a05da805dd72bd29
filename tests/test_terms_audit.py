"""The table of docs/terms-audit.md: its counts match its rows, and each test that it names exists."""

from __future__ import annotations

import ast
import re
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "terms-audit.md"
MARKS = ("holds", "fixed", "open", "not reached")
COLUMNS = 6


def rows() -> list[list[str]]:
    """The cells of each row of the table, without the header."""
    lines = [line for line in PAGE.read_text(encoding="utf-8").splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [row for row in cells if len(row) == COLUMNS and row[0] not in ("page", "---")]


def functions(path: Path) -> set[str]:
    return {node.name for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.FunctionDef)}


def test_the_counts_at_the_top_are_those_of_the_rows() -> None:
    marks = Counter(row[-1] for row in rows())
    assert set(marks) <= set(MARKS)
    (line,) = [line for line in PAGE.read_text().splitlines() if line.startswith("Marks: ")]
    stated = {mark: int(count) for mark, count in re.findall(r"(holds|fixed|open|not reached) (\d+)", line)}
    assert stated == {mark: marks[mark] for mark in MARKS}
    assert f"{len(rows())} rows" in line


def test_every_test_that_a_row_names_exists() -> None:
    for row in rows():
        for path, name in re.findall(r"`(tests/[\w/]+\.py)::(\w+)`", row[4]):
            assert name in functions(ROOT / path), row


def test_what_holds_or_was_fixed_names_its_test_or_says_why_not() -> None:
    untested = [row for row in rows() if row[-1] in ("holds", "fixed") and not row[4]]
    assert all(row[2] for row in untested) and len(untested) <= 3, untested


def test_what_is_open_or_not_reached_has_a_reading() -> None:
    assert all(row[2] or row[3] for row in rows() if row[-1] in ("open", "not reached"))
