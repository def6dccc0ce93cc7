"""A router that gets far more than its peers sends callers on."""

import pytest

from dotterelhatch.core.arrivals import ArrivalRate, exceeds_peer_rates


def test_the_rate_follows_the_arrivals_and_fades() -> None:
    """Guards against a flood that is noticed too late, or for too long."""
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
def test_only_an_uneven_load_is_sent_on(
    own: float, peers: list[float], crowded: bool
) -> None:
    """Load pattern: one caller floods one router on one connection."""
    assert exceeds_peer_rates(own, peers) is crowded
