"""Tokens: what a decision proves to a later process about the attempt that it allowed.

Theory. A process that restarts forgets which server a request was sent to. When the proxy comes again for it,
the rules need just that: a keyed request that may have run goes only to the rack that drops its repeat, and
only within the window. So each decision carries a token that the proxy gives back: server, rack, zone, time
of sending, class and call id, under a keyed hash. Nobody but a holder of the key can make one, and it is good
for its own call id only.

| what comes again | is taken for |
| --- | --- |
| with a good token | sent once to that server at that time: the class's rules decide |
| with none, a forged, foreign or expired one | may have run anywhere: never sent again and never refused |

The first key signs, all of them check, so keys are rotated by putting a new one first and taking the old one
out after the longest deadline. Without any key no token is given, and all that comes again is of the second
kind: that is safe, and costs the retries of keyed requests.

The time is wall-clock, for it must be read by another process; a clock that is set back or forward by more
than `SKEW_MS` makes tokens count as expired, which is the safe side.
"""

from __future__ import annotations

import base64
import binascii
import hmac
import struct
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from garnethaven.tables import Secret

VERSION = 1
HEAD = struct.Struct(">BBQQHB")  # version, key's mark, sent at, rack, zone, length of the server's name
TAG = 16
SKEW_MS = 1_000
MOST = 1_024  # characters; a longer text is no token


class Flaw(Enum):
    """Why a token proves nothing."""

    NO_KEY = "no key is set"
    UNREADABLE = "it can't be read"
    FORGED = "its hash is not ours, or it is of another call"
    EXPIRED = "it is too old, or of a time to come"


@dataclass(slots=True, frozen=True)
class Proof:
    """What a good token tells of the attempt: where it went, and when (Unix time in milliseconds)."""

    server: int
    rack: int
    zone: int
    sent_ms: int


class Tokens:
    """Signs and checks. `keys` are secrets of at least 16 bytes, the signing one first; none: no tokens."""

    def __init__(self, keys: tuple[bytes, ...], valid_ms: int) -> None:
        for key in keys:
            if len(key) < Secret.MIN_BYTES:
                raise ValueError(f"a key has at least {Secret.MIN_BYTES} bytes")
        self.keys = keys
        self.valid_ms = valid_ms

    def sign(self, proof: Proof, call_id: bytes, grade: int) -> str | None:
        """The token of a decision; None without a key."""
        if not self.keys:
            return None
        server = proof.server.to_bytes((proof.server.bit_length() + 7) // 8 or 1, "big")
        if len(server) > 255:
            return None
        key = self.keys[0]
        head = HEAD.pack(VERSION, mark_of(key), proof.sent_ms, proof.rack, proof.zone, len(server))
        body = head + server
        return base64.urlsafe_b64encode(body + tag_of(key, body, call_id, grade)).decode().rstrip("=")

    def check(self, token: str, call_id: bytes, grade: int, now_ms: int) -> Proof | Flaw:
        """What the token proves for this call at this time."""
        if not self.keys:
            return Flaw.NO_KEY
        if len(token) > MOST:
            return Flaw.UNREADABLE
        try:
            raw = base64.b64decode(token + "=" * (-len(token) % 4), altchars=b"-_", validate=True)
            version, mark, sent_ms, rack, zone, length = HEAD.unpack_from(raw)
        except (binascii.Error, ValueError, struct.error):
            return Flaw.UNREADABLE
        body, tag = raw[:-TAG], raw[-TAG:]
        if version != VERSION or len(body) != HEAD.size + length or not length:
            return Flaw.UNREADABLE
        fitting = [key for key in self.keys if mark_of(key) == mark]
        if not any(hmac.compare_digest(tag, tag_of(key, body, call_id, grade)) for key in fitting):
            return Flaw.FORGED
        if not sent_ms - SKEW_MS <= now_ms <= sent_ms + self.valid_ms:
            return Flaw.EXPIRED
        return Proof(int.from_bytes(body[HEAD.size :], "big"), rack, zone, sent_ms)


@lru_cache(maxsize=16)
def mark_of(key: bytes) -> int:
    """One byte that tells keys apart without telling anything of them."""
    return hmac.digest(key, b"mark", "sha256")[0]


def tag_of(key: bytes, body: bytes, call_id: bytes, grade: int) -> bytes:
    text = b"%d:%d:%s:%s" % (grade, len(call_id), call_id, body)
    return hmac.digest(key, text, "sha256")[:TAG]
