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
    memory_limit_share,
    share_limit_factor,
    wait_limit_seconds,
)
from dotterelhatch.core.candidates import (
    PREFERRED_COUNT,
    CandidateSelector,
    rendezvous,
    spare_last,
)
from dotterelhatch.core.enginememory import EngineMemory, MemoryRoom
from dotterelhatch.core.load import LoadTracker, TargetLoad
from dotterelhatch.core.prompts import (
    DEFAULT_PREFIXES_COUNT,
    PrefixCacheEstimate,
    PrefixKey,
    Prompt,
)
from dotterelhatch.core.registry import TargetEntry, TargetRegistry
from dotterelhatch.core.routes import EngineSpec, RouteRule, ServiceSpec
from dotterelhatch.core.speeds import FIRST_EVENT_SECONDS, TargetSpeeds
from dotterelhatch.core.targethealth import TargetHealth
from dotterelhatch.core.targetlimits import TargetLimits
from dotterelhatch.core.targetpauses import TargetPauses
from dotterelhatch.core.warmup import WarmupLimits
from dotterelhatch.ids import FailureDomain, ServiceId, TargetId

__all__ = (
    'Balancer',
    'BalancerExtensions',
    'BalancerSettings',
    'Placement',
    'PlacementRequest',
    'Rejection',
)

# Prefill rate of an engine that also decodes running requests; the data sheet
# gives 56,900 for prefill alone. The latency ratio of each target corrects it,
# unless the rate of the target is learned.
_PREFILL_TOKENS_PER_SECOND: Final = 40_000.0
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
# Nobody knows when an evacuation ends. Its end reaches all routers within this
# time.
_EVACUATED_RETRY_AFTER_SECONDS: Final = 5.0
# Targets that crashed start again within seconds.
_SPARED_RETRY_AFTER_SECONDS: Final = 1.0
# Of the prefixes that a router keeps, few are in use by running requests.
_PREFIXES_PER_USED_PART: Final = 4
# Targets that are searched for memory when none of the selected ones has any,
# and those with memory that are compared.
_MAX_SCANNED_COUNT: Final = 64
_MAX_ROOMY_COUNT: Final = 3
# How long a search without result is not repeated, because a flood would make
# each router search all targets. Loads of other routers are at least as old.
_FULL_LIFETIME_SECONDS: Final = 0.02
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
    :param is_continued: whether the request was sent to a target before.
    """

    route: RouteRule
    service: ServiceSpec
    prompt: Prompt | None
    remaining_seconds: float
    shortest_objective_seconds: float
    factors: AdmissionFactors = AdmissionFactors()
    isolation_key: str | None = None
    down_targets: frozenset[TargetId] = frozenset()
    is_continued: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The selected target and the predictions behind the selection.

    :param load: load that the request adds to the target.
    :param wait_seconds: predicted time until the target begins the request.
    :param expected_seconds: predicted time to the first event or response.
    :param cached_tokens: prompt tokens that the target has cached.
    :param spare_tokens: memory of the target that running requests leave to
        its cache.
    :param queued_tokens: prompt tokens that the target has to read before.
    :param running_count: requests at the target, this one included.
    :param room: memory of the target, None where it limits nothing.
    """

    entry: TargetEntry
    load: TargetLoad
    wait_seconds: float
    expected_seconds: float
    cached_tokens: int
    spare_tokens: int = 0
    queued_tokens: int = 0
    running_count: int = 1
    room: MemoryRoom | None = None


@dataclass(frozen=True, slots=True)
class Rejection:
    """No target can serve the request in time.

    :param reason: short text for logs and error messages.
    :param retry_after_seconds: when the caller should send the request again.
    :param wait_seconds: the shortest predicted wait, None without a target.
    :param room: memory of the target that can take the request first, None
        for another reason.
    """

    NO_MEMORY: ClassVar[str] = 'no_memory'
    NO_TARGET: ClassVar[str] = 'no_target'
    CRASH_SUSPECT: ClassVar[str] = 'crash_suspect'
    EVACUATED: ClassVar[str] = 'evacuated'

    reason: str
    retry_after_seconds: float
    wait_seconds: float | None = None
    room: MemoryRoom | None = None


@dataclass(frozen=True, slots=True)
class _Candidate:
    score_seconds: float
    placement: Placement


@dataclass(frozen=True, slots=True)
class BalancerExtensions:
    """Parts of a balancer that only some deployments ask for.

    :param warmup: request rates that cold targets take, None for no limit.
    :param speeds: learned speeds of the targets, None to use a constant rate
        and the latency that this router measures.
    """

    warmup: WarmupLimits | None = None
    speeds: TargetSpeeds | None = None


