"""Which class a method is of. No I/O.

A route names a service (`/pkg.Service/`) or a method (`/pkg.Service/Method`); the longest that fits counts.
A method that no route names passes under the strictest treatment of `default`, or is `UNIMPLEMENTED` where
there is none.
"""

from __future__ import annotations

from garnethaven.grpcs.table import GrpcRoute


class Routes:
    """`default` is the class of methods that no route names; empty: there are none."""

    def __init__(self, routes: tuple[GrpcRoute, ...], default: str) -> None:
        self.exact = {route.path: route for route in routes if not route.path.endswith("/")}
        self.services = {route.path: route for route in routes if route.path.endswith("/")}
        self.default = GrpcRoute("", default, streams=True) if default else None

    def find(self, path: str) -> GrpcRoute | None:
        """The route of a `:path`."""
        service = path[: path.rfind("/") + 1]
        return self.exact.get(path) or self.services.get(service) or self.default
