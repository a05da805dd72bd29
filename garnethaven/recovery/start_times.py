"""When servers started, as far as this process may believe it. No I/O, no clock.

A list tells a start by a wall clock: of the server's machine or of discovery's, read against this machine's.
Any of them may be wrong or be stepped, by seconds or by an hour. Slow start is a span of real time, so what
this process saw on its own monotonic clock bounds what a list claims.

Let `now` be when a list first names a *life* of a server (its id with one claimed start), and `absent_at` the
last moment at which a sound list did not name it: `now` itself for what comes on an open watch, which tells
changes at once, else the time of the sound answer before; none before the first answer. Discovery may itself
hear of a start late, by `LIST_LAG` at the most. Then the life began between `absent_at - LIST_LAG` and `now`:

| claimed start c | the start that counts |
| --- | --- |
| 0 (long ago) | 0: no clock is read for it |
| absent_at - LIST_LAG <= c <= now | c |
| c > now | now: a start that is to come can't hold the server cold for longer than its ramp |
| c < absent_at - LIST_LAG | now: it was not there, so the clock is wrong; the coldest that it can be |

So a wrong clock can make a server look older by `LIST_LAG` at the most, and younger by the time between its
start and the moment it is first seen. The first list after the start of this process has nothing to be held
against: its claims up to `now` are believed.

A start that counts is fixed when its life is first seen: later steps of any clock don't move it. A life that
is listed again after it was missing keeps it for `REMEMBERED` (lists leave out servers that drain). Where the
claims for one id go back, the latest start that ever counted for it holds.

Harm: a list that comes later than `LIST_LAG` makes a server that has been warming up begin again; that costs
a share of one server for a while.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

SECOND = 1_000_000_000
LIST_LAG = 6 * SECOND  # between a start and discovery's telling of it, as for any change
REMEMBERED = 60 * SECOND  # for which the starts of a server that is no longer listed are kept
MAX_LIVES = 4  # claimed starts of one id that are told apart; a server seldom starts that often in a minute


@dataclass(slots=True)
class Lives:
    """What is known of one id: the start that counts for each claimed one, and when it went."""

    starts: dict[int, int] = field(default_factory=dict)
    latest: int | None = None  # of the starts that count, but for "long ago"
    gone_at: int | None = None  # None: it is listed


class StartTimes:
    """The starts that count, by server id. All times are nanoseconds of this machine's monotonic clock."""

    def __init__(self) -> None:
        self.known: dict[int, Lives] = {}
        self.gone: dict[int, None] = {}  # ids that are not listed, the longest gone first

    def judge(self, endpoint: int, claimed: int, now: int, absent_at: int | None) -> int:
        """The start that counts for a listed server; 0 for long ago.

        `claimed` is the start by the list, `now` the time at which that was heard; `absent_at` as above.
        """
        if not claimed and endpoint not in self.known:
            return 0
        lives = self.known.setdefault(endpoint, Lives())
        lives.gone_at = None
        self.gone.pop(endpoint, None)
        if claimed not in lives.starts:
            self._add(lives, claimed, now, absent_at)
        return lives.latest or 0

    @staticmethod
    def _add(lives: Lives, claimed: int, now: int, absent_at: int | None) -> None:
        """Note a life that is seen for the first time."""
        earliest = absent_at - LIST_LAG if absent_at is not None else None
        believed = claimed
        if claimed and (claimed > now or (earliest is not None and claimed < earliest)):
            believed = now
        if len(lives.starts) >= MAX_LIVES:
            del lives.starts[next(iter(lives.starts))]
        lives.starts[claimed] = believed
        if claimed:
            lives.latest = believed if lives.latest is None else max(lives.latest, believed)

    def leave(self, endpoint: int, now: int) -> None:
        """A server is listed no more."""
        lives = self.known.get(endpoint)
        if lives is not None and lives.gone_at is None:
            lives.gone_at = now
            self.gone[endpoint] = None

    def leave_all_but(self, listed: Iterable[int], now: int) -> None:
        """A full list names these and no others."""
        named = set(listed)
        for endpoint in [known for known in self.known if known not in named]:
            self.leave(endpoint, now)

    def forget_old(self, now: int) -> None:
        """Drop the servers that have been gone for `REMEMBERED`."""
        while self.gone:
            endpoint = next(iter(self.gone))
            gone_at = self.known[endpoint].gone_at
            if gone_at is not None and now - gone_at < REMEMBERED:
                return
            del self.gone[endpoint], self.known[endpoint]
