"""How long a request may wait for others at a model engine.

While refusals are rare a request may wait for most of its objective, even if
that makes it a little late: refused, it would come back later still. Under
lasting overload the queue is kept shorter, for these load patterns:

- mixed kinds: a limit from the shortest objective of the service, so that no
  kind of request is crowded out by a more patient one;
- callers that were refused and come back late: they get only capacity that is
  nearly idle, as an answer in time is worth several late ones;
- one organisation with many times its usual load: whoever got more than the
  max-min share lately waits less;
- small organisations beside large ones: those far below their share wait as
  if there were no overload;
- one kind served less often than the others: it may wait longer.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.peersums import PeerSums
from dotterelhatch.ids import RouterId

__all__ = (
    'AdmissionCounts',
    'AdmissionWindow',
    'AdmissionFactors',
    'wait_limit_seconds',
)

# Part of the shortest objective that may pass before an engine begins; the
# rest is for the prompt itself.
_WAIT_SHARE: Final = 0.75
# From the arrival of an empty prompt at an idle engine to the first event at
# the caller, with a margin for the error of the prediction.
_FIXED_SECONDS: Final = 0.07
# Long prompts may take this part of their objective and still wait for others.
_READ_SHARE: Final = 0.4
# Wait of a request that is late already, without and with overload.
_LATE_WAIT_SHARE: Final = 0.8
_LATE_WAIT_PRESSED_SECONDS: Final = 0.05
# Share of refused requests from which the load counts as lasting overload.
_FULL_PRESSURE: Final = 0.2
# An organisation that got less than this part of its share is not asked to
# make room for others.
_MODEST_SHARE: Final = 0.7
# Below the first share of its max-min share an organisation waits as long as
# any; from there the limit falls, to the least factor at the second.
_FULL_UNTIL_SHARE: Final = 0.9
_LEAST_FROM_SHARE: Final = 1.4
_LEAST_FACTOR: Final = 0.0
# Bounds of the correction between kinds of requests.
_KIND_LEAST: Final = 0.6
_KIND_MOST: Final = 1.4


@dataclass(frozen=True, slots=True)
class AdmissionFactors:
    """What speaks for a request when there is not room for all.

    :param age_seconds: since its caller sent it for the first time.
    :param fair_share_ratio: tokens that its organisation received, relative
        to its max-min fair share.
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
        """Return 0 while hardly any request is refused, 1 under overload."""
        return min(1.0, self.rejection_rate / _FULL_PRESSURE)

    @property
    def strictness(self) -> float:
        """Return how much the request has to make room for others."""
        return self.overload_level * min(
            1.0, self.fair_share_ratio / _MODEST_SHARE
        )


def wait_limit_seconds(
    factors: AdmissionFactors,
    objective_seconds: float,
    shortest_objective_seconds: float,
    read_seconds: float,
) -> float:
    """Return the longest acceptable wait.

    :param objective_seconds: of the request itself.
    :param shortest_objective_seconds: of all routes of the service.
    :param read_seconds: predicted time to read the prompt.
    """
    read_seconds = min(read_seconds, objective_seconds * _READ_SHARE)
    left_seconds = objective_seconds - factors.age_seconds
    left_seconds -= read_seconds + _FIXED_SECONDS
    patient = max(left_seconds, objective_seconds * _LATE_WAIT_SHARE)
    short = _LATE_WAIT_PRESSED_SECONDS
    if left_seconds > 0:
        short = min(left_seconds, shortest_objective_seconds * _WAIT_SHARE)
    limit = _between(patient, short, factors.strictness)
    limit *= _between(
        1.0, _share_factor(factors.fair_share_ratio), factors.overload_level
    )
    return limit * _kind_factor(
        factors.route_admission_ratio, factors.strictness
    )


def _between(calm: float, pressing: float, strictness: float) -> float:
    return calm + (pressing - calm) * strictness


