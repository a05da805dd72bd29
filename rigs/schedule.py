"""Fault schedules: text with one fault per line, resolved from a seed and replayable from the printed form.

    VERB WHO... [by S s] [for S s] at S

| verb | who | what happens |
| --- | --- | --- |
| kill, start, end | programs | SIGKILL; start; a planned restart |
| stall | programs, `for` | SIGSTOP, then SIGCONT |
| lose-state, old-state | programs that are down | the state is removed, or replaced by an older copy |
| swap-state, spoil-state | the same | the state is replaced by another program's, or corrupted |
| cut, hold, drop, delay | links, `for`, `by` | see standins/link.py; `a-b` is both ways, `a>b` from a to b |
| replace, reuse | servers | each crashes and a new one starts cold, at a new address or at the old one |
| crash | servers, `for` | crash and restart cold under their names |
| drain | servers, `for` | drain, and are removed after that |
| discovery | down, silent, empty, behind; `for` | its fault mode |
| capacity | a number | calls per second that discovery handles |
| part | programs, `for` | partition: no datagrams between them and the other programs |
| deafen | programs, `for` | they receive no datagrams of the others; theirs arrive |
| weather | `loss=0.1 delay=1 jitter=0.5 repeat=0.1`, `for` | of all datagrams; shares and seconds |

A target is `n3` (a program), `s1` (a server) or `d` (discovery); `all` are the programs that are down at that
moment. `N of M` stands for that share of the verb's targets, chosen by the seed. Times are seconds from the
start of the schedule.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random

PROGRAM_VERBS = ("kill", "start", "end", "stall", "lose-state", "old-state", "swap-state", "spoil-state")
LINK_VERBS = ("cut", "hold", "drop", "delay")
SERVER_VERBS = ("replace", "reuse", "crash", "drain")
GROUP_VERBS = ("part", "deafen")  # of programs; applied to all targets at once
OTHER_VERBS = ("discovery", "capacity", "weather")
VERBS_WITH_DURATION = ("stall", "crash", "drain", "weather", *GROUP_VERBS, *LINK_VERBS)
FAULT_PATTERN = re.compile(
    r"(?P<verb>[a-z-]+) (?P<who>.+?)(?: by (?P<by>[\d.]+) s)?(?: for (?P<for>[\d.]+) s)? at (?P<at>[\d.]+)"
)
LINK_PATTERN = re.compile(r"([ns]\d+|d)([->])([ns]\d+|d)")
FRACTION_PATTERN = re.compile(r"(\d+) of (\d+)")
WEATHER_PATTERN = re.compile(r"(loss|delay|jitter|repeat)=([\d.]+)")
MOODS = ("down", "silent", "empty", "behind")


class ScheduleError(Exception):
    """A line is not a valid fault."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One line of a schedule: what happens to which targets, when and for how long, in seconds."""

    verb: str
    targets: tuple[str, ...]
    at: float
    for_s: float = 0.0
    by_s: float = 0.0

    def __str__(self) -> str:
        by = f" by {self.by_s:g} s" if self.by_s else ""
        duration = f" for {self.for_s:g} s" if self.for_s else ""
        return f"{self.verb} {' '.join(self.targets)}{by}{duration} at {self.at:g}"


def parse_fault(line: str) -> Fault:
    """Parse one line; raises ScheduleError that names the invalid part."""
    match = FAULT_PATTERN.fullmatch(line.strip())
    if match is None:
        raise ScheduleError(f"not a fault: {line!r}")
    verb, who = match["verb"], tuple(match["who"].split())
    fault = Fault(verb, who, float(match["at"]), float(match["for"] or 0), float(match["by"] or 0))
    fraction = FRACTION_PATTERN.fullmatch(match["who"])
    if verb in PROGRAM_VERBS + GROUP_VERBS + SERVER_VERBS:
        kind = "s" if verb in SERVER_VERBS else "n"
        valid = fraction or who == ("all",) or all(re.fullmatch(rf"{kind}\d+", target) for target in who)
    elif verb in LINK_VERBS:
        valid = all(LINK_PATTERN.fullmatch(target) for target in who)
    elif verb == "discovery":
        valid = len(who) == 1 and who[0] in MOODS
    elif verb == "weather":
        valid = all(WEATHER_PATTERN.fullmatch(target) for target in who)
    elif verb == "capacity":
        valid = len(who) == 1 and who[0].replace(".", "", 1).isdigit()
    else:
        raise ScheduleError(f"unknown verb {verb!r}: {line!r}")
    if not valid:
        raise ScheduleError(f"{verb} does not take {match['who']!r}")
    if verb in VERBS_WITH_DURATION and not fault.for_s:
        raise ScheduleError(f"{verb} needs a duration, 'for S s': {line!r}")
    if verb == "delay" and not fault.by_s:
        raise ScheduleError(f"delay needs 'by S s': {line!r}")
    return fault


def parse_schedule(text: str) -> list[Fault]:
    """Parse a schedule; the faults are sorted by time."""
    lines = [line.partition("#")[0].strip() for line in text.splitlines()]
    return sorted((parse_fault(line) for line in lines if line), key=lambda fault: fault.at)


def format_schedule(schedule: Iterable[Fault]) -> str:
    """Format a schedule as text that `parse_schedule` accepts."""
    return "\n".join(map(str, schedule))


def resolve(schedule: Iterable[Fault], rng: Random, parties: Mapping[str, Sequence[str]]) -> list[Fault]:
    """Replace each `N of M` by drawn names; `parties` holds all names by their letter, `n` or `s`."""
    resolved = []
    removed: set[str] = set()  # servers that earlier faults of this schedule remove
    for fault in schedule:
        fraction = FRACTION_PATTERN.fullmatch(" ".join(fault.targets))
        if fraction is not None:
            names = parties["s" if fault.verb in SERVER_VERBS else "n"]
            candidates = [name for name in names if name not in removed]
            count = min(len(candidates), int(fraction[1]) * len(names) // int(fraction[2]))
            chosen = sorted(rng.sample(candidates, count), key=lambda name: int(name[1:]))
            if fault.verb in ("replace", "reuse", "drain"):
                removed.update(chosen)
            fault = replace(fault, targets=tuple(chosen))
        resolved.append(fault)
    return sorted(resolved, key=lambda fault: fault.at)


def parse_weather(words: Iterable[str]) -> dict[str, float]:
    """Parse the words of a `weather` fault into values by name."""
    return {match[1]: float(match[2]) for word in words if (match := WEATHER_PATTERN.fullmatch(word))}


def parse_link(link: str) -> tuple[str, str, bool]:
    """Return the two ends of a link, and whether both directions are affected."""
    match = LINK_PATTERN.fullmatch(link)
    if match is None:
        raise ScheduleError(f"not a link: {link!r}")
    return match[1], match[3], match[2] == "-"
