"""Cost estimates for requests, derived from completed ones."""

from typing import Final

from dotterelhatch.ids import OrganisationId, ServiceId

__all__ = ('CostEstimator',)

_SMOOTHING_FACTOR: Final = 0.1
_INITIAL_UNITS: Final = 100.0
# The limit that a caller sets is assumed to be twice the actual cost, until a
# ratio has been measured.
_INITIAL_RATIO: Final = 0.5

_Key = tuple[ServiceId, OrganisationId]


class CostEstimator:
    """Moving averages of the cost of requests, by service and organisation.

    Some requests indicate a cost themselves, the hint. The ratio of the actual
    cost to the hint is averaged too.
    """

    def __init__(self) -> None:
        """Create an estimator without measurements."""
        self._units: dict[_Key, float] = {}
        self._ratios: dict[_Key, float] = {}

    def estimate(
        self,
        service: ServiceId,
        organisation: OrganisationId,
        hint_units: float | None,
    ) -> float:
        """Return the expected cost of a request in units.

        :param hint_units: cost that the request itself indicates, if any.
        """
        key = (service, organisation)
        if hint_units is None:
            return self._units.get(key, _INITIAL_UNITS)
        return max(1, hint_units * self._ratios.get(key, _INITIAL_RATIO))

    def observe(
        self,
        service: ServiceId,
        organisation: OrganisationId,
        hint_units: float | None,
        units: float,
    ) -> None:
        """Update the averages by the actual cost of a completed request."""
        key = (service, organisation)
        mean_units = self._units.get(key, units)
        self._units[key] = mean_units + _SMOOTHING_FACTOR * (units - mean_units)
        if hint_units:
            ratio = units / hint_units
            mean_ratio = self._ratios.get(key, ratio)
            self._ratios[key] = mean_ratio + _SMOOTHING_FACTOR * (
                ratio - mean_ratio
            )
