"""Choice of a target for one request, or the refusal of the request.

A model engine reads prompts in the order of arrival, so the time to the first
event is the time to read what waits there and the unkept part of the prompt.
Requests are placed where that sum is least, and refused when the wait alone
exceeds what the caller can use: a longer queue would make every answer late
without serving more of them.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.admission import AdmissionFactors, wait_limit_seconds
from dotterelhatch.core.candidates import PREFERRED_COUNT, CandidateSelector
from dotterelhatch.core.load import LoadTracker, TargetLoad
from dotterelhatch.core.prompts import PrefixCacheEstimate, Prompt
from dotterelhatch.core.registry import TargetEntry, TargetRegistry
from dotterelhatch.core.routes import EngineSpec, RouteRule, ServiceSpec
from dotterelhatch.core.targethealth import TargetHealth
from dotterelhatch.ids import FailureDomain, TargetId

__all__ = (
    'Balancer',
    'BalancerSettings',
    'Placement',
    'PlacementRequest',
    'Rejection',
)

# Prompt tokens that an engine reads in a second beside the steps of running
# requests, from the sheet of the engines (56,900 alone); corrected for each
# target by the measured time to the first event.
_READ_TOKENS_PER_SECOND: Final = 40_000.0
# Time to the first event of an empty prompt on an idle engine.
_FIRST_EVENT_SECONDS: Final = 0.04
# Mean time of a plain request until one has been measured.
_PLAIN_SECONDS: Final = 0.045
_NEWEST_WEIGHT: Final = 0.05
# A prompt that no target is known to keep goes to the same target from every
# router; this much more predicted time moves it to the next one.
_RANK_STEP_SECONDS: Final = 0.1
# Reading delays this request and those that wait behind it at the engine.
_REREAD_WEIGHT: Final = 3.0
# A target that fails half of its requests looks this much slower.
_FAILURE_PENALTY_SECONDS: Final = 2.0
_FULL_PENALTY_SECONDS: Final = 2.0
_MEMORY_SHARE: Final = 0.9
_OTHER_DOMAIN_SECONDS: Final = 0.002
_RETRY_MIN_SECONDS: Final = 0.2
_RETRY_SPREAD_SECONDS: Final = 0.6
# Queue of a plain target, in multiples of its slots, that still drains within
# the deadlines of callers.
_PLAIN_QUEUE_FACTOR: Final = 4.0


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Where this router is.

    :param failure_domain: targets in it are preferred.
    """

    failure_domain: FailureDomain


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What one attempt of a request needs.

    :param remaining_seconds: until its deadline or the timeout of its route.
    :param shortest_objective_seconds: of all routes to the service.
    :param claim: what speaks for the request when there is not room for all.
    """

    route: RouteRule
    service: ServiceSpec
    prompt: Prompt | None
    remaining_seconds: float
    shortest_objective_seconds: float
    factors: AdmissionFactors = AdmissionFactors()


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen target and what the choice was based on.

    :param wait_seconds: predicted time until the target begins.
    :param expected_seconds: predicted time to the first event or answer.
    :param cached_tokens: prompt tokens that the target keeps already.
    :param spare_tokens: memory of the target beside running requests.
    """

    entry: TargetEntry
    load: TargetLoad
    wait_seconds: float
    expected_seconds: float
    cached_tokens: int
    spare_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Rejection:
    """No target can serve the request in time.

    :param reason: a word for logs and metrics.
    :param wait_seconds: the shortest predicted wait, None without a target.
    """

    reason: str
    retry_after_seconds: float
    wait_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class _Option:
    score_seconds: float
    placement: Placement


