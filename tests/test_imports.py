"""The program's modules have no import cycles and import only their own layer and lower ones.

The layers are those of CONTRIBUTING.md. Imports for type checking and inside functions count like all others.
Not counted: the `__init__` modules of parent packages, which Python runs when it imports a module, and the
features that `app/registry.py` loads by name, which are in a lower layer.
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
LAYER_ORDER = (DECISIONS, ENGINE, EDGES, APP)  # lowest first

# By module or package, without `garnethaven.`; the longest matching name decides.
LAYERS = {
    APP: "__main__ app",
    EDGES: """
        backlog benchlink budgets connections extproc feature grpcs keys limits.feature limits.front
        membership net ops parts peers state tenants
    """,
    ENGINE: "config engine",
    DECISIONS: """
        __init__ addresses attempt_rules brain interface records settings tables weighted_round_robin
        budgets.lending budgets.token_balance budgets.table
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
        membership.source_output
        net.request_deadlines net.reuse
        peers.conversation peers.membership peers.table
        recovery
        state.ageing state.table
        tenants.admission tenants.bound tenants.shares tenants.sharing tenants.table
    """,
}
LAYER_OF = {name: layer for layer, names in LAYERS.items() for name in names.split()}

Imports = dict[str, set[str]]  # by module: the modules of the package that it imports directly


def modules(root: Path) -> dict[str, Path]:
    """The files of all modules of the package, by module name; a package itself is `NAME.__init__`."""
    paths = (root / PACKAGE).rglob("*.py")
    return {".".join(path.relative_to(root).with_suffix("").parts): path for path in paths}


def named_imports(module: str, source: str) -> Iterator[str]:
    """All qualified names that a module imports: modules, or names defined in a module."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            parents = module.split(".")[: -node.level] if node.level else []
            base = ".".join([*parents, *([node.module] if node.module else [])])
            yield from (f"{base}.{alias.name}" for alias in node.names)


def imports_of(root: Path) -> Imports:
    """For each module of the package, the other modules of the package that it imports."""
    files = modules(root)

    def module_of(name: str) -> str | None:
        """The module of this name, else the module that defines the name, else None."""
        parent = name.rpartition(".")[0]
        candidates = (name, f"{name}.__init__", parent, f"{parent}.__init__")
        return next((candidate for candidate in candidates if candidate in files), None)

    found: Imports = {}
    for module, path in files.items():
        names = named_imports(module, path.read_text(encoding="utf-8"))
        found[module] = {candidate for name in names if (candidate := module_of(name)) is not None}
    return found


def find_cycle(imports: Imports) -> list[str]:
    """The modules of one import cycle, in order; empty if there is none."""
    try:
        TopologicalSorter(imports).prepare()
    except CycleError as error:
        found: list[str] = error.args[1]
        return found
    return []


def layer_of(module: str, layers: dict[str, str]) -> str | None:
    """The layer of a module, by the longest matching name in `layers`."""
    parts = module.split(".")[1:]
    names = (".".join(parts[:length]) for length in range(len(parts), 0, -1))
    return next((layers[name] for name in names if name in layers), None)


def layer_violations(imports: Imports, layers: dict[str, str]) -> list[str]:
    """The imports of a higher layer, and the modules that belong to no layer."""
    violations: list[str] = []
    for module, imported in sorted(imports.items()):
        layer = layer_of(module, layers)
        if layer is None:
            violations.append(f"{module} is in no layer")
            continue
        for other in sorted(imported):
            other_layer = layer_of(other, layers)
            if other_layer is not None and LAYER_ORDER.index(other_layer) > LAYER_ORDER.index(layer):
                violations.append(f"{module} imports {other}")
    return violations


@pytest.fixture(scope="module")
def program() -> Imports:
    return imports_of(ROOT)


def test_no_module_is_in_an_import_circle(program: Imports) -> None:
    assert find_cycle(program) == []


def test_no_import_goes_against_the_layers(program: Imports) -> None:
    assert layer_violations(program, LAYER_OF) == []


def test_the_table_of_layers_names_what_there_is(program: Imports) -> None:
    known = {".".join(module.split(".")[1:][:length]) for module in program for length in (1, 2, 3)}
    assert set(LAYER_OF) - known == set()
    assert sum(len(names.split()) for names in LAYERS.values()) == len(LAYER_OF)  # no name is listed twice


# Tests of the checks above


def write_package(folder: Path, **sources: str) -> Imports:
    """Write a package `garnethaven` from its modules' sources (`_in_` is a dot); returns its imports."""
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
    imports = write_package(tmp_path, brain="import garnethaven.turns", turns=back)
    assert set(find_cycle(imports)) == {"garnethaven.brain", "garnethaven.turns"}


@pytest.mark.parametrize(
    ("lower", "higher"),
    [("brain", "engine_in_calls"), ("engine_in_calls", "net_in_client"), ("net_in_client", "app_in_sidecar")],
)
def test_an_import_against_the_layers_is_found(lower: str, higher: str, tmp_path: Path) -> None:
    low, high = (f"{PACKAGE}.{name.replace('_in_', '.')}" for name in (lower, higher))
    assert layer_violations(write_package(tmp_path, **{higher: f"import {low}", lower: ""}), LAYER_OF) == []
    imports = write_package(tmp_path, **{lower: f"import {high}", higher: ""})
    assert layer_violations(imports, LAYER_OF) == [f"{low} imports {high}"]


def test_a_module_in_no_layer_is_found(tmp_path: Path) -> None:
    assert layer_violations(write_package(tmp_path, novel=""), LAYER_OF) == [
        f"{PACKAGE}.novel is in no layer"
    ]
