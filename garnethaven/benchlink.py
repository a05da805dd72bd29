"""Adapter for the simulator's line protocol on standard input and output.

Each instance named in the protocol has a Balancer of its own, which makes all decisions. Only parsed endpoint
lists are shared between instances, as immutable input.
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
    LogMessage,
    Membership,
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
LIST_KINDS = {
    "Partial": ListKind.DELTA,
    "Complete": ListKind.FULL,
    "Persisted": ListKind.PERSISTED,
    "Error": ListKind.FAILED,
}
RETRY_FLAG = 2


class WireError(Exception):
    """The input violates the protocol."""


def read_fields(parts: list[str]) -> Fields:
    fields = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator:
            raise WireError(f"'{part}' is not name=value")
        fields[name] = value
    return fields


def required(fields: Fields, name: str) -> str:
    if name not in fields:
        raise WireError(f"field '{name}' is missing")
    return fields[name]


def required_int(fields: Fields, name: str) -> int:
    return parse_int(required(fields, name), name)


def parse_int(text: str, name: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise WireError(f"'{name}' is not a whole number: {text!r}") from None


def parse_float(text: str, name: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise WireError(f"'{name}' is not a number: {text!r}") from None


def optional_int(fields: Fields, name: str) -> int:
    text = fields.get(name)
    return 0 if text is None else parse_int(text, name)


def read_report(fields: Fields) -> tuple[float, ...]:
    text = fields.get("report")
    return tuple(parse_float(value, "report") for value in text.split(",")) if text else ()


def read_settings_text(text: str) -> Settings:
    try:
        return read_settings(json.loads(text))
    except ValueError as error:
        raise WireError(f"the settings cannot be read: {error}") from None
    except SettingsError as error:
        raise WireError(str(error)) from None


def read_entry(fields: Fields) -> Endpoint:
    return Endpoint(
        id=required_int(fields, "endpoint"),
        zone=optional_int(fields, "campus"),
        kind=optional_int(fields, "type"),
        cell=optional_int(fields, "bay"),
        # an unknown state must not receive requests
        state=STATES.get(required(fields, "health"), State.DRAINING),
        relative_capacity=parse_float(fields.get("units", "1"), "units"),
        started=optional_int(fields, "lastStartNs"),
    )


def read_request(fields: Fields) -> Event:
    return Request(
        id=required(fields, "id"),
        class_index=required_int(fields, "qos"),
        budget=required_int(fields, "timeBudgetNs"),
        tenant=optional_int(fields, "account"),
        key=fields.get("affinity", ""),
        is_retry=bool(optional_int(fields, "bitmap") & RETRY_FLAG),
    )


def read_attempt(fields: Fields) -> Event:
    return AttemptEnded(
        id=required(fields, "id"),
        attempt=required_int(fields, "hop"),
        endpoint=required_int(fields, "endpoint"),
        # an attempt with an unknown outcome may have been executed
        outcome=OUTCOMES.get(required(fields, "how"), Outcome.ERROR),
        duration=optional_int(fields, "durationNs"),
        final=fields.get("final", "0") == "1",
        report=read_report(fields),
    )


def read_probe(fields: Fields) -> Event:
    return ProbeEnded(
        endpoint=required_int(fields, "endpoint"),
        outcome=OUTCOMES.get(required(fields, "how"), Outcome.ERROR),
        duration=optional_int(fields, "durationNs"),
        report=read_report(fields),
    )


READERS: dict[str, Callable[[Fields], Event]] = {
    "request": read_request,
    "report_back": read_attempt,
    "probe_result": read_probe,
    "ring": lambda fields: TimerFired(required_int(fields, "cookie")),
    "gone": lambda fields: ClientLeft(required(fields, "id")),
    "first": lambda fields: StreamBegan(required(fields, "id"), required_int(fields, "hop")),
}


def write_send(action: Send) -> str:
    return f"issue id={action.id} endpoint={action.endpoint} limitNs={action.timeout}"


def write_refuse(action: Refuse) -> str:
    backoff = f" backoffNs={action.retry_after}" if action.retry_after else ""
    return f"shed id={action.id}{backoff}"


WRITERS: dict[type, Callable[[Any], str]] = {
    Send: write_send,
    Refuse: write_refuse,
    Fail: lambda action: f"give_up id={action.id}",
    Cancel: lambda action: f"undo_send id={action.id} hop={action.attempt}",
    Probe: lambda action: f"health_check endpoint={action.endpoint}",
    SetTimer: lambda action: f"arm cookie={action.token} fromNowNs={action.delay}",
    Watch: lambda action: "observe active=1",
    CloseIdle: lambda action: f"close endpoint={action.endpoint}",
    LogMessage: lambda action: f"note_down message={one_line(action.text)}",
}


def one_line(text: str) -> str:
    return " ".join(text.split())


class Adapter:
    """Reads batches of events, passes them to the instances, and writes one reply per batch."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.line_number = 0
        self.now = 0
        self.instance = -1
        self.reported_instance = -1  # instance of the last `by` line in the reply
        self.balancers: dict[int, Balancer] = {}
        self.rosters: dict[int, tuple[Endpoint, ...]] = {}
        self.reply: list[str] = []

    def run(self) -> None:
        lines = self._read_lines()
        for line in lines:
            if line:
                self._handle_batch(line, lines)

    def _read_lines(self) -> Iterator[str]:
        for line in self.source:
            self.line_number += 1
            yield line.rstrip("\r\n")

    def _handle_batch(self, line: str, lines: Iterator[str]) -> None:
        kind, *parts = line.split()
        if kind != "frame":
            raise WireError(f"a batch begins with 'frame', not with '{kind}'")
        self.now = required_int(read_fields(parts), "nowNs")
        self.instance = self.reported_instance = -1
        self.reply = []
        for line in lines:
            if line == "your_turn":
                break
            if line:
                self._handle_line(line, lines)
        else:
            raise WireError("the input ends inside a batch")
        self.reply.append("end\n")
        self.sink.write("\n".join(self.reply))
        self.sink.flush()

    def _handle_line(self, line: str, lines: Iterator[str]) -> None:
        kind, _, rest = line.partition(" ")
        reader = READERS.get(kind)
        if reader is not None:
            self._handle_event(reader(read_fields(rest.split())))
        elif kind == "instance":
            self.instance = required_int(read_fields(rest.split()), "sidecarId")
        elif kind == "membership":
            self._handle_membership(read_fields(rest.split()))
        elif kind == "roster":
            self._read_roster(read_fields(rest.split()), lines)
        elif kind == "launch":
            self._launch(rest)
        elif kind == "down":
            self.balancers.pop(self.instance, None)
        elif kind in ("frame", "entry"):
            raise WireError(f"'{kind}' outside its place")

    def _launch(self, rest: str) -> None:
        head, separator, settings_text = f" {rest}".partition(" facts=")
        if not separator:
            raise WireError("field 'facts' is missing")
        seed = required_int(read_fields(head.split()), "entropy")
        if self.instance < 0:
            raise WireError("'launch' before any 'instance'")
        self.balancers[self.instance] = Balancer(read_settings_text(settings_text), seed)
        self._handle_event(Started())

    def _read_roster(self, fields: Fields, lines: Iterator[str]) -> None:
        number, count = required_int(fields, "rosterId"), required_int(fields, "entries")
        if count < 0:
            raise WireError(f"'entries' is below zero: {count}")
        self.rosters[number] = tuple(self._read_entry(lines) for _ in range(count))

    def _read_entry(self, lines: Iterator[str]) -> Endpoint:
        kind, *parts = next(lines, "").split() or [""]
        if kind != "entry":
            raise WireError(f"expected an 'entry' line, not '{kind}'")
        return read_entry(read_fields(parts))

    def _handle_membership(self, fields: Fields) -> None:
        scope = required(fields, "scope")
        kind = LIST_KINDS.get(scope)
        if kind is None:
            raise WireError(f"scope '{scope}' is unknown")
        if kind is ListKind.FAILED:
            self._handle_event(Membership(kind))
            return
        number = required_int(fields, "rosterId")
        if number not in self.rosters:
            raise WireError(f"roster {number} has not been sent")
        self._handle_event(Membership(kind, self.rosters[number]))

    def _handle_event(self, event: Event) -> None:
        balancer = self.balancers.get(self.instance)
        if balancer is None:
            raise WireError(f"instance {self.instance} has not been launched")
        try:
            actions = balancer.handle(self.now, event)
        except Exception as error:  # the protocol reports a failed instance; the adapter continues
            traceback.print_exc(file=sys.stderr)
            self._add_reply(f"bail_out message={one_line(f'{type(error).__name__}: {error}')}")
            return
        for action in actions:
            self._add_action(action)

    def _add_action(self, action: Action) -> None:
        self._add_reply(WRITERS[type(action)](action))

    def _add_reply(self, line: str) -> None:
        if self.reported_instance != self.instance:
            self.reported_instance = self.instance
            self.reply.append(f"by sidecarId={self.instance}")
        self.reply.append(line)


def main() -> int:
    adapter = Adapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except WireError as error:
        print(f"garnethaven: line {adapter.line_number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
