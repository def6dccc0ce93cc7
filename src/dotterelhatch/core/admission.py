"""Admission control: the longest wait that a request may be queued for.

A model engine reads prompts in the order of arrival. A request is placed only
if its predicted wait at an engine stays below a limit that is computed here.

While few requests are rejected, the limit is most of the objective of the
request, even if the response then arrives slightly late: a rejected request
would be retried and finish later still. Under lasting overload the limit is
lowered to keep the queues short, and it depends on the request:

- Routes with different objectives: the shortest objective of the service
  bounds the limit, so that routes with long objectives do not crowd out those
  with short ones.
- Retries of rejected requests that already exceed their objective: they get
  only capacity that is nearly idle, because one response in time is worth
  several late ones.
- An organisation that sends many times its usual load: the limit falls for
  organisations that recently received more than their max-min fair share.
- Small organisations beside large ones: far below its fair share, an
  organisation keeps the limit that holds without overload.
- A route that is admitted less often than the others: its limit is raised.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import msgspec

from dotterelhatch.core.peersums import PeerSums
from dotterelhatch.core.reported import Count
from dotterelhatch.ids import RouterId

__all__ = (
    'AdmissionCounts',
    'AdmissionFactors',
    'AdmissionWindow',
    'memory_limit_share',
    'share_limit_factor',
    'wait_limit_seconds',
)

# Part of the shortest objective that a request may wait under overload; the
# rest is for reading the prompt itself.
_MAX_WAIT_SHARE: Final = 0.75
# From the arrival of an empty prompt at an idle engine to the first event at
# the caller, with a margin for the error of the prediction.
_FIXED_LATENCY_SECONDS: Final = 0.07
# Prefill of a long prompt may take more than the objective. At most this share
# of the objective is deducted, so that the request may still wait for others.
_MAX_PREFILL_SHARE: Final = 0.4
# Wait limits of a request that already exceeds its objective: as a share of
# the objective without overload, and absolute under overload.
_LATE_WAIT_SHARE: Final = 0.8
_LATE_OVERLOAD_WAIT_SECONDS: Final = 0.05
# Rejection rate that counts as full overload.
_FULL_OVERLOAD_RATE: Final = 0.2
# Below this part of its fair share, the limit of an organisation is only
# partly lowered.
_FULL_STRICTNESS_SHARE: Final = 0.7
# Up to the first ratio to its fair share the limit of an organisation is not
# reduced; above it the limit falls, to the minimum factor at the second ratio.
_REDUCTION_START_SHARE: Final = 0.9
_REDUCTION_END_SHARE: Final = 1.4
_MIN_SHARE_FACTOR: Final = 0.0
# Share of the memory of an engine that its running requests may use. The loads
# of other routers are a heartbeat old, and answers may be longer than expected.
_MAX_MEMORY_SHARE: Final = 0.9
# Shares under overload for organisations above their fair share, and for
# requests that will be late.
_MIN_MEMORY_SHARE: Final = 0.6
_LATE_MEMORY_SHARE: Final = 0.75
# Bounds of the correction between the routes of a service.
_MIN_ROUTE_FACTOR: Final = 0.6
_MAX_ROUTE_FACTOR: Final = 1.4


@dataclass(frozen=True, slots=True)
class AdmissionFactors:
    """State of a request and of its service that the wait limit depends on.

    :param age_seconds: time since its caller sent it for the first time.
    :param fair_share_ratio: usage of its organisation relative to its max-min
        fair share.
    :param rejection_rate: recent share of requests of the service that were
        rejected.
    :param route_admission_ratio: recent admission rate of its route, relative
        to that of all routes of the service.
    """

    age_seconds: float = 0
    fair_share_ratio: float = 0
    rejection_rate: float = 0
    route_admission_ratio: float = 1

    @property
    def overload_level(self) -> float:
        """Return a level from 0, hardly any rejections, to 1, overload."""
        return min(1.0, self.rejection_rate / _FULL_OVERLOAD_RATE)

    @property
    def strictness(self) -> float:
        """Return the weight, 0 to 1, of the limit that holds under overload.

        It is lower for organisations far below their fair share.
        """
        return self.overload_level * min(
            1.0, self.fair_share_ratio / _FULL_STRICTNESS_SHARE
        )


def wait_limit_seconds(
    factors: AdmissionFactors,
    objective_seconds: float,
    shortest_objective_seconds: float,
    prefill_seconds: float,
) -> float:
    """Return the longest acceptable wait at an engine.

    :param objective_seconds: latency objective of the request itself.
    :param shortest_objective_seconds: the shortest objective of all routes of
        the service.
    :param prefill_seconds: predicted time to read the prompt.
    """
    prefill_seconds = min(
        prefill_seconds, objective_seconds * _MAX_PREFILL_SHARE
    )
    slack_seconds = objective_seconds - factors.age_seconds
    slack_seconds -= prefill_seconds + _FIXED_LATENCY_SECONDS
    relaxed = max(slack_seconds, objective_seconds * _LATE_WAIT_SHARE)
    strict = _LATE_OVERLOAD_WAIT_SECONDS
    if slack_seconds > 0:
        strict = min(
            slack_seconds, shortest_objective_seconds * _MAX_WAIT_SHARE
        )
    limit = _interpolate(relaxed, strict, factors.strictness)
    limit *= share_limit_factor(factors)
    return limit * _route_factor(
        factors.route_admission_ratio, factors.strictness
    )


def share_limit_factor(factors: AdmissionFactors) -> float:
    """Return the part of a wait limit that an organisation may use.

    Under overload it falls for organisations above their fair share.
    """
    return _interpolate(
        1.0, _share_factor(factors.fair_share_ratio), factors.overload_level
    )


def memory_limit_share(
    factors: AdmissionFactors, *, is_late: bool, is_continued: bool
) -> float:
    """Return the share of the memory of an engine that a request may use up to.

    When the memory is scarce, organisations above their fair share get what
    the others leave free, and then requests that will be late get what those
    in time leave free.

    :param is_late: whether the response will exceed the objective.
    :param is_continued: whether the request was admitted before and has lost
        its target.
    """
    if is_continued:
        return 1.0
    share = _interpolate(
        _MIN_MEMORY_SHARE, _MAX_MEMORY_SHARE, share_limit_factor(factors)
    )
    if is_late:
        late_share = _interpolate(
            _MAX_MEMORY_SHARE, _LATE_MEMORY_SHARE, factors.overload_level
        )
        share = min(share, late_share)
    return share


def _interpolate(relaxed: float, strict: float, weight: float) -> float:
    return relaxed + (strict - relaxed) * weight


def _share_factor(fair_share_ratio: float) -> float:
    if fair_share_ratio <= _REDUCTION_START_SHARE:
        return 1.0
    width = _REDUCTION_END_SHARE - _REDUCTION_START_SHARE
    excess = min(1.0, (fair_share_ratio - _REDUCTION_START_SHARE) / width)
    return 1.0 - excess * (1.0 - _MIN_SHARE_FACTOR)


def _route_factor(route_admission_ratio: float, strictness: float) -> float:
    correction = min(
        _MAX_ROUTE_FACTOR,
        max(_MIN_ROUTE_FACTOR, 1 / max(route_admission_ratio, 0.1)),
    )
    return _interpolate(1.0, correction, strictness)


class AdmissionCounts(msgspec.Struct, frozen=True):
    """Rejected and admitted requests of one route within the window."""

    refused_count: Count = 0
    admitted_count: Count = 0

    def plus(self, other: 'AdmissionCounts') -> 'AdmissionCounts':
        """Return the sum of both."""
        return AdmissionCounts(
            self.refused_count + other.refused_count,
            self.admitted_count + other.admitted_count,
        )

    def minus(self, other: 'AdmissionCounts') -> 'AdmissionCounts':
        """Return the difference."""
        return AdmissionCounts(
            self.refused_count - other.refused_count,
            self.admitted_count - other.admitted_count,
        )


_ZERO: Final = AdmissionCounts()
_REJECTED: Final = AdmissionCounts(refused_count=1)
_ADMITTED: Final = AdmissionCounts(admitted_count=1)


class AdmissionWindow:
    """Sliding window of admission decisions for one service, by route.

    It sums the decisions of all routers, which share the engines and have to
    agree on whether there is overload. A router that counted its own
    rejections alone would, while it rejects nothing, admit an organisation
    beyond its fair share at the expense of requests that others reject.

    :param window_seconds: how far back requests count.
    """

    def __init__(self, window_seconds: float = 2.5) -> None:
        """Create an empty window."""
        self._window_seconds = window_seconds
        self._samples: deque[tuple[float, str, AdmissionCounts]] = deque()
        self._local: dict[str, AdmissionCounts] = {}
        self._reported = PeerSums[str, AdmissionCounts](_ZERO)

    def local_counts(self, now_seconds: float) -> Mapping[str, AdmissionCounts]:
        """Return the counts of this router by route."""
        self._expire(now_seconds)
        return self._local

    def add(self, route: str, now_seconds: float, *, admitted: bool) -> None:
        """Count an admission decision of this router.

        :param route: name of the route of the request.
        """
        self._expire(now_seconds)
        counts = _ADMITTED if admitted else _REJECTED
        self._samples.append((now_seconds, route, counts))
        self._local[route] = self._local.get(route, _ZERO).plus(counts)

    def on_report(
        self,
        router: RouterId,
        counts: Mapping[str, AdmissionCounts],
        now_seconds: float,
    ) -> None:
        """Replace the counts that a peer reported before."""
        self._reported.on_report(router, counts, now_seconds)

    def rejection_rate(self, now_seconds: float) -> float:
        """Return the share of requests that all routers rejected recently."""
        self._expire(now_seconds)
        every = (*self._local.values(), *self._reported.totals.values())
        rejected_count = sum(counts.refused_count for counts in every)
        admitted_count = sum(counts.admitted_count for counts in every)
        return rejected_count / max(1, rejected_count + admitted_count)

    def route_admission_ratio(self, route: str, now_seconds: float) -> float:
        """Return the admission rate of a route over that of all routes."""
        overall_rate = 1 - self.rejection_rate(now_seconds)
        counts = self._local.get(route, _ZERO).plus(self._reported.get(route))
        # One request at the overall rate is added, so that a route with few
        # requests stays near the others.
        route_rate = (counts.admitted_count + overall_rate) / (
            counts.refused_count + counts.admitted_count + 1
        )
        return route_rate / max(overall_rate, 0.05)

    def _expire(self, now_seconds: float) -> None:
        self._reported.expire(now_seconds)
        start_seconds = now_seconds - self._window_seconds
        while self._samples and self._samples[0][0] < start_seconds:
            _, route, counts = self._samples.popleft()
            remaining = self._local[route].minus(counts)
            if remaining == _ZERO:
                self._local.pop(route)
            else:
                self._local[route] = remaining
