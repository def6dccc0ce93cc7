"""Choice of the requests that a saturated router rejects."""

from dotterelhatch.core.shedding import LoadShedder
from dotterelhatch.ids import OrganisationId

LARGE = OrganisationId('large')
SMALL = OrganisationId('small')
STEP_SECONDS = 0.01


def admitted_counts(
    shedder: LoadShedder, start_seconds: float, lag_seconds: float
) -> tuple[int, int]:
    """Send ten large requests for each small one; return both admitted."""
    large = small = 0
    for step in range(300):
        now_seconds = start_seconds + step * STEP_SECONDS
        if step % 10 == 0:
            small += shedder.admits(SMALL, lag_seconds, now_seconds)
        large += shedder.admits(LARGE, lag_seconds, now_seconds)
    return large, small


def test_no_request_is_rejected_without_lag() -> None:
    """Guards against a limit that idle processor time does not call for."""
    assert admitted_counts(LoadShedder(), 0, lag_seconds=0) == (300, 30)


def test_the_largest_organisation_is_rejected_first() -> None:
    """Guards against rejections that are blind to the organisation."""
    large, small = admitted_counts(LoadShedder(), 0, lag_seconds=0.5)
    assert small == 30
    assert large < 300


def test_the_limit_ends_with_the_lag() -> None:
    """Guards against a limit that outlasts the overload."""
    shedder = LoadShedder()
    admitted_counts(shedder, 0, lag_seconds=0.5)
    admitted_counts(shedder, 3, lag_seconds=0)
    assert admitted_counts(shedder, 6, lag_seconds=0) == (300, 30)


def test_an_organisation_that_returns_starts_anew() -> None:
    """Guards against a share that counts requests of long ago."""
    shedder = LoadShedder()
    admitted_counts(shedder, 0, lag_seconds=0.5)
    assert shedder.admits(SMALL, 0.5, 60)
    assert shedder.admits(LARGE, 0.5, 60)
