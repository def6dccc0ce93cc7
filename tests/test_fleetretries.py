"""Tests of the retry budget that the routers of a fleet share."""

from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.fleetretries import FleetRetryBudget, FleetRetrySettings
from dotterelhatch.ids import ServiceId

SERVICE = ServiceId('siparis-app')
SETTINGS = FleetRetrySettings(window_seconds=10, ratio=0.2, slack_count=56)


@given(
    st.lists(
        st.tuples(st.floats(0, 0.5), st.integers(0, 3), st.booleans()),
        max_size=400,
    )
)
def test_retries_of_all_routers_stay_below_limit(
    steps: list[tuple[float, int, bool]],
) -> None:
    """Guards against retries that exceed the limit when summed over routers.

    Routers share no counter. Each one limits its retries by its own requests
    and by its part of the slack.
    """
    routers = [FleetRetryBudget(SETTINGS) for _ in range(4)]
    now_seconds = 0.0
    requests: list[float] = []
    retries: list[float] = []
    for pause, router, is_request in steps:
        now_seconds += pause
        if is_request:
            routers[router].on_request(SERVICE, now_seconds)
            requests.append(now_seconds)
        elif routers[router].try_spend(SERVICE, now_seconds, 4):
            retries.append(now_seconds)
            start = now_seconds - SETTINGS.window_seconds
            limit = SETTINGS.ratio * sum(one >= start for one in requests)
            limit += SETTINGS.slack_count
            assert sum(one >= start for one in retries) <= limit


def test_partitioned_router_keeps_its_part_of_the_slack() -> None:
    """Guards against a partitioned router that uses the whole slack.

    It does not know what its peers spend, so its part of the slack depends on
    the number of routers that were live before.
    """
    budget = FleetRetryBudget(SETTINGS)
    spent_count = sum(budget.try_spend(SERVICE, 0, 4) for _ in range(100))
    assert 0 < spent_count <= SETTINGS.slack_count / 4
