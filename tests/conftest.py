"""Known faults: the tests that KNOWN-RED.txt lists are expected to fail, and are printed."""

from __future__ import annotations

from pathlib import Path

import pytest

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


def known_red(path: Path) -> dict[str, str]:
    """Cause and issue of each listed test, by its name; one line each: test, cause, issue."""
    lines = path.read_text(encoding="utf-8").splitlines() if path.is_file() else []
    listed = dict(line.split(",", 1) for line in lines if line.strip())
    if len(listed) > MOST:
        raise pytest.UsageError(f"{path.name} lists {len(listed)} tests; {MOST} at most")
    return {name.strip(): why.strip() for name, why in listed.items()}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    marked = set()
    listed = known_red(LIST)
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=True))
            marked.add(item.nodeid)
    files = {item.nodeid.split("::")[0] for item in items}
    missing = [name for name in listed if name not in marked and _is_wanted(config, name, files)]
    if missing:
        raise pytest.UsageError(f"{LIST.name} lists what is no test: {', '.join(missing)}")


def _is_wanted(config: pytest.Config, name: str, files: set[str]) -> bool:
    """Whether a listed test should have been collected: its file was, or all, and none was left out."""
    chosen = config.option.keyword or config.option.markexpr or any("::" in one for one in config.args)
    whole = config.args == config.getini("testpaths") or not config.args
    return not chosen and (whole or name.split("::")[0] in files)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, also where a quiet run has no header."""
    for name, why in known_red(LIST).items():
        terminalreporter.write_line(f"known red: {name}: {why}")
