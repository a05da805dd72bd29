"""The operator's table `[tenants]`."""

from __future__ import annotations

from typing import Annotated

from garnethaven.tables import Table, WrongFieldError, field_meta, number_range

MAX_PER_S = 1_000_000
MAX_NAME_LENGTH = 128


class Allowed(Table, frozen=True):
    """One tenant's fleet-wide rate limit."""

    name: Annotated[str, field_meta("as `X-Caller` has it", min_length=1, max_length=MAX_NAME_LENGTH)]
    per_s: Annotated[float, number_range(0.01, MAX_PER_S, "what it may ask for", "requests a second")]
    burst: Annotated[
        float,
        number_range(1, MAX_PER_S, "what all members' buckets hold, beside one for each", "requests"),
    ] = 1.0


class Tenants(Table, frozen=True):
    """Fleet-wide rate limits of tenants; requests beyond them are refused at once."""

    allowances: Annotated[tuple[Allowed, ...], field_meta("tenants with an allowance of their own")] = ()
    others_per_s: Annotated[
        float,
        number_range(
            0, MAX_PER_S, "for each name beside those; 0: these are not bounded", "requests a second"
        ),
    ] = 0.0
    others_burst: Annotated[float, number_range(1, MAX_PER_S, "for each of them", "requests")] = 1.0
    slots: Annotated[
        int, number_range(1, 65_536, "other names that are told apart; two in one slot share an allowance")
    ] = 1024

    def __post_init__(self) -> None:
        names = [allowed.name for allowed in self.allowances]
        for name in names:
            if names.count(name) > 1:
                raise WrongFieldError("allowances", f"names {name!r} twice")


TABLE = Tenants
