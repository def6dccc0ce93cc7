"""Tests of the detection of uneven load between routers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.arrivals import (
    ArrivalRate,
    exceeds_peer_rates,
    flooded_routers,
    routers_with_room,
)
from dotterelhatch.ids import RouterId


def test_rate_follows_arrivals_and_decays() -> None:
    """Guards against a flood that is detected late or reported for too long.

    The moving average has to reach the rate of the flood, and to fall soon
    after its end.
    """
    rate = ArrivalRate()
    for index in range(300):
        rate.record(index * 0.01)
    assert rate.per_second(3.0) == pytest.approx(100, rel=0.1)
    assert rate.per_second(6.0) < 5


@pytest.mark.parametrize(
    ('own', 'peers', 'crowded'),
    [
        (700, [20] * 30, True),
        (200, [30, 30, 30], True),
        (60, [40, 40, 40], False),
        (35, [1, 1, 1], False),
        (500, [], False),
        (500, [480, 510, 490], False),
    ],
)
def test_only_uneven_load_is_detected(
    own: float, peers: list[float], crowded: bool
) -> None:
    """Guards against connections that are closed without need, or not at all.

    A caller that floods one router over one connection has to reconnect to
    another one; an evenly loaded fleet keeps its connections.
    """
    assert exceeds_peer_rates(own, peers) is crowded


@pytest.mark.parametrize(
    ('rates', 'flooded'),
    [
        ([700, 20, 20, 20], {0}),
        ([60, 40, 40, 40], set()),
        ([35, 1, 1, 1], set()),
        ([500, 480], set()),
        ([500], set()),
        ([], set()),
        ([400, 400, 20, 20, 20, 20], {0, 1}),
    ],
)
def test_callers_are_not_sent_to_a_flooded_router(
    rates: list[float], flooded: set[int]
) -> None:
    """Guards against callers that compete with a flood without need."""
    by_router = {
        RouterId(str(index)): float(rate) for index, rate in enumerate(rates)
    }
    expected = {RouterId(str(index)) for index in flooded}
    assert flooded_routers(by_router) == expected


@given(st.lists(st.floats(0, 1e6), max_size=40))
def test_most_routers_stay_listed(rates: list[float]) -> None:
    """Guards against an address list that leaves too few routers."""
    by_router = {RouterId(str(index)): rate for index, rate in enumerate(rates)}
    assert 2 * len(flooded_routers(by_router)) <= len(rates)


@pytest.mark.parametrize(
    ('rates', 'with_room'),
    [
        ([700, 20, 20, 20], {1, 2, 3}),
        ([2000, 300, 0, 0], {2, 3}),
        ([700, 20, 40, 90], {1, 2}),
        ([40, 40], {0, 1}),
        ([], set()),
    ],
)
def test_a_router_below_a_flood_may_have_no_room(
    rates: list[float], with_room: set[int]
) -> None:
    """Guards against requests that are passed to routers that are busy too."""
    by_router = {
        RouterId(str(index)): float(rate) for index, rate in enumerate(rates)
    }
    expected = {RouterId(str(index)) for index in with_room}
    assert routers_with_room(by_router) == expected
