"""Ports come in rotation from a block of one process below the ephemeral range; ports in use are skipped."""

from __future__ import annotations

import socket

from standins.ports import BLOCK, FIRST, LAST, Ports


def test_a_port_is_given_again_only_after_all_others_and_never_while_somebody_listens() -> None:
    ports, other = Ports(), Ports()
    first = [ports.next_free() for _ in range(BLOCK // 2)]
    assert len(set(first)) == len(first) and all(FIRST <= port < LAST for port in first)
    assert other.next_free() not in range(ports.block.start - 1, ports.block.stop)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", first[0]))
        listener.listen(1)
        rest = [ports.next_free() for _ in range(2 * BLOCK)]
        assert first[0] not in rest
    assert set(first[1:]) <= set(rest)
