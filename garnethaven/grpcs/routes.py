"""Maps gRPC methods to their routes. No I/O.

A route's path is a service (`/pkg.Service/`) or a method (`/pkg.Service/Method`); the longest match wins. A
method without a route gets the class `default` and is treated as streaming, the strictest treatment; if
`default` is empty, the call is answered with `UNIMPLEMENTED`.
"""

from __future__ import annotations

from garnethaven.grpcs.table import GrpcRoute


class Routes:
    """Looks up routes; `default` is the class of methods without a route, or empty to reject them."""

    def __init__(self, routes: tuple[GrpcRoute, ...], default: str) -> None:
        self.methods = {route.path: route for route in routes if not route.path.endswith("/")}
        self.services = {route.path: route for route in routes if route.path.endswith("/")}
        self.default = GrpcRoute("", default, streams=True) if default else None

    def find(self, path: str) -> GrpcRoute | None:
        """Return the route for a `:path`, or None."""
        service = path[: path.rfind("/") + 1]
        return self.methods.get(path) or self.services.get(service) or self.default
