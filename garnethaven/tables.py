"""Declaration of tables of the operator's file, with types, bounds, defaults and units.

A table is a frozen msgspec struct whose fields are annotated with `field_meta` or `number_range`. Validation
(`read`), the changes that a reload may apply (`merge_reloaded`) and the tables of the operators' pages
(`markdown_tables`) are all derived from the declaration. Only packages that the operator's file enables are
imported, so msgspec is not imported without such a file.

Only required fields have no default. All fields of a feature's own table have defaults, which mean *off*.
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
    """A table or a nested table."""


class WrongFieldError(ValueError):
    """A field is inconsistent with other fields; raised by a table's `__post_init__`."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


class FieldProblem(NamedTuple):
    """A problem and the qualified name of its field, such as `limits.view`."""

    field: str
    problem: str


def field_meta(meaning: str, unit: str = "", waits: bool = False, wanted: str = "", **bounds: Any) -> Meta:
    """Field metadata; `waits`: a change needs a restart; `wanted`: the valid values, for error messages."""
    extra = {"unit": unit, "waits": waits, "wanted": wanted}
    return Meta(description=meaning, extra=extra, **bounds)


def number_range(low: float, high: float, meaning: str, unit: str = "", waits: bool = False) -> Meta:
    """Metadata of a numeric field with inclusive bounds."""
    return field_meta(meaning, unit, waits, ge=low, le=high)


# Types that TOML does not have


class SocketAddress(tuple[str, int]):
    """An IPv4 address with a port."""

    default_port: ClassVar[int] = 0
    wanted: ClassVar[str] = "an address with a port"

    @classmethod
    def told(cls, value: object) -> SocketAddress:
        if cls.default_port and isinstance(value, str) and ":" not in value:
            value = f"{value}:{cls.default_port}"
        address = parse_address(value)
        if address is None:
            raise ValueError(f"is not {cls.wanted}: {value!r}")
        return cls(address)


class Secret(bytes):
    """A secret, written in hexadecimal; `repr` does not reveal it."""

    MIN_BYTES = 16

    @classmethod
    def told(cls, value: object) -> Secret:
        try:
            secret = bytes.fromhex(value) if isinstance(value, str) else b""
        except ValueError:
            secret = b""
        if len(secret) < cls.MIN_BYTES:
            raise ValueError(f"is not {cls.MIN_BYTES} bytes or more in hexadecimal")
        return cls(secret)

    def __repr__(self) -> str:
        return f"Secret({len(self)} bytes)"


def _decode_hook(kind: Any, value: object) -> object:
    decode: Callable[[object], object] | None = getattr(kind, "told", None)
    if decode is None:
        raise NotImplementedError(f"a table field cannot have the type {kind}")
    return decode(value)


# Reading


def read(kind: type[T], content: object, name: str) -> tuple[T | None, list[FieldProblem]]:
    """Decode and validate the table `name`; returns the table or None, and all problems found."""
    if not isinstance(content, dict):
        return None, [FieldProblem(name, "is not a table")]
    declared = {field.encode_name: field for field in fields(kind)}
    known = ", ".join(sorted(declared))
    problems = [
        FieldProblem(f"{name}.{key}", f"is unknown; known are {known}")
        for key in content
        if key not in declared
    ]
    values: dict[str, Any] = {}
    for key, field in declared.items():
        if key in content:
            values[field.name], field_problems = _value(field.type, content[key], f"{name}.{key}")
            problems += field_problems
        elif field.required:
            problems.append(FieldProblem(f"{name}.{key}", "is missing"))
    if problems:
        return None, problems
    try:
        return kind(**values), []
    except WrongFieldError as error:
        return None, [FieldProblem(f"{name}.{error.field}", error.problem)]


def _value(kind: Any, content: object, name: str) -> tuple[Any, list[FieldProblem]]:
    plain = plain_type(kind)
    if _is_table(plain):
        return read(plain, content, name)
    item = _item_type(plain)
    if item is not None and _is_table(item) and isinstance(content, list):
        return _tables(item, content, name)
    try:
        return msgspec.convert(content, kind, dec_hook=_decode_hook), []
    except msgspec.ValidationError as error:
        return None, [FieldProblem(name, _describe_problem(kind, content, str(error)))]


def _tables(kind: type[Table], entries: list[object], name: str) -> tuple[Any, list[FieldProblem]]:
    tables, problems = [], []
    for index, entry in enumerate(entries, start=1):
        table, entry_problems = read(kind, entry, name)
        tables.append(table)
        for problem in entry_problems:
            inner = problem.field.removeprefix(name).lstrip(".")
            problems.append(
                FieldProblem(
                    name, f"entry {index}: '{inner}' {problem.problem}" if inner else problem.problem
                )
            )
    return tuple(tables), problems


