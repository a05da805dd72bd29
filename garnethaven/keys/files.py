"""Certificates as they stand in files, by the package cryptography."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

from cryptography import x509

from garnethaven.keys.validity import Facts

FILE_MOST = 1024 * 1024  # bytes: a bundle of authorities; more is no certificate's


class KeysError(OSError):
    """A file can't be used; the text names it."""


def read(path: str) -> bytes:
    """Raises KeysError."""
    try:
        if os.path.getsize(path) > FILE_MOST:
            raise KeysError(f"{path} is too large for certificates")
        return Path(path).read_bytes()
    except KeysError:
        raise
    except OSError as problem:
        raise KeysError(f"{path} can't be read: {problem.strerror}") from None


def certificates(path: str) -> list[x509.Certificate]:
    """All certificates of a file, at least one; raises KeysError."""
    try:
        found = x509.load_pem_x509_certificates(read(path))
    except ValueError:
        found = []
    if not found:
        raise KeysError(f"{path} holds no certificate in PEM")
    return found


def facts_of(certificate: x509.Certificate) -> Facts:
    return Facts(
        subject=certificate.subject.rfc4514_string(),
        names=names_of(certificate),
        serial=certificate.serial_number,
        begins=certificate.not_valid_before_utc.timestamp(),
        ends=certificate.not_valid_after_utc.timestamp(),
        issuer=certificate.issuer.rfc4514_string(),
    )


def names_of(certificate: x509.Certificate) -> tuple[str, ...]:
    with contextlib.suppress(x509.ExtensionNotFound):
        told = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        addresses = [str(one) for one in told.get_values_for_type(x509.IPAddress)]
        return (*told.get_values_for_type(x509.DNSName), *addresses)
    return ()
