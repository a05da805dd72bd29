"""A front's certificate, key and trusted authorities, read anew while connections stay open.

A handshake uses the context of its beginning; the next one uses the newest. A change that can't be used (half
of a pair, a file that is no certificate) is told, and what was good before stays in use.
"""

from __future__ import annotations

import os
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass

from garnethaven.keys.files import KeysError, certificates, facts_of
from garnethaven.keys.validity import Facts, Told, is_peer, usable


@dataclass(slots=True, frozen=True)
class Paths:
    """Files in PEM. With `client_ca` clients need a certificate, with `peers` one that names a peer."""

    cert: str
    key: str = ""
    client_ca: str = ""
    revoked: str = ""
    peers: tuple[str, ...] = ()


class Keyring:
    """`context` is for a listening socket, for its whole life. Raises OSError where a file can't be used."""

    def __init__(self, paths: Paths, protocols: list[str], log: Callable[[str], None]) -> None:
        self.paths = paths
        self.protocols = protocols
        self.log = log
        self.told = Told()
        self.refused = 0  # handshakes and clients that were turned away here
        self.present, self.facts = self._load(paths)
        self.seen = self._stamps()
        self.context = self.present
        self.context.sni_callback = self._choose

    def _load(self, paths: Paths) -> tuple[ssl.SSLContext, Facts]:
        facts = facts_of(certificates(paths.cert)[0])
        made = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        made.minimum_version = ssl.TLSVersion.TLSv1_3 if paths.client_ca else ssl.TLSVersion.TLSv1_2
        try:
            made.load_cert_chain(paths.cert, paths.key or None)
        except OSError as problem:
            raise KeysError(f"{paths.cert} and its key can't be used: {problem}") from None
        made.set_alpn_protocols(self.protocols)
        if paths.client_ca:
            certificates(paths.client_ca)  # says which file is wrong
            made.load_verify_locations(cafile=paths.client_ca)
            made.verify_mode = ssl.CERT_REQUIRED
        if paths.revoked:
            try:
                made.load_verify_locations(cafile=paths.revoked)
            except OSError as problem:
                raise KeysError(f"{paths.revoked} can't be used: {problem}") from None
            made.verify_flags |= ssl.VerifyFlags.VERIFY_CRL_CHECK_LEAF
        return made, facts

    def _choose(self, handshake: ssl.SSLObject, name: str | None, context: ssl.SSLContext) -> int | None:
        """Each handshake goes on with the newest context; none is made with a certificate that has ended."""
        if not usable(self.facts, time.time()):
            self.refused += 1
            return ssl.ALERT_DESCRIPTION_CERTIFICATE_EXPIRED
        handshake.context = self.present
        return None

    # Rotation

    def renew(self, paths: Paths) -> None:
        """Read all files anew, by these paths; what can't be used changes nothing."""
        try:
            self.present, self.facts = self._load(paths)
            self.paths = paths
        except OSError as problem:
            self.log(f"the old certificate is kept: {problem}")
        self.seen = self._stamps()

    def look(self) -> None:
        """Read the files anew where one has changed, and say what ends soon."""
        if self._stamps() != self.seen:
            self.renew(self.paths)
        line = self.told.due(self.facts, time.time())
        if line:
            self.log(line)

    def _stamps(self) -> tuple[tuple[int, int], ...]:
        """When each file changed, and which file it is."""
        found = []
        for path in (self.paths.cert, self.paths.key, self.paths.client_ca, self.paths.revoked):
            try:
                told = os.stat(path)
                found.append((told.st_mtime_ns, told.st_ino))
            except OSError:
                found.append((0, 0))
        return tuple(found)

    # Peers

    def admits(self, peer: dict[str, object] | None) -> bool:
        """Whether a client that has shaken hands is one of the peers, by its certificate (`getpeercert`)."""
        if not self.paths.peers:
            return True
        told = peer.get("subjectAltName", ()) if peer else ()
        names = [str(pair[1]) for pair in told] if isinstance(told, tuple) else []
        if is_peer(names, self.paths.peers):
            return True
        self.refused += 1
        self.log(f"a client with the certificate of {', '.join(names)[:100] or 'nobody'} is no peer")
        return False
