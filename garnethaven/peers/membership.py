"""One member's view of the membership, and whom it probes next. No clock, no I/O.

Theory (as in SWIM and Lifeguard). A member is identified by its name. What is known of it is a version
(incarnation, heartbeat) with a state; of two reports the one with the larger version wins:

| state | set by | ends with |
| --- | --- | --- |
| ALIVE | a row of the member itself, from any sender | |
| SUSPECT | a member whose probes, direct and via `INDIRECT_PROBES` others, failed | a later heartbeat |
| GONE | any member that has had it as SUSPECT for `suspicion_timeout` | a later heartbeat |
| LEFT | the member itself, at a planned shutdown | a later incarnation |

Every heartbeat refutes a suspicion: its version is larger, whoever forwards it. So a live member that reaches
anyone who reaches this one does not stay GONE, and a dead one sends no further heartbeat: its last version
becomes SUSPECT and then GONE everywhere.

*GONE members are not removed.* A partitioned member looks like a crashed one. It counts in shares until it
has been silent for `forget_after`, and is probed occasionally all that time, so that a healed partition is
found without any operator action. A member that has LEFT no longer counts.

*Local health.* A member that receives no answers has most likely lost its own link. `health_penalty` grows
with each round of probes without any answer; it stretches this member's timeouts, and from
`ISOLATION_THRESHOLD` on the member suspects no one and reports itself as isolated. One round with an answer
halves it: where half of the others are dead, half of the rounds have no answer, and with decrements of one
the penalty would not fall.

Probe order: all others in random order, reshuffled after each round, so that between two probes of the same
member there are at most two rounds; one in `GONE_PROBE_PERIODS` periods also probes a GONE member.
Bounds: `max_members` members, `MAX_PENDING_PROBES` probes, `MAX_UPDATES_PER_DATAGRAM` state updates in a
datagram.

Times are integer nanoseconds of the caller's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random
from typing import NamedTuple

INDIRECT_PROBES = 3  # members asked to probe one that does not answer
SUSPICION_PERIODS_FACTOR = 3.0  # suspicion timeout: this times log2(members), in periods
MAX_HEALTH_PENALTY = 8
ISOLATION_THRESHOLD = 3  # health penalty at which this member counts as isolated
GONE_PROBE_PERIODS = 5  # a GONE member is probed once in this many periods
MAX_UPDATES_PER_DATAGRAM = 6
RETRANSMIT_FACTOR = 3  # each state update is sent this many times log2(members)
MAX_PENDING_PROBES = 4096  # probes without an answer yet; beyond it the oldest is dropped
LATE_ANSWER_PERIODS = 8  # minimum time an unanswered probe is kept: a late answer is still used


class State(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class StateUpdate(NamedTuple):
    """A report of one member about another's state."""

    name: str
    incarnation: int
    heartbeat: int
    state: int


class Probe(NamedTuple):
    """A probe to send to the member at address `at`; `about`: a third member that it probes first, or ""."""

    nonce: int
    name: str
    at: str
    about: str


@dataclass(slots=True)
class Member:
    """Another member as this one sees it."""

    name: str
    at: str
    listed: bool  # in the operator's file, which also gives its address
    incarnation: int = 0
    heartbeat: int = -1
    state: State = State.ALIVE
    state_since: int = 0  # start of the current state
    last_heard: int = 0  # when its version last increased

    @property
    def version(self) -> tuple[int, int, int]:
        return self.incarnation, self.heartbeat, self.state


@dataclass(slots=True)
class PendingProbe:
    name: str
    sent_at: int
    about: str = ""
    version: tuple[int, int] = (0, -1)  # version of the probed member when the probe was sent
    direct: bool = True
    answered: bool = False
    indirect_sent: bool = False


@dataclass(slots=True)
class PeerSettings:
    """Settings of one member; times in nanoseconds."""

    period: int
    probes_per_period: int
    forget_after: int  # silence after which a member is no longer counted
    max_members: int  # members, including this one


