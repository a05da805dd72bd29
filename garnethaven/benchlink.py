"""The simulator's wire on standard input and output; it decides nothing.

Each instance named on the wire gets a Balancer of its own. Only parsed endpoint lists are shared
between instances, as immutable input.
"""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from garnethaven.brain import Balancer
from garnethaven.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientLeft,
    CloseIdle,
    Endpoint,
    Event,
    Fail,
    ListKind,
    Membership,
    Note,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    Request,
    Send,
    SetTimer,
    Settings,
    Started,
    State,
    StreamBegan,
    TimerFired,
    Watch,
)
from garnethaven.settings import SettingsError, read_settings

Fields = dict[str, str]

OUTCOMES = {
    "done": Outcome.DONE,
    "err": Outcome.ERROR,
    "busy": Outcome.BUSY,
    "etimedout": Outcome.TIMED_OUT,
    "econnrefused": Outcome.CONNECT_FAILED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.CANCELLED,
    "skipped": Outcome.SKIPPED,
}
STATES = {"up": State.UP, "draining": State.DRAINING, "removed": State.REMOVED}
LISTS = {
    "Partial": ListKind.DELTA,
    "Complete": ListKind.FULL,
    "Persisted": ListKind.PERSISTED,
    "Error": ListKind.FAILED,
}
REPEAT_BIT = 2


class WireError(Exception):
    """The input is not what the wire's page describes."""


def read_fields(parts: list[str]) -> Fields:
    fields = {}
    for part in parts:
        name, mark, value = part.partition("=")
        if not mark:
            raise WireError(f"'{part}' is not name=value")
        fields[name] = value
    return fields


def need(fields: Fields, name: str) -> str:
    if name not in fields:
        raise WireError(f"field '{name}' is missing")
    return fields[name]


def need_int(fields: Fields, name: str) -> int:
    return to_int(need(fields, name), name)


