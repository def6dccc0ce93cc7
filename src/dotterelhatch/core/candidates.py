"""Selection of the few targets that are compared for a prompt.

Comparing every engine for every request would take a time that grows with the
fleet. A router through which one organisation sends many times its usual load
would then fall behind.
"""

import random
from collections.abc import Collection, Iterable
from typing import Final

import mmh3

from dotterelhatch.core.prompts import PrefixCacheEstimate, Prompt
from dotterelhatch.core.registry import TargetEntry, TargetRegistry
from dotterelhatch.core.targetpauses import TargetPauses
from dotterelhatch.core.warmup import WarmupLimits
from dotterelhatch.ids import ServiceId, TargetId

__all__ = (
    'PREFERRED_COUNT',
    'CandidateSelector',
    'rendezvous',
    'spare_last',
)

# Targets for a prompt that no target has cached, in the same order at every
# router: the first one, and alternatives for when it is busy.
PREFERRED_COUNT: Final = 3
# Up to this number, all targets of a service are compared.
_COMPARE_ALL_COUNT: Final = 16
# Random targets, of which the least loaded one may be chosen. All routers have
# the same loads, one heartbeat late: with a large sample, all of them would
# send to the few least loaded targets until the next heartbeat.
_SAMPLE_COUNT: Final = 3
# Targets looked at for a sample, in which paused ones and those that are cold
# come last.
_MAX_DRAWN_COUNT: Final = 32
_CACHING_COUNT: Final = 6
# About the time between two requests at one router, so that each request gets
# another sample; a flooded router uses a sample for several requests.
_SAMPLE_LIFETIME_SECONDS: Final = 0.01
# Several times the number of distinct prompts in the largest deployment.
_MAX_CACHED_KEYS_COUNT: Final = 16_384


def spare_last(
    targets: Collection[TargetId], down: Collection[TargetId]
) -> list[TargetId]:
    """Return the targets for a request that may crash the one it runs on.

    :param targets: that the service has.
    :param down: targets that have crashed and may not be back yet.
    :returns: none while the last target is up alone: the service would be down
        if that crashes as well.
    """
    up = [target for target in targets if target not in down]
    return up if len(up) > 1 or len(up) == len(targets) else []


class _ServiceState:
    """Cached selections of a service, valid while its targets are unchanged."""

    def __init__(self, entries: tuple[TargetEntry, ...]) -> None:
        self.entries = entries
        self.by_id = {entry.id: entry for entry in entries}
        self.preferred: dict[str, tuple[TargetEntry, ...]] = {}
        self.sample: tuple[TargetEntry, ...] = ()
        self.undrawn: list[TargetEntry] = []
        self.expires_seconds = 0.0


class CandidateSelector:
    """Selects the targets that are compared for a prompt.

    These are the preferred targets of the prompt, targets that have cached
    its shared parts, and a few random targets.

    :param registry: the known targets.
    :param cache: estimate of the prefixes that targets have cached.
    :param pauses: targets that want no requests for a while.
    :param rng: random generator for the samples.
    :param warmup: targets that are cold, None if none is limited for that.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        cache: PrefixCacheEstimate,
        pauses: TargetPauses,
        rng: random.Random,
        warmup: WarmupLimits | None = None,
    ) -> None:
        """Create a selector without cached selections."""
        self._registry = registry
        self._cache = cache
        self._pauses = pauses
        self._rng = rng
        self._warmup = warmup
        self._states: dict[ServiceId, _ServiceState] = {}

    def preferred(
        self, service: ServiceId, prompt: Prompt
    ) -> tuple[TargetEntry, ...]:
        """Return the first targets of the prompt in rendezvous hash order."""
        state = self._state(service)
        key = prompt.affinity_key
        preferred = state.preferred.get(key)
        if preferred is None:
            if len(state.preferred) >= _MAX_CACHED_KEYS_COUNT:
                state.preferred.clear()
            preferred = rendezvous(key, state.entries)[:PREFERRED_COUNT]
            state.preferred[key] = preferred
        return preferred

    def select(
        self, service: ServiceId, prompt: Prompt, now_seconds: float
    ) -> tuple[TargetEntry, ...]:
        """Return the targets to compare for a prompt."""
        state = self._state(service)
        if len(state.entries) <= _COMPARE_ALL_COUNT:
            return state.entries
        if now_seconds >= state.expires_seconds:
            state.sample = self._draw_sample(state, now_seconds)
            state.expires_seconds = now_seconds + _SAMPLE_LIFETIME_SECONDS
        selected = {
            entry.id: entry
            for entry in (*self.preferred(service, prompt), *state.sample)
        }
        for target in self._cache.targets_caching(prompt, _CACHING_COUNT):
            caching_entry = state.by_id.get(target)
            if caching_entry is not None:
                selected[target] = caching_entry
        return tuple(selected.values())

    def _state(self, service: ServiceId) -> _ServiceState:
        entries = self._registry.ready(service)
        state = self._states.get(service)
        if state is None or state.entries is not entries:
            state = _ServiceState(entries)
            self._states[service] = state
        return state

    def _draw_sample(
        self, state: _ServiceState, now_seconds: float
    ) -> tuple[TargetEntry, ...]:
        """Return the next targets of a random order in which all have a turn.

        An idle target is thus compared within a short time, at any router.
        Targets that may get no request now are included only if there are few
        others.
        """
        usable: list[TargetEntry] = []
        waiting: list[TargetEntry] = []
        for _ in range(_MAX_DRAWN_COUNT):
            if len(usable) == _SAMPLE_COUNT:
                break
            if not state.undrawn:
                state.undrawn = self._rng.sample(
                    state.entries, len(state.entries)
                )
            entry = state.undrawn.pop()
            is_waiting = self._has_to_wait(entry, now_seconds)
            (waiting if is_waiting else usable).append(entry)
        return (*usable, *waiting)[:_SAMPLE_COUNT]

    def _has_to_wait(self, entry: TargetEntry, now_seconds: float) -> bool:
        if self._pauses.wait_seconds(entry, now_seconds):
            return True
        warmup = self._warmup
        return (
            warmup is not None and warmup.wait_seconds(entry, now_seconds) > 0
        )


def rendezvous(
    key: str, entries: Iterable[TargetEntry]
) -> tuple[TargetEntry, ...]:
    """Return targets in an order that all routers agree on for a key."""
    return tuple(
        sorted(entries, key=lambda entry: mmh3.hash64(f'{key}\0{entry.id}')[0])
    )
