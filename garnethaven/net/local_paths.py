"""The paths that the sidecar answers itself."""

from __future__ import annotations

LOCAL_PREFIX = b"/-/"  # requests under it are never forwarded
READY_PATH = b"/-/ready"


def local_status(url: bytes, draining: bool) -> int | None:
    """The status of the answer to a local path; None for a request that is forwarded to an endpoint."""
    path = url.partition(b"?")[0]
    if not path.startswith(LOCAL_PREFIX):
        return None
    if path != READY_PATH:
        return 404
    return 503 if draining else 200
