"""KNOWN-RED.txt: just the listed tests may fail, they are printed, and no more than three."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parent / "conftest.py"
TESTS = "def test_good(): pass\ndef test_bad(): assert False\ndef test_worse(): assert False\n"


def played(folder: Path, *lines: str) -> tuple[int, str]:
    """The exit code and the words of pytest over three tests, with this list."""
    (folder / "tests").mkdir()
    (folder / "pyproject.toml").write_text(
        '[tool.pytest.ini_options]\ntestpaths = ["tests"]\naddopts = "-q"\n'
    )
    (folder / "tests" / "conftest.py").write_text(CONFTEST.read_text())
    (folder / "tests" / "test_three.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text("\n".join(lines))
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


BAD = "tests/test_three.py::test_bad, a cause, issue 1"
WORSE = "tests/test_three.py::test_worse, another, issue 2"


def test_listed_tests_may_fail_and_are_printed(tmp_path: Path) -> None:
    code, said = played(tmp_path, BAD, WORSE)
    assert code == 0 and "known red: tests/test_three.py::test_bad: a cause, issue 1" in said


@pytest.mark.parametrize(
    ("lines", "said"),
    [
        ((BAD,), "test_worse"),  # fails, and is not listed
        ((BAD, WORSE, "tests/test_three.py::test_good, none, issue 3"), "test_good"),  # passes
        ((BAD, WORSE, "tests/test_three.py::test_gone, none, issue 3"), "lists what is no test"),
        ((BAD, WORSE, "a, b, c", "d, e, f"), "lists 4 tests; 3 at most"),
    ],
)
def test_all_else_fails(lines: tuple[str, ...], said: str, tmp_path: Path) -> None:
    code, told = played(tmp_path, *lines)
    assert code != 0 and said in told
