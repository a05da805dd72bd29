"""Decision tokens are valid only unchanged, for their own call and class, and within their time."""

from __future__ import annotations

import base64
from random import Random

import pytest

from garnethaven.extproc.tokens import SKEW_MS, Rejection, TokenPayload, TokenSigner

OLD, NEW = b"o" * 16, b"n" * 20
PAYLOAD = TokenPayload(server=int.from_bytes(b"s-5be2a07c", "big"), cell=3, zone=1, sent_ms=1_700_000_000_000)
NOW = PAYLOAD.sent_ms + 500


def signed(keys: tuple[bytes, ...] = (OLD,), call_id: bytes = b"c1", class_index: int = 0) -> str:
    token = TokenSigner(keys, 3000).sign(PAYLOAD, call_id, class_index)
    assert token is not None
    return token


def test_a_good_token_tells_what_was_signed() -> None:
    assert TokenSigner((OLD,), 3000).check(signed(), b"c1", 0, NOW) == PAYLOAD


@pytest.mark.parametrize(("call_id", "grade"), [(b"c2", 0), (b"c1", 1), (b"", 0), (b"c1:", 0)])
def test_a_token_is_good_for_its_own_call_and_class_only(call_id: bytes, grade: int) -> None:
    assert TokenSigner((OLD,), 3000).check(signed(), call_id, grade, NOW) is Rejection.FORGED


@pytest.mark.parametrize(
    ("now", "good"),
    [
        (PAYLOAD.sent_ms, True),
        (PAYLOAD.sent_ms - SKEW_MS, True),
        (PAYLOAD.sent_ms - SKEW_MS - 1, False),
        (PAYLOAD.sent_ms + 3000, True),
        (PAYLOAD.sent_ms + 3001, False),
    ],
)
def test_a_token_has_its_time(now: int, good: bool) -> None:
    result = TokenSigner((OLD,), 3000).check(signed(), b"c1", 0, now)
    assert result == (PAYLOAD if good else Rejection.EXPIRED)


def test_keys_are_rotated_without_a_gap() -> None:
    before, during, after = (
        TokenSigner((OLD,), 3000),
        TokenSigner((NEW, OLD), 3000),
        TokenSigner((NEW,), 3000),
    )
    old, new = signed((OLD,)), signed((NEW, OLD))
    assert during.check(old, b"c1", 0, NOW) == during.check(new, b"c1", 0, NOW) == PAYLOAD
    assert after.check(new, b"c1", 0, NOW) == PAYLOAD
    assert after.check(old, b"c1", 0, NOW) is Rejection.FORGED
    assert before.check(new, b"c1", 0, NOW) is Rejection.FORGED


def test_without_a_key_there_are_no_tokens() -> None:
    tokens = TokenSigner((), 3000)
    assert tokens.sign(PAYLOAD, b"c1", 0) is None
    assert tokens.check(signed(), b"c1", 0, NOW) is Rejection.NO_KEY


def test_a_short_key_is_no_key() -> None:
    with pytest.raises(ValueError, match="16 bytes"):
        TokenSigner((b"short",), 3000)


def test_any_change_of_a_token_is_noticed() -> None:
    raw = bytearray(base64.urlsafe_b64decode(signed() + "=="))
    tokens, rng = TokenSigner((OLD,), 3000), Random(3)
    for _ in range(300):
        changed = bytearray(raw)
        changed[rng.randrange(len(raw))] ^= 1 << rng.randrange(8)
        text = base64.urlsafe_b64encode(changed).decode().rstrip("=")
        assert isinstance(tokens.check(text, b"c1", 0, NOW), Rejection)


@pytest.mark.parametrize("text", ["", "x", "=", "é", "A" * 5000, "AQ", "AQAAAAAAAAAAAAAA", "\0", "a b"])
def test_what_is_no_token_is_said_to_be_none(text: str) -> None:
    assert isinstance(TokenSigner((OLD,), 3000).check(text, b"c1", 0, NOW), Rejection)
