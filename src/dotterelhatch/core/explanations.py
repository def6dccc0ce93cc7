"""Explains where a request would be placed now, without placing it.

The choice is that of the balancer. Each target of the service is listed with
its load and, if it may not get the request, with every reason against it.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.balancer import (
    Balancer,
    Placement,
    PlacementRequest,
    Rejection,
)
from dotterelhatch.core.load import LoadTracker, TargetLoad
from dotterelhatch.core.registry import (
    TargetEntry,
    TargetRegistry,
    TargetState,
)
from dotterelhatch.core.targethealth import TargetHealth
from dotterelhatch.core.targetlimits import TargetLimits
from dotterelhatch.core.warmup import WarmupLimits

__all__ = (
    'Exclusion',
    'ExplainedTarget',
    'PlacementExplainer',
    'PlacementExplanation',
    'PlacementState',
)


class Exclusion(enum.Enum):
    """Why a target may not get a request now."""

    LEAVING = 'leaving'
    REPLACED = 'replaced'
    DEPARTED = 'departed'
    EVACUATED = 'evacuated'
    COLD = 'cold'
    PAUSED = 'paused'
    RATE_LIMITED = 'rate_limited'
    UNRESPONSIVE = 'unresponsive'
    CRASHED = 'crashed'
    NO_MEMORY = 'no_memory'


@dataclass(frozen=True, slots=True)
class PlacementState:
    """Components that decide which targets may get a request."""

    registry: TargetRegistry
    balancer: Balancer
    loads: LoadTracker
    health: TargetHealth
    limits: TargetLimits
    warmup: WarmupLimits


@dataclass(frozen=True, slots=True)
class ExplainedTarget:
    """A target of the service that a request is for.

    :param exclusions: reasons for which it may not get the request, and the
        seconds until each ends, None if that is not known.
    :param load: requests in progress there, sent by any router.
    """

    entry: TargetEntry
    exclusions: dict[Exclusion, float | None]
    load: TargetLoad


@dataclass(frozen=True, slots=True)
class PlacementExplanation:
    """What would become of a request now.

    :param outcome: the placement, or the rejection.
    :param targets: all targets of the service, in the order of their ids.
    """

    outcome: Placement | Rejection
    targets: tuple[ExplainedTarget, ...]


@dataclass(frozen=True, slots=True)
class _Question:
    state: PlacementState
    request: PlacementRequest
    now_seconds: float


# Returns the seconds until a reason ends, None if the target is not excluded.
_Check = Callable[[_Question, TargetEntry], float | None]
_UNKNOWN_SECONDS: Final = float('inf')
_CHECKS: Final[dict[Exclusion, _Check]] = {}


def _check(exclusion: Exclusion) -> Callable[[_Check], _Check]:
    def register(check: _Check) -> _Check:  # noqa: WPS430
        _CHECKS[exclusion] = check
        return check

    return register


class PlacementExplainer:
    """Explains placements.

    :param state: components of the router that place requests.
    """

    def __init__(self, state: PlacementState) -> None:
        """Store the components."""
        self._state = state

    def explain(
        self, request: PlacementRequest, now_seconds: float
    ) -> PlacementExplanation:
        """Return where a request would go, and why not elsewhere.

        No load, limit or pause changes.
        """
        question = _Question(self._state, request, now_seconds)
        return PlacementExplanation(
            self._state.balancer.preview(request, now_seconds),
            tuple(
                self._explain_target(question, entry)
                for entry in self._state.registry.listed(request.service.id)
            ),
        )

    def _explain_target(
        self, question: _Question, entry: TargetEntry
    ) -> ExplainedTarget:
        exclusions: dict[Exclusion, float | None] = {}
        for exclusion, check in _CHECKS.items():
            seconds = check(question, entry)
            if seconds is not None:
                is_known = seconds != _UNKNOWN_SECONDS
                exclusions[exclusion] = seconds if is_known else None
        return ExplainedTarget(
            entry, exclusions, self._state.loads.total(entry.id)
        )


@_check(Exclusion.LEAVING)
def _leaving_seconds(question: _Question, entry: TargetEntry) -> float | None:
    is_leaving = entry.state is TargetState.LEAVING
    return _UNKNOWN_SECONDS if is_leaving else None


@_check(Exclusion.REPLACED)
def _replaced_seconds(question: _Question, entry: TargetEntry) -> float | None:
    """Return whether another instance answered, or this one said it leaves."""
    registry = question.state.registry
    is_excluded = not (
        registry.is_usable(entry) or registry.may_have_left(entry)
    )
    return _UNKNOWN_SECONDS if is_excluded else None


@_check(Exclusion.DEPARTED)
def _departed_seconds(question: _Question, entry: TargetEntry) -> float | None:
    may_have_left = question.state.registry.may_have_left(entry)
    return _UNKNOWN_SECONDS if may_have_left else None


@_check(Exclusion.EVACUATED)
def _evacuated_seconds(question: _Question, entry: TargetEntry) -> float | None:
    is_in_use = question.state.registry.is_domain_in_use(entry.failure_domain)
    return None if is_in_use else _UNKNOWN_SECONDS


@_check(Exclusion.COLD)
def _cold_seconds(question: _Question, entry: TargetEntry) -> float | None:
    warmup = question.state.warmup
    return warmup.wait_seconds(entry, question.now_seconds) or None


@_check(Exclusion.PAUSED)
def _paused_seconds(question: _Question, entry: TargetEntry) -> float | None:
    pauses = question.state.balancer.pauses
    return pauses.wait_seconds(entry, question.now_seconds) or None


@_check(Exclusion.RATE_LIMITED)
def _limited_seconds(question: _Question, entry: TargetEntry) -> float | None:
    return (
        question.state.limits.wait_seconds(
            entry,
            question.request.factors.fair_share_ratio,
            question.now_seconds,
        )
        or None
    )


@_check(Exclusion.UNRESPONSIVE)
def _unresponsive_seconds(
    question: _Question, entry: TargetEntry
) -> float | None:
    is_usable = question.state.health.is_usable(entry.id, question.now_seconds)
    return None if is_usable else _UNKNOWN_SECONDS


@_check(Exclusion.CRASHED)
def _crashed_seconds(question: _Question, entry: TargetEntry) -> float | None:
    is_down = entry.id in question.request.down_targets
    return _UNKNOWN_SECONDS if is_down else None


@_check(Exclusion.NO_MEMORY)
def _no_memory_seconds(question: _Question, entry: TargetEntry) -> float | None:
    is_short = question.state.balancer.lacks_memory(
        question.request, entry, question.now_seconds
    )
    return _UNKNOWN_SECONDS if is_short else None
