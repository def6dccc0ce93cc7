"""Max-min shares of organisations."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.fairshare import FairShareTracker, Usage, max_min_share
from dotterelhatch.ids import OrganisationId, RouterId

LARGE = OrganisationId('large')
SMALL = OrganisationId('small')


@given(
    st.lists(st.floats(0.1, 1e6), min_size=1, max_size=20),
    st.floats(0.01, 1),
)
def test_the_level_hands_out_all_and_no_more(
    demands: list[float], part: float
) -> None:
    """Guards against shares that waste capacity or exceed it."""
    capacity = sum(demands) * part
    level = max_min_share(demands, capacity)
    given_out = sum(min(one, level) for one in demands)
    assert given_out == pytest.approx(capacity, rel=1e-6)


def test_nobody_is_over_a_share_when_all_demands_fit() -> None:
    """Guards against refusals while there is room."""
    meter = FairShareTracker(4)
    meter.on_arrived(LARGE, 1000, 0)
    meter.on_placed(LARGE, 1000, 0)
    assert meter.fair_share_ratio(LARGE, 0.1) == 0


def test_the_hot_organisation_is_over_its_share_and_small_ones_under() -> None:
    """Guards against one organisation that takes what others ask for."""
    meter = FairShareTracker(4)
    for index in range(100):
        seconds = index * 0.01
        meter.on_arrived(LARGE, 100, seconds)
        meter.on_placed(LARGE, 50, seconds)
        if index % 5 == 0:
            meter.on_arrived(SMALL, 100, seconds)
    assert meter.fair_share_ratio(LARGE, 1) > 1.2
    assert meter.fair_share_ratio(SMALL, 1) == 0


def test_usage_at_peers_counts_until_it_is_out_of_date() -> None:
    """Guards against an organisation that spreads over all routers."""
    meter = FairShareTracker(4)
    meter.on_arrived(SMALL, 1000, 0)
    report = {LARGE: Usage(4000, 2000), SMALL: Usage(1000, 100)}
    meter.on_report(RouterId('r2'), report, 0)
    assert meter.fair_share_ratio(LARGE, 1) > 1
    assert meter.fair_share_ratio(LARGE, 3) == 0


def test_the_window_forgets() -> None:
    """Guards against a former burst that is held against an organisation."""
    meter = FairShareTracker(4)
    meter.on_arrived(LARGE, 1000, 0)
    meter.on_placed(LARGE, 900, 0)
    meter.on_arrived(SMALL, 10, 5)
    assert meter.fair_share_ratio(LARGE, 5) == 0
    assert set(meter.local_usages) == {SMALL}
