"""Tests of the wait limit of a request under different loads."""

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


def test_without_overload_limit_is_most_of_objective() -> None:
    """Guards against rejections in a short burst.

    The queue of such a burst drains within the objective of its requests.
    """
    assert 0.3 < _limit(AdmissionFactors(fair_share_ratio=1)) < OBJECTIVE


def test_without_overload_late_request_may_wait() -> None:
    """Guards against the rejection of retries after a short burst.

    A retry has used up a part of its objective. Without overload it may still
    wait, because after another rejection it would finish later still.
    """
    assert _limit(AdmissionFactors(age_seconds=1.0, fair_share_ratio=1)) > 0.2


def test_under_overload_routes_have_similar_limits() -> None:
    """Guards against routes with long objectives that take all capacity.

    With longer limits under overload their requests would fill the queues.
    """
    overloaded = AdmissionFactors(fair_share_ratio=0.8, rejection_rate=0.5)
    long_limit = _limit(overloaded, 2.0)
    assert long_limit <= SHORTEST
    assert long_limit == pytest.approx(_limit(overloaded, SHORTEST), abs=0.1)


def test_under_overload_late_request_gets_only_idle_capacity() -> None:
    """Guards against retries that prolong an overload.

    All rejected callers retry while the overload lasts. Queued requests that
    are late already would delay those that can still meet their objective.
    """
    factors = AdmissionFactors(
        age_seconds=0.6, fair_share_ratio=0.8, rejection_rate=0.5
    )
    assert _limit(factors) <= 0.05


def test_organisation_above_fair_share_is_not_queued() -> None:
    """Guards against one organisation that takes the capacity of others.

    It sends many times its usual load. Once it has received more than its
    max-min fair share, its requests must not wait any more.
    """
    above_share = AdmissionFactors(fair_share_ratio=1.5, rejection_rate=0.5)
    assert _limit(above_share) == 0
    assert (
        _limit(AdmissionFactors(fair_share_ratio=0.8, rejection_rate=0.5)) > 0.1
    )


def test_small_organisation_keeps_a_long_limit() -> None:
    """Guards against a flood that causes rejections of small organisations.

    The flood of a large organisation lowers the limits of the service. An
    organisation far below its fair share nearly keeps its usual limit.
    """
    small = _limit(AdmissionFactors(fair_share_ratio=0.05, rejection_rate=0.9))
    assert (
        small
        > _limit(AdmissionFactors(fair_share_ratio=0.8, rejection_rate=0.9))
        * 1.4
    )
    assert small < OBJECTIVE


def test_route_that_is_admitted_less_often_has_longer_limit() -> None:
    """Guards against a route that finds its engines full more often.

    Under overload it may be admitted less often than the other routes of its
    service, so its limit is raised and that of the others is lowered.
    """
    rarely_admitted = _limit(
        AdmissionFactors(
            fair_share_ratio=0.8, rejection_rate=0.5, route_admission_ratio=0.5
        )
    )
    often_admitted = _limit(
        AdmissionFactors(
            fair_share_ratio=0.8, rejection_rate=0.5, route_admission_ratio=1.5
        )
    )
    assert rarely_admitted > often_admitted * 1.5


def test_long_prompt_may_wait() -> None:
    """Guards against long prompts that only an idle engine may take.

    The prefill of such a prompt alone exceeds the objective.
    """
    factors = AdmissionFactors(fair_share_ratio=0.8, rejection_rate=0.5)
    assert wait_limit_seconds(factors, OBJECTIVE, SHORTEST, 3.0) > 0.1


def test_window_counts_rejections_by_route_and_expires_them() -> None:
    """Guards against a limit that stays short after the overload.

    The rejections of the overload count only until they leave the window.
    """
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


def test_routers_agree_on_overload() -> None:
    """Guards against routers that judge overload by their own rejections.

    One organisation floods a single router, which rejects most of it, and
    another one floods all other routers, which reject nothing. These must not
    serve the second organisation beyond its fair share.
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


def test_report_of_a_stopped_peer_expires() -> None:
    """Guards against an overload state that outlasts the overload.

    A peer that stops sends no further report to replace its last one.
    """
    window = AdmissionWindow()
    window.on_report(RouterId('a'), {'draft': AdmissionCounts(9, 1)}, 0)
    assert window.rejection_rate(0.1) == 0.9
    assert window.rejection_rate(2.5) == 0