@dataclass(slots=True)
class QueuedUpdate:
    update: StateUpdate
    sends_left: int


@dataclass(slots=True)
class Changes:
    """Log lines and names of removed members since the last `take_changes`."""

    lines: list[str] = field(default_factory=list)
    forgotten: list[str] = field(default_factory=list)


class Membership:
    """One member's view. `own` is its name, `incarnation` that of its process."""

    def __init__(
        self,
        own: str,
        incarnation: int,
        rules: PeerSettings,
        listed: Iterable[tuple[str, str]],
        rng: Random,
        now: int,
    ) -> None:
        self.own = own
        self.incarnation = incarnation
        self.rules = rules
        self.rng = rng
        self.members: dict[str, Member] = {}
        for name, at in listed:
            if name != own:
                self.members[name] = Member(name, at, True, state_since=now, last_heard=now)
        self.pending_probes: dict[int, PendingProbe] = {}
        self.probe_order: list[str] = []  # names of the members to probe next, the next one last
        self.update_queue: dict[str, QueuedUpdate] = {}
        self.rounds = 0
        self.extra = 0  # of the last round's probes, those beyond the usual number; they come last
        self.health_penalty = 0
        self.answers_this_round = 0
        self.left_out = 0
        self.changes = Changes()
        self.false_suspicions = 0  # reports by others that this member is SUSPECT or GONE

    def set_listed(self, now: int, listed: Iterable[tuple[str, str]]) -> None:
        """Apply a new list from the operator's file; unlisted members stay like joined ones."""
        names = dict(listed)
        for name, at in names.items():
            member = self.members.get(name)
            if member is not None:
                member.listed, member.at = True, at
            elif name != self.own:
                self.members[name] = Member(name, at, True, state_since=now, last_heard=now)
        for member in self.members.values():
            member.listed = member.name in names

    # Sizes and timeouts

    def member_count(self) -> int:
        """The number of members, including this one and silent ones, excluding those that have left."""
        return 1 + sum(member.state is not State.LEFT for member in self.members.values())

    def live(self) -> list[Member]:
        return [member for member in self.members.values() if member.state <= State.SUSPECT]

    def is_isolated(self) -> bool:
        """Whether this member has probably lost its own link."""
        return self.health_penalty >= ISOLATION_THRESHOLD

    def suspicion_timeout(self) -> int:
        """How long a SUSPECT member has to send a later heartbeat before it is GONE."""
        periods = (
            SUSPICION_PERIODS_FACTOR * math.log2(max(2, self.member_count())) * (1 + self.health_penalty)
        )
        return int(periods * self.rules.period)

    def probe_timeout(self) -> int:
        """How long a direct probe waits before indirect probes are sent."""
        return self.rules.period * (1 + self.health_penalty)

    # Steps

    def tick(self, now: int, extra: int = 0) -> list[Probe]:
        """Advance by one period; return the probes to send, `extra` beyond the usual number."""
        self.rounds += 1
        probes = self._process_unanswered(now)
        self._update_states(now)
        if self.live():
            self.health_penalty = (
                self.health_penalty // 2
                if self.answers_this_round
                else min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
            )
        self.answers_this_round = 0
        if self.rounds % GONE_PROBE_PERIODS == 0:
            gone = [member for member in self.members.values() if member.state >= State.GONE]
            if gone:
                probes.append(self._start_probe(now, self.rng.choice(gone)))
        usual = min(self.rules.probes_per_period, len(self.members))
        self.extra = 0
        for index in range(min(usual + extra, len(self.members))):
            member = self._next_member()
            if member is not None:
                probes.append(self._start_probe(now, member))
                self.extra += index >= usual
        return probes

    def _next_member(self) -> Member | None:
        """The next member in this round's random order."""
        for _ in range(2):
            while self.probe_order:
                member = self.members.get(self.probe_order.pop())
                if member is not None and member.state <= State.SUSPECT:
                    return member
            self.probe_order = [member.name for member in self.live()]
            self.rng.shuffle(self.probe_order)
        return None

    def probe_for(self, now: int, name: str) -> Probe | None:
        """Probe this member on behalf of another; the result does not change the local view."""
        member = self.members.get(name)
        if member is None:
            return None
        probe = self._start_probe(now, member)
        self.pending_probes[probe.nonce].direct = False
        return probe

    def _start_probe(self, now: int, member: Member, about: str = "") -> Probe:
        nonce = self.rng.getrandbits(62)
        target = self.members[about or member.name]
        version = (target.incarnation, target.heartbeat)
        self.pending_probes[nonce] = PendingProbe(member.name, now, about, version, direct=not about)
        if len(self.pending_probes) > MAX_PENDING_PROBES:
            del self.pending_probes[next(iter(self.pending_probes))]
        return Probe(nonce, member.name, member.at, about)

    def _process_unanswered(self, now: int) -> list[Probe]:
        """Send indirect probes for members that did not answer in time; drop expired probes."""
        probes: list[Probe] = []
        oldest_kept = now - max(LATE_ANSWER_PERIODS * self.rules.period, 2 * self.suspicion_timeout())
        for nonce, probe in list(self.pending_probes.items()):
            if probe.sent_at < oldest_kept:
                del self.pending_probes[nonce]
                continue
            overdue = probe.direct and not probe.answered and not probe.indirect_sent
            if overdue and now - probe.sent_at >= self.probe_timeout():
                probe.indirect_sent = True
                probes += self._indirect_probes(now, probe)
        return probes

    def _indirect_probes(self, now: int, probe: PendingProbe) -> list[Probe]:
        target = self.members.get(probe.name)
        if (
            target is None
            or target.state >= State.GONE
            or (target.incarnation, target.heartbeat) > probe.version
        ):
            return []  # a newer version has arrived since
        others = [member for member in self.live() if member.name != target.name]
        chosen = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        return [self._start_probe(now, helper, target.name) for helper in chosen]

    def _update_states(self, now: int) -> None:
        """Suspect members without an answer to direct and indirect probes; expire suspect and silent ones."""
        timeout = 2 * self.probe_timeout()
        for probe in self.pending_probes.values():
            if not probe.indirect_sent or probe.answered or now - probe.sent_at < timeout:
                continue
            member = self.members.get(probe.name)
            probe.answered = True  # evaluated only once
            if member is None or self.is_isolated():
                continue
            if member.state is State.ALIVE and (member.incarnation, member.heartbeat) == probe.version:
                self._set_state(now, member, State.SUSPECT)
        suspicion_timeout = self.suspicion_timeout()
        for member in list(self.members.values()):
            if (
                member.state is State.SUSPECT
                and now - member.state_since >= suspicion_timeout
                and not self.is_isolated()
            ):
                self._set_state(now, member, State.GONE)
            elif member.state is not State.LEFT and now - member.last_heard >= self.rules.forget_after:
                self._expire(now, member)
            elif member.state is State.LEFT and now - member.state_since >= self.rules.forget_after:
                self._drop(member)

    def _set_state(
        self, now: int, member: Member, state: State, version: tuple[int, int] | None = None
    ) -> None:
        if version is not None:
            member.incarnation, member.heartbeat = version
        if state is not member.state:
            if state is State.LEFT:
                self.changes.forgotten.append(member.name)
            if state >= State.GONE or member.state >= State.GONE:
                change = {State.GONE: "is silent", State.LEFT: "has left"}.get(state, "is back")
                self.changes.lines.append(f"{member.name} {change}")
            member.state_since = now
            member.state = state
        self._queue_update(member)

    def _queue_update(self, member: Member) -> None:
        sends = RETRANSMIT_FACTOR * math.ceil(math.log2(max(2, self.member_count())))
        update = StateUpdate(member.name, member.incarnation, member.heartbeat, int(member.state))
        self.update_queue[member.name] = QueuedUpdate(update, sends)

    def _expire(self, now: int, member: Member) -> None:
        """Stop counting a member that was silent for `forget_after`: its share goes to the others."""
        if member.listed:
            if member.state is not State.LEFT:
                self.changes.lines.append(
                    f"{member.name} is no longer counted: silent for longer than forget_s"
                )
                member.state, member.state_since = State.LEFT, now
                self.changes.forgotten.append(member.name)
        else:
            self._drop(member)

    def _drop(self, member: Member) -> None:
        if not member.listed:
            self.members.pop(member.name, None)
            self.update_queue.pop(member.name, None)
            self.changes.forgotten.append(member.name)

    # Incoming messages

    def record_answer(self, now: int, nonce: int) -> int | None:
        """Record an answer; return when its probe was sent, None if no pending probe has that nonce."""
        probe = self.pending_probes.get(nonce)
        if probe is None:
            return None
        probe.answered = True
        self.answers_this_round += 1
        return probe.sent_at

    def record_heartbeat(self, now: int, name: str, incarnation: int, heartbeat: int, at: str = "") -> None:
        """Record a row made by the member itself, whoever forwarded it."""
        if name == self.own:
            return
        member = self.members.get(name)
        if member is None:
            self._add_joined(now, name, incarnation, heartbeat, at)
            return
        if at and not member.listed:
            member.at = at
        if (incarnation, heartbeat) <= (member.incarnation, member.heartbeat):
            return
        if member.state is State.LEFT and incarnation <= member.incarnation:
            return  # sent before the member left
        member.last_heard = now
        if member.state is State.ALIVE:
            member.incarnation, member.heartbeat = incarnation, heartbeat
        else:
            self._set_state(now, member, State.ALIVE, (incarnation, heartbeat))

    def reset_silence_timer(self, now: int, name: str) -> None:
        """Restart the silence timer after a new row, even if a later incarnation has been reported."""
        self.members[name].last_heard = now

    def _add_joined(self, now: int, name: str, incarnation: int, heartbeat: int, at: str) -> None:
        if not at:
            return  # without an address it can't be probed
        if len(self.members) + 1 >= self.rules.max_members:
            self.left_out += 1
            return
        member = Member(name, at, False, incarnation, heartbeat, state_since=now, last_heard=now)
        self.members[name] = member
        self.changes.lines.append(f"{member.name} has joined")

    def apply_update(self, now: int, update: StateUpdate) -> None:
        """Apply another member's report; the larger version wins."""
        if update.name == self.own:
            if update.state in (State.SUSPECT, State.GONE) and update.incarnation == self.incarnation:
                self.false_suspicions += 1  # the next heartbeat refutes it
            return
        if not State.ALIVE <= update.state <= State.LEFT:
            return
        member = self.members.get(update.name)
        if member is None or update.state == State.ALIVE:  # only its own rows prove that it is alive
            return
        if (update.incarnation, update.heartbeat, update.state) <= member.version:
            return
        if (update.incarnation, update.heartbeat) > (member.incarnation, member.heartbeat):
            member.last_heard = now  # another member has heard from it more recently
        self._set_state(now, member, State(update.state), (update.incarnation, update.heartbeat))

    def leave_update(self, heartbeat: int) -> StateUpdate:
        """The update that announces this member's planned shutdown."""
        return StateUpdate(self.own, self.incarnation, heartbeat, int(State.LEFT))

    def take_updates(self) -> list[StateUpdate]:
        """State updates for one datagram: those sent least often first."""
        chosen = sorted(self.update_queue.values(), key=lambda queued: -queued.sends_left)[
            :MAX_UPDATES_PER_DATAGRAM
        ]
        for queued in chosen:
            queued.sends_left -= 1
            if queued.sends_left <= 0:
                self.update_queue.pop(queued.update.name, None)
        return [queued.update for queued in chosen]

    def take_changes(self) -> Changes:
        changes, self.changes = self.changes, Changes()
        return changes