def to_int(text: str, name: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise WireError(f"'{name}' is not a whole number: {text!r}") from None


def to_float(text: str, name: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise WireError(f"'{name}' is not a number: {text!r}") from None


def maybe_int(fields: Fields, name: str) -> int:
    text = fields.get(name)
    return 0 if text is None else to_int(text, name)


def read_report(fields: Fields) -> tuple[float, ...]:
    text = fields.get("report")
    return tuple(to_float(value, "report") for value in text.split(",")) if text else ()


def read_facts(text: str) -> Settings:
    try:
        return read_settings(json.loads(text))
    except ValueError as problem:
        raise WireError(f"the settings cannot be read: {problem}") from None
    except SettingsError as problem:
        raise WireError(str(problem)) from None


def read_entry(fields: Fields) -> Endpoint:
    return Endpoint(
        id=need_int(fields, "endpoint"),
        zone=maybe_int(fields, "campus"),
        kind=maybe_int(fields, "type"),
        cell=maybe_int(fields, "bay"),
        # a state this version does not know is no licence to send
        state=STATES.get(need(fields, "health"), State.DRAINING),
        units=to_float(fields.get("units", "1"), "units"),
        started=maybe_int(fields, "lastStartNs"),
    )


def read_request(fields: Fields) -> Event:
    return Request(
        id=need(fields, "id"),
        grade=need_int(fields, "qos"),
        budget=need_int(fields, "timeBudgetNs"),
        tenant=maybe_int(fields, "account"),
        key=fields.get("affinity", ""),
        repeat=bool(maybe_int(fields, "bitmap") & REPEAT_BIT),
    )


def read_attempt(fields: Fields) -> Event:
    return AttemptEnded(
        id=need(fields, "id"),
        attempt=need_int(fields, "hop"),
        endpoint=need_int(fields, "endpoint"),
        # an outcome this version does not know may have run
        outcome=OUTCOMES.get(need(fields, "how"), Outcome.ERROR),
        duration=maybe_int(fields, "durationNs"),
        final=fields.get("final", "0") == "1",
        report=read_report(fields),
    )


def read_probe(fields: Fields) -> Event:
    return ProbeEnded(
        endpoint=need_int(fields, "endpoint"),
        outcome=OUTCOMES.get(need(fields, "how"), Outcome.ERROR),
        duration=maybe_int(fields, "durationNs"),
        report=read_report(fields),
    )


READERS: dict[str, Callable[[Fields], Event]] = {
    "request": read_request,
    "report_back": read_attempt,
    "probe_result": read_probe,
    "ring": lambda fields: TimerFired(need_int(fields, "cookie")),
    "gone": lambda fields: ClientLeft(need(fields, "id")),
    "first": lambda fields: StreamBegan(need(fields, "id"), need_int(fields, "hop")),
}


def write_send(action: Send) -> str:
    return f"issue id={action.id} endpoint={action.endpoint} limitNs={action.limit}"


def write_refuse(action: Refuse) -> str:
    advice = f" backoffNs={action.retry_after}" if action.retry_after else ""
    return f"shed id={action.id}{advice}"


WRITERS: dict[type, Callable[[Any], str]] = {
    Send: write_send,
    Refuse: write_refuse,
    Fail: lambda action: f"give_up id={action.id}",
    Cancel: lambda action: f"undo_send id={action.id} hop={action.attempt}",
    Probe: lambda action: f"health_check endpoint={action.endpoint}",
    SetTimer: lambda action: f"arm cookie={action.token} fromNowNs={action.delay}",
    Watch: lambda action: "observe active=1",
    CloseIdle: lambda action: f"close endpoint={action.endpoint}",
    Note: lambda action: f"note_down message={one_line(action.text)}",
}


def one_line(text: str) -> str:
    return " ".join(text.split())


class Adapter:
    """Reads batches, hands events to the instances, and collects each batch's reply."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.line_number = 0
        self.now = 0
        self.instance = -1
        self.speaker = -1
        self.balancers: dict[int, Balancer] = {}
        self.rosters: dict[int, tuple[Endpoint, ...]] = {}
        self.reply: list[str] = []

    def run(self) -> None:
        lines = self._lines()
        for line in lines:
            if line:
                self._batch(line, lines)

    def _lines(self) -> Iterator[str]:
        for line in self.source:
            self.line_number += 1
            yield line.rstrip("\r\n")

    def _batch(self, line: str, lines: Iterator[str]) -> None:
        kind, *parts = line.split()
        if kind != "frame":
            raise WireError(f"a batch begins with 'frame', not with '{kind}'")
        self.now = need_int(read_fields(parts), "nowNs")
        self.instance = self.speaker = -1
        self.reply = []
        for line in lines:
            if line == "your_turn":
                break
            if line:
                self._line(line, lines)
        else:
            raise WireError("the input ends inside a batch")
        self.reply.append("end\n")
        self.sink.write("\n".join(self.reply))
        self.sink.flush()

    def _line(self, line: str, lines: Iterator[str]) -> None:
        kind, _, rest = line.partition(" ")
        reader = READERS.get(kind)
        if reader is not None:
            self._decide(reader(read_fields(rest.split())))
        elif kind == "instance":
            self.instance = need_int(read_fields(rest.split()), "sidecarId")
        elif kind == "membership":
            self._membership(read_fields(rest.split()))
        elif kind == "roster":
            self._roster(read_fields(rest.split()), lines)
        elif kind == "launch":
            self._launch(rest)
        elif kind == "down":
            self.balancers.pop(self.instance, None)
        elif kind in ("frame", "entry"):
            raise WireError(f"'{kind}' outside its place")

    def _launch(self, rest: str) -> None:
        head, mark, facts = f" {rest}".partition(" facts=")
        if not mark:
            raise WireError("field 'facts' is missing")
        seed = need_int(read_fields(head.split()), "entropy")
        if self.instance < 0:
            raise WireError("'launch' before any 'instance'")
        self.balancers[self.instance] = Balancer(read_facts(facts), seed)
        self._decide(Started())

    def _roster(self, fields: Fields, lines: Iterator[str]) -> None:
        number, count = need_int(fields, "rosterId"), need_int(fields, "entries")
        if count < 0:
            raise WireError(f"'entries' is below zero: {count}")
        self.rosters[number] = tuple(self._entry(lines) for _ in range(count))

    def _entry(self, lines: Iterator[str]) -> Endpoint:
        kind, *parts = next(lines, "").split() or [""]
        if kind != "entry":
            raise WireError(f"an 'entry' is due, not '{kind}'")
        return read_entry(read_fields(parts))

    def _membership(self, fields: Fields) -> None:
        scope = need(fields, "scope")
        kind = LISTS.get(scope)
        if kind is None:
            raise WireError(f"scope '{scope}' is unknown")
        if kind is ListKind.FAILED:
            self._decide(Membership(kind))
            return
        number = need_int(fields, "rosterId")
        if number not in self.rosters:
            raise WireError(f"roster {number} has not been sent")
        self._decide(Membership(kind, self.rosters[number]))

    def _decide(self, event: Event) -> None:
        balancer = self.balancers.get(self.instance)
        if balancer is None:
            raise WireError(f"instance {self.instance} has not been launched")
        try:
            actions = balancer.handle(self.now, event)
        except Exception as problem:  # the wire wants a failed module named, not a dead adapter
            traceback.print_exc(file=sys.stderr)
            self._say(f"bail_out message={one_line(f'{type(problem).__name__}: {problem}')}")
            return
        for action in actions:
            self._write(action)

    def _write(self, action: Action) -> None:
        self._say(WRITERS[type(action)](action))

    def _say(self, line: str) -> None:
        if self.speaker != self.instance:
            self.speaker = self.instance
            self.reply.append(f"by sidecarId={self.instance}")
        self.reply.append(line)


def main() -> int:
    adapter = Adapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except WireError as problem:
        print(f"garnethaven: line {adapter.line_number}: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
