"""The settings object of the platform: defaults, missing entries, and values that can't be read."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from garnethaven.__main__ import main
from garnethaven.settings import SettingsError, read_settings
from tests.loopback import settings_document as sidecar_settings
from tests.loopback import write_config_file


def settings_object(**rules: Any) -> dict[str, Any]:
    return {
        "grades": [],
        "slotNo": 0,
        "fleetSize": 40,
        "zone": 0,
        "membershipMode": "ask",
        "limits": {"maxAttempts": 3},
        "rules": {"drainGraceNs": 500, "coldShare": 0.12, "rampTimeNs": 24} | rules,
    }


def test_what_a_fleet_needs_has_defaults() -> None:
    settings = read_settings(settings_object())
    assert (settings.max_cold_load_multiple, settings.discovery_call_span) == (3.0, 0)
    assert read_settings(settings_object(fallMultiple=2.5)).max_cold_load_multiple == 2.5


@pytest.mark.parametrize("value", ["three", None, [3], float("nan"), float("inf"), {}])
@pytest.mark.parametrize("name", ["fallMultiple", "askWithinNs", "coldShare"])
def test_a_figure_that_cannot_be_read_is_named(name: str, value: Any) -> None:
    with pytest.raises(SettingsError, match=f"'{name}' cannot be read"):
        read_settings(settings_object(**{name: value}))


def test_a_missing_one_without_a_default_is_named() -> None:
    document = settings_object()
    del document["rules"]["coldShare"]
    with pytest.raises(SettingsError, match="'coldShare' is missing"):
        read_settings(document)


REQUEST_CLASS = {"aimNs": 10, "deadlineNs": 20, "effect": "dedup", "keyScope": "cell", "importance": 1.0}


@pytest.mark.parametrize(
    ("place", "name", "value"),
    [
        ("grade", "effect", "sometimes"),
        ("grade", "effect", None),
        ("grade", "keyScope", "planet"),
        ("grade", "deadlineNs", -1),
        ("grade", "aimNs", True),
        ("grade", "dedupWindowNs", -5),
        ("rules", "coldShare", 1.5),
        ("rules", "coldShare", -0.1),
        ("rules", "rampTimeNs", -1),
        ("limits", "maxAttempts", 0),
        ("limits", "dialTimeoutNs", -1),
        ("limits", "connIdleNs", "soon"),
        ("facts", "fleetSize", 0),
    ],
)
def test_what_contradicts_itself_is_named(place: str, name: str, value: Any) -> None:
    document = settings_object()
    document["grades"] = [dict(REQUEST_CLASS)]
    table = {
        "grade": document["grades"][0],
        "rules": document["rules"],
        "limits": document["limits"],
        "facts": document,
    }
    table[place][name] = value
    with pytest.raises(SettingsError, match=f"'{name}'"):
        read_settings(document)


def test_a_class_without_a_window_is_honoured() -> None:
    document = settings_object()
    document["grades"] = [dict(REQUEST_CLASS)]
    assert (
        read_settings(document).request_classes[0].dedup_window == 0
    )  # no retry of an attempt that may have been executed


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"limits": {"memory_mb": 4, "sockets": 256}}, "limits.memory_mb"),
        ({"limits": {"memory_mb": 64, "sockets": 40}}, "limits.sockets"),
        ({"limits": {"memory_mb": float("inf"), "sockets": 256}}, "limits.memory_mb"),
        ({"limits": {"memory_mb": 64, "sockets": float("nan")}}, "limits.sockets"),
        ({"settings": sidecar_settings() | {"grades": []}}, "'grades'"),
        ({"settings": []}, "'settings'"),
        ({"settings": sidecar_settings() | {"rules": None}}, "settings"),
        ({"known": None}, "'known'"),
        ({"seed": "xyz"}, "'seed'"),
    ],
)
def test_a_start_that_can_not_be_ends_with_code_2_and_the_name(
    changes: dict[str, Any],
    said: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = write_config_file(tmp_path / "c.json", **changes)
    monkeypatch.setenv("NODE_CONFIG", str(path))
    assert main([]) == 2
    error_output = capsys.readouterr().err
    assert said in error_output and "Traceback" not in error_output
