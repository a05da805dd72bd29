"""Reading the settings object, which the simulator's wire and a real sidecar's configuration share."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from garnethaven.interface import Effect, Grade, Scope, Settings, Tenant


class SettingsError(Exception):
    """The settings object is not what the documents describe."""


@dataclass(slots=True, frozen=True)
class Names:
    """What sockets name in words and the module in numbers, each at its index."""

    grades: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


Word = TypeVar("Word", bound=Enum)


def _number(
    table: dict[str, Any],
    name: str,
    kind: type[int] | type[float],
    *default: float,
    least: float = 0.0,
    most: float = math.inf,
) -> Any:
    """One figure of a table; what can't be read is named, what is missing without a default a KeyError."""
    told = table.get(name, *default) if default else table[name]
    try:
        if isinstance(told, bool) or not math.isfinite(float(told)):
            raise ValueError
        value = kind(told)
    except (ValueError, TypeError, OverflowError):
        raise SettingsError(f"setting {name!r} cannot be read: {told!r}") from None
    if not least <= value <= most:
        bound = f"under {least:g}" if value < least else f"over {most:g}"
        raise SettingsError(f"setting {name!r} is {bound}: {told!r}")
    return value


def _word(told: Any, name: str, kind: type[Word]) -> Word:
    """One of a setting's words."""
    try:
        return kind(told)
    except ValueError:
        known = ", ".join(str(word.value) for word in kind)
        raise SettingsError(
            f"the settings cannot be read: {name!r} is {told!r}, not one of {known}"
        ) from None


def read_settings(facts: dict[str, Any]) -> Settings:
    """Turn the settings object into Settings; what is unknown is skipped."""
    try:
        rules, limits, prices = facts["rules"], facts["limits"], facts.get("prices", {})
        return Settings(
            grades=tuple(read_grade(grade) for grade in facts["grades"]),
            tenants=tuple(
                Tenant(_number(tenant, "share", float), _number(tenant, "allowancePerS", float))
                for tenant in facts.get("tenants", ())
            ),
            slot=_number(facts, "slotNo", int),
            fleet_size=_number(facts, "fleetSize", int, least=1),
            zone=_number(facts, "zone", int),
            ask_discovery=facts["membershipMode"] == "ask",
            ask_within=_number(rules, "askWithinNs", int, 0),
            drain_grace=_number(rules, "drainGraceNs", int),
            cold_share=_number(rules, "coldShare", float, most=1.0),
            ramp_time=_number(rules, "rampTimeNs", int),
            fall_multiple=_number(rules, "fallMultiple", float, 3.0),
            dial_timeout=_number(limits, "dialTimeoutNs", int, 0),
            conn_idle=_number(limits, "connIdleNs", int, 0),
            streams_per_conn=_number(limits, "streamsPerConn", int, 1, least=1),
            max_attempts=_number(limits, "maxAttempts", int, least=1),
            second_copies=bool(limits.get("secondCopies", False)),
            cancel=bool(limits.get("cancel", False)),
            probes=bool(limits.get("probes", False)),
            warm_keys=bool(facts.get("familyInfo", {}).get("warmKeys", False)),
            over_share_worth=_number(facts, "overShareWorth", float, 1.0),
            cross_zone_price=_number(prices, "crossZone", float, 0.0),
            waste_price=_number(prices, "waste", float, 0.0),
            probe_price=_number(prices, "probe", float, 0.0),
            retry_after=bool(limits.get("retryAfter", False)),
            max_retry_after=_number(limits, "maxRetryAfterNs", int, 0),
            report_fields=tuple(facts.get("report", {}).get("fields", ())),
        )
    except KeyError as missing:
        raise SettingsError(f"setting {missing} is missing") from None
    except (ValueError, TypeError, AttributeError) as problem:
        raise SettingsError(f"the settings cannot be read: {problem}") from None


def read_grade(grade: dict[str, Any]) -> Grade:
    return Grade(
        aim=_number(grade, "aimNs", int),
        deadline=_number(grade, "deadlineNs", int),
        effect=_word(grade["effect"], "effect", Effect),
        scope=_word(grade.get("keyScope") or "all", "keyScope", Scope),
        window=_number(grade, "dedupWindowNs", int, 0),
        worth=_number(grade, "importance", float),
        late_value=_number(grade, "lateValue", float, 0.0),
    )


def numbered(names: tuple[str, ...]) -> dict[str, int]:
    """The module's number of each name."""
    return {name: index for index, name in enumerate(names)}


def read_names(facts: dict[str, Any]) -> Names:
    """The names behind the module's numbers; only a real sidecar meets them."""
    try:
        return Names(
            grades=tuple(str(grade["name"]) for grade in facts["grades"]),
            tenants=tuple(str(tenant["name"]) for tenant in facts.get("tenants", ())),
            zones=tuple(map(str, facts["zones"])),
            kinds=tuple(map(str, facts["hostTypes"])),
        )
    except KeyError as missing:
        raise SettingsError(f"setting {missing} is missing") from None
    except TypeError as problem:
        raise SettingsError(f"the settings cannot be read: {problem}") from None
