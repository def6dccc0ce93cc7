"""Failure domains that are evacuated: no request is sent to their targets."""

from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.documents import UNKNOWN_ERA
from dotterelhatch.ids import FailureDomain

__all__ = ('EvacuationChanges', 'Evacuations')

# A source that comes back from a copy may have lost a request, and whoever made
# it needs time to notice and repeat it. A withdrawal after that leaves no trace
# in the source, so the request can't be kept without a limit.
_GRACE_SECONDS: Final = 60.0
_NONE: Final[frozenset[FailureDomain]] = frozenset()


@dataclass(frozen=True, slots=True)
class EvacuationChanges:
    """Differences between two states.

    :param lapsed: still evacuated, although the source that came back from a
        copy does not request it.
    """

    begun: frozenset[FailureDomain] = _NONE
    ended: frozenset[FailureDomain] = _NONE
    lapsed: frozenset[FailureDomain] = _NONE


class Evacuations:
    """The evacuations in force.

    A request that disappears within an era of the source was withdrawn and ends
    at once. One that is missing after the source came back from a copy stays in
    force for a grace period.
    """

    def __init__(self) -> None:
        """Start without evacuations."""
        self._requested = _NONE
        self._lapsed_until_seconds: dict[FailureDomain, float] = {}
        self._era = UNKNOWN_ERA

    @property
    def in_force(self) -> frozenset[FailureDomain]:
        """Return the failure domains that are evacuated."""
        return self._requested | self._lapsed_until_seconds.keys()

    @property
    def lapsed(self) -> frozenset[FailureDomain]:
        """Return those that the source has lost and that are still kept."""
        return frozenset(self._lapsed_until_seconds)

    def apply(
        self, requested: frozenset[FailureDomain], era: int, now_seconds: float
    ) -> EvacuationChanges:
        """Replace the requested evacuations.

        :param era: of the source, which rises each time that it comes back
            from a copy.
        """
        former = self.in_force
        lost = _NONE
        if era > self._era and self._era != UNKNOWN_ERA:
            lost = self._requested - requested
        for domain in lost:
            self._lapsed_until_seconds[domain] = now_seconds + _GRACE_SECONDS
        for domain in requested:
            self._lapsed_until_seconds.pop(domain, None)
        self._requested = requested
        self._era = max(self._era, era)
        current = self.in_force
        return EvacuationChanges(current - former, former - current, lost)

    def expire(self, now_seconds: float) -> EvacuationChanges:
        """End those whose grace period is over."""
        expired = frozenset(
            domain
            for domain, until in self._lapsed_until_seconds.items()
            if now_seconds >= until
        )
        for domain in expired:
            self._lapsed_until_seconds.pop(domain)
        return EvacuationChanges(ended=expired)
