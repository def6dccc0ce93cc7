"""Wait limits, each with the load pattern that it answers."""

import pytest

from dotterelhatch.core.admission import (
    AdmissionCounts,
    AdmissionFactors,
    AdmissionWindow,
    wait_limit_seconds,
)
from dotterelhatch.core.fairshare import FairShareTracker, Usage
from dotterelhatch.ids import OrganisationId, RouterId

OBJECTIVE = 0.5
SHORTEST = 0.3
READ = 0.06


def _limit(factors: AdmissionFactors, objective: float = OBJECTIVE) -> float:
    return wait_limit_seconds(factors, objective, SHORTEST, READ)


def test_without_overload_a_request_waits_for_most_of_its_objective() -> None:
    """Load pattern: a short clump that drains within the objective."""
    assert 0.3 < _limit(AdmissionFactors(fair_share_ratio=1)) < OBJECTIVE


def test_without_overload_a_late_request_is_served_all_the_same() -> None:
    """Load pattern: callers that return after a clump."""
    assert _limit(AdmissionFactors(age_seconds=1.0, fair_share_ratio=1)) > 0.2


def test_under_overload_kinds_have_one_limit() -> None:
    """Load pattern: patient and impatient kinds, more than can be served."""
    overloaded = AdmissionFactors(fair_share_ratio=0.8, rejection_rate=0.5)
    patient = _limit(overloaded, 2.0)
    assert patient <= SHORTEST
    assert patient == pytest.approx(_limit(overloaded, SHORTEST), abs=0.1)


def test_under_overload_late_requests_get_only_idle_capacity() -> None:
    """Load pattern: all refused callers return while overload lasts."""
    factors = AdmissionFactors(
        age_seconds=0.6, fair_share_ratio=0.8, rejection_rate=0.5
    )
    assert _limit(factors) <= 0.05


def test_an_organisation_over_its_share_gives_way() -> None:
    """Load pattern: one organisation sends many times its usual."""
    over = AdmissionFactors(fair_share_ratio=1.5, rejection_rate=0.5)
    assert _limit(over) == 0
    assert (
        _limit(AdmissionFactors(fair_share_ratio=0.8, rejection_rate=0.5)) > 0.1
    )


def test_a_small_organisation_is_not_pressed() -> None:
    """Load pattern: small organisations beside a flood of a large one."""
    small = _limit(AdmissionFactors(fair_share_ratio=0.05, rejection_rate=0.9))
    assert (
        small
        > _limit(AdmissionFactors(fair_share_ratio=0.8, rejection_rate=0.9))
        * 1.4
    )
    assert small < OBJECTIVE


def test_a_kind_that_is_served_less_often_waits_longer() -> None:
    """Load pattern: one kind meets full engines more often than others."""
    behind = _limit(
        AdmissionFactors(
            fair_share_ratio=0.8, rejection_rate=0.5, route_admission_ratio=0.5
        )
    )
    ahead = _limit(
        AdmissionFactors(
            fair_share_ratio=0.8, rejection_rate=0.5, route_admission_ratio=1.5
        )
    )
    assert behind > ahead * 1.5


def test_a_long_prompt_may_wait_too() -> None:
    """Load pattern: prompts whose reading alone exceeds the objective."""
    factors = AdmissionFactors(fair_share_ratio=0.8, rejection_rate=0.5)
    assert wait_limit_seconds(factors, OBJECTIVE, SHORTEST, 3.0) > 0.1


def test_the_window_counts_refusals_by_kind_and_forgets_them() -> None:
    """Guards against a limit that stays short after the overload."""
    window = AdmissionWindow(window_seconds=2)
    for index in range(20):
        window.add('a', index * 0.01, admitted=True)
        window.add('b', index * 0.01, admitted=index % 2 == 0)
    assert window.rejection_rate(0.2) == 0.25
    assert (
        window.route_admission_ratio('b', 0.2)
        < 1
        < window.route_admission_ratio('a', 0.2)
    )
    assert window.rejection_rate(3) == 0


def test_routers_agree_on_overload_wherever_callers_are() -> None:
    """Load pattern: two floods, one at a single router, one at all others.

    The router of the first one refuses most of it; the others refuse nothing
    and must not serve the second flood beyond its share meanwhile.
    """
    flooded = RouterId('flooded')
    spread = OrganisationId('spread')
    single = OrganisationId('single')
    shares = FairShareTracker(window_seconds=4)
    window = AdmissionWindow()
    shares.on_arrived(spread, 1_000_000, 0)
    shares.on_placed(spread, 1_000_000, 0)
    window.add('draft', 0, admitted=True)
    shares.on_report(flooded, {single: Usage(1_800_000, 400_000)}, 0.1)
    window.on_report(flooded, {'draft': AdmissionCounts(300, 70)}, 0.1)

    limits = [
        _limit(
            AdmissionFactors(
                fair_share_ratio=shares.fair_share_ratio(organisation, 0.1),
                rejection_rate=window.rejection_rate(0.1),
            )
        )
        for organisation in (spread, single)
    ]

    assert limits[0] == 0
    assert limits[1] > 0.1


def test_what_a_silent_peer_reported_does_not_count() -> None:
    """Guards against an overload that ends with the router that told of it."""
    window = AdmissionWindow()
    window.on_report(RouterId('a'), {'draft': AdmissionCounts(9, 1)}, 0)
    assert window.rejection_rate(0.1) == 0.9
    assert window.rejection_rate(2.5) == 0
