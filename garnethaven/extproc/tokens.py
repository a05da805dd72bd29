"""Decision tokens: signed records of an attempt, which a later process can verify.

Theory. A restarted process no longer has the server to which a request was sent, which the retry rules need:
a request with an idempotency key that may have run can be retried only in the cell that deduplicates it, and
only within the deduplication window. So each decision carries a token that the proxy returns with a retry:
server, cell, zone and send time, authenticated together with class and call id by a keyed hash (HMAC). Only
a holder of the key can create a token, and it is valid for its own call id and class only.

| retry by the proxy | treated as |
| --- | --- |
| with a valid token | sent once to that server at that time: the rules of the class decide |
| without a token, or with a forged, foreign or expired one | may have run anywhere: not resent, not refused |

The first key signs and all keys verify. To rotate, put a new key first and remove the old one after the
longest deadline. Without a key no token is issued and every retry is of the second kind: this is safe, but
requests with an idempotency key lose their retries.

Times are wall-clock times, because another process reads them. A clock set back by more than `SKEW_MS`, or
forward beyond a token's validity, makes tokens count as expired, which is safe.
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
PREFIX = struct.Struct(">BBQQHB")  # version, key mark, send time in ms, cell, zone, bytes of the server id
TAG_BYTES = 16
SKEW_MS = 1_000
MAX_TOKEN_LENGTH = 1_024  # characters


class Rejection(Enum):
    """Why a token is rejected."""

    NO_KEY = "no key is set"
    UNREADABLE = "it can't be read"
    FORGED = "its hash is not ours, or it is of another call"
    EXPIRED = "it is too old, or of a time to come"


@dataclass(slots=True, frozen=True)
class TokenPayload:
    """The attempt that a valid token records: its server and its send time (Unix time, milliseconds)."""

    server: int
    cell: int
    zone: int
    sent_ms: int


class TokenSigner:
    """Signs and verifies tokens.

    `keys` are secrets of at least 16 bytes, the signing one first; without keys no token is issued. Tokens
    expire after `valid_ms` milliseconds. Raises ValueError for a shorter key.
    """

    def __init__(self, keys: tuple[bytes, ...], valid_ms: int) -> None:
        for key in keys:
            if len(key) < Secret.MIN_BYTES:
                raise ValueError(f"a key for tokens has to have at least {Secret.MIN_BYTES} bytes")
        self.keys = keys
        self.valid_ms = valid_ms

    def sign(self, payload: TokenPayload, call_id: bytes, class_index: int) -> str | None:
        """Return the token of a decision; None without a key or if the server id is longer than 255 bytes."""
        if not self.keys:
            return None
        server = payload.server.to_bytes((payload.server.bit_length() + 7) // 8 or 1, "big")
        if len(server) > 255:
            return None
        key = self.keys[0]
        prefix = PREFIX.pack(VERSION, key_mark(key), payload.sent_ms, payload.cell, payload.zone, len(server))
        body = prefix + server
        return (
            base64.urlsafe_b64encode(body + compute_tag(key, body, call_id, class_index)).decode().rstrip("=")
        )

    def check(self, token: str, call_id: bytes, class_index: int, now_ms: int) -> TokenPayload | Rejection:
        """Verify a token for this call; returns its payload or the reason for rejection."""
        if not self.keys:
            return Rejection.NO_KEY
        if len(token) > MAX_TOKEN_LENGTH:
            return Rejection.UNREADABLE
        try:
            raw = base64.b64decode(token + "=" * (-len(token) % 4), altchars=b"-_", validate=True)
            version, mark, sent_ms, cell, zone, length = PREFIX.unpack_from(raw)
        except (binascii.Error, ValueError, struct.error):
            return Rejection.UNREADABLE
        body, tag = raw[:-TAG_BYTES], raw[-TAG_BYTES:]
        if version != VERSION or len(body) != PREFIX.size + length or not length:
            return Rejection.UNREADABLE
        candidates = [key for key in self.keys if key_mark(key) == mark]
        if not any(
            hmac.compare_digest(tag, compute_tag(key, body, call_id, class_index)) for key in candidates
        ):
            return Rejection.FORGED
        if not sent_ms - SKEW_MS <= now_ms <= sent_ms + self.valid_ms:
            return Rejection.EXPIRED
        return TokenPayload(int.from_bytes(body[PREFIX.size :], "big"), cell, zone, sent_ms)


@lru_cache(maxsize=16)
def key_mark(key: bytes) -> int:
    """Return one byte that identifies a key without revealing anything about it."""
    return hmac.digest(key, b"mark", "sha256")[0]


def compute_tag(key: bytes, body: bytes, call_id: bytes, class_index: int) -> bytes:
    message = b"%d:%d:%s:%s" % (class_index, len(call_id), call_id, body)
    return hmac.digest(key, message, "sha256")[:TAG_BYTES]
