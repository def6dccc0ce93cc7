"""Estimates of how long requests take."""

from dataclasses import dataclass
from typing import Final

__all__ = ('RouteDurations',)

# Weights of the newest value in the mean and in the mean deviation, and the
# deviations by which few requests exceed the mean, as for timeouts of TCP.
_MEAN_FACTOR: Final = 1 / 8
_DEVIATION_FACTOR: Final = 1 / 4
_DEVIATIONS_COUNT: Final = 4


@dataclass(slots=True)
class _Duration:
    mean_seconds: float
    deviation_seconds: float


class RouteDurations:
    """Time from the arrival of a request to the end of its response."""

    def __init__(self) -> None:
        """Start without any measurement."""
        self._durations: dict[str, _Duration] = {}

    def on_served(self, route_name: str, seconds: float) -> None:
        """Record a request that was answered."""
        known = self._durations.get(route_name)
        if known is None:
            self._durations[route_name] = _Duration(seconds, seconds / 2)
            return
        difference_seconds = seconds - known.mean_seconds
        known.mean_seconds += _MEAN_FACTOR * difference_seconds
        known.deviation_seconds += _DEVIATION_FACTOR * (
            abs(difference_seconds) - known.deviation_seconds
        )

    def most_seconds(self, route_name: str, limit_seconds: float) -> float:
        """Return the time within which almost all requests of a route end.

        :param limit_seconds: of this request; without a measurement it may
            need all of that.
        """
        known = self._durations.get(route_name)
        if known is None:
            return limit_seconds
        return min(
            limit_seconds,
            known.mean_seconds + _DEVIATIONS_COUNT * known.deviation_seconds,
        )

    def retain(self, route_names: frozenset[str]) -> None:
        """Forget the routes that are not in force any more."""
        self._durations = {
            name: known
            for name, known in self._durations.items()
            if name in route_names
        }
