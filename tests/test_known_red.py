"""KNOWN-RED.txt: only listed tests may fail, the list is printed, and it has at most three entries."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parent / "conftest.py"
TESTS = "def test_good(): pass\ndef test_bad(): assert False\ndef test_worse(): assert False\n"


def run_pytest(folder: Path, *lines: str) -> tuple[int, str]:
    """Run pytest on three tests with the given list; returns its exit code and output."""
    (folder / "tests").mkdir()
    (folder / "pyproject.toml").write_text(
        '[tool.pytest.ini_options]\ntestpaths = ["tests"]\naddopts = "-q"\n'
    )
    (folder / "tests" / "conftest.py").write_text(CONFTEST.read_text())
    (folder / "tests" / "test_three.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text("\n".join(lines))
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return result.returncode, result.stdout + result.stderr


BAD = "tests/test_three.py::test_bad, a cause, issue 1"
WORSE = "tests/test_three.py::test_worse, another, issue 2"


def test_listed_tests_may_fail_and_are_printed(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, BAD, WORSE)
    assert code == 0 and "known red: tests/test_three.py::test_bad: a cause, issue 1" in output


@pytest.mark.parametrize(
    ("lines", "said"),
    [
        ((BAD,), "test_worse"),  # fails but is not listed
        ((BAD, WORSE, "tests/test_three.py::test_good, none, issue 3"), "test_good"),  # is listed but passes
        ((BAD, WORSE, "tests/test_three.py::test_gone, none, issue 3"), "lists tests that do not exist"),
        ((BAD, WORSE, "a, b, c", "d, e, f"), "lists 4 tests; the maximum is 3"),
    ],
)
def test_all_else_fails(lines: tuple[str, ...], said: str, tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, *lines)
    assert code != 0 and said in output
