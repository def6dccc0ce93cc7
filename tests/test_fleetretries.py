"""Repeats of the fleet stay below the bound in every window."""

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
def test_no_window_exceeds_the_bound_over_all_routers(
    steps: list[tuple[float, int, bool]],
) -> None:
    """Guards against retries that add up over the routers."""
    routers = [FleetRetryBudget(SETTINGS) for _ in range(4)]
    now_seconds = 0.0
    requests: list[float] = []
    repeats: list[float] = []
    for pause, router, is_request in steps:
        now_seconds += pause
        if is_request:
            routers[router].on_request(SERVICE, now_seconds)
            requests.append(now_seconds)
        elif routers[router].try_spend(SERVICE, now_seconds, 4):
            repeats.append(now_seconds)
            start = now_seconds - SETTINGS.window_seconds
            bound = SETTINGS.ratio * sum(one >= start for one in requests)
            bound += SETTINGS.slack_count
            assert sum(one >= start for one in repeats) <= bound


def test_a_router_alone_keeps_to_the_share_of_the_fleet_it_knew() -> None:
    """Guards against a cut router that takes the slack of all."""
    allowance = FleetRetryBudget(SETTINGS)
    spent = sum(allowance.try_spend(SERVICE, 0, 4) for _ in range(100))
    assert 0 < spent <= SETTINGS.slack_count / 4
