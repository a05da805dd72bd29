"""Request counters and their Prometheus text."""

from __future__ import annotations

import random

from garnethaven.engine.account import Account, CallResult
from garnethaven.ops.figures import EndpointCounts, render


def test_every_request_taken_is_in_exactly_one_place() -> None:
    rng = random.Random(7)
    account, open_classes = Account(2), []
    for _ in range(2000):
        if rng.random() < 0.5:
            request_class = rng.randrange(4)  # 2 and 3 are the unsafe variants of classes 0 and 1
            account.take(request_class)
            open_classes.append(request_class)
        elif open_classes:
            account.end(open_classes.pop(rng.randrange(len(open_classes))), rng.choice(list(CallResult)))
        for request_class in range(2):
            ended = sum(counts[request_class] for counts in account.ended.values())
            assert account.taken[request_class] == ended + sum(
                open_class % 2 == request_class for open_class in open_classes
            )
        assert account.in_flight == len(open_classes)


def test_the_text_has_the_names_of_the_page() -> None:
    account = Account(2)
    account.take(0)
    account.record_immediate(3, CallResult.REFUSED)
    account.attempts = 5
    lines = render(account, ("check", 'a"b\\c\nd'), EndpointCounts(7, 2)).splitlines()
    assert 'edge_node_served{class="check"} 0' in lines
    assert 'edge_node_refused{class="a\\"b\\\\c\\nd"} 1' in lines
    assert lines[-1] == "edge_node_endpoints_excluded 2"
    assert {"edge_node_attempts 5", "edge_node_in_flight 1", "edge_node_endpoints_known 7"} <= set(lines)
    assert "# TYPE edge_node_served counter" in lines and "# TYPE edge_node_in_flight gauge" in lines
