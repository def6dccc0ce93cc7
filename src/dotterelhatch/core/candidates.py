"""The few targets among which a prompt is placed.

Load pattern: many engines, and an organisation that sends many times its
usual through one router. Looking at every engine for every request would take
a time that grows with the fleet, and that router would fall behind.
"""

import random
from collections.abc import Callable
from typing import Final

import mmh3

from dotterelhatch.core.prompts import PrefixCacheEstimate, Prompt
from dotterelhatch.core.registry import TargetEntry, TargetRegistry
from dotterelhatch.ids import ServiceId

__all__ = ('PREFERRED_COUNT', 'CandidateSelector')

# Targets that take a prompt which no target keeps, in the same order at every
# router: the first one, and others for when it is busy.
PREFERRED_COUNT: Final = 3
# Up to this number all targets of a service are looked at.
_ALL_COUNT: Final = 16
_LEAST_LOADED_COUNT: Final = 8
# Targets of which those are the least loaded. Routers see the same loads, a
# heartbeat late; of all targets each would choose the same ones.
_SAMPLE_COUNT: Final = 12
_KEEPERS_COUNT: Final = 6
# About the time between two requests of one router, so that each meets other
# targets; a flooded router draws a sample for several requests.
_SAMPLE_LIFETIME_SECONDS: Final = 0.01
# Known prompts of the largest deployment, several times over.
_REMEMBERED_COUNT: Final = 16_384


class _ServiceOrder:
    """What is remembered of one service while its targets stay the same."""

    def __init__(self, entries: tuple[TargetEntry, ...]) -> None:
        self.entries = entries
        self.by_id = {entry.id: entry for entry in entries}
        self.preferred: dict[str, tuple[TargetEntry, ...]] = {}
        self.least_loaded: tuple[TargetEntry, ...] = ()
        self.expires_seconds = 0.0


class CandidateSelector:
    """Picks the preferred targets of a prompt, its keepers and a sample.

    :param registry: the targets that may be used.
    :param cache: which targets keep which parts.
    :param wait_seconds: predicted wait at a target.
    :param rng: for the order of targets with the same load.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        cache: PrefixCacheEstimate,
        wait_seconds: Callable[[TargetEntry], float],
        rng: random.Random,
    ) -> None:
        """Start with nothing ordered."""
        self._registry = registry
        self._cache = cache
        self._wait_seconds = wait_seconds
        self._rng = rng
        self._orders: dict[ServiceId, _ServiceOrder] = {}

    def preferred(
        self, service: ServiceId, prompt: Prompt
    ) -> tuple[TargetEntry, ...]:
        """Return the first targets in the rendezvous order of the prompt."""
        order = self._order(service)
        key = prompt.affinity_key
        preferred = order.preferred.get(key)
        if preferred is None:
            if len(order.preferred) >= _REMEMBERED_COUNT:
                order.preferred.clear()
            preferred = _rendezvous(key, order.entries)
            order.preferred[key] = preferred
        return preferred

    def select(
        self, service: ServiceId, prompt: Prompt, now_seconds: float
    ) -> tuple[TargetEntry, ...]:
        """Return the targets to compare."""
        order = self._order(service)
        if len(order.entries) <= _ALL_COUNT:
            return order.entries
        if now_seconds >= order.expires_seconds:
            order.least_loaded = self._find_least_loaded(order.entries)
            order.expires_seconds = now_seconds + _SAMPLE_LIFETIME_SECONDS
        picked = {
            entry.id: entry
            for entry in (*self.preferred(service, prompt), *order.least_loaded)
        }
        for target in self._cache.targets_caching(prompt, _KEEPERS_COUNT):
            keeper = order.by_id.get(target)
            if keeper is not None:
                picked[target] = keeper
        return tuple(picked.values())

    def _order(self, service: ServiceId) -> _ServiceOrder:
        entries = self._registry.ready(service)
        order = self._orders.get(service)
        if order is None or order.entries is not entries:
            order = _ServiceOrder(entries)
            self._orders[service] = order
        return order

    def _find_least_loaded(
        self, entries: tuple[TargetEntry, ...]
    ) -> tuple[TargetEntry, ...]:
        sampled = self._rng.sample(entries, _SAMPLE_COUNT)
        sampled.sort(key=self._wait_seconds)
        return tuple(sampled[:_LEAST_LOADED_COUNT])


def _rendezvous(
    key: str, entries: tuple[TargetEntry, ...]
) -> tuple[TargetEntry, ...]:
    ordered = sorted(
        entries, key=lambda entry: mmh3.hash64(f'{key}\0{entry.id}')[0]
    )
    return tuple(ordered[:PREFERRED_COUNT])