@dataclass(frozen=True, slots=True)
class _PromptNeeds:
    """What a prompt needs of a target.

    :param prefixes: the result of :meth:`Prompt.prefixes`.
    :param own_tokens: expected need of memory without shared parts, None
        where memory limits nothing.
    """

    engine: EngineSpec
    prompt: Prompt
    prefixes: list[tuple[PrefixKey, int]]
    own_tokens: int | None


class Balancer:
    """Selects targets for requests.

    :param settings: settings of the balancer.
    :param registry: the known targets.
    :param loads: the load of the targets.
    :param health: failures and latency of the targets.
    :param limits: request rates that targets take.
    :param rng: random generator for ties between targets and for the jitter
        of retry times.
    :param extensions: what only some deployments ask for.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        registry: TargetRegistry,
        loads: LoadTracker,
        health: TargetHealth,
        limits: TargetLimits,
        rng: random.Random,
        extensions: BalancerExtensions | None = None,
    ) -> None:
        """Create a balancer without measurements."""
        self.cache = PrefixCacheEstimate(settings.max_prefixes_count)
        self.pauses = TargetPauses()
        self.memory = EngineMemory(
            settings.max_prefixes_count // _PREFIXES_PER_USED_PART
        )
        self._settings = settings
        self._registry = registry
        self._loads = loads
        self._health = health
        self._limits = limits
        self._rng = rng
        extensions = extensions or BalancerExtensions()
        self._warmup = extensions.warmup or WarmupLimits.without_limits()
        self._speeds = extensions.speeds
        # Share for which no target of a service had memory, and until when.
        self._full: dict[ServiceId, tuple[float, float]] = {}
        self._plain_seconds = _INITIAL_PLAIN_SECONDS
        self._selector = CandidateSelector(
            registry, self.cache, self.pauses, rng, self._warmup
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
            self._warmup.on_placed(chosen.entry, now_seconds)
        return chosen

    def preview(
        self, request: PlacementRequest, now_seconds: float
    ) -> Placement | Rejection:
        """Return what would become of a request, without counting it."""
        return self._choose(request, (), now_seconds)

    def lacks_memory(
        self,
        request: PlacementRequest,
        entry: TargetEntry,
        now_seconds: float,
    ) -> bool:
        """Return whether a target has too little memory for a request."""
        engine = request.service.engine
        if engine is None or request.prompt is None:
            return False
        needs = self._needs(request, engine, request.prompt, now_seconds)
        room = self._room(request.service.id, entry, needs)
        share = _memory_share(request, is_late=False)
        return room is not None and not room.fits(share)

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
        return self._reject_early(request, entries) or self._find_place(
            request,
            self._needs(request, engine, request.prompt, now_seconds),
            entries,
            excluded,
            now_seconds,
        )

    def has_untried_target(
        self,
        service: ServiceId,
        tried: Collection[TargetId],
        now_seconds: float,
    ) -> bool:
        """Return whether a target that may get requests can still be tried."""
        return any(
            entry.id not in tried
            and not self.pauses.wait_seconds(entry, now_seconds)
            and not self._warmup.wait_seconds(entry, now_seconds)
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
            # The owners of cold targets differ from router to router.
            usable = self._warmup.warm_first(usable, now_seconds)
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
            or self._warmup.wait_seconds(entry, now_seconds)
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
        if self._registry.is_evacuated(request.service.id):
            return Rejection(
                Rejection.EVACUATED,
                self._add_jitter(_EVACUATED_RETRY_AFTER_SECONDS),
            )
        waits_seconds = [
            max(
                self._limit_wait_seconds(request, entry, now_seconds),
                self._warmup.wait_seconds(entry, now_seconds),
            )
            for entry in self._registry.ready(request.service.id)
            if entry.id not in excluded
            and not self.pauses.wait_seconds(entry, now_seconds)
        ]
        reason = Rejection.NO_TARGET
        if waits_seconds:
            reason = self._limit_reason(request, now_seconds)
        wait_seconds = min(waits_seconds, default=_MIN_RETRY_AFTER_SECONDS)
        wait_seconds = min(wait_seconds, _MAX_LIMIT_RETRY_AFTER_SECONDS)
        return Rejection(
            reason,
            self._add_jitter(max(wait_seconds, _MIN_RETRY_AFTER_SECONDS)),
        )

    def _limit_reason(
        self, request: PlacementRequest, now_seconds: float
    ) -> str:
        """Return why no target may get a request now."""
        ready = self._registry.ready(request.service.id)
        if any(self._warmup.is_cold(entry, now_seconds) for entry in ready):
            return 'targets_cold'
        return 'target_limits'

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
        mean_seconds = placement.expected_seconds - placement.wait_seconds
        queue_seconds = mean_seconds * _MAX_PLAIN_QUEUE_FACTOR
        queue_seconds *= share_limit_factor(request.factors)
        limit_seconds = min(queue_seconds, request.remaining_seconds)
        if placement.wait_seconds > limit_seconds:
            return self._reject(placement.wait_seconds, limit_seconds)
        return placement

    def _plain_candidate(self, entry: TargetEntry) -> _Candidate:
        load = self._loads.total(entry.id)
        running_count = load.requests_count + 1
        slots, mean_seconds = self._plain_capacity(entry, running_count)
        mean_seconds *= self._warmup.time_ratio(entry.id)
        queued_count = max(0, running_count - slots)
        wait_seconds = queued_count * mean_seconds / slots
        slots_utilisation = load.requests_count / slots
        score = wait_seconds + slots_utilisation * mean_seconds
        score += self._penalty_seconds(entry)
        placement = Placement(
            entry,
            TargetLoad(requests_count=1),
            wait_seconds,
            wait_seconds + mean_seconds,
            0,
            running_count=running_count,
        )
        return _Candidate(score, placement)

    def _plain_capacity(
        self, entry: TargetEntry, running_count: int
    ) -> tuple[int, float]:
        """Return the useful concurrency of a target and its request time."""
        slots = max(1, entry.slots_count)
        if self._speeds is not None:
            good_count = self._speeds.good_concurrency(entry)
            seconds = self._speeds.plain_seconds(
                entry, min(running_count, good_count)
            )
            if seconds is not None:
                return good_count, seconds
        return slots, self._plain_seconds

    def _needs(
        self,
        request: PlacementRequest,
        engine: EngineSpec,
        prompt: Prompt,
        now_seconds: float,
    ) -> _PromptNeeds:
        """Return what a prompt needs of a target."""
        own_tokens = None
        ready = self._registry.ready(request.service.id)
        if self.memory.is_limiting(
            request.service.id, engine, ready, now_seconds
        ):
            own_tokens = self.memory.own_tokens(request.route.name, prompt)
        return _PromptNeeds(engine, prompt, prompt.prefixes(), own_tokens)

    def _find_place(
        self,
        request: PlacementRequest,
        needs: _PromptNeeds,
        entries: Sequence[TargetEntry],
        excluded: Collection[TargetId],
        now_seconds: float,
    ) -> Placement | Rejection:
        """Place a prompt, at other targets if the selected ones are full."""
        chosen = self._place_prompt(request, needs, entries)
        if isinstance(chosen, Placement) or chosen.room is None:
            return chosen
        service = request.service.id
        share = _memory_share(request, is_late=False)
        if request.isolation_key or self._is_full(service, share, now_seconds):
            return chosen
        tried = {entry.id for entry in entries}
        others = self._find_roomy(
            request, needs, tried.union(excluded), now_seconds
        )
        if others:
            return self._place_prompt(request, needs, others)
        if not chosen.room.is_unusual:
            self._full[service] = (share, now_seconds + _FULL_LIFETIME_SECONDS)
        return chosen

    def _place_prompt(
        self,
        request: PlacementRequest,
        needs: _PromptNeeds,
        entries: Sequence[TargetEntry],
    ) -> Placement | Rejection:
        preferred = self._selector.preferred(request.service.id, needs.prompt)
        ranks = {entry.id: rank for rank, entry in enumerate(preferred)}
        candidates = [
            self._prompt_candidate(
                request.service.id,
                entry,
                ranks.get(entry.id, PREFERRED_COUNT),
                needs,
            )
            for entry in entries
        ]
        roomy = [one for one in candidates if _has_room(request, one.placement)]
        if not roomy:
            return self._reject_without_memory(
                request, [one.placement for one in candidates]
            )
        return self._place_in_time(request, roomy)

    def _place_in_time(
        self, request: PlacementRequest, candidates: list[_Candidate]
    ) -> Placement | Rejection:
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

    def _find_roomy(
        self,
        request: PlacementRequest,
        needs: _PromptNeeds,
        excluded: Collection[TargetId],
        now_seconds: float,
    ) -> list[TargetEntry]:
        """Return targets with memory for a request that others lack.

        Only few targets are compared for a prompt, and these may be full while
        others are not.
        """
        service = request.service.id
        share = _memory_share(request, is_late=False)
        ready = self._registry.ready(service)
        count = min(len(ready), _MAX_SCANNED_COUNT)
        roomy: list[TargetEntry] = []
        for entry in self._rng.sample(ready, count):
            room = self._room(service, entry, needs)
            if room is None or not room.fits(share):
                continue
            roomy.extend(self._usable(request, (entry,), excluded, now_seconds))
            if len(roomy) == _MAX_ROOMY_COUNT:
                break
        return roomy

    def _is_full(
        self, service: ServiceId, share: float, now_seconds: float
    ) -> bool:
        """Return whether a search for memory has just found no target."""
        full_share, until_seconds = self._full.get(service, (0.0, 0.0))
        return share <= full_share and now_seconds < until_seconds

    def _room(
        self, service: ServiceId, entry: TargetEntry, needs: _PromptNeeds
    ) -> MemoryRoom | None:
        """Return the memory of a target, None where it limits nothing."""
        if needs.own_tokens is None:
            return None
        return self.memory.room(
            service,
            needs.engine,
            entry.id,
            self._loads.total(entry.id),
            needs.prefixes,
            needs.own_tokens,
        )

    def _reject_without_memory(
        self, request: PlacementRequest, placements: Iterable[Placement]
    ) -> Rejection:
        """Reject a request until the first target has memory for it."""
        waits = [
            (
                self.memory.seconds_until_free(
                    request.service.id,
                    placement.room,
                    _placement_share(request, placement),
                ),
                placement,
            )
            for placement in placements
            if placement.room is not None
        ]
        wait_seconds, first = min(waits, key=lambda wait: wait[0])
        return Rejection(
            Rejection.NO_MEMORY,
            self._add_jitter(max(wait_seconds, _MIN_RETRY_AFTER_SECONDS)),
            first.wait_seconds,
            first.room,
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
        load = self._loads.total(entry.id)
        return self._queue_seconds(entry, load, self._prefill_rate(entry, load))

    def _queue_seconds(
        self, entry: TargetEntry, load: TargetLoad, rate: float
    ) -> float:
        """Return the time until a target begins to read a prompt."""
        seconds = load.unread_tokens / rate
        if self._speeds is not None:
            seconds += self._speeds.unseen_seconds(entry)
        return seconds

    def _prefill_rate(self, entry: TargetEntry, load: TargetLoad) -> float:
        """Return how many prompt tokens a target reads per second."""
        time_ratio = self._warmup.time_ratio(entry.id)
        if self._speeds is not None:
            rate = self._speeds.prompt_tokens_per_second(
                entry, load.requests_count + 1
            )
            if rate is not None:
                return rate / time_ratio
        rate = _PREFILL_TOKENS_PER_SECOND / self._health.latency_ratio(entry.id)
        return rate / time_ratio

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
        entry = placement.entry
        rate = self._prefill_rate(entry, self._loads.total(entry.id))
        return request.factors.strictness * tokens / rate

    def _prompt_candidate(
        self,
        service: ServiceId,
        entry: TargetEntry,
        rank: int,
        needs: _PromptNeeds,
    ) -> _Candidate:
        engine = needs.engine
        prompt = needs.prompt
        load = self._loads.total(entry.id)
        cached_tokens = self.cache.cached_tokens(entry.id, needs.prefixes)
        unread_tokens = max(0, prompt.input_tokens - cached_tokens)
        rate = self._prefill_rate(entry, load)
        wait_seconds = self._queue_seconds(entry, load, rate)
        if load.requests_count >= engine.slots_count:
            wait_seconds += _CAPACITY_PENALTY_SECONDS
        prefill_seconds = unread_tokens / rate
        score = wait_seconds + _PREFILL_WEIGHT * prefill_seconds
        score += self._penalty_seconds(entry)
        score += _RANK_PENALTY_SECONDS * rank
        memory_tokens = prompt.input_tokens + prompt.max_output_tokens
        used_tokens = load.memory_tokens + memory_tokens
        room = self._room(service, entry, needs)
        if room is not None:
            used_tokens = room.used_tokens + room.need_tokens
        elif used_tokens > engine.memory_tokens * _MAX_MEMORY_SHARE:
            score += _CAPACITY_PENALTY_SECONDS
        placement = Placement(
            entry,
            TargetLoad(1, unread_tokens, memory_tokens),
            wait_seconds,
            FIRST_EVENT_SECONDS + wait_seconds + prefill_seconds,
            cached_tokens,
            max(0, engine.memory_tokens - used_tokens),
            queued_tokens=load.unread_tokens,
            running_count=load.requests_count + 1,
            room=room,
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


def _is_late(request: PlacementRequest, placement: Placement) -> bool:
    """Return whether the response will exceed the objective."""
    expected_seconds = request.factors.age_seconds + placement.expected_seconds
    return expected_seconds > request.route.objective_seconds


def _memory_share(request: PlacementRequest, *, is_late: bool) -> float:
    return memory_limit_share(
        request.factors, is_late=is_late, is_continued=request.is_continued
    )


def _placement_share(request: PlacementRequest, placement: Placement) -> float:
    return _memory_share(request, is_late=_is_late(request, placement))


def _has_room(request: PlacementRequest, placement: Placement) -> bool:
    """Return whether the memory of a target does not exclude it."""
    return placement.room is None or placement.room.fits(
        _placement_share(request, placement)
    )
