"""Reads the settings object, whose format the simulator's protocol and a sidecar's configuration share."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from garnethaven.interface import DedupScope, Idempotency, RequestClass, Settings, Tenant


class SettingsError(Exception):
    """The settings object is malformed or incomplete."""


@dataclass(slots=True, frozen=True)
class Names:
    """Names of request classes, tenants, zones and host types, each at the balancer's index for it."""

    request_classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


Word = TypeVar("Word", bound=Enum)


def _number(
    table: dict[str, Any],
    name: str,
    number_type: type[int] | type[float],
    *default: float,
    min_value: float = 0.0,
    max_value: float = math.inf,
) -> Any:
    """Read a number of a table.

    Raises SettingsError if the value is not a number or out of range, KeyError if it is missing and there is
    no default.
    """
    raw = table.get(name, *default) if default else table[name]
    try:
        if isinstance(raw, bool) or not math.isfinite(float(raw)):
            raise ValueError
        value = number_type(raw)
    except (ValueError, TypeError, OverflowError):
        raise SettingsError(f"setting {name!r} cannot be read: {raw!r}") from None
    if not min_value <= value <= max_value:
        bound = f"under {min_value:g}" if value < min_value else f"over {max_value:g}"
        raise SettingsError(f"setting {name!r} is {bound}: {raw!r}")
    return value


def _choice(raw: Any, name: str, enum: type[Word]) -> Word:
    """Read one of the values of an enum; raises SettingsError for any other."""
    try:
        return enum(raw)
    except ValueError:
        choices = ", ".join(str(member.value) for member in enum)
        raise SettingsError(
            f"the settings cannot be read: {name!r} is {raw!r}, not one of {choices}"
        ) from None


def read_settings(document: dict[str, Any]) -> Settings:
    """Convert the settings object to Settings; unknown entries are ignored. Raises SettingsError."""
    try:
        rules, limits, prices = document["rules"], document["limits"], document.get("prices", {})
        return Settings(
            request_classes=tuple(read_request_class(entry) for entry in document["grades"]),
            tenants=tuple(
                Tenant(_number(tenant, "share", float), _number(tenant, "allowancePerS", float))
                for tenant in document.get("tenants", ())
            ),
            instance_index=_number(document, "slotNo", int),
            fleet_size=_number(document, "fleetSize", int, min_value=1),
            zone=_number(document, "zone", int),
            calls_discovery=document["membershipMode"] == "ask",
            discovery_call_span=_number(rules, "askWithinNs", int, 0),
            drain_grace=_number(rules, "drainGraceNs", int),
            cold_share=_number(rules, "coldShare", float, max_value=1.0),
            ramp_time=_number(rules, "rampTimeNs", int),
            max_cold_load_multiple=_number(rules, "fallMultiple", float, 3.0),
            dial_timeout=_number(limits, "dialTimeoutNs", int, 0),
            connection_idle_timeout=_number(limits, "connIdleNs", int, 0),
            streams_per_conn=_number(limits, "streamsPerConn", int, 1, min_value=1),
            max_attempts=_number(limits, "maxAttempts", int, min_value=1),
            hedging=bool(limits.get("secondCopies", False)),
            cancel=bool(limits.get("cancel", False)),
            probes=bool(limits.get("probes", False)),
            key_affinity=bool(document.get("familyInfo", {}).get("warmKeys", False)),
            over_share_value_factor=_number(document, "overShareWorth", float, 1.0),
            cross_zone_price=_number(prices, "crossZone", float, 0.0),
            waste_price=_number(prices, "waste", float, 0.0),
            probe_price=_number(prices, "probe", float, 0.0),
            retry_after=bool(limits.get("retryAfter", False)),
            max_retry_after=_number(limits, "maxRetryAfterNs", int, 0),
            report_fields=tuple(document.get("report", {}).get("fields", ())),
        )
    except KeyError as missing:
        raise SettingsError(f"setting {missing} is missing") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingsError(f"the settings cannot be read: {error}") from None


def read_request_class(entry: dict[str, Any]) -> RequestClass:
    return RequestClass(
        target=_number(entry, "aimNs", int),
        deadline=_number(entry, "deadlineNs", int),
        effect=_choice(entry["effect"], "effect", Idempotency),
        scope=_choice(entry.get("keyScope") or "all", "keyScope", DedupScope),
        dedup_window=_number(entry, "dedupWindowNs", int, 0),
        value=_number(entry, "importance", float),
        late_value=_number(entry, "lateValue", float, 0.0),
    )


def index_by_name(names: tuple[str, ...]) -> dict[str, int]:
    """Return the index of each name."""
    return {name: index for index, name in enumerate(names)}


def read_names(document: dict[str, Any]) -> Names:
    """Read the names behind the balancer's indexes; only a sidecar has them. Raises SettingsError."""
    try:
        return Names(
            request_classes=tuple(str(grade["name"]) for grade in document["grades"]),
            tenants=tuple(str(tenant["name"]) for tenant in document.get("tenants", ())),
            zones=tuple(map(str, document["zones"])),
            kinds=tuple(map(str, document["hostTypes"])),
        )
    except KeyError as missing:
        raise SettingsError(f"setting {missing} is missing") from None
    except TypeError as error:
        raise SettingsError(f"the settings cannot be read: {error}") from None
