"""Targets that name the request rate that they take, through gateways."""

import curio
import pytest

from standins.server import ServerStandIn
from tests.gateway_helpers import PLAIN, GatewayFixture, open_fleet, run_async

LIMIT_PER_SECOND = 4.0
REQUESTS_COUNT = 60
SPACING_SECONDS = 0.05
SETTLING_SECONDS = 0.5
# What the users allow: one and a half times the limit, and five requests.
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK_COUNT = 5


async def _load(routers: list[GatewayFixture], statuses: list[int]) -> float:
    """Send requests to the routers in turn, at a steady rate.

    :returns: the requests that the limit stands for in the time that it took.
    """
    started_seconds = await curio.clock()
    tasks = []
    for number in range(REQUESTS_COUNT):
        router = routers[number % len(routers)]
        tasks.append(
            await curio.spawn(
                router.call, f'/lookup/{number}', f'r{number}', b'%d' % number
            )
        )
        await curio.sleep(SPACING_SECONDS)
    for task in tasks:
        statuses.append((await task.join()).status)
    return LIMIT_PER_SECOND * (await curio.clock() - started_seconds)


@pytest.mark.parametrize('routers_count', [1, 3])
def test_target_gets_more_than_the_limit_that_it_names(
    routers_count: int,
) -> None:
    """Guards against sending a target more than it takes from all routers.

    Another target without a limit takes what is left.
    """

    @run_async
    async def run() -> None:
        limited = ServerStandIn('i-1', limit_per_second=LIMIT_PER_SECOND)
        other = ServerStandIn('i-2')
        statuses: list[int] = []
        async with open_fleet(
            (PLAIN, limited), (PLAIN, other), routers_count=routers_count
        ) as routers:
            await _load(routers, [])
            await curio.sleep(SETTLING_SECONDS)
            before_count = len(limited.executed_ids)
            expected = await _load(routers, statuses)
        allowed = expected * ALLOWED_FACTOR + ALLOWED_SLACK_COUNT
        assert len(limited.executed_ids) - before_count <= allowed
        assert statuses == [200] * REQUESTS_COUNT

    run()


@pytest.mark.parametrize('routers_count', [1, 3])
def test_requests_wait_for_a_target_that_takes_no_more(
    routers_count: int,
) -> None:
    """Guards against holding what no target will take.

    All targets name a limit; what exceeds it is rejected at once.
    """

    @run_async
    async def run() -> None:
        limited = ServerStandIn('i-1', limit_per_second=LIMIT_PER_SECOND)
        statuses: list[int] = []
        async with open_fleet(
            (PLAIN, limited), routers_count=routers_count
        ) as routers:
            await _load(routers, [])
            before_count = len(limited.executed_ids)
            expected = await _load(routers, statuses)
        run_count = len(limited.executed_ids) - before_count
        assert run_count >= min(expected, REQUESTS_COUNT) / 2
        assert run_count <= expected * ALLOWED_FACTOR + ALLOWED_SLACK_COUNT
        assert statuses.count(200) == run_count
        assert statuses.count(429) == REQUESTS_COUNT - run_count

    run()
