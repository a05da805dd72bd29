"""What may be believed of a key-value registry that is followed through breaks. No I/O, no clock.

A registry numbers its changes: each has a *revision* (etcd's revision, Consul's index), and each answer tells
up to which one it goes. Held here are the entries as of one revision R, so that every statement is about all
of the registry at one moment. What a source hears is an event here; what it should do next is an order.

| standing | holds | means |
| --- | --- | --- |
| reading | nothing | nothing whole has been heard yet |
| following | all as of R | what comes next is heard |
| broken | all as of R | contact is lost: the last list serves, for as long as that lasts |
| catching up | all as of R | contact is back, but what happened in the gap is not known yet |
| uncertain | all as of R | an answer lay behind R, without a proof that the registry itself went back |

| event | standing | next | orders |
| --- | --- | --- | --- |
| opened | reading | reading | read all |
| opened | any other | catching up | watch after R where the registry keeps its history, else read all |
| snapshot at r >= R | any | following | tell the difference, contact is good, watch after r |
| snapshot at r < R, unproven | any | uncertain | read all, proven |
| snapshot at r < R, proven | any | following | the same as at r >= R: the history began anew |
| watching, at h >= R | catching up | following once R >= h | contact is good, once it is following |
| watching, or quiet, at h < R | any | uncertain | read all, proven |
| changes up to r > R | following, catching up | the same | tell them |
| changes up to r <= R | any | the same | none: told twice or out of order |
| quiet up to r >= R | following, catching up | following | contact is good |
| doubted | any other than reading | uncertain | read all, proven |
| compacted | any | catching up | read all, proven |
| lost | any | broken; reading stays reading | contact is lost |

*Proven* is an answer for which the registry's leader vouches (etcd's linearizable reads, Consul's consistent
mode). Only a proven answer may move R backwards.

A removal is always found, and only then believed:

1. A removal that is heard has a revision above R; all that came before it has been heard, for changes come in
   the order of their revisions and R moves only to where an answer has told everything.
2. A removal in a gap is heard when the watch goes on after R; or, where history is gone, the key is *absent*
   from a snapshot at r >= R. The key was there at R, so it ended in between: absence is proof.
3. A snapshot behind R proves nothing: the key may have been made after it. It is not believed, either way,
   unless it is proven; then R itself is no longer of this history, and the snapshot is all there is.
4. Silence is never a removal.

No key comes back that had ended: every answer that could still hold it lies behind R.

A registry that answers for one name at a time (ephemeral nodes: the names as a list, each node by itself) has
no one revision for all that is held. `Names` keeps the same two statements for each name: a name that is
absent from a list that was asked for after it was held has ended, and a node that was made no later than its
own known end is told by a host that lags. Its standings are those above, by the same words.

Bounds: `ENTRIES_MOST` entries. Beyond it the rest, in the order of the keys, is left out and counted, so that
a registry that is used for something else as well can't take this program's memory.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

ENTRIES_MOST = 20_000
ENDED_MOST = 20_000  # ends of names that are remembered; beyond it the oldest could be told of again


class Standing(Enum):
    READING = "reading"
    FOLLOWING = "following"
    BROKEN = "broken"
    CATCHING_UP = "catching up"
    UNCERTAIN = "uncertain"


@dataclass(slots=True, frozen=True)
class Entry:
    """One key's value. `created` tells lives apart: a key that was removed and put back has another.

    Sources keep no more of a value than it takes to see that it is too large: what is held is bounded.
    """

    value: bytes
    created: int
    modified: int


# Orders


@dataclass(slots=True, frozen=True)
class Read:
    """Read all there is; `proven`: from the registry's leader."""

    proven: bool = False


@dataclass(slots=True, frozen=True)
class Watch:
    """Ask for all changes after a revision."""

    after: int


@dataclass(slots=True, frozen=True)
class Tell:
    """These keys have changed; None: removed."""

    entries: Mapping[str, Entry | None]
    whole: bool = False  # after it, all that is held has been told


@dataclass(slots=True, frozen=True)
class Contact:
    """Whether what is held is as the registry has it, as far as can be known."""

    good: bool


Order = Read | Watch | Tell | Contact

LIVE = (Standing.FOLLOWING, Standing.CATCHING_UP)


