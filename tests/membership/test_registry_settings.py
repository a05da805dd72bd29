"""Strict checks of the settings of key-value registries; nothing is imported while they are off."""

from __future__ import annotations

from pathlib import Path

import pytest

from garnethaven.app.operator import OperatorError, read_operator
from garnethaven.membership.table import Membership
from tests.membership.test_settings import ROOT, read
from tests.rigs.test_rigs import imported_at_start, run_rig

GOOD = 'hosts = ["127.0.0.1", "127.0.0.2:9"]\nprefix = "/checks/"\n'


def test_nothing_of_it_is_imported_where_it_is_off() -> None:
    assert (
        imported_at_start(
            "grpc", "aetcd", "httpx", "garnethaven.membership.etcd", "garnethaven.membership.consul"
        )
        == "[]"
    )


def test_the_example_is_good() -> None:
    membership = read_operator(str(ROOT / "deploy" / "examples" / "etcd.toml"))["membership"]
    assert isinstance(membership, Membership) and membership.etcd is not None
    assert (len(membership.etcd.hosts), membership.etcd.register is not None) == (3, True)


def test_members_have_the_registrys_own_port(tmp_path: Path) -> None:
    etcd = read(f"[membership.etcd]\n{GOOD}", tmp_path).etcd
    assert etcd is not None and etcd.hosts == (("127.0.0.1", 2379), ("127.0.0.2", 9))


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("hosts = []", "hosts"),
        ('hosts = ["etcd.example:2379"]', "hosts"),
        ('prefix = ""', "prefix"),
        ('user = "nobody"', "user"),
        ("quiet_ms = 5", "quiet_ms"),
        ('form = "xml"', "form"),
        ("register = {ttl_s = 5}", "register.key"),
        ('register = {key = "/me", ttl_s = 1}', "register.ttl_s"),
        ("root = 1", "root"),
    ],
)
def test_a_bad_field_is_named(line: str, field: str, tmp_path: Path) -> None:
    name = line.partition(" ")[0]
    kept = "".join(f"{entry}\n" for entry in GOOD.splitlines() if not entry.startswith(name + " "))
    with pytest.raises(OperatorError, match=f"'membership.etcd.{field}' ") as raised:
        read(f"[membership.etcd]\n{line}\n{kept}", tmp_path)
    assert "." in field or "line 2" in str(raised.value)


def test_precedence_names_each_registry_that_is_on(tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match="does not name discovery, etcd, each once"):
        read(f'[membership]\nprecedence = ["discovery"]\n[membership.etcd]\n{GOOD}', tmp_path)


def test_the_example_of_consul_is_good() -> None:
    membership = read_operator(str(ROOT / "deploy" / "examples" / "consul.toml"))["membership"]
    assert isinstance(membership, Membership) and membership.consul is not None
    assert (membership.consul.service, membership.consul.mode, membership.consul.map.cell) == (
        "checks",
        "stale",
        "rack",
    )


@pytest.mark.parametrize(
    ("lines", "field"),
    [
        ('hosts = ["127.0.0.1"]', "consul.service"),
        ('hosts = ["127.0.0.1"]\nservice = "a"\nprefix = "b"', "consul.service"),
        ('hosts = []\nservice = "a"', "consul.hosts"),
        ('hosts = ["127.0.0.1"]\nservice = "a"\nmode = "fast"', "consul.mode"),
        ('hosts = ["127.0.0.1"]\nservice = "a"\nwait_ms = 5', "consul.wait_ms"),
        ('hosts = ["127.0.0.1"]\nservice = "a"\nregister = {name = "a/b"}', "consul.register.name"),
    ],
)
def test_a_bad_field_of_consul_is_named(lines: str, field: str, tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match=f"'membership.{field}' "):
        read(f"[membership.consul]\n{lines}\n", tmp_path)


@pytest.mark.parametrize(
    ("lines", "field"),
    [
        ('moves = [{from = "etcd", to = "etcd"}]', "moves"),
        ('moves = [{from = "etcd"}]', "moves"),
        ('zones = {a = ["nowhere"]}', "zones"),
    ],
)
def test_moves_and_zones_name_sources(lines: str, field: str, tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match=f"'membership.{field}' "):
        read(f"[membership]\n{lines}\n[membership.etcd]\n{GOOD}", tmp_path)


def test_the_rig_in_short_misses_no_removal() -> None:
    code, figures, output = run_rig("registry", "--seed", "6", "--seconds", "14")
    assert code in (0, 1), output
    assert figures["sent"] > 1000, output
    assert figures["broken"] == {"lost": 0, "twice": 0, "drain": 0, "cold": 0}, (output, figures)
    assert figures["missing"] == figures["doubled"] == 0
    for kind in ("etcd", "consul"):
        counts = figures[kind]
        assert counts["removals_missed"] == counts["resurrected"] == 0, figures
        assert counts["removals_in_gaps"] >= 4 and counts["compactions"] >= 2
    outcomes = ("served", "refused", "failed", "gone", "missing")
    assert sum(figures[name] for name in outcomes) == figures["sent"]
