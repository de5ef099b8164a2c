"""Adapters whose callers have been refused."""

import pytest

from persimmonhitch.decide.missing import DEMAND_TTL_S
from persimmonhitch.decide.refused_adapters import RETRY_INTERVAL_S, RefusedAdapters
from persimmonhitch.ids import Adapter, Model

BIG, SMALL = Model("big"), Model("small")
A1, A2 = Adapter("a1"), Adapter("a2")


@pytest.mark.parametrize(
    ("requests", "now", "expected"),
    [
        ([], 0.0, []),
        ([(BIG, A1, 0.0)], 9.0, [(BIG, A1)]),
        ([(BIG, A2, 1.0), (BIG, A1, 0.0)], 9.0, [(BIG, A1), (BIG, A2)]),
        ([(BIG, A1, 0.0), (BIG, A2, 1.0), (BIG, A1, 8.0)], 9.0, [(BIG, A1), (BIG, A2)]),
        ([(SMALL, A1, 0.0)], 9.0, []),
        ([(BIG, A1, 0.0)], DEMAND_TTL_S + 1, []),
        ([(BIG, A1, 0.0), (BIG, A1, 5.0)], DEMAND_TTL_S + 1, [(BIG, A1)]),
    ],
)
def test_refused_adapters_are_loaded_in_the_order_of_their_first_refusal(
    requests, now, expected
):
    """Guards against adapters that are forgotten between two requests."""
    refused = RefusedAdapters()
    for request in requests:
        refused.record(*request)
    refused.expire(now)
    assert refused.next_loads({BIG}, 4, now) == expected


def test_failed_loads_of_refused_adapters_are_paced():
    """Guards against an order each round for an adapter that no engine accepts."""
    refused = RefusedAdapters()
    refused.record(BIG, A1, 0.0)
    attempts = [refused.next_loads({BIG}, 4, n * 0.1) for n in range(11)]
    assert sum(map(len, attempts)) == 1 + int(1.0 / RETRY_INTERVAL_S)
    assert refused.record_loaded((BIG, A1), 3.0) == 3.0
    assert refused.next_loads({BIG}, 4, 9.0) == []
