"""A private certificate authority for tests and small installations; all its files are in one folder.

| file | content |
| --- | --- |
| `authority.pem`, `authority.key` | the current authority, which issues certificates |
| `authorities.pem` | the trusted authorities: the current one and, after a rotation, earlier unexpired ones |
| `NAME.pem`, `NAME.key` | a certificate followed by the authority's certificate, and its private key |
| `revoked.pem` | the revocation list |

A rotation has three steps, so that peers never receive a certificate that they do not trust: create the new
authority, after which `authorities.pem` contains both; distribute that file; then reissue the certificates.
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

from garnethaven.keys.files import KeysError, load_certificates, read_file

DEFAULT_AUTHORITY_DAYS = 3650
CLOCK_SKEW = datetime.timedelta(minutes=5)  # tolerated for peers whose clocks are behind the local one


class Authority:
    """The authority in `folder`. Methods raise KeysError if a file can't be read or used."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)

    def init(self, name: str, days: int = DEFAULT_AUTHORITY_DAYS) -> None:
        """Create the authority; raises KeysError if the folder already contains one."""
        self.folder.mkdir(parents=True, exist_ok=True)
        if (self.folder / "authority.pem").exists():
            raise KeysError(f"{self.folder} holds an authority already; 'rotate' creates a new one")
        self._create(name, days)
        self._write_trusted([])

    def rotate(self, name: str, days: int = DEFAULT_AUTHORITY_DAYS) -> None:
        """Create a new current authority; earlier certificates stay trusted until their authority expires."""
        earlier = load_certificates(str(self.folder / "authorities.pem"))
        self._create(name, days)
        now = datetime.datetime.now(datetime.UTC)
        self._write_trusted([authority for authority in earlier if authority.not_valid_after_utc > now])

    def issue(self, name: str, names: list[str], days: int) -> Path:
        """Issue a certificate for these DNS names and addresses; returns the path of its file."""
        if not name or "/" in name or name.startswith("."):
            raise KeysError(f"{name!r} can't be used as a file name")
        issuer = self._current_certificate()
        signer = self._load_key("authority.key")
        key = ec.generate_private_key(ec.SECP256R1())
        builder = self._builder(name, issuer.subject, key, days)
        builder = builder.add_extension(
            x509.SubjectAlternativeName([_general_name(subject) for subject in names]), False
        )
        builder = builder.add_extension(x509.BasicConstraints(ca=False, path_length=None), True)
        certificate = builder.sign(signer, hashes.SHA256())
        self._write(f"{name}.key", _private_key_pem(key), secret=True)
        self._write(f"{name}.pem", _certificate_pem(certificate) + _certificate_pem(issuer))
        return self.folder / f"{name}.pem"

    def revoke(self, serials: list[int], days: int) -> Path:
        """Replace the revocation list by one with these serial numbers; returns its path."""
        issuer = self._current_certificate()
        now = datetime.datetime.now(datetime.UTC)
        builder = x509.CertificateRevocationListBuilder().issuer_name(issuer.subject)
        builder = builder.last_update(now - CLOCK_SKEW).next_update(now + datetime.timedelta(days=days))
        for serial in serials:
            revoked = x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(now - CLOCK_SKEW)
            builder = builder.add_revoked_certificate(revoked.build())
        revocation_list = builder.sign(self._load_key("authority.key"), hashes.SHA256())
        self._write("revoked.pem", revocation_list.public_bytes(serialization.Encoding.PEM))
        return self.folder / "revoked.pem"

    def _create(self, name: str, days: int) -> None:
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        builder = self._builder(name, subject, key, days)
        builder = builder.add_extension(x509.BasicConstraints(ca=True, path_length=0), True)
        usage = x509.KeyUsage(True, False, False, False, False, True, True, False, False)
        certificate = builder.add_extension(usage, True).sign(key, hashes.SHA256())
        self._write("authority.key", _private_key_pem(key), secret=True)
        self._write("authority.pem", _certificate_pem(certificate))

    def _write_trusted(self, earlier: list[x509.Certificate]) -> None:
        authorities = [self._current_certificate(), *earlier]
        self._write("authorities.pem", b"".join(_certificate_pem(authority) for authority in authorities))

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
            .not_valid_before(now - CLOCK_SKEW)
            .not_valid_after(now + datetime.timedelta(days=days))
        )

    def _current_certificate(self) -> x509.Certificate:
        return load_certificates(str(self.folder / "authority.pem"))[0]

    def _load_key(self, name: str) -> ec.EllipticCurvePrivateKey:
        key = serialization.load_pem_private_key(read_file(str(self.folder / name)), None)
        if not isinstance(key, ec.EllipticCurvePrivateKey):
            raise KeysError(f"{self.folder / name} contains no elliptic curve private key")
        return key

    def _write(self, name: str, content: bytes, secret: bool = False) -> None:
        """Write to a temporary file and rename it, so that concurrent readers see a complete file."""
        temporary = self.folder / f".{name}.new"
        mode = 0o600 if secret else 0o644
        with os.fdopen(os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode), "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.folder / name)


def _general_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)


def _private_key_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def _certificate_pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
