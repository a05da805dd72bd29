"""The operator's table is checked strictly, nothing is imported when it is off, and a reload applies it."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from garnethaven import __main__ as program
from garnethaven.app.operator import OperatorError, read_operator
from garnethaven.app.sidecar import Sidecar
from garnethaven.connections.pool import PlannedPool
from garnethaven.connections.table import Connections
from garnethaven.net.upstream import Pool
from standins.ports import PORTS
from tests.loopback import run, write_config_file
from tests.rigs.test_rigs import imported_at_start, run_rig

ROOT = Path(__file__).parent.parent.parent


def test_nothing_of_it_is_imported_where_it_is_off() -> None:
    assert imported_at_start("garnethaven.connections") == "[]"


def test_the_example_is_good() -> None:
    table = read_operator(str(ROOT / "deploy" / "examples" / "connections.toml"))["connections"]
    assert isinstance(table, Connections)
    assert table.plan and table.ahead and table.opens_per_s == 40.0


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("plan = 1", "plan"),
        ("opens_per_s = 0.5", "opens_per_s"),
        ("opens_per_s = nan", "opens_per_s"),
        ("accepts = 0", "accepts"),
        ("accepts = 3.5", "accepts"),
        ('age_s = "long"', "age_s"),
        ("requests_most = 0", "requests_most"),
        ('ahead = "no"', "ahead"),
        ("idle_s = 3", "idle_s"),
    ],
)
def test_a_bad_field_is_named_with_its_line(line: str, field: str, tmp_path: Path) -> None:
    path = tmp_path / "o.toml"
    path.write_text(f"[connections]\n{line}\n")
    with pytest.raises(OperatorError, match=f"line 2: 'connections.{field}'"):
        read_operator(str(path))


def test_a_reload_takes_other_bounds_over_and_says_what_waits(tmp_path: Path) -> None:
    async def case() -> None:
        path = write_config_file(tmp_path / "config", listen=f"127.0.0.1:{PORTS.next_free()}")
        config = program.read_config({"NODE_CONFIG": str(path)})
        sidecar = Sidecar(config, {"connections": Connections(plan=True)}, asyncio.get_running_loop())
        pool = sidecar.transport.pool
        assert isinstance(pool, PlannedPool)
        halved = {"connections": Connections(plan=True, accepts=185, opens_per_s=20.0)}
        assert sidecar.reload(config, halved) == []
        assert (pool.rules.accepts, pool.rules.opens_per_s) == (185, 20.0)
        assert sidecar.reload(config, {}) == ["connections.plan"]
        planless_sidecar = Sidecar(replace(config, listen=("127.0.0.1", PORTS.next_free())), {}, sidecar.loop)
        assert type(planless_sidecar.transport.pool) is Pool
        for sidecar_to_stop in (sidecar, planless_sidecar):
            sidecar_to_stop.drain()
            await sidecar_to_stop.finished()

    run(case())


def test_the_rig_in_short_loses_nothing_and_keeps_to_its_bound() -> None:
    exit_code, figures, output = run_rig("connections", "--seed", "6", "--seconds", "5")
    assert exit_code in (0, 1), output
    assert figures["sent"] > 1000, output
    assert figures["broken"] == {"lost": 0, "twice": 0, "drain": 0, "cold": 0}, (output, figures)
    assert figures["missing"] == figures["doubled"] == 0
    assert figures["opens_per_s_peak"] <= figures["opens_per_s_bound"], figures
