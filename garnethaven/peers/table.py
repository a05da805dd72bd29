"""The operator's table `[peers]`."""

from __future__ import annotations

from typing import Annotated

from garnethaven.addresses import Address, parse_address
from garnethaven.gossip.rows import NAME_MOST
from garnethaven.tables import Secret, SocketAddress, Table, WrongFieldError, field_meta, number_range


class Listed(str):
    """A member's name and address: `n1=10.0.0.1:7946`."""

    name: str
    at: Address

    wanted = "a name and an address, as n1=10.0.0.1:7946"

    @classmethod
    def told(cls, value: object) -> Listed:
        name, _, at = value.partition("=") if isinstance(value, str) else ("", "", "")
        address = parse_address(at)
        if not 1 <= len(name) <= NAME_MOST or address is None:
            raise ValueError(f"is not {cls.wanted}: {value!r}")
        listed = cls(value)
        listed.name, listed.at = name, address
        return listed


class Peers(Table, frozen=True):
    """Which sidecars exchange state with one another, and how often."""

    listen: Annotated[
        SocketAddress | None,
        field_meta("where this member takes datagrams; off if left out", "address:port", waits=True),
    ] = None
    key: Annotated[
        Secret | None,
        field_meta("seals the datagrams; the same at all members", "hexadecimal", waits=True),
    ] = None
    name: Annotated[
        str, field_meta("this member's name; the platform's if left out", max_length=NAME_MOST, waits=True)
    ] = ""
    members: Annotated[
        tuple[Listed, ...], field_meta("members to begin with, itself among them or not", "name=address:port")
    ] = ()
    period_s: Annotated[
        float,
        number_range(0.05, 10, "the time between two rounds of questions, for 32 members", "seconds", True),
    ] = 0.2
    asks: Annotated[int, number_range(1, 8, "members that are asked in a round", waits=True)] = 3
    loss_most: Annotated[
        float,
        number_range(0, 0.5, "the loss of datagrams for which news still reaches all in time", waits=True),
    ] = 0.1
    delay_most_s: Annotated[
        float, number_range(0, 5, "the delay for which it does", "seconds", waits=True)
    ] = 0.05
    forget_s: Annotated[
        float,
        number_range(
            10, 86_400, "a silent member counts for so long, and a cut stays within the bounds", "seconds"
        ),
    ] = 600.0
    members_most: Annotated[int, number_range(2, 4096, "members that are known at one time", waits=True)] = (
        2048
    )

    def __post_init__(self) -> None:
        if self.listen is not None and self.key is None:
            raise WrongFieldError("key", "is missing: members seal their datagrams")
        names = [listed.name for listed in self.members]
        for name in names:
            if names.count(name) > 1:
                raise WrongFieldError("members", f"names {name!r} twice")
        if len(names) >= self.members_most:
            raise WrongFieldError("members_most", f"is less than the {len(names)} members that are listed")


TABLE = Peers
