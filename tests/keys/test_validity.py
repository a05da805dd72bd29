"""States of certificates, expiry log lines and peer names, without I/O."""

from __future__ import annotations

import pytest

from garnethaven.keys.validity import (
    DAY_S,
    CertificateFacts,
    CertificateState,
    ExpiryLog,
    certificate_state,
    is_peer,
    usable,
)


def facts(days: float = 90.0, serial: int = 1) -> CertificateFacts:
    return CertificateFacts("CN=a", ("a.example",), serial, 1000.0, 1000.0 + days * DAY_S)


@pytest.mark.parametrize(
    ("days", "at_day", "state"),
    [
        (90, -1, CertificateState.EARLY),
        (90, 0, CertificateState.VALID),
        (90, 71.9, CertificateState.VALID),
        (90, 72.1, CertificateState.ENDING),
        (90, 90, CertificateState.ENDED),
        (3650, 3619, CertificateState.VALID),
        (3650, 3621, CertificateState.ENDING),
        (1, 0.81, CertificateState.ENDING),
    ],
)
def test_a_certificate_goes_through_its_states(days: float, at_day: float, state: CertificateState) -> None:
    now = 1000.0 + at_day * DAY_S
    assert certificate_state(facts(days), now) is state
    assert usable(facts(days), now) is (state in (CertificateState.VALID, CertificateState.ENDING))


def test_an_end_is_told_before_once_a_day_and_after() -> None:
    expiry_log, certificate = ExpiryLog(), facts(10)
    start = certificate.not_before
    assert expiry_log.next_line(certificate, start) == ""
    assert "ends in 1.5 days" in expiry_log.next_line(certificate, start + 8.5 * DAY_S)
    assert expiry_log.next_line(certificate, start + 9.4 * DAY_S) == ""
    assert "ends in 0.4 days" in expiry_log.next_line(certificate, start + 9.6 * DAY_S)
    # A new state is logged at once.
    assert "handshakes are refused" in expiry_log.next_line(certificate, start + 10.1 * DAY_S)
    assert expiry_log.next_line(facts(90, serial=2), start + 10.2 * DAY_S) == ""


@pytest.mark.parametrize(
    ("names", "peer"),
    [
        (("gate.b.example",), True),
        (("x.a.example",), True),
        (("x.y.a.example",), False),
        (("a.example",), False),
        (("10.0.0.1",), True),
        ((), False),
        (("other", "gate.b.example"), True),
    ],
)
def test_peers_are_named(names: tuple[str, ...], peer: bool) -> None:
    assert is_peer(names, ("gate.b.example", "*.a.example", "10.0.0.1")) is peer
