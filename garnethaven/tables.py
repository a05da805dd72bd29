"""How a package declares its table of the operator's file: once, with types, bounds, defaults and units.

A table is a frozen struct of msgspec's; each field is annotated with `said` or `bounded`. All else comes from
the declaration: what `check` refuses (`read`), what a reload may take over (`taken_over`), and the tables of
the operators' pages (`described`). Only packages that the operator's file switches on are declared, so
msgspec is not imported where there is no file.

Every field has a default but those that a table can't do without; the table of a feature has only defaults,
and they mean *off*.
"""

from __future__ import annotations

import types
from collections.abc import Callable
from typing import Annotated, Any, ClassVar, Literal, NamedTuple, TypeVar, Union, get_args, get_origin

import msgspec
from msgspec import Meta
from msgspec.structs import FieldInfo, fields

from garnethaven.addresses import parse_address

T = TypeVar("T", bound="Table")


class Table(msgspec.Struct, frozen=True):
    """One table, or a table within one."""


class WrongFieldError(ValueError):
    """A field that does not fit others; raised by a table's `__post_init__`."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


class Flaw(NamedTuple):
    """What is wrong, and where: `limits.view`."""

    field: str
    problem: str


def said(meaning: str, unit: str = "", waits: bool = False, wanted: str = "", **bounds: Any) -> Meta:
    """What a field means; `waits`: a change waits for a restart; `wanted`: what it has to be, in words."""
    extra = {"unit": unit, "waits": waits, "wanted": wanted}
    return Meta(description=meaning, extra=extra, **bounds)


def bounded(low: float, high: float, meaning: str, unit: str = "", waits: bool = False) -> Meta:
    """A number from `low` to `high`, both included."""
    return said(meaning, unit, waits, ge=low, le=high)


# Values that TOML has no type for


class At(tuple[str, int]):
    """An address with a port."""

    default_port: ClassVar[int] = 0
    wanted: ClassVar[str] = "an address with a port"

    @classmethod
    def told(cls, value: object) -> At:
        if cls.default_port and isinstance(value, str) and ":" not in value:
            value = f"{value}:{cls.default_port}"
        address = parse_address(value)
        if address is None:
            raise ValueError(f"is not {cls.wanted}: {value!r}")
        return cls(address)


class Secret(bytes):
    """A secret in hexadecimal; its representation does not show it."""

    LEAST = 16

    @classmethod
    def told(cls, value: object) -> Secret:
        try:
            secret = bytes.fromhex(value) if isinstance(value, str) else b""
        except ValueError:
            secret = b""
        if len(secret) < cls.LEAST:
            raise ValueError(f"is not {cls.LEAST} bytes or more in hexadecimal")
        return cls(secret)

    def __repr__(self) -> str:
        return f"Secret({len(self)} bytes)"


def _hook(kind: Any, value: object) -> object:
    told: Callable[[object], object] | None = getattr(kind, "told", None)
    if told is None:
        raise NotImplementedError(f"no table may hold a {kind}")
    return told(value)


# Reading


def read(kind: type[T], told: object, name: str) -> tuple[T | None, list[Flaw]]:
    """The table `name` as it stands in the file; None and all that is wrong with it where something is."""
    if not isinstance(told, dict):
        return None, [Flaw(name, "is not a table")]
    declared = {field.encode_name: field for field in fields(kind)}
    known = ", ".join(sorted(declared))
    flaws = [Flaw(f"{name}.{key}", f"is unknown; known are {known}") for key in told if key not in declared]
    values: dict[str, Any] = {}
    for key, field in declared.items():
        if key in told:
            values[field.name], wrong = _value(field.type, told[key], f"{name}.{key}")
            flaws += wrong
        elif field.required:
            flaws.append(Flaw(f"{name}.{key}", "is missing"))
    if flaws:
        return None, flaws
    try:
        return kind(**values), []
    except WrongFieldError as wrong_field:
        return None, [Flaw(f"{name}.{wrong_field.field}", wrong_field.problem)]


def _value(kind: Any, told: object, name: str) -> tuple[Any, list[Flaw]]:
    plain = plain_type(kind)
    if _is_table(plain):
        return read(plain, told, name)
    item = _item(plain)
    if item is not None and _is_table(item) and isinstance(told, list):
        return _tables(item, told, name)
    try:
        return msgspec.convert(told, kind, dec_hook=_hook), []
    except msgspec.ValidationError as problem:
        return None, [Flaw(name, _problem(kind, told, str(problem)))]


def _tables(kind: type[Table], told: list[object], name: str) -> tuple[Any, list[Flaw]]:
    made, flaws = [], []
    for number, one in enumerate(told, start=1):
        table, wrong = read(kind, one, name)
        made.append(table)
        for flaw in wrong:
            inner = flaw.field.removeprefix(name).lstrip(".")
            flaws.append(Flaw(name, f"entry {number}: '{inner}' {flaw.problem}" if inner else flaw.problem))
    return tuple(made), flaws


def _problem(kind: Any, told: object, said_of_it: str) -> str:
    """What a value is not, in words for the file's author."""
    meta, plain = meta_of(kind), plain_type(kind)
    wanted = meta.extra["wanted"] if meta is not None and meta.extra else ""
    if wanted:
        return f"is not {wanted}: {told!r}"
    if get_origin(plain) is Literal:
        return f"is not one of {', '.join(map(str, get_args(plain)))}: {told!r}"
    if plain in (int, float) and _fits(plain, told) and meta is not None and meta.ge is not None:
        return f"is not from {number(meta.ge)} to {number(meta.le or 0)}: {told!r}"
    names = {int: "a whole number", float: "a number", str: "a text", bool: "true or false"}
    if plain in names:
        return f"is not {names[plain]}: {told!r}"
    item = _item(plain)
    if item is None:
        return said_of_it.partition(" - at ")[0]
    if not isinstance(told, list):
        return f"is not an array: {told!r}"
    where = said_of_it.partition(" - at `$")[2].rstrip("`")
    return f"{where} {said_of_it.partition(' - at ')[0]}".strip()


