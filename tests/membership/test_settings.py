"""Strict checks of the settings of the ZooKeeper source; nothing is imported while it is off."""

from __future__ import annotations

from pathlib import Path

import pytest

from garnethaven.app.operator import OperatorError, read_operator
from garnethaven.membership.table import Membership
from tests.rigs.test_rigs import imported_at_start

ROOT = Path(__file__).parent.parent.parent
GOOD = 'hosts = ["127.0.0.1:2181", "127.0.0.2"]\nroot = "/checks"\n'


def read(text: str, tmp_path: Path) -> Membership:
    path = tmp_path / "o.toml"
    path.write_text(text)
    membership = read_operator(str(path))["membership"]
    assert isinstance(membership, Membership)
    return membership


def test_nothing_of_it_is_imported_where_it_is_off() -> None:
    assert imported_at_start("msgspec", "garnethaven.membership.m", "garnethaven.membership.z") == "[]"


def test_the_example_is_good() -> None:
    membership = read_operator(str(ROOT / "deploy" / "examples" / "membership.toml"))["membership"]
    assert isinstance(membership, Membership) and membership.zookeeper is not None
    assert len(membership.zookeeper.hosts) == 3
    assert membership.zookeeper.rules.form == "curator"
    assert membership.zookeeper.register is not None


def test_defaults_and_the_registrys_own_port(tmp_path: Path) -> None:
    registry = read(f"[membership.zookeeper]\n{GOOD}", tmp_path).zookeeper
    assert registry is not None
    assert registry.hosts == (("127.0.0.1", 2181), ("127.0.0.2", 2181))
    assert (registry.session_timeout_ms, registry.digest, registry.tls, registry.register) == (
        6000,
        "",
        None,
        None,
    )


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("hosts = []", "hosts"),
        ('hosts = ["registry.example:2181"]', "hosts"),
        ('hosts = ["127.0.0.1:0"]', "hosts"),
        ("hosts = [2181]", "hosts"),
        ('root = "checks"', "root"),
        ('root = "/checks/"', "root"),
        ("root = 3", "root"),
        ('form = "xml"', "form"),
        ("secure = 1", "secure"),
        ('allowed = ["10.0.0.1/8"]', "allowed"),
        ("session_timeout_ms = 100", "session_timeout_ms"),
        ("session_timeout_ms = 6000.5", "session_timeout_ms"),
        ("spread_ms = -1", "spread_ms"),
        ('digest = "user"', "digest"),
        ('read_only = "yes"', "read_only"),
        ("cache = 1", "cache"),
        ("port = 1", "port"),
        ('map = {rack = "a"}', "map.rack"),
        ('tls = {ca = "/nowhere.pem"}', "tls.ca"),
        ('tls = {authority = "x"}', "tls.authority"),
        ('register = {path = "me"}', "register.path"),
        ('register = {path = "/me", form = "x"}', "register.form"),
        ('register = {path = "/me", withdraw_ms = 9999}', "register.withdraw_ms"),
    ],
)
def test_a_bad_field_is_named(line: str, field: str, tmp_path: Path) -> None:
    name = line.partition(" ")[0]
    kept = "".join(f"{entry}\n" for entry in GOOD.splitlines() if not entry.startswith(name + " "))
    with pytest.raises(OperatorError, match=f"'membership.zookeeper.{field}' ") as raised:
        read(f"[membership.zookeeper]\n{line}\n{kept}", tmp_path)
    assert "." in field or "line 2" in str(raised.value)


@pytest.mark.parametrize("line", ['precedence = ["zookeeper"]', 'precedence = ["x", "y"]', "sources = 1"])
def test_precedence_names_every_source_once(line: str, tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match="line 2"):
        read(f"[membership]\n{line}\n", tmp_path)


def test_precedence_may_be_turned_round(tmp_path: Path) -> None:
    assert read('[membership]\nprecedence = ["discovery", "zookeeper"]\n', tmp_path).precedence == (
        "discovery",
        "zookeeper",
    )