class CatchUp:
    """`keeps_history`: the registry can tell the changes after a revision (etcd), not only all there is."""

    def __init__(self, keeps_history: bool) -> None:
        self.keeps_history = keeps_history
        self.standing = Standing.READING
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.left_out = 0  # entries beyond the bound, at the last snapshot
        self.behind = 0  # answers that lay behind what is held
        self.began_anew = 0  # times that the registry's history began anew
        self.head = 0  # the revision up to which a gap reaches

    # Contact

    def opened(self) -> list[Order]:
        """An endpoint can be asked."""
        if self.standing is Standing.READING:
            return [Read()]
        self.standing = Standing.CATCHING_UP
        return [Watch(self.revision)] if self.keeps_history else [Read()]

    def lost(self) -> list[Order]:
        if self.standing is not Standing.READING:
            self.standing = Standing.BROKEN
        return [Contact(False)]

    # Answers

    def snapshot(self, revision: int, entries: Mapping[str, Entry], proven: bool) -> list[Order]:
        """All there is, as of a revision."""
        if revision < self.revision:
            if not proven:
                return self._lies_behind()
            self.behind += 1
            self.began_anew += 1
        kept = dict(entries)
        if len(kept) > ENTRIES_MOST:
            kept = {key: kept[key] for key in sorted(kept)[:ENTRIES_MOST]}
        self.left_out = len(entries) - len(kept)
        changed: dict[str, Entry | None] = {key: None for key in self.entries if key not in kept}
        changed |= {key: entry for key, entry in kept.items() if self.entries.get(key) != entry}
        self.entries, self.revision = kept, revision
        self.standing = Standing.FOLLOWING
        return [Tell(changed, whole=True), Contact(True), Watch(revision)]

    def watching(self, head: int) -> list[Order]:
        """A watch has been opened; the registry was at `head` then."""
        if self.standing not in LIVE:
            return []
        if head < self.revision:
            return self._lies_behind()
        self.head = head
        return self._caught_up()

    def changes(self, revision: int, entries: Iterable[tuple[str, Entry | None]]) -> list[Order]:
        """All changes after what was heard before, up to a revision; in the order in which they happened."""
        if self.standing not in LIVE or revision <= self.revision:
            return []
        told: dict[str, Entry | None] = {}
        for key, entry in entries:
            if entry is None:
                if self.entries.pop(key, None) is not None or key in told:
                    told[key] = None
            elif entry.modified > self.revision and (key in self.entries or len(self.entries) < ENTRIES_MOST):
                self.entries[key] = told[key] = entry
        self.revision = revision
        return [Tell(told), *self._caught_up()] if told else self._caught_up()

    def quiet(self, revision: int) -> list[Order]:
        """Nothing else has happened up to a revision: what is held is as the registry has it."""
        if self.standing not in LIVE:
            return []
        if revision < self.revision:
            return self._lies_behind()
        self.revision = revision
        return self._caught_up()

    def compacted(self) -> list[Order]:
        """What happened after the revision that is held can't be told any more."""
        self.standing = Standing.CATCHING_UP
        return [Read(proven=True)]

    def doubted(self) -> list[Order]:
        """An answer came from an endpoint that has lost its leader, or has not heard of it for too long."""
        if self.standing is Standing.READING:
            return [Read(proven=True)]
        self.standing = Standing.UNCERTAIN
        return [Contact(False), Read(proven=True)]

    def _lies_behind(self) -> list[Order]:
        """An endpoint that lags, or a history that began anew: only the registry's leader can tell."""
        self.behind += 1
        self.standing = Standing.UNCERTAIN
        return [Contact(False), Read(proven=True)]

    def _caught_up(self) -> list[Order]:
        if self.standing is Standing.CATCHING_UP and self.revision >= self.head:
            self.standing = Standing.FOLLOWING
            return [Contact(True)]
        return []


Value = TypeVar("Value")


class Lives(Generic[Value]):
    """Since when each key's present life is known, and what was made of its value.

    A registry of keys does not tell when a key was made. What stands in the very first snapshot may be of any
    age, and is no news of a start. What comes later is a start now, unless it says better itself: too cold
    costs a share of one server for a while, too warm may push it over.
    """

    def __init__(self, make: Callable[[str, Entry, int], Value | None]) -> None:
        self.make = make
        # Of each key's present life its creation, and since when it is known: wall clock, 0 where it was
        # there before anything was known.
        self.seen: dict[str, tuple[int, int]] = {}
        self.began = False

    def take(self, told: Tell, wall_ms: int) -> dict[str, Value | None]:
        """What follows for each key that changed; None: it has gone, or its value is of no use."""
        made: dict[str, Value | None] = {}
        for key, entry in told.entries.items():
            if entry is None:
                self.seen.pop(key, None)
                made[key] = None
                continue
            known = self.seen.get(key)
            if known is None or known[0] != entry.created:
                known = self.seen[key] = entry.created, wall_ms if self.began else 0
            made[key] = self.make(key, entry, known[1])
        self.began = self.began or told.whole
        return made


class Names:
    """Which names are held, by the revision of their making, and which have ended."""

    def __init__(self) -> None:
        self.held: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        self.standing = Standing.READING
        self.was_whole = False

    # Contact

    def opened(self) -> None:
        """An endpoint can be asked; all that is held has to be told anew."""
        self.standing = Standing.CATCHING_UP if self.was_whole else Standing.READING

    def lost(self) -> None:
        if self.was_whole:
            self.standing = Standing.BROKEN

    def whole(self) -> None:
        """All names have been told since contact came back."""
        self.was_whole = True
        self.standing = Standing.FOLLOWING

    # Names

    def takes(self, name: str, made: int) -> bool:
        """Hold a name that was told of; False where that is older than its known end: the endpoint lags."""
        if made <= self.ended.get(name, 0):
            self.standing = Standing.UNCERTAIN
            return False
        self.held[name] = made
        return True

    def drop(self, name: str) -> None:
        """What is told of a name is of no use; that is no end."""
        self.held.pop(name, None)

    def end(self, name: str) -> None:
        made = self.held.pop(name, None)
        if made is None:
            return
        self.ended.pop(name, None)
        self.ended[name] = made
        if len(self.ended) > ENDED_MOST:
            del self.ended[next(iter(self.ended))]

    def absent(self, listed: set[str]) -> list[str]:
        """The names that have ended, for a list without them came after they were held."""
        gone = [name for name in self.held if name not in listed]
        for name in gone:
            self.end(name)
        return gone
