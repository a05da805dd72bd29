"""What the deployment tells a sidecar, checked once at the start."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from garnethaven.addresses import Address, parse_address
from garnethaven.interface import Settings
from garnethaven.limits.budgets import LEAST, SPARE
from garnethaven.settings import Names, SettingsError, read_names, read_settings

MEMORY_LEAST_MB = 20  # the program has 14 MB when nothing is asked of it


class ConfigError(Exception):
    """The configuration is missing, unreadable or not as the deployment page says."""


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_mb: int
    sockets: int
    known: dict[str, Any]  # the endpoint list as this sidecar last had it, in discovery's form
    settings: Settings
    names: Names
    ops: Address | None = None  # where operators call; None: nowhere


def read_config(environment: Mapping[str, str], anew: bool = False) -> Config:
    """Read the file that NODE_CONFIG names; the other NODE_ variables win over what it says.

    Not where it is read `anew`: the variables are those of the start, and older than the file.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError, RecursionError) as problem:
        raise ConfigError(f"{path} cannot be read: {problem}") from None
    if not isinstance(told, dict):
        raise ConfigError(f"{path} does not hold an object")
    for name in ("name", "listen", "discovery", "ops"):
        given = environment.get(f"NODE_{name.upper()}")
        told[name] = (told.get(name) or given) if anew else (given or told.get(name))
    limits = _field(told, "limits", dict)
    facts = _field(told, "settings", dict)
    try:
        settings, names = read_settings(facts), read_names(facts)
    except SettingsError as problem:
        raise ConfigError(str(problem)) from None
    if not settings.grades:
        raise ConfigError("setting 'grades' names no class")
    return Config(
        name=_field(told, "name", str),
        listen=_address(told, "listen"),
        discovery=_address(told, "discovery"),
        seed=_seed(told),
        memory_mb=_limit(limits, "memory_mb", MEMORY_LEAST_MB),
        sockets=_limit(limits, "sockets", SPARE + 2 * LEAST),
        known=_field(told, "known", dict),
        settings=settings,
        names=names,
        ops=_address(told, "ops") if told.get("ops") is not None else None,
    )


def _field(told: dict[str, Any], name: str, kind: type) -> Any:
    if not isinstance(told.get(name), kind):
        raise ConfigError(f"'{name}' is missing or not of the right kind")
    return told[name]


def _address(told: dict[str, Any], name: str) -> Address:
    address = parse_address(told.get(name))
    if address is None:
        raise ConfigError(f"'{name}' is not an address with a port: {told.get(name)!r}")
    return address


def _seed(told: dict[str, Any]) -> int:
    try:
        return int(_field(told, "seed", str), 16)
    except ValueError:
        raise ConfigError(f"'seed' is not a hexadecimal number: {told['seed']!r}") from None


def _limit(limits: dict[str, Any], name: str, least: int) -> int:
    value = limits.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 1 <= value < math.inf:
        raise ConfigError(f"'limits.{name}' is not a positive number: {value!r}")
    if value < least:
        raise ConfigError(f"'limits.{name}' is too little to run in, which takes {least}: {value!r}")
    return int(value)