def _describe_problem(kind: Any, content: object, error: str) -> str:
    """The error text for an invalid value; `error` is msgspec's message."""
    meta, plain = meta_of(kind), plain_type(kind)
    wanted = meta.extra["wanted"] if meta is not None and meta.extra else ""
    if wanted:
        return f"is not {wanted}: {content!r}"
    if get_origin(plain) is Literal:
        return f"is not one of {', '.join(map(str, get_args(plain)))}: {content!r}"
    if plain in (int, float) and _is_number(plain, content) and meta is not None and meta.ge is not None:
        return f"is not from {number(meta.ge)} to {number(meta.le or 0)}: {content!r}"
    names = {int: "a whole number", float: "a number", str: "a text", bool: "true or false"}
    if plain in names:
        return f"is not {names[plain]}: {content!r}"
    item = _item_type(plain)
    if item is None:
        return error.partition(" - at ")[0]
    if not isinstance(content, list):
        return f"is not an array: {content!r}"
    location = error.partition(" - at `$")[2].rstrip("`")
    return f"{location} {error.partition(' - at ')[0]}".strip()


def _is_number(plain: type, value: object) -> bool:
    return not isinstance(value, bool) and isinstance(value, (int,) if plain is int else (int, float))


def number(value: float) -> str:
    """Format a number for pages and error messages."""
    return f"{value:,}" if isinstance(value, int) and abs(value) >= 10_000 else f"{value:g}"


# Inspection of declarations


def meta_of(kind: Any) -> Meta | None:
    """The metadata in a field's annotation, if any."""
    if get_origin(kind) is Annotated:
        return next((meta for meta in get_args(kind)[1:] if isinstance(meta, Meta)), None)
    for part in get_args(kind) if get_origin(kind) in (types.UnionType, Union) else ():
        if get_origin(part) is Annotated:
            return meta_of(part)
    return None


def plain_type(kind: Any) -> Any:
    """The type without its annotation and without `None`."""
    while True:
        if get_origin(kind) is Annotated:
            kind = get_args(kind)[0]
        elif get_origin(kind) in (types.UnionType, Union):
            kind = next(part for part in get_args(kind) if part is not type(None))
        else:
            return kind


def _item_type(plain: Any) -> Any:
    return plain_type(get_args(plain)[0]) if get_origin(plain) is tuple else None


def _is_table(plain: Any) -> bool:
    return isinstance(plain, type) and issubclass(plain, Table)


def needs_restart(field: FieldInfo) -> bool:
    """Whether a change of the field takes effect only at a restart."""
    meta = meta_of(field.type)
    return bool(meta is not None and meta.extra and meta.extra["waits"])


def merge_reloaded(current: T, reloaded: T) -> tuple[T, list[str]]:
    """The table in force after a reload, and the fields whose change needs a restart."""
    deferred = [
        field
        for field in fields(current)
        if needs_restart(field) and getattr(current, field.name) != getattr(reloaded, field.name)
    ]
    kept = {field.name: getattr(current, field.name) for field in deferred}
    return msgspec.structs.replace(reloaded, **kept), [field.encode_name for field in deferred]


def markdown_tables(kind: type[Table], name: str) -> list[str]:
    """Lines of Markdown that document the table and then its nested tables."""
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
        item = _item_type(plain)
        if _is_table(plain):
            inner += ["", *markdown_tables(plain, f"{name}.{field.encode_name}")]
        elif item is not None and _is_table(item):
            inner += ["", *markdown_tables(item, f"[{name}.{field.encode_name}]")]
    return lines + inner


def _row(field: FieldInfo) -> str:
    meta, plain = meta_of(field.type), plain_type(field.type)
    extra = (meta.extra if meta is not None else None) or {"unit": "", "wanted": ""}
    bounds = ""
    if get_origin(plain) is Literal:
        bounds = ", ".join(f"`{choice}`" for choice in get_args(plain))
    elif meta is not None and meta.ge is not None:
        bounds = f"{number(meta.ge)} to {number(meta.le or 0)}"
    else:
        bounds = extra["wanted"] or getattr(plain, "wanted", "")
    at_reload = "waits for a restart" if needs_restart(field) else "taken over"
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
    return ", ".join(f"`{item}`" for item in value) if isinstance(value, tuple) else f"`{value}`"
