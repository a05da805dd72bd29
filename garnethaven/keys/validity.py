"""Validity of certificates, expiry warnings, and peer names. No I/O, no clock.

| state | period | action |
| --- | --- | --- |
| early | before the certificate's validity period | not used |
| valid | until `WARNING_FRACTION` of the period is left, at most 30 days | used |
| ending | from then to the end of the period | used; logged once a day |
| ended | after the period | not used: handshakes are refused |

Peers are identified by the subject alternative names of their certificates; the common name is ignored.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

DAY_S = 86_400.0
WARNING_FRACTION = 0.2  # of the validity period; matters for certificates valid for less than 150 days
MAX_WARNING_S = 30 * DAY_S
LOG_INTERVAL_S = DAY_S


class CertificateState(Enum):
    EARLY = "early"
    VALID = "valid"
    ENDING = "ending"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class CertificateFacts:
    """The fields of a certificate that are used here; times are Unix times in seconds."""

    subject: str
    names: tuple[str, ...]  # subject alternative names: DNS names and IP addresses
    serial: int
    not_before: float
    not_after: float
    issuer: str = ""


def certificate_state(facts: CertificateFacts, now: float) -> CertificateState:
    if now < facts.not_before:
        return CertificateState.EARLY
    if now >= facts.not_after:
        return CertificateState.ENDED
    remaining_s = facts.not_after - now
    warning_s = min(MAX_WARNING_S, WARNING_FRACTION * (facts.not_after - facts.not_before))
    return CertificateState.ENDING if remaining_s < warning_s else CertificateState.VALID


def usable(facts: CertificateFacts, now: float) -> bool:
    """Return whether `now` is within the validity period."""
    return certificate_state(facts, now) in (CertificateState.VALID, CertificateState.ENDING)


def is_peer(names: Iterable[str], peers: Collection[str]) -> bool:
    """Return whether one of a certificate's names is among the peers; `*.domain` matches one label."""
    for name in names:
        _, separator, domain = name.partition(".")
        if name in peers or (separator and f"*.{domain}" in peers):
            return True
    return False


class ExpiryLog:
    """Limits log lines about a certificate's state to one at each change and one a day; none while valid."""

    def __init__(self) -> None:
        self.logged_at: dict[tuple[int, CertificateState], float] = {}

    def next_line(self, facts: CertificateFacts, now: float) -> str:
        """Return the line to log now, or an empty string."""
        state = certificate_state(facts, now)
        if state is CertificateState.VALID:
            return ""
        key = (facts.serial, state)
        if now - self.logged_at.get(key, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return ""
        self.logged_at = {
            logged: at for logged, at in self.logged_at.items() if logged[0] == facts.serial
        } | {key: now}
        days = abs(facts.not_after - now) / DAY_S
        if state is CertificateState.EARLY:
            return f"certificate of {facts.subject} is not valid yet; handshakes are refused"
        if state is CertificateState.ENDED:
            return f"certificate of {facts.subject} ended {days:.1f} days ago; handshakes are refused"
        return f"certificate of {facts.subject} ends in {days:.1f} days"