class Balancer:
    """Places requests on targets.

    :param settings: where this router is.
    :param registry: the targets that may be used.
    :param board: the load of the targets.
    :param health: what their answers told.
    :param rng: for ties and the spread of returning callers.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        registry: TargetRegistry,
        board: LoadTracker,
        health: TargetHealth,
        rng: random.Random,
    ) -> None:
        """Start with nothing measured."""
        self.cache = PrefixCacheEstimate()
        self._settings = settings
        self._registry = registry
        self._board = board
        self._health = health
        self._rng = rng
        self._plain_seconds = _PLAIN_SECONDS
        self._shortlist = CandidateSelector(
            registry, self.cache, self._wait_seconds, rng
        )

    def place(
        self,
        demand: PlacementRequest,
        excluded: Collection[TargetId],
        now_seconds: float,
    ) -> Placement | Rejection:
        """Choose a target.

        :param excluded: targets that this request was sent to before.
        """
        entries = self._candidates(demand, excluded, now_seconds)
        if not entries:
            return Rejection('no_target', self._spread(_RETRY_MIN_SECONDS))
        engine = demand.service.engine
        if engine is None or demand.prompt is None:
            return self._place_plain(demand, entries)
        return self._place_prompt(demand, engine, demand.prompt, entries)

    def on_plain_answered(self, seconds: float) -> None:
        """Take over the time that a plain request took at its target."""
        change = seconds - self._plain_seconds
        self._plain_seconds += _NEWEST_WEIGHT * change

    def _candidates(
        self,
        demand: PlacementRequest,
        excluded: Collection[TargetId],
        now_seconds: float,
    ) -> list[TargetEntry]:
        ready = self._registry.ready(demand.service.id)
        if demand.prompt is not None:
            picked = self._shortlist.select(
                demand.service.id, demand.prompt, now_seconds
            )
            usable = self._usable(picked, excluded, now_seconds)
            if usable:
                return usable
        usable = self._usable(ready, excluded, now_seconds)
        return usable or [one for one in ready if one.id not in excluded]

    def _usable(
        self,
        entries: Iterable[TargetEntry],
        excluded: Collection[TargetId],
        now_seconds: float,
    ) -> list[TargetEntry]:
        return [
            entry
            for entry in entries
            if entry.id not in excluded
            and self._health.is_usable(entry.id, now_seconds)
        ]

    def _place_plain(
        self, demand: PlacementRequest, entries: list[TargetEntry]
    ) -> Placement | Rejection:
        best = min(
            (self._plain_option(entry) for entry in entries),
            key=lambda option: option.score_seconds,
        )
        placement = best.placement
        queue_seconds = self._plain_seconds * _PLAIN_QUEUE_FACTOR
        limit_seconds = min(queue_seconds, demand.remaining_seconds)
        if placement.wait_seconds > limit_seconds:
            return self._refuse(placement.wait_seconds, limit_seconds)
        return placement

    def _plain_option(self, entry: TargetEntry) -> _Option:
        load = self._board.total(entry.id)
        slots = max(1, entry.slots_count)
        excess = max(0, load.requests_count + 1 - slots)
        wait_seconds = excess * self._plain_seconds / slots
        slots_utilisation = load.requests_count / slots
        score = wait_seconds + slots_utilisation * self._plain_seconds
        score += self._penalty_seconds(entry)
        placement = Placement(
            entry,
            TargetLoad(requests_count=1),
            wait_seconds,
            wait_seconds + self._plain_seconds,
            0,
        )
        return _Option(score, placement)

    def _place_prompt(
        self,
        demand: PlacementRequest,
        engine: EngineSpec,
        prompt: Prompt,
        entries: list[TargetEntry],
    ) -> Placement | Rejection:
        hopeless = self._refuse_hopeless(demand, entries)
        if hopeless is not None:
            return hopeless
        preferred = self._shortlist.preferred(demand.service.id, prompt)
        ranks = {entry.id: rank for rank, entry in enumerate(preferred)}
        prefixes = prompt.prefixes()
        options = [
            self._prompt_option(
                entry,
                ranks.get(entry.id, PREFERRED_COUNT),
                engine,
                prompt,
                self.cache.cached_tokens(entry.id, prefixes),
            )
            for entry in entries
        ]
        options.sort(key=lambda one: one.score_seconds)
        most_kept = max(one.placement.cached_tokens for one in options)
        for option in options:
            placement = option.placement
            limit_seconds = self._limit_seconds(demand, placement)
            limit_seconds -= self._reread_seconds(demand, placement, most_kept)
            if placement.wait_seconds <= limit_seconds:
                return placement
        shortest = min(
            (one.placement for one in options),
            key=lambda one: one.wait_seconds,
        )
        return self._refuse(
            shortest.wait_seconds, self._limit_seconds(demand, shortest)
        )

    def _refuse_hopeless(
        self, demand: PlacementRequest, entries: list[TargetEntry]
    ) -> Rejection | None:
        """Refuse cheaply what no target can begin in time.

        A caller that sends many times its usual gets most of its answers
        here, and they must not take the time of other requests.
        """
        limit_seconds = wait_limit_seconds(
            demand.factors,
            demand.route.objective_seconds,
            demand.shortest_objective_seconds,
            read_seconds=0,
        )
        shortest = min(self._wait_seconds(entry) for entry in entries)
        if shortest > limit_seconds:
            return self._refuse(shortest, limit_seconds)
        return None

    def _wait_seconds(self, entry: TargetEntry) -> float:
        rate = _READ_TOKENS_PER_SECOND / self._health.latency_ratio(entry.id)
        return self._board.total(entry.id).unread_tokens / rate

    def _limit_seconds(
        self, demand: PlacementRequest, placement: Placement
    ) -> float:
        limit_seconds = wait_limit_seconds(
            demand.factors,
            demand.route.objective_seconds,
            demand.shortest_objective_seconds,
            placement.expected_seconds - placement.wait_seconds,
        )
        return min(limit_seconds, demand.remaining_seconds)

    def _reread_seconds(
        self,
        demand: PlacementRequest,
        placement: Placement,
        most_kept_tokens: int,
    ) -> float:
        """Return the time that others lose if the target reads parts again.

        Load pattern: under overload requests spill from the targets that keep
        their parts. Each of them then takes the time of several requests, so
        that fewer are served in all.
        """
        tokens = most_kept_tokens - placement.cached_tokens
        rate = _READ_TOKENS_PER_SECOND / self._health.latency_ratio(
            placement.entry.id
        )
        return demand.factors.strictness * tokens / rate

    def _prompt_option(
        self,
        entry: TargetEntry,
        rank: int,
        engine: EngineSpec,
        prompt: Prompt,
        cached_tokens: int,
    ) -> _Option:
        load = self._board.total(entry.id)
        unread_tokens = max(0, prompt.input_tokens - cached_tokens)
        rate = _READ_TOKENS_PER_SECOND / self._health.latency_ratio(entry.id)
        wait_seconds = load.unread_tokens / rate
        if load.requests_count >= engine.slots_count:
            wait_seconds += _FULL_PENALTY_SECONDS
        read_seconds = unread_tokens / rate
        memory_tokens = prompt.input_tokens + prompt.max_output_tokens
        score = wait_seconds + _REREAD_WEIGHT * read_seconds
        score += self._penalty_seconds(entry)
        score += _RANK_STEP_SECONDS * rank
        used_tokens = load.memory_tokens + memory_tokens
        if used_tokens > engine.memory_tokens * _MEMORY_SHARE:
            score += _FULL_PENALTY_SECONDS
        placement = Placement(
            entry,
            TargetLoad(1, unread_tokens, memory_tokens),
            wait_seconds,
            _FIRST_EVENT_SECONDS + wait_seconds + read_seconds,
            cached_tokens,
            max(0, engine.memory_tokens - used_tokens),
        )
        return _Option(score, placement)

    def _penalty_seconds(self, entry: TargetEntry) -> float:
        share = self._health.failure_rate(entry.id)
        penalty = share * _FAILURE_PENALTY_SECONDS
        if entry.failure_domain != self._settings.failure_domain:
            penalty += _OTHER_DOMAIN_SECONDS
        return penalty + self._rng.random() * _OTHER_DOMAIN_SECONDS

    def _refuse(self, wait_seconds: float, limit_seconds: float) -> Rejection:
        excess = max(_RETRY_MIN_SECONDS, wait_seconds - limit_seconds)
        return Rejection('overloaded', self._spread(excess), wait_seconds)

    def _spread(self, seconds: float) -> float:
        """Return a time to come back that differs from caller to caller."""
        spread = self._rng.random() * _RETRY_SPREAD_SECONDS
        return round(seconds + spread, 2)
