"""Reads certificates from PEM files, with the package cryptography."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

from cryptography import x509

from garnethaven.keys.validity import CertificateFacts

MAX_FILE_BYTES = 1024 * 1024  # enough for a bundle of authorities


class KeysError(OSError):
    """A certificate or key file can't be used; the text names the file."""


def read_file(path: str) -> bytes:
    """Return the content; raises KeysError if the file is unreadable or too large."""
    try:
        if os.path.getsize(path) > MAX_FILE_BYTES:
            raise KeysError(f"{path} is too large for a certificate file")
        return Path(path).read_bytes()
    except KeysError:
        raise
    except OSError as error:
        raise KeysError(f"{path} can't be read: {error.strerror}") from None


def load_certificates(path: str) -> list[x509.Certificate]:
    """Return all certificates of a PEM file; raises KeysError if there are none."""
    try:
        loaded = x509.load_pem_x509_certificates(read_file(path))
    except ValueError:
        loaded = []
    if not loaded:
        raise KeysError(f"{path} contains no PEM certificate")
    return loaded


def certificate_facts(certificate: x509.Certificate) -> CertificateFacts:
    return CertificateFacts(
        subject=certificate.subject.rfc4514_string(),
        names=alternative_names(certificate),
        serial=certificate.serial_number,
        not_before=certificate.not_valid_before_utc.timestamp(),
        not_after=certificate.not_valid_after_utc.timestamp(),
        issuer=certificate.issuer.rfc4514_string(),
    )


def alternative_names(certificate: x509.Certificate) -> tuple[str, ...]:
    with contextlib.suppress(x509.ExtensionNotFound):
        extension = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        addresses = [str(address) for address in extension.get_values_for_type(x509.IPAddress)]
        return (*extension.get_values_for_type(x509.DNSName), *addresses)
    return ()
