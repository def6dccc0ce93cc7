"""Max-min fair shares of the organisations over a sliding window.

Usage is counted in tokens for model engines. A request to a plain service, one
without engines, counts as one token.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec

from dotterelhatch.core.peersums import PeerSums
from dotterelhatch.core.reported import Count
from dotterelhatch.ids import OrganisationId, RouterId

__all__ = ('FairShareTracker', 'Usage', 'UsageSample', 'max_min_share')

# A fair share is used again for this long, because it changes slowly. Summing
# the usage of all routers for every request would take longer than placing the
# request.
_FAIR_SHARE_LIFETIME_SECONDS: Final = 0.05


def max_min_share(demands: list[float], capacity: float) -> float:
    """Return the max-min fair share of a capacity.

    Each demand below the share is met in full; the others get the share.

    :returns: infinity if the capacity covers all demands.
    """
    if sum(demands) <= capacity:
        return float('inf')
    remaining = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        share = remaining / (len(ordered) - index)
        if demand >= share:
            return share
        remaining -= demand
    return float('inf')


class Usage(msgspec.Struct, frozen=True):
    """Tokens of the requests of one organisation within the window.

    :param asked_tokens: tokens of all requests, including rejected ones.
    :param begun_tokens: tokens of the requests that targets have begun, or
        have been sent and may still begin.
    """

    asked_tokens: Count = 0
    begun_tokens: Count = 0

    def plus(self, other: 'Usage') -> 'Usage':
        """Return the sum of both."""
        return Usage(
            self.asked_tokens + other.asked_tokens,
            self.begun_tokens + other.begun_tokens,
        )

    def minus(self, other: 'Usage') -> 'Usage':
        """Return the difference."""
        return Usage(
            self.asked_tokens - other.asked_tokens,
            self.begun_tokens - other.begun_tokens,
        )


_ZERO: Final = Usage()


@dataclass(eq=False, slots=True)
class UsageSample:
    """Usage that was counted at one time.

    :param usage: zero once it is no longer counted.
    """

    seconds: float
    organisation: OrganisationId
    usage: Usage


@dataclass(frozen=True, slots=True)
class _FairShare:
    """Fair share of an organisation, as computed at one time.

    :param tokens: infinity if the capacity covers all demands.
    :param begun_elsewhere: tokens begun for the other routers.
    """

    seconds: float = -math.inf
    tokens: float = math.inf
    begun_elsewhere: Mapping[OrganisationId, int] = field(default_factory=dict)


class FairShareTracker:
    """Tokens that each organisation requested and received in a window.

    The fair share is the max-min share of the tokens that targets have begun
    for the fleet within the window. An organisation that received more, while
    requests of others are rejected, has used up its share.

    :param window_seconds: length of the sliding window.
    """

    def __init__(self, window_seconds: float) -> None:
        """Create a tracker without requests."""
        self._window_seconds = window_seconds
        self._samples: deque[UsageSample] = deque()
        self._local: dict[OrganisationId, Usage] = {}
        self._reported = PeerSums[OrganisationId, Usage](_ZERO)
        self._fair_share = _FairShare()

    @property
    def local_usages(self) -> Mapping[OrganisationId, Usage]:
        """Return the usage counted by this router."""
        return self._local

    def on_arrived(
        self, organisation: OrganisationId, tokens: int, now_seconds: float
    ) -> None:
        """Count a request, but not its retries, when it arrives."""
        self._add(organisation, Usage(asked_tokens=tokens), now_seconds)

    def on_placed(
        self, organisation: OrganisationId, tokens: int, now_seconds: float
    ) -> UsageSample:
        """Count a request when it is placed on a target.

        It counts at once, because further requests arrive before the target
        begins it.

        :returns: the counted usage, for :meth:`withdraw`.
        """
        return self._add(organisation, Usage(begun_tokens=tokens), now_seconds)

    def withdraw(self, sample: UsageSample) -> None:
        """Take back the usage of a request that its target has not begun."""
        remaining = self._local.get(sample.organisation, _ZERO)
        remaining = remaining.minus(sample.usage)
        sample.usage = _ZERO
        if remaining == _ZERO:
            self._local.pop(sample.organisation, None)
        else:
            self._local[sample.organisation] = remaining

    def on_report(
        self,
        router: RouterId,
        usages: Mapping[OrganisationId, Usage],
        now_seconds: float,
    ) -> None:
        """Replace the usage that a peer reported before."""
        self._reported.on_report(router, usages, now_seconds)

    def fair_share_ratio(
        self, organisation: OrganisationId, now_seconds: float
    ) -> float:
        """Return the tokens of an organisation relative to its fair share.

        :returns: 0 if the capacity covers all demands.
        """
        share_tokens = self.fair_share_tokens(now_seconds)
        begun_tokens = self._fair_share.begun_elsewhere.get(organisation, 0)
        begun_tokens += self._local.get(organisation, _ZERO).begun_tokens
        return begun_tokens / max(1, share_tokens)

    def fair_share_tokens(self, now_seconds: float) -> float:
        """Return the max-min fair share within the window.

        :returns: infinity if the capacity covers all demands.
        """
        self._expire(now_seconds)
        if (
            now_seconds - self._fair_share.seconds
            >= _FAIR_SHARE_LIFETIME_SECONDS
        ):
            self._fair_share = self._compute_fair_share(now_seconds)
        return self._fair_share.tokens

    def expire_reports(self, now_seconds: float) -> None:
        """Drop the usage that silent peers reported."""
        self._reported.expire(now_seconds)

    def total_usage(self, organisation: OrganisationId) -> Usage:
        """Return the usage of an organisation at all routers."""
        local = self._local.get(organisation, _ZERO)
        return local.plus(self._reported.get(organisation))

    def _compute_fair_share(self, now_seconds: float) -> '_FairShare':
        totals = self._totals(now_seconds)
        capacity = sum(usage.begun_tokens for usage in totals.values())
        demands = [
            float(max(usage.asked_tokens, usage.begun_tokens))
            for usage in totals.values()
        ]
        begun_elsewhere = {
            organisation: usage.begun_tokens
            - self._local.get(organisation, _ZERO).begun_tokens
            for organisation, usage in totals.items()
        }
        tokens = max_min_share(demands, capacity)
        return _FairShare(now_seconds, tokens, begun_elsewhere)

    def _totals(self, now_seconds: float) -> dict[OrganisationId, Usage]:
        self._reported.expire(now_seconds)
        totals = dict(self._local)
        for organisation, usage in self._reported.totals.items():
            known = totals.get(organisation, _ZERO)
            totals[organisation] = known.plus(usage)
        return totals

    def _add(
        self, organisation: OrganisationId, usage: Usage, now_seconds: float
    ) -> UsageSample:
        self._expire(now_seconds)
        sample = UsageSample(now_seconds, organisation, usage)
        self._samples.append(sample)
        known = self._local.get(organisation, _ZERO)
        self._local[organisation] = known.plus(usage)
        return sample

    def _expire(self, now_seconds: float) -> None:
        start_seconds = now_seconds - self._window_seconds
        while self._samples and self._samples[0].seconds < start_seconds:
            self.withdraw(self._samples.popleft())
