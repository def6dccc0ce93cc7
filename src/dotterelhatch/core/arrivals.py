"""Detection of a router that gets far more requests than its peers.

A caller may send many times its usual load over a single connection. One
router then receives all of it, and its processor limits what the whole fleet
could have served.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Final

from dotterelhatch.ids import RouterId

__all__ = (
    'ArrivalRate',
    'exceeds_peer_rates',
    'flooded_routers',
    'routers_with_room',
)

# Long enough to average out short bursts of ordinary callers, and short enough
# to detect a flood within a second.
_AVERAGING_SECONDS: Final = 0.7
# Below this rate, no processor is near its limit.
_MIN_REQUESTS_PER_SECOND: Final = 40.0
# A router is detected if its rate exceeds this multiple of the mean rate.
_EXCESS_FACTOR: Final = 2.0


class ArrivalRate:
    """Exponentially weighted moving average of the request rate."""

    def __init__(self) -> None:
        """Create a rate of 0."""
        self._per_second = 0.0
        self._updated_seconds = 0.0

    def record(self, now_seconds: float, count: int = 1) -> None:
        """Count requests."""
        self._per_second = (
            self.per_second(now_seconds) + count / _AVERAGING_SECONDS
        )
        self._updated_seconds = now_seconds

    def per_second(self, now_seconds: float) -> float:
        """Return the average rate."""
        elapsed_seconds = max(0.0, now_seconds - self._updated_seconds)
        return self._per_second * math.exp(
            -elapsed_seconds / _AVERAGING_SECONDS
        )


def exceeds_peer_rates(
    own_per_second: float, peers_per_second: Sequence[float]
) -> bool:
    """Return whether callers should reconnect to other routers.

    :param own_per_second: request rate of this router.
    :param peers_per_second: request rates of the live peers, which would be
        similar if callers chose their routers at random.
    """
    if own_per_second < _MIN_REQUESTS_PER_SECOND or not peers_per_second:
        return False
    total = own_per_second + sum(peers_per_second)
    mean = total / (len(peers_per_second) + 1)
    return own_per_second > _EXCESS_FACTOR * mean


def flooded_routers(
    rates_per_second: Mapping[RouterId, float],
) -> frozenset[RouterId]:
    """Return the routers that callers with a choice should not be sent to.

    These are always fewer than half of the routers.

    :param rates_per_second: request rate of each live router.
    """
    total = sum(rates_per_second.values())
    mean = total / max(1, len(rates_per_second))
    limit = max(_MIN_REQUESTS_PER_SECOND, _EXCESS_FACTOR * mean)
    return frozenset(
        router for router, rate in rates_per_second.items() if rate > limit
    )


def routers_with_room(
    rates_per_second: Mapping[RouterId, float],
) -> frozenset[RouterId]:
    """Return the routers that can serve requests of flooded ones.

    They get no more than the mean of those that are not flooded. The others
    may need their processors for their own callers.

    :param rates_per_second: request rate of each live router.
    """
    flooded = flooded_routers(rates_per_second)
    rates = {
        router: rate
        for router, rate in rates_per_second.items()
        if router not in flooded
    }
    mean = sum(rates.values()) / max(1, len(rates))
    return frozenset(router for router, rate in rates.items() if rate <= mean)
