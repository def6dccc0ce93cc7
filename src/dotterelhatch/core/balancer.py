"""Selection of a target for a request, or rejection of the request.

A model engine reads prompts (prefill) in the order of arrival. The time to the
first event is therefore the time to read the prompts queued there, plus the
time to read the part of this prompt that the engine has not cached. A request
is placed where that sum, with penalties, is lowest. It is rejected if the wait
alone exceeds the limit of :mod:`dotterelhatch.core.admission`: a longer queue
would make every response late without serving more requests.
"""

import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import ClassVar, Final

from dotterelhatch.core.admission import (
    AdmissionFactors,
    share_limit_factor,
    wait_limit_seconds,
)
from dotterelhatch.core.candidates import (
    PREFERRED_COUNT,
    CandidateSelector,
    rendezvous,
    spare_last,
)
from dotterelhatch.core.load import LoadTracker, TargetLoad
from dotterelhatch.core.prompts import (
    DEFAULT_PREFIXES_COUNT,
    PrefixCacheEstimate,
    Prompt,
)
from dotterelhatch.core.registry import TargetEntry, TargetRegistry
from dotterelhatch.core.routes import EngineSpec, RouteRule, ServiceSpec
from dotterelhatch.core.targethealth import TargetHealth
from dotterelhatch.core.targetlimits import TargetLimits
from dotterelhatch.core.targetpauses import TargetPauses
from dotterelhatch.ids import FailureDomain, ServiceId, TargetId

__all__ = (
    'Balancer',
    'BalancerSettings',
    'Placement',
    'PlacementRequest',
    'Rejection',
)

