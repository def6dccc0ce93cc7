"""Retry budget of the whole fleet, divided among its routers."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from dotterelhatch.ids import ServiceId

__all__ = ('FleetRetryBudget', 'FleetRetrySettings')

# A router counts a request when it arrives, targets count it when it reaches
# them. The margin covers the difference at the edges of a window.
_SAFETY_FACTOR: Final = 0.7


@dataclass(frozen=True, slots=True)
class FleetRetrySettings:
    """Limit of the retries that a service may receive from the fleet.

    :param window_seconds: length of the sliding window that the limit is for.
    :param ratio: retries per request within a window.
    :param slack_count: retries within a window beyond the ratio, of the whole
        fleet.
    """

    window_seconds: float
    ratio: float
    slack_count: float


class FleetRetryBudget:
    """Sliding window of the requests and retries of one router, by service.

    The fleet has no shared counter. Each router applies the ratio to its own
    requests, which bounds the sum over all routers too. The slack is divided
    by the largest number of routers that were live at once.

    :param settings: the limit for the fleet.
    """

    def __init__(self, settings: FleetRetrySettings) -> None:
        """Create an empty window."""
        self.settings = settings
        self._requests: dict[ServiceId, deque[float]] = {}
        self._retries: dict[ServiceId, deque[float]] = {}

    def on_request(self, service: ServiceId, now_seconds: float) -> None:
        """Count a request of a caller, not a retry."""
        self._expire(self._requests, service, now_seconds).append(now_seconds)

    def try_spend(
        self, service: ServiceId, now_seconds: float, routers_count: int
    ) -> bool:
        """Count a retry if the budget allows one more.

        :param routers_count: number of routers that share the slack.
        """
        retries = self._expire(self._retries, service, now_seconds)
        requests = self._expire(self._requests, service, now_seconds)
        limit = self.settings.ratio * len(requests)
        limit += self.settings.slack_count / max(1, routers_count)
        if len(retries) + 1 > limit * _SAFETY_FACTOR:
            return False
        retries.append(now_seconds)
        return True

    def _expire(
        self,
        windows: dict[ServiceId, deque[float]],
        service: ServiceId,
        now_seconds: float,
    ) -> deque[float]:
        times = windows.setdefault(service, deque())
        start_seconds = now_seconds - self.settings.window_seconds
        while times and times[0] < start_seconds:
            times.popleft()
        return times
