"""All features, by the name of their table; a feature's package is imported only when it is requested."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from garnethaven.feature import Feature
    from garnethaven.parts import Parts
    from garnethaven.tables import Table

# Features are created and opened in this order.
PACKAGES = {
    "state": "garnethaven.state",
    "peers": "garnethaven.peers",
    "tenants": "garnethaven.tenants",
    "budgets": "garnethaven.budgets",
    "limits": "garnethaven.limits",
    "connections": "garnethaven.connections",
    "membership": "garnethaven.membership",
    "external_processor": "garnethaven.extproc",
    "grpc": "garnethaven.grpcs",
}


def table_type(name: str) -> type[Table]:
    """The class of a table; its defaults mean that the feature is off."""
    table_class: type[Table] = importlib.import_module(f"{PACKAGES[name]}.table").TABLE
    return table_class


def make_feature(name: str, table: Table, parts: Parts) -> Feature[Any, Any]:
    """Create a feature; raises ModuleNotFoundError if an optional dependency is not installed."""
    feature: Feature[Any, Any] = importlib.import_module(f"{PACKAGES[name]}.feature").FEATURE(table, parts)
    return feature
