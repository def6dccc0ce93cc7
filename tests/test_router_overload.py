"""Shares of the organisations at a router whose processor is saturated."""

import pytest

from tests.saturated_router import (
    ACCEPTED_SECONDS,
    PLAIN_PATH,
    SaturatedRouter,
)

# Requests per second that the best served organisation gets at the peers.
BEST_PER_SECOND = 100.0
WINDOW_SECONDS = 6.0
NEIGHBOURS = {'mid': 60.0, 'small': 20.0}


def flooded_router(flood_per_second: float, seed: int) -> SaturatedRouter:
    """Return a router that one organisation has flooded for six seconds."""
    router = SaturatedRouter({'flood': flood_per_second, **NEIGHBOURS}, seed)
    router.run(3, BEST_PER_SECOND)
    router.run(WINDOW_SECONDS, BEST_PER_SECOND)
    return router


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('flood_per_second', [600.0, 700.0, 1000.0])
def test_neighbours_of_a_flood_keep_their_share(
    flood_per_second: float, seed: int
) -> None:
    """Guards against rejections that are blind to the organisation."""
    router = flooded_router(flood_per_second, seed)
    best = BEST_PER_SECOND * WINDOW_SECONDS
    for name, asked in router.asked.items():
        assert router.served[name] >= min(asked, best) / 2, router.served


def test_rejected_requests_count_as_demand() -> None:
    """Guards against fair shares that omit what a saturated router rejects."""
    router = flooded_router(600, seed=1)
    usages = router.state.fair_shares.local_usages
    window_seconds = router.state.settings.share_window_seconds
    asked_tokens = sum(usage.asked_tokens for usage in usages.values())
    rate = 600 + sum(NEIGHBOURS.values())
    # Half of the mean leaves room for the end of the run.
    assert asked_tokens >= rate * window_seconds * 1000 / 2


def test_closed_connections_do_not_add_to_the_overload() -> None:
    """Guards against a flood that has to connect again for each request."""
    router = flooded_router(1000, seed=1)
    # At most a tenth of the processor accepts connections.
    accepting_seconds = router.closed_count * ACCEPTED_SECONDS
    assert accepting_seconds <= WINDOW_SECONDS / 10


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_neighbours_of_a_flood_keep_their_share_of_a_plain_service(
    seed: int,
) -> None:
    """Guards against a queue that one organisation fills for all others."""
    rates = {'flood': 400.0, 'small': 10.0, 'smaller': 5.0}
    router = SaturatedRouter(rates, seed, PLAIN_PATH)
    router.run(3)
    router.run(WINDOW_SECONDS)
    best = router.served['flood']
    for name, asked in router.asked.items():
        assert router.served[name] >= min(asked, best) / 2, router.served
