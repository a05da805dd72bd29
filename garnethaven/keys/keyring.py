"""A front's certificate, key and trusted authorities, reloaded while connections stay open.

Each handshake uses the context that is current when it starts. If changed files can't be used (a certificate
without its key, a file without a certificate), this is logged and the previous context stays in use.
"""

from __future__ import annotations

import os
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass

from garnethaven.keys.files import KeysError, certificate_facts, load_certificates
from garnethaven.keys.validity import CertificateFacts, ExpiryLog, is_peer, usable


@dataclass(slots=True, frozen=True)
class KeyPaths:
    """PEM files. `client_ca`: clients need a certificate; `peers`: it has to name one of the peers."""

    cert: str
    key: str = ""
    client_ca: str = ""
    revoked: str = ""
    peers: tuple[str, ...] = ()


class Keyring:
    """Holds the current TLS context.

    A listening socket uses `context` for its lifetime; handshakes on it switch to the current context. Raises
    OSError if a file can't be used.
    """

    def __init__(self, paths: KeyPaths, protocols: list[str], log: Callable[[str], None]) -> None:
        self.paths = paths
        self.protocols = protocols
        self.log = log
        self.expiry_log = ExpiryLog()
        # handshakes refused because the certificate isn't valid, and clients that are not peers
        self.refused_clients = 0
        self.current_context, self.certificate = self._load(paths)
        self.loaded_stamps = self._file_stamps()
        self.context = self.current_context
        self.context.sni_callback = self._select_context

    def _load(self, paths: KeyPaths) -> tuple[ssl.SSLContext, CertificateFacts]:
        facts = certificate_facts(load_certificates(paths.cert)[0])
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.minimum_version = ssl.TLSVersion.TLSv1_3 if paths.client_ca else ssl.TLSVersion.TLSv1_2
        try:
            context.load_cert_chain(paths.cert, paths.key or None)
        except OSError as error:
            raise KeysError(f"{paths.cert} and its key can't be used: {error}") from None
        context.set_alpn_protocols(self.protocols)
        if paths.client_ca:
            load_certificates(paths.client_ca)  # raises an error that names the file
            context.load_verify_locations(cafile=paths.client_ca)
            context.verify_mode = ssl.CERT_REQUIRED
        if paths.revoked:
            try:
                context.load_verify_locations(cafile=paths.revoked)
            except OSError as error:
                raise KeysError(f"{paths.revoked} can't be used: {error}") from None
            context.verify_flags |= ssl.VerifyFlags.VERIFY_CRL_CHECK_LEAF
        return context, facts

    def _select_context(
        self, handshake: ssl.SSLObject, name: str | None, context: ssl.SSLContext
    ) -> int | None:
        """SNI callback: switch to the current context; refuses handshakes if the certificate isn't valid."""
        if not usable(self.certificate, time.time()):
            self.refused_clients += 1
            return ssl.ALERT_DESCRIPTION_CERTIFICATE_EXPIRED
        handshake.context = self.current_context
        return None

    # Rotation

    def reload(self, paths: KeyPaths) -> None:
        """Load all files from these paths; on an error the previous context and paths are kept."""
        try:
            self.current_context, self.certificate = self._load(paths)
            self.paths = paths
        except OSError as error:
            self.log(f"certificate files not loaded, the previous ones stay in use: {error}")
        self.loaded_stamps = self._file_stamps()

    def reload_if_changed(self) -> None:
        """Reload the files if one has changed, and log a certificate that expires soon or has expired."""
        if self._file_stamps() != self.loaded_stamps:
            self.reload(self.paths)
        line = self.expiry_log.next_line(self.certificate, time.time())
        if line:
            self.log(line)

    def _file_stamps(self) -> tuple[tuple[int, int], ...]:
        """Return modification time in ns and inode of each file; (0, 0) if it can't be read."""
        stamps = []
        for path in (self.paths.cert, self.paths.key, self.paths.client_ca, self.paths.revoked):
            try:
                status = os.stat(path)
                stamps.append((status.st_mtime_ns, status.st_ino))
            except OSError:
                stamps.append((0, 0))
        return tuple(stamps)

    # Peers

    def is_allowed_client(self, peer: dict[str, object] | None) -> bool:
        """Return whether the client is one of the peers, by its certificate as `getpeercert` returns it."""
        if not self.paths.peers:
            return True
        entries = peer.get("subjectAltName", ()) if peer else ()
        names = [str(pair[1]) for pair in entries] if isinstance(entries, tuple) else []
        if is_peer(names, self.paths.peers):
            return True
        self.refused_clients += 1
        self.log(f"client refused, not a peer: certificate names {', '.join(names)[:100] or 'nobody'}")
        return False
