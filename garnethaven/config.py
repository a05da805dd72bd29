"""The deployment's configuration of a sidecar, read and validated at the start and at each reload."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from garnethaven.addresses import Address, parse_address
from garnethaven.interface import Settings
from garnethaven.limits.budgets import MIN_CONNECTIONS_PER_SIDE, RESERVED_DESCRIPTORS
from garnethaven.settings import Names, SettingsError, read_names, read_settings

MIN_MEMORY_MB = 20  # an idle process uses 14 MB


class ConfigError(Exception):
    """The configuration is missing, unreadable or invalid."""


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_mb: int
    sockets: int
    known: dict[str, Any]  # the last known endpoint list, in discovery's format
    settings: Settings
    names: Names
    ops: Address | None = None  # listening address for operators; None: not opened


def read_config(environment: Mapping[str, str], reload: bool = False) -> Config:
    """Read the file that NODE_CONFIG names; the other NODE_ variables take precedence over its fields.

    With `reload` the file takes precedence: the variables date from the start and are older.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError, RecursionError) as problem:
        raise ConfigError(f"{path} cannot be read: {problem}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{path} does not hold an object")
    for name in ("name", "listen", "discovery", "ops"):
        from_environment = environment.get(f"NODE_{name.upper()}")
        document[name] = (
            (document.get(name) or from_environment) if reload else (from_environment or document.get(name))
        )
    limits = _field(document, "limits", dict)
    raw_settings = _field(document, "settings", dict)
    try:
        settings, names = read_settings(raw_settings), read_names(raw_settings)
    except SettingsError as problem:
        raise ConfigError(str(problem)) from None
    if not settings.request_classes:
        raise ConfigError("setting 'grades' is empty: at least one class is needed")
    return Config(
        name=_field(document, "name", str),
        listen=_address(document, "listen"),
        discovery=_address(document, "discovery"),
        seed=_seed(document),
        memory_mb=_limit(limits, "memory_mb", MIN_MEMORY_MB),
        sockets=_limit(limits, "sockets", RESERVED_DESCRIPTORS + 2 * MIN_CONNECTIONS_PER_SIDE),
        known=_field(document, "known", dict),
        settings=settings,
        names=names,
        ops=_address(document, "ops") if document.get("ops") is not None else None,
    )


def _field(document: dict[str, Any], name: str, expected_type: type) -> Any:
    if not isinstance(document.get(name), expected_type):
        raise ConfigError(f"'{name}' is missing or has the wrong type")
    return document[name]


def _address(document: dict[str, Any], name: str) -> Address:
    address = parse_address(document.get(name))
    if address is None:
        raise ConfigError(f"'{name}' is not an address with a port: {document.get(name)!r}")
    return address


def _seed(document: dict[str, Any]) -> int:
    try:
        return int(_field(document, "seed", str), 16)
    except ValueError:
        raise ConfigError(f"'seed' is not a hexadecimal number: {document['seed']!r}") from None


def _limit(limits: dict[str, Any], name: str, minimum: int) -> int:
    value = limits.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 1 <= value < math.inf:
        raise ConfigError(f"'limits.{name}' is not a positive number: {value!r}")
    if value < minimum:
        raise ConfigError(f"'limits.{name}' is below the minimum of {minimum}: {value!r}")
    return int(value)
