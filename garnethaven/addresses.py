"""Parsing of addresses: an IPv4 address and a port. Host names are not supported."""

from __future__ import annotations

import socket

Address = tuple[str, int]

MAX_PORT_DIGITS = 5  # also bounds the text passed to int(), which raises for thousands of digits


def parse_address(text: object) -> Address | None:
    """Parse `ADDRESS:PORT`; None if the text has another form."""
    if not isinstance(text, str):
        return None
    host, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()) or len(port) > MAX_PORT_DIGITS:
        return None
    if not 0 < int(port) < 65536:
        return None
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return None
    return host, int(port)