def _fits(plain: type, told: object) -> bool:
    return not isinstance(told, bool) and isinstance(told, (int,) if plain is int else (int, float))


def number(value: float) -> str:
    """A number as the pages and errors show it."""
    return f"{value:,}" if isinstance(value, int) and abs(value) >= 10_000 else f"{value:g}"


# The declaration, looked at


def meta_of(kind: Any) -> Meta | None:
    """What a field's annotation says."""
    if get_origin(kind) is Annotated:
        return next((one for one in get_args(kind)[1:] if isinstance(one, Meta)), None)
    for part in get_args(kind) if get_origin(kind) in (types.UnionType, Union) else ():
        if get_origin(part) is Annotated:
            return meta_of(part)
    return None


def plain_type(kind: Any) -> Any:
    """The type without annotation and without `None`."""
    while True:
        if get_origin(kind) is Annotated:
            kind = get_args(kind)[0]
        elif get_origin(kind) in (types.UnionType, Union):
            kind = next(part for part in get_args(kind) if part is not type(None))
        else:
            return kind


def _item(plain: Any) -> Any:
    return plain_type(get_args(plain)[0]) if get_origin(plain) is tuple else None


def _is_table(plain: Any) -> bool:
    return isinstance(plain, type) and issubclass(plain, Table)


def waits(field: FieldInfo) -> bool:
    meta = meta_of(field.type)
    return bool(meta is not None and meta.extra and meta.extra["waits"])


def taken_over(now: T, wanted: T) -> tuple[T, list[str]]:
    """The table to go on with, and the fields whose change waits for a restart."""
    waiting = [
        field
        for field in fields(now)
        if waits(field) and getattr(now, field.name) != getattr(wanted, field.name)
    ]
    kept = {field.name: getattr(now, field.name) for field in waiting}
    return msgspec.structs.replace(wanted, **kept), [field.encode_name for field in waiting]


def described(kind: type[Table], name: str) -> list[str]:
    """The table as lines of Markdown, then those within it."""
    lines = [
        f"Table `[{name}]`:",
        "",
        "| field | unit | default | bounds | meaning | at SIGHUP |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    inner: list[str] = []
    for field in fields(kind):
        lines.append(_row(field))
        plain = plain_type(field.type)
        item = _item(plain)
        if _is_table(plain):
            inner += ["", *described(plain, f"{name}.{field.encode_name}")]
        elif item is not None and _is_table(item):
            inner += ["", *described(item, f"[{name}.{field.encode_name}]")]
    return lines + inner


def _row(field: FieldInfo) -> str:
    meta, plain = meta_of(field.type), plain_type(field.type)
    extra = (meta.extra if meta is not None else None) or {"unit": "", "wanted": ""}
    bounds = ""
    if get_origin(plain) is Literal:
        bounds = ", ".join(f"`{one}`" for one in get_args(plain))
    elif meta is not None and meta.ge is not None:
        bounds = f"{number(meta.ge)} to {number(meta.le or 0)}"
    else:
        bounds = extra["wanted"] or getattr(plain, "wanted", "")
    at_reload = "waits for a restart" if waits(field) else "taken over"
    meaning = (meta.description if meta is not None else None) or ""
    cells = (f"`{field.encode_name}`", extra["unit"], _default(field), bounds, meaning, at_reload)
    return "| " + " | ".join(cells).replace("|  |", "| |") + " |"


def _default(field: FieldInfo) -> str:
    if field.required:
        return "needed"
    if _is_table(plain_type(field.type)) or field.default_factory is not msgspec.NODEFAULT:
        return "none"
    value = field.default
    if value is msgspec.NODEFAULT or value is None or value == () or value == "":
        return "none"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int | float):
        return number(value)
    return ", ".join(f"`{one}`" for one in value) if isinstance(value, tuple) else f"`{value}`"