def _share_factor(fair_share_ratio: float) -> float:
    if fair_share_ratio <= _FULL_UNTIL_SHARE:
        return 1.0
    width = _LEAST_FROM_SHARE - _FULL_UNTIL_SHARE
    excess = min(1.0, (fair_share_ratio - _FULL_UNTIL_SHARE) / width)
    return 1.0 - excess * (1.0 - _LEAST_FACTOR)


def _kind_factor(route_admission_ratio: float, strictness: float) -> float:
    correction = min(
        _KIND_MOST, max(_KIND_LEAST, 1 / max(route_admission_ratio, 0.1))
    )
    return _between(1.0, correction, strictness)


@dataclass(frozen=True, slots=True)
class AdmissionCounts:
    """Requests of one kind within the window."""

    refused_count: int = 0
    admitted_count: int = 0

    def plus(self, other: 'AdmissionCounts') -> 'AdmissionCounts':
        """Return the sum of both."""
        return AdmissionCounts(
            self.refused_count + other.refused_count,
            self.admitted_count + other.admitted_count,
        )

    def minus(self, other: 'AdmissionCounts') -> 'AdmissionCounts':
        """Return what is left without the other."""
        return AdmissionCounts(
            self.refused_count - other.refused_count,
            self.admitted_count - other.admitted_count,
        )


_NOTHING: Final = AdmissionCounts()
_REFUSED: Final = AdmissionCounts(refused_count=1)
_ADMITTED: Final = AdmissionCounts(admitted_count=1)


class AdmissionWindow:
    """Admitted and refused requests of one service in the fleet, by kind.

    All routers share the engines, so they have to agree on whether there is
    overload. A router that went by its own refusals would let an organisation
    whose callers are elsewhere take what those that it refuses are owed.

    :param window_seconds: how far back requests count.
    """

    def __init__(self, window_seconds: float = 2.5) -> None:
        """Start with nothing counted."""
        self._window_seconds = window_seconds
        self._samples: deque[tuple[float, str, AdmissionCounts]] = deque()
        self._local: dict[str, AdmissionCounts] = {}
        self._reported = PeerSums[str, AdmissionCounts](_NOTHING)

    def local_counts(self, now_seconds: float) -> Mapping[str, AdmissionCounts]:
        """Return the counts of this router by kind."""
        self._trim(now_seconds)
        return self._local

    def add(self, kind: str, now_seconds: float, *, admitted: bool) -> None:
        """Count a request."""
        self._trim(now_seconds)
        counts = _ADMITTED if admitted else _REFUSED
        self._samples.append((now_seconds, kind, counts))
        self._local[kind] = self._local.get(kind, _NOTHING).plus(counts)

    def on_report(
        self,
        router: RouterId,
        counts: Mapping[str, AdmissionCounts],
        now_seconds: float,
    ) -> None:
        """Replace what a peer reported before."""
        self._reported.on_report(router, counts, now_seconds)

    def rejection_rate(self, now_seconds: float) -> float:
        """Return the share of requests that were refused."""
        self._trim(now_seconds)
        every = (*self._local.values(), *self._reported.totals.values())
        refused_count = sum(counts.refused_count for counts in every)
        admitted_count = sum(counts.admitted_count for counts in every)
        return refused_count / max(1, refused_count + admitted_count)

    def route_admission_ratio(self, kind: str, now_seconds: float) -> float:
        """Return the admitted share of a kind relative to all kinds."""
        admitted_share = 1 - self.rejection_rate(now_seconds)
        counts = self._local.get(kind, _NOTHING).plus(self._reported.get(kind))
        # One more of each keeps a kind with few requests near the others.
        own_share = (counts.admitted_count + admitted_share) / (
            counts.refused_count + counts.admitted_count + 1
        )
        return own_share / max(admitted_share, 0.05)

    def _trim(self, now_seconds: float) -> None:
        self._reported.expire(now_seconds)
        start_seconds = now_seconds - self._window_seconds
        while self._samples and self._samples[0][0] < start_seconds:
            _, kind, counts = self._samples.popleft()
            left = self._local[kind].minus(counts)
            if left == _NOTHING:
                self._local.pop(kind)
            else:
                self._local[kind] = left
