"""How long a certificate holds, what is worth telling, and who is a named peer. No I/O, no clock.

| a certificate is | when | then |
| --- | --- | --- |
| early | before its first moment | not used |
| valid | until `WARN_PART` of its life is left, 30 days at most | used |
| ending | after that | used, and told of once a day |
| ended | after its last moment | not used: handshakes are refused rather than made with it |

Peers are named by the subject alternative names of their certificates; a common name names nobody.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

DAY_S = 86_400.0
WARN_PART = 0.2  # of a certificate's life, for those that live for days only
WARN_MOST_S = 30 * DAY_S
TELL_EVERY_S = DAY_S


class Holds(Enum):
    EARLY = "early"
    VALID = "valid"
    ENDING = "ending"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Facts:
    """What a certificate says; times are seconds since 1970."""

    subject: str
    names: tuple[str, ...]  # DNS names and addresses
    serial: int
    begins: float
    ends: float
    issuer: str = ""


def holds(facts: Facts, now: float) -> Holds:
    if now < facts.begins:
        return Holds.EARLY
    if now >= facts.ends:
        return Holds.ENDED
    left = facts.ends - now
    warn = min(WARN_MOST_S, WARN_PART * (facts.ends - facts.begins))
    return Holds.ENDING if left < warn else Holds.VALID


def usable(facts: Facts, now: float) -> bool:
    return holds(facts, now) in (Holds.VALID, Holds.ENDING)


def is_peer(names: Iterable[str], peers: Collection[str]) -> bool:
    """Whether a certificate with these names is one of the peers; `*.domain` stands for one label."""
    for name in names:
        _, mark, domain = name.partition(".")
        if name in peers or (mark and f"*.{domain}" in peers):
            return True
    return False


class Told:
    """Says that a certificate ends soon, or has ended: once, then once a day."""

    def __init__(self) -> None:
        self.at: dict[tuple[int, Holds], float] = {}

    def due(self, facts: Facts, now: float) -> str:
        """The line to write now; empty: none."""
        state = holds(facts, now)
        if state is Holds.VALID:
            return ""
        key = (facts.serial, state)
        if now - self.at.get(key, -TELL_EVERY_S) < TELL_EVERY_S:
            return ""
        self.at = {known: at for known, at in self.at.items() if known[0] == facts.serial} | {key: now}
        days = abs(facts.ends - now) / DAY_S
        if state is Holds.EARLY:
            return f"certificate of {facts.subject} does not hold yet"
        if state is Holds.ENDED:
            return f"certificate of {facts.subject} ended {days:.1f} days ago; handshakes are refused"
        return f"certificate of {facts.subject} ends in {days:.1f} days"
