"""Weighted fair queueing among the organisations of one service."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.ledger import ServiceLedger
from dotterelhatch.ids import OrganisationId

__all__ = ('Candidate', 'Choice', 'FairOrder', 'FairnessSettings')


@dataclass(frozen=True, slots=True)
class FairnessSettings:
    """Parameters of the fair order.

    :param short_priority_interval_count: one grant in this many goes to the
        short request that has waited longest.
    :param max_lead_requests: how far an organisation may be ahead of the
        next one in order and still get such a grant, in mean requests.
    :param max_short_run_count: short requests of an organisation that are
        served in a row before one of its long requests.
    """

    short_priority_interval_count: int = 8
    max_lead_requests: float = 8.0
    max_short_run_count: int = 3


@dataclass(frozen=True, slots=True)
class Candidate:
    """An organisation with waiting requests.

    :param waited_seconds: waiting time of its oldest request.
    """

    organisation: OrganisationId
    has_short: bool
    has_long: bool
    waited_seconds: float


@dataclass(frozen=True, slots=True)
class Choice:
    """The organisation that gets the next slot and the class to serve.

    :param short: whether to serve a short request instead of a long one.
    """

    organisation: OrganisationId
    short: bool


# The moving average of the request cost starts at this value, so that
# max_lead_requests already has an effect for the first requests.
_INITIAL_MEAN_UNITS: Final = 100.0
_SMOOTHING_FACTOR: Final = 0.05


class FairOrder:
    """Orders organisations by the service they received in the whole fleet.

    The organisation with the least service in proportion to its weight comes
    first. Short requests get priority for a fixed share of the grants, so
    that their wait stays bounded.

    :param ledger: gives the normalised service of each organisation.
    """

    def __init__(
        self, ledger: ServiceLedger, settings: FairnessSettings | None = None
    ) -> None:
        """Create an order without organisations."""
        self._ledger = ledger
        self._settings = settings or FairnessSettings()
        self._short_runs: dict[OrganisationId, int] = {}
        self._mean_units = _INITIAL_MEAN_UNITS
        self._choice_count = 0

    def normalised_service(self, organisation: OrganisationId) -> float:
        """Return the cost units received over weight.

        The organisation with the smallest value comes first.
        """
        return self._ledger.normalised_service(organisation)

    def observe_cost(self, units: float) -> None:
        """Add the cost of a finished request to the moving average."""
        self._mean_units += _SMOOTHING_FACTOR * (units - self._mean_units)

    def choose(self, candidates: Iterable[Candidate]) -> Choice | None:
        """Choose the organisation that gets the next slot."""
        waiting = list(candidates)
        if not waiting:
            return None
        first = min(waiting, key=self._rank)
        self._choice_count += 1
        prioritised = self._short_priority_candidate(
            waiting, self.normalised_service(first.organisation)
        )
        if prioritised is not None:
            return Choice(prioritised.organisation, short=True)
        return Choice(first.organisation, self._serve_short(first))

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            'mean_units': self._mean_units,
            'choice_count': self._choice_count,
        }

    def _rank(self, candidate: Candidate) -> tuple[float, str]:
        return (
            self.normalised_service(candidate.organisation),
            candidate.organisation,
        )

    def _short_priority_candidate(
        self, waiting: list[Candidate], first_service: float
    ) -> Candidate | None:
        if self._choice_count % self._settings.short_priority_interval_count:
            return None
        eligible = [
            one
            for one in waiting
            if one.has_short
            and self.normalised_service(one.organisation) - first_service
            <= self._max_lead_units(one)
        ]
        return max(eligible, key=lambda one: one.waited_seconds, default=None)

    def _max_lead_units(self, candidate: Candidate) -> float:
        weight = self._ledger.weight(candidate.organisation)
        return self._settings.max_lead_requests * self._mean_units / weight

    def _serve_short(self, candidate: Candidate) -> bool:
        organisation = candidate.organisation
        run = self._short_runs.get(organisation, 0)
        if not candidate.has_long:
            return True
        if not candidate.has_short or run >= self._settings.max_short_run_count:
            self._short_runs.pop(organisation, None)
            return False
        self._short_runs[organisation] = run + 1
        return True
