"""Repeats that the whole fleet may send, divided among its routers."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from dotterelhatch.ids import ServiceId

__all__ = ('FleetRetryBudget', 'FleetRetrySettings')

# A router counts a request when it arrives, the targets when it reaches them;
# the margin covers the difference at the edges of a window.
_SAFETY_SHARE: Final = 0.7


@dataclass(frozen=True, slots=True)
class FleetRetrySettings:
    """Bound of the repeats that a service may receive.

    :param window_seconds: any span of this length is bounded.
    :param ratio: repeats per request in a window.
    :param slack_count: repeats in a window beyond the ratio, for the fleet.
    """

    window_seconds: float
    ratio: float
    slack_count: float


class FleetRetryBudget:
    """Sliding window of the requests and repeats of one router.

    The fleet has no shared counter: each router counts its own requests, so
    the ratio adds up by itself, and the slack is divided by the largest
    number of routers seen.

    :param settings: the bound for the fleet.
    """

    def __init__(self, settings: FleetRetrySettings) -> None:
        """Start with nothing counted."""
        self.settings = settings
        self._requests: dict[ServiceId, deque[float]] = {}
        self._repeats: dict[ServiceId, deque[float]] = {}

    def on_request(self, service: ServiceId, now_seconds: float) -> None:
        """Count a request of a caller."""
        self._trim(self._requests, service, now_seconds).append(now_seconds)

    def try_spend(
        self, service: ServiceId, now_seconds: float, routers_count: int
    ) -> bool:
        """Count a repeat if the window has room for one.

        :param routers_count: routers that share the slack.
        """
        repeats = self._trim(self._repeats, service, now_seconds)
        requests = self._trim(self._requests, service, now_seconds)
        bound = self.settings.ratio * len(requests)
        bound += self.settings.slack_count / max(1, routers_count)
        if len(repeats) + 1 > bound * _SAFETY_SHARE:
            return False
        repeats.append(now_seconds)
        return True

    def _trim(
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
