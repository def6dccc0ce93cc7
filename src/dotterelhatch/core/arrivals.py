"""Whether a router gets far more requests than its peers.

Load pattern: a caller with many times its usual load keeps one connection,
so that all of it meets one router, whose processor then decides what the
fleet could have shared.
"""

import math
from collections.abc import Sequence
from typing import Final

__all__ = ('ArrivalRate', 'exceeds_peer_rates')

# Long enough to average over the clumps of ordinary callers, and short enough
# to act within a second.
_AVERAGE_SECONDS: Final = 0.7
# Below this rate no processor is near its limit.
_LEAST_PER_SECOND: Final = 40.0
_MEAN_FACTOR: Final = 2.0


class ArrivalRate:
    """Exponentially weighted rate of requests."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self._per_second = 0.0
        self._at_seconds = 0.0

    def record(self, now_seconds: float) -> None:
        """Count a request."""
        self._per_second = self.per_second(now_seconds) + 1 / _AVERAGE_SECONDS
        self._at_seconds = now_seconds

    def per_second(self, now_seconds: float) -> float:
        """Return the rate."""
        elapsed_seconds = max(0.0, now_seconds - self._at_seconds)
        return self._per_second * math.exp(-elapsed_seconds / _AVERAGE_SECONDS)


def exceeds_peer_rates(
    own_per_second: float, peers_per_second: Sequence[float]
) -> bool:
    """Return whether callers should open their connections elsewhere.

    :param peers_per_second: rates of the live peers, which share the load if
        callers choose at random.
    """
    if own_per_second < _LEAST_PER_SECOND or not peers_per_second:
        return False
    total = own_per_second + sum(peers_per_second)
    mean = total / (len(peers_per_second) + 1)
    return own_per_second > _MEAN_FACTOR * mean
