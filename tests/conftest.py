"""Known failures: tests listed in KNOWN-RED.txt are expected to fail, and the list is printed."""

from __future__ import annotations

from pathlib import Path

import pytest

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LISTED = 3


def read_known_failures(path: Path) -> dict[str, str]:
    """Cause and issue of each listed test, by node id; a line has the form `test, cause, issue`."""
    lines = path.read_text(encoding="utf-8").splitlines() if path.is_file() else []
    listed = dict(line.split(",", 1) for line in lines if line.strip())
    if len(listed) > MAX_LISTED:
        raise pytest.UsageError(f"{path.name} lists {len(listed)} tests; the maximum is {MAX_LISTED}")
    return {name.strip(): reason.strip() for name, reason in listed.items()}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    marked = set()
    listed = read_known_failures(LIST_PATH)
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=True))
            marked.add(item.nodeid)
    files = {item.nodeid.split("::")[0] for item in items}
    missing = [name for name in listed if name not in marked and _is_expected(config, name, files)]
    if missing:
        raise pytest.UsageError(f"{LIST_PATH.name} lists tests that do not exist: {', '.join(missing)}")


def _is_expected(config: pytest.Config, name: str, files: set[str]) -> bool:
    """Whether this run should have collected the listed test.

    It should if its file was collected, or all files were, and no tests were deselected.
    """
    filtered = (
        config.option.keyword or config.option.markexpr or any("::" in argument for argument in config.args)
    )
    collects_all = config.args == config.getini("testpaths") or not config.args
    return not filtered and (collects_all or name.split("::")[0] in files)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, also in quiet runs, which have no header."""
    for name, reason in read_known_failures(LIST_PATH).items():
        terminalreporter.write_line(f"known red: {name}: {reason}")
