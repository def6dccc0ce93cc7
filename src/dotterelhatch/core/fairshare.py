"""Max-min shares of the organisations over a sliding window."""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from dotterelhatch.core.peersums import PeerSums
from dotterelhatch.ids import OrganisationId, RouterId

__all__ = ('FairShareTracker', 'Usage', 'max_min_share')

# The share changes with the window, slowly; summing the usage of all routers
# for every request would take more time than placing it.
_LEVEL_LIFETIME_SECONDS: Final = 0.05


def max_min_share(demands: list[float], capacity: float) -> float:
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
class Usage:
    """Tokens of one organisation within the window.

    :param asked_tokens: of all requests, refused ones included.
    :param begun_tokens: of the requests that were placed.
    """

    asked_tokens: int = 0
    begun_tokens: int = 0

    def plus(self, other: 'Usage') -> 'Usage':
        """Return the sum of both."""
        return Usage(
            self.asked_tokens + other.asked_tokens,
            self.begun_tokens + other.begun_tokens,
        )

    def minus(self, other: 'Usage') -> 'Usage':
        """Return what is left without the other."""
        return Usage(
            self.asked_tokens - other.asked_tokens,
            self.begun_tokens - other.begun_tokens,
        )


_NOTHING: Final = Usage()


@dataclass(frozen=True, slots=True)
class _Sample:
    seconds: float
    organisation: OrganisationId
    usage: Usage


@dataclass(frozen=True, slots=True)
class _Level:
    """The share that was computed last.

    :param tokens: infinity when everybody gets what they ask.
    :param begun_elsewhere: tokens begun at the other routers.
    """

    seconds: float = -math.inf
    tokens: float = math.inf
    begun_elsewhere: Mapping[OrganisationId, int] = field(default_factory=dict)


class FairShareTracker:
    """What each organisation asked and got within the last window.

    The level is the max-min share of what the fleet has begun: whoever got
    more than it while others are refused has had its turn.

    :param window_seconds: length of the window.
    """

    def __init__(self, window_seconds: float) -> None:
        """Start with nothing asked."""
        self._window_seconds = window_seconds
        self._samples: deque[_Sample] = deque()
        self._local: dict[OrganisationId, Usage] = {}
        self._reported = PeerSums[OrganisationId, Usage](_NOTHING)
        self._level = _Level()

    @property
    def local_usages(self) -> Mapping[OrganisationId, Usage]:
        """Return the usage at this router."""
        return self._local

    def on_arrived(
        self, organisation: OrganisationId, tokens: int, now_seconds: float
    ) -> None:
        """Count a request when it arrives for the first time."""
        self._add(organisation, Usage(asked_tokens=tokens), now_seconds)

    def on_placed(
        self, organisation: OrganisationId, tokens: int, now_seconds: float
    ) -> None:
        """Count a request when it is placed."""
        self._add(organisation, Usage(begun_tokens=tokens), now_seconds)

    def on_report(
        self,
        router: RouterId,
        usages: Mapping[OrganisationId, Usage],
        now_seconds: float,
    ) -> None:
        """Replace what a peer reported before."""
        self._reported.on_report(router, usages, now_seconds)

    def fair_share_ratio(
        self, organisation: OrganisationId, now_seconds: float
    ) -> float:
        """Return what the organisation got, relative to its max-min share.

        :returns: 0 when everybody gets what they ask.
        """
        self._trim(now_seconds)
        if now_seconds - self._level.seconds >= _LEVEL_LIFETIME_SECONDS:
            self._level = self._compute_level(now_seconds)
        begun = self._level.begun_elsewhere.get(organisation, 0)
        begun += self._local.get(organisation, _NOTHING).begun_tokens
        return begun / max(1, self._level.tokens)

    def _compute_level(self, now_seconds: float) -> '_Level':
        totals = self._totals(now_seconds)
        capacity = sum(usage.begun_tokens for usage in totals.values())
        demands = [
            float(max(usage.asked_tokens, usage.begun_tokens))
            for usage in totals.values()
        ]
        elsewhere = {
            organisation: usage.begun_tokens
            - self._local.get(organisation, _NOTHING).begun_tokens
            for organisation, usage in totals.items()
        }
        level = max_min_share(demands, capacity)
        return _Level(now_seconds, level, elsewhere)

    def _totals(self, now_seconds: float) -> dict[OrganisationId, Usage]:
        self._reported.expire(now_seconds)
        totals = dict(self._local)
        for organisation, usage in self._reported.totals.items():
            known = totals.get(organisation, _NOTHING)
            totals[organisation] = known.plus(usage)
        return totals

    def _add(
        self, organisation: OrganisationId, usage: Usage, now_seconds: float
    ) -> None:
        self._trim(now_seconds)
        self._samples.append(_Sample(now_seconds, organisation, usage))
        known = self._local.get(organisation, _NOTHING)
        self._local[organisation] = known.plus(usage)

    def _trim(self, now_seconds: float) -> None:
        start_seconds = now_seconds - self._window_seconds
        while self._samples and self._samples[0].seconds < start_seconds:
            sample = self._samples.popleft()
            left = self._local[sample.organisation].minus(sample.usage)
            if left == _NOTHING:
                self._local.pop(sample.organisation)
            else:
                self._local[sample.organisation] = left