# Prefill rate of an engine that also decodes running requests; the data sheet
# gives 56,900 for prefill alone. The latency ratio of each target corrects it.
_PREFILL_TOKENS_PER_SECOND: Final = 40_000.0
# Time to the first event of an empty prompt on an idle engine.
_FIRST_EVENT_SECONDS: Final = 0.04
# Mean time of a request to a plain service, one without model engines, until
# one has been measured.
_INITIAL_PLAIN_SECONDS: Final = 0.045
_SMOOTHING_FACTOR: Final = 0.05
# Added for each place in the order of the preferred targets. A prompt that no
# target has cached thus goes to the same target from every router, unless the
# next one is predicted to be faster by this much.
_RANK_PENALTY_SECONDS: Final = 0.1
# Prefill delays this request and those that are queued behind it.
_PREFILL_WEIGHT: Final = 3.0
# Penalty of a target that fails every request; scaled by its failure rate.
_FAILURE_PENALTY_SECONDS: Final = 2.0
# Penalty of a target without a free slot, or whose memory would be used beyond
# the share below.
_CAPACITY_PENALTY_SECONDS: Final = 2.0
_MAX_MEMORY_SHARE: Final = 0.9
# Penalty of a target in another failure domain; also the range of the random
# term that breaks ties.
_OTHER_DOMAIN_SECONDS: Final = 0.002
_MIN_RETRY_AFTER_SECONDS: Final = 0.2
_RETRY_AFTER_JITTER_SECONDS: Final = 0.6
# At a router that does not use any of the targets, another one may take the
# request sooner.
_MAX_LIMIT_RETRY_AFTER_SECONDS: Final = 1.0
# Pauses hold for one router and one start of a target. By then another router
# may take the request, or another target.
_MAX_PAUSE_RETRY_AFTER_SECONDS: Final = 30.0
# Share of a pause over which the callers that were rejected in it return.
_PAUSE_JITTER_RATIO: Final = 0.25
# Targets that crashed start again within seconds.
_SPARED_RETRY_AFTER_SECONDS: Final = 1.0
# Longest queue of a plain target, in multiples of its slots, that still drains
# within the deadlines of callers.
_MAX_PLAIN_QUEUE_FACTOR: Final = 4.0


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of the balancer.

    :param failure_domain: the failure domain of this router, whose targets
        are preferred.
    :param max_prefixes_count: prefixes of prompts that are known to be cached
        by targets, for all targets together.
    """

    failure_domain: FailureDomain
    max_prefixes_count: int = DEFAULT_PREFIXES_COUNT


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """An attempt of a request for which a target is needed.

    :param prompt: None for a request that no model engine runs.
    :param remaining_seconds: time until the deadline of the request or the
        timeout of its route.
    :param shortest_objective_seconds: the shortest latency objective of all
        routes to the service.
    :param factors: state that determines how long the request may wait.
    :param isolation_key: requests with the same key go to the same target,
        because they may crash it.
    :param down_targets: targets that have crashed and may not be back yet.
    """

    route: RouteRule
    service: ServiceSpec
    prompt: Prompt | None
    remaining_seconds: float
    shortest_objective_seconds: float
    factors: AdmissionFactors = AdmissionFactors()
    isolation_key: str | None = None
    down_targets: frozenset[TargetId] = frozenset()


@dataclass(frozen=True, slots=True)
class Placement:
    """The selected target and the predictions behind the selection.

    :param load: load that the request adds to the target.
    :param wait_seconds: predicted time until the target begins the request.
    :param expected_seconds: predicted time to the first event or response.
    :param cached_tokens: prompt tokens that the target has cached.
    :param spare_tokens: memory of the target that running requests leave to
        its cache.
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

    :param reason: short text for logs and error messages.
    :param retry_after_seconds: when the caller should send the request again.
    :param wait_seconds: the shortest predicted wait, None without a target.
    """

    NO_TARGET: ClassVar[str] = 'no_target'
    CRASH_SUSPECT: ClassVar[str] = 'crash_suspect'

    reason: str
    retry_after_seconds: float
    wait_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class _Candidate:
    score_seconds: float
    placement: Placement


class Balancer:
    """Selects targets for requests.

    :param settings: settings of the balancer.
    :param registry: the known targets.
    :param loads: the load of the targets.
    :param health: failures and latency of the targets.
    :param limits: request rates that targets take.
    :param rng: random generator for ties between targets and for the jitter
        of retry times.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        registry: TargetRegistry,
        loads: LoadTracker,
        health: TargetHealth,
        limits: TargetLimits,
        rng: random.Random,
    ) -> None:
        """Create a balancer without measurements."""
        self.cache = PrefixCacheEstimate(settings.max_prefixes_count)
        self.pauses = TargetPauses()
        self._settings = settings
        self._registry = registry
        self._loads = loads
        self._health = health
        self._limits = limits
        self._rng = rng
        self._plain_seconds = _INITIAL_PLAIN_SECONDS
        self._selector = CandidateSelector(
            registry, self.cache, self.pauses, rng
        )

    def place(
        self,
        request: PlacementRequest,
        excluded: Collection[TargetId],
        now_seconds: float,
    ) -> Placement | Rejection:
        """Select a target for a request and count the request there.

        :param excluded: targets that this request was already sent to.
        """
        chosen = self._choose(request, excluded, now_seconds)
        if isinstance(chosen, Placement):
            self._limits.on_placed(chosen.entry, now_seconds)
            self.pauses.on_placed(chosen.entry, now_seconds)
        return chosen

    def preview(
        self, request: PlacementRequest, now_seconds: float
    ) -> Placement | Rejection:
        """Return what would become of a request, without counting it."""
        return self._choose(request, (), now_seconds)

    def _choose(
        self,
        request: PlacementRequest,
        excluded: Collection[TargetId],
        now_seconds: float,
    ) -> Placement | Rejection:
        entries = self._find_candidates(request, excluded, now_seconds)
        if not entries and self._is_spared(request):
            return Rejection(
                Rejection.CRASH_SUSPECT,
                self._add_jitter(_SPARED_RETRY_AFTER_SECONDS),
            )
        if not entries:
            return self._reject_without_candidate(
                request, excluded, now_seconds
            )
        engine = request.service.engine
        if engine is None or request.prompt is None:
            return self._place_plain(request, entries)
        return self._place_prompt(request, engine, request.prompt, entries)

    def has_untried_target(
        self,
        service: ServiceId,
        tried: Collection[TargetId],
        now_seconds: float,
    ) -> bool:
        """Return whether a target that is not paused can still be tried."""
        return any(
            entry.id not in tried
            and not self.pauses.wait_seconds(entry, now_seconds)
            for entry in self._registry.ready(service)
        )

    def reject_if_paused(
        self, service: ServiceId, now_seconds: float
    ) -> Rejection | None:
        """Return a rejection if all targets of a service are paused.

        Callers are told to return after the first pause to end.
        """
        wait_seconds = min(
            (
                self.pauses.wait_seconds(entry, now_seconds)
                for entry in self._registry.ready(service)
            ),
            default=0,
        )
        if not wait_seconds:
            return None
        wait_seconds = min(wait_seconds, _MAX_PAUSE_RETRY_AFTER_SECONDS)
        return Rejection(
            'targets_paused',
            self._add_jitter(
                max(wait_seconds, _MIN_RETRY_AFTER_SECONDS),
                wait_seconds * _PAUSE_JITTER_RATIO,
            ),
        )

    def on_plain_response(self, seconds: float) -> None:
        """Update the mean time of requests to plain services."""
        change = seconds - self._plain_seconds
        self._plain_seconds += _SMOOTHING_FACTOR * change

    def _find_candidates(
        self,
        request: PlacementRequest,
        excluded: Collection[TargetId],
        now_seconds: float,
    ) -> Sequence[TargetEntry]:
        ready = self._registry.ready(request.service.id)
        if request.isolation_key is not None:
            spared = set(
                spare_last([entry.id for entry in ready], request.down_targets)
            )
            usable = self._usable(
                request,
                [entry for entry in ready if entry.id in spared],
                excluded,
                now_seconds,
            )
            return rendezvous(request.isolation_key, usable)[:1]
        if request.prompt is not None:
            selected = self._selector.select(
                request.service.id, request.prompt, now_seconds
            )
            usable = self._usable(request, selected, excluded, now_seconds)
            if usable:
                return usable
        usable = self._usable(request, ready, excluded, now_seconds)
        return usable or [
            entry
            for entry in ready
            if entry.id not in excluded
            and self._may_send(request, entry, now_seconds)
        ]

    def _is_spared(self, request: PlacementRequest) -> bool:
        """Return whether the last target is up alone and is to stay so."""
        if request.isolation_key is None:
            return False
        ready = self._registry.ready(request.service.id)
        targets = [entry.id for entry in ready]
        return bool(targets) and not spare_last(targets, request.down_targets)

    def _may_send(
        self, request: PlacementRequest, entry: TargetEntry, now_seconds: float
    ) -> bool:
        """Return whether neither a pause nor a limit excludes a target."""
        return not (
            self.pauses.wait_seconds(entry, now_seconds)
            or self._limit_wait_seconds(request, entry, now_seconds)
        )

    def _limit_wait_seconds(
        self, request: PlacementRequest, entry: TargetEntry, now_seconds: float
    ) -> float:
        return self._limits.wait_seconds(
            entry, request.factors.fair_share_ratio, now_seconds
        )

    def _reject_without_candidate(
        self,
        request: PlacementRequest,
        excluded: Collection[TargetId],
        now_seconds: float,
    ) -> Rejection:
        """Reject a request that no target may get now."""
        rejection = self.reject_if_paused(request.service.id, now_seconds)
        if rejection is not None:
            return rejection
        waits_seconds = [
            self._limit_wait_seconds(request, entry, now_seconds)
            for entry in self._registry.ready(request.service.id)
            if entry.id not in excluded
            and not self.pauses.wait_seconds(entry, now_seconds)
        ]
        reason = 'target_limits' if waits_seconds else Rejection.NO_TARGET
        wait_seconds = min(waits_seconds, default=_MIN_RETRY_AFTER_SECONDS)
        wait_seconds = min(wait_seconds, _MAX_LIMIT_RETRY_AFTER_SECONDS)
        return Rejection(
            reason,
            self._add_jitter(max(wait_seconds, _MIN_RETRY_AFTER_SECONDS)),
        )

    def _usable(
        self,
        request: PlacementRequest,
        entries: Iterable[TargetEntry],
        excluded: Collection[TargetId],
        now_seconds: float,
    ) -> list[TargetEntry]:
        return [
            entry
            for entry in entries
            if entry.id not in excluded
            and self._health.is_usable(entry.id, now_seconds)
            and self._may_send(request, entry, now_seconds)
        ]

    def _place_plain(
        self, request: PlacementRequest, entries: Sequence[TargetEntry]
    ) -> Placement | Rejection:
        best = min(
            (self._plain_candidate(entry) for entry in entries),
            key=lambda candidate: candidate.score_seconds,
        )
        placement = best.placement
        queue_seconds = self._plain_seconds * _MAX_PLAIN_QUEUE_FACTOR
        queue_seconds *= share_limit_factor(request.factors)
        limit_seconds = min(queue_seconds, request.remaining_seconds)
        if placement.wait_seconds > limit_seconds:
            return self._reject(placement.wait_seconds, limit_seconds)
        return placement

    def _plain_candidate(self, entry: TargetEntry) -> _Candidate:
        load = self._loads.total(entry.id)
        slots = max(1, entry.slots_count)
        queued_count = max(0, load.requests_count + 1 - slots)
        wait_seconds = queued_count * self._plain_seconds / slots
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
        return _Candidate(score, placement)

    def _place_prompt(
        self,
        request: PlacementRequest,
        engine: EngineSpec,
        prompt: Prompt,
        entries: Sequence[TargetEntry],
    ) -> Placement | Rejection:
        rejection = self._reject_early(request, entries)
        if rejection is not None:
            return rejection
        preferred = self._selector.preferred(request.service.id, prompt)
        ranks = {entry.id: rank for rank, entry in enumerate(preferred)}
        prefixes = prompt.prefixes()
        candidates = [
            self._prompt_candidate(
                entry,
                ranks.get(entry.id, PREFERRED_COUNT),
                engine,
                prompt,
                self.cache.cached_tokens(entry.id, prefixes),
            )
            for entry in entries
        ]
        candidates.sort(key=lambda candidate: candidate.score_seconds)
        max_cached_tokens = max(
            candidate.placement.cached_tokens for candidate in candidates
        )
        for candidate in candidates:
            placement = candidate.placement
            limit_seconds = self._limit_seconds(request, placement)
            limit_seconds -= self._repeated_prefill_seconds(
                request, placement, max_cached_tokens
            )
            if placement.wait_seconds <= limit_seconds:
                return placement
        shortest = min(
            (one.placement for one in candidates),
            key=lambda one: one.wait_seconds,
        )
        return self._reject(
            shortest.wait_seconds, self._limit_seconds(request, shortest)
        )

    def _reject_early(
        self, request: PlacementRequest, entries: Sequence[TargetEntry]
    ) -> Rejection | None:
        """Reject a request that no target can begin in time.

        The check is cheap on purpose: under a flood from one caller most
        requests are rejected here, and they must not delay other requests.
        """
        limit_seconds = wait_limit_seconds(
            request.factors,
            request.route.objective_seconds,
            request.shortest_objective_seconds,
            prefill_seconds=0,
        )
        shortest = min(self._wait_seconds(entry) for entry in entries)
        if shortest > limit_seconds:
            return self._reject(shortest, limit_seconds)
        return None

    def _wait_seconds(self, entry: TargetEntry) -> float:
        rate = _PREFILL_TOKENS_PER_SECOND / self._health.latency_ratio(entry.id)
        return self._loads.total(entry.id).unread_tokens / rate

    def _limit_seconds(
        self, request: PlacementRequest, placement: Placement
    ) -> float:
        limit_seconds = wait_limit_seconds(
            request.factors,
            request.route.objective_seconds,
            request.shortest_objective_seconds,
            placement.expected_seconds - placement.wait_seconds,
        )
        return min(limit_seconds, request.remaining_seconds)

    def _repeated_prefill_seconds(
        self,
        request: PlacementRequest,
        placement: Placement,
        max_cached_tokens: int,
    ) -> float:
        """Return the time that other requests lose by a repeated prefill.

        Under overload, requests move away from the targets that have cached
        their prompt parts. Each of them then takes as long as several
        requests, so that fewer requests are served in total.

        :param max_cached_tokens: most tokens of the prompt that a candidate
            has cached.
        """
        tokens = max_cached_tokens - placement.cached_tokens
        rate = _PREFILL_TOKENS_PER_SECOND / self._health.latency_ratio(
            placement.entry.id
        )
        return request.factors.strictness * tokens / rate

    def _prompt_candidate(
        self,
        entry: TargetEntry,
        rank: int,
        engine: EngineSpec,
        prompt: Prompt,
        cached_tokens: int,
    ) -> _Candidate:
        load = self._loads.total(entry.id)
        unread_tokens = max(0, prompt.input_tokens - cached_tokens)
        rate = _PREFILL_TOKENS_PER_SECOND / self._health.latency_ratio(entry.id)
        wait_seconds = load.unread_tokens / rate
        if load.requests_count >= engine.slots_count:
            wait_seconds += _CAPACITY_PENALTY_SECONDS
        prefill_seconds = unread_tokens / rate
        memory_tokens = prompt.input_tokens + prompt.max_output_tokens
        score = wait_seconds + _PREFILL_WEIGHT * prefill_seconds
        score += self._penalty_seconds(entry)
        score += _RANK_PENALTY_SECONDS * rank
        used_tokens = load.memory_tokens + memory_tokens
        if used_tokens > engine.memory_tokens * _MAX_MEMORY_SHARE:
            score += _CAPACITY_PENALTY_SECONDS
        placement = Placement(
            entry,
            TargetLoad(1, unread_tokens, memory_tokens),
            wait_seconds,
            _FIRST_EVENT_SECONDS + wait_seconds + prefill_seconds,
            cached_tokens,
            max(0, engine.memory_tokens - used_tokens),
        )
        return _Candidate(score, placement)

    def _penalty_seconds(self, entry: TargetEntry) -> float:
        failure_rate = self._health.failure_rate(entry.id)
        penalty = failure_rate * _FAILURE_PENALTY_SECONDS
        if entry.failure_domain != self._settings.failure_domain:
            penalty += _OTHER_DOMAIN_SECONDS
        return penalty + self._rng.random() * _OTHER_DOMAIN_SECONDS

    def _reject(self, wait_seconds: float, limit_seconds: float) -> Rejection:
        retry_after_seconds = max(
            _MIN_RETRY_AFTER_SECONDS, wait_seconds - limit_seconds
        )
        return Rejection(
            'overloaded', self._add_jitter(retry_after_seconds), wait_seconds
        )

    def _add_jitter(self, seconds: float, spread_seconds: float = 0) -> float:
        """Add jitter, so that rejected callers do not all retry at once.

        :param spread_seconds: longest jitter, if that is more than the usual.
        """
        jitter = self._rng.random() * max(
            spread_seconds, _RETRY_AFTER_JITTER_SECONDS
        )
        return round(seconds + jitter, 2)
