"""What a request's class and its earlier attempts allow: another attempt, until when, and a refusal.

The rules hold whatever the choice of a server prefers. No clock, no I/O; times are in nanoseconds.
"""

from __future__ import annotations

from garnethaven.interface import DedupScope, Idempotency, Settings
from garnethaven.records import PendingRequest, Server

# Share of the dedup window in which a retry has to reach the server and end; the rest allows for transit.
DEDUP_WINDOW_SHARE = 0.9


def is_attempt_allowed(settings: Settings, pending: PendingRequest, server: Server, now: int) -> bool:
    """Whether another attempt of this request may be sent to this server now."""
    if now >= pending.deadline or len(pending.attempts) >= settings.max_attempts or pending.streaming:
        return False
    if not settings.hedging and any(attempt.open for attempt in pending.attempts):
        return False
    idempotency = pending.request_class.effect
    if idempotency is Idempotency.RETRYABLE:
        return True
    ran = next((attempt for attempt in pending.attempts if attempt.may_have_run), None)
    if ran is None:
        return True
    if idempotency is Idempotency.FRAGILE:  # it could take effect twice
        return False
    same_group = is_same_dedup_group(pending.request_class.scope, ran.server, server)
    return same_group and now < attempt_deadline(pending)


def attempt_deadline(pending: PendingRequest) -> int:
    """Return when the next attempt has to end: by the request's deadline, so that no answer is late.

    A deduplicated request that may have run also has to end within its dedup window: an attempt that
    arrives late, or only after a network partition ends, would run at a group that has forgotten the
    earlier attempt.
    """
    ran = next((attempt for attempt in pending.attempts if attempt.may_have_run), None)
    if ran is None or pending.request_class.effect is not Idempotency.DEDUP:
        return pending.deadline
    window = int(pending.request_class.dedup_window * DEDUP_WINDOW_SHARE)
    return min(pending.deadline, ran.sent_at + window)


def is_refusal_allowed(pending: PendingRequest) -> bool:
    """Whether the request may be refused: a refusal promises the client that a retry is harmless."""
    request_class = pending.request_class
    if request_class.effect is Idempotency.RETRYABLE:
        return True
    if not any(attempt.may_have_run for attempt in pending.attempts):
        return True
    return request_class.effect is Idempotency.DEDUP and request_class.scope is DedupScope.ALL


def is_same_dedup_group(scope: DedupScope, one: Server, other: Server) -> bool:
    """Whether both servers deduplicate requests together."""
    if scope is DedupScope.ALL:
        return True
    return one.cell == other.cell if scope is DedupScope.CELL else one.zone == other.zone
