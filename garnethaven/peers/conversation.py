"""One member's side of the gossip protocol: its requests, its answers, and what it learns. No clock, no I/O.

A sync request asks for what has changed since the last complete answer of the same member. The answer has the
most recent rows first, in at most `MAX_ANSWER_PARTS` datagrams, so that a large table takes several answers
while new rows are never queued behind old ones. A request may name a third member that the receiver probes
first. Reports of suspected members and of planned shutdowns are sent along with both.

Name conflicts. A row with this member's own name that it has not made is from an earlier incarnation, from a
later one if the machine's clock was set back (the incarnation is the start time), or from another process.
Rows of earlier incarnations were made before this process started. A younger one proves that the name is in
use; this process then goes *mute*: it publishes nothing under the name, counts only itself, logs the
conflict, and tries again after `NAME_CONFLICT_PAUSE`. Against a later incarnation it first takes a still
later one; if that happens again within `NAME_CONFLICT_PAUSE`, it goes mute too.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from garnethaven.gossip.rows import NAME_MOST, Freshness, Row, Rows
from garnethaven.peers.membership import Membership, PeerSettings, Probe, State, StateUpdate

MS = 1_000_000
SECOND = 1_000_000_000
MAX_MESSAGE_BYTES = 1150  # bytes of one message: with seal and headers, it fits a datagram of one MTU
MAX_ROW_BYTES = 900  # bytes of the topic values in one row
MAX_ANSWER_PARTS = 8  # datagrams in one answer
MAX_FORWARDED_PROBES = 256  # probes pending on behalf of others
NAME_CONFLICT_PAUSE = 60 * SECOND  # time without publishing after a name conflict
NO_ROWS = 1 << 62  # as `since`: the request is for topics only, and the answer has no rows
MAX_AGE_MS = 3_600_000

Name = Annotated[str, Meta(min_length=1, max_length=NAME_MOST)]
At = Annotated[str, Meta(max_length=64)]
Number = Annotated[int, Meta(ge=0)]


class AgedRow(msgspec.Struct, array_like=True, frozen=True):
    """A row with its age in milliseconds, and the address of its member unless the operator's file has it."""

    age_ms: Number
    row: Row
    at: At = ""


class SyncRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A request for changed rows and topic answers; `about`: a member to probe first, or "" for none."""

    nonce: Number
    name: Name
    incarnation: Number
    heartbeat: Number
    at: At
    about: Annotated[str, Meta(max_length=NAME_MOST)]
    since: Number  # the receiver's serial in its last complete answer
    serial_process: Number  # the receiver's process to which that serial belongs
    updates: Annotated[list[StateUpdate], Meta(max_length=16)] = []
    wants: Annotated[dict[str, msgspec.Raw], Meta(max_length=8)] = {}  # topic requests to the receiver


class SyncAnswer(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """One of the `parts` datagrams of an answer; `parts` is 0 if the request asked for no rows."""

    nonce: Number
    name: Name
    process: Number
    part: Number
    parts: Number
    upto: Number  # serial up to which the complete answer has all changes
    rows: Annotated[list[AgedRow], Meta(max_length=256)] = []
    updates: Annotated[list[StateUpdate], Meta(max_length=16)] = []
    gives: Annotated[dict[str, msgspec.Raw], Meta(max_length=8)] = {}  # by topic, for the requester only


class _PackedAnswer(msgspec.Struct, array_like=True, tag=2):
    """A `SyncAnswer` whose rows are already encoded; to be sent only."""

    nonce: int
    name: str
    process: int
    part: int
    parts: int
    upto: int
    rows: list[msgspec.Raw]
    updates: list[StateUpdate]
    gives: dict[str, msgspec.Raw]


Message = SyncRequest | SyncAnswer
PACK = msgspec.msgpack.Encoder().encode
decode_message = msgspec.msgpack.Decoder(Message).decode


class OutgoingMessage(NamedTuple):
    """One message to send."""

    at: str
    body: bytes


class Topic(NamedTuple):
    """A subsystem's part of each row: makes the value, and resets its counters for a new incarnation."""

    make_value: Callable[[int], Any]
    reset: Callable[[], None]


