"""Max-min shares of the organisations over a sliding window."""

from collections import deque
from dataclasses import dataclass

from dotterelhatch.ids import OrganisationId

__all__ = ('ShareMeter', 'water_level')


def water_level(demands: list[float], capacity: float) -> float:
    """Return the largest amount that every claimant may take.

    Claimants below the level get what they ask; the others get the level.

    :param demands: what each claimant asks.
    :param capacity: what there is in all.
    :returns: infinity when all demands fit.
    """
    if sum(demands) <= capacity:
        return float('inf')
    remaining = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = remaining / (len(ordered) - index)
        if demand >= level:
            return level
        remaining -= demand
    return float('inf')


@dataclass(frozen=True, slots=True)
class _Sample:
    seconds: float
    organisation: OrganisationId
    tokens: float


class ShareMeter:
    """What each organisation asked within the last window at this router.

    Callers choose their router at random, so a router sees about the same
    part of the demand of every organisation, and compares within it.

    :param window_seconds: length of the window.
    """

    def __init__(self, window_seconds: float) -> None:
        """Start with nothing asked."""
        self._window_seconds = window_seconds
        self._samples: deque[_Sample] = deque()
        self._asked: dict[OrganisationId, float] = {}

    def on_asked(
        self, organisation: OrganisationId, tokens: float, now_seconds: float
    ) -> None:
        """Count a request, whether it is admitted or not."""
        self._trim(now_seconds)
        self._samples.append(_Sample(now_seconds, organisation, tokens))
        asked = self._asked.get(organisation, 0)
        self._asked[organisation] = asked + tokens

    def is_within_share(
        self,
        organisation: OrganisationId,
        capacity_tokens_per_second: float,
        now_seconds: float,
    ) -> bool:
        """Return whether the organisation asked no more than its share.

        :param capacity_tokens_per_second: of this router's part of the load.
        """
        self._trim(now_seconds)
        capacity = capacity_tokens_per_second * self._window_seconds
        level = water_level(list(self._asked.values()), capacity)
        return self._asked.get(organisation, 0) <= level

    def _trim(self, now_seconds: float) -> None:
        start_seconds = now_seconds - self._window_seconds
        while self._samples and self._samples[0].seconds < start_seconds:
            sample = self._samples.popleft()
            asked = self._asked[sample.organisation] - sample.tokens
            if asked > 0:
                self._asked[sample.organisation] = asked
            else:
                self._asked.pop(sample.organisation)
