"""The modules of the program import one another without a circle, and in one direction of layers.

The layers are those of CONTRIBUTING.md. A module may import its own layer and those below it. Imports for
type checking and inside functions count as all others. Not counted: what Python runs of the packages on the
way to a module, and the features that `app/registry.py` loads by name, which is downwards.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = "garnethaven"

APP = "app: puts the parts together"
EDGES = "fronts, transports and features: bring calls in, carry them to servers"
ENGINE = "engine: carries the decisions out"
DECISIONS = "decisions, and the types they share: no I/O, no clock"
LOWEST_FIRST = (DECISIONS, ENGINE, EDGES, APP)

# By module or package, without `garnethaven.`; the longest name that fits a module counts.
LAYERS = {
    APP: "__main__ app",
    EDGES: """
        backlog benchlink budgets connections extproc feature grpcs keys limits.feature limits.front
        membership net ops parts peers state tenants
    """,
    ENGINE: "config engine",
    DECISIONS: """
        __init__ addresses brain interface records settings tables turns
        budgets.lending budgets.purse budgets.table
        connections.ahead connections.caps connections.demand connections.idle_limits connections.pacing
        connections.planner connections.table
        extproc.table extproc.tokens
        gossip
        grpcs.floods grpcs.goaway grpcs.routes grpcs.table
        judgements
        keys.validity
        limits
        membership.batches membership.cache membership.call_schedule membership.catchup membership.entries
        membership.list_reader membership.merger membership.model membership.payloads membership.table
        membership.telling
        net.request_deadlines net.reuse
        peers.conversation peers.membership peers.table
        recovery
        state.ageing state.table
        tenants.admission tenants.bound tenants.shares tenants.sharing tenants.table
    """,
}
LAYER_OF = {name: layer for layer, names in LAYERS.items() for name in names.split()}

Imports = dict[str, set[str]]  # by module: the modules of the package that it imports


def modules(root: Path) -> dict[str, Path]:
    """The files of all modules of the package, by name; a package's own is `NAME.__init__`."""
    paths = (root / PACKAGE).rglob("*.py")
    return {".".join(path.relative_to(root).with_suffix("").parts): path for path in paths}


def named_imports(module: str, source: str) -> Iterator[str]:
    """All names that a module's imports can mean: of modules, or of what stands in one."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            above = module.split(".")[: -node.level] if node.level else []
            base = ".".join([*above, *([node.module] if node.module else [])])
            yield from (f"{base}.{alias.name}" for alias in node.names)


def imports_of(root: Path) -> Imports:
    """What each module of the package imports of the others there."""
    files = modules(root)

    def module_of(name: str) -> str | None:
        """The module that is imported by this name; where it is none, the one that it stands in."""
        holder = name.rpartition(".")[0]
        candidates = (name, f"{name}.__init__", holder, f"{holder}.__init__")
        return next((one for one in candidates if one in files), None)

    found: Imports = {}
    for module, path in files.items():
        names = named_imports(module, path.read_text(encoding="utf-8"))
        found[module] = {one for name in names if (one := module_of(name)) is not None}
    return found


def circle(imports: Imports) -> list[str]:
    """The modules of one import circle, in turn; empty where there is none."""
    try:
        TopologicalSorter(imports).prepare()
    except CycleError as error:
        found: list[str] = error.args[1]
        return found
    return []


def layer_of(module: str, layers: dict[str, str]) -> str | None:
    """The layer of a module by the longest name in the table that fits."""
    parts = module.split(".")[1:]
    names = (".".join(parts[:length]) for length in range(len(parts), 0, -1))
    return next((layers[name] for name in names if name in layers), None)


def upward(imports: Imports, layers: dict[str, str]) -> list[str]:
    """The imports against the direction, and the modules that no layer names."""
    wrong: list[str] = []
    for module, imported in sorted(imports.items()):
        layer = layer_of(module, layers)
        if layer is None:
            wrong.append(f"{module} is in no layer")
            continue
        for other in sorted(imported):
            above = layer_of(other, layers)
            if above is not None and LOWEST_FIRST.index(above) > LOWEST_FIRST.index(layer):
                wrong.append(f"{module} imports {other}")
    return wrong


@pytest.fixture(scope="module")
def program() -> Imports:
    return imports_of(ROOT)


def test_no_module_is_in_an_import_circle(program: Imports) -> None:
    assert circle(program) == []


def test_no_import_goes_against_the_layers(program: Imports) -> None:
    assert upward(program, LAYER_OF) == []


def test_the_table_of_layers_names_what_there_is(program: Imports) -> None:
    known = {".".join(module.split(".")[1:][:length]) for module in program for length in (1, 2, 3)}
    assert set(LAYER_OF) - known == set()
    assert sum(len(names.split()) for names in LAYERS.values()) == len(LAYER_OF)  # each stands there once


# The guard itself


def written(folder: Path, **sources: str) -> Imports:
    """The imports of a small package `garnethaven`, by the sources of its modules; `_in_` is a dot."""
    for name, source in sources.items():
        path = folder.joinpath(PACKAGE, *name.split("_in_")).with_suffix(".py")
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(source)
    return imports_of(folder)


FOR_TYPES = "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    "


@pytest.mark.parametrize(
    "back",
    [
        "from garnethaven.brain import Balancer",
        "from garnethaven import brain",
        "import garnethaven.brain",
        "from .brain import Balancer",
        "from . import brain",
        f"{FOR_TYPES}from garnethaven.brain import Balancer",
        "def late():\n    from garnethaven.brain import Balancer",
    ],
)
def test_a_circle_is_found_however_it_is_written(back: str, tmp_path: Path) -> None:
    imports = written(tmp_path, brain="import garnethaven.turns", turns=back)
    assert set(circle(imports)) == {"garnethaven.brain", "garnethaven.turns"}


@pytest.mark.parametrize(
    ("lower", "higher"),
    [("brain", "engine_in_calls"), ("engine_in_calls", "net_in_client"), ("net_in_client", "app_in_sidecar")],
)
def test_an_import_against_the_layers_is_found(lower: str, higher: str, tmp_path: Path) -> None:
    low, high = (f"{PACKAGE}.{name.replace('_in_', '.')}" for name in (lower, higher))
    assert upward(written(tmp_path, **{higher: f"import {low}", lower: ""}), LAYER_OF) == []
    imports = written(tmp_path, **{lower: f"import {high}", higher: ""})
    assert upward(imports, LAYER_OF) == [f"{low} imports {high}"]


def test_a_module_in_no_layer_is_found(tmp_path: Path) -> None:
    assert upward(written(tmp_path, novel=""), LAYER_OF) == [f"{PACKAGE}.novel is in no layer"]
