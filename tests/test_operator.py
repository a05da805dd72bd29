"""Reading and validating the operator's file, and the error messages for invalid files."""

from __future__ import annotations

from pathlib import Path

import pytest

from garnethaven.__main__ import main
from garnethaven.app.operator import OperatorError, operator_path, read_operator
from garnethaven.app.registry import PACKAGES, table_type
from garnethaven.limits.table import Limits
from garnethaven.tables import Secret, SocketAddress, merge_reloaded
from tests.rigs.test_rigs import imported_at_start

ROOT = Path(__file__).parent.parent


def write_operator_file(tmp_path: Path, text: str) -> str:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    return str(path)


def test_without_a_file_everything_is_off_or_at_its_default() -> None:
    assert read_operator(None) == {}
    assert Limits() == Limits(view=None, client_places=0)


def test_a_whole_file_is_read(tmp_path: Path) -> None:
    text = '[limits]\nview = "127.0.0.1:9901"\nclient_places = 100\ncalm_idle_s = 4\nwatch_most_s = 7.5\n'
    limits = read_operator(write_operator_file(tmp_path, text))["limits"]
    assert limits == Limits(SocketAddress(("127.0.0.1", 9901)), 100, 4, 7.5)


def test_the_example_is_good() -> None:
    example = Path(__file__).parent.parent / "deploy" / "examples" / "limits.toml"
    limits = read_operator(str(example))["limits"]
    assert isinstance(limits, Limits) and limits.view is not None


@pytest.mark.parametrize(
    ("text", "line", "field", "word"),
    [
        ("[limits]\nviews = 1\n", 2, "limits.views", "unknown"),
        ("[limit]\n", 1, "limit", "unknown"),
        ("limits = 3\n", 1, "limits", "table"),
        ('[limits]\n\nview = "localhost:1"\n', 3, "limits.view", "address"),
        ("[limits]\nview = 9901\n", 2, "limits.view", "address"),
        ("[limits]\ncalm_idle_s = 0\n", 2, "limits.calm_idle_s", "0.5 to 3600"),
        ("[limits]\ncalm_idle_s = nan\n", 2, "limits.calm_idle_s", "0.5 to 3600"),
        ("[limits]\nwatch_most_s = 61\n", 2, "limits.watch_most_s", "2 to 60"),
        ("[limits]\nclient_places = 1.5\n", 2, "limits.client_places", "whole number"),
        ("[limits]\nclient_places = true\n", 2, "limits.client_places", "whole number"),
    ],
)
def test_an_error_names_the_line_and_the_field(
    text: str, line: int, field: str, word: str, tmp_path: Path
) -> None:
    with pytest.raises(OperatorError) as caught:
        read_operator(write_operator_file(tmp_path, text))
    message = str(caught.value)
    assert f"line {line}: '{field}'" in message
    assert word in message


@pytest.mark.parametrize("text", ["[limits\n", "a = \n", "\x00"])
def test_what_is_no_toml_is_said_to_be_none(text: str, tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match="is not valid TOML"):
        read_operator(write_operator_file(tmp_path, text))


def test_a_file_that_is_not_there_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match="cannot be read"):
        read_operator(str(tmp_path / "none.toml"))


def test_the_command_line_wins_over_the_environment() -> None:
    assert operator_path(["--operator", "a"], {"NODE_OPERATOR": "b"}) == "a"
    assert operator_path([], {"NODE_OPERATOR": "b"}) == "b"
    assert operator_path([], {}) is None
    with pytest.raises(OperatorError, match="arguments"):
        operator_path(["--operator"], {})


def test_check_tells_good_from_bad(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check", write_operator_file(tmp_path, "[limits]\ncalm_idle_s = 3\n")]) == 0
    assert "is good" in capsys.readouterr().out
    assert main(["check", write_operator_file(tmp_path, "[limits]\ncalm = 3\n")]) == 2
    assert "'limits.calm' is unknown" in capsys.readouterr().err


def test_all_problems_are_told_not_the_first_alone(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = (
        '[limits]\ncalm_idle_s = 0\nviews = 1\n[grpc]\nlisten = "x"\nroutes = [{path = "/a"}, {class = 1}]\n'
    )
    assert main(["check", write_operator_file(tmp_path, text)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 6
    for part in ("'limits.calm_idle_s'", "'limits.views'", "'grpc.listen'", "entry 1: 'class' is missing"):
        assert sum(part in line for line in lines) == 1, lines
    assert "entry 2: 'path' is missing" in lines[5] or "entry 2: 'path' is missing" in lines[4]


def test_many_problems_make_a_bounded_line() -> None:
    error = OperatorError(f"problem {number}" for number in range(100))
    assert len(error.problems) == 100
    assert str(error).endswith("problem 7; and 92 more")


@pytest.mark.parametrize("name", list(PACKAGES))
def test_the_operators_page_holds_the_table_as_it_is_declared(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """The page contains the output of `python -m garnethaven tables NAME`."""
    assert main(["tables", name]) == 0
    output = capsys.readouterr().out
    pages = Path(__file__).parent.parent / "docs" / "operators"
    page = (pages / f"{name.replace('_', '-')}.md").read_text()
    assert f"<!-- python -m garnethaven tables {name} -->\n\n{output}\n<!-- end of tables -->" in page


@pytest.mark.parametrize("name", list(PACKAGES))
def test_the_defaults_of_every_table_mean_off(name: str) -> None:
    """A reload treats a removed table as one with all defaults."""
    assert merge_reloaded(table_type(name)(), table_type(name)()) == (table_type(name)(), [])


def test_a_table_that_is_not_there_cannot_be_shown(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["tables", "none"]) == 2
    assert "there is no table 'none'" in capsys.readouterr().err


def test_without_a_file_neither_the_library_nor_a_feature_is_imported() -> None:
    packages = [f"{package}.feature" for package in PACKAGES.values()]
    assert imported_at_start("msgspec", "garnethaven.tables", "garnethaven.feature", *packages) == "[]"


# The failure: with 1,100 servers the process took 0.1 MB more than its 32.
def test_without_a_file_large_modules_are_not_imported() -> None:
    assert imported_at_start("tomllib", "datetime", "ctypes") == "[]"


def test_a_secret_does_not_show_itself() -> None:
    assert "abab" not in repr(Secret.told("ab" * 16))


def test_no_part_below_imports_what_puts_it_together() -> None:
    """Imports go in one direction: app, then fronts and transports, then the engine, then decisions."""
    product = ROOT / "garnethaven"
    ranks = {"app": 3, "extproc": 2, "grpcs": 2, "connections": 2, "membership": 2, "net": 1, "engine": 0}
    for path in sorted(product.glob("*/**/*.py")):
        package = path.relative_to(product).parts[0]
        if package not in ranks:
            continue
        for line in path.read_text().splitlines():
            words = line.split()
            if line.startswith("from garnethaven.") and words[1].split(".")[1] in ranks:
                imported = words[1].split(".")[1]
                assert imported == package or ranks[imported] < ranks[package], f"{path}: {line}"
