"""Where something listens: an IPv4 address and a port. There is no DNS."""

from __future__ import annotations

import socket

Address = tuple[str, int]

MAX_PORT_DIGITS = 5  # also because a number of thousands of digits is an error to read


def parse_address(text: object) -> Address | None:
    """An IP address and a port, or None."""
    if not isinstance(text, str):
        return None
    host, mark, port = text.rpartition(":")
    if not mark or not (port.isascii() and port.isdigit()) or len(port) > MAX_PORT_DIGITS:
        return None
    if not 0 < int(port) < 65536:
        return None
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return None
    return host, int(port)
