"""A private authority for tests and small installations: made, issuing, rotated; files in one folder.

| file | holds |
| --- | --- |
| `authority.pem`, `authority.key` | the authority that issues now |
| `authorities.pem` | what peers trust: the present one and, after a rotation, those before that still hold |
| `NAME.pem`, `NAME.key` | a certificate with the authority's behind it, and its key |

A rotation has three steps, and peers never meet a certificate that they do not trust: the new authority is
made and `authorities.pem` holds both; it is spread; then certificates are issued anew.
"""

from __future__ import annotations

import datetime
import ipaddress
import os
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from garnethaven.keys.files import KeysError, certificates, read

AUTHORITY_DAYS = 3650
SLACK = datetime.timedelta(minutes=5)  # for clocks that are a little behind ours


class Authority:
    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)

    def init(self, name: str, days: int = AUTHORITY_DAYS) -> None:
        """Make it; raises KeysError where there is one already."""
        self.folder.mkdir(parents=True, exist_ok=True)
        if (self.folder / "authority.pem").exists():
            raise KeysError(f"{self.folder} holds an authority already; 'rotate' makes another")
        self._make(name, days)
        self._spread([])

    def rotate(self, name: str, days: int = AUTHORITY_DAYS) -> None:
        """Make another beside the present one; what was issued before is trusted until its authority ends."""
        before = certificates(str(self.folder / "authorities.pem"))
        self._make(name, days)
        now = datetime.datetime.now(datetime.UTC)
        self._spread([one for one in before if one.not_valid_after_utc > now])

    def issue(self, name: str, names: list[str], days: int) -> Path:
        """A certificate for these DNS names and addresses; returns its file."""
        if not name or "/" in name or name.startswith("."):
            raise KeysError(f"{name!r} is no name for a file")
        issuer = self._present()
        signer = self._key("authority.key")
        key = ec.generate_private_key(ec.SECP256R1())
        told = self._builder(name, issuer.subject, key, days)
        told = told.add_extension(x509.SubjectAlternativeName([_general(one) for one in names]), False)
        told = told.add_extension(x509.BasicConstraints(ca=False, path_length=None), True)
        made = told.sign(signer, hashes.SHA256())
        self._write(f"{name}.key", _private(key), secret=True)
        self._write(f"{name}.pem", _public(made) + _public(issuer))
        return self.folder / f"{name}.pem"

    def revoke(self, serials: list[int], days: int) -> Path:
        """A list of certificates that are not good any more, in the place of the one before."""
        issuer = self._present()
        now = datetime.datetime.now(datetime.UTC)
        told = x509.CertificateRevocationListBuilder().issuer_name(issuer.subject)
        told = told.last_update(now - SLACK).next_update(now + datetime.timedelta(days=days))
        for serial in serials:
            revoked = x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(now - SLACK)
            told = told.add_revoked_certificate(revoked.build())
        made = told.sign(self._key("authority.key"), hashes.SHA256())
        self._write("revoked.pem", made.public_bytes(serialization.Encoding.PEM))
        return self.folder / "revoked.pem"

    def _make(self, name: str, days: int) -> None:
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        told = self._builder(name, subject, key, days)
        told = told.add_extension(x509.BasicConstraints(ca=True, path_length=0), True)
        usage = x509.KeyUsage(True, False, False, False, False, True, True, False, False)
        made = told.add_extension(usage, True).sign(key, hashes.SHA256())
        self._write("authority.key", _private(key), secret=True)
        self._write("authority.pem", _public(made))

    def _spread(self, before: list[x509.Certificate]) -> None:
        trusted = [self._present(), *before]
        self._write("authorities.pem", b"".join(_public(one) for one in trusted))

    def _builder(
        self, name: str, issuer: x509.Name, key: ec.EllipticCurvePrivateKey, days: int
    ) -> x509.CertificateBuilder:
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)]))
            .issuer_name(issuer)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - SLACK)
            .not_valid_after(now + datetime.timedelta(days=days))
        )

    def _present(self) -> x509.Certificate:
        return certificates(str(self.folder / "authority.pem"))[0]

    def _key(self, name: str) -> ec.EllipticCurvePrivateKey:
        key = serialization.load_pem_private_key(read(str(self.folder / name)), None)
        if not isinstance(key, ec.EllipticCurvePrivateKey):
            raise KeysError(f"{self.folder / name} holds no key of ours")
        return key

    def _write(self, name: str, content: bytes, secret: bool = False) -> None:
        """Aside and renamed: whoever reads it at that moment reads a whole file."""
        aside = self.folder / f".{name}.new"
        mode = 0o600 if secret else 0o644
        with os.fdopen(os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode), "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(aside, self.folder / name)


def _general(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)


def _private(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def _public(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
