"""Tests of the max-min fair shares of organisations."""

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
def test_share_distributes_exactly_the_capacity(
    demands: list[float], fraction: float
) -> None:
    """Guards against shares that waste capacity or exceed it.

    What small demands leave over has to go to the larger ones.
    """
    capacity = sum(demands) * fraction
    share = max_min_share(demands, capacity)
    distributed = sum(min(one, share) for one in demands)
    assert distributed == pytest.approx(capacity, rel=1e-6)


def test_ratio_is_zero_if_all_demands_fit() -> None:
    """Guards against rejections while there is spare capacity.

    If every demand is met, no organisation is above its share, however much
    it uses.
    """
    tracker = FairShareTracker(4)
    tracker.on_arrived(LARGE, 1000, 0)
    tracker.on_placed(LARGE, 1000, 0)
    assert tracker.fair_share_ratio(LARGE, 0.1) == 0


def test_flooding_organisation_is_above_its_fair_share() -> None:
    """Guards against one organisation that takes the capacity of others.

    Half of the flood is placed and nothing of the small organisation; the
    ratios have to show which of them received too much.
    """
    tracker = FairShareTracker(4)
    for index in range(100):
        seconds = index * 0.01
        tracker.on_arrived(LARGE, 100, seconds)
        tracker.on_placed(LARGE, 50, seconds)
        if index % 5 == 0:
            tracker.on_arrived(SMALL, 100, seconds)
    assert tracker.fair_share_ratio(LARGE, 1) > 1.2
    assert tracker.fair_share_ratio(SMALL, 1) == 0


def test_usage_at_peers_counts_until_it_expires() -> None:
    """Guards against an organisation that spreads its load over all routers.

    At each router alone it may be below its share, so the usage that peers
    report counts too, until the report expires.
    """
    tracker = FairShareTracker(4)
    tracker.on_arrived(SMALL, 1000, 0)
    report = {LARGE: Usage(4000, 2000), SMALL: Usage(1000, 100)}
    tracker.on_report(RouterId('r2'), report, 0)
    assert tracker.fair_share_ratio(LARGE, 1) > 1
    assert tracker.fair_share_ratio(LARGE, 3) == 0


def test_usage_expires_with_the_window() -> None:
    """Guards against an earlier burst that still counts for an organisation.

    Its requests would be rejected although the capacity is free again.
    """
    tracker = FairShareTracker(4)
    tracker.on_arrived(LARGE, 1000, 0)
    tracker.on_placed(LARGE, 900, 0)
    tracker.on_arrived(SMALL, 10, 5)
    assert tracker.fair_share_ratio(LARGE, 5) == 0
    assert set(tracker.local_usages) == {SMALL}


def test_usage_that_is_withdrawn_leaves_room_for_other_requests() -> None:
    """Guards against a share that is used up by attempts that failed."""
    tracker = FairShareTracker(4)
    tracker.on_arrived(LARGE, 3000, 0)
    tracker.on_arrived(SMALL, 3000, 0)
    samples = [tracker.on_placed(LARGE, 1000, 0) for _ in range(3)]
    tracker.on_placed(SMALL, 1000, 0)
    assert tracker.fair_share_ratio(LARGE, 0.1) == pytest.approx(1.5)
    for failed in samples[:2]:
        tracker.withdraw(failed)
    assert tracker.fair_share_ratio(LARGE, 0.2) == pytest.approx(1.0)
    assert tracker.local_usages[LARGE] == Usage(3000, 1000)


@given(
    st.lists(
        st.tuples(
            st.floats(0, 3),
            st.sampled_from((LARGE, SMALL)),
            st.integers(1, 1000),
            st.booleans(),
        ),
        max_size=30,
    )
)
def test_usage_is_what_was_not_withdrawn_within_the_window(
    steps: list[tuple[float, OrganisationId, int, bool]],
) -> None:
    """Guards against usage that is subtracted twice or never.

    An attempt may fail long after its usage has left the window.
    """
    tracker = FairShareTracker(4)
    now_seconds = 0.0
    counted = []
    for delay_seconds, organisation, tokens, is_withdrawn in steps:
        now_seconds += delay_seconds
        sample = tracker.on_placed(organisation, tokens, now_seconds)
        counted.append((now_seconds, organisation, tokens, sample))
        if is_withdrawn:
            withdrawn = counted.pop(0)
            tracker.withdraw(withdrawn[-1])
            tracker.withdraw(withdrawn[-1])
        tracker.fair_share_ratio(organisation, now_seconds)
        for name in (LARGE, SMALL):
            begun_tokens = sum(
                entry[2]
                for entry in counted
                if entry[1] == name and entry[0] >= now_seconds - 4
            )
            assert tracker.total_usage(name) == Usage(0, begun_tokens)