class Exchange(NamedTuple):
    """A subsystem's request to one other member, and its answer to such a request.

    `answer` raises msgspec.MsgspecError if it can't decode the request, `accept_answer` if it can't decode
    the answer.
    """

    wants: Callable[[int], Any]  # now -> request, None for no request
    answer: Callable[[int, str, msgspec.Raw], Any]  # now, requester, its request -> answer or None
    accept_answer: Callable[
        [int, int, int, msgspec.Raw], None
    ]  # now, time of request, answering process, answer


class _Received(msgspec.Struct):
    """The last complete answer of a member, and the parts of the current one."""

    process: int = 0
    through_serial: int = 0
    nonce: int = -1
    parts: set[int] = set()


class Peer:
    """One member. `incarnation` exceeds that of any earlier process of this name; `process` is random."""

    def __init__(
        self,
        own: str,
        at: str,
        incarnation: int,
        listed: list[tuple[str, str]],
        rules: PeerSettings,
        horizon: int,
        rng: Random,
        now: int,
    ) -> None:
        self.own = own
        self.at = at
        self.rng = rng
        self.process = rng.getrandbits(62)
        self.rules = rules
        self.members = Membership(own, incarnation, rules, listed, rng, now)
        self.rows = Rows(own, horizon, rules.max_members)
        self.topics: dict[str, Topic] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.extra_probes = 0  # additional members to query per period while a topic has a request
        self.decode_failures = 0  # topic requests and answers that could not be decoded
        self.heartbeat = 0
        self.started_at = now
        self.muted_this_period = False
        self.received: dict[str, _Received] = {}
        self.forwarded_probes: dict[int, tuple[str, int]] = {}  # nonce sent: requester's address and nonce
        self.own_past_incarnations: set[int] = set()  # those of this process before the current one
        self.last_conflict_at: int | None = None
        self.mute_until = 0
        self.name_conflicts = 0
        self.dropped_topics = 0
        self.lines: list[str] = []  # for the log

    # Views

    def is_muted(self, now: int) -> bool:
        """Whether this process publishes nothing, because another one has its name."""
        return now < self.mute_until

    def view(self, now: int) -> list[Row]:
        """The rows of the other counted members that share this member's view; empty while muted."""
        if self.is_muted(now):
            return []
        members = self.members.members
        return [
            row
            for row in self.rows.sharing_view(now)
            if (member := members.get(row.name)) is not None and member.state is not State.LEFT
        ]

    def horizon(self, now: int) -> Freshness:
        return self.rows.freshness(now, self.members.member_count())

    # Periodic steps

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Publish the next heartbeat; return the sync requests of this period."""
        self.muted_this_period = self.is_muted(now)
        if not self.muted_this_period:
            self.heartbeat += 1
            self.rows.publish(now, self._make_row(now))
        probes = self.members.tick(now, self.extra_probes)
        self._apply_changes()
        self.rows.forget_past(now - self.rules.forget_after)
        requests = self._topic_requests(now)
        first_extra = len(probes) - self.members.extra
        return [
            OutgoingMessage(
                probe.at, PACK(self._sync_request(probe, requests=requests, with_rows=index < first_extra))
            )
            for index, probe in enumerate(probes)
        ]

    def leave(self, now: int) -> list[OutgoingMessage]:
        """Announce a planned shutdown to the members of the next round."""
        updates = [self.members.leave_update(self.heartbeat)]
        probes = self.members.tick(now)
        return [OutgoingMessage(probe.at, PACK(self._sync_request(probe, updates))) for probe in probes]

    def _make_row(self, now: int) -> Row:
        packed_values = {name: PACK(topic.make_value(now)) for name, topic in self.topics.items()}
        while sum(map(len, packed_values.values())) > MAX_ROW_BYTES:
            self.dropped_topics += 1
            del packed_values[max(packed_values, key=lambda name: len(packed_values[name]))]
        values = {name: msgspec.Raw(value) for name, value in packed_values.items()}
        return Row(self.own, self.members.incarnation, self.heartbeat, self.rows.heard(now), values)

    def _topic_requests(self, now: int) -> dict[str, msgspec.Raw]:
        requests = {name: exchange.wants(now) for name, exchange in self.exchanges.items()}
        return {name: msgspec.Raw(PACK(request)) for name, request in requests.items() if request is not None}

    def _sync_request(
        self,
        probe: Probe,
        updates: list[StateUpdate] | None = None,
        requests: dict[str, msgspec.Raw] | None = None,
        with_rows: bool = True,
    ) -> SyncRequest:
        received = self.received.get(probe.name) or _Received()
        updates = self.members.take_updates() if updates is None else updates
        incarnation, heartbeat = (
            (0, 0) if self.muted_this_period else (self.members.incarnation, self.heartbeat)
        )
        about, since, serial_process = (
            probe.about,
            received.through_serial if with_rows else NO_ROWS,
            received.process,
        )
        sent_requests = requests if requests is not None and not about else {}
        return SyncRequest(
            probe.nonce,
            self.own,
            incarnation,
            heartbeat,
            self.at,
            about,
            since,
            serial_process,
            updates,
            sent_requests,
        )

    def _apply_changes(self) -> None:
        changes = self.members.take_changes()
        self.lines += changes.lines
        for name in changes.forgotten:
            self.rows.forget(name)
            self.received.pop(name, None)

    # Incoming messages

    def receive(self, now: int, message: Message, source: str) -> list[OutgoingMessage]:
        """Process a message from address `source`; return the messages to send."""
        for update in message.updates:
            self.members.apply_update(now, update)
        if isinstance(message, SyncRequest):
            outgoing = self._handle_request(now, message, source)
        else:
            outgoing = self._handle_answer(now, message)
        self._apply_changes()
        return outgoing

    def _handle_request(self, now: int, request: SyncRequest, source: str) -> list[OutgoingMessage]:
        if request.name != self.own:
            self.members.record_heartbeat(
                now, request.name, request.incarnation, request.heartbeat, request.at
            )
        target = self.members.members.get(request.about)
        if target is not None and target.name != request.name:
            return self._forward_probe(now, request, target.name, source)
        since = request.since if request.serial_process == self.process or request.since == NO_ROWS else 0
        topic_answers = self._topic_answers(now, request)
        return [
            OutgoingMessage(source, body)
            for body in self._pack_answers(now, request.nonce, since, topic_answers)
        ]

    def _topic_answers(self, now: int, request: SyncRequest) -> dict[str, msgspec.Raw]:
        """Answers to the requester's topic requests; a value handed over is deducted here even if lost."""
        answers = {}
        for name, topic_request in request.wants.items():
            exchange = self.exchanges.get(name)
            if exchange is None or request.name not in self.members.members:
                continue
            try:
                answer = exchange.answer(now, request.name, topic_request)
            except msgspec.MsgspecError:
                self.decode_failures += 1
                continue
            if answer is not None:
                answers[name] = msgspec.Raw(PACK(answer))
        return answers

    def _forward_probe(
        self, now: int, request: SyncRequest, about: str, source: str
    ) -> list[OutgoingMessage]:
        """Probe a third member for one that can't reach it; the answer is sent on when it arrives."""
        probe = self.members.probe_for(now, about)
        if probe is None:
            return []
        self.forwarded_probes[probe.nonce] = (source, request.nonce)
        if len(self.forwarded_probes) > MAX_FORWARDED_PROBES:
            del self.forwarded_probes[next(iter(self.forwarded_probes))]
        return [OutgoingMessage(probe.at, PACK(self._sync_request(probe)))]

    def _pack_answers(
        self, now: int, nonce: int, since: int, topic_answers: dict[str, msgspec.Raw] | None = None
    ) -> list[bytes]:
        """Rows changed after serial `since`, latest first, in parts; the first part has the topic answers."""
        topic_answers = topic_answers or {}
        members, parts = self.members.members, [[]]  # type: ignore[var-annotated]
        size = sum(len(bytes(answer)) for answer in topic_answers.values())
        updates = self.members.take_updates()
        for kept in self.rows.since(since):
            member = members.get(kept.row.name)
            at = self.at if kept.row.name == self.own else member.at if member and not member.listed else ""
            age_ms = min(MAX_AGE_MS, -(-(now - kept.made_at) // MS))
            packed = PACK(AgedRow(age_ms, kept.row, at))
            if parts[-1] and size + len(packed) > MAX_MESSAGE_BYTES - 200:
                if len(parts) == MAX_ANSWER_PARTS:
                    break
                parts.append([])
                size = 0
            parts[-1].append(msgspec.Raw(packed))
            size += len(packed)
        return [
            PACK(
                _PackedAnswer(
                    nonce,
                    self.own,
                    self.process,
                    part,
                    len(parts) if since != NO_ROWS else 0,
                    self.rows.serial,
                    rows,
                    updates if not part else [],
                    topic_answers if not part else {},
                )
            )
            for part, rows in enumerate(parts)
        ]

    def _handle_answer(self, now: int, answer: SyncAnswer) -> list[OutgoingMessage]:
        asked_at = self.members.record_answer(now, answer.nonce)
        if asked_at is None:
            return []  # no pending request: the age of its rows is unknown
        for aged_row in answer.rows:
            self._learn_row(now, aged_row, aged_row.age_ms * MS + now - asked_at)
        self._record_part(answer)
        self._receive_topics(now, asked_at, answer)
        forwarded = self.forwarded_probes.pop(answer.nonce, None)
        if forwarded is None:
            return []
        source, nonce = forwarded
        return [OutgoingMessage(source, body) for body in self._pack_answers(now, nonce, 0)[:1]]

    def _receive_topics(self, now: int, asked_at: int, answer: SyncAnswer) -> None:
        for name, value in answer.gives.items():
            exchange = self.exchanges.get(name)
            if exchange is None:
                continue
            try:
                exchange.accept_answer(now, asked_at, answer.process, value)
            except msgspec.MsgspecError:
                self.decode_failures += 1

    def _learn_row(self, now: int, aged_row: AgedRow, age: int) -> None:
        row = aged_row.row
        if row.name == self.own:
            self._handle_own_row(now, row, age)
            return
        self.members.record_heartbeat(now, row.name, row.incarnation, row.beat, aged_row.at)
        if row.name in self.members.members and self.rows.learn(now, row, age):
            self.members.reset_silence_timer(now, row.name)

    def _record_part(self, answer: SyncAnswer) -> None:
        """Advance the serial of the next request once all parts of an answer have arrived."""
        if not answer.parts:
            return  # the request asked for no rows
        received = self.received.setdefault(answer.name, _Received())
        if received.nonce != answer.nonce:
            received.nonce, received.parts = answer.nonce, set()
        received.parts.add(answer.part)
        if len(received.parts) >= answer.parts and answer.parts < MAX_ANSWER_PARTS:
            received.process, received.through_serial = answer.process, answer.upto

    # Own name

    def _handle_own_row(self, now: int, row: Row, age: int) -> None:
        """Handle a row with this member's own name that another member has sent."""
        incarnation, made_since_start = self.members.incarnation, now - age > self.started_at
        if (row.incarnation == incarnation and row.beat <= self.heartbeat) or self.is_muted(now):
            return
        if row.incarnation < incarnation and (
            row.incarnation in self.own_past_incarnations or not made_since_start
        ):
            self.rows.learn(now, row, age)  # an earlier incarnation, whose counts remain valid
            return
        self.name_conflicts += 1
        repeated = self.last_conflict_at is not None and now - self.last_conflict_at < NAME_CONFLICT_PAUSE
        self.last_conflict_at = now
        if row.incarnation < incarnation or repeated:
            self.mute_until = now + NAME_CONFLICT_PAUSE
            self.lines.append(
                f"another process has the name {self.own!r}: this one does not publish under it for now"
            )
            return
        self.own_past_incarnations.add(incarnation)
        self.members.incarnation = row.incarnation + 1 + self.rng.randrange(MS)
        self.heartbeat = 0
        for topic in self.topics.values():
            topic.reset()
